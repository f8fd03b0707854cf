//! Handles agents' frames about attempts: start, answer parts, end and refusal.

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
use super::keyed_runs;

/// Backoff before a request that was refused is dispatched again.
const REFUSAL_BACKOFF_MS: u64 = 100;

/// The backoff grows with each refusal, up to this multiple.
const REFUSAL_BACKOFF_STEPS_MAX: u64 = 10;

/// Result of handling an answer part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PartOutcome {
    /// The part was delivered to the caller or dropped.
    Done,
    /// Units before the part are missing.
    Gap,
}

/// Decodes an attempt id of a frame. A missing one becomes an id that no attempt has.
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
    /// Handles a part of an answer.
    ///
    /// Only parts of the attempt in flight are delivered. A part of another attempt may
    /// belong to another request, or repeat units from an upstream that was considered
    /// dead. Units that the caller already has are skipped.
    pub(crate) fn answer_part_received(
        &mut self,
        now: Instant,
        shared: &Shared,
        part: &AnswerPart<'_>,
        out: &mut Vec<EntryAction>,
    ) -> PartOutcome {
        let sequence = self.request_of_attempt(part.agent, part.attempt);
        let request = sequence.and_then(|sequence| self.requests.get_mut(&sequence));
        let Some(request) = request else {
            Counts::increment(&shared.counts.stray_frames);
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
        attempt.last_frame_at = now;
        attempt.started = true;
        attempt.answered = true;
        let version = attempt.version;
        if end <= delivered {
            Counts::increment(&shared.counts.stray_frames);
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
        // The units to skip lie within the part, so their number fits in 32 bits like
        // the part's own.
        let skip_units = u32::try_from(delivered - part.offset).unwrap_or(u32::MAX);
        out.push(EntryAction::DeliverPart {
            request: id,
            skip_units,
        });
        PartOutcome::Done
    }

    /// Handles `Started`: the agent passed the attempt to the upstream.
    pub(crate) fn attempt_started(
        &mut self,
        ctx: &mut Ctx<'_>,
        agent: &AgentId,
        attempt: AttemptId,
        load: Option<&Load>,
    ) {
        record_load_report(ctx, agent, load);
        let Some(sequence) = self.request_of_attempt(agent, attempt) else {
            Counts::increment(&ctx.shared.counts.stray_frames);
            return;
        };
        let Some(request) = self.requests.get_mut(&sequence) else {
            return;
        };
        let id = request.id();
        if let Some(current) = request.attempt_mut() {
            current.started = true;
            current.last_frame_at = ctx.now;
            let ms = ctx.now.ms_since(current.sent_at);
            TimelineEvent::new(
                EventKind::RequestStarted,
                format!("{ms} ms after it was sent"),
            )
            .request(id)
            .peer(agent)
            .record(ctx.out);
        }
        keyed_runs::log_started(ctx, request);
    }

    /// Handles `Refused`: the agent's admission control refused the attempt, which has
    /// not run and never will.
    pub(crate) fn attempt_refused(
        &mut self,
        ctx: &mut Ctx<'_>,
        agent: &AgentId,
        frame: &Refused,
    ) {
        record_load_report(ctx, agent, frame.load.as_ref());
        let attempt = decode_attempt_id(frame.attempt.as_ref());
        let Some(sequence) = self.request_of_attempt(agent, attempt) else {
            Counts::increment(&ctx.shared.counts.stray_frames);
            return;
        };
        Counts::increment(&ctx.shared.counts.refused_by_gate);
        let code = ErrorCode::from_number(frame.code).unwrap_or(ErrorCode::Overloaded);
        let retry_after_ms = u64::from(frame.retry_after_ms);
        if let Some(request) = self.requests.get(&sequence) {
            TimelineEvent::new(
                EventKind::RequestRefusedByGate,
                format!("refused by {agent}: {code}"),
            )
            .request(request.id())
            .model(request.resolved.resource.as_str())
            .peer(agent)
            .code(code)
            .record(ctx.out);
        }
        self.attempt_not_run(ctx, sequence, code, retry_after_ms);
    }

    /// Ends an attempt that provably did not run, and dispatches the request again if
    /// another agent may accept it.
    pub(super) fn attempt_not_run(
        &mut self,
        ctx: &mut Ctx<'_>,
        sequence: u64,
        code: ErrorCode,
        retry_after_ms: u64,
    ) {
        let Some(attempt) = self.end_attempt(ctx, sequence, Some(RunStatus::NotRun))
        else {
            return;
        };
        if !retryable_elsewhere(code) {
            let retry_after = (retry_after_ms > 0).then_some(retry_after_ms);
            self.fail(ctx, sequence, code, retry_after);
            return;
        }
        if let Some(request) = self.requests.get_mut(&sequence) {
            request.admission_refusals += 1;
            request.excluded_agents.push(attempt.agent);
            request.not_before = ctx.now;
        }
        self.dispatch_elsewhere(ctx, sequence);
    }

    /// Dispatches a request to another agent now, or after a backoff.
    pub(super) fn dispatch_elsewhere(&mut self, ctx: &mut Ctx<'_>, sequence: u64) {
        self.dispatch(ctx, sequence);
        if let Some(request) = self.requests.get_mut(&sequence)
            && request.attempt().is_none()
        {
            let steps = u64::from(request.admission_refusals)
                .clamp(1, REFUSAL_BACKOFF_STEPS_MAX);
            let retry_at = ctx.now.plus_ms(REFUSAL_BACKOFF_MS * steps);
            request.not_before = retry_at;
            self.timers
                .schedule(retry_at, super::timers::Timer::Retry { sequence });
        }
    }

    /// Handles `End`: the attempt ended.
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
        let Some(sequence) = self.request_of_attempt(agent, attempt) else {
            Counts::increment(&ctx.shared.counts.stray_frames);
            return;
        };
        if frame.code != 0 {
            self.attempt_ended_with_error(ctx, sequence, &frame);
            return;
        }
        // If the total differs from the delivered units, the answer is incomplete and
        // must not be presented to the caller as complete.
        let Some(request) = self.requests.get(&sequence) else {
            return;
        };
        if frame.total_units != request.delivered {
            let incomplete = Failure {
                code: ErrorCode::AnswerBroken,
                ran: Some(RunStatus::Ran),
                charge: RetryCharge::Charged,
            };
            self.attempt_failed(ctx, sequence, incomplete);
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

    /// Records the duration of a completed attempt, and that a suspect request
    /// completed its exclusive run.
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
                .record_completed_exclusive_run(fingerprint);
        }
    }

    /// Records the crash of an upstream. Crashes are told apart by the incarnation of
    /// the upstream: the agent's own incarnation does not change with a crash, so a
    /// second crash would be taken for another report of the first.
    fn upstream_crashed(&mut self, ctx: &mut Ctx<'_>, agent: &AgentId, frame: &End) {
        let fingerprints = &frame.crash_fingerprints;
        let sole_request = fingerprints.len() == 1;
        let worsened = {
            let mut suspects = ctx.shared.suspects.lock();
            apply_and_diff(&mut suspects, ctx.now, fingerprints, |suspects| {
                let incarnation = frame.upstream_incarnation;
                suspects.record_crash(
                    ctx.now,
                    fingerprints,
                    agent,
                    incarnation,
                    sole_request,
                );
            })
        };
        let attempt = decode_attempt_id(frame.attempt.as_ref());
        let request = self.request_of_attempt(agent, attempt);
        let request = request.and_then(|sequence| self.requests.get(&sequence));
        for change in worsened {
            let own =
                request.filter(|own| own.resolved.fingerprint == change.fingerprint);
            change.record(own.map(super::Request::id), ctx.out);
        }
        ctx.follow_ups.gossip = true;
    }
}

/// A part of an answer, without its payload.
#[derive(Debug)]
pub(crate) struct AnswerPart<'a> {
    pub(crate) agent: &'a AgentId,
    pub(crate) attempt: AttemptId,
    pub(crate) offset: u64,
    pub(crate) units: u32,
}

fn record_load_report(ctx: &mut Ctx<'_>, agent: &AgentId, load: Option<&Load>) {
    if let (Some(known), Some(load)) = (ctx.control.directory.get(agent), load) {
        known.load.record_report(ctx.now, load);
        ctx.follow_ups.agents_with_capacity.insert(agent.clone());
    }
}

/// Whether another agent may accept a request that one refused with this code.
const fn retryable_elsewhere(code: ErrorCode) -> bool {
    matches!(
        code,
        ErrorCode::Leaving
            | ErrorCode::GateFull
            | ErrorCode::WrongIncarnation
            | ErrorCode::NotHeld
            | ErrorCode::NotReady
            | ErrorCode::Overloaded
            | ErrorCode::QueueFull
            | ErrorCode::ModelUnavailable
            | ErrorCode::Revoked
            | ErrorCode::UpstreamLost
            | ErrorCode::UpstreamFault
    )
}
