//! The platform's words on instances, and which entries wait for its news.

use base::prelude::*;
use base::{PlatformOp, Version};
use live::rendezvous;
use std::collections::BTreeSet;

use super::super::EntryAction;
use super::platform::{CallKind, list};
use super::{Control, Effects, Timer};

/// Start of the keys of the platform's own words on instances.
const INSTANCES_PREFIX: &str = "instances/";

/// Interval at which they are read as a whole, whatever a watch tells.
const INSTANCES_LIST_INTERVAL_MS: u64 = 30_000;

/// Entries of one failure domain that wait for the platform's news.
///
/// The platform counts a waiting watch as a call, and its rates grow more slowly
/// than the fleet: at 1,300 entries with two watches each it would be past its
/// bound. The others hear of a revision with the next frame, of addresses by
/// gossip, and look for themselves now and then. Two in each domain, so that one
/// that dies leaves one.
const WATCHERS_PER_DOMAIN: usize = 2;

/// Time after which an entry that does not wait for news asks itself again.
const DEFERRED_WATCH_CHECK_MS: u64 = 5_000;

/// Key by which the watchers of a failure domain are ranked.
const WATCHER_KEY: &str = "platform-watch";

impl Control {
    /// Whether this entry waits for the platform's news.
    ///
    /// Entries that see different peers for a while disagree; too many wait, or
    /// too few, and then the slow looks bring the news.
    pub(super) fn is_watcher(&self, now: Instant) -> bool {
        let mine = rendezvous(WATCHER_KEY, self.own_id.as_str());
        let others = self.entries.all().filter(|held| {
            held.domain == self.failure_domain
                && !held.leaving
                && self.entries.alive(now, &held.id)
        });
        let before =
            others.filter(|held| rendezvous(WATCHER_KEY, held.id.as_str()) > mine);
        before.count() < WATCHERS_PER_DOMAIN
    }

    /// Puts a watch off if it is for others to wait; returns whether it did.
    pub(super) fn defer_watch(&mut self, call: CallKind) -> bool {
        let watch = matches!(
            call,
            CallKind::ConfigWatch | CallKind::MembersWatch | CallKind::InstancesWatch
        );
        if !watch || self.is_watcher(self.ticked_at) {
            return false;
        }
        // One timer for each: without this, every list would begin a chain of
        // its own that never ends.
        if self.deferred_watches.insert(call) {
            let at = self.ticked_at.plus_ms(DEFERRED_WATCH_CHECK_MS);
            self.timers.set(at, Timer::Call(call));
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

    /// Takes the whole list, and waits for news of it.
    pub(super) fn instances_listed(
        &mut self,
        now: Instant,
        objects: &[(String, Version, Vec<u8>)],
        version: Version,
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
        self.directory.platform_leaving(&leaving, &mut changes);
        self.apply_changes(&changes, out, effects);
        self.schedule_watch(now, CallKind::InstancesWatch);
    }

    pub(super) fn schedule_instances_list(&mut self, now: Instant) {
        let at = now.plus_ms(INSTANCES_LIST_INTERVAL_MS);
        self.timers.set(at, Timer::Call(CallKind::InstancesList));
    }

    /// A wait for news of instances ended: if there is some, all are read, since
    /// an instance that is no longer leaving shows only in the whole list.
    pub(super) fn instances_watch_ended(
        &mut self,
        now: Instant,
        objects: &[(String, Version, Vec<u8>)],
        version: Version,
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
    let word: Result<serde_json::Value, _> = serde_json::from_slice(value);
    word.is_ok_and(|word| word["state"] == "leaving")
}
