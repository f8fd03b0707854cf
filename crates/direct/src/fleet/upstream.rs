//! What is known of one upstream.

use base::prelude::*;
use std::collections::HashMap;
use std::sync::Arc;

use super::liveness::{Activity, Liveness};
use super::rate::RateNotice;
use super::refusals::Refusals;
use crate::{AvoidReason, PrefillQueue, ResidentModel, UpstreamRecord};

/// Time for which an upstream is still used whose entry was found missing just
/// after the platform was away. Entries that lapsed meanwhile are back within two
/// seconds of the platform's return if the upstream lives. One that really left
/// must get nothing two seconds after the platform knew it, and the news of that
/// may have taken almost one.
const VANISHED_GRACE_MS: u64 = 1_000;

/// Age at which what another entry said of its own requests counts no more.
const PEER_USAGE_MS: u64 = 1_500;

/// Silence of the giver of orders after which what it said counts no more. Once it
/// counts no more, an upstream is asked for models that were unloaded since, as the
/// platform's news of them come late.
pub(super) const HOLDINGS_VALID_MS: u64 = 1_500;

/// Age at which what the giver said of an upstream counts no more though the giver is
/// heard: it tells of each one several times meanwhile, unless it knows nothing of
/// that one any more.
pub(super) const HOLDINGS_MAX_AGE_MS: u64 = 3 * crate::HOLDINGS_RESEND_MS;

/// Time for which an upstream that could not be connected to is avoided.
const CONNECT_FAILED_MS: u64 = 1_000;

/// Time for which an upstream's own word that it does not hold a model goes
/// before the news of it, which are as late.
const NOT_HELD_MS: u64 = 300;

/// Weight of the newest answer in the share of failed ones.
const NEWEST_ANSWER_WEIGHT: f64 = 0.08;

/// Prompt parts remembered for each upstream.
const MAX_PROMPT_PARTS: usize = 2_048;

/// Use of an upstream by one entry's requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Requests sent and not ended.
    pub running: u32,
    /// Prompts of requests that have no first answer yet.
    pub prefill: PrefillQueue,
    /// Tokens that the requests may keep at the upstream.
    pub kv_tokens: u64,
}

impl Usage {
    pub(super) fn add(&mut self, other: &Self) {
        self.running += other.running;
        self.prefill.add(&other.prefill);
        self.kv_tokens += other.kv_tokens;
    }
}

/// One upstream.
#[derive(Debug)]
pub struct Upstream {
    /// What the platform last said.
    pub record: UpstreamRecord,
    /// Version of the platform's entry.
    pub version: u64,
    /// When its entry was found missing while that may have been the platform's
    /// outage.
    pub(super) vanished_at: Option<Instant>,
    /// Version at which its entry was found missing, or could not be read.
    pub(super) gone_version: Option<u64>,
    /// Whether the entry is known to be gone or not to be the upstream's, so that
    /// an outage of the platform does not excuse it.
    pub(super) is_confirmed_gone: bool,
    /// Whether its answers say that it leaves and its entry does not yet.
    pub(super) is_leaving_unlisted: bool,
    /// Whether its entry does not say when it started though most entries do.
    pub(super) lacks_start_time: bool,
    /// This entry's own requests there.
    pub own_usage: Usage,
    /// Other entries' requests there.
    pub(super) peer_usage: HashMap<String, (Instant, Usage)>,
    /// What the giver of orders says that it holds.
    pub(super) coordinator_holdings: Option<CoordinatorHoldings>,
    /// Prompt parts that it has read, by the hash of the parts up to them.
    pub(super) prompt_parts: HashMap<u64, Instant>,
    /// Models and adapters that it said not to hold, with until when that is
    /// believed before what others say of it.
    pub(super) not_held: Vec<(Arc<str>, Option<Arc<str>>, Instant)>,
    /// Models that it turns requests away from.
    pub(super) refusals: Refusals,
    /// What entries hear of it.
    pub(super) liveness: Liveness,
    /// What its answers say of the rate that it takes.
    pub(super) rate_notice: Option<RateNotice>,
    pub(super) rate_spent_until: Instant,
    /// Until when it asks for no request of this entry.
    pub(super) backed_off_until: Instant,
    /// When it was last usable or in use, as far as it was looked at.
    pub(super) last_active_at: Instant,
    pub(super) connect_failed_until: Instant,
    pub(super) failed_share: f64,
}

/// What the giver of orders says that an upstream holds.
#[derive(Debug)]
pub(super) struct CoordinatorHoldings {
    /// When it said so.
    pub(super) received_at: Instant,
    /// When it was last heard since.
    pub(super) confirmed_at: Instant,
    pub(super) residents: Vec<ResidentModel>,
    /// Models on their way, with when they are expected to serve.
    pub(super) loading: Vec<(Arc<str>, Instant)>,
}

impl Upstream {
    pub(super) fn new(news: UpstreamRecord, version: u64) -> Self {
        Self {
            record: news,
            version,
            vanished_at: None,
            gone_version: None,
            is_confirmed_gone: false,
            is_leaving_unlisted: false,
            lacks_start_time: false,
            own_usage: Usage::default(),
            peer_usage: HashMap::new(),
            coordinator_holdings: None,
            prompt_parts: HashMap::new(),
            not_held: Vec::new(),
            refusals: Refusals::default(),
            liveness: Liveness::default(),
            rate_notice: None,
            rate_spent_until: Instant::ZERO,
            backed_off_until: Instant::ZERO,
            last_active_at: Instant::ZERO,
            connect_failed_until: Instant::ZERO,
            failed_share: 0.0,
        }
    }

    /// Whether requests may be sent there at all.
    pub fn is_usable(&self, now: Instant) -> bool {
        let vanished_ms = self.vanished_at.map(|at| now.ms_since(at));
        let lapsed = vanished_ms.is_some_and(|ms| ms < VANISHED_GRACE_MS);
        let listed = self.gone_version.is_none() || (lapsed && !self.is_confirmed_gone);
        !self.record.leaving && !self.lacks_start_time && listed
    }

    /// Another than the platform says that it leaves; whether that is new.
    pub(super) fn mark_leaving(&mut self) -> bool {
        let is_new = !std::mem::replace(&mut self.record.leaving, true);
        self.is_leaving_unlisted |= is_new && self.gone_version.is_none();
        is_new
    }

    /// The version at which it was said to leave or its entry vanished, and
    /// whether the latter.
    pub fn leaving_version(&self) -> Option<(u64, bool)> {
        if self.record.leaving {
            return Some((self.version, false));
        }
        self.gone_version.map(|version| (version, true))
    }

    /// Whether it is better avoided.
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.avoid_reason(now).is_some()
    }

    /// Why it is better avoided, if it is.
    pub fn avoid_reason(&self, now: Instant) -> Option<AvoidReason> {
        if now < self.connect_failed_until {
            return Some(AvoidReason::Unreached);
        }
        if self.vanished_at.is_some() {
            return Some(AvoidReason::Vanished);
        }
        self.is_silent(now).then_some(AvoidReason::Silent)
    }

    /// Whether it has work from here and gives no sign of life that is due.
    pub fn is_silent(&self, now: Instant) -> bool {
        if self.own_usage.running == 0 {
            return false;
        }
        let prefill_ms = self.usage(now).prefill.prefill_ms();
        self.liveness.is_silent(now, prefill_ms as u64)
    }

    /// What this entry hears of it.
    pub fn activity(&self, now: Instant) -> Activity {
        self.liveness.activity(now)
    }

    /// Use by all entries.
    pub fn usage(&self, now: Instant) -> Usage {
        let mut usage = self.own_usage;
        for (at, peer) in self.peer_usage.values() {
            if now.ms_since(*at) < PEER_USAGE_MS {
                usage.add(peer);
            }
        }
        usage
    }

    /// What it holds: as the giver of orders says, who knows what it has just
    /// ordered, and as the platform says when the giver has fallen silent.
    pub fn residents(&self, now: Instant) -> &[ResidentModel] {
        match &self.coordinator_holdings {
            Some(said) if now.ms_since(said.confirmed_at) < HOLDINGS_VALID_MS => {
                &said.residents
            }
            _ => &self.record.residents,
        }
    }

    /// Whether it holds a model, and the adapter if one is asked for.
    pub fn holds(&self, now: Instant, model: &str, adapter: Option<&str>) -> bool {
        let mut denied = self.not_held.iter();
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
            .take_while(|(chain, _)| self.prompt_parts.contains_key(chain));
        known.map(|(_, tokens)| tokens).sum()
    }

    /// Remembers prompt parts that it reads now.
    pub fn remember_prompt_parts(&mut self, now: Instant, parts: &[(u64, u64)]) {
        for (chain, _) in parts {
            self.prompt_parts.insert(*chain, now);
        }
        if self.prompt_parts.len() > MAX_PROMPT_PARTS {
            let oldest = now - Duration::from_secs(5);
            self.prompt_parts.retain(|_, at| *at > oldest);
        }
    }

    /// A request was sent.
    pub fn request_sent(&mut self, now: Instant, usage: &Usage) {
        if self.own_usage.running == 0 {
            self.liveness.bytes_received(now);
        }
        self.own_usage.add(usage);
    }

    /// Some bytes came from it.
    pub const fn bytes_received(&mut self, now: Instant) {
        self.liveness.bytes_received(now);
    }

    /// A request has its first answer.
    pub fn first_answer_received(&mut self, queue: &PrefillQueue) {
        self.own_usage.prefill.remove(queue);
        self.liveness.first_answer_received();
    }

    /// A request ended.
    pub const fn requests_ended(&mut self, running: u32, kept_tokens: u64) {
        self.own_usage.running = self.own_usage.running.saturating_sub(running);
        self.own_usage.kv_tokens = self.own_usage.kv_tokens.saturating_sub(kept_tokens);
        self.liveness.requests_ended(running);
    }

    /// Counts an answer, whether it was good.
    pub fn record_answer(&mut self, ok: bool) {
        let newest = if ok { 0.0 } else { 1.0 };
        self.failed_share += (newest - self.failed_share) * NEWEST_ANSWER_WEIGHT;
    }

    /// It said that it does not hold a model or adapter.
    pub fn note_not_held(
        &mut self,
        now: Instant,
        model: &Arc<str>,
        adapter: Option<&Arc<str>>,
    ) {
        self.not_held.retain(|(_, _, until)| now < *until);
        let until = now.plus_ms(NOT_HELD_MS);
        self.not_held
            .push((Arc::clone(model), adapter.cloned(), until));
    }

    /// It refused a request for a model, which has not run.
    pub fn request_refused(&mut self, now: Instant, model: &Arc<str>) {
        self.refusals.record(now, model);
    }

    /// It took a request for a model.
    pub fn request_accepted(&mut self, model: &str) {
        self.refusals.clear(model);
    }

    /// Whether it refuses requests for a model, as far as is known.
    pub fn is_refusing(&self, now: Instant, model: &str) -> bool {
        self.refusals.is_paused(now, model)
    }

    /// It turned a request of this entry away and asks for none until then. A shorter
    /// time, as in an answer that was overtaken, takes nothing back.
    pub fn back_off(&mut self, until: Instant) {
        self.backed_off_until = self.backed_off_until.max(until);
    }

    /// Whether it asked this entry for no request for now.
    pub fn is_backed_off(&self, now: Instant) -> bool {
        now < self.backed_off_until
    }

    /// When it takes requests of this entry again, where it said that it does not now.
    pub fn accepts_again_at(&self, now: Instant) -> Option<Instant> {
        let spent = self.is_rate_spent(now).then_some(self.rate_spent_until);
        let backed_off = self.is_backed_off(now).then_some(self.backed_off_until);
        spent.max(backed_off)
    }

    /// It could not be connected to.
    pub fn connect_failed(&mut self, now: Instant) {
        self.connect_failed_until = now.plus_ms(CONNECT_FAILED_MS);
    }
}
