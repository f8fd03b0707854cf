//! Timers of a shard: deadlines, silent attempts and retries.

use base::prelude::*;

use super::super::shared::Ctx;
use super::Requests;
use super::send::{EXCLUSIVE_START_WAIT_MS, START_WAIT_MS};
use super::state::{Attempt, Request};

/// How long to wait for an agent's answer to `Revoke`.
const REVOKED_WAIT_MS: u64 = 1_000;

/// Minimum silence of a started attempt that counts as a stall.
const STALL_MIN_MS: u64 = 5_000;

/// Stall limit of batch requests, which may be queued behind other requests at the
/// engine for long.
const STALL_BATCH_MS: u64 = 60_000;

/// Stall limit as a multiple of the profile's target time between tokens.
const STALL_TOKENS: u64 = 20;

/// Stall limit before the first token, as a multiple of its target time.
const STALL_FIRST_TOKENS: u64 = 4;

/// Stall limit as a multiple of the engine's step time.
const STALL_STEPS: u64 = 200;

/// Silence allowed to a request of a plain service beyond the service's time limit.
const SERVICE_GRACE_MS: u64 = 1_000;

/// A timer of a shard.
#[derive(Debug, Clone, Copy)]
pub(super) enum Timer {
    /// The request's deadline.
    Deadline { sequence: u64 },
    /// The attempt may have been silent for too long.
    Silence { attempt: AttemptId },
    /// The request may be sent again: its backoff has passed.
    Retry { sequence: u64 },
}

impl Requests {
    /// Handles the timers that are due.
    pub(crate) fn tick(&mut self, ctx: &mut Ctx<'_>) {
        while let Some(timer) = self.timers.pop_due(ctx.now) {
            match timer {
                Timer::Deadline { sequence } => self.deadline_passed(ctx, sequence),
                Timer::Silence { attempt } => self.check_silence(ctx, attempt),
                Timer::Retry { sequence } => {
                    if let Some(request) = self.requests.get(&sequence) {
                        let resource = request.resolved.resource.clone();
                        ctx.follow_ups.wake.insert(resource);
                    }
                }
            }
        }
    }

    /// Sets the timer for an agent's missing answer to `Revoke`.
    pub(super) fn schedule_revoke_timeout(&mut self, now: Instant, attempt: AttemptId) {
        let at = now.plus_ms(REVOKED_WAIT_MS);
        self.timers.schedule(at, Timer::Silence { attempt });
    }

    /// Checks whether the attempt has been silent for too long; if not, sets the timer to
    /// the end of its limit.
    fn check_silence(&mut self, ctx: &mut Ctx<'_>, attempt: AttemptId) {
        let Some(sequence) = self.attempts.get(&attempt.sequence).copied() else {
            return;
        };
        let Some(request) = self.requests.get(&sequence) else {
            return;
        };
        let Some(current) = request.attempt() else {
            return;
        };
        // After a freeze of this process the answer may be unread in a socket.
        let limit =
            silence_limit(ctx, request, current).max(ctx.control.backlog_read_by());
        if limit > ctx.now {
            self.timers.schedule(limit, Timer::Silence { attempt });
            return;
        }
        self.answer_missing(ctx, sequence);
    }
}

/// When an attempt is given up if no further frame about it is received.
fn silence_limit(ctx: &Ctx<'_>, request: &Request, attempt: &Attempt) -> Instant {
    if attempt.started {
        return attempt
            .last_frame_at
            .plus_ms(stall_ms(ctx, request, attempt));
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

/// Silence after which a started attempt counts as stalled.
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
    let step_us = agent.map_or(0, |agent| agent.load.latest(ctx.now).step_time_us);
    let by_steps = u64::from(step_us) * STALL_STEPS / 1_000;
    let by_target = match request.delivered {
        0 => u64::from(resolved.first_token_ms) * STALL_FIRST_TOKENS,
        _ => u64::from(resolved.between_tokens_ms) * STALL_TOKENS,
    };
    by_target.max(by_steps).max(STALL_MIN_MS)
}
