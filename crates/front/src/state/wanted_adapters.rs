//! Adapters that requests wait for.

use base::prelude::*;
use direct::{AdapterName, RequestedAdapter, SoftwareVersion};
use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::sync::Arc;
use tokio::sync::Notify;

/// Time for which an adapter stays wanted after it was last added. Requests add
/// it again while they wait.
const WANTED_MS: u64 = 300;

/// An adapter of a model of a service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct WantedAdapter {
    pub(crate) service: Arc<str>,
    pub(crate) model: Arc<str>,
    pub(crate) adapter: Arc<str>,
    /// Version of the software that the upstream must run; `None` if any will do.
    pub(crate) software: Option<SoftwareVersion>,
}

impl WantedAdapter {
    pub(crate) fn requested(&self) -> RequestedAdapter {
        RequestedAdapter {
            name: AdapterName::new(&self.model, &self.adapter),
            software: self.software,
        }
    }
}

/// Adapters that requests wait for at this entry and, on the coordinator, at
/// others.
#[derive(Debug, Default)]
pub(crate) struct WantedAdapters {
    wanted: Mutex<BTreeMap<WantedAdapter, Instant>>,
    /// Notified when another adapter is wanted.
    pub(crate) added: Notify,
    /// The same for the single task that sends messages to other entries. The
    /// notification is retained while that task pauses.
    pub(crate) unannounced: Notify,
}

impl WantedAdapters {
    /// Adds an adapter. Returns whether it was not wanted yet.
    pub(crate) fn add(&self, now: Instant, wanted: WantedAdapter) -> bool {
        let until = now.plus_ms(WANTED_MS);
        let before = self.wanted.lock().insert(wanted, until);
        let is_new = before.is_none_or(|before| before < now);
        if is_new {
            self.added.notify_waiters();
            self.unannounced.notify_one();
        }
        is_new
    }

    /// Returns the adapters that are wanted now.
    pub(crate) fn current(&self, now: Instant) -> Vec<WantedAdapter> {
        let mut wanted = self.wanted.lock();
        wanted.retain(|_, until| *until >= now);
        wanted.keys().cloned().collect()
    }
}
