//! A record of where streams began, as the platform keeps it.

use base::prelude::*;
use direct::{OriginProof, StreamId, StreamOrigin};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

use super::SoftwareVersion;

/// Number of hexadecimal digits of a stream's id. The ids are written without separators:
/// numbers of 64 bits are not exact in every reader of JSON.
const ID_DIGITS: usize = 16;

/// Streams of one entry.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct SegmentRecord {
    /// Until when callers may ask for one of the streams, in Unix milliseconds.
    pub(super) expires_unix_ms: u64,
    groups: Vec<OriginGroup>,
}

/// Streams that began at one version.
#[derive(Debug, Serialize, Deserialize)]
struct OriginGroup {
    service: String,
    /// Upstream that has to be asked which version it was; `None` if that is certain.
    upstream: Option<String>,
    /// Hash of the version of the upstream's software, in hexadecimal.
    software: String,
    /// Incarnation of the upstream in the record that named the version.
    started_unix_ms: Option<u64>,
    /// Ids of the streams, in hexadecimal.
    streams: String,
}

impl OriginGroup {
    fn new(origin: &StreamOrigin, software: SoftwareVersion) -> Self {
        let (upstream, started_unix_ms) = match origin.proof {
            OriginProof::Confirmed => (None, None),
            OriginProof::Recorded {
                started_unix_ms, ..
            } => (Some(origin.upstream.to_string()), started_unix_ms),
        };
        Self {
            service: origin.service.to_string(),
            upstream,
            software: format!("{:016x}", software.0),
            started_unix_ms,
            streams: String::new(),
        }
    }

    fn is_of_origin_of(&self, other: &Self) -> bool {
        self.service == other.service
            && self.upstream == other.upstream
            && self.software == other.software
            && self.started_unix_ms == other.started_unix_ms
    }

    /// Returns where the streams of the group began, unless its version isn't readable.
    ///
    /// The connection to the upstream was opened before `now`. Only what is learned later
    /// makes the version certain where it was not.
    fn origin(&self, now: Instant) -> Option<StreamOrigin> {
        let software = u64::from_str_radix(&self.software, 16).ok()?;
        let proof = match self.upstream {
            None => OriginProof::Confirmed,
            Some(_) => OriginProof::Recorded {
                started_unix_ms: self.started_unix_ms,
                connected_at: now,
            },
        };
        Some(StreamOrigin {
            service: Arc::from(self.service.as_str()),
            software: Some(SoftwareVersion(software)),
            upstream: Arc::from(self.upstream.as_deref().unwrap_or_default()),
            proof,
        })
    }

    fn ids(&self) -> impl Iterator<Item = StreamId> {
        let digits = self.streams.as_bytes().chunks_exact(ID_DIGITS);
        let ids = digits.filter_map(|digits| std::str::from_utf8(digits).ok());
        ids.filter_map(|digits| u64::from_str_radix(digits, 16).ok())
            .map(StreamId)
    }
}

impl SegmentRecord {
    pub(super) fn new(
        streams: &[(StreamId, StreamOrigin)],
        expires_unix_ms: u64,
    ) -> Self {
        let mut groups: Vec<OriginGroup> = Vec::new();
        for (id, origin) in streams {
            let Some(software) = origin.software else {
                continue;
            };
            let of_origin = OriginGroup::new(origin, software);
            let known = groups
                .iter()
                .position(|group| group.is_of_origin_of(&of_origin));
            let index = known.unwrap_or_else(|| {
                groups.push(of_origin);
                groups.len() - 1
            });
            groups[index].streams += &format!("{:016x}", id.0);
        }
        Self {
            expires_unix_ms,
            groups,
        }
    }

    /// Returns the streams and where they began.
    pub(super) fn streams(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (StreamId, StreamOrigin)> {
        let groups = self
            .groups
            .iter()
            .filter_map(move |group| Some((group, group.origin(now)?)));
        groups
            .flat_map(|(group, origin)| group.ids().map(move |id| (id, origin.clone())))
    }

    pub(super) fn encode(&self) -> Vec<u8> {
        // Numbers and strings always serialize.
        serde_json::to_vec(self).unwrap_or_default()
    }

    pub(super) fn decode(value: &[u8]) -> serde_json::Result<Self> {
        serde_json::from_slice(value)
    }
}
