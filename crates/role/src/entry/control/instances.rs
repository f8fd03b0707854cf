//! Instance states published by the platform, and which entries keep watches open.

use base::prelude::*;
use base::{ObjectVersion, PlatformOp};
use live::rendezvous_rank;
use std::collections::BTreeSet;

use super::super::EntryAction;
use super::platform::{CallKind, list};
use super::{Control, Effects, Timer};

/// Key prefix of the instance states.
const INSTANCES_PREFIX: &str = "instances/";

/// Interval at which all instance states are listed, regardless of the watch.
const INSTANCES_LIST_INTERVAL_MS: u64 = 30_000;

/// Number of entries in each failure domain that keep watches open at the platform.
///
/// The platform counts an open watch as a call, and its call rate limit grows more
/// slowly than the fleet: 1,300 entries with two watches each would exceed it. The
/// other entries learn of a new revision from the next frame and of addresses from
/// gossip, and poll occasionally. There are two per domain, so that one is left if
/// the other dies.
const WATCHERS_PER_DOMAIN: usize = 2;

/// Interval at which an entry without open watches checks whether it has to open
/// them.
const DEFERRED_WATCH_CHECK_MS: u64 = 5_000;

/// Key of the rendezvous hashing that chooses a failure domain's watchers.
const WATCHER_KEY: &str = "platform-watch";

impl Control {
    /// Whether this entry keeps watches open.
    ///
    /// While entries see different peers alive, too many or too few of them may watch;
    /// if too few do, polling finds the changes.
    pub(super) fn is_watcher(&self, now: Instant) -> bool {
        let own_rank = rendezvous_rank(WATCHER_KEY, self.own_id.as_str());
        let others = self.entries.all().filter(|entry| {
            entry.failure_domain == self.failure_domain
                && !entry.leaving
                && self.entries.is_alive(now, &entry.id)
        });
        let higher_ranked = others
            .filter(|entry| rendezvous_rank(WATCHER_KEY, entry.id.as_str()) > own_rank);
        higher_ranked.count() < WATCHERS_PER_DOMAIN
    }

    /// Defers a watch if other entries are to keep it open; returns whether it did.
    pub(super) fn defer_watch(&mut self, call: CallKind) -> bool {
        let watch = matches!(
            call,
            CallKind::ConfigWatch | CallKind::MembersWatch | CallKind::InstancesWatch
        );
        if !watch || self.is_watcher(self.ticked_at) {
            return false;
        }
        // At most one timer for each watch: otherwise each list would start another
        // chain of timers that never ends.
        if self.deferred_watches.insert(call) {
            let at = self.ticked_at.plus_ms(DEFERRED_WATCH_CHECK_MS);
            self.timers.schedule(at, Timer::Call(call));
        }
        true
    }

    pub(super) fn instances_operation(&self, call: CallKind) -> PlatformOp {
        match call {
            CallKind::InstancesWatch => PlatformOp::Watch {
                prefix: INSTANCES_PREFIX.to_owned(),
                after: self.instances_version,
            },
            _ => list(INSTANCES_PREFIX),
        }
    }

    /// Applies a list of all instance states, then watches for changes.
    pub(super) fn instances_listed(
        &mut self,
        now: Instant,
        objects: &[(String, ObjectVersion, Vec<u8>)],
        version: ObjectVersion,
        out: &mut Vec<EntryAction>,
        effects: &mut Effects,
    ) {
        self.instances_version = self.instances_version.max(version);
        let leaving: BTreeSet<AgentId> = objects
            .iter()
            .filter(|(_, _, value)| is_leaving(value))
            .filter_map(|(key, _, _)| key.strip_prefix(INSTANCES_PREFIX))
            .map(AgentId::new)
            .collect();
        let mut changes = Vec::new();
        self.directory.set_platform_leaving(&leaving, &mut changes);
        self.apply_changes(&changes, out, effects);
        self.schedule_watch(now, CallKind::InstancesWatch);
    }

    pub(super) fn schedule_instances_list(&mut self, now: Instant) {
        let at = now.plus_ms(INSTANCES_LIST_INTERVAL_MS);
        self.timers
            .schedule(at, Timer::Call(CallKind::InstancesList));
    }

    /// Handles the end of a watch. If it reported changes, all instance states are
    /// listed, since only a full list shows that an instance is no longer leaving.
    pub(super) fn instances_watch_ended(
        &mut self,
        now: Instant,
        objects: &[(String, ObjectVersion, Vec<u8>)],
        version: ObjectVersion,
    ) {
        self.instances_version = self.instances_version.max(version);
        let next = match objects {
            [] => CallKind::InstancesWatch,
            _ => CallKind::InstancesChangedList,
        };
        self.schedule_watch(now, next);
    }
}

fn is_leaving(value: &[u8]) -> bool {
    let state: Result<serde_json::Value, _> = serde_json::from_slice(value);
    state.is_ok_and(|state| state["state"] == "leaving")
}
