//! Faults that can be injected into the platform.

use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use serde::{Deserialize, Serialize};

use crate::fault_count::consume;

/// Active faults; the default is none.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether there is an outage, and of which form.
    pub outage: Outage,
    /// Delay of each request before it takes effect.
    pub delay_ms: u64,
    /// Delay of each write before it takes effect, in addition.
    pub write_delay_ms: u64,
    /// Number of following writes that take effect and whose connection is then closed
    /// without a response.
    pub lose_answers: u32,
    /// Percentage of writes that are treated like [`Self::lose_answers`].
    pub lose_answers_percent: u32,
    /// Number of following writes whose connection is closed before they take effect.
    pub lose_writes: u32,
    /// Prefix of the keys whose writes or responses are lost.
    pub lose_prefix: String,
    /// Number of following reads and lists that return the state before the last change
    /// of each object.
    pub old_reads: u32,
    /// Prefix of the keys to which [`Self::old_reads`] applies.
    pub old_reads_prefix: String,
    /// Number of following changes that no watch ever reports.
    pub missed_changes: u32,
    /// Prefix of the keys to which [`Self::missed_changes`] applies.
    pub missed_prefix: String,
}

/// Form of an outage.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// No outage.
    #[default]
    None,
    /// Every request is refused with 503.
    Refuse,
    /// Open connections are closed, and new ones as soon as accepted.
    Close,
}

/// Effect of the faults on one write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WriteFault {
    None,
    ResponseLost,
    RequestLost,
}

impl Faults {
    /// Returns the fault that applies to a write and decrements its count.
    pub(super) fn take_write_fault(
        &mut self,
        key: &str,
        rng: &mut FaultRng,
    ) -> WriteFault {
        if !key.starts_with(&self.lose_prefix) {
            return WriteFault::None;
        }
        if consume(&mut self.lose_writes) {
            return WriteFault::RequestLost;
        }
        if consume(&mut self.lose_answers) || rng.percent(self.lose_answers_percent) {
            return WriteFault::ResponseLost;
        }
        WriteFault::None
    }

    /// Returns whether a read or list returns an earlier state, and decrements the count.
    pub(super) fn take_old_read(&mut self, key: &str) -> bool {
        key.starts_with(&self.old_reads_prefix) && consume(&mut self.old_reads)
    }

    /// Returns whether watches miss a change, and decrements the count.
    pub(super) fn take_missed_change(&mut self, key: &str) -> bool {
        key.starts_with(&self.missed_prefix) && consume(&mut self.missed_changes)
    }
}

/// Seeded generator that decides on random faults.
#[derive(Debug)]
pub(super) struct FaultRng(Pcg64);

impl FaultRng {
    pub(super) fn new(seed: u64) -> Self {
        Self(Pcg64::seed_from_u64(seed))
    }

    fn percent(&mut self, percent: u32) -> bool {
        percent > 0 && self.0.next_u32() % 100 < percent
    }
}
