//! What this entry knows about the upstreams.

mod changes;
mod incarnations;
mod leaving;
mod liveness;
mod paces;
mod rate;
mod refusals;
mod settled;
mod software;
mod turns;
mod upstream;

use base::prelude::*;
use std::cmp::Ordering;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use crate::{Config, ResidentModel, UpstreamIncarnation, UpstreamRecord};
use settled::SettledRecords;
use software::EarlierSoftware;
use upstream::{CoordinatorHoldings, HOLDINGS_MAX_AGE_MS, HOLDINGS_VALID_MS};

pub use changes::{ChangeKind, UpstreamChange};
pub use liveness::Activity;
pub use rate::{RateLimit, RateNotice};
pub use software::NoSoleVersion;
pub use upstream::{Upstream, Usage};

/// Time after the platform's return in which a missing record may only have expired
/// while the platform was away.
const RETURN_GRACE_MS: u64 = 3_000;

/// Time after a restore of the platform in which it has removed the restored records of
/// upstreams that have ended: more than three heartbeats after its return.
const RESTORED_REMOVAL_MS: u64 = 6_000;

/// Time for which an upstream that is gone is remembered.
const FORGET_MS: u64 = 60_000;

/// The latest coordinator that was heard from.
#[derive(Debug, Default)]
struct LatestCoordinator {
    token: u64,
    /// When the coordinator was first heard from.
    first_heard_at: Instant,
}

/// Upstreams for which the last message of each other entry stated usage or activity.
///
/// An entry no longer uses an upstream that its last message doesn't name. Searching
/// all upstreams for those on each message took all processor time of an entry with
/// 3,000 upstreams and 300 entries.
#[derive(Debug, Default)]
struct PeerMentions {
    used: HashMap<String, Vec<Arc<str>>>,
    reports: HashMap<String, Vec<Arc<str>>>,
}

/// All known upstreams, by name.
#[derive(Debug, Default)]
pub struct Fleet {
    upstreams: BTreeMap<Arc<str>, Upstream>,
    /// When the platform became reachable again.
    platform_returned_at: Option<Instant>,
    /// When the platform was seen to be restored from an older copy.
    platform_restored_at: Option<Instant>,
    coordinator: LatestCoordinator,
    peer_mentions: PeerMentions,
    /// Upstreams that other entries reported as leaving before their records were known,
    /// with the start times of their incarnations.
    early_leaving: HashMap<String, Option<u64>>,
    /// Whether a complete list was applied.
    has_complete_list: bool,
    /// Since when all records are known that were written. A list doesn't name upstreams
    /// that came and went since the news before it.
    complete_since: Option<Instant>,
    /// Versions of the software that upstreams ran until lately.
    earlier_software: Vec<EarlierSoftware>,
    settled_records: SettledRecords,
    /// Version of the platform up to which the records are known.
    known_version: u64,
    /// When the mean pace of each service was computed.
    paces_refreshed_at: BTreeMap<Arc<str>, Instant>,
    /// Changes since [`Fleet::take_changes`] was last called.
    changes: Vec<UpstreamChange>,
    /// Records that were ignored since [`Fleet::take_ignored_records`] was last called.
    ignored_records: u64,
}

impl Fleet {
    /// Creates an empty fleet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the changes that were learned from other entries, from upstreams' reports
    /// and from complete lists.
    pub fn take_changes(&mut self) -> Vec<UpstreamChange> {
        std::mem::take(&mut self.changes)
    }

    /// Takes the number of the platform's records that were ignored, because a later
    /// record of the upstream or its removal at a later version is known.
    pub const fn take_ignored_records(&mut self) -> u64 {
        std::mem::replace(&mut self.ignored_records, 0)
    }

    /// Records that the platform is reachable again.
    pub fn platform_returned(&mut self, now: Instant) {
        self.platform_returned_at = Some(now);
        self.settled_records.interrupted(now);
    }

    /// Records that the platform was restored from an older copy. Records that were
    /// written since that copy are missing until they are written again, and records that
    /// were removed are back until they are removed again.
    pub fn platform_restored(&mut self, now: Instant) {
        self.platform_restored_at = Some(now);
        self.platform_returned(now);
    }

    /// Applies a page of the first list. Requests can be sent to these upstreams while
    /// the other pages are on their way.
    pub fn apply_page(&mut self, listed: Vec<(u64, UpstreamRecord)>) {
        for (version, record) in listed {
            self.apply_record(version, record);
        }
        self.apply_early_reports();
        self.update_missing_start_times();
    }

    /// Applies the complete list at `list_version`. Upstreams missing from it are gone.
    pub fn apply_list(
        &mut self,
        now: Instant,
        list_version: u64,
        listed: Vec<(u64, UpstreamRecord)>,
    ) {
        let listed_ids: HashSet<Arc<str>> = listed
            .iter()
            .map(|(_, record)| Arc::clone(&record.id))
            .collect();
        for (version, record) in listed {
            self.apply_listed(version, record);
        }
        self.apply_early_reports();
        self.early_leaving.clear();
        self.has_complete_list = true;
        if self.complete_since.is_none() || list_version > self.known_version {
            self.complete_since = Some(now);
        }
        let new = self.upstreams.values_mut();
        for upstream in new.filter(|known| known.last_active_at == Instant::ZERO) {
            upstream.last_active_at = now;
        }
        self.update_missing_start_times();
        let missing: Vec<Arc<str>> = self
            .upstreams
            .keys()
            .filter(|id| !listed_ids.contains(*id))
            .cloned()
            .collect();
        for id in missing {
            let was_listed = self.get(&id).is_some_and(Upstream::is_listed);
            self.remove(now, &id, list_version);
            let upstream = self
                .get(&id)
                .filter(|known| was_listed && !known.is_listed());
            let change =
                upstream.map(|known| UpstreamChange::new(known, ChangeKind::Gone));
            self.changes.extend(change);
        }
    }

    /// Applies a record of one upstream, unless a newer one is known. Returns true if
    /// the upstream has restarted.
    pub fn apply_update(&mut self, version: u64, record: UpstreamRecord) -> bool {
        let known_count = self.upstreams.len();
        let restarted = self.apply_record(version, record);
        // This visits all upstreams. Most updates only refresh a known record, which
        // doesn't change the number of upstreams.
        if restarted || self.upstreams.len() != known_count {
            self.update_missing_start_times();
        }
        restarted
    }

    /// Applies a record of a complete list, and notes if it says that a known upstream
    /// is leaving.
    fn apply_listed(&mut self, version: u64, record: UpstreamRecord) {
        let id = Arc::clone(&record.id);
        let was_serving = self.get(&id).is_some_and(|known| !known.record.leaving);
        self.apply_record(version, record);
        let leaving = self.get(&id).filter(|known| known.record.leaving);
        if let Some(leaving) = leaving.filter(|_| was_serving) {
            let change = UpstreamChange::new(leaving, ChangeKind::Leaving);
            self.changes.push(change);
        }
    }

    /// Applies a record and returns whether the upstream has restarted. The incarnation
    /// takes precedence over the version: the last write of an earlier incarnation may
    /// reach the platform after the later one's record, and then has a higher version.
    /// A record found missing at some version counts for all incarnations before that
    /// version.
    fn apply_record(&mut self, version: u64, record: UpstreamRecord) -> bool {
        self.note_software_change(&record);
        let Some(known) = self.upstreams.get_mut(&record.id) else {
            let id = Arc::clone(&record.id);
            self.upstreams.insert(id, Upstream::new(record, version));
            return false;
        };
        if known.gone_version.is_some_and(|gone| version <= gone) {
            self.ignored_records += 1;
            return false;
        }
        let is_restart = record.started_unix_ms > known.record.started_unix_ms;
        if !is_restart && known.is_only_restored(version) {
            return false;
        }
        match record.started_unix_ms.cmp(&known.record.started_unix_ms) {
            Ordering::Less => return false,
            Ordering::Greater => {
                *known = Upstream {
                    reported_gone_version: known.reported_gone_version,
                    ..Upstream::new(record, version)
                };
                known.forget_older_report();
                return true;
            }
            Ordering::Equal if version < known.version => {
                self.ignored_records += 1;
                return false;
            }
            Ordering::Equal => {}
        }
        // An upstream that announced that it is leaving never takes work again; only
        // its next incarnation does. One whose record had vanished and is back is
        // alive: its own writes were lost in transit.
        let leaving = known.record.leaving || record.leaving;
        known.is_leaving_unlisted &= !record.leaving;
        known.record = record;
        known.record.leaving = leaving;
        known.version = version;
        known.vanished_at = None;
        known.set_listed();
        known.forget_older_report();
        false
    }

    /// Handles a record of an upstream that can't be decoded, because another writer
    /// replaced the upstream's own record. Returns whether the upstream was known.
    ///
    /// The upstream gets no new requests until it has a newer record of its own. A
    /// record that was replaced hasn't expired, so the grace period after a platform
    /// outage doesn't apply.
    pub fn mark_unreadable(&mut self, id: &str, version: u64) -> bool {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return false;
        };
        if version < upstream.version {
            return true;
        }
        upstream.gone_version = upstream.gone_version.max(Some(version));
        upstream.restored_version = None;
        upstream.vanished_at = None;
        upstream.is_confirmed_gone = true;
        true
    }

    /// Handles the removal of an upstream's record from the platform.
    ///
    /// The upstream counts as leaving until its record is back, unless the record may
    /// only have expired while the platform was away. Otherwise, an outage of the
    /// platform would make all upstreams unusable at once.
    pub fn remove(&mut self, now: Instant, id: &str, version: u64) {
        let may_have_expired = self
            .platform_returned_at
            .is_some_and(|at| now.ms_since(at) < RETURN_GRACE_MS);
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        if version < upstream.version {
            return;
        }
        upstream.gone_version = Some(version);
        upstream.restored_version = None;
        upstream.reported_gone_version = None;
        upstream.is_leaving_unlisted = false;
        // An upstream whose record was removed while the platform was reachable has
        // left. A later outage doesn't make it usable again.
        if !may_have_expired && upstream.vanished_at.is_none() {
            upstream.is_confirmed_gone = true;
        } else if may_have_expired && !upstream.is_confirmed_gone {
            upstream.vanished_at.get_or_insert(now);
        }
    }

    /// Uses the upstreams again whose restored records are still there.
    fn keep_restored_records(&mut self) {
        let all = self.upstreams.values_mut();
        for upstream in all.filter(|known| known.restored_version.is_some()) {
            upstream.set_listed();
        }
    }

    /// Forgets upstreams that are gone and have no running request.
    ///
    /// One that is leaving but isn't yet listed as such by the platform is kept.
    /// Otherwise the next outdated list would add it as a new upstream.
    pub fn forget_gone(&mut self, now: Instant) {
        let restored_ms = self.platform_restored_at.map(|at| now.ms_since(at));
        if restored_ms.is_some_and(|ms| ms >= RESTORED_REMOVAL_MS) {
            self.keep_restored_records();
        }
        self.upstreams.retain(|_, upstream| {
            upstream.forget_ended_rate_limit(now);
            if upstream.is_usable(now) || upstream.own_usage.running > 0 {
                upstream.last_active_at = now;
            }
            upstream.is_leaving_unlisted
                || now.ms_since(upstream.last_active_at) < FORGET_MS
        });
        self.forget_earlier_software(now);
        self.update_missing_start_times();
    }

    /// Sets another entry's usage of the upstreams. It doesn't use upstreams that
    /// aren't named.
    pub fn set_peer_usage<'a>(
        &mut self,
        now: Instant,
        peer: &str,
        used: impl Iterator<Item = (UpstreamIncarnation<'a>, Usage)>,
    ) {
        for id in self.peer_mentions.used.remove(peer).unwrap_or_default() {
            // Without the removal, every selection would add up all entries that have
            // ever used the upstream.
            if let Some(upstream) = self.upstreams.get_mut(&id) {
                upstream.peer_usage.remove(peer);
            }
        }
        let mut named = Vec::new();
        for (incarnation, usage) in used {
            let Some(upstream) = self.note_incarnation(incarnation) else {
                continue;
            };
            named.push(Arc::clone(&upstream.record.id));
            match upstream.peer_usage.get_mut(peer) {
                Some(known) => *known = (now, usage),
                None => {
                    upstream.peer_usage.insert(peer.to_owned(), (now, usage));
                }
            }
        }
        self.peer_mentions.used.insert(peer.to_owned(), named);
    }

    /// Sets what another entry hears from the upstreams. It has no requests at
    /// upstreams that aren't named.
    pub fn set_peer_activity<'a>(
        &mut self,
        now: Instant,
        peer: &str,
        reports: impl Iterator<Item = (UpstreamIncarnation<'a>, Activity)>,
    ) {
        for id in self.peer_mentions.reports.remove(peer).unwrap_or_default() {
            if let Some(upstream) = self.upstreams.get_mut(&id) {
                upstream.liveness.set_peer_report(now, peer, None);
            }
        }
        let mut named = Vec::new();
        for (incarnation, activity) in reports {
            if let Some(upstream) = self.incarnation_mut(incarnation) {
                upstream.liveness.set_peer_report(now, peer, Some(activity));
                named.push(Arc::clone(&upstream.record.id));
            }
        }
        self.peer_mentions.reports.insert(peer.to_owned(), named);
    }

    /// Sets what an upstream holds according to the coordinator, and the models that
    /// are loading there with the time at which they are expected to serve.
    pub fn set_coordinator_holdings(
        &mut self,
        now: Instant,
        incarnation: UpstreamIncarnation<'_>,
        residents: Vec<ResidentModel>,
        loading: Vec<(Arc<str>, Instant)>,
    ) {
        if let Some(upstream) = self.note_incarnation(incarnation) {
            upstream.coordinator_holdings = Some(CoordinatorHoldings {
                received_at: now,
                confirmed_at: now,
                residents,
                loading,
            });
        }
    }

    /// Records a message from the coordinator with this token: the holdings that it
    /// sent before remain valid.
    ///
    /// The coordinator sends changes at once and the holdings of all upstreams in turn,
    /// which takes seconds with many entries. The holdings sent by an earlier
    /// coordinator become invalid.
    pub fn record_coordinator_message(&mut self, now: Instant, token: u64) {
        if token < self.coordinator.token {
            return;
        }
        if token > self.coordinator.token {
            self.coordinator = LatestCoordinator {
                token,
                first_heard_at: now,
            };
        }
        let since = self.coordinator.first_heard_at;
        for upstream in self.upstreams.values_mut() {
            let holdings = upstream.coordinator_holdings.as_mut();
            let holdings = holdings.filter(|holdings| holdings.received_at >= since);
            if let Some(holdings) = holdings.filter(|holdings| {
                now.ms_since(holdings.received_at) < HOLDINGS_MAX_AGE_MS
            }) {
                holdings.confirmed_at = now;
            }
        }
    }

    /// When the first upstream of the service is expected to serve a model that is
    /// loading.
    pub fn model_ready_at(
        &self,
        now: Instant,
        service: &str,
        model: &str,
    ) -> Option<Instant> {
        let holdings = self
            .of_service(service)
            .filter(|upstream| upstream.is_usable(now))
            .filter_map(|upstream| upstream.coordinator_holdings.as_ref())
            .filter(|holdings| now.ms_since(holdings.confirmed_at) < HOLDINGS_VALID_MS);
        let loading = holdings.flat_map(|holdings| &holdings.loading);
        loading
            .filter(|(name, _)| **name == *model)
            .map(|(_, ready_at)| *ready_at)
            .min()
    }

    /// When the first upstream of the service accepts requests for the model again,
    /// among those that currently asked for none.
    pub fn accepts_again_at(
        &self,
        now: Instant,
        service: &str,
        model: Option<&str>,
    ) -> Option<Instant> {
        let candidates = self.of_service(service).filter(|upstream| {
            upstream.is_usable(now)
                && model.is_none_or(|model| upstream.holds(now, model, None))
        });
        candidates
            .filter_map(|upstream| upstream.accepts_again_at(now))
            .min()
    }

    /// Returns an upstream by name.
    pub fn get(&self, id: &str) -> Option<&Upstream> {
        self.upstreams.get(id)
    }

    /// Returns an upstream by name.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Upstream> {
        self.upstreams.get_mut(id)
    }

    /// The upstreams of a service.
    pub fn of_service<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = &'a Upstream> {
        let all = self.upstreams.values();
        all.filter(move |upstream| &*upstream.record.service == service)
    }

    /// All upstreams.
    pub fn all(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values()
    }

    /// The usable upstreams of all services whose configuration has models.
    pub fn model_upstreams<'a>(
        &'a self,
        now: Instant,
        config: &'a Config,
    ) -> impl Iterator<Item = &'a Upstream> {
        self.all().filter(move |upstream| {
            let spec = config.services.get(&upstream.record.service);
            upstream.is_usable(now) && spec.is_some_and(|spec| spec.engine.is_some())
        })
    }
}
