//! Whether predecessors are dead.

use super::{AgentAction, AgentRole};
use base::{Epoch, Instant};
use mem::Ledger;
use std::ops::Bound;

/// Time between two tries to bind a predecessor's address.
const PROBE_MS: u64 = 2_000;

/// The question which predecessors are dead.
///
/// A predecessor may be frozen with an order half sent. As long as it may live,
/// its intents count; a process that is dead can give no order any more, and
/// its address can be bound again.
///
/// One question is open at a time, and the answer belongs to it: taken for that
/// to another, it would free the memory of an order that may still come.
#[derive(Debug, Default)]
pub(super) struct Probe {
    /// Predecessor of the open question.
    asked: Option<Epoch>,
    /// Predecessor that was asked about last; the next one has its turn.
    last: Epoch,
    next: Option<Instant>,
}

impl Probe {
    pub(super) fn advance(
        &mut self,
        now: Instant,
        ledger: &Ledger,
        out: &mut Vec<AgentAction>,
    ) {
        if self.asked.is_some() || self.next.is_none_or(|next| next > now) {
            return;
        }
        let mut givers = ledger.givers();
        givers.retain(|_, address| !address.is_empty());
        let behind = (Bound::Excluded(self.last), Bound::Unbounded);
        let turn = givers.range(behind).next().or(givers.iter().next());
        let Some((epoch, address)) = turn else {
            self.next = None;
            return;
        };
        self.asked = Some(*epoch);
        self.last = *epoch;
        self.next = Some(now.plus_ms(PROBE_MS));
        let address = (*address).to_owned();
        out.push(AgentAction::ProbePredecessor { address });
    }

    pub(super) fn due(&self) -> Option<Instant> {
        self.next.filter(|_| self.asked.is_none())
    }
}

impl AgentRole {
    /// Starts to ask about the predecessors that left anything that matters.
    ///
    /// One that had the address which this process has bound by now is dead.
    pub(super) fn begin_probe(&mut self, now: Instant) {
        let own = self.options.link_address.as_str();
        let givers = self.ledger.givers();
        let here = givers.iter().filter(|(_, address)| **address == own);
        let dead: Vec<Epoch> = here.map(|(epoch, _)| *epoch).collect();
        for epoch in dead {
            self.ledger.giver_died(now, epoch, self.record.epoch());
        }
        self.probe.next = Some(now);
    }

    pub(super) fn probed(&mut self, now: Instant, dead: bool) {
        let Some(epoch) = self.probe.asked.take() else {
            return;
        };
        if dead {
            self.ledger.giver_died(now, epoch, self.record.epoch());
        }
    }
}
