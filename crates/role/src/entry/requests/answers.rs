//! Frames about attempts: started, parts, the end, refused, revoked.

use base::prelude::*;
use schema::link::{End, Load, Refused};
use schema::timeline::EventKind;

use super::super::EntryAction;
use super::super::counters::Counts;
use super::super::shared::{Ctx, Shared};
use super::super::suspect_events::apply_and_diff;
use super::super::timeline::TimelineEvent;
use super::Requests;
use super::failures::{Failure, RetryCharge};

/// Wait before a request that no agent took is sent again.
const REFUSAL_BACKOFF_MS: u64 = 100;

/// Growth of that wait, with each refusal, at most to this multiple.
const REFUSAL_BACKOFF_STEPS_MAX: u64 = 10;

/// What came of a part of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PartOutcome {
    /// It was given to the caller, or dropped.
    Done,
    /// Units before it are missing.
    Gap,
}

/// An attempt as the link carries it.
pub(crate) fn decode_attempt_id(wire: Option<&schema::link::Attempt>) -> AttemptId {
    wire.map_or(
        AttemptId {
            origin: 0,
            sequence: 0,
        },
        |wire| AttemptId {
            origin: wire.origin,
            sequence: wire.sequence,
        },
    )
}

impl Requests {
    /// Takes a part of an answer.
    ///
    /// A part of another attempt must not reach the caller: it may be another
    /// request's, or the same units again from an upstream thought dead. So
    /// only the attempt in flight counts, and of it only what goes on where the
    /// caller's answer ends.
    pub(crate) fn answer_part(
        &mut self,
        now: Instant,
        shared: &Shared,
        part: &AnswerPart<'_>,
        out: &mut Vec<EntryAction>,
    ) -> PartOutcome {
        let held = self.current(part.agent, part.attempt);
        let request = held.and_then(|sequence| self.requests.get_mut(&sequence));
        let Some(request) = request else {
            Counts::add(&shared.counts.stray_frames);
            return PartOutcome::Done;
        };
        let delivered = request.delivered;
        let end = part.offset.saturating_add(u64::from(part.units));
        if part.offset > delivered {
            return PartOutcome::Gap;
        }
        let id = request.id();
        let Some(attempt) = request.attempt_mut() else {
            return PartOutcome::Done;
        };
        attempt.heard_at = now;
        attempt.started = true;
        attempt.answered = true;
        let version = attempt.version;
        if end <= delivered {
            Counts::add(&shared.counts.stray_frames);
            return PartOutcome::Done;
        }
        if delivered == 0 {
            request.first_unit_at = Some(now);
            let ms = now.ms_since(request.arrived_at);
            TimelineEvent::new(EventKind::RequestFirstUnit, format!("after {ms} ms"))
                .request(id)
                .peer(part.agent)
                .record(out);
        }
        request.delivered = end;
        request.version = Some(version);
        // The part starts at or before the end of what the caller has, and its
        // units fit 32 bits, so the units to skip do as well.
        let skip_units = u32::try_from(delivered - part.offset).unwrap_or(u32::MAX);
        out.push(EntryAction::DeliverPart {
            request: id,
            skip_units,
        });
        PartOutcome::Done
    }

    /// The attempt was handed to the upstream.
    pub(crate) fn attempt_started(
        &mut self,
        ctx: &mut Ctx<'_>,
        agent: &AgentId,
        attempt: AttemptId,
        load: Option<&Load>,
    ) {
        record_load_report(ctx, agent, load);
        let Some(sequence) = self.current(agent, attempt) else {
            Counts::add(&ctx.shared.counts.stray_frames);
            return;
        };
        let Some(request) = self.requests.get_mut(&sequence) else {
            return;
        };
        let id = request.id();
        if let Some(held) = request.attempt_mut() {
            held.started = true;
            held.heard_at = ctx.now;
            let ms = ctx.now.ms_since(held.sent_at);
            TimelineEvent::new(
                EventKind::RequestStarted,
                format!("{ms} ms after it was sent"),
            )
            .request(id)
            .peer(agent)
            .record(ctx.out);
        }
    }

    /// The gate refused the attempt: it was not run and never will be.
    pub(crate) fn attempt_refused(
        &mut self,
        ctx: &mut Ctx<'_>,
        agent: &AgentId,
        frame: &Refused,
    ) {
        record_load_report(ctx, agent, frame.load.as_ref());
        let attempt = decode_attempt_id(frame.attempt.as_ref());
        let Some(sequence) = self.current(agent, attempt) else {
            Counts::add(&ctx.shared.counts.stray_frames);
            return;
        };
        Counts::add(&ctx.shared.counts.refused_by_gate);
        let code = Code::from_number(frame.code).unwrap_or(Code::Overloaded);
        let retry_after_ms = u64::from(frame.retry_after_ms);
        if let Some(request) = self.requests.get(&sequence) {
            TimelineEvent::new(
                EventKind::RequestRefusedByGate,
                format!("by {agent}: {code}"),
            )
            .request(request.id())
            .model(request.resolved.resource.as_str())
            .peer(agent)
            .code(code)
            .record(ctx.out);
        }
        self.attempt_not_run(ctx, sequence, code, retry_after_ms);
    }

    /// An attempt was provably not run.
    pub(super) fn attempt_not_run(
        &mut self,
        ctx: &mut Ctx<'_>,
        sequence: u64,
        code: Code,
        retry_after_ms: u64,
    ) {
        let Some(attempt) = self.settle_attempt(ctx, sequence, Some(Ran::NotRun))
        else {
            return;
        };
        if !retryable_elsewhere(code) {
            let retry_after = (retry_after_ms > 0).then_some(retry_after_ms);
            self.refuse(ctx, sequence, code, retry_after);
            return;
        }
        if let Some(request) = self.requests.get_mut(&sequence) {
            request.admission_refusals += 1;
            request.excluded_agents.push(attempt.agent);
            request.not_before = ctx.now;
        }
        self.dispatch_elsewhere(ctx, sequence);
    }

    /// Sends a request to another agent at once, or lets it wait a moment.
    pub(super) fn dispatch_elsewhere(&mut self, ctx: &mut Ctx<'_>, sequence: u64) {
        self.dispatch(ctx, sequence);
        if let Some(request) = self.requests.get_mut(&sequence)
            && request.attempt().is_none()
        {
            let times = u64::from(request.admission_refusals)
                .clamp(1, REFUSAL_BACKOFF_STEPS_MAX);
            let pause = ctx.now.plus_ms(REFUSAL_BACKOFF_MS * times);
            request.not_before = pause;
            self.timers
                .set(pause, super::timers::Timer::Wake { sequence });
        }
    }

    /// The attempt ended.
    pub(crate) fn attempt_ended(
        &mut self,
        ctx: &mut Ctx<'_>,
        agent: &AgentId,
        frame: End,
    ) {
        record_load_report(ctx, agent, frame.load.as_ref());
        if frame.upstream_crashed {
            self.upstream_crashed(ctx, agent, &frame);
        }
        let attempt = decode_attempt_id(frame.attempt.as_ref());
        let Some(sequence) = self.current(agent, attempt) else {
            Counts::add(&ctx.shared.counts.stray_frames);
            return;
        };
        if frame.code != 0 {
            self.attempt_ended_with_error(ctx, sequence, &frame);
            return;
        }
        // An end whose total differs from what was delivered is not the end of
        // this answer: the caller would take a cut answer for a whole one.
        let Some(request) = self.requests.get(&sequence) else {
            return;
        };
        if frame.total_units != request.delivered {
            let broken = Failure {
                code: Code::AnswerBroken,
                ran: Some(Ran::Ran),
                charge: RetryCharge::Charged,
            };
            self.attempt_failed(ctx, sequence, broken);
            return;
        }
        self.record_service_time(ctx, sequence);
        self.record_upstream_outcome(ctx, sequence, true);
        self.finish(
            ctx,
            sequence,
            frame.status,
            frame.content_type,
            frame.replayed,
        );
    }

    fn record_service_time(&mut self, ctx: &mut Ctx<'_>, sequence: u64) {
        let Some(request) = self.requests.get(&sequence) else {
            return;
        };
        let Some(attempt) = request.attempt() else {
            return;
        };
        let ms = ctx.now.ms_since(attempt.sent_at);
        let resource = &request.resolved.resource;
        ctx.shared.workload.lock().record_service_time(resource, ms);
        if attempt.exclusive {
            let fingerprint = request.resolved.fingerprint;
            ctx.shared
                .suspects
                .lock()
                .record_completed_alone(fingerprint);
        }
    }

    /// Takes note of a crash. The run of the upstream tells two crashes of one
    /// upstream apart: by the agent's run, which goes on, the second would pass
    /// for another report of the first.
    fn upstream_crashed(&mut self, ctx: &mut Ctx<'_>, agent: &AgentId, frame: &End) {
        let fingerprints = &frame.crash_fingerprints;
        let alone = fingerprints.len() == 1;
        let worsened = {
            let mut suspects = ctx.shared.suspects.lock();
            apply_and_diff(&mut suspects, ctx.now, fingerprints, |suspects| {
                let run = frame.upstream_incarnation;
                suspects.record_crash(ctx.now, fingerprints, agent, run, alone);
            })
        };
        let attempt = decode_attempt_id(frame.attempt.as_ref());
        let request = self.current(agent, attempt);
        let request = request.and_then(|sequence| self.requests.get(&sequence));
        for held in worsened {
            let own =
                request.filter(|own| own.resolved.fingerprint == held.fingerprint);
            held.record(own.map(super::Request::id), ctx.out);
        }
        ctx.follow_ups.gossip = true;
    }
}

/// One part of an answer, without its payload.
#[derive(Debug)]
pub(crate) struct AnswerPart<'a> {
    pub(crate) agent: &'a AgentId,
    pub(crate) attempt: AttemptId,
    pub(crate) offset: u64,
    pub(crate) units: u32,
}

fn record_load_report(ctx: &mut Ctx<'_>, agent: &AgentId, load: Option<&Load>) {
    if let (Some(held), Some(load)) = (ctx.control.directory.get(agent), load) {
        held.hint.note(ctx.now, load);
        ctx.follow_ups.agents_with_capacity.insert(agent.clone());
    }
}

/// Whether another agent may take what one refused with this code.
const fn retryable_elsewhere(code: Code) -> bool {
    matches!(
        code,
        Code::Leaving
            | Code::GateFull
            | Code::WrongIncarnation
            | Code::NotHeld
            | Code::NotReady
            | Code::Overloaded
            | Code::QueueFull
            | Code::ModelUnavailable
            | Code::Revoked
            | Code::UpstreamLost
            | Code::UpstreamFault
    )
}
