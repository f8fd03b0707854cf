//! What the agent's record means for its orders.

use super::record::RecordNews;
use super::{AgentAction, AgentRole, trace};
use base::prelude::*;
use schema::timeline::EventKind;

impl AgentRole {
    pub(super) fn record_news(
        &mut self,
        now: Instant,
        news: RecordNews,
        out: &mut Vec<AgentAction>,
    ) {
        match news {
            RecordNews::Nothing | RecordNews::Recorded => {}
            RecordNews::Taken(predecessor) => {
                self.ledger.adopt(now, self.record.intents());
                if let Some(predecessor) = predecessor {
                    self.begin_probe(now, &predecessor);
                }
                let detail = format!("epoch {}", self.record.epoch().0);
                trace::note(EventKind::EpochTaken, detail, out);
            }
            RecordNews::NotWritten => self.withdraw_unrecorded(),
            RecordNews::Fenced => self.fenced(out),
            RecordNews::Undecodable => self.counters.undecodable += 1,
        }
    }

    /// A successor has the epoch: this agent gives no orders and takes no work.
    fn fenced(&mut self, out: &mut Vec<AgentAction>) {
        self.withdraw_unrecorded();
        self.orders.clear();
        self.registration.abandon();
        trace::note(EventKind::Fenced, String::new(), out);
        self.say_goodbye(out);
    }

    /// Orders whose intent was provably not written are given up; the plan is
    /// made anew when the record can be written.
    pub(super) fn withdraw_unrecorded(&mut self) {
        let unsent = self.ledger.orders().filter(|order| order.sends == 0);
        let ids: Vec<u64> = unsent.map(|order| order.id).collect();
        for id in ids {
            self.ledger.withdraw(id);
        }
    }
}
