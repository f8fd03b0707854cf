//! Processes what the upstream reports about attempts and forwards it to the
//! entry.

use super::attempt_lifecycle::{encode_attempt_id, encode_retry_after_ms};
use super::attempts::{Attempt, Phase};
use super::{AgentAction, AgentRole, UpstreamEvent, timeline};
use base::prelude::*;
use once::{END_WAIT_MAX_MS, StoredResponse};
use schema::link::{End, Started, frame};
use schema::timeline::EventKind;

/// Suggested retry delay after the upstream itself refused an attempt.
const UPSTREAM_REFUSAL_RETRY_MS: u64 = 1_000;

/// How long a non-idempotent request may run past its deadline before it is
/// stopped.
const NON_IDEMPOTENT_GRACE_MS: u64 = 60_000;

impl AgentRole {
    pub(super) fn on_upstream_event(
        &mut self,
        now: Instant,
        event: UpstreamEvent,
        out: &mut Vec<AgentAction>,
    ) {
        match event {
            UpstreamEvent::Report(report) => self.on_report(now, &report, out),
            UpstreamEvent::Down => self.on_upstream_down(now, out),
            UpstreamEvent::Started { attempt } => self.on_started(now, attempt, out),
            UpstreamEvent::AnswerPart { attempt, units } => {
                self.on_answer_part(attempt, units, None, out);
            }
            UpstreamEvent::KeyedAnswerPart {
                attempt,
                units,
                payload,
            } => self.on_answer_part(attempt, units, Some(&payload), out),
            UpstreamEvent::Done {
                attempt,
                status,
                content_type,
            } => self.on_done(now, attempt, status, content_type, out),
            UpstreamEvent::Failed {
                attempt,
                ran,
                status,
                broken,
            } => self.on_failed(now, attempt, ran, status, broken, out),
            UpstreamEvent::OrderAnswered { order, answer } => {
                self.on_order_answer(now, order, answer, out);
            }
        }
    }

    fn on_started(&mut self, now: Instant, id: AttemptId, out: &mut Vec<AgentAction>) {
        let Some(attempt) = self.attempts.get_mut(id) else {
            self.counters.upstream_events_dropped += 1;
            return;
        };
        attempt.phase = Phase::Running;
        let entry = attempt.entry.clone();
        timeline::attempt_event(EventKind::RequestStarted, id, 0, out);
        let body = frame::Body::Started(Started {
            attempt: encode_attempt_id(id),
            load: Some(self.load_report(now)),
        });
        self.send(entry.as_ref(), body, out);
    }

    fn on_answer_part(
        &mut self,
        id: AttemptId,
        units: u32,
        payload: Option<&[u8]>,
        out: &mut Vec<AgentAction>,
    ) {
        let max_bytes = self.claims.response_max_bytes();
        let Some(attempt) = self.attempts.get_mut(id) else {
            self.counters.upstream_events_dropped += 1;
            return;
        };
        let offset = attempt.offset;
        attempt.offset += u64::from(units);
        attempt.phase = Phase::Running;
        match payload {
            Some(payload) => attempt.store_part(payload, max_bytes),
            None => attempt.stored_answer = None,
        }
        let entry = attempt.entry.clone();
        if let Some(entry) =
            entry.filter(|entry| self.connected_entries.contains(entry))
        {
            out.push(AgentAction::ForwardPart {
                entry,
                attempt: id,
                offset,
                units,
            });
        }
    }

    fn on_done(
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
        self.upstream
            .record_service_time(now.ms_since(attempt.began_at));
        self.record_ended(now, id, RunStatus::Ran);
        timeline::attempt_event(EventKind::RequestFinished, id, 0, out);
        let answer = attempt.stored_answer.take().map(|body| StoredResponse {
            status,
            content_type: content_type.clone(),
            body,
        });
        let end = End {
            status: u32::from(status),
            content_type,
            total_units: attempt.offset,
            upstream_incarnation: attempt.upstream_incarnation,
            ..self.end_frame(now, id, 0, RunStatus::Ran)
        };
        if attempt.needs_claim {
            self.end_once_stored(now, id, attempt, answer, end, out);
        } else {
            self.send(attempt.entry.as_ref(), frame::Body::End(end), out);
        }
    }

    /// Stores the outcome of a request that ran, and sends its end once that is
    /// written. If the end were sent before, a caller that sends its request again at
    /// once would get the error that its key is in progress.
    fn end_once_stored(
        &mut self,
        now: Instant,
        id: AttemptId,
        attempt: Attempt,
        answer: Option<StoredResponse>,
        end: End,
        out: &mut Vec<AgentAction>,
    ) {
        if let Some(entry) = attempt.entry {
            self.delayed_ends.insert(id, (entry, end));
        }
        // The end must still reach the caller before its deadline.
        let wait_ms = attempt.deadline.ms_since(now) / 2;
        let wait_until = now.plus_ms(wait_ms.min(END_WAIT_MAX_MS));
        self.finish_claim(now, id, answer, wait_until, out);
    }

    /// Sends the end of a response that waited for the write that stores it.
    pub(super) fn send_delayed_end(
        &mut self,
        id: AttemptId,
        out: &mut Vec<AgentAction>,
    ) {
        if let Some((entry, end)) = self.delayed_ends.remove(&id) {
            self.send(Some(&entry), frame::Body::End(end), out);
        }
    }

    fn on_failed(
        &mut self,
        now: Instant,
        id: AttemptId,
        ran: RunStatus,
        status: u16,
        broken: bool,
        out: &mut Vec<AgentAction>,
    ) {
        let until = now.plus_ms(self.heartbeat_ms());
        let Some(attempt) = self.attempts.get_mut(id) else {
            self.counters.upstream_events_dropped += 1;
            return;
        };
        let handed_over = attempt.is_handed_over();
        if ran == RunStatus::NotRun {
            let error = RequestError::not_run(ErrorCode::UpstreamFault)
                .retry_after_ms(UPSTREAM_REFUSAL_RETRY_MS);
            self.withdraw_attempt(now, id, error, handed_over, out);
            return;
        }
        // If the upstream has died, its next report will say so, and this
        // attempt then counts among those in flight at the crash.
        if broken && self.upstream.is_up() {
            attempt.phase = Phase::Broken { until };
            return;
        }
        let code = if broken {
            ErrorCode::UpstreamLost
        } else {
            ErrorCode::UpstreamFault
        };
        let end = End {
            status: u32::from(status),
            ..self.end_frame(now, id, code.number(), ran)
        };
        self.end_attempt(now, id, end, out);
    }

    /// Ends an attempt that turned out not to have been run. Its claim, if any,
    /// is released first, so that the key is free when the entry receives the
    /// refusal.
    pub(super) fn withdraw_attempt(
        &mut self,
        now: Instant,
        id: AttemptId,
        error: RequestError,
        handed_over: bool,
        out: &mut Vec<AgentAction>,
    ) {
        let Some(attempt) = self.attempts.get_mut(id) else {
            return;
        };
        attempt.phase = Phase::Releasing { error, handed_over };
        if attempt.needs_claim {
            self.release_claim(now, id, out);
        } else {
            self.finish_withdrawal(now, id, out);
        }
    }

    /// Tells the entry about a withdrawn attempt, once its claim is released.
    pub(super) fn finish_withdrawal(
        &mut self,
        now: Instant,
        id: AttemptId,
        out: &mut Vec<AgentAction>,
    ) {
        let phase = self.attempts.get(id).map(|attempt| attempt.phase);
        let Some(Phase::Releasing { error, handed_over }) = phase else {
            return;
        };
        let Some(attempt) = self.attempts.remove(id) else {
            return;
        };
        self.record_ended(now, id, RunStatus::NotRun);
        if !handed_over {
            self.send_refusal(now, attempt.entry.as_ref(), id, error, out);
            return;
        }
        self.counters.failed += 1;
        let end = End {
            retry_after_ms: encode_retry_after_ms(&error),
            total_units: attempt.offset,
            upstream_incarnation: attempt.upstream_incarnation,
            ..self.end_frame(now, id, error.code.number(), RunStatus::NotRun)
        };
        self.send(attempt.entry.as_ref(), frame::Body::End(end), out);
    }

    /// Builds an `End` frame with the fields that every one carries.
    pub(super) fn end_frame(
        &self,
        now: Instant,
        id: AttemptId,
        code: u32,
        ran: RunStatus,
    ) -> End {
        End {
            attempt: encode_attempt_id(id),
            code,
            ran: ran.number(),
            load: Some(self.load_report(now)),
            ..End::default()
        }
    }

    /// Ends an attempt without a complete answer.
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
        let ran = RunStatus::from_number(end.ran);
        self.counters.failed += 1;
        self.record_ended(now, id, ran);
        timeline::attempt_event(EventKind::RequestFailed, id, end.code, out);
        let end = End {
            total_units: attempt.offset,
            upstream_incarnation: attempt.upstream_incarnation,
            ..end
        };
        // For an attempt that ran, the claim records that its outcome is unknown, so
        // that a later request with the same key is answered at once. If it is not
        // even known whether the attempt ran, the claim stays open.
        if attempt.needs_claim {
            match ran {
                RunStatus::Ran => {
                    self.end_once_stored(now, id, attempt, None, end, out);
                    return;
                }
                RunStatus::Unknown => self.claims.abandon(id),
                RunStatus::NotRun => self.release_claim(now, id, out),
            }
        }
        self.send(attempt.entry.as_ref(), frame::Body::End(end), out);
    }

    /// Ends attempts that are past their deadline, and attempts whose
    /// connection broke without a crash being reported.
    pub(super) fn end_overdue_attempts(
        &mut self,
        now: Instant,
        out: &mut Vec<AgentAction>,
    ) {
        if self.attempts.due().is_none_or(|due| due > now) {
            return;
        }
        let is_broken = |attempt: &Attempt| matches!(attempt.phase, Phase::Broken { until } if until <= now);
        for id in self.attempts.ids_matching(is_broken) {
            let end = self.end_frame(
                now,
                id,
                ErrorCode::UpstreamLost.number(),
                RunStatus::Ran,
            );
            self.end_attempt(now, id, end, out);
        }
        let is_overdue = |attempt: &Attempt| {
            let in_progress = matches!(attempt.phase, Phase::Starting | Phase::Running);
            in_progress && attempt.deadline <= now
        };
        for id in self.attempts.ids_matching(is_overdue) {
            self.on_deadline(now, id, out);
        }
    }

    fn on_deadline(&mut self, now: Instant, id: AttemptId, out: &mut Vec<AgentAction>) {
        let end = self.end_frame(
            now,
            id,
            ErrorCode::DeadlineWhileRunning.number(),
            RunStatus::Ran,
        );
        let Some(attempt) = self.attempts.get_mut(id) else {
            return;
        };
        self.counters.deadlines += 1;
        if attempt.idempotent || attempt.deadline_reported {
            out.push(AgentAction::StopAttempt { attempt: id });
            self.end_attempt(now, id, end, out);
            return;
        }
        attempt.deadline_reported = true;
        attempt.deadline = now.plus_ms(NON_IDEMPOTENT_GRACE_MS);
        let entry = attempt.entry.take();
        self.send(entry.as_ref(), frame::Body::End(end), out);
    }
}
