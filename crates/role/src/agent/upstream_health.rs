//! Reports and crashes of the upstream, and which attempts were in flight at a
//! crash.

use super::attempts::Attempt;
use super::upstream::memory_report;
use super::{AgentAction, AgentRole, UpstreamReport, timeline};
use base::prelude::*;
use schema::link::End;
use schema::timeline::EventKind;

impl AgentRole {
    /// Handles the upstream's report: detects a restart, and updates orders and
    /// limits.
    pub(super) fn on_report(
        &mut self,
        now: Instant,
        report: &UpstreamReport,
        out: &mut Vec<AgentAction>,
    ) {
        let was_up = self.upstream.is_up();
        let epoch_before = self.upstream.highest_fencing_epoch();
        let restarted = self.upstream.apply_report(now, report);
        // A fencing epoch higher than this agent's epoch shows that a successor
        // sends orders.
        let epoch_raised = report.highest_fencing_epoch > epoch_before;
        if epoch_raised
            && report.highest_fencing_epoch > self.record.epoch().0
            && self.record.is_confirmed()
        {
            self.record.require_read();
        }
        if !was_up {
            let detail = format!("incarnation {:x}", report.incarnation);
            timeline::process_event(EventKind::UpstreamUp, detail, out);
        }
        if restarted {
            self.end_crashed_attempts(now, out);
        }
        if self.is_engine() || self.config().is_none() {
            let memory = memory_report(now, report);
            let ended = self.ledger.apply_report(now, &memory);
            self.on_orders_ended(ended, out);
            self.adjust_concurrency_limit(report.step_time_us);
        }
    }

    pub(super) fn on_upstream_down(
        &mut self,
        now: Instant,
        out: &mut Vec<AgentAction>,
    ) {
        if self.upstream.is_up() {
            timeline::process_event(EventKind::UpstreamDown, String::new(), out);
        }
        self.upstream.mark_down();
        self.end_crashed_attempts(now, out);
    }

    /// Ends the attempts that were handed to an upstream that has died.
    ///
    /// Each `End` carries the fingerprints of all attempts in flight: any of
    /// them may have caused the crash, and only the entries, which see several
    /// upstreams, can find out which.
    fn end_crashed_attempts(&mut self, now: Instant, out: &mut Vec<AgentAction>) {
        let ids = self.attempts.ids_matching(Attempt::is_handed_over);
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
                ..self.end_frame(
                    now,
                    id,
                    ErrorCode::UpstreamLost.number(),
                    RunStatus::Ran,
                )
            };
            self.end_attempt(now, id, end, out);
        }
    }
}
