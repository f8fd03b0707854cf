//! What came of the work of each profile, and why decisions fell as they did.
//!
//! Attainment is what operators hold accelerators for: work that met its
//! profile's expectation. It is counted where the answer ends, since only the
//! entry sees both the caller's wait and the units given.

use base::prelude::*;
use std::collections::BTreeMap;

use super::requests::Request;

/// What came of the work of one profile since the start of the process.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ProfileOutcomes {
    /// Profile; empty for services that no profile names.
    pub profile: String,
    /// Whole answers.
    pub finished: u64,
    /// Whole answers that met the profile's expectation.
    pub attained: u64,
    /// Whole answers whose first unit came late.
    pub first_unit_late: u64,
    /// Whole answers whose units came too far apart, on average.
    pub between_units_late: u64,
    /// Requests that got no whole answer.
    pub refused: u64,
}

/// Decisions that fell for one reason.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DecisionCount {
    /// `route` for the choice of an upstream, `place` for a change of a plan.
    pub decision: &'static str,
    /// Word for the reason.
    pub reason: &'static str,
    /// How many.
    pub count: u64,
}

/// Counts by profile and by reason.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    profiles: BTreeMap<String, ProfileOutcomes>,
    reasons: BTreeMap<(&'static str, &'static str), u64>,
}

impl Tally {
    /// A request got its whole answer.
    pub(crate) fn finished(&mut self, now: Instant, request: &Request) {
        let resolved = &request.resolved;
        let first = request.first_unit_at.unwrap_or(now);
        let first_ms = first.ms_since(request.arrived_at);
        let gaps = request.delivered.saturating_sub(1).max(1);
        let gap_us = now.since(first).as_micros() as u64 / gaps;
        let late = is_late(first_ms, resolved.first_token_ms);
        let apart = is_late(gap_us, resolved.between_tokens_ms.saturating_mul(1_000));
        let count = self.profile(&resolved.profile);
        count.finished += 1;
        count.first_unit_late += u64::from(late);
        count.between_units_late += u64::from(apart);
        count.attained += u64::from(!late && !apart);
    }

    /// A request got no whole answer.
    pub(crate) fn refused(&mut self, request: &Request) {
        self.profile(&request.resolved.profile).refused += 1;
    }

    /// A decision fell.
    pub(crate) fn decided(&mut self, decision: &'static str, reason: &'static str) {
        *self.reasons.entry((decision, reason)).or_default() += 1;
    }

    /// Counts by profile, in order of name.
    pub(crate) fn profiles(&self) -> Vec<ProfileOutcomes> {
        self.profiles.values().cloned().collect()
    }

    /// Counts by reason, in order of decision and reason.
    pub(crate) fn reasons(&self) -> Vec<DecisionCount> {
        let reasons = self.reasons.iter();
        let counts = reasons.map(|((decision, reason), count)| DecisionCount {
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

/// Whether a time is above what is expected; 0 expects nothing.
fn is_late(found: u64, expected: u32) -> bool {
    expected > 0 && found > u64::from(expected)
}
