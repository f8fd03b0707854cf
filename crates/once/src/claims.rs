//! The claims of one agent.

use crate::outcome::{Answer, ClaimAction, ClaimRequest, Outcome};
use crate::shard::{Bounds, Busy, Known, SHARDS, Shard, shard_key, shard_of};
use crate::work::{Begin, Ending, Held};
use base::{
    AgentId, AttemptId, Code, Incarnation, Instant, PlatformCall, PlatformOp,
    PlatformResult, Refusal, Version,
};
use prost::Message as _;
use schema::store::{ClaimShard, ClaimState};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How long a call waits for its claim before it is refused.
const BEGIN_MAX_MS: u64 = 5_000;

/// How long the refusal of a call waits until its claim's release is written.
const RELEASE_WAIT_MS: u64 = 1_000;

/// Waits after the platform was away: the first, and the longest.
const QUIET_MIN_MS: u64 = 250;
const QUIET_MAX_MS: u64 = 4_000;

/// What the claims of an agent need to know.
#[derive(Debug, Clone)]
pub struct ClaimsOptions {
    /// Agent.
    pub agent: AgentId,
    /// Its incarnation, from which nonces are made.
    pub incarnation: Incarnation,
    /// Number of the first call to the platform; all later ones are greater.
    pub first_call: u64,
    /// Wall clock at the origin of `Instant`, in milliseconds.
    pub unix_ms_at_zero: u64,
}

/// The claims of one agent.
#[derive(Debug)]
pub struct Claims {
    options: ClaimsOptions,
    retention_ms: u64,
    answer_max_bytes: usize,
    shards: Vec<Shard>,
    held: BTreeMap<AttemptId, Held>,
    calls: BTreeMap<u64, usize>,
    next_call: u64,
    nonces: u64,
}

impl Claims {
    /// No claims yet.
    pub fn new(options: ClaimsOptions) -> Self {
        Self {
            next_call: options.first_call,
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
    pub const fn answer_max_bytes(&self) -> usize {
        self.answer_max_bytes
    }

    /// Claims held by running calls.
    pub fn held(&self) -> usize {
        self.held.len()
    }

    /// Nothing waits for the platform.
    pub fn is_flushed(&self) -> bool {
        self.shards
            .iter()
            .all(|shard| shard.is_idle() && !shard.has_work())
    }

    /// Asks for a claim; the outcome comes as [`ClaimAction::Settled`].
    pub fn begin(
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
        answer: Option<Answer>,
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
    pub fn leave(&mut self, attempt: AttemptId) {
        self.held.remove(&attempt);
    }

    /// Whether a call to the platform is one of the claims'.
    pub fn owns(&self, call: u64) -> bool {
        self.calls.contains_key(&call)
    }

    /// The platform answered a call.
    pub fn answered(
        &mut self,
        now: Instant,
        call: u64,
        result: PlatformResult,
        out: &mut Vec<ClaimAction>,
    ) {
        let Some(index) = self.calls.remove(&call) else {
            return;
        };
        let busy = std::mem::replace(&mut self.shards[index].busy, Busy::Idle);
        match (busy, result) {
            (Busy::Reading, PlatformResult::Object(object)) => {
                self.was_read(now, index, object, out);
            }
            (Busy::Writing(content), PlatformResult::Written(version)) => {
                self.shards[index].maybe_written_over = None;
                self.learn(index, Some(version), *content, out);
            }
            (Busy::Writing(..), PlatformResult::Conflict) => {
                self.shards[index].known = None;
            }
            (Busy::Writing(..), PlatformResult::Away) | (Busy::Reading, _) => {
                self.was_away(now, index, out);
            }
            (Busy::Writing(..), _) => self.write_was_lost(index),
            (Busy::Idle, _) => {}
        }
        self.advance(now, index, out);
    }

    /// When something is due.
    pub fn due(&self) -> Option<Instant> {
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

    fn bounds(&self, now: Instant) -> Bounds {
        Bounds {
            unix_ms: self.options.unix_ms_at_zero.saturating_add(now.as_ms()),
            retention_ms: self.retention_ms,
            answer_max_bytes: self.answer_max_bytes,
        }
    }

    /// Starts the shard's next call if it has none in flight.
    fn advance(&mut self, now: Instant, index: usize, out: &mut Vec<ClaimAction>) {
        let bounds = self.bounds(now);
        let shard = &mut self.shards[index];
        let quiet = shard.quiet_until.is_some_and(|until| until > now);
        if !shard.is_idle() || !shard.has_work() || quiet {
            return;
        }
        let staged = shard.stage(self.options.agent.as_str(), bounds);
        for (attempt, outcome) in staged.settled {
            out.push(ClaimAction::Settled { attempt, outcome });
        }
        if staged.read_first {
            self.read(index, out);
        } else if let Some(content) = staged.write {
            self.write(index, content, out);
        } else {
            for attempt in self.shards[index].drop_moot() {
                out.push(ClaimAction::Released { attempt });
            }
        }
    }

    fn read(&mut self, index: usize, out: &mut Vec<ClaimAction>) {
        let id = self.next_call(index);
        self.shards[index].busy = Busy::Reading;
        let key = shard_key(index);
        let op = PlatformOp::Read { key };
        out.push(ClaimAction::Platform(PlatformCall { id, op }));
    }

    fn write(&mut self, index: usize, content: ClaimShard, out: &mut Vec<ClaimAction>) {
        let Some(known) = &self.shards[index].known else {
            return;
        };
        let op = PlatformOp::Write {
            key: shard_key(index),
            expect: known.expect(),
            value: content.encode_to_vec(),
        };
        let id = self.next_call(index);
        self.shards[index].busy = Busy::Writing(Box::new(content));
        out.push(ClaimAction::Platform(PlatformCall { id, op }));
    }

    fn next_call(&mut self, index: usize) -> u64 {
        let id = self.next_call;
        self.next_call += 1;
        self.calls.insert(id, index);
        id
    }

    fn was_read(
        &mut self,
        now: Instant,
        index: usize,
        object: Option<(Version, Vec<u8>)>,
        out: &mut Vec<ClaimAction>,
    ) {
        let (version, value) = match object {
            Some((version, value)) => (Some(version), value),
            None => (None, Vec::new()),
        };
        // A shard that can't be read must not be written over: it holds claims.
        let Ok(content) = ClaimShard::decode(value.as_slice()) else {
            self.was_away(now, index, out);
            return;
        };
        let shard = &mut self.shards[index];
        if shard.maybe_written_over != Some(version) {
            shard.maybe_written_over = None;
        }
        for begin in &mut shard.begins {
            begin.fresh = true;
        }
        self.learn(index, version, content, out);
    }

    /// Settles whatever the shard's content shows to be settled.
    fn learn(
        &mut self,
        index: usize,
        version: Option<Version>,
        content: ClaimShard,
        out: &mut Vec<ClaimAction>,
    ) {
        let shard = &mut self.shards[index];
        shard.quiet_until = None;
        shard.failures = 0;
        let state_of = |nonce: u64| {
            let mut claims = content.claims.iter();
            claims.find(|claim| claim.nonce == nonce).map(|c| c.state)
        };
        let begins = std::mem::take(&mut shard.begins);
        for begin in begins {
            if begin.staged && state_of(begin.nonce).is_some() {
                let attempt = begin.request.attempt;
                let nonce = begin.nonce;
                self.held.insert(
                    attempt,
                    Held {
                        shard: index,
                        nonce,
                    },
                );
                let outcome = Outcome::Granted;
                out.push(ClaimAction::Settled { attempt, outcome });
            } else {
                shard.begins.push(begin);
            }
        }
        // A release is over when the claim is gone and no write that is still
        // under way can bring it back.
        let settled = shard.maybe_written_over.is_none();
        let done = i32::from(ClaimState::Done);
        shard.endings.retain(|ending| match ending {
            Ending::Finish { nonce, .. } => {
                state_of(*nonce).is_some_and(|state| state != done)
            }
            Ending::Release { nonce, waiter } => {
                let over = settled && state_of(*nonce).is_none();
                if over && let Some((attempt, _)) = waiter {
                    out.push(ClaimAction::Released { attempt: *attempt });
                }
                !over
            }
        });
        shard.known = Some(Known { version, content });
    }

    /// The effect of a write is not known: read back.
    fn write_was_lost(&mut self, index: usize) {
        let shard = &mut self.shards[index];
        let expected = shard.known.take().map(|known| known.version);
        shard.maybe_written_over = expected;
    }

    /// The call had no effect. Requests that wait are refused at once, but for
    /// those whose lost write is still to be read back; what must be written
    /// later stays, and is tried again after a while.
    fn was_away(&mut self, now: Instant, index: usize, out: &mut Vec<ClaimAction>) {
        let shard = &mut self.shards[index];
        let quiet_ms = (QUIET_MIN_MS << shard.failures.min(8)).min(QUIET_MAX_MS);
        shard.failures = shard.failures.saturating_add(1);
        shard.quiet_until = Some(now.plus_ms(quiet_ms));
        let unsettled = shard.maybe_written_over.is_some();
        for begin in std::mem::take(&mut shard.begins) {
            if unsettled && begin.staged {
                shard.begins.push(begin);
                continue;
            }
            out.push(refuse_away(begin.request.attempt, quiet_ms));
            give_back(shard, &begin);
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

/// The claim of a refused call may stand, or come to stand: it is released in
/// the background, else the key would look in progress though nothing ran.
fn give_back(shard: &mut Shard, begin: &Begin) {
    if begin.staged {
        shard.endings.push(Ending::Release {
            nonce: begin.nonce,
            waiter: None,
        });
    }
}

fn refuse_away(attempt: AttemptId, retry_ms: u64) -> ClaimAction {
    let refusal = Refusal::not_run(Code::PlatformAway).retry_after_ms(retry_ms);
    let outcome = Outcome::Refused(refusal);
    ClaimAction::Settled { attempt, outcome }
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
