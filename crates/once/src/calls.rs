//! The calls to the platform, and what their answers settle.

use crate::Claims;
use crate::outcome::{ClaimAction, Outcome};
use crate::shard::{Busy, Known, Shard, shard_key};
use crate::work::{Begin, Ending, Held};
use base::{
    AttemptId, ErrorCode, Instant, ObjectVersion, PlatformCall, PlatformOp,
    PlatformResult, RequestError,
};
use prost::Message as _;
use schema::store::{ClaimShard, ClaimState};

/// Waits after the platform was away: the first, and the longest.
pub(crate) const QUIET_MIN_MS: u64 = 250;
pub(crate) const QUIET_MAX_MS: u64 = 4_000;

impl Claims {
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
            (Busy::Writing(..), PlatformResult::Unavailable) | (Busy::Reading, _) => {
                self.was_away(now, index, out);
            }
            (Busy::Writing(..), _) => self.write_was_lost(index),
            (Busy::Idle, _) => {}
        }
        self.advance(now, index, out);
    }

    /// Starts the shard's next call if it has none in flight.
    pub(crate) fn advance(
        &mut self,
        now: Instant,
        index: usize,
        out: &mut Vec<ClaimAction>,
    ) {
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
            precondition: known.expect(),
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
        object: Option<(ObjectVersion, Vec<u8>)>,
        out: &mut Vec<ClaimAction>,
    ) {
        let (version, value) = match object {
            Some((version, value)) => (Some(version), value),
            None => (None, Vec::new()),
        };
        // An old read may lack a claim that stands. Taken for the present, it
        // would end a finish whose write had no answer: the stored answer would
        // be gone, and a resend be told that the outcome is unknown. Versions
        // come from one counter, so a lower one is older.
        if version < self.shards[index].newest {
            self.was_away(now, index, out);
            return;
        }
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
        version: Option<ObjectVersion>,
        content: ClaimShard,
        out: &mut Vec<ClaimAction>,
    ) {
        let shard = &mut self.shards[index];
        shard.quiet_until = None;
        shard.failures = 0;
        shard.newest = shard.newest.max(version);
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
}

/// The claim of a refused call may stand, or come to stand: it is released in
/// the background, else the key would look in progress though nothing ran.
pub(crate) fn give_back(shard: &mut Shard, begin: &Begin) {
    if begin.staged {
        shard.endings.push(Ending::Release {
            nonce: begin.nonce,
            waiter: None,
        });
    }
}

pub(crate) fn refuse_away(attempt: AttemptId, retry_ms: u64) -> ClaimAction {
    let refusal =
        RequestError::not_run(ErrorCode::PlatformAway).retry_after_ms(retry_ms);
    let outcome = Outcome::Refused(refusal);
    ClaimAction::Settled { attempt, outcome }
}
