//! Attempts from the `Run` frame to the hand-over, and their cancellation and
//! revocation.

use super::attempts::{Attempt, Phase};
use super::{AgentAction, AgentRole, timeline};
use base::prelude::*;
use once::ClaimRequest;
use schema::link::{self, Refused, Revoke, Revoked, Run, frame};
use schema::timeline::EventKind;

/// Decodes the attempt id of a frame.
pub(super) fn decode_attempt_id(attempt: Option<link::Attempt>) -> Option<AttemptId> {
    attempt.map(|attempt| AttemptId {
        origin: attempt.origin,
        sequence: attempt.sequence,
    })
}

/// Encodes an attempt id for a frame.
pub(super) fn encode_attempt_id(id: AttemptId) -> Option<link::Attempt> {
    Some(link::Attempt {
        origin: id.origin,
        sequence: id.sequence,
    })
}

impl AgentRole {
    /// Admits or refuses an attempt that an entry asks to run.
    pub(super) fn on_run(
        &mut self,
        now: Instant,
        entry: &EntryId,
        run: Run,
        out: &mut Vec<AgentAction>,
    ) {
        let Some(id) = decode_attempt_id(run.attempt) else {
            self.counters.frames_dropped += 1;
            return;
        };
        // An attempt runs at most once: a second frame for it is dropped.
        if self.attempts.get(id).is_some() || self.ended.get(id).is_some() {
            self.counters.frames_dropped += 1;
            return;
        }
        let checked = if self.revoked.get(id).is_some() {
            Err(RequestError::not_run(ErrorCode::Revoked))
        } else {
            self.check_admission(now, &run)
        };
        if let Err(error) = checked {
            self.send_refusal(now, Some(entry), id, error, out);
            return;
        }
        let must_wait = run.alone && self.attempts.in_flight() > 0;
        self.attempts.insert(id, new_attempt(now, entry, run));
        if must_wait {
            self.wait_for_idle(now, id, out);
        } else {
            self.claim_and_start(now, id, out);
        }
    }

    /// Starts an attempt, after claiming its idempotency key if it has one.
    pub(super) fn claim_and_start(
        &mut self,
        now: Instant,
        id: AttemptId,
        out: &mut Vec<AgentAction>,
    ) {
        let Some(attempt) = self.attempts.get_mut(id) else {
            return;
        };
        if !attempt.needs_claim {
            self.hand_over(now, id, out);
            return;
        }
        attempt.phase = Phase::Claiming;
        let run = self
            .attempts
            .get(id)
            .and_then(|attempt| attempt.run.as_ref());
        if let Some(request) = run.map(|run| self.claim_request(id, run)) {
            self.begin_claim(now, request, out);
        }
    }

    fn claim_request(&self, attempt: AttemptId, run: &Run) -> ClaimRequest {
        let service = self.config().and_then(|c| c.service(&run.service));
        let remaining_ms = u32::try_from(run.remaining_ms).unwrap_or(u32::MAX);
        ClaimRequest {
            attempt,
            caller: CallerId::new(&run.caller),
            key: run.idempotency_key.clone(),
            body_hash: run.body_hash,
            timeout_ms: service.map_or(remaining_ms, |service| service.timeout_ms),
        }
    }

    /// Gives an attempt to the driver, which hands it to the upstream.
    pub(super) fn hand_over(
        &mut self,
        now: Instant,
        id: AttemptId,
        out: &mut Vec<AgentAction>,
    ) {
        let upstream_incarnation = self.upstream.incarnation();
        let Some(attempt) = self.attempts.get_mut(id) else {
            return;
        };
        let Some(run) = attempt.run.take() else {
            return;
        };
        attempt.phase = Phase::Starting;
        attempt.upstream_incarnation = upstream_incarnation;
        attempt.began_at = now;
        self.counters.started += 1;
        out.push(AgentAction::StartAttempt { attempt: id, run });
    }

    /// Tells an entry that its attempt was not run and never will be.
    pub(super) fn send_refusal(
        &mut self,
        now: Instant,
        entry: Option<&EntryId>,
        id: AttemptId,
        error: RequestError,
        out: &mut Vec<AgentAction>,
    ) {
        self.counters.refused += 1;
        let code = error.code.number();
        timeline::attempt_event(EventKind::RequestRefusedByGate, id, code, out);
        let body = frame::Body::Refused(Refused {
            attempt: encode_attempt_id(id),
            code,
            retry_after_ms: encode_retry_after_ms(&error),
            load: Some(self.load_report(now)),
        });
        self.send(entry, body, out);
    }

    /// Cancels an attempt whose caller disconnected.
    pub(super) fn on_cancel(
        &mut self,
        now: Instant,
        attempt: Option<link::Attempt>,
        out: &mut Vec<AgentAction>,
    ) {
        let Some(id) = decode_attempt_id(attempt) else {
            self.counters.frames_dropped += 1;
            return;
        };
        if self.attempts.get(id).is_some() {
            timeline::attempt_event(EventKind::RequestCancelled, id, 0, out);
            self.detach(now, id, out);
        }
    }

    /// Handles an attempt whose answer nobody waits for any more.
    ///
    /// An idempotent attempt is stopped, which frees its slot at once. A
    /// non-idempotent one continues, so that a later request with the same key
    /// gets the answer. One that waits for its claim or for an idle upstream is
    /// dropped; its claim is released if it is granted later.
    fn detach(&mut self, now: Instant, id: AttemptId, out: &mut Vec<AgentAction>) {
        let Some(attempt) = self.attempts.get_mut(id) else {
            return;
        };
        attempt.entry = None;
        match attempt.phase {
            Phase::WaitingForIdle { .. } | Phase::Claiming => {
                self.attempts.remove(id);
                self.counters.cancelled += 1;
                self.record_ended(now, id, RunStatus::NotRun);
            }
            Phase::Starting | Phase::Running if attempt.idempotent => {
                self.counters.cancelled += 1;
                self.stop_attempt(now, id, out);
            }
            _ => {}
        }
    }

    /// Stops an attempt at the upstream and removes it.
    pub(super) fn stop_attempt(
        &mut self,
        now: Instant,
        id: AttemptId,
        out: &mut Vec<AgentAction>,
    ) -> Option<Attempt> {
        let attempt = self.attempts.remove(id)?;
        let ran = ran_so_far(&attempt);
        out.push(AgentAction::StopAttempt { attempt: id });
        self.record_ended(now, id, ran);
        Some(attempt)
    }

    pub(super) fn record_ended(&mut self, now: Instant, id: AttemptId, ran: RunStatus) {
        let retention_ms = self.history_retention_ms();
        self.ended.insert(now, retention_ms, id, ran);
    }

    /// Detaches the attempts of an entry whose connection ended.
    pub(super) fn on_link_down(
        &mut self,
        now: Instant,
        entry: &EntryId,
        out: &mut Vec<AgentAction>,
    ) {
        self.connected_entries.remove(entry);
        self.update_awaited_entries();
        let is_from_entry = |attempt: &Attempt| attempt.entry.as_ref() == Some(entry);
        for id in self.attempts.ids_matching(is_from_entry) {
            self.detach(now, id, out);
        }
    }

    /// Answers an entry that received no answer and asks whether the attempt
    /// ran.
    pub(super) fn on_revoke(
        &mut self,
        now: Instant,
        entry: &EntryId,
        revoke: &Revoke,
        out: &mut Vec<AgentAction>,
    ) {
        let Some(id) = decode_attempt_id(revoke.attempt) else {
            self.counters.frames_dropped += 1;
            return;
        };
        let ran = self.revoke_attempt(now, id, revoke.agent_incarnation);
        if ran == RunStatus::NotRun {
            self.counters.revoked += 1;
            timeline::attempt_event(EventKind::RequestRevoked, id, 0, out);
        }
        let body = frame::Body::Revoked(Revoked {
            attempt: encode_attempt_id(id),
            ran: ran.number(),
        });
        self.send(Some(entry), body, out);
    }

    /// Returns whether the attempt ran. `NotRun` also means that it never will:
    /// an attempt that has not started is removed, and a tombstone is stored.
    fn revoke_attempt(
        &mut self,
        now: Instant,
        id: AttemptId,
        incarnation: u64,
    ) -> RunStatus {
        // What an earlier incarnation of this process did is unknown.
        if incarnation != self.options.incarnation.0 {
            return RunStatus::Unknown;
        }
        if let Some(attempt) = self.attempts.get(id) {
            match attempt.phase {
                Phase::WaitingForIdle { .. } | Phase::Claiming => {
                    self.attempts.remove(id)
                }
                Phase::Releasing { .. } => None,
                Phase::Starting => return RunStatus::Unknown,
                Phase::Running | Phase::Broken { .. } => return RunStatus::Ran,
            };
        } else if let Some(ran) = self.ended.get(id) {
            return ran;
        } else if !self.ended.is_complete(now) {
            return RunStatus::Unknown;
        }
        // Without room for the tombstone a late `Run` could not be refused.
        if self.revoked.get(id).is_none() && !self.revoked.has_room(now) {
            return RunStatus::Unknown;
        }
        let retention_ms = self.history_retention_ms();
        self.revoked
            .insert(now, retention_ms, id, RunStatus::NotRun);
        RunStatus::NotRun
    }
}

/// Encodes an error's retry delay for a frame: 0 for none.
pub(super) fn encode_retry_after_ms(error: &RequestError) -> u32 {
    let retry_ms = error.retry_after_ms.unwrap_or(0);
    u32::try_from(retry_ms).unwrap_or(u32::MAX)
}

/// What is known about whether an attempt in progress ran.
fn ran_so_far(attempt: &Attempt) -> RunStatus {
    match attempt.phase {
        Phase::Running | Phase::Broken { .. } => RunStatus::Ran,
        Phase::Starting => RunStatus::Unknown,
        Phase::WaitingForIdle { .. } | Phase::Claiming | Phase::Releasing { .. } => {
            RunStatus::NotRun
        }
    }
}

fn new_attempt(now: Instant, entry: &EntryId, run: Run) -> Attempt {
    let needs_claim = !run.idempotent && !run.idempotency_key.is_empty();
    Attempt {
        entry: Some(entry.clone()),
        phase: Phase::Claiming,
        model: ModelId::new(&run.model),
        version: run.version,
        idempotent: run.idempotent,
        needs_claim,
        exclusive: run.alone,
        fingerprint: run.fingerprint,
        upstream_incarnation: 0,
        offset: run.resume_offset,
        began_at: now,
        deadline: now.plus_ms(run.remaining_ms),
        deadline_reported: false,
        stored_answer: (needs_claim && run.resume_offset == 0).then(Vec::new),
        run: Some(Box::new(run)),
    }
}
