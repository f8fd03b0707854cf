//! Outcomes of requests by profile, and decisions by reason.
//!
//! A request attains its profile if its complete answer met the profile's latency
//! targets. This is counted at the entry, the only process that sees both the
//! caller's wait and the delivered units.

use base::prelude::*;
use std::collections::BTreeMap;

use super::requests::Request;

/// Outcomes of one profile's requests since the start of the process.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ProfileOutcomes {
    /// Profile; empty for services that no profile lists.
    pub profile: String,
    /// Complete answers.
    pub finished: u64,
    /// Complete answers that met the profile's latency targets.
    pub attained: u64,
    /// Complete answers whose first unit was late.
    pub first_unit_late: u64,
    /// Complete answers whose mean time between units was above the target.
    pub between_units_late: u64,
    /// Requests without a complete answer.
    pub refused: u64,
}

/// Decisions of one kind made for one reason.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DecisionCount {
    /// `route` for the choice of an upstream, `place` for a change in a placement
    /// plan.
    pub decision: &'static str,
    /// Reason, as the value of a metric's label.
    pub reason: &'static str,
    /// Number of decisions.
    pub count: u64,
}

/// Counts by profile and by reason.
#[derive(Debug, Default)]
pub(crate) struct OutcomeCounts {
    profiles: BTreeMap<String, ProfileOutcomes>,
    decisions: BTreeMap<(&'static str, &'static str), u64>,
}

impl OutcomeCounts {
    /// Records a request with a complete answer.
    pub(crate) fn record_finished(&mut self, now: Instant, request: &Request) {
        let resolved = &request.resolved;
        let first = request.first_unit_at.unwrap_or(now);
        let first_ms = first.ms_since(request.arrived_at);
        let gaps = request.delivered.saturating_sub(1).max(1);
        let gap_us = now.since(first).as_micros() as u64 / gaps;
        let first_unit_late = is_late(first_ms, resolved.first_token_ms);
        let between_units_late =
            is_late(gap_us, resolved.between_tokens_ms.saturating_mul(1_000));
        let count = self.profile(&resolved.profile);
        count.finished += 1;
        count.first_unit_late += u64::from(first_unit_late);
        count.between_units_late += u64::from(between_units_late);
        count.attained += u64::from(!first_unit_late && !between_units_late);
    }

    /// Records a request without a complete answer.
    pub(crate) fn record_refused(&mut self, request: &Request) {
        self.profile(&request.resolved.profile).refused += 1;
    }

    /// Records a decision.
    pub(crate) fn record_decision(
        &mut self,
        decision: &'static str,
        reason: &'static str,
    ) {
        *self.decisions.entry((decision, reason)).or_default() += 1;
    }

    /// Counts by profile, in order of name.
    pub(crate) fn profiles(&self) -> Vec<ProfileOutcomes> {
        self.profiles.values().cloned().collect()
    }

    /// Counts by reason, in order of decision and reason.
    pub(crate) fn decisions(&self) -> Vec<DecisionCount> {
        let decisions = self.decisions.iter();
        let counts = decisions.map(|((decision, reason), count)| DecisionCount {
            decision,
            reason,
            count: *count,
        });
        counts.collect()
    }

    fn profile(&mut self, name: &str) -> &mut ProfileOutcomes {
        if !self.profiles.contains_key(name) {
            let count = ProfileOutcomes {
                profile: name.to_owned(),
                ..ProfileOutcomes::default()
            };
            self.profiles.insert(name.to_owned(), count);
        }
        self.profiles.entry(name.to_owned()).or_default()
    }
}

/// Whether a measured time exceeds its target; 0 means that there is no target.
fn is_late(measured: u64, target: u32) -> bool {
    target > 0 && measured > u64::from(target)
}
