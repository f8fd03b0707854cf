//! What requests wait for.

use base::prelude::*;

use super::super::shared::Ctx;
use super::Requests;
use super::send::{EXCLUSIVE_START_WAIT_MS, START_WAIT_MS};
use super::state::{Attempt, Request};

/// Time for which an agent's answer to `Revoke` is waited for.
const REVOKED_WAIT_MS: u64 = 1_000;

/// Least silence within an answer that counts as a stall.
const STALL_MIN_MS: u64 = 5_000;

/// Stall bound of work that nobody waits for: it may stand behind other work
/// at the engine for long.
const STALL_BATCH_MS: u64 = 60_000;

/// Stall bound as a multiple of the expected time between tokens.
const STALL_TOKENS: u64 = 20;

/// Stall bound before the first token, as a multiple of the expectation.
const STALL_FIRST: u64 = 4;

/// Stall bound as a multiple of the step time.
const STALL_STEPS: u64 = 200;

/// Grace on top of the longest time a call of a service is expected to take.
const SERVICE_GRACE_MS: u64 = 1_000;

/// A timer of a shard.
#[derive(Debug, Clone, Copy)]
pub(super) enum Timer {
    /// The request's deadline.
    Deadline { sequence: u64 },
    /// An answer about the attempt has to have come.
    Answer { attempt: AttemptId },
    /// The request may be sent again.
    Wake { sequence: u64 },
}

impl Requests {
    /// Does what is due.
    pub(crate) fn tick(&mut self, ctx: &mut Ctx<'_>) {
        while let Some(timer) = self.timers.take(ctx.now) {
            match timer {
                Timer::Deadline { sequence } => self.deadline_passed(ctx, sequence),
                Timer::Answer { attempt } => self.answer_due(ctx, attempt),
                Timer::Wake { sequence } => {
                    if let Some(request) = self.requests.get(&sequence) {
                        let resource = request.resolved.resource.clone();
                        ctx.follow_ups.wake.insert(resource);
                    }
                }
            }
        }
    }

    pub(super) fn wait_for_revoked(&mut self, now: Instant, attempt: AttemptId) {
        let at = now.plus_ms(REVOKED_WAIT_MS);
        self.timers.set(at, Timer::Answer { attempt });
    }

    /// Looks whether the attempt has been silent for too long; if not, looks
    /// again when it would be.
    fn answer_due(&mut self, ctx: &mut Ctx<'_>, attempt: AttemptId) {
        let Some(sequence) = self.attempts.get(&attempt.sequence).copied() else {
            return;
        };
        let Some(request) = self.requests.get(&sequence) else {
            return;
        };
        let Some(held) = request.attempt() else {
            return;
        };
        // After a freeze the answer may wait in a socket.
        let bound =
            silence_limit(ctx, request, held).max(ctx.control.backlog_read_by());
        if bound > ctx.now {
            self.timers.set(bound, Timer::Answer { attempt });
            return;
        }
        self.answer_missing(ctx, sequence);
    }
}

/// When an attempt that stays silent is given up.
fn silence_limit(ctx: &Ctx<'_>, request: &Request, attempt: &Attempt) -> Instant {
    if attempt.started {
        return attempt.heard_at.plus_ms(stall_ms(ctx, request, attempt));
    }
    if let Some(at) = attempt.revoked_at {
        return at.plus_ms(REVOKED_WAIT_MS);
    }
    let wait_ms = match attempt.exclusive {
        true => EXCLUSIVE_START_WAIT_MS,
        false => START_WAIT_MS,
    };
    attempt.sent_at.plus_ms(wait_ms)
}

fn stall_ms(ctx: &Ctx<'_>, request: &Request, attempt: &Attempt) -> u64 {
    let resolved = &request.resolved;
    if resolved.resource.model().is_none() {
        let timeout_ms = u64::from(resolved.service_timeout_ms);
        return (timeout_ms + SERVICE_GRACE_MS).max(STALL_MIN_MS);
    }
    if !resolved.interactive {
        return STALL_BATCH_MS;
    }
    let agent = ctx.control.directory.get(&attempt.agent);
    let step_us = agent.map_or(0, |held| held.hint.read(ctx.now).step_time_us);
    let by_steps = u64::from(step_us) * STALL_STEPS / 1_000;
    let expected = match request.delivered {
        0 => u64::from(resolved.first_token_ms) * STALL_FIRST,
        _ => u64::from(resolved.between_tokens_ms) * STALL_TOKENS,
    };
    expected.max(by_steps).max(STALL_MIN_MS)
}
