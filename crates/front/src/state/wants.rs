//! Adapters that requests wait for.

use base::prelude::*;
use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::sync::Arc;
use tokio::sync::Notify;

/// Time for which a want stands after it was last named. Requests name it anew
/// while they wait.
const STAND_MS: u64 = 300;

/// An adapter of a model of a service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Want {
    pub(crate) service: Arc<str>,
    pub(crate) model: Arc<str>,
    pub(crate) adapter: Arc<str>,
}

/// Adapters that requests here and, at the giver of orders, elsewhere wait for.
#[derive(Debug, Default)]
pub(crate) struct Wants {
    wanted: Mutex<BTreeMap<Want, Instant>>,
    /// Told when something new is wanted.
    pub(crate) new: Notify,
    /// The same for the one task that tells other entries; kept while it pauses.
    pub(crate) untold: Notify,
}

impl Wants {
    /// Names a want; true if it did not stand yet.
    pub(crate) fn name(&self, now: Instant, want: Want) -> bool {
        let until = now.plus_ms(STAND_MS);
        let before = self.wanted.lock().insert(want, until);
        let new = before.is_none_or(|before| before < now);
        if new {
            self.new.notify_waiters();
            self.untold.notify_one();
        }
        new
    }

    /// What is wanted now.
    pub(crate) fn standing(&self, now: Instant) -> Vec<Want> {
        let mut wanted = self.wanted.lock();
        wanted.retain(|_, until| *until >= now);
        wanted.keys().cloned().collect()
    }
}
