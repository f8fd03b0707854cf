//! Whether predecessors are dead.

use super::{AgentAction, AgentRole};
use base::{Epoch, Instant};
use mem::Ledger;
use std::ops::Bound;

/// Time between two tries to bind a predecessor's address.
const PROBE_INTERVAL_MS: u64 = 2_000;

/// The question which predecessors are dead.
///
/// A predecessor may be frozen with an order half sent. As long as it may live,
/// its intents count; a process that is dead can give no order any more, and
/// its address can be bound again.
///
/// One question is open at a time, and the answer belongs to it: taken for that
/// to another, it would free the memory of an order that may still come.
#[derive(Debug, Default)]
pub(super) struct PredecessorProbe {
    /// Predecessor of the open question.
    in_flight: Option<Epoch>,
    /// Predecessor that was asked about last; the next one has its turn.
    last_probed: Epoch,
    next_at: Option<Instant>,
}

impl PredecessorProbe {
    pub(super) fn advance(
        &mut self,
        now: Instant,
        ledger: &Ledger,
        out: &mut Vec<AgentAction>,
    ) {
        if self.in_flight.is_some() || self.next_at.is_none_or(|next_at| next_at > now)
        {
            return;
        }
        let mut givers = ledger.givers();
        givers.retain(|_, address| !address.is_empty());
        let after_last = (Bound::Excluded(self.last_probed), Bound::Unbounded);
        let target = givers.range(after_last).next().or(givers.iter().next());
        let Some((epoch, address)) = target else {
            self.next_at = None;
            return;
        };
        self.in_flight = Some(*epoch);
        self.last_probed = *epoch;
        self.next_at = Some(now.plus_ms(PROBE_INTERVAL_MS));
        let address = (*address).to_owned();
        out.push(AgentAction::ProbePredecessor { address });
    }

    pub(super) fn due(&self) -> Option<Instant> {
        self.next_at.filter(|_| self.in_flight.is_none())
    }
}

impl AgentRole {
    /// Starts to ask about the predecessors that left anything that matters.
    ///
    /// One that had the address which this process has bound by now is dead.
    pub(super) fn start_probing(&mut self, now: Instant) {
        let own = self.options.link_address.as_str();
        let givers = self.ledger.givers();
        let at_own_address = givers.iter().filter(|(_, address)| **address == own);
        let dead: Vec<Epoch> = at_own_address.map(|(epoch, _)| *epoch).collect();
        for epoch in dead {
            self.ledger.giver_died(now, epoch, self.record.epoch());
        }
        self.predecessor_probe.next_at = Some(now);
    }

    pub(super) fn on_predecessor_probed(&mut self, now: Instant, dead: bool) {
        let Some(epoch) = self.predecessor_probe.in_flight.take() else {
            return;
        };
        if dead {
            self.ledger.giver_died(now, epoch, self.record.epoch());
        }
    }
}
