//! What changes in what is held against requests, and its events.

use base::prelude::*;
use route::{CrashVerdict, SuspectRequests};
use schema::timeline::EventKind;
use std::mem::discriminant;

use super::EntryAction;
use super::trace::Note;

/// A fingerprint against which something is held that was not before.
#[derive(Debug)]
pub(crate) struct Charged {
    pub(crate) fingerprint: u64,
    /// It is not run again, and not only suspected.
    convicted: bool,
    /// Upstreams that crashed with it in flight.
    agents: Vec<AgentId>,
    /// At one of the crashes it was the only one in flight.
    alone: bool,
    remaining_ms: u64,
}

/// Does something to the verdicts and tells what it changed for the worse.
pub(crate) fn charged_by(
    suspects: &mut SuspectRequests,
    now: Instant,
    fingerprints: &[u64],
    work: impl FnOnce(&mut SuspectRequests),
) -> Vec<Charged> {
    let verdicts = fingerprints.iter();
    let before: Vec<CrashVerdict> =
        verdicts.map(|held| suspects.verdict(now, *held)).collect();
    work(suspects);
    let mut charged = Vec::new();
    for (fingerprint, before) in fingerprints.iter().zip(before) {
        let after = suspects.verdict(now, *fingerprint);
        if after == CrashVerdict::Clear || discriminant(&after) == discriminant(&before)
        {
            continue;
        }
        charged.push(Charged {
            fingerprint: *fingerprint,
            convicted: after != CrashVerdict::Suspect,
            agents: suspects.crashed_agents(*fingerprint).collect(),
            alone: suspects.crashed_alone(*fingerprint),
            remaining_ms: suspects.remaining_ms(now, *fingerprint),
        });
    }
    charged
}

impl Charged {
    /// Records it; the request is known only at the entry that ran it.
    pub(crate) fn trace(&self, request: Option<RequestId>, out: &mut Vec<EntryAction>) {
        let (kind, code) = match self.convicted {
            true => (EventKind::RequestConvicted, Some(Code::Convicted)),
            false => (EventKind::RequestSuspected, None),
        };
        let mut note = Note::new(kind, self.sentence());
        if let Some(request) = request {
            note = note.request(request);
        }
        if let Some(agent) = self.agents.last() {
            note = note.peer(agent);
        }
        if let Some(code) = code {
            note = note.code(code);
        }
        note.put(out);
    }

    fn sentence(&self) -> String {
        let names = self.agents.iter().map(AgentId::as_str);
        let names = names.collect::<Vec<_>>().join(" and ");
        let what = match (self.convicted, self.alone) {
            (false, _) => "runs only alone from now on",
            (true, true) => "is refused",
            (true, false) => "is refused, though it was alone at neither",
        };
        format!(
            "fingerprint {:x} was in flight when {names} crashed: it {what}, for {} s",
            self.fingerprint,
            self.remaining_ms / 1_000
        )
    }
}
