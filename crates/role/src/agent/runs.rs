//! Attempts from an entry's word to the upstream, and their recall.

use super::attempts::{Attempt, Phase};
use super::{AgentAction, AgentRole, trace};
use base::prelude::*;
use once::ClaimRequest;
use schema::link::{self, Refused, Revoke, Revoked, Run, frame};
use schema::timeline::EventKind;

/// The number of an attempt as a frame carries it.
pub(super) fn attempt_id(attempt: Option<link::Attempt>) -> Option<AttemptId> {
    attempt.map(|attempt| AttemptId {
        origin: attempt.origin,
        sequence: attempt.sequence,
    })
}

/// The number of an attempt for a frame.
pub(super) fn attempt_frame(id: AttemptId) -> Option<link::Attempt> {
    Some(link::Attempt {
        origin: id.origin,
        sequence: id.sequence,
    })
}

impl AgentRole {
    /// An entry asks to run a request.
    pub(super) fn run(
        &mut self,
        now: Instant,
        entry: &EntryId,
        run: Run,
        out: &mut Vec<AgentAction>,
    ) {
        let Some(id) = attempt_id(run.attempt) else {
            self.counters.frames_dropped += 1;
            return;
        };
        // An attempt is run once: a second frame of it is dropped.
        if self.attempts.get(id).is_some() || self.ended.get(id).is_some() {
            self.counters.frames_dropped += 1;
            return;
        }
        let checked = if self.revoked.get(id).is_some() {
            Err(Refusal::not_run(Code::Revoked))
        } else {
            self.check(now, &run)
        };
        if let Err(refusal) = checked {
            self.refuse(now, Some(entry), id, refusal, out);
            return;
        }
        let waits = run.alone && self.attempts.in_flight() > 0;
        self.attempts.insert(id, new_attempt(now, entry, run));
        if waits {
            self.hold(now, id, out);
        } else {
            self.begin(now, id, out);
        }
    }

    /// Hands an attempt to the driver, once its key is claimed if it has one.
    pub(super) fn begin(
        &mut self,
        now: Instant,
        id: AttemptId,
        out: &mut Vec<AgentAction>,
    ) {
        let Some(attempt) = self.attempts.get_mut(id) else {
            return;
        };
        if !attempt.keyed {
            self.start(now, id, out);
            return;
        }
        attempt.phase = Phase::Claiming;
        let run = self.attempts.get(id).and_then(|held| held.run.as_ref());
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

    /// Hands an attempt to the driver.
    pub(super) fn start(
        &mut self,
        now: Instant,
        id: AttemptId,
        out: &mut Vec<AgentAction>,
    ) {
        let upstream = self.upstream.incarnation();
        let Some(attempt) = self.attempts.get_mut(id) else {
            return;
        };
        let Some(run) = attempt.run.take() else {
            return;
        };
        attempt.phase = Phase::Starting;
        attempt.upstream = upstream;
        attempt.began = now;
        self.counters.started += 1;
        out.push(AgentAction::StartAttempt { attempt: id, run });
    }

    /// Tells an entry that its attempt was not run and never will be.
    pub(super) fn refuse(
        &mut self,
        now: Instant,
        entry: Option<&EntryId>,
        id: AttemptId,
        refusal: Refusal,
        out: &mut Vec<AgentAction>,
    ) {
        self.counters.refused += 1;
        let code = refusal.code.number();
        trace::attempt(EventKind::RequestRefusedByGate, id, code, out);
        let body = frame::Body::Refused(Refused {
            attempt: attempt_frame(id),
            code,
            retry_after_ms: retry_after(&refusal),
            load: Some(self.load(now)),
        });
        self.send(entry, body, out);
    }

    /// The caller is gone.
    pub(super) fn cancel(
        &mut self,
        now: Instant,
        attempt: Option<link::Attempt>,
        out: &mut Vec<AgentAction>,
    ) {
        let Some(id) = attempt_id(attempt) else {
            self.counters.frames_dropped += 1;
            return;
        };
        if self.attempts.get(id).is_some() {
            trace::attempt(EventKind::RequestCancelled, id, 0, out);
            self.detach(now, id, out);
        }
    }

    /// Nobody waits for an attempt any more.
    ///
    /// What may be repeated is stopped and its place is free at once. A call
    /// that may not be repeated is left to finish, so that a resend of its key
    /// finds the answer. One that waits for its claim, or to run alone, is
    /// forgotten; the claim, should it be granted, is released.
    fn detach(&mut self, now: Instant, id: AttemptId, out: &mut Vec<AgentAction>) {
        let Some(attempt) = self.attempts.get_mut(id) else {
            return;
        };
        attempt.entry = None;
        match attempt.phase {
            Phase::Held { .. } | Phase::Claiming => {
                self.attempts.remove(id);
                self.counters.cancelled += 1;
                self.remember(now, id, Ran::NotRun);
            }
            Phase::Starting | Phase::Running if attempt.idempotent => {
                self.counters.cancelled += 1;
                self.stop(now, id, out);
            }
            _ => {}
        }
    }

    /// Stops an attempt at the upstream and forgets it.
    pub(super) fn stop(
        &mut self,
        now: Instant,
        id: AttemptId,
        out: &mut Vec<AgentAction>,
    ) -> Option<Attempt> {
        let attempt = self.attempts.remove(id)?;
        let ran = ran_so_far(&attempt);
        out.push(AgentAction::StopAttempt { attempt: id });
        self.remember(now, id, ran);
        Some(attempt)
    }

    pub(super) fn remember(&mut self, now: Instant, id: AttemptId, ran: Ran) {
        let life_ms = self.past_life_ms();
        self.ended.remember(now, life_ms, id, ran);
    }

    /// The connection to an entry ended: none of its attempts has a reader.
    pub(super) fn link_down(
        &mut self,
        now: Instant,
        entry: &EntryId,
        out: &mut Vec<AgentAction>,
    ) {
        self.links.remove(entry);
        let theirs = |attempt: &Attempt| attempt.entry.as_ref() == Some(entry);
        for id in self.attempts.ids_where(theirs) {
            self.detach(now, id, out);
        }
    }

    /// An entry misses an answer and asks whether the attempt ran.
    pub(super) fn revoke(
        &mut self,
        now: Instant,
        entry: &EntryId,
        revoke: &Revoke,
        out: &mut Vec<AgentAction>,
    ) {
        let Some(id) = attempt_id(revoke.attempt) else {
            self.counters.frames_dropped += 1;
            return;
        };
        let ran = self.revoked_ran(now, id, revoke.agent_incarnation);
        if ran == Ran::NotRun {
            self.counters.revoked += 1;
            trace::attempt(EventKind::RequestRevoked, id, 0, out);
        }
        let body = frame::Body::Revoked(Revoked {
            attempt: attempt_frame(id),
            ran: ran.number(),
        });
        self.send(Some(entry), body, out);
    }

    fn revoked_ran(&mut self, now: Instant, id: AttemptId, incarnation: u64) -> Ran {
        // What an earlier run of this process did is not known here.
        if incarnation != self.options.incarnation.0 {
            return Ran::Unknown;
        }
        if let Some(attempt) = self.attempts.get(id) {
            match attempt.phase {
                Phase::Held { .. } | Phase::Claiming => self.attempts.remove(id),
                Phase::Releasing { .. } => None,
                Phase::Starting => return Ran::Unknown,
                Phase::Running | Phase::Broken { .. } => return Ran::Ran,
            };
        } else if let Some(ran) = self.ended.get(id) {
            return ran;
        } else if !self.ended.is_complete(now) {
            return Ran::Unknown;
        }
        // Without room for the tombstone a late `Run` could not be refused.
        if self.revoked.get(id).is_none() && !self.revoked.has_room(now) {
            return Ran::Unknown;
        }
        let life_ms = self.past_life_ms();
        self.revoked.remember(now, life_ms, id, Ran::NotRun);
        Ran::NotRun
    }
}

pub(super) fn retry_after(refusal: &Refusal) -> u32 {
    let retry_ms = refusal.retry_after_ms.unwrap_or(0);
    u32::try_from(retry_ms).unwrap_or(u32::MAX)
}

/// What can be said of an attempt that is in the table.
fn ran_so_far(attempt: &Attempt) -> Ran {
    match attempt.phase {
        Phase::Running | Phase::Broken { .. } => Ran::Ran,
        Phase::Starting => Ran::Unknown,
        Phase::Held { .. } | Phase::Claiming | Phase::Releasing { .. } => Ran::NotRun,
    }
}

fn new_attempt(now: Instant, entry: &EntryId, run: Run) -> Attempt {
    let keyed = !run.idempotent && !run.idempotency_key.is_empty();
    Attempt {
        entry: Some(entry.clone()),
        phase: Phase::Claiming,
        model: ModelId::new(&run.model),
        version: run.version,
        idempotent: run.idempotent,
        keyed,
        alone: run.alone,
        fingerprint: run.fingerprint,
        upstream: 0,
        offset: run.resume_offset,
        began: now,
        deadline: now.plus_ms(run.remaining_ms),
        overdue: false,
        kept: (keyed && run.resume_offset == 0).then(Vec::new),
        run: Some(Box::new(run)),
    }
}
