//! Claims that a restore of the platform from an older copy may have lost.
//!
//! A request runs only if the platform has confirmed its claim, but a restore takes back
//! what the platform confirmed in the seconds before it. Two others still know of a lost
//! claim: the agent that made it, and the entry that passed the request on. The agent
//! writes it again, with its response. The entry reports it to the agents of the pool,
//! in case that agent ended or doesn't reach the platform.
//!
//! Until both have had the time to do so, no agent claims a key that the shard doesn't
//! show: its request may have run. Each agent measures that time by its own clock, from
//! when it learned of the restore or from when an entry says that it knew of it.

use base::{Instant, RunStatus};
use prost::Message as _;
use schema::store::{Claim, ClaimShard, ClaimState};

use crate::ClaimRequest;
use crate::shard::{SHARD_MAX_BYTES, StagingLimits};

/// Time for which an agent remembers a claim after the platform confirmed its last
/// change. A platform is restored from a copy that is some seconds old.
const REMEMBER_MS: u64 = 60_000;

/// Time from when a restore is known in which others write lost claims again.
/// They learn of the restore within [`PROBE_INTERVAL_MS`] and one call of 3 s; the rest
/// is for calls that fail and are repeated.
const RESTORE_MS: u64 = 20_000;

/// Longest such time while a connected entry has not reported its requests.
const RESTORE_MAX_MS: u64 = 60_000;

/// Bounds of the retry time in a refusal of a key whose claim may be lost. Most lost claims
/// are written again long before [`RESTORE_MS`] is over.
const RESTORE_RETRY_MIN_MS: u64 = 1_000;
const RESTORE_RETRY_MAX_MS: u64 = 5_000;

/// Longest time without a response of the platform after which an agent that remembers
/// claims asks for its generation.
pub(crate) const PROBE_INTERVAL_MS: u64 = 2_000;

/// Key of an object that never exists. A read of it is the shortest response that names
/// the platform's generation.
pub(crate) const PROBE_KEY: &str = "claims/generation";

/// Latest generation of the platform that this agent knows, and since when.
#[derive(Debug, Clone, Copy)]
pub(crate) struct KnownGeneration {
    latest: u64,
    seen_at: Instant,
    /// Time for which an entry had known it by then.
    known_before_ms: u64,
    /// A connected entry has not reported its requests of before the restore.
    pub(crate) awaits_entries: bool,
}

impl KnownGeneration {
    pub(crate) const fn new() -> Self {
        Self {
            latest: 0,
            seen_at: Instant::ZERO,
            known_before_ms: 0,
            awaits_entries: false,
        }
    }

    pub(crate) const fn latest(&self) -> u64 {
        self.latest
    }

    /// Records a generation that the platform named. Returns whether it is a later one.
    pub(crate) fn observe(&mut self, now: Instant, generation: u64) -> bool {
        if generation <= self.latest {
            return false;
        }
        self.latest = generation;
        self.seen_at = now;
        self.known_before_ms = 0;
        true
    }

    /// Records that an entry has known the latest generation for some time.
    pub(crate) fn observe_known_for(&mut self, now: Instant, known_ms: u64) {
        let known_before_ms = known_ms.saturating_sub(now.ms_since(self.seen_at));
        self.known_before_ms = self.known_before_ms.max(known_before_ms);
    }

    /// When the time is over in which others write lost claims again; `None` if no
    /// restore is known.
    pub(crate) fn restore_end(&self) -> Option<Instant> {
        let limit_ms = match self.awaits_entries {
            true => RESTORE_MAX_MS,
            false => RESTORE_MS,
        };
        let remaining_ms = limit_ms.saturating_sub(self.known_before_ms);
        (self.latest > 0).then(|| self.seen_at.plus_ms(remaining_ms))
    }

    /// Retry time for a caller whose key's claim may be lost; `None` if claims of other
    /// agents have been written again.
    pub(crate) fn restore_retry_ms(&self, now: Instant) -> Option<u64> {
        let end = self.restore_end().filter(|end| *end > now)?;
        let remaining_ms = end.ms_since(now);
        Some(remaining_ms.clamp(RESTORE_RETRY_MIN_MS, RESTORE_RETRY_MAX_MS))
    }
}

/// Claims of one shard that a restore could lose, or has lost.
#[derive(Debug, Default)]
pub(crate) struct RecentClaims {
    /// This agent's claims, as the platform last confirmed them, and when.
    own: Vec<(Instant, Claim)>,
    /// Claims of other agents that an entry reported, until the shard shows their keys. They
    /// have no response, so they are written only if their agents have not done so by the
    /// end of the time for it.
    reported: Vec<Claim>,
}

impl RecentClaims {
    /// Remembers a claim of this agent as the platform has confirmed it.
    pub(crate) fn remember(&mut self, now: Instant, claim: &Claim) {
        self.forget(claim.nonce);
        self.expire(now);
        self.own.push((now, claim.clone()));
    }

    /// Forgets a claim that was released.
    pub(crate) fn forget(&mut self, nonce: u64) {
        self.own.retain(|(_, claim)| claim.nonce != nonce);
    }

    /// Forgets claims that are older than any copy from which a platform is restored.
    pub(crate) fn expire(&mut self, now: Instant) {
        self.own.retain(|(at, _)| now.ms_since(*at) < REMEMBER_MS);
    }

    /// Adds a claim of another agent that an entry reported, unless this agent has a claim
    /// of its own on the key.
    pub(crate) fn report(&mut self, claim: Claim) {
        if self.has_own(&claim.caller, &claim.key) {
            return;
        }
        self.reported.retain(|other| !has_same_key(other, &claim));
        self.reported.push(claim);
    }

    pub(crate) const fn is_empty(&self) -> bool {
        self.own.is_empty() && self.reported.is_empty()
    }

    pub(crate) const fn has_reported(&self) -> bool {
        !self.reported.is_empty()
    }

    /// Whether this agent has a claim of its own on this key.
    pub(crate) fn has_own(&self, caller: &str, key: &str) -> bool {
        let mut own = self.own.iter();
        own.any(|(_, claim)| claim.caller == caller && claim.key == key)
    }

    /// Whether a request with this key may have run, as far as this agent knows.
    pub(crate) fn has_key(&self, caller: &str, key: &str) -> bool {
        let mut reported = self.reported.iter();
        self.has_own(caller, key)
            || reported.any(|claim| claim.caller == caller && claim.key == key)
    }

    /// This agent's claim on a request's key, if the platform has confirmed it with the
    /// response to the same request.
    pub(crate) fn own_response(&self, request: &ClaimRequest) -> Option<&Claim> {
        let mut own = self.own.iter().map(|(_, claim)| claim);
        own.find(|claim| {
            claim.caller == request.caller.as_str()
                && claim.key == request.key
                && claim.body_hash == request.body_hash
                && claim.status != 0
        })
    }

    /// Adds the claims that the content lacks. Returns whether there are any.
    pub(crate) fn add_to(
        &self,
        content: &mut ClaimShard,
        limits: StagingLimits,
    ) -> bool {
        let mut changed = false;
        for (claim, is_own) in self.missing_in(content, limits) {
            if is_own {
                content.claims.retain(|other| !has_same_key(other, claim));
            }
            let claim = without_oversized_response(content, claim);
            content.claims.push(claim);
            changed = true;
        }
        changed
    }

    /// Handles content that the platform has confirmed. Returns whether it has all claims;
    /// these are then as recent as their confirmation.
    pub(crate) fn confirm(
        &mut self,
        now: Instant,
        content: &ClaimShard,
        limits: StagingLimits,
    ) -> bool {
        if !self.missing_in(content, limits).is_empty() {
            return false;
        }
        if limits.restore_retry_ms.is_none() {
            self.reported.clear();
        }
        for (at, _) in &mut self.own {
            *at = now;
        }
        true
    }

    /// The claims that the content lacks, and whether they are this agent's own.
    fn missing_in(
        &self,
        content: &ClaimShard,
        limits: StagingLimits,
    ) -> Vec<(&Claim, bool)> {
        let own = self.own.iter().map(|(_, claim)| (claim, true));
        let reported = self.reported.iter().map(|claim| (claim, false));
        let reported = reported.filter(|_| limits.restore_retry_ms.is_none());
        let is_retained = |claim: &Claim| {
            let end = claim.claimed_unix_ms.saturating_add(limits.retention_ms);
            end > limits.unix_ms
        };
        own.chain(reported)
            .filter(|(claim, _)| is_retained(claim))
            .filter(|(claim, is_own)| is_missing(content, claim, *is_own))
            .collect()
    }
}

/// Whether content lacks a claim, or what is known of it. A claim of this agent replaces
/// another one of its key that has no response: this agent's was granted, so the other
/// was not.
fn is_missing(content: &ClaimShard, claim: &Claim, is_own: bool) -> bool {
    let mut claims = content.claims.iter();
    let Some(other) = claims.find(|other| has_same_key(other, claim)) else {
        return true;
    };
    let done = i32::from(ClaimState::Done);
    match other.nonce == claim.nonce {
        true => claim.state == done && other.state != done,
        false => is_own && other.status == 0,
    }
}

fn has_same_key(one: &Claim, other: &Claim) -> bool {
    one.caller == other.caller && one.key == other.key
}

/// The claim with its response if that fits into the shard, else only with its state.
fn without_oversized_response(content: &ClaimShard, claim: &Claim) -> Claim {
    if content.encoded_len() + claim.encoded_len() <= SHARD_MAX_BYTES {
        return claim.clone();
    }
    Claim {
        status: 0,
        content_type: String::new(),
        answer: Vec::new(),
        ..claim.clone()
    }
}

/// A request with a key that an entry passed to an agent, as it reports it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportedRun {
    /// Caller that sent the key.
    pub caller: String,
    /// Idempotency key.
    pub key: String,
    /// Hash of the request body.
    pub body_hash: u64,
    /// Agent to which the request was passed.
    pub agent: String,
    /// Whether it ran, as far as the entry knows.
    pub ran: RunStatus,
}

impl ReportedRun {
    /// The claim that the request's agent may have lost, except for its response.
    pub(crate) fn into_claim(self, nonce: u64, unix_ms: u64) -> Claim {
        let state = match self.ran {
            RunStatus::Ran => ClaimState::Done,
            RunStatus::NotRun | RunStatus::Unknown => ClaimState::Claimed,
        };
        Claim {
            caller: self.caller,
            key: self.key,
            body_hash: self.body_hash,
            nonce,
            state: state.into(),
            claimed_unix_ms: unix_ms,
            agent: self.agent,
            ..Claim::default()
        }
    }
}
