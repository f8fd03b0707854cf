//! What this entry knows of the upstreams.

mod incarnations;
mod liveness;
mod rate;
mod refusals;
mod upstream;

use base::prelude::*;
use std::cmp::Ordering;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use crate::{Config, ResidentModel, UpstreamIncarnation, UpstreamRecord};
use upstream::{CoordinatorHoldings, HOLDINGS_MAX_AGE_MS, HOLDINGS_VALID_MS};

pub use liveness::Activity;
pub use rate::{RateLimit, RateNotice};
pub use upstream::{Upstream, Usage};

/// Time after the platform's return in which a missing entry may only have
/// lapsed while it was away.
const RETURN_GRACE_MS: u64 = 3_000;

/// Time for which an upstream that is gone is remembered.
const FORGET_MS: u64 = 60_000;

/// Time for which entries tell one another that an upstream is leaving: longer than
/// a leaving upstream may get requests, and than most cuts between entries.
const LEAVING_RESEND_MS: u64 = 8_000;

/// The latest giver of orders that was heard.
#[derive(Debug, Default)]
struct LatestCoordinator {
    token: u64,
    /// When it was heard first.
    first_heard_at: Instant,
}

/// Upstreams that each other entry named last, of its use and of what it hears.
///
/// What an entry names no more it uses no more. Looked for among all upstreams at each
/// message, with 3,000 of them and 300 entries that was all that an entry did.
#[derive(Debug, Default)]
struct PeerMentions {
    used: HashMap<String, Vec<Arc<str>>>,
    heard: HashMap<String, Vec<Arc<str>>>,
}

/// All upstreams, by name.
#[derive(Debug, Default)]
pub struct Fleet {
    upstreams: BTreeMap<Arc<str>, Upstream>,
    /// When the platform answered again after it was away.
    platform_returned_at: Option<Instant>,
    coordinator: LatestCoordinator,
    peer_mentions: PeerMentions,
}

impl Fleet {
    /// An empty fleet.
    pub fn new() -> Self {
        Self::default()
    }

    /// The platform answers again after it was away.
    pub const fn platform_returned(&mut self, now: Instant) {
        self.platform_returned_at = Some(now);
    }

    /// The whole list at a version; what is missing from it has gone.
    pub fn apply_list(
        &mut self,
        now: Instant,
        at: u64,
        listed: Vec<(u64, UpstreamRecord)>,
    ) {
        let names: Vec<Arc<str>> = listed
            .iter()
            .map(|(_, news)| Arc::clone(&news.id))
            .collect();
        for (version, news) in listed {
            self.apply_record(version, news);
        }
        self.update_undated();
        let missing: Vec<Arc<str>> = self
            .upstreams
            .keys()
            .filter(|id| !names.contains(id))
            .cloned()
            .collect();
        for id in missing {
            self.remove(now, &id, at);
        }
    }

    /// News of one upstream; older news than is known changes nothing. True if it
    /// has started again.
    pub fn apply_update(&mut self, version: u64, news: UpstreamRecord) -> bool {
        let known = self.upstreams.len();
        let restarted = self.apply_record(version, news);
        // Looks at all: most news, signs of life, leave their number as it is.
        if restarted || self.upstreams.len() != known {
            self.update_undated();
        }
        restarted
    }

    /// A start goes before a version: what an earlier start wrote last may be
    /// carried out after the later one's entry, and would have a higher version.
    /// That an entry was missing at a version holds for all starts before it.
    fn apply_record(&mut self, version: u64, news: UpstreamRecord) -> bool {
        let Some(known) = self.upstreams.get_mut(&news.id) else {
            let id = Arc::clone(&news.id);
            self.upstreams.insert(id, Upstream::new(news, version));
            return false;
        };
        if known.gone_version.is_some_and(|gone| version <= gone) {
            return false;
        }
        match news.started_unix_ms.cmp(&known.record.started_unix_ms) {
            Ordering::Less => return false,
            Ordering::Greater => {
                *known = Upstream::new(news, version);
                return true;
            }
            Ordering::Equal if version < known.version => return false,
            Ordering::Equal => {}
        }
        // An upstream that said it is leaving never takes work again; only its
        // next start does. One whose entry had vanished and is back lives: its
        // signs of life were lost on their way.
        let leaving = known.record.leaving || news.leaving;
        known.is_leaving_unlisted &= !news.leaving;
        known.record = news;
        known.record.leaving = leaving;
        known.version = version;
        known.vanished_at = None;
        known.gone_version = None;
        known.is_confirmed_gone = false;
        false
    }

    /// The entry of an upstream can't be read at a version: another writer's took
    /// the place of its own. Whether the upstream was known.
    ///
    /// It gets nothing new until a newer entry of its own is there. That the entry
    /// is not missing but replaced shows that it has not lapsed, so the grace after
    /// an outage is not given.
    pub fn mark_unreadable(&mut self, id: &str, version: u64) -> bool {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return false;
        };
        if version < upstream.version {
            return true;
        }
        upstream.gone_version = upstream.gone_version.max(Some(version));
        upstream.vanished_at = None;
        upstream.is_confirmed_gone = true;
        true
    }

    /// The entry of an upstream has gone from the platform.
    ///
    /// It is taken to be leaving until its entry is back, unless it may only have
    /// lapsed while the platform was away: all upstreams would be lost at once to
    /// a pause of the platform.
    pub fn remove(&mut self, now: Instant, id: &str, version: u64) {
        let lapsed = self
            .platform_returned_at
            .is_some_and(|at| now.ms_since(at) < RETURN_GRACE_MS);
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        if version < upstream.version {
            return;
        }
        upstream.gone_version = Some(version);
        upstream.is_leaving_unlisted = false;
        // One whose entry went while the platform answered has left, and is not
        // excused by an outage that comes later.
        if !lapsed && upstream.vanished_at.is_none() {
            upstream.is_confirmed_gone = true;
        } else if lapsed && !upstream.is_confirmed_gone {
            upstream.vanished_at.get_or_insert(now);
        }
    }

    /// Upstreams that are leaving or whose entries have vanished, for a while after
    /// they were last used, with the version at which that was seen and whether it is
    /// the latter.
    ///
    /// Others hear of it by the platform as well, and what was told for seconds is
    /// known. Told for as long as they are remembered, the upstreams of a failure
    /// domain that is lost were most of each message for a minute. What the platform does
    /// not say yet is told for as long: an entry that starts can't hear it elsewhere.
    pub fn leaving_upstreams(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&Upstream, u64, bool)> {
        let lately = self.all().filter(move |upstream| {
            upstream.is_leaving_unlisted
                || now.ms_since(upstream.last_active_at) < LEAVING_RESEND_MS
        });
        lately.filter_map(|upstream| {
            let (version, vanished) = upstream.leaving_version()?;
            Some((upstream, version, vanished))
        })
    }

    /// Forgets upstreams that are gone and have no request left.
    ///
    /// One that is still listed as leaving is kept: forgotten, it would be taken
    /// for a new one by the next list that is behind.
    pub fn forget_gone(&mut self, now: Instant) {
        self.upstreams.retain(|_, upstream| {
            upstream.forget_ended_rate_limit(now);
            if upstream.is_usable(now) || upstream.own_usage.running > 0 {
                upstream.last_active_at = now;
            }
            upstream.is_leaving_unlisted
                || now.ms_since(upstream.last_active_at) < FORGET_MS
        });
        self.update_undated();
    }

    /// An answer of this start says that it leaves, which its entry may come to say
    /// late or never; whether that is new.
    pub fn note_leaving(&mut self, start: UpstreamIncarnation<'_>) -> bool {
        self.incarnation_mut(start)
            .is_some_and(Upstream::mark_leaving)
    }

    /// Another entry says that an upstream is leaving, or that its entry had
    /// vanished at a version.
    pub fn peer_reported_leaving(
        &mut self,
        start: UpstreamIncarnation<'_>,
        version: u64,
        vanished: bool,
    ) {
        let Some(upstream) = self.note_incarnation(start) else {
            return;
        };
        if !vanished {
            upstream.mark_leaving();
        } else if version >= upstream.version && upstream.vanished_at.is_none() {
            upstream.gone_version = Some(version);
        }
    }

    /// Another entry's use of upstreams; what it does not name it does not use.
    pub fn set_peer_usage<'a>(
        &mut self,
        now: Instant,
        peer: &str,
        used: impl Iterator<Item = (UpstreamIncarnation<'a>, Usage)>,
    ) {
        for id in self.peer_mentions.used.remove(peer).unwrap_or_default() {
            // Left in with nothing, each entry that ever used it would be added up at
            // each choice.
            if let Some(upstream) = self.upstreams.get_mut(&id) {
                upstream.peer_usage.remove(peer);
            }
        }
        let mut named = Vec::new();
        for (start, usage) in used {
            let Some(upstream) = self.note_incarnation(start) else {
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

    /// What another entry hears of upstreams; where it names none, it has no
    /// request.
    pub fn set_peer_activity<'a>(
        &mut self,
        now: Instant,
        peer: &str,
        heard: impl Iterator<Item = (UpstreamIncarnation<'a>, Activity)>,
    ) {
        for id in self.peer_mentions.heard.remove(peer).unwrap_or_default() {
            if let Some(upstream) = self.upstreams.get_mut(&id) {
                upstream.liveness.set_peer_report(now, peer, None);
            }
        }
        let mut named = Vec::new();
        for (start, activity) in heard {
            if let Some(upstream) = self.incarnation_mut(start) {
                upstream.liveness.set_peer_report(now, peer, Some(activity));
                named.push(Arc::clone(&upstream.record.id));
            }
        }
        self.peer_mentions.heard.insert(peer.to_owned(), named);
    }

    /// What the giver of orders says that an upstream holds, and what is on its
    /// way there, with when it is expected to serve.
    pub fn set_coordinator_holdings(
        &mut self,
        now: Instant,
        start: UpstreamIncarnation<'_>,
        residents: Vec<ResidentModel>,
        coming: Vec<(Arc<str>, Instant)>,
    ) {
        if let Some(upstream) = self.note_incarnation(start) {
            upstream.coordinator_holdings = Some(CoordinatorHoldings {
                received_at: now,
                confirmed_at: now,
                residents,
                loading: coming,
            });
        }
    }

    /// The giver of orders was heard, under this token: what it has said still holds.
    ///
    /// It tells of a change at once and of all upstreams in turn, which takes seconds
    /// where there are many entries. What an earlier giver said ends with it.
    pub fn coordinator_heard(&mut self, now: Instant, token: u64) {
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
            let said = upstream.coordinator_holdings.as_mut();
            let said = said.filter(|said| said.received_at >= since);
            if let Some(said) =
                said.filter(|said| now.ms_since(said.received_at) < HOLDINGS_MAX_AGE_MS)
            {
                said.confirmed_at = now;
            }
        }
    }

    /// When the first upstream of a service is expected to serve a model that is
    /// on its way there.
    pub fn model_ready_at(
        &self,
        now: Instant,
        service: &str,
        model: &str,
    ) -> Option<Instant> {
        let said = self
            .of_service(service)
            .filter(|upstream| upstream.is_usable(now))
            .filter_map(|upstream| upstream.coordinator_holdings.as_ref())
            .filter(|said| now.ms_since(said.confirmed_at) < HOLDINGS_VALID_MS);
        let coming = said.flat_map(|said| &said.loading);
        coming
            .filter(|(name, _)| **name == *model)
            .map(|(_, ready_at)| *ready_at)
            .min()
    }

    /// When the first upstream of a service takes requests for a model again, among those
    /// that said that they don't now.
    pub fn accepts_again_at(
        &self,
        now: Instant,
        service: &str,
        model: Option<&str>,
    ) -> Option<Instant> {
        let able = self.of_service(service).filter(|upstream| {
            upstream.is_usable(now)
                && model.is_none_or(|model| upstream.holds(now, model, None))
        });
        able.filter_map(|upstream| upstream.accepts_again_at(now))
            .min()
    }

    /// One upstream.
    pub fn get(&self, id: &str) -> Option<&Upstream> {
        self.upstreams.get(id)
    }

    /// One upstream.
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

    /// Services of models among those of the configuration, with their usable
    /// upstreams.
    pub fn model_upstreams<'a>(
        &'a self,
        now: Instant,
        setup: &'a Config,
    ) -> impl Iterator<Item = &'a Upstream> {
        self.all().filter(move |upstream| {
            let spec = setup.services.get(&upstream.record.service);
            upstream.is_usable(now) && spec.is_some_and(|spec| spec.engine.is_some())
        })
    }
}
