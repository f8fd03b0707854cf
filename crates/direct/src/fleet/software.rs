//! Versions of the upstreams' software.

use base::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;

use super::{FORGET_MS, Fleet};
use crate::{OriginProof, StreamOrigin, UpstreamRecord};

/// A version that an upstream ran before it started again with another one.
#[derive(Debug)]
pub(super) struct EarlierSoftware {
    service: Arc<str>,
    version: Arc<str>,
    /// Until when it is remembered; `None` until the next sweep.
    until: Option<Instant>,
}

/// Why no version is known to have been the only one of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoSoleVersion {
    /// The upstreams have not been known for as long as a stream may last.
    ShortHistory,
    /// Several versions have served, or the version of an upstream is unknown.
    SeveralVersions,
}

impl Fleet {
    /// Returns where a stream of the service began that can't be older than `age_ms`, if
    /// all upstreams of the service that were known in this time ran one version.
    ///
    /// # Errors
    ///
    /// It isn't known that they did.
    pub fn sole_origin(
        &self,
        now: Instant,
        service: &Arc<str>,
        age_ms: u64,
    ) -> Result<StreamOrigin, NoSoleVersion> {
        let since = self.complete_since.ok_or(NoSoleVersion::ShortHistory)?;
        if age_ms > now.ms_since(since) || age_ms > FORGET_MS {
            return Err(NoSoleVersion::ShortHistory);
        }
        self.sole_version(service)
            .ok_or(NoSoleVersion::SeveralVersions)
    }

    /// Whether the upstreams of some service that are remembered ran several versions.
    pub fn has_several_versions(&self) -> bool {
        let mut versions: BTreeMap<&str, &Arc<str>> = BTreeMap::new();
        let mut earlier = self.earlier_software.iter();
        let mut is_other =
            |service, version| *versions.entry(service).or_insert(version) != version;
        self.upstreams.values().any(|known| {
            let version = known.record.software_version.as_ref();
            version.is_some_and(|version| is_other(&known.record.service, version))
        }) || earlier.any(|earlier| is_other(&earlier.service, &earlier.version))
    }

    /// Returns the origin of the streams of a service, if all its upstreams that are
    /// remembered ran one version.
    fn sole_version(&self, service: &Arc<str>) -> Option<StreamOrigin> {
        let mut upstreams = self.of_service(service);
        let first = upstreams.next()?;
        let version = first.record.software_version.as_ref()?;
        let is_sole = upstreams
            .all(|other| other.record.software_version.as_ref() == Some(version));
        let mut earlier = self.earlier_software.iter();
        let was_sole = earlier
            .all(|earlier| earlier.service != *service || earlier.version == *version);
        (is_sole && was_sole).then(|| StreamOrigin {
            service: Arc::clone(service),
            software: first.software(),
            upstream: Arc::clone(&first.record.id),
            proof: OriginProof::Confirmed,
        })
    }

    /// Remembers the version that an upstream runs, if its next record names another.
    pub(super) fn note_software_change(&mut self, next: &UpstreamRecord) {
        let Some(known) = self.upstreams.get(&next.id) else {
            return;
        };
        let is_same = known.record.software_version == next.software_version
            && known.record.service == next.service;
        let version = known.record.software_version.as_ref();
        let Some(version) = version.filter(|_| !is_same) else {
            return;
        };
        let earlier = EarlierSoftware {
            service: Arc::clone(&known.record.service),
            version: Arc::clone(version),
            until: None,
        };
        self.earlier_software.retain(|other| {
            other.service != earlier.service || other.version != earlier.version
        });
        self.earlier_software.push(earlier);
    }

    /// Forgets versions that no stream is of any more.
    pub(super) fn forget_earlier_software(&mut self, now: Instant) {
        self.earlier_software.retain_mut(|earlier| {
            let until = *earlier.until.get_or_insert(now.plus_ms(FORGET_MS));
            now < until
        });
    }
}
