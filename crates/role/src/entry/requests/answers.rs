//! Frames about attempts: started, parts, the end, refused, revoked.

use base::prelude::*;
use schema::link::{End, Load, Refused};
use schema::timeline::EventKind;

use super::super::EntryAction;
use super::super::counters::Counts;
use super::super::shared::{Ctx, Shared};
use super::super::suspicion::charged_by;
use super::super::trace::Note;
use super::Requests;
use super::failures::{Charge, Failure};

/// Wait before a request that no agent took is sent again.
const REFUSED_PAUSE_MS: u64 = 100;

/// Growth of that wait, with each refusal, at most to this multiple.
const REFUSED_PAUSES_MAX: u64 = 10;

/// What came of a part of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PartOutcome {
    /// It was given to the caller, or dropped.
    Done,
    /// Units before it are missing.
    Gap,
}

/// An attempt as the link carries it.
pub(crate) fn attempt_of(wire: Option<&schema::link::Attempt>) -> AttemptId {
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
    pub(crate) fn part(
        &mut self,
        now: Instant,
        shared: &Shared,
        part: &Part<'_>,
        out: &mut Vec<EntryAction>,
    ) -> PartOutcome {
        let held = self.current(part.agent, part.attempt);
        let request = held.and_then(|sequence| self.live.get_mut(&sequence));
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
            Note::new(EventKind::RequestFirstUnit, format!("after {ms} ms"))
                .request(id)
                .peer(part.agent)
                .put(out);
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
    pub(crate) fn started(
        &mut self,
        ctx: &mut Ctx<'_>,
        agent: &AgentId,
        attempt: AttemptId,
        load: Option<&Load>,
    ) {
        note_load(ctx, agent, load);
        let Some(sequence) = self.current(agent, attempt) else {
            Counts::add(&ctx.shared.counts.stray_frames);
            return;
        };
        let Some(request) = self.live.get_mut(&sequence) else {
            return;
        };
        let id = request.id();
        if let Some(held) = request.attempt_mut() {
            held.started = true;
            held.heard_at = ctx.now;
            let ms = ctx.now.ms_since(held.sent_at);
            Note::new(
                EventKind::RequestStarted,
                format!("{ms} ms after it was sent"),
            )
            .request(id)
            .peer(agent)
            .put(ctx.out);
        }
    }

    /// The gate refused the attempt: it was not run and never will be.
    pub(crate) fn refused(
        &mut self,
        ctx: &mut Ctx<'_>,
        agent: &AgentId,
        frame: &Refused,
    ) {
        note_load(ctx, agent, frame.load.as_ref());
        let attempt = attempt_of(frame.attempt.as_ref());
        let Some(sequence) = self.current(agent, attempt) else {
            Counts::add(&ctx.shared.counts.stray_frames);
            return;
        };
        Counts::add(&ctx.shared.counts.refused_by_gate);
        let code = Code::from_number(frame.code).unwrap_or(Code::Overloaded);
        let retry_after_ms = u64::from(frame.retry_after_ms);
        if let Some(request) = self.live.get(&sequence) {
            Note::new(
                EventKind::RequestRefusedByGate,
                format!("by {agent}: {code}"),
            )
            .request(request.id())
            .model(request.resolved.wanted.as_str())
            .peer(agent)
            .code(code)
            .put(ctx.out);
        }
        self.not_run(ctx, sequence, code, retry_after_ms);
    }

    /// An attempt was provably not run.
    pub(super) fn not_run(
        &mut self,
        ctx: &mut Ctx<'_>,
        sequence: u64,
        code: Code,
        retry_after_ms: u64,
    ) {
        let Some(attempt) = self.settle(ctx, sequence, Some(Ran::NotRun)) else {
            return;
        };
        if !goes_elsewhere(code) {
            let retry_after = (retry_after_ms > 0).then_some(retry_after_ms);
            self.refuse(ctx, sequence, code, retry_after);
            return;
        }
        if let Some(request) = self.live.get_mut(&sequence) {
            request.refused += 1;
            request.excluded.push(attempt.agent);
            request.not_before = ctx.now;
        }
        self.place_elsewhere(ctx, sequence);
    }

    /// Sends a request to another agent at once, or lets it wait a moment.
    pub(super) fn place_elsewhere(&mut self, ctx: &mut Ctx<'_>, sequence: u64) {
        self.place(ctx, sequence);
        if let Some(request) = self.live.get_mut(&sequence)
            && request.attempt().is_none()
        {
            let times = u64::from(request.refused).clamp(1, REFUSED_PAUSES_MAX);
            let pause = ctx.now.plus_ms(REFUSED_PAUSE_MS * times);
            request.not_before = pause;
            self.timers
                .set(pause, super::timers::Timer::Wake { sequence });
        }
    }

    /// The attempt ended.
    pub(crate) fn ended(&mut self, ctx: &mut Ctx<'_>, agent: &AgentId, frame: End) {
        note_load(ctx, agent, frame.load.as_ref());
        if frame.upstream_crashed {
            self.crashed(ctx, agent, &frame);
        }
        let attempt = attempt_of(frame.attempt.as_ref());
        let Some(sequence) = self.current(agent, attempt) else {
            Counts::add(&ctx.shared.counts.stray_frames);
            return;
        };
        if frame.code != 0 {
            self.ended_badly(ctx, sequence, &frame);
            return;
        }
        // An end whose total differs from what was delivered is not the end of
        // this answer: the caller would take a cut answer for a whole one.
        let Some(request) = self.live.get(&sequence) else {
            return;
        };
        if frame.total_units != request.delivered {
            let broken = Failure {
                code: Code::AnswerBroken,
                ran: Some(Ran::Ran),
                charge: Charge::Yes,
            };
            self.failed(ctx, sequence, broken);
            return;
        }
        self.note_served(ctx, sequence);
        self.judge_upstream(ctx, sequence, true);
        self.finish(
            ctx,
            sequence,
            frame.status,
            frame.content_type,
            frame.replayed,
        );
    }

    fn note_served(&mut self, ctx: &mut Ctx<'_>, sequence: u64) {
        let Some(request) = self.live.get(&sequence) else {
            return;
        };
        let Some(attempt) = request.attempt() else {
            return;
        };
        let ms = ctx.now.ms_since(attempt.sent_at);
        let wanted = &request.resolved.wanted;
        ctx.shared.book.lock().served(wanted, ms);
        if attempt.alone {
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
    fn crashed(&mut self, ctx: &mut Ctx<'_>, agent: &AgentId, frame: &End) {
        let fingerprints = &frame.crash_fingerprints;
        let alone = fingerprints.len() == 1;
        let charged = {
            let mut suspects = ctx.shared.suspects.lock();
            charged_by(&mut suspects, ctx.now, fingerprints, |suspects| {
                let run = frame.upstream_incarnation;
                suspects.record_crash(ctx.now, fingerprints, agent, run, alone);
            })
        };
        let attempt = attempt_of(frame.attempt.as_ref());
        let request = self.current(agent, attempt);
        let request = request.and_then(|sequence| self.live.get(&sequence));
        for held in charged {
            let own =
                request.filter(|own| own.resolved.fingerprint == held.fingerprint);
            held.trace(own.map(super::Request::id), ctx.out);
        }
        ctx.later.gossip = true;
    }
}

/// One part of an answer, without its payload.
#[derive(Debug)]
pub(crate) struct Part<'a> {
    pub(crate) agent: &'a AgentId,
    pub(crate) attempt: AttemptId,
    pub(crate) offset: u64,
    pub(crate) units: u32,
}

fn note_load(ctx: &mut Ctx<'_>, agent: &AgentId, load: Option<&Load>) {
    if let (Some(held), Some(load)) = (ctx.control.directory.get(agent), load) {
        held.hint.note(ctx.now, load);
        ctx.later.room.insert(agent.clone());
    }
}

/// Whether another agent may take what one refused with this code.
const fn goes_elsewhere(code: Code) -> bool {
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
