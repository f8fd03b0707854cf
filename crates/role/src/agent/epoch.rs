//! Effects of a change of the agent's record on its orders.

use super::drain::Drain;
use super::epoch_record::RecordOutcome;
use super::{AgentAction, AgentRole, timeline};
use base::prelude::*;
use schema::timeline::EventKind;

impl AgentRole {
    pub(super) fn on_record_outcome(
        &mut self,
        now: Instant,
        outcome: RecordOutcome,
        out: &mut Vec<AgentAction>,
    ) {
        match outcome {
            RecordOutcome::Nothing | RecordOutcome::Recorded => {}
            RecordOutcome::EpochTaken => {
                self.ledger.adopt_intents(now, self.record.intents());
                self.start_probing(now);
                let detail = format!("epoch {}", self.record.epoch().0);
                timeline::process_event(EventKind::EpochTaken, detail, out);
            }
            RecordOutcome::NotWritten => self.withdraw_unrecorded(),
            RecordOutcome::Fenced => self.become_fenced(out),
            RecordOutcome::Undecodable => self.counters.undecodable += 1,
        }
    }

    /// Stops this agent because a successor has taken the epoch: it sends no
    /// orders, accepts no work, and exits once its running attempts have ended.
    ///
    /// As long as this process lives, the successor counts the memory of the
    /// orders it may have sent; its exit frees that memory.
    fn become_fenced(&mut self, out: &mut Vec<AgentAction>) {
        self.withdraw_unrecorded();
        self.orders.clear();
        self.registration.abandon();
        timeline::process_event(EventKind::Fenced, String::new(), out);
        self.send_goodbyes(out);
        self.drain.get_or_insert(Drain::FinishingAttempts);
    }

    /// Withdraws orders whose intent was certainly not written; they are
    /// planned again when the record can be written.
    pub(super) fn withdraw_unrecorded(&mut self) {
        let unrecorded = self.ledger.orders().filter(|order| order.send_count == 0);
        let ids: Vec<u64> = unrecorded.map(|order| order.id).collect();
        for id in ids {
            self.ledger.cancel_unsent(id);
        }
    }
}
