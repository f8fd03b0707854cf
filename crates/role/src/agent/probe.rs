//! Whether the predecessor is dead.

use super::{AgentAction, AgentRole};
use base::{Epoch, Instant};
use schema::store::AgentRecord;

/// Time between two tries to bind the predecessor's address.
const PROBE_MS: u64 = 2_000;

/// The question whether the predecessor is dead.
///
/// A predecessor may be frozen with an order half sent. As long as it may live,
/// its intents count; a process that is dead can give no order any more, and
/// its address can be bound again.
#[derive(Debug, Default)]
pub(super) struct Probe {
    predecessor: Option<(Epoch, String)>,
    next: Option<Instant>,
}

impl Probe {
    pub(super) fn advance(&mut self, now: Instant, out: &mut Vec<AgentAction>) {
        let Some((_, address)) = &self.predecessor else {
            return;
        };
        if self.next.is_none_or(|next| next > now) {
            return;
        }
        self.next = Some(now.plus_ms(PROBE_MS));
        let address = address.clone();
        out.push(AgentAction::ProbePredecessor { address });
    }

    pub(super) fn due(&self) -> Option<Instant> {
        self.next.filter(|_| self.predecessor.is_some())
    }
}

impl AgentRole {
    /// Starts to ask about the predecessor, if it left anything that matters.
    ///
    /// If it had the address that this process has bound by now, it is dead.
    pub(super) fn begin_probe(&mut self, now: Instant, record: &AgentRecord) {
        let epoch = Epoch(record.epoch);
        let left = record.intents.iter().any(|held| held.epoch == epoch.0);
        if !left {
            return;
        }
        if record.link_address == self.options.link_address {
            self.ledger.giver_died(now, epoch, self.record.epoch());
            return;
        }
        self.probe.predecessor = Some((epoch, record.link_address.clone()));
        self.probe.next = Some(now);
    }

    pub(super) fn probed(&mut self, now: Instant, dead: bool) {
        if !dead {
            return;
        }
        if let Some((epoch, _)) = self.probe.predecessor.take() {
            self.ledger.giver_died(now, epoch, self.record.epoch());
        }
    }
}
