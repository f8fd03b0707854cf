//! What the upstream says about attempts, on its way to the entry.

use super::attempts::{Attempt, Phase};
use super::runs::{attempt_frame, retry_after};
use super::{AgentAction, AgentRole, UpstreamEvent, trace};
use base::prelude::*;
use once::Answer;
use schema::link::{End, Started, frame};
use schema::timeline::EventKind;

/// When to come back after the upstream itself refused an attempt.
const UPSTREAM_RETRY_MS: u64 = 1_000;

/// How long a call that may not be repeated runs on behind its deadline before
/// it is stopped.
const OVERDUE_MS: u64 = 60_000;

impl AgentRole {
    pub(super) fn upstream_event(
        &mut self,
        now: Instant,
        event: UpstreamEvent,
        out: &mut Vec<AgentAction>,
    ) {
        match event {
            UpstreamEvent::Report(report) => self.reported(now, &report, out),
            UpstreamEvent::Down => self.went_down(now, out),
            UpstreamEvent::Started { attempt } => self.started(now, attempt, out),
            UpstreamEvent::AnswerPart { attempt, units } => {
                self.part(attempt, units, None, out);
            }
            UpstreamEvent::KeyedAnswerPart {
                attempt,
                units,
                payload,
            } => self.part(attempt, units, Some(&payload), out),
            UpstreamEvent::Done {
                attempt,
                status,
                content_type,
            } => self.done(now, attempt, status, content_type, out),
            UpstreamEvent::Failed {
                attempt,
                ran,
                status,
                broken,
            } => self.failed(now, attempt, ran, status, broken, out),
            UpstreamEvent::OrderAnswered { order, answer } => {
                self.order_answered(now, order, answer, out);
            }
        }
    }

    fn started(&mut self, now: Instant, id: AttemptId, out: &mut Vec<AgentAction>) {
        let Some(attempt) = self.attempts.get_mut(id) else {
            self.counters.upstream_events_dropped += 1;
            return;
        };
        attempt.phase = Phase::Running;
        let entry = attempt.entry.clone();
        trace::attempt(EventKind::RequestStarted, id, 0, out);
        let body = frame::Body::Started(Started {
            attempt: attempt_frame(id),
            load: Some(self.load(now)),
        });
        self.send(entry.as_ref(), body, out);
    }

    fn part(
        &mut self,
        id: AttemptId,
        units: u32,
        payload: Option<&[u8]>,
        out: &mut Vec<AgentAction>,
    ) {
        let max = self.claims.answer_max_bytes();
        let Some(attempt) = self.attempts.get_mut(id) else {
            self.counters.upstream_events_dropped += 1;
            return;
        };
        let offset = attempt.offset;
        attempt.offset += u64::from(units);
        attempt.phase = Phase::Running;
        match payload {
            Some(payload) => attempt.keep(payload, max),
            None => attempt.kept = None,
        }
        let entry = attempt.entry.clone();
        if let Some(entry) = entry.filter(|entry| self.links.contains(entry)) {
            out.push(AgentAction::ForwardPart {
                entry,
                attempt: id,
                offset,
                units,
            });
        }
    }

    fn done(
        &mut self,
        now: Instant,
        id: AttemptId,
        status: u16,
        content_type: String,
        out: &mut Vec<AgentAction>,
    ) {
        let Some(mut attempt) = self.attempts.remove(id) else {
            self.counters.upstream_events_dropped += 1;
            return;
        };
        self.counters.finished += 1;
        self.upstream.served(now.ms_since(attempt.began));
        self.remember(now, id, Ran::Ran);
        trace::attempt(EventKind::RequestFinished, id, 0, out);
        if attempt.keyed {
            let answer = attempt.kept.take().map(|body| Answer {
                status,
                content_type: content_type.clone(),
                body,
            });
            self.finish_claim(now, id, answer, out);
        }
        let end = End {
            status: u32::from(status),
            content_type,
            total_units: attempt.offset,
            upstream_incarnation: attempt.upstream,
            ..self.end(now, id, 0, Ran::Ran)
        };
        self.send(attempt.entry.as_ref(), frame::Body::End(end), out);
    }

    fn failed(
        &mut self,
        now: Instant,
        id: AttemptId,
        ran: Ran,
        status: u16,
        broken: bool,
        out: &mut Vec<AgentAction>,
    ) {
        let until = now.plus_ms(self.heartbeat_ms());
        let Some(attempt) = self.attempts.get_mut(id) else {
            self.counters.upstream_events_dropped += 1;
            return;
        };
        let started = attempt.is_handed_over();
        if ran == Ran::NotRun {
            let refusal =
                Refusal::not_run(Code::UpstreamFault).retry_after_ms(UPSTREAM_RETRY_MS);
            self.take_back(now, id, refusal, started, out);
            return;
        }
        // If the upstream has died, its report will say so in a moment, and
        // this attempt was one of those in flight.
        if broken && self.upstream.is_up() {
            attempt.phase = Phase::Broken { until };
            return;
        }
        let code = if broken {
            Code::UpstreamLost
        } else {
            Code::UpstreamFault
        };
        let end = End {
            status: u32::from(status),
            ..self.end(now, id, code.number(), ran)
        };
        self.end_attempt(now, id, end, out);
    }

    /// Ends an attempt that was not run after all; a claim is released first,
    /// so that its key is free when the refusal arrives.
    pub(super) fn take_back(
        &mut self,
        now: Instant,
        id: AttemptId,
        refusal: Refusal,
        started: bool,
        out: &mut Vec<AgentAction>,
    ) {
        let Some(attempt) = self.attempts.get_mut(id) else {
            return;
        };
        attempt.phase = Phase::Releasing { refusal, started };
        if attempt.keyed {
            self.release_claim(now, id, out);
        } else {
            self.taken_back(now, id, out);
        }
    }

    /// The claim, if there was one, is released: tell the entry.
    pub(super) fn taken_back(
        &mut self,
        now: Instant,
        id: AttemptId,
        out: &mut Vec<AgentAction>,
    ) {
        let phase = self.attempts.get(id).map(|attempt| attempt.phase);
        let Some(Phase::Releasing { refusal, started }) = phase else {
            return;
        };
        let Some(attempt) = self.attempts.remove(id) else {
            return;
        };
        self.remember(now, id, Ran::NotRun);
        if !started {
            self.refuse(now, attempt.entry.as_ref(), id, refusal, out);
            return;
        }
        self.counters.failed += 1;
        let end = End {
            retry_after_ms: retry_after(&refusal),
            total_units: attempt.offset,
            upstream_incarnation: attempt.upstream,
            ..self.end(now, id, refusal.code.number(), Ran::NotRun)
        };
        self.send(attempt.entry.as_ref(), frame::Body::End(end), out);
    }

    /// An end frame with what every one carries.
    pub(super) fn end(&self, now: Instant, id: AttemptId, code: u32, ran: Ran) -> End {
        End {
            attempt: attempt_frame(id),
            code,
            ran: ran.number(),
            load: Some(self.load(now)),
            ..End::default()
        }
    }

    /// Ends an attempt without a whole answer.
    pub(super) fn end_attempt(
        &mut self,
        now: Instant,
        id: AttemptId,
        end: End,
        out: &mut Vec<AgentAction>,
    ) {
        let Some(attempt) = self.attempts.remove(id) else {
            return;
        };
        let ran = Ran::from_number(end.ran);
        self.counters.failed += 1;
        self.remember(now, id, ran);
        trace::attempt(EventKind::RequestFailed, id, end.code, out);
        self.close_claim(now, id, &attempt, ran, out);
        let end = End {
            total_units: attempt.offset,
            upstream_incarnation: attempt.upstream,
            ..end
        };
        self.send(attempt.entry.as_ref(), frame::Body::End(end), out);
    }

    /// A call that ran without a known answer is stored as that: a resend is
    /// told at once. Where not even that is known the claim stays open.
    fn close_claim(
        &mut self,
        now: Instant,
        id: AttemptId,
        attempt: &Attempt,
        ran: Ran,
        out: &mut Vec<AgentAction>,
    ) {
        if !attempt.keyed {
            return;
        }
        match ran {
            Ran::Ran => self.finish_claim(now, id, None, out),
            Ran::Unknown => self.claims.leave(id),
            Ran::NotRun => self.release_claim(now, id, out),
        }
    }

    /// Ends what is past its deadline, and what broke without a crash.
    pub(super) fn check_attempts(&mut self, now: Instant, out: &mut Vec<AgentAction>) {
        if self.attempts.due().is_none_or(|due| due > now) {
            return;
        }
        let broken = |attempt: &Attempt| matches!(attempt.phase, Phase::Broken { until } if until <= now);
        for id in self.attempts.ids_where(broken) {
            let end = self.end(now, id, Code::UpstreamLost.number(), Ran::Ran);
            self.end_attempt(now, id, end, out);
        }
        let late = |attempt: &Attempt| {
            let runs = matches!(attempt.phase, Phase::Starting | Phase::Running);
            runs && attempt.deadline <= now
        };
        for id in self.attempts.ids_where(late) {
            self.deadline_passed(now, id, out);
        }
    }

    fn deadline_passed(
        &mut self,
        now: Instant,
        id: AttemptId,
        out: &mut Vec<AgentAction>,
    ) {
        let end = self.end(now, id, Code::DeadlineWhileRunning.number(), Ran::Ran);
        let Some(attempt) = self.attempts.get_mut(id) else {
            return;
        };
        self.counters.deadlines += 1;
        if attempt.idempotent || attempt.overdue {
            out.push(AgentAction::StopAttempt { attempt: id });
            self.end_attempt(now, id, end, out);
            return;
        }
        attempt.overdue = true;
        attempt.deadline = now.plus_ms(OVERDUE_MS);
        let entry = attempt.entry.take();
        self.send(entry.as_ref(), frame::Body::End(end), out);
    }
}
