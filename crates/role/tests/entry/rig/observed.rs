//! Queries on the entry's actions.

use super::Rig;
use base::prelude::*;
use role::Peer;
use role::entry::EntryAction;
use schema::link::{Run, frame};
use schema::timeline::EventKind;

impl Rig {
    /// `Run` frames sent for a request.
    pub fn runs(&self, request: RequestId) -> Vec<SentRun> {
        let sent = self.actions.iter().filter_map(|action| match action {
            EntryAction::SendRun {
                request: of,
                agent,
                run,
            } if *of == request => Some(SentRun {
                agent: agent.to_string(),
                run: (**run).clone(),
            }),
            _ => None,
        });
        sent.collect()
    }

    /// The latest `Run` sent for a request.
    pub fn run(&self, request: RequestId) -> SentRun {
        self.runs(request).pop().expect("the request was sent")
    }

    /// Errors with which a request ended; a correct state machine gives at most
    /// one.
    pub fn errors(&self, request: RequestId) -> Vec<RequestError> {
        let errors = self.actions.iter().filter_map(|action| match action {
            EntryAction::Fail { request: of, error } if *of == request => Some(*error),
            _ => None,
        });
        errors.collect()
    }

    /// The error with which a request ended.
    pub fn error(&self, request: RequestId) -> RequestError {
        let errors = self.errors(request);
        assert_eq!(errors.len(), 1, "one error of {request}: {errors:?}");
        errors[0]
    }

    /// Total units of a request's complete answer, if it has ended with one.
    pub fn finished(&self, request: RequestId) -> Option<u64> {
        self.actions.iter().find_map(|action| match action {
            EntryAction::Finish {
                request: of,
                total_units,
                ..
            } if *of == request => Some(*total_units),
            _ => None,
        })
    }

    pub fn skipped_units(&self, request: RequestId) -> Vec<u32> {
        let delivered = self.actions.iter().filter_map(|action| match action {
            EntryAction::DeliverPart {
                request: of,
                skip_units,
            } if *of == request => Some(*skip_units),
            _ => None,
        });
        delivered.collect()
    }

    /// Results of `pick` for the frames sent.
    pub fn sent_frames<T>(
        &self,
        pick: impl Fn(&Peer, &frame::Body) -> Option<T>,
    ) -> Vec<T> {
        let sent = self.actions.iter().filter_map(|action| match action {
            EntryAction::SendFrame { peer, body } => pick(peer, body),
            _ => None,
        });
        sent.collect()
    }

    pub fn cancels(&self, run: &SentRun) -> usize {
        self.sent_frames(|_, body| match body {
            frame::Body::Cancel(cancel) if cancel.attempt == run.run.attempt => {
                Some(())
            }
            _ => None,
        })
        .len()
    }

    pub fn revokes(&self, run: &SentRun) -> usize {
        self.sent_frames(|_, body| match body {
            frame::Body::Revoke(revoke) if revoke.attempt == run.run.attempt => {
                Some(())
            }
            _ => None,
        })
        .len()
    }

    pub fn events_recorded(&self, kind: EventKind) -> usize {
        let recorded = self.actions.iter().filter(|action| {
            matches!(action, EntryAction::RecordEvent(event) if event.kind == kind as i32)
        });
        recorded.count()
    }

    pub fn exits(&self) -> usize {
        let exits = self.actions.iter();
        exits
            .filter(|action| matches!(action, EntryAction::Exit))
            .count()
    }
}

/// A `Run` frame and the agent it was sent to.
#[derive(Debug, Clone)]
pub struct SentRun {
    pub agent: String,
    pub run: Run,
}

impl SentRun {
    pub fn id(&self) -> AttemptId {
        let attempt = self.run.attempt.expect("each run names its attempt");
        AttemptId {
            origin: attempt.origin,
            sequence: attempt.sequence,
        }
    }
}
