//! What the agent's record means for its orders.

use super::drain::Drain;
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
            RecordNews::Taken => {
                self.ledger.adopt(now, self.record.intents());
                self.begin_probe(now);
                let detail = format!("epoch {}", self.record.epoch().0);
                trace::note(EventKind::EpochTaken, detail, out);
            }
            RecordNews::NotWritten => self.withdraw_unrecorded(),
            RecordNews::Fenced => self.fenced(out),
            RecordNews::Undecodable => self.counters.undecodable += 1,
        }
    }

    /// A successor has the epoch: this agent gives no orders, takes no work, and
    /// ends once what runs has ended.
    ///
    /// As long as the process lives the successor counts what it may have
    /// ordered; its end frees that memory.
    fn fenced(&mut self, out: &mut Vec<AgentAction>) {
        self.withdraw_unrecorded();
        self.orders.clear();
        self.registration.abandon();
        trace::note(EventKind::Fenced, String::new(), out);
        self.say_goodbye(out);
        self.drain.get_or_insert(Drain::Finishing);
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
