//! Probes that find out whether predecessors are dead.

use super::{AgentAction, AgentRole};
use base::{FencingEpoch, Instant};
use mem::Ledger;
use std::ops::Bound;

/// Time between two probes.
const PROBE_INTERVAL_MS: u64 = 2_000;

/// Probes of the predecessors whose orders still count.
///
/// A predecessor may be frozen with an order partly sent, so its intents count
/// for as long as it may live. A dead process can send no further order, and
/// its listen address can be bound again.
///
/// One probe is in flight at a time, and its result applies to that predecessor
/// only: applied to another, it would free the memory of an order that may
/// still arrive.
#[derive(Debug, Default)]
pub(super) struct PredecessorProbe {
    /// Epoch of the predecessor that is being probed.
    in_flight: Option<FencingEpoch>,
    /// Epoch of the predecessor probed last; the next higher one follows.
    last_probed: FencingEpoch,
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
        let mut predecessors = ledger.issuers_not_known_dead();
        predecessors.retain(|_, address| !address.is_empty());
        let after_last = (Bound::Excluded(self.last_probed), Bound::Unbounded);
        let target = predecessors
            .range(after_last)
            .next()
            .or(predecessors.iter().next());
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
    /// Starts probing the predecessors whose orders still count.
    ///
    /// A predecessor that used the link address which this process has now
    /// bound is dead.
    pub(super) fn start_probing(&mut self, now: Instant) {
        let own = self.options.link_address.as_str();
        let predecessors = self.ledger.issuers_not_known_dead();
        let at_own_address =
            predecessors.iter().filter(|(_, address)| **address == own);
        let dead: Vec<FencingEpoch> = at_own_address.map(|(epoch, _)| *epoch).collect();
        for epoch in dead {
            self.ledger.issuer_died(now, epoch, self.record.epoch());
        }
        self.predecessor_probe.next_at = Some(now);
    }

    pub(super) fn on_predecessor_probed(&mut self, now: Instant, dead: bool) {
        let Some(epoch) = self.predecessor_probe.in_flight.take() else {
            return;
        };
        if dead {
            self.ledger.issuer_died(now, epoch, self.record.epoch());
        }
    }
}
