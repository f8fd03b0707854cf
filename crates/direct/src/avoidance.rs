//! Reports when upstreams start and stop being avoided.

use base::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;

use crate::{Fleet, Upstream};

/// Why an upstream is avoided, so that others are preferred.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AvoidReason {
    /// It has requests of this entry and has sent nothing to any of them for too long.
    Silent,
    /// A connection attempt failed.
    Unreached,
    /// Its record is missing since the platform was away.
    Vanished,
}

impl AvoidReason {
    /// Value of the reason in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Silent => "silent",
            Self::Unreached => "unreached",
            Self::Vanished => "vanished",
        }
    }
}

/// A change of the reason for which an upstream is avoided.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AvoidanceChange {
    /// Name of the upstream.
    pub upstream: Arc<str>,
    /// Reason before the change; `None` if it wasn't avoided.
    pub before: Option<AvoidReason>,
    /// Reason after the change; `None` if it is no longer avoided.
    pub after: Option<AvoidReason>,
}

/// The reasons that were last reported.
///
/// Whether an upstream is avoided depends on the current time, so no event marks the
/// change. It is only seen by comparing with the state reported before.
#[derive(Debug, Default)]
pub struct AvoidanceTracker {
    /// By upstream, the start time of the incarnation and the reason.
    reported: BTreeMap<Arc<str>, (Option<u64>, AvoidReason)>,
}

impl AvoidanceTracker {
    /// Creates a tracker in which no upstream is avoided.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the changes since the last call. An upstream that was forgotten or has
    /// restarted meanwhile isn't reported.
    pub fn update_all(&mut self, now: Instant, fleet: &Fleet) -> Vec<AvoidanceChange> {
        self.reported.retain(|id, _| fleet.get(id).is_some());
        fleet
            .all()
            .filter_map(|upstream| self.update(now, upstream))
            .collect()
    }

    /// Returns the change for one upstream since the last call. A decision that depends
    /// on an upstream being avoided calls this at once, because the reason may have
    /// ended before the next call of [`Self::update_all`].
    pub fn update(
        &mut self,
        now: Instant,
        upstream: &Upstream,
    ) -> Option<AvoidanceChange> {
        let (id, started_unix_ms) =
            (&upstream.record.id, upstream.record.started_unix_ms);
        let reason = upstream.avoid_reason(now);
        let before = match reason {
            Some(reason) => self
                .reported
                .insert(Arc::clone(id), (started_unix_ms, reason)),
            None => self.reported.remove(id),
        };
        let before = before
            .filter(|(of, _)| *of == started_unix_ms)
            .map(|(_, reason)| reason);
        (before != reason).then(|| AvoidanceChange {
            upstream: Arc::clone(id),
            before,
            after: reason,
        })
    }
}
