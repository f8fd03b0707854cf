//! What the entry was seen to do.

use super::Rig;
use base::prelude::*;
use role::Peer;
use role::entry::EntryAction;
use schema::link::{Run, frame};
use schema::timeline::EventKind;

impl Rig {
    /// Runs sent for a request.
    pub fn runs(&self, request: RequestId) -> Vec<Sent> {
        let sent = self.log.iter().filter_map(|action| match action {
            EntryAction::SendRun {
                request: of,
                agent,
                run,
            } if *of == request => Some(Sent {
                agent: agent.to_string(),
                run: (**run).clone(),
            }),
            _ => None,
        });
        sent.collect()
    }

    /// The newest run of a request.
    pub fn run(&self, request: RequestId) -> Sent {
        self.runs(request).pop().expect("the request was sent")
    }

    pub fn refusals(&self, request: RequestId) -> Vec<Refusal> {
        let refused = self.log.iter().filter_map(|action| match action {
            EntryAction::Refuse {
                request: of,
                refusal,
            } if *of == request => Some(*refusal),
            _ => None,
        });
        refused.collect()
    }

    pub fn refusal(&self, request: RequestId) -> Refusal {
        let refusals = self.refusals(request);
        assert_eq!(refusals.len(), 1, "one refusal of {request}: {refusals:?}");
        refusals[0]
    }

    pub fn finished(&self, request: RequestId) -> Option<u64> {
        self.log.iter().find_map(|action| match action {
            EntryAction::Finish {
                request: of,
                total_units,
                ..
            } if *of == request => Some(*total_units),
            _ => None,
        })
    }

    pub fn skips(&self, request: RequestId) -> Vec<u32> {
        let delivered = self.log.iter().filter_map(|action| match action {
            EntryAction::DeliverPart {
                request: of,
                skip_units,
            } if *of == request => Some(*skip_units),
            _ => None,
        });
        delivered.collect()
    }

    /// Frames sent to a process that `pick` wants.
    pub fn sent<T>(&self, pick: impl Fn(&Peer, &frame::Body) -> Option<T>) -> Vec<T> {
        let sent = self.log.iter().filter_map(|action| match action {
            EntryAction::SendFrame { peer, body } => pick(peer, body),
            _ => None,
        });
        sent.collect()
    }

    pub fn cancels(&self, run: &Sent) -> usize {
        self.sent(|_, body| match body {
            frame::Body::Cancel(cancel) if cancel.attempt == run.run.attempt => {
                Some(())
            }
            _ => None,
        })
        .len()
    }

    pub fn revokes(&self, run: &Sent) -> usize {
        self.sent(|_, body| match body {
            frame::Body::Revoke(revoke) if revoke.attempt == run.run.attempt => {
                Some(())
            }
            _ => None,
        })
        .len()
    }

    pub fn traced(&self, kind: EventKind) -> usize {
        let traced = self.log.iter().filter(|action| {
            matches!(action, EntryAction::RecordEvent(event) if event.kind == kind as i32)
        });
        traced.count()
    }

    pub fn exits(&self) -> usize {
        let exits = self.log.iter();
        exits
            .filter(|action| matches!(action, EntryAction::Exit))
            .count()
    }
}

/// A run as the rig's agents get it.
#[derive(Debug, Clone)]
pub struct Sent {
    pub agent: String,
    pub run: Run,
}

impl Sent {
    pub fn id(&self) -> AttemptId {
        let attempt = self.run.attempt.expect("each run names its attempt");
        AttemptId {
            origin: attempt.origin,
            sequence: attempt.sequence,
        }
    }
}
