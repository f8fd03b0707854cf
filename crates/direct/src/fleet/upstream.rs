//! What is known about one upstream.

use base::prelude::*;
use std::collections::HashMap;
use std::sync::Arc;

use super::liveness::{Activity, Liveness};
use super::rate::RateNotice;
use super::refusals::Refusals;
use crate::pace::Pace;
use crate::{
    AvoidReason, PrefillQueue, ResidentModel, SoftwareVersion, StreamOrigin,
    UpstreamRecord,
};

/// Time for which an upstream is still used if its record was found missing just after
/// the platform was away. Records that expired meanwhile are back within two seconds of
/// the platform's return if the upstream is alive. An upstream that really left must
/// get no request later than two seconds after its record was removed, and this entry
/// may learn of the removal almost one second late.
const VANISHED_GRACE_MS: u64 = 1_000;

/// Age after which another entry's usage is ignored.
const PEER_USAGE_MS: u64 = 1_500;

/// Silence of the coordinator after which the holdings that it sent are ignored. From
/// then on, upstreams may get requests for models that were unloaded since, because the
/// platform's records are late.
pub(super) const HOLDINGS_VALID_MS: u64 = 1_500;

/// Age after which the holdings of an upstream are ignored although the coordinator is
/// heard. The coordinator sends the holdings of each upstream several times within this
/// time, unless it no longer knows the upstream.
pub(super) const HOLDINGS_MAX_AGE_MS: u64 = 3 * crate::HOLDINGS_RESEND_MS;

/// Time for which an upstream is avoided after a failed connection attempt.
const CONNECT_FAILED_MS: u64 = 1_000;

/// Time for which an upstream's own answer that it doesn't hold a model takes
/// precedence over records and holdings, which arrive with about this delay.
const NOT_HELD_MS: u64 = 300;

/// Weight of the newest answer in the share of failed answers.
const NEWEST_ANSWER_WEIGHT: f64 = 0.08;

/// Number of remembered prompt parts per upstream above which those older than 5 s are
/// dropped.
const MAX_PROMPT_PARTS: usize = 2_048;

/// Usage of an upstream by one entry's requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Number of requests that were sent and haven't ended.
    pub running: u32,
    /// Prompts of requests that have no first answer yet.
    pub prefill: PrefillQueue,
    /// Tokens that the requests may occupy in the upstream's KV cache.
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
    /// The platform's latest record.
    pub record: UpstreamRecord,
    /// Version of the record.
    pub version: u64,
    /// When the record was found missing, if that may be due to a platform outage.
    pub(super) vanished_at: Option<Instant>,
    /// Version at which the record was found missing or unreadable.
    pub(super) gone_version: Option<u64>,
    /// Version of a record that the platform listed again after it was restored, of an
    /// upstream that had left before.
    pub(super) restored_version: Option<u64>,
    /// Version at which another entry found the record missing, while the state that
    /// this entry knows is older.
    pub(super) reported_gone_version: Option<u64>,
    /// Whether the record is known to be removed or replaced by another writer, so that
    /// the grace period after a platform outage doesn't apply.
    pub(super) is_confirmed_gone: bool,
    /// Whether the upstream's responses say that it is leaving and its record doesn't
    /// yet.
    pub(super) is_leaving_unlisted: bool,
    /// Whether the record has no start time although most records have one.
    pub(super) lacks_start_time: bool,
    /// Usage by this entry's requests.
    pub own_usage: Usage,
    /// Usage by other entries' requests, with the time of each report.
    pub(super) peer_usage: HashMap<String, (Instant, Usage)>,
    /// What the upstream holds according to the coordinator.
    pub(super) coordinator_holdings: Option<CoordinatorHoldings>,
    /// Prompt parts that the upstream has prefilled, by the hash of the prompt up to
    /// and including the part.
    pub(super) prompt_parts: HashMap<u64, Instant>,
    /// Models and adapters that the upstream said it doesn't hold, and until when that
    /// takes precedence over other sources.
    pub(super) not_held: Vec<(Arc<str>, Option<Arc<str>>, Instant)>,
    /// Models for which the upstream refuses requests.
    pub(super) refusals: Refusals,
    /// What entries hear from the upstream.
    pub(super) liveness: Liveness,
    /// The request rate that its responses advertise.
    pub(super) rate_notice: Option<RateNotice>,
    /// Until when no request is sent because the advertised rate is used up.
    pub(super) rate_spent_until: Instant,
    /// Time until which it asked this entry to send no requests.
    pub(super) backed_off_until: Instant,
    /// When it was last asked for its incarnation, of the times at which it stated this one.
    pub(super) stated_at: Option<Instant>,
    /// When it was last seen to be usable or in use, or was first in a complete list.
    pub(super) last_active_at: Instant,
    /// Until when it is avoided because a connection attempt failed.
    pub(super) connect_failed_until: Instant,
    /// Share of recent answers that failed, from 0 to 1.
    pub(super) failed_share: f64,
    /// Its speed.
    pub(super) pace: Pace,
}

/// What an upstream holds according to the coordinator.
#[derive(Debug)]
pub(super) struct CoordinatorHoldings {
    /// When the holdings were received.
    pub(super) received_at: Instant,
    /// When the coordinator was last heard from after that.
    pub(super) confirmed_at: Instant,
    pub(super) residents: Vec<ResidentModel>,
    /// Models that are loading, with the time at which they are expected to serve.
    pub(super) loading: Vec<(Arc<str>, Instant)>,
}

impl Upstream {
    pub(super) fn new(record: UpstreamRecord, version: u64) -> Self {
        Self {
            record,
            version,
            vanished_at: None,
            gone_version: None,
            restored_version: None,
            reported_gone_version: None,
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
            stated_at: None,
            last_active_at: Instant::ZERO,
            connect_failed_until: Instant::ZERO,
            failed_share: 0.0,
            pace: Pace::default(),
        }
    }

    /// Whether requests may be sent to the upstream at all.
    pub fn is_usable(&self, now: Instant) -> bool {
        let vanished_ms = self.vanished_at.map(|at| now.ms_since(at));
        let in_grace = vanished_ms.is_some_and(|ms| ms < VANISHED_GRACE_MS);
        let listed =
            self.gone_version.is_none() || (in_grace && !self.is_confirmed_gone);
        let reported_gone = self.reported_gone_version.is_some();
        !self.record.leaving && !self.lacks_start_time && listed && !reported_gone
    }

    /// Whether the record of the upstream is in the platform, as far as is known.
    pub(super) const fn is_listed(&self) -> bool {
        self.gone_version.is_none() && self.reported_gone_version.is_none()
    }

    /// Records from a source other than the platform that the upstream is leaving.
    /// Returns whether this is new.
    pub(super) fn mark_leaving(&mut self) -> bool {
        let is_new = !std::mem::replace(&mut self.record.leaving, true);
        self.is_leaving_unlisted |= is_new && self.gone_version.is_none();
        is_new
    }

    /// The version at which the upstream was reported as leaving or its record
    /// vanished, and whether the record vanished; `None` if neither applies.
    pub fn leaving_version(&self) -> Option<(u64, bool)> {
        if self.record.leaving {
            return Some((self.version, false));
        }
        let gone_version = self.gone_version.max(self.reported_gone_version);
        gone_version.map(|version| (version, true))
    }

    /// Whether the upstream is avoided, so that others are preferred.
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.avoid_reason(now).is_some()
    }

    /// Why the upstream is avoided, if it is.
    pub fn avoid_reason(&self, now: Instant) -> Option<AvoidReason> {
        if now < self.connect_failed_until {
            return Some(AvoidReason::Unreached);
        }
        if self.vanished_at.is_some() {
            return Some(AvoidReason::Vanished);
        }
        self.is_silent(now).then_some(AvoidReason::Silent)
    }

    /// Whether it has requests of this entry and has sent them nothing for longer than
    /// is allowed.
    pub fn is_silent(&self, now: Instant) -> bool {
        if self.own_usage.running == 0 {
            return false;
        }
        let prefill_ms = self.usage(now).prefill.prefill_ms();
        self.liveness.is_silent(now, prefill_ms as u64)
    }

    /// What this entry hears from the upstream.
    pub fn activity(&self, now: Instant) -> Activity {
        self.liveness.activity(now)
    }

    /// Usage by all entries.
    pub fn usage(&self, now: Instant) -> Usage {
        let mut usage = self.own_usage;
        for (at, peer) in self.peer_usage.values() {
            if now.ms_since(*at) < PEER_USAGE_MS {
                usage.add(peer);
            }
        }
        usage
    }

    /// Models that are held: according to the coordinator, which knows what it has just
    /// ordered, or according to the platform if the coordinator is silent.
    pub fn residents(&self, now: Instant) -> &[ResidentModel] {
        match &self.coordinator_holdings {
            Some(holdings)
                if now.ms_since(holdings.confirmed_at) < HOLDINGS_VALID_MS =>
            {
                &holdings.residents
            }
            _ => &self.record.residents,
        }
    }

    /// Whether the upstream holds a model, and the adapter if one is given.
    pub fn holds(&self, now: Instant, model: &str, adapter: Option<&str>) -> bool {
        let mut not_held = self.not_held.iter();
        if not_held.any(|(name, adapter_name, until)| {
            **name == *model && adapter_name.as_deref() == adapter && now < *until
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

    /// Version of the software that it runs, if known.
    pub fn software(&self) -> Option<SoftwareVersion> {
        let text = self.record.software_version.as_deref();
        text.map(SoftwareVersion::new)
    }

    /// Whether a stream may go on here.
    pub fn can_continue(&self, origin: &StreamOrigin) -> bool {
        let is_same_version =
            origin.software.is_some() && self.software() == origin.software;
        is_same_version && self.record.service == origin.service
    }

    /// Share of recent answers that failed.
    pub const fn failed_share(&self) -> f64 {
        self.failed_share
    }

    /// Number of prompt tokens that the upstream need not prefill again.
    pub fn cached_tokens(&self, parts: &[(u64, u64)]) -> u64 {
        let cached = parts
            .iter()
            .take_while(|(prefix_hash, _)| self.prompt_parts.contains_key(prefix_hash));
        cached.map(|(_, tokens)| tokens).sum()
    }

    /// Remembers prompt parts that the upstream prefills now.
    pub fn remember_prompt_parts(&mut self, now: Instant, parts: &[(u64, u64)]) {
        for (prefix_hash, _) in parts {
            self.prompt_parts.insert(*prefix_hash, now);
        }
        if self.prompt_parts.len() > MAX_PROMPT_PARTS {
            let oldest = now - Duration::from_secs(5);
            self.prompt_parts.retain(|_, at| *at > oldest);
        }
    }

    /// Records that a request was sent.
    pub fn request_sent(&mut self, now: Instant, usage: &Usage) {
        if self.own_usage.running == 0 {
            self.liveness.bytes_received(now);
        }
        self.own_usage.add(usage);
    }

    /// Records that bytes were received.
    pub const fn bytes_received(&mut self, now: Instant) {
        self.liveness.bytes_received(now);
    }

    /// Records that a request has its first answer.
    pub fn first_answer_received(&mut self, queue: &PrefillQueue) {
        self.own_usage.prefill.remove(queue);
        self.liveness.first_answer_received();
    }

    /// Records that requests ended.
    pub const fn requests_ended(&mut self, running: u32, kv_tokens: u64) {
        self.own_usage.running = self.own_usage.running.saturating_sub(running);
        self.own_usage.kv_tokens = self.own_usage.kv_tokens.saturating_sub(kv_tokens);
        self.liveness.requests_ended(running);
    }

    /// Records whether an answer was good.
    pub fn record_answer(&mut self, ok: bool) {
        let sample = if ok { 0.0 } else { 1.0 };
        self.failed_share += (sample - self.failed_share) * NEWEST_ANSWER_WEIGHT;
    }

    /// Records that the upstream said it doesn't hold a model or adapter.
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

    /// Records that the upstream refused a request for a model without running it.
    pub fn request_refused(&mut self, now: Instant, model: &Arc<str>) {
        self.refusals.record(now, model);
    }

    /// Records that the upstream accepted a request for a model.
    pub fn request_accepted(&mut self, model: &str) {
        self.refusals.clear(model);
    }

    /// Whether the upstream refuses requests for a model, as far as known.
    pub fn is_refusing(&self, now: Instant, model: &str) -> bool {
        self.refusals.is_paused(now, model)
    }

    /// Records that the upstream refused a request of this entry and asked for none
    /// until `until`. An earlier time, as in a response that was overtaken, has no
    /// effect.
    pub fn back_off(&mut self, until: Instant) {
        self.backed_off_until = self.backed_off_until.max(until);
    }

    /// Whether the upstream asked this entry to send no requests now.
    pub fn is_backed_off(&self, now: Instant) -> bool {
        now < self.backed_off_until
    }

    /// When the upstream accepts requests of this entry again, if it asked for none
    /// now.
    pub fn accepts_again_at(&self, now: Instant) -> Option<Instant> {
        let spent = self.is_rate_spent(now).then_some(self.rate_spent_until);
        let backed_off = self.is_backed_off(now).then_some(self.backed_off_until);
        spent.max(backed_off)
    }

    /// Records a failed connection attempt.
    pub fn connect_failed(&mut self, now: Instant) {
        self.connect_failed_until = now.plus_ms(CONNECT_FAILED_MS);
    }
}
