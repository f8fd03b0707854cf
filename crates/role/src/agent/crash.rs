//! The upstream's reports, its death, and who was in flight at it.

use super::attempts::Attempt;
use super::upstream::memory_state;
use super::{AgentAction, AgentRole, UpstreamReport, trace};
use base::prelude::*;
use schema::link::End;
use schema::timeline::EventKind;

impl AgentRole {
    pub(super) fn reported(
        &mut self,
        now: Instant,
        report: &UpstreamReport,
        out: &mut Vec<AgentAction>,
    ) {
        let was_up = self.upstream.is_up();
        let fence_before = self.upstream.fence();
        let restarted = self.upstream.reported(now, report);
        // A higher fencing number than ours shows that a successor gives orders.
        let raised = report.highest_fencing_token > fence_before;
        if raised
            && report.highest_fencing_token > self.record.epoch().0
            && self.record.is_sure()
        {
            self.record.doubt();
        }
        if !was_up {
            let detail = format!("incarnation {:x}", report.incarnation);
            trace::note(EventKind::UpstreamUp, detail, out);
        }
        if restarted {
            self.crashed(now, out);
        }
        if self.is_engine() || self.config().is_none() {
            let state = memory_state(now, report);
            let ends = self.ledger.report(now, &state);
            self.orders_ended(ends, out);
            self.learn_places(report.step_time_us);
        }
    }

    pub(super) fn went_down(&mut self, now: Instant, out: &mut Vec<AgentAction>) {
        if self.upstream.is_up() {
            trace::note(EventKind::UpstreamDown, String::new(), out);
        }
        self.upstream.went_down();
        self.crashed(now, out);
    }

    /// Ends what was handed to an upstream that has died.
    ///
    /// Each end carries the fingerprints of all that were in flight: any of
    /// them may be the request that killed it, and only the entries, which see
    /// more than one upstream, can find out which.
    fn crashed(&mut self, now: Instant, out: &mut Vec<AgentAction>) {
        let ids = self.attempts.ids_where(Attempt::is_handed_over);
        if ids.is_empty() {
            return;
        }
        self.counters.crashes += 1;
        let mut fingerprints: Vec<u64> = ids
            .iter()
            .filter_map(|id| self.attempts.get(*id))
            .map(|attempt| attempt.fingerprint)
            .collect();
        fingerprints.sort_unstable();
        fingerprints.dedup();
        for id in ids {
            out.push(AgentAction::StopAttempt { attempt: id });
            let end = End {
                upstream_crashed: true,
                crash_fingerprints: fingerprints.clone(),
                ..self.end(now, id, Code::UpstreamLost.number(), Ran::Ran)
            };
            self.end_attempt(now, id, end, out);
        }
    }
}
