//! Changes of upstreams that this entry learned from other sources than their records.

use std::sync::Arc;

use super::Upstream;

/// What became of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeKind {
    /// It is leaving.
    Leaving,
    /// Its record is missing in the platform.
    Gone,
    /// It has restarted.
    Restarted,
}

/// A change of one upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamChange {
    /// Name of the upstream.
    pub id: Arc<str>,
    /// Start time of the incarnation in Unix milliseconds, if the upstream reports it.
    pub started_unix_ms: Option<u64>,
    /// What became of it.
    pub kind: ChangeKind,
}

impl UpstreamChange {
    pub(super) fn new(upstream: &Upstream, kind: ChangeKind) -> Self {
        Self {
            id: Arc::clone(&upstream.record.id),
            started_unix_ms: upstream.record.started_unix_ms,
            kind,
        }
    }
}
