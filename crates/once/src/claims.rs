//! The claims of one agent.

use crate::outcome::{ClaimAction, ClaimRequest, StoredResponse};
use crate::pending::{ClaimEnd, GrantedClaim, PendingClaim};
use crate::platform_calls::{
    BACKOFF_MAX_MS, BACKOFF_MIN_MS, refuse_platform_away, release_if_staged,
};
use crate::shard::{SHARDS, Shard, StagingLimits, shard_of};
use base::{AgentId, AttemptId, Incarnation, Instant};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How long a call waits for its claim before it is refused.
const CLAIM_WAIT_MAX_MS: u64 = 5_000;

/// How long the refusal of a call waits until its claim's release is written.
const RELEASE_WAIT_MAX_MS: u64 = 1_000;

/// What the claims of an agent need to know.
#[derive(Debug, Clone)]
pub struct ClaimsOptions {
    /// Agent.
    pub agent: AgentId,
    /// Its incarnation, from which nonces are made.
    pub incarnation: Incarnation,
    /// Number of the first call to the platform; all later ones are greater.
    pub first_call_id: u64,
    /// Wall clock at the origin of `Instant`, in milliseconds.
    pub unix_ms_at_zero: u64,
}

/// The claims of one agent.
#[derive(Debug)]
pub struct Claims {
    pub(crate) options: ClaimsOptions,
    retention_ms: u64,
    response_max_bytes: usize,
    pub(crate) shards: Vec<Shard>,
    pub(crate) granted: BTreeMap<AttemptId, GrantedClaim>,
    pub(crate) shard_by_call: BTreeMap<u64, usize>,
    pub(crate) next_call_id: u64,
    nonce_count: u64,
}

impl Claims {
    /// No claims yet.
    pub fn new(options: ClaimsOptions) -> Self {
        Self {
            next_call_id: options.first_call_id,
            options,
            retention_ms: 24 * 3_600_000,
            response_max_bytes: 16 << 10,
            shards: (0..SHARDS).map(|_| Shard::new()).collect(),
            granted: BTreeMap::new(),
            shard_by_call: BTreeMap::new(),
            nonce_count: 0,
        }
    }

    /// Sets the retention and the largest answer that is stored.
    pub fn configure(&mut self, retention_ms: u32, stored_answer_max_bytes: u32) {
        self.retention_ms = u64::from(retention_ms);
        self.response_max_bytes = stored_answer_max_bytes as usize;
    }

    /// Largest answer that is stored, in bytes.
    pub const fn response_max_bytes(&self) -> usize {
        self.response_max_bytes
    }

    /// Claims held by running calls.
    pub fn held_count(&self) -> usize {
        self.granted.len()
    }

    /// Nothing waits for the platform.
    pub fn is_flushed(&self) -> bool {
        self.shards
            .iter()
            .all(|shard| shard.is_idle() && !shard.has_work())
    }

    /// Asks for a claim; the outcome comes as [`ClaimAction::Settled`].
    pub fn request_claim(
        &mut self,
        now: Instant,
        request: ClaimRequest,
        out: &mut Vec<ClaimAction>,
    ) {
        let index = shard_of(request.caller.as_str(), &request.key);
        let pending_claim = PendingClaim {
            nonce: self.next_nonce(),
            request,
            staged: false,
            read_since_request: false,
            until: now.plus_ms(CLAIM_WAIT_MAX_MS),
        };
        let shard = &mut self.shards[index];
        if let Some(until) = shard.backoff_until.filter(|until| *until > now) {
            let retry_ms = until.ms_since(now).max(BACKOFF_MIN_MS);
            out.push(refuse_platform_away(
                pending_claim.request.attempt,
                retry_ms,
            ));
            return;
        }
        shard.pending_claims.push(pending_claim);
        self.start_next_call(now, index, out);
    }

    /// The call ran and was answered; a call whose answer is not known is
    /// stored as run without an answer.
    pub fn finish(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        answer: Option<StoredResponse>,
        out: &mut Vec<ClaimAction>,
    ) {
        let Some(held) = self.granted.remove(&attempt) else {
            return;
        };
        let max = self.response_max_bytes;
        let answer = answer.filter(|answer| answer.body.len() <= max);
        let nonce = held.nonce;
        let end = ClaimEnd::Finish { nonce, answer };
        self.shards[held.shard].pending_ends.push(end);
        self.start_next_call(now, held.shard, out);
    }

    /// The call was not run: its key becomes free. [`ClaimAction::Released`]
    /// tells when its refusal may be answered.
    pub fn release(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        out: &mut Vec<ClaimAction>,
    ) {
        let Some(held) = self.granted.remove(&attempt) else {
            out.push(ClaimAction::Released { attempt });
            return;
        };
        let end = ClaimEnd::Release {
            nonce: held.nonce,
            waiter: Some((attempt, now.plus_ms(RELEASE_WAIT_MAX_MS))),
        };
        self.shards[held.shard].pending_ends.push(end);
        self.start_next_call(now, held.shard, out);
    }

    /// Whether the run of a claim can't be told: the claim stays as it is, and
    /// a resend is told so once the service's timeout has passed.
    pub fn abandon(&mut self, attempt: AttemptId) {
        self.granted.remove(&attempt);
    }

    /// Whether a call to the platform is one of the claims'.
    pub fn owns_call(&self, call: u64) -> bool {
        self.shard_by_call.contains_key(&call)
    }

    /// When something is due.
    pub fn next_deadline(&self) -> Option<Instant> {
        let shards = self.shards.iter().filter(|shard| shard.has_work());
        shards.filter_map(shard_deadline).min()
    }

    /// Gives up what has waited for too long and tries again what may be.
    pub fn tick(&mut self, now: Instant, out: &mut Vec<ClaimAction>) {
        for index in 0..self.shards.len() {
            if !self.shards[index].has_work() {
                continue;
            }
            self.expire_waits(now, index, out);
            self.start_next_call(now, index, out);
        }
    }

    fn next_nonce(&mut self) -> u64 {
        self.nonce_count += 1;
        let mut bytes = self.options.agent.as_str().as_bytes().to_vec();
        bytes.extend_from_slice(&self.nonce_count.to_le_bytes());
        xxh3_64_with_seed(&bytes, self.options.incarnation.0)
    }

    pub(crate) fn staging_limits(&self, now: Instant) -> StagingLimits {
        StagingLimits {
            unix_ms: self.options.unix_ms_at_zero.saturating_add(now.as_ms()),
            retention_ms: self.retention_ms,
            response_max_bytes: self.response_max_bytes,
        }
    }

    fn expire_waits(&mut self, now: Instant, index: usize, out: &mut Vec<ClaimAction>) {
        let shard = &mut self.shards[index];
        let pending_claims = std::mem::take(&mut shard.pending_claims);
        for pending_claim in pending_claims {
            if pending_claim.until > now {
                shard.pending_claims.push(pending_claim);
                continue;
            }
            out.push(refuse_platform_away(
                pending_claim.request.attempt,
                BACKOFF_MAX_MS,
            ));
            release_if_staged(shard, &pending_claim);
        }
        for end in &mut shard.pending_ends {
            if let ClaimEnd::Release { waiter, .. } = end
                && let Some((attempt, until)) = *waiter
                && until <= now
            {
                *waiter = None;
                out.push(ClaimAction::Released { attempt });
            }
        }
    }
}

/// When a shard that has work wants to be looked at.
fn shard_deadline(shard: &Shard) -> Option<Instant> {
    let pending_claims = shard
        .pending_claims
        .iter()
        .map(|pending_claim| pending_claim.until);
    let waiters = shard.pending_ends.iter().filter_map(|end| match end {
        ClaimEnd::Release { waiter, .. } => waiter.map(|(_, until)| until),
        ClaimEnd::Finish { .. } => None,
    });
    let backoff = shard.backoff_until.filter(|_| shard.is_idle());
    pending_claims.chain(waiters).chain(backoff).min()
}
