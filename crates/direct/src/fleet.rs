//! What this entry knows of the upstreams.

mod starts;

use base::prelude::*;
use std::cmp::Ordering;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use crate::{Doubt, Resident, Setup, Start, UpstreamNews};

/// Time for which an upstream is still used whose entry was found missing just
/// after the platform was away. Entries that lapsed meanwhile are back within two
/// seconds of the platform's return if the upstream lives. One that really left
/// must get nothing two seconds after the platform knew it, and the news of that
/// may have taken almost one.
const VANISHED_MS: u64 = 1_000;

/// Time after the platform's return in which a missing entry may only have
/// lapsed while it was away.
const RETURN_MS: u64 = 3_000;

/// Age at which what another entry said of its own requests counts no more.
const PEER_USAGE_MS: u64 = 1_500;

/// Age at which what the giver of orders said counts no more; it tells of each
/// upstream twice a second.
const SAID_MS: u64 = 1_500;

/// Silence of an upstream that has work after which it is avoided. Engines give
/// an event every few tens of milliseconds; the longest prompts take 350 ms.
const SILENT_MS: u64 = 700;

/// Time for which an upstream that could not be connected to is avoided.
const UNREACHED_MS: u64 = 1_000;

/// Time for which an upstream's own word that it does not hold a model goes
/// before the news of it, which are as late.
const DENIED_MS: u64 = 300;

/// Weight of the newest answer in the share of failed ones.
const FAILED_WEIGHT: f64 = 0.08;

/// Time for which an upstream that is gone is remembered.
const FORGET_MS: u64 = 60_000;

/// Prompt parts remembered for each upstream.
const PARTS_MAX: usize = 2_048;

/// Use of an upstream by one entry's requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Requests sent and not ended.
    pub running: u32,
    /// Prompt tokens to be read of requests that have no first answer yet, as
    /// many as take the same time at the common pace.
    pub waiting_tokens: u64,
    /// Tokens that the requests may keep at the upstream.
    pub kept_tokens: u64,
}

impl Usage {
    fn add(&mut self, other: &Self) {
        self.running += other.running;
        self.waiting_tokens += other.waiting_tokens;
        self.kept_tokens += other.kept_tokens;
    }
}

/// One upstream.
#[derive(Debug)]
pub struct Upstream {
    /// What the platform last said.
    pub news: UpstreamNews,
    /// Version of the platform's entry.
    pub version: u64,
    /// When its entry was found missing while that may have been the platform's
    /// outage.
    vanished_at: Option<Instant>,
    /// Version at which its entry was found missing, or could not be read.
    gone: Option<u64>,
    /// Whether the entry is known to be gone or not to be the upstream's, so that
    /// an outage of the platform does not excuse it.
    is_void: bool,
    /// Whether its entry does not say when it started though most entries do.
    undated: bool,
    /// This entry's own requests there.
    pub own: Usage,
    /// Other entries' requests there.
    peers: HashMap<String, (Instant, Usage)>,
    /// What the giver of orders says that it holds.
    said: Option<Said>,
    /// Prompt parts that it has read, by the hash of the parts up to them.
    parts: HashMap<u64, Instant>,
    /// Models and adapters that it said not to hold, with until when that is
    /// believed before what others say of it.
    denied: Vec<(Arc<str>, Option<Arc<str>>, Instant)>,
    heard_at: Instant,
    /// When it was last usable or in use, as far as it was looked at.
    idle_since: Instant,
    unreached_until: Instant,
    failed_share: f64,
}

/// What the giver of orders says that an upstream holds.
#[derive(Debug)]
struct Said {
    at: Instant,
    residents: Vec<Resident>,
    /// Models on their way, with when they are expected to serve.
    coming: Vec<(Arc<str>, Instant)>,
}

impl Upstream {
    fn new(news: UpstreamNews, version: u64) -> Self {
        Self {
            news,
            version,
            vanished_at: None,
            gone: None,
            is_void: false,
            undated: false,
            own: Usage::default(),
            peers: HashMap::new(),
            said: None,
            parts: HashMap::new(),
            denied: Vec::new(),
            heard_at: Instant::ZERO,
            idle_since: Instant::ZERO,
            unreached_until: Instant::ZERO,
            failed_share: 0.0,
        }
    }

    /// Whether requests may be sent there at all.
    pub fn is_usable(&self, now: Instant) -> bool {
        let vanished_ms = self.vanished_at.map(|at| now.ms_since(at));
        let lapsed = vanished_ms.is_some_and(|ms| ms < VANISHED_MS);
        let listed = self.gone.is_none() || (lapsed && !self.is_void);
        !self.news.leaving && !self.undated && listed
    }

    /// The version at which it was said to leave or its entry vanished, and
    /// whether the latter.
    pub fn leaving(&self) -> Option<(u64, bool)> {
        if self.news.leaving {
            return Some((self.version, false));
        }
        self.gone.map(|version| (version, true))
    }

    /// Whether it is better avoided.
    pub fn is_suspected(&self, now: Instant) -> bool {
        self.doubt(now).is_some()
    }

    /// Why it is better avoided, if it is.
    pub fn doubt(&self, now: Instant) -> Option<Doubt> {
        if now < self.unreached_until {
            return Some(Doubt::Unreached);
        }
        if self.vanished_at.is_some() {
            return Some(Doubt::Vanished);
        }
        self.is_silent(now).then_some(Doubt::Silent)
    }

    /// Whether it has work from here and gives no sign of life to any of it.
    pub fn is_silent(&self, now: Instant) -> bool {
        self.own.running > 0 && now.ms_since(self.heard_at) > SILENT_MS
    }

    /// Time since the last bytes from it.
    pub fn silent_ms(&self, now: Instant) -> u64 {
        now.ms_since(self.heard_at)
    }

    /// Use by all entries.
    pub fn usage(&self, now: Instant) -> Usage {
        let mut usage = self.own;
        for (at, peer) in self.peers.values() {
            if now.ms_since(*at) < PEER_USAGE_MS {
                usage.add(peer);
            }
        }
        usage
    }

    /// What it holds: as the giver of orders says, who knows what it has just
    /// ordered, and as the platform says when the giver has fallen silent.
    pub fn residents(&self, now: Instant) -> &[Resident] {
        match &self.said {
            Some(said) if now.ms_since(said.at) < SAID_MS => &said.residents,
            _ => &self.news.residents,
        }
    }

    /// Whether it holds a model, and the adapter if one is asked for.
    pub fn holds(&self, now: Instant, model: &str, adapter: Option<&str>) -> bool {
        let mut denied = self.denied.iter();
        if denied.any(|(name, of, until)| {
            **name == *model && of.as_deref() == adapter && now < *until
        }) {
            return false;
        }
        let mut held = self.residents(now).iter();
        held.any(|resident| {
            &*resident.model == model
                && adapter.is_none_or(|adapter| {
                    resident.adapters.iter().any(|held| &**held == adapter)
                })
        })
    }

    /// Share of its last answers that failed.
    pub const fn failed_share(&self) -> f64 {
        self.failed_share
    }

    /// Prompt tokens that it need not read again.
    pub fn cached_tokens(&self, parts: &[(u64, u64)]) -> u64 {
        let known = parts
            .iter()
            .take_while(|(chain, _)| self.parts.contains_key(chain));
        known.map(|(_, tokens)| tokens).sum()
    }

    /// Remembers prompt parts that it reads now.
    pub fn remember_parts(&mut self, now: Instant, parts: &[(u64, u64)]) {
        for (chain, _) in parts {
            self.parts.insert(*chain, now);
        }
        if self.parts.len() > PARTS_MAX {
            let oldest = now - Duration::from_secs(5);
            self.parts.retain(|_, at| *at > oldest);
        }
    }

    /// A request was sent.
    pub fn sent(&mut self, now: Instant, usage: &Usage) {
        if self.own.running == 0 {
            self.heard_at = now;
        }
        self.own.add(usage);
    }

    /// Some bytes came from it.
    pub const fn heard(&mut self, now: Instant) {
        self.heard_at = now;
    }

    /// A request has its first answer.
    pub const fn begun(&mut self, waiting_tokens: u64) {
        self.own.waiting_tokens =
            self.own.waiting_tokens.saturating_sub(waiting_tokens);
    }

    /// A request ended.
    pub const fn ended(&mut self, running: u32, kept_tokens: u64) {
        self.own.running = self.own.running.saturating_sub(running);
        self.own.kept_tokens = self.own.kept_tokens.saturating_sub(kept_tokens);
    }

    /// Counts an answer, whether it was good.
    pub fn observe(&mut self, ok: bool) {
        let newest = if ok { 0.0 } else { 1.0 };
        self.failed_share += (newest - self.failed_share) * FAILED_WEIGHT;
    }

    /// It said that it does not hold a model or adapter.
    pub fn deny(&mut self, now: Instant, model: &Arc<str>, adapter: Option<&Arc<str>>) {
        self.denied.retain(|(_, _, until)| now < *until);
        let until = now.plus_ms(DENIED_MS);
        self.denied
            .push((Arc::clone(model), adapter.cloned(), until));
    }

    /// It could not be connected to.
    pub fn unreached(&mut self, now: Instant) {
        self.unreached_until = now.plus_ms(UNREACHED_MS);
    }
}

/// All upstreams, by name.
#[derive(Debug, Default)]
pub struct Fleet {
    upstreams: BTreeMap<Arc<str>, Upstream>,
    /// When the platform answered again after it was away.
    returned_at: Option<Instant>,
}

impl Fleet {
    /// An empty fleet.
    pub fn new() -> Self {
        Self::default()
    }

    /// The platform answers again after it was away.
    pub const fn platform_returned(&mut self, now: Instant) {
        self.returned_at = Some(now);
    }

    /// The whole list at a version; what is missing from it has gone.
    pub fn list(&mut self, now: Instant, at: u64, listed: Vec<(u64, UpstreamNews)>) {
        let names: Vec<Arc<str>> = listed
            .iter()
            .map(|(_, news)| Arc::clone(&news.id))
            .collect();
        for (version, news) in listed {
            self.take(version, news);
        }
        self.judge_undated();
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
    pub fn put(&mut self, version: u64, news: UpstreamNews) -> bool {
        let known = self.upstreams.len();
        let restarted = self.take(version, news);
        // Looks at all: most news, signs of life, leave their number as it is.
        if restarted || self.upstreams.len() != known {
            self.judge_undated();
        }
        restarted
    }

    /// A start goes before a version: what an earlier start wrote last may be
    /// carried out after the later one's entry, and would have a higher version.
    /// That an entry was missing at a version holds for all starts before it.
    fn take(&mut self, version: u64, news: UpstreamNews) -> bool {
        let Some(known) = self.upstreams.get_mut(&news.id) else {
            let id = Arc::clone(&news.id);
            self.upstreams.insert(id, Upstream::new(news, version));
            return false;
        };
        if known.gone.is_some_and(|gone| version <= gone) {
            return false;
        }
        match news.born_ms.cmp(&known.news.born_ms) {
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
        let leaving = known.news.leaving || news.leaving;
        known.news = news;
        known.news.leaving = leaving;
        known.version = version;
        known.vanished_at = None;
        known.gone = None;
        known.is_void = false;
        false
    }

    /// The entry of an upstream can't be read at a version: another writer's took
    /// the place of its own. Whether the upstream was known.
    ///
    /// It gets nothing new until a newer entry of its own is there. That the entry
    /// is not missing but replaced shows that it has not lapsed, so the grace after
    /// an outage is not given.
    pub fn unreadable(&mut self, id: &str, version: u64) -> bool {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return false;
        };
        if version < upstream.version {
            return true;
        }
        upstream.gone = upstream.gone.max(Some(version));
        upstream.vanished_at = None;
        upstream.is_void = true;
        true
    }

    /// The entry of an upstream has gone from the platform.
    ///
    /// It is taken to be leaving until its entry is back, unless it may only have
    /// lapsed while the platform was away: all upstreams would be lost at once to
    /// a pause of the platform.
    pub fn remove(&mut self, now: Instant, id: &str, version: u64) {
        let lapsed = self
            .returned_at
            .is_some_and(|at| now.ms_since(at) < RETURN_MS);
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        if version < upstream.version {
            return;
        }
        upstream.gone = Some(version);
        // One whose entry went while the platform answered has left, and is not
        // excused by an outage that comes later.
        if !lapsed && upstream.vanished_at.is_none() {
            upstream.is_void = true;
        } else if lapsed && !upstream.is_void {
            upstream.vanished_at.get_or_insert(now);
        }
    }

    /// Forgets upstreams that are gone and have no request left.
    ///
    /// One that is still listed as leaving is kept: forgotten, it would be taken
    /// for a new one by the next list that is behind.
    pub fn sweep(&mut self, now: Instant) {
        self.upstreams.retain(|_, upstream| {
            if upstream.is_usable(now) || upstream.own.running > 0 {
                upstream.idle_since = now;
            }
            now.ms_since(upstream.idle_since) < FORGET_MS
        });
        self.judge_undated();
    }

    /// Another entry says that an upstream is leaving, or that its entry had
    /// vanished at a version.
    pub fn heard_leaving(&mut self, start: Start<'_>, version: u64, vanished: bool) {
        let Some(upstream) = self.heard_of(start) else {
            return;
        };
        if !vanished {
            upstream.news.leaving = true;
        } else if version >= upstream.version && upstream.vanished_at.is_none() {
            upstream.gone = Some(version);
        }
    }

    /// Another entry's use of upstreams; what it does not name it does not use.
    pub fn peer_usage<'a>(
        &mut self,
        now: Instant,
        peer: &str,
        used: impl Iterator<Item = (Start<'a>, Usage)>,
    ) {
        for upstream in self.upstreams.values_mut() {
            if let Some(known) = upstream.peers.get_mut(peer) {
                known.1 = Usage::default();
            }
        }
        for (start, usage) in used {
            let Some(upstream) = self.heard_of(start) else {
                continue;
            };
            match upstream.peers.get_mut(peer) {
                Some(known) => *known = (now, usage),
                None => {
                    upstream.peers.insert(peer.to_owned(), (now, usage));
                }
            }
        }
    }

    /// What the giver of orders says that an upstream holds, and what is on its
    /// way there, with when it is expected to serve.
    pub fn said(
        &mut self,
        now: Instant,
        start: Start<'_>,
        residents: Vec<Resident>,
        coming: Vec<(Arc<str>, Instant)>,
    ) {
        if let Some(upstream) = self.heard_of(start) {
            upstream.said = Some(Said {
                at: now,
                residents,
                coming,
            });
        }
    }

    /// When the first upstream of a service is expected to serve a model that is
    /// on its way there.
    pub fn ready_at(
        &self,
        now: Instant,
        service: &str,
        model: &str,
    ) -> Option<Instant> {
        let said = self
            .of(service)
            .filter(|upstream| upstream.is_usable(now))
            .filter_map(|upstream| upstream.said.as_ref())
            .filter(|said| now.ms_since(said.at) < SAID_MS);
        let coming = said.flat_map(|said| &said.coming);
        coming
            .filter(|(name, _)| **name == *model)
            .map(|(_, ready_at)| *ready_at)
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
    pub fn of<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Upstream> {
        let all = self.upstreams.values();
        all.filter(move |upstream| &*upstream.news.service == service)
    }

    /// All upstreams.
    pub fn all(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values()
    }

    /// Services of models among those of the configuration, with their usable
    /// upstreams.
    pub fn engines<'a>(
        &'a self,
        now: Instant,
        setup: &'a Setup,
    ) -> impl Iterator<Item = &'a Upstream> {
        self.all().filter(move |upstream| {
            let spec = setup.services.get(&upstream.news.service);
            upstream.is_usable(now) && spec.is_some_and(|spec| spec.engine.is_some())
        })
    }
}
