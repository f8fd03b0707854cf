//! Timeline events for requests that become suspect or convicted.
//!
//! A request that was in flight when an upstream crashed is a suspect; one that
//! crashed two upstreams is convicted, which means that it is refused.

use base::prelude::*;
use route::{CrashVerdict, SuspectRequests};
use schema::timeline::EventKind;
use std::mem::discriminant;

use super::EntryAction;
use super::timeline::TimelineEvent;

/// A request, named by its fingerprint, whose verdict became worse.
#[derive(Debug)]
pub(crate) struct VerdictChange {
    pub(crate) fingerprint: u64,
    /// The request is convicted, and not only a suspect.
    convicted: bool,
    /// Agents whose upstreams crashed with the request in flight.
    agents: Vec<AgentId>,
    /// The request was the only one in flight at one of the crashes.
    sole_request: bool,
    /// Time until the verdict expires.
    remaining_ms: u64,
}

/// Applies `work` to the suspects and returns the verdicts that it made worse.
pub(crate) fn apply_and_diff(
    suspects: &mut SuspectRequests,
    now: Instant,
    fingerprints: &[u64],
    work: impl FnOnce(&mut SuspectRequests),
) -> Vec<VerdictChange> {
    let affected = fingerprints.iter();
    let before: Vec<CrashVerdict> = affected
        .map(|fingerprint| suspects.verdict(now, *fingerprint))
        .collect();
    work(suspects);
    let mut worsened = Vec::new();
    for (fingerprint, before) in fingerprints.iter().zip(before) {
        let after = suspects.verdict(now, *fingerprint);
        if after == CrashVerdict::Clear || discriminant(&after) == discriminant(&before)
        {
            continue;
        }
        worsened.push(VerdictChange {
            fingerprint: *fingerprint,
            convicted: after != CrashVerdict::Suspect,
            agents: suspects.crashed_agents(*fingerprint).collect(),
            sole_request: suspects.crashed_as_sole_request(*fingerprint),
            remaining_ms: suspects.remaining_ms(now, *fingerprint),
        });
    }
    worsened
}

impl VerdictChange {
    /// Records the change in the timeline. The request's id is known only to the entry
    /// that sent it.
    pub(crate) fn record(
        &self,
        request: Option<RequestId>,
        out: &mut Vec<EntryAction>,
    ) {
        let (kind, code) = match self.convicted {
            true => (
                EventKind::RequestConvicted,
                Some(ErrorCode::RequestCrashedUpstreams),
            ),
            false => (EventKind::RequestSuspected, None),
        };
        let mut event = TimelineEvent::new(kind, self.description());
        if let Some(request) = request {
            event = event.request(request);
        }
        if let Some(agent) = self.agents.last() {
            event = event.peer(agent);
        }
        if let Some(code) = code {
            event = event.code(code);
        }
        event.record(out);
    }

    fn description(&self) -> String {
        let names = self.agents.iter().map(AgentId::as_str);
        let names = names.collect::<Vec<_>>().join(" and ");
        let what = match (self.convicted, self.sole_request) {
            (false, _) => "gets only exclusive runs from now on",
            (true, true) => "is refused",
            (true, false) => {
                "is refused, though other requests were in flight at each crash"
            }
        };
        format!(
            "fingerprint {:x} was in flight when {names} crashed: it {what}, for {} s",
            self.fingerprint,
            self.remaining_ms / 1_000
        )
    }
}
