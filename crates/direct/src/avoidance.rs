//! Doubts about upstreams, and when they arise and end.

use base::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;

use crate::{Fleet, Upstream};

/// Why an upstream is better avoided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AvoidReason {
    /// It has work and gives no sign of life to any request.
    Silent,
    /// It could not be connected to.
    Unreached,
    /// Its entry is missing since the platform was away.
    Vanished,
}

impl AvoidReason {
    /// The word used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Silent => "silent",
            Self::Unreached => "unreached",
            Self::Vanished => "vanished",
        }
    }
}

/// A doubt that arose, changed or ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AvoidanceChange {
    /// Upstream.
    pub upstream: Arc<str>,
    /// What was held of it before.
    pub before: Option<AvoidReason>,
    /// What is held of it now.
    pub after: Option<AvoidReason>,
}

/// The doubts held at the last look.
///
/// Whether an upstream is avoided follows from times that pass, so nothing
/// happens at the moment at which it turns: only comparing two looks shows it.
#[derive(Debug, Default)]
pub struct AvoidanceTracker {
    /// Of each upstream, with the start that it was held of.
    reported: BTreeMap<Arc<str>, (Option<u64>, AvoidReason)>,
}

impl AvoidanceTracker {
    /// No doubts.
    pub fn new() -> Self {
        Self::default()
    }

    /// What has turned since the last look. An upstream that was forgotten or has
    /// started again meanwhile is no turn.
    pub fn update_all(&mut self, now: Instant, fleet: &Fleet) -> Vec<AvoidanceChange> {
        self.reported.retain(|id, _| fleet.get(id).is_some());
        fleet
            .all()
            .filter_map(|upstream| self.update(now, upstream))
            .collect()
    }

    /// What has turned for one upstream since the last look. A decision that
    /// rests on a doubt calls this at once: the doubt may be over before the
    /// next look at all upstreams.
    pub fn update(
        &mut self,
        now: Instant,
        upstream: &Upstream,
    ) -> Option<AvoidanceChange> {
        let (id, born_ms) = (&upstream.record.id, upstream.record.started_unix_ms);
        let doubt = upstream.avoid_reason(now);
        let before = match doubt {
            Some(doubt) => self.reported.insert(Arc::clone(id), (born_ms, doubt)),
            None => self.reported.remove(id),
        };
        let before = before
            .filter(|(of, _)| *of == born_ms)
            .map(|(_, doubt)| doubt);
        (before != doubt).then(|| AvoidanceChange {
            upstream: Arc::clone(id),
            before,
            after: doubt,
        })
    }
}
