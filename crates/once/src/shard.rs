//! One shard object and what waits for it.

use crate::work::{Begin, Ending};
use base::{
    AttemptId, ErrorCode, Instant, ObjectVersion, Precondition, RequestError, RunStatus,
};
use prost::Message as _;
use schema::store::{Claim, ClaimShard, ClaimState};
use xxhash_rust::xxh3::xxh3_64;

use crate::{Answer, Outcome};

/// Number of shard objects.
///
/// More shards mean more writes in parallel and more objects to keep; with 64
/// and an answer time of a few milliseconds thousands of claims a second fit.
pub const SHARDS: usize = 64;

/// Largest value of a shard; the platform holds values up to a megabyte.
pub(crate) const SHARD_MAX_BYTES: usize = 900_000;

/// Largest share of a shard set aside for the answer of one running call.
pub(crate) const ANSWER_ROOM_MAX_BYTES: usize = 64 << 10;

/// Added to the service's timeout before a claim without an answer counts as
/// abandoned; covers the difference between two instances' wall clocks.
pub(crate) const ABANDONED_MARGIN_MS: u64 = 10_000;

/// When to come back while the same key is in progress.
const IN_PROGRESS_RETRY_MS: u64 = 1_000;

/// When to come back to a full shard.
const FULL_RETRY_MS: u64 = 60_000;

/// Key of a shard's object.
pub fn shard_key(shard: usize) -> String {
    format!("claims/{shard:03}")
}

/// The shard that holds a caller's key.
pub fn shard_of(caller: &str, key: &str) -> usize {
    let mut bytes = Vec::with_capacity(caller.len() + key.len() + 1);
    bytes.extend_from_slice(caller.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(key.as_bytes());
    // The remainder is below `SHARDS`, so it fits.
    (xxh3_64(&bytes) % SHARDS as u64) as usize
}

/// The platform's call in flight for a shard.
#[derive(Debug)]
pub(crate) enum Busy {
    /// Nothing is in flight.
    Idle,
    /// The shard is being read.
    Reading,
    /// The shard is being written.
    Writing(Box<ClaimShard>),
}

/// The shard's content as last seen.
#[derive(Debug)]
pub(crate) struct Known {
    /// `None` if there was no object.
    pub version: Option<ObjectVersion>,
    pub content: ClaimShard,
}

impl Known {
    pub(crate) fn expect(&self) -> Precondition {
        self.version
            .map_or(Precondition::Absent, Precondition::Version)
    }
}

/// One shard.
#[derive(Debug)]
pub(crate) struct Shard {
    pub busy: Busy,
    pub known: Option<Known>,
    /// Highest version seen; a read below it shows the past.
    pub newest: Option<ObjectVersion>,
    pub begins: Vec<Begin>,
    pub endings: Vec<Ending>,
    /// Version which a write without an answer expected: as long as the object
    /// has it, that write may still take effect.
    pub maybe_written_over: Option<Option<ObjectVersion>>,
    /// No call before this, after the platform was away.
    pub quiet_until: Option<Instant>,
    pub failures: u32,
}

impl Shard {
    /// Drops endings of claims that no longer stand, as those do which another
    /// agent pruned; returns who waits for one of them.
    pub(crate) fn drop_moot(&mut self) -> Vec<AttemptId> {
        let Some(known) = &self.known else {
            return Vec::new();
        };
        let stands = |nonce: u64| known.content.claims.iter().any(|c| c.nonce == nonce);
        let mut waiters = Vec::new();
        self.endings.retain(|ending| {
            let keep = stands(ending.nonce());
            if !keep && let Ending::Release { waiter, .. } = ending {
                waiters.extend(waiter.map(|(attempt, _)| attempt));
            }
            keep
        });
        waiters
    }
}

/// Bounds that one staging follows.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Bounds {
    pub unix_ms: u64,
    pub retention_ms: u64,
    pub answer_max_bytes: usize,
}

/// What staging has decided.
#[derive(Debug, Default)]
pub(crate) struct Staged {
    /// Outcomes that need no write.
    pub settled: Vec<(AttemptId, Outcome)>,
    /// A decision needs the shard to be read first.
    pub read_first: bool,
    /// The value to write, if anything has to be.
    pub write: Option<ClaimShard>,
}

impl Shard {
    pub(crate) const fn new() -> Self {
        Self {
            busy: Busy::Idle,
            known: None,
            newest: None,
            begins: Vec::new(),
            endings: Vec::new(),
            maybe_written_over: None,
            quiet_until: None,
            failures: 0,
        }
    }

    pub(crate) const fn is_idle(&self) -> bool {
        matches!(self.busy, Busy::Idle)
    }

    pub(crate) fn has_work(&self) -> bool {
        !self.begins.is_empty() || !self.endings.is_empty()
    }

    /// Works out the next write from the known content and all that waits.
    pub(crate) fn stage(&mut self, agent: &str, bounds: Bounds) -> Staged {
        let mut staged = Staged::default();
        let Some(known) = &self.known else {
            staged.read_first = true;
            return staged;
        };
        let mut content = known.content.clone();
        let mut changed = self.maybe_written_over.is_some();
        changed |= stage_endings(&mut content, &self.endings);
        // Before the begins, so that a full shard takes new claims again.
        prune(&mut content, bounds, &self.begins);
        let standing = content.claims.len();
        let begins = std::mem::take(&mut self.begins);
        let mut claimed = Vec::new();
        for begin in begins {
            match stage_begin(&mut content, standing, &begin, agent, bounds) {
                Step::Claimed => {
                    claimed.push(self.begins.len());
                    self.begins.push(begin);
                }
                Step::ReadFirst => {
                    staged.read_first = true;
                    self.begins.push(begin);
                }
                Step::NextRound => self.begins.push(begin),
                Step::Settled(outcome) => {
                    staged.settled.push((begin.request.attempt, outcome));
                }
            }
        }
        if staged.read_first {
            return staged;
        }
        for place in &claimed {
            self.begins[*place].staged = true;
        }
        if changed || !claimed.is_empty() {
            staged.write = Some(content);
        }
        staged
    }
}

enum Step {
    Claimed,
    ReadFirst,
    NextRound,
    Settled(Outcome),
}

fn stage_begin(
    content: &mut ClaimShard,
    standing: usize,
    begin: &Begin,
    agent: &str,
    bounds: Bounds,
) -> Step {
    let request = &begin.request;
    let found = content.claims.iter().position(|claim| {
        claim.caller == request.caller.as_str() && claim.key == request.key
    });
    match found {
        // The same write makes that claim; whether it stands is seen after it.
        Some(place) if place >= standing => return Step::NextRound,
        Some(place) => return judge(&content.claims[place], begin, bounds),
        None => {}
    }
    let claim = Claim {
        caller: request.caller.as_str().to_owned(),
        key: request.key.clone(),
        body_hash: request.body_hash,
        nonce: begin.nonce,
        state: ClaimState::Claimed.into(),
        claimed_unix_ms: bounds.unix_ms,
        agent: agent.to_owned(),
        ..Claim::default()
    };
    if planned_bytes(content, &claim, bounds) > SHARD_MAX_BYTES {
        let refusal =
            RequestError::not_run(ErrorCode::Overloaded).retry_after_ms(FULL_RETRY_MS);
        return Step::Settled(Outcome::Refused(refusal));
    }
    content.claims.push(claim);
    Step::Claimed
}

/// Decides about a key that is claimed already.
fn judge(claim: &Claim, begin: &Begin, bounds: Bounds) -> Step {
    let other_body = claim.body_hash != begin.request.body_hash;
    let done = claim.state == i32::from(ClaimState::Done);
    if done && !other_body {
        return Step::Settled(replay(claim));
    }
    // A claim seen earlier may have been released or finished since.
    if !begin.fresh {
        return Step::ReadFirst;
    }
    let refusal = if other_body {
        RequestError::not_run(ErrorCode::KeyReused)
    } else if abandoned(claim, begin, bounds) {
        RequestError {
            code: ErrorCode::OutcomeUnknown,
            ran: RunStatus::Unknown,
            retry_after_ms: None,
        }
    } else {
        RequestError {
            code: ErrorCode::KeyInProgress,
            ran: RunStatus::Unknown,
            retry_after_ms: Some(IN_PROGRESS_RETRY_MS),
        }
    };
    Step::Settled(Outcome::Refused(refusal))
}

fn abandoned(claim: &Claim, begin: &Begin, bounds: Bounds) -> bool {
    let patience_ms = u64::from(begin.request.timeout_ms) + ABANDONED_MARGIN_MS;
    bounds.unix_ms.saturating_sub(claim.claimed_unix_ms) > patience_ms
}

/// The answer of a call that is done; one that was too large is known to have
/// run, and no more.
fn replay(claim: &Claim) -> Outcome {
    let Some(status) = u16::try_from(claim.status).ok().filter(|s| *s != 0) else {
        return Outcome::Refused(RequestError {
            code: ErrorCode::OutcomeUnknown,
            ran: RunStatus::Ran,
            retry_after_ms: None,
        });
    };
    Outcome::Replay(Answer {
        status,
        content_type: claim.content_type.clone(),
        body: claim.answer.clone(),
    })
}

/// Size of the shard once all running calls have stored their answers.
fn planned_bytes(content: &ClaimShard, added: &Claim, bounds: Bounds) -> usize {
    let running = content
        .claims
        .iter()
        .filter(|claim| claim.state == i32::from(ClaimState::Claimed))
        .count();
    let room = bounds.answer_max_bytes.min(ANSWER_ROOM_MAX_BYTES);
    // Length prefixes of the added claim and of the answers.
    let prefixes = 16 * (running + 1);
    content.encoded_len() + added.encoded_len() + (running + 1) * room + prefixes
}

/// Applies finishes and releases; says whether anything changed.
fn stage_endings(content: &mut ClaimShard, endings: &[Ending]) -> bool {
    let mut changed = false;
    for ending in endings {
        let place = content
            .claims
            .iter()
            .position(|claim| claim.nonce == ending.nonce());
        let Some(place) = place else { continue };
        changed = true;
        match ending {
            Ending::Release { .. } => {
                content.claims.remove(place);
            }
            Ending::Finish { answer, .. } => {
                store_answer(content, place, answer.as_ref());
            }
        }
    }
    changed
}

fn store_answer(content: &mut ClaimShard, place: usize, answer: Option<&Answer>) {
    content.claims[place].state = ClaimState::Done.into();
    let Some(answer) = answer else { return };
    let added = answer.body.len() + answer.content_type.len() + 32;
    if content.encoded_len() + added > SHARD_MAX_BYTES {
        return;
    }
    let claim = &mut content.claims[place];
    claim.status = u32::from(answer.status);
    claim.content_type.clone_from(&answer.content_type);
    claim.answer.clone_from(&answer.body);
}

/// Drops claims past their retention, but for those being made right now.
fn prune(content: &mut ClaimShard, bounds: Bounds, begins: &[Begin]) {
    let keep = |claim: &Claim| {
        let end = claim.claimed_unix_ms.saturating_add(bounds.retention_ms);
        end > bounds.unix_ms || begins.iter().any(|begin| begin.nonce == claim.nonce)
    };
    content.claims.retain(keep);
}
