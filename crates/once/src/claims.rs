//! The claims of one agent.

use crate::calls::{QUIET_MAX_MS, QUIET_MIN_MS, give_back, refuse_away};
use crate::outcome::{ClaimAction, ClaimRequest, StoredResponse};
use crate::shard::{Bounds, SHARDS, Shard, shard_of};
use crate::work::{Begin, Ending, Held};
use base::{AgentId, AttemptId, Incarnation, Instant};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How long a call waits for its claim before it is refused.
const BEGIN_MAX_MS: u64 = 5_000;

/// How long the refusal of a call waits until its claim's release is written.
const RELEASE_WAIT_MS: u64 = 1_000;

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
    answer_max_bytes: usize,
    pub(crate) shards: Vec<Shard>,
    pub(crate) held: BTreeMap<AttemptId, Held>,
    pub(crate) calls: BTreeMap<u64, usize>,
    pub(crate) next_call: u64,
    nonces: u64,
}

impl Claims {
    /// No claims yet.
    pub fn new(options: ClaimsOptions) -> Self {
        Self {
            next_call: options.first_call_id,
            options,
            retention_ms: 24 * 3_600_000,
            answer_max_bytes: 16 << 10,
            shards: (0..SHARDS).map(|_| Shard::new()).collect(),
            held: BTreeMap::new(),
            calls: BTreeMap::new(),
            nonces: 0,
        }
    }

    /// Sets the retention and the largest answer that is stored.
    pub fn configure(&mut self, retention_ms: u32, stored_answer_max_bytes: u32) {
        self.retention_ms = u64::from(retention_ms);
        self.answer_max_bytes = stored_answer_max_bytes as usize;
    }

    /// Largest answer that is stored, in bytes.
    pub const fn response_max_bytes(&self) -> usize {
        self.answer_max_bytes
    }

    /// Claims held by running calls.
    pub fn held_count(&self) -> usize {
        self.held.len()
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
        let begin = Begin {
            nonce: self.next_nonce(),
            request,
            staged: false,
            fresh: false,
            until: now.plus_ms(BEGIN_MAX_MS),
        };
        let shard = &mut self.shards[index];
        if let Some(until) = shard.quiet_until.filter(|until| *until > now) {
            let retry_ms = until.ms_since(now).max(QUIET_MIN_MS);
            out.push(refuse_away(begin.request.attempt, retry_ms));
            return;
        }
        shard.begins.push(begin);
        self.advance(now, index, out);
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
        let Some(held) = self.held.remove(&attempt) else {
            return;
        };
        let max = self.answer_max_bytes;
        let answer = answer.filter(|answer| answer.body.len() <= max);
        let nonce = held.nonce;
        let ending = Ending::Finish { nonce, answer };
        self.shards[held.shard].endings.push(ending);
        self.advance(now, held.shard, out);
    }

    /// The call was not run: its key becomes free. [`ClaimAction::Released`]
    /// tells when its refusal may be answered.
    pub fn release(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        out: &mut Vec<ClaimAction>,
    ) {
        let Some(held) = self.held.remove(&attempt) else {
            out.push(ClaimAction::Released { attempt });
            return;
        };
        let ending = Ending::Release {
            nonce: held.nonce,
            waiter: Some((attempt, now.plus_ms(RELEASE_WAIT_MS))),
        };
        self.shards[held.shard].endings.push(ending);
        self.advance(now, held.shard, out);
    }

    /// Whether the run of a claim can't be told: the claim stays as it is, and
    /// a resend is told so once the service's timeout has passed.
    pub fn abandon(&mut self, attempt: AttemptId) {
        self.held.remove(&attempt);
    }

    /// Whether a call to the platform is one of the claims'.
    pub fn owns_call(&self, call: u64) -> bool {
        self.calls.contains_key(&call)
    }

    /// When something is due.
    pub fn next_deadline(&self) -> Option<Instant> {
        let shards = self.shards.iter().filter(|shard| shard.has_work());
        shards.filter_map(shard_due).min()
    }

    /// Gives up what has waited for too long and tries again what may be.
    pub fn tick(&mut self, now: Instant, out: &mut Vec<ClaimAction>) {
        for index in 0..self.shards.len() {
            if !self.shards[index].has_work() {
                continue;
            }
            self.give_up(now, index, out);
            self.advance(now, index, out);
        }
    }

    fn next_nonce(&mut self) -> u64 {
        self.nonces += 1;
        let mut bytes = self.options.agent.as_str().as_bytes().to_vec();
        bytes.extend_from_slice(&self.nonces.to_le_bytes());
        xxh3_64_with_seed(&bytes, self.options.incarnation.0)
    }

    pub(crate) fn bounds(&self, now: Instant) -> Bounds {
        Bounds {
            unix_ms: self.options.unix_ms_at_zero.saturating_add(now.as_ms()),
            retention_ms: self.retention_ms,
            answer_max_bytes: self.answer_max_bytes,
        }
    }

    fn give_up(&mut self, now: Instant, index: usize, out: &mut Vec<ClaimAction>) {
        let shard = &mut self.shards[index];
        let begins = std::mem::take(&mut shard.begins);
        for begin in begins {
            if begin.until > now {
                shard.begins.push(begin);
                continue;
            }
            out.push(refuse_away(begin.request.attempt, QUIET_MAX_MS));
            give_back(shard, &begin);
        }
        for ending in &mut shard.endings {
            if let Ending::Release { waiter, .. } = ending
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
fn shard_due(shard: &Shard) -> Option<Instant> {
    let begins = shard.begins.iter().map(|begin| begin.until);
    let waiters = shard.endings.iter().filter_map(|ending| match ending {
        Ending::Release { waiter, .. } => waiter.map(|(_, until)| until),
        Ending::Finish { .. } => None,
    });
    let quiet = shard.quiet_until.filter(|_| shard.is_idle());
    begins.chain(waiters).chain(quiet).min()
}
