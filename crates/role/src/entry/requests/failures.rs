//! Attempts that failed, are missing, or can't be asked after.

use base::prelude::*;
use schema::link::{Cancel, End, Revoke, Revoked, frame};
use schema::timeline::EventKind;

use super::super::EntryAction;
use super::super::control::Gone;
use super::super::counters::Counts;
use super::super::shared::Ctx;
use super::super::trace::Note;
use super::Requests;
use super::answers::attempt_of;
use super::send::wire_id;
use super::state::{Attempt, State};
use crate::Peer;

/// When to come back with a request whose retry the budget denied.
const BUDGET_RETRY_MS: u64 = 2_000;

/// When to come back after a deadline: the place taken is free at once, and a
/// call that goes on may have ended by then.
const DEADLINE_RETRY_MS: u64 = 1_000;

/// Failures after which a request is given up, whatever the budget.
const FAILURES_MAX: u32 = 4;

/// Whether a retry is paid for from the budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Charge {
    /// The attempt failed at an upstream.
    Yes,
    /// The upstream was crashed, maybe by another request: bystanders don't
    /// pay. Suspects run one at a time, which bounds these retries. Nor does a
    /// probe, which was sent to a failing upstream for the fleet's sake; there
    /// is one at a time.
    No,
}

/// How an attempt failed.
#[derive(Debug, Clone, Copy)]
pub(super) struct Failure {
    pub(super) code: Code,
    /// Whether it ran, if its agent said so.
    pub(super) ran: Option<Ran>,
    pub(super) charge: Charge,
}

impl Requests {
    /// An attempt ended with an error.
    pub(super) fn ended_badly(
        &mut self,
        ctx: &mut Ctx<'_>,
        sequence: u64,
        frame: &End,
    ) {
        let code = Code::from_number(frame.code).unwrap_or(Code::UpstreamFault);
        // A crash is no verdict on the upstream: it is down, and is told so.
        let failing = matches!(code, Code::UpstreamLost | Code::UpstreamFault);
        let mut probe = false;
        if failing && !frame.upstream_crashed {
            probe = self.judge_upstream(ctx, sequence, false);
        }
        let Some(request) = self.live.get(&sequence) else {
            return;
        };
        let answered = request.attempt().is_some_and(|held| held.answered);
        let ran = match Ran::from_number(frame.ran) {
            // An attempt that answered did run, whatever its end says.
            Ran::NotRun if answered => Ran::Ran,
            ran => ran,
        };
        if ran == Ran::NotRun {
            self.not_run(ctx, sequence, code, u64::from(frame.retry_after_ms));
            return;
        }
        if !fails_elsewhere_too(code) {
            let charge = match frame.upstream_crashed || probe {
                true => Charge::No,
                false => Charge::Yes,
            };
            let ran = Some(ran);
            self.failed(ctx, sequence, Failure { code, ran, charge });
            return;
        }
        let retry_after = u64::from(frame.retry_after_ms);
        self.settle(ctx, sequence, Some(ran));
        self.refuse(
            ctx,
            sequence,
            code,
            (retry_after > 0).then_some(retry_after),
        );
    }

    /// Units are missing in an answer.
    pub(crate) fn gap(
        &mut self,
        ctx: &mut Ctx<'_>,
        agent: &AgentId,
        attempt: AttemptId,
    ) {
        let Some(sequence) = self.current(agent, attempt) else {
            return;
        };
        self.cancel_attempt(ctx, sequence);
        let broken = Failure {
            code: Code::AnswerBroken,
            ran: Some(Ran::Ran),
            charge: Charge::Yes,
        };
        self.failed(ctx, sequence, broken);
    }

    /// The attempt in flight failed after it may have run: it is settled, and
    /// the request is retried if that can do no harm, else ended.
    pub(super) fn failed(
        &mut self,
        ctx: &mut Ctx<'_>,
        sequence: u64,
        failure: Failure,
    ) {
        let Failure { code, ran, charge } = failure;
        let Some(attempt) = self.settle(ctx, sequence, ran) else {
            return;
        };
        let Some(request) = self.live.get_mut(&sequence) else {
            return;
        };
        request.failed += 1;
        request.last_code = Some(code);
        request.excluded.push(attempt.agent);
        // What may have run once must not run twice: the caller is told at once
        // that the outcome is not known, and decides.
        if !request.resolved.idempotent {
            self.refuse(ctx, sequence, Code::OutcomeUnknown, None);
            return;
        }
        if !request.can_resume() {
            self.refuse(ctx, sequence, Code::AnswerBroken, None);
            return;
        }
        if request.failed > FAILURES_MAX {
            self.refuse(ctx, sequence, code, Some(BUDGET_RETRY_MS));
            return;
        }
        if charge == Charge::Yes && !take_retry(ctx, request) {
            Counts::add(&ctx.shared.counts.retries_denied);
            self.refuse(ctx, sequence, code, Some(BUDGET_RETRY_MS));
            return;
        }
        self.place_elsewhere(ctx, sequence);
    }

    /// Attempts at an agent can't be waited for any longer.
    pub(crate) fn agent_gone(&mut self, ctx: &mut Ctx<'_>, agent: &AgentId, why: Gone) {
        let now_of = ctx.control.directory.get(agent);
        let incarnation = now_of.map(|held| held.incarnation);
        let lost = self.live.iter().filter(|(_, request)| {
            request.attempt().is_some_and(|held| {
                // A heartbeat of the very run that the attempt was sent to says
                // nothing against it.
                let same_run = Some(held.incarnation) == incarnation;
                let spared = why == Gone::Restarted && same_run;
                // Another thread may have sent it after the event.
                held.agent == *agent && held.sent_at <= ctx.now && !spared
            })
        });
        let lost: Vec<u64> = lost.map(|(sequence, _)| *sequence).collect();
        for sequence in lost {
            self.attempt_gone(ctx, sequence, why);
        }
    }

    fn attempt_gone(&mut self, ctx: &mut Ctx<'_>, sequence: u64, why: Gone) {
        let Some(request) = self.live.get(&sequence) else {
            return;
        };
        let asks = why == Gone::Lost && !request.resolved.idempotent;
        if asks && request.attempt().is_some_and(|held| !held.started) {
            self.revoke(ctx, sequence);
            return;
        }
        self.give_up_attempt(ctx, sequence);
    }

    /// An answer is missing: what can be asked is asked, the rest is given up.
    pub(super) fn missing(&mut self, ctx: &mut Ctx<'_>, sequence: u64) {
        let Some(request) = self.live.get(&sequence) else {
            return;
        };
        let Some(attempt) = request.attempt() else {
            return;
        };
        // A call that must not run twice is worth waiting for the agent's word,
        // once; one that may run twice goes on at once.
        let ask = !request.resolved.idempotent && attempt.revoked_at.is_none();
        if ask {
            self.revoke(ctx, sequence);
            return;
        }
        if attempt.started {
            self.judge_upstream(ctx, sequence, false);
        }
        self.give_up_attempt(ctx, sequence);
    }

    /// Ends the attempt in flight without knowing more of it, and stops it at
    /// the agent if it can be reached.
    fn give_up_attempt(&mut self, ctx: &mut Ctx<'_>, sequence: u64) {
        self.cancel_attempt(ctx, sequence);
        let lost = Failure {
            code: Code::UpstreamLost,
            ran: None,
            charge: Charge::Yes,
        };
        self.failed(ctx, sequence, lost);
    }

    /// Tells the agent to stop the attempt in flight, and never to start it.
    ///
    /// A `Run` that was delayed on its way could start an attempt nobody waits
    /// for; the tombstone that `Revoke` leaves keeps it from doing so. A call
    /// that must not run twice and has started is left to end, so that its
    /// answer is stored for the caller's next try.
    fn cancel_attempt(&mut self, ctx: &mut Ctx<'_>, sequence: u64) {
        let Some(request) = self.live.get(&sequence) else {
            return;
        };
        let Some(attempt) = request.attempt() else {
            return;
        };
        if !attempt.started && attempt.revoked_at.is_none() {
            send_revoke(ctx, attempt);
        }
        if request.resolved.idempotent {
            send_cancel(ctx, attempt);
        }
    }

    /// Asks the agent whether the attempt ran, and forbids it to start.
    fn revoke(&mut self, ctx: &mut Ctx<'_>, sequence: u64) {
        let Some(request) = self.live.get_mut(&sequence) else {
            return;
        };
        let id = request.id();
        let Some(attempt) = request.attempt_mut() else {
            return;
        };
        if attempt.revoked_at.is_some() {
            return;
        }
        attempt.revoked_at = Some(ctx.now);
        send_revoke(ctx, attempt);
        let (agent, attempt) = (attempt.agent.clone(), attempt.id);
        Counts::add(&ctx.shared.counts.revoked);
        Note::new(
            EventKind::RequestRevoked,
            format!("asked {agent} whether it ran"),
        )
        .request(id)
        .peer(&agent)
        .put(ctx.out);
        self.wait_for_revoked(ctx.now, attempt);
    }

    /// The agent says whether an attempt ran.
    pub(crate) fn revoked(
        &mut self,
        ctx: &mut Ctx<'_>,
        agent: &AgentId,
        frame: &Revoked,
    ) {
        let attempt = attempt_of(frame.attempt.as_ref());
        let Some(sequence) = self.current(agent, attempt) else {
            Counts::add(&ctx.shared.counts.stray_frames);
            return;
        };
        let Some(request) = self.live.get_mut(&sequence) else {
            return;
        };
        let started = request.attempt().is_some_and(|held| held.started);
        match Ran::from_number(frame.ran) {
            Ran::NotRun if !started => {
                self.not_run(ctx, sequence, Code::Revoked, 0);
            }
            Ran::Unknown => {
                let unknown = Failure {
                    code: Code::OutcomeUnknown,
                    ran: Some(Ran::Unknown),
                    charge: Charge::Yes,
                };
                self.failed(ctx, sequence, unknown);
            }
            Ran::Ran | Ran::NotRun => {
                // It ran, so its answer may still come: it is waited for like
                // that of any attempt that started.
                if let Some(held) = request.attempt_mut() {
                    held.started = true;
                    held.heard_at = ctx.now;
                }
            }
        }
    }

    /// The caller is gone.
    pub(crate) fn caller_gone(&mut self, ctx: &mut Ctx<'_>, request: RequestId) {
        let sequence = request.sequence;
        let Some(held) = self.live.get(&sequence) else {
            return;
        };
        if held.id() != request {
            return;
        }
        self.cancel_attempt(ctx, sequence);
        if let Some(held) = self.take(ctx, sequence) {
            Counts::add(&ctx.shared.counts.cancelled);
            let detail = format!("the caller went after {} units", held.delivered);
            Note::new(EventKind::RequestCancelled, detail)
                .request(request)
                .model(held.resolved.wanted.as_str())
                .put(ctx.out);
        }
    }

    /// The deadline has come.
    pub(super) fn deadline(&mut self, ctx: &mut Ctx<'_>, sequence: u64) {
        let Some(request) = self.live.get(&sequence) else {
            return;
        };
        let code = match &request.state {
            State::Running(_) => Code::DeadlineWhileRunning,
            _ => Code::DeadlineBeforeRun,
        };
        // A call that must not run twice helps its caller to come back only with
        // a key, by which the stored answer is found.
        let comes_back =
            request.resolved.idempotent || request.arrival.idempotency_key.is_some();
        let retry_after = comes_back.then_some(DEADLINE_RETRY_MS);
        self.cancel_attempt(ctx, sequence);
        self.refuse(ctx, sequence, code, retry_after);
    }
}

fn take_retry(ctx: &Ctx<'_>, request: &super::Request) -> bool {
    let mut book = ctx.shared.book.lock();
    book.try_retry(ctx.now, &request.resolved.wanted)
}

fn send_revoke(ctx: &mut Ctx<'_>, attempt: &Attempt) {
    let body = frame::Body::Revoke(Revoke {
        attempt: Some(wire_id(attempt.id)),
        agent_incarnation: attempt.incarnation.0,
    });
    send(ctx, attempt, body);
}

fn send_cancel(ctx: &mut Ctx<'_>, attempt: &Attempt) {
    let body = frame::Body::Cancel(Cancel {
        attempt: Some(wire_id(attempt.id)),
    });
    send(ctx, attempt, body);
}

fn send(ctx: &mut Ctx<'_>, attempt: &Attempt, body: frame::Body) {
    let peer = Peer::Agent(attempt.agent.clone());
    if ctx.control.links.contains_key(&peer) {
        ctx.out.push(EntryAction::SendFrame { peer, body });
    }
}

/// Codes that another upstream would end with as well.
const fn fails_elsewhere_too(code: Code) -> bool {
    matches!(
        code,
        Code::BadRequest
            | Code::UnknownModel
            | Code::UnknownService
            | Code::UnknownPath
            | Code::BodyTooLarge
            | Code::KeyReused
            | Code::KeyInProgress
            | Code::KeyMissing
            | Code::BadDeadline
            | Code::DeadlineWhileRunning
            | Code::DeadlineBeforeRun
            | Code::PlatformAway
            | Code::Conflict
            | Code::WriteUnanswered
            | Code::OutcomeUnknown
    )
}
