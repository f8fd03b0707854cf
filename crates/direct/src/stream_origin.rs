//! Where streams began, so that they go on only there.
//!
//! Upstreams of several software versions serve side by side. What two of them write
//! doesn't fit together, and upstreams don't check it, so the rest of a stream must come
//! from the version that brought its first event. Callers may ask any entry for the
//! rest; [`origin_keepers`](crate::origin_keepers) chooses the entries that know it.

use base::prelude::*;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

/// Maximum number of streams that are remembered. The ones that are over first are
/// forgotten first.
const STREAMS_MAX: usize = 16_384;

/// Identifies a stream by the workspace of its caller and the id of the request whose
/// response brought the first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamId(pub u64);

impl StreamId {
    /// Returns the id of the stream that a request began.
    pub fn new(workspace: Option<&str>, request: &str) -> Self {
        let mut hash = Xxh3::new();
        hash.update(workspace.unwrap_or_default().as_bytes());
        hash.update(&[0]);
        hash.update(request.as_bytes());
        Self(hash.digest())
    }
}

/// Identifies a version of an upstream's software within its service. Versions are
/// opaque text; the order of these hashes has no meaning.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct SoftwareVersion(pub u64);

impl SoftwareVersion {
    /// Returns the version with this text.
    pub fn new(text: &str) -> Self {
        Self(xxh3_64_with_seed(text.as_bytes(), 0))
    }
}

/// Where a stream began.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamOrigin {
    /// Service that the stream's upstream belongs to.
    pub service: Arc<str>,
    /// Version of the upstream's software; `None` if it was not known when the stream
    /// began. Such a stream can't be resumed.
    pub software: Option<SoftwareVersion>,
    /// Upstream that brought the first event; empty if only its version was recorded, as
    /// nothing remains to be asked.
    pub upstream: Arc<str>,
    /// What the version was concluded from.
    pub proof: OriginProof,
}

/// What the software version of a stream's upstream was concluded from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OriginProof {
    /// It is certain.
    Confirmed,
    /// The record of the upstream, which may have started again since it was written. See
    /// [`Fleet::confirms_origin`](crate::Fleet::confirms_origin).
    Recorded {
        /// Incarnation in the record.
        started_unix_ms: Option<u64>,
        /// When the connection to the upstream was open.
        connected_at: Instant,
    },
}

impl StreamOrigin {
    /// Whether a stream that began at `self` may go on where one from `other` may.
    fn allows_same(&self, other: &Self) -> bool {
        self.service == other.service && self.software == other.software
    }
}

/// What is remembered of a stream.
#[derive(Debug)]
struct KnownStream {
    /// `None` if the stream is said to have begun in two ways.
    origin: Option<StreamOrigin>,
    expires_at: Instant,
}

/// Origins of the streams that this entry forwards, or received from another entry.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    streams: HashMap<StreamId, KnownStream>,
    by_expiry: BTreeSet<(Instant, StreamId)>,
}

impl StreamOrigins {
    /// Remembers where a stream began, until nobody can ask for its rest any more.
    ///
    /// A stream that is said to have begun in two ways counts as unknown: one of them
    /// must be wrong.
    pub fn insert(&mut self, id: StreamId, origin: StreamOrigin, expires_at: Instant) {
        let Some(known) = self.streams.get_mut(&id) else {
            let origin = Some(origin);
            self.streams.insert(id, KnownStream { origin, expires_at });
            self.by_expiry.insert((expires_at, id));
            self.limit_count();
            return;
        };
        match &mut known.origin {
            Some(first) if !first.allows_same(&origin) => known.origin = None,
            Some(first) if origin.proof == OriginProof::Confirmed => {
                first.proof = OriginProof::Confirmed;
            }
            _ => {}
        }
        if expires_at > known.expires_at {
            self.by_expiry.remove(&(known.expires_at, id));
            known.expires_at = expires_at;
            self.by_expiry.insert((expires_at, id));
        }
    }

    /// Returns where a stream began, and until when that is remembered.
    pub fn get(&self, now: Instant, id: StreamId) -> Option<(&StreamOrigin, Instant)> {
        let known = self.streams.get(&id)?;
        let origin = known.origin.as_ref()?;
        (now < known.expires_at).then_some((origin, known.expires_at))
    }

    /// Records which origins are certain, in the opinion of `is_certain`. What confirms
    /// one may be replaced later, as when its upstream starts again.
    pub fn confirm(&mut self, is_certain: impl Fn(&StreamOrigin) -> bool) {
        let origins = self.streams.values_mut();
        for origin in origins.filter_map(|known| known.origin.as_mut()) {
            if origin.proof != OriginProof::Confirmed && is_certain(origin) {
                origin.proof = OriginProof::Confirmed;
            }
        }
    }

    /// Forgets the streams that nobody can ask for any more.
    pub fn expire(&mut self, now: Instant) {
        while let Some((expires_at, _)) = self.by_expiry.first()
            && *expires_at <= now
        {
            self.remove_first();
        }
    }

    /// The remembered streams.
    pub fn ids(&self) -> impl Iterator<Item = StreamId> {
        self.streams.keys().copied()
    }

    /// Number of remembered streams.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Whether no stream is remembered.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    fn limit_count(&mut self) {
        while self.streams.len() > STREAMS_MAX {
            self.remove_first();
        }
    }

    fn remove_first(&mut self) {
        if let Some((_, id)) = self.by_expiry.pop_first() {
            self.streams.remove(&id);
        }
    }
}
