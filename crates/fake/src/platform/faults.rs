//! Faults of the platform that can be switched on.

use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use serde::{Deserialize, Serialize};

use crate::faults::take;

/// Faults in force; the default is none.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether the platform is away, and how that shows.
    pub outage: Outage,
    /// Time added before each call takes effect.
    pub delay_ms: u64,
    /// Next writes that take effect and whose connection is then closed.
    pub lose_answers: u32,
    /// Writes in a hundred that are treated like [`Self::lose_answers`].
    pub lose_answers_percent: u32,
    /// Next writes whose connection is closed before they take effect.
    pub lose_writes: u32,
    /// Only writes to keys under this prefix are lost.
    pub lose_prefix: String,
    /// Next reads and lists that are answered as of before the last change of
    /// each object.
    pub old_reads: u32,
    /// Only reads under this prefix are old.
    pub old_reads_prefix: String,
    /// Next changes that no watch ever shows.
    pub missed_changes: u32,
    /// Only changes under this prefix are missed.
    pub missed_prefix: String,
}

/// How an outage shows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// No outage.
    #[default]
    None,
    /// Every call is answered 503.
    Refuse,
    /// Open connections are closed, and new ones at once.
    Close,
}

/// What a fault does to one write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WriteFate {
    Answered,
    AnswerLost,
    Lost,
}

impl Faults {
    /// Decides on one write and counts it off.
    pub(super) fn write_fate(&mut self, key: &str, dice: &mut Dice) -> WriteFate {
        if !key.starts_with(&self.lose_prefix) {
            return WriteFate::Answered;
        }
        if take(&mut self.lose_writes) {
            return WriteFate::Lost;
        }
        if take(&mut self.lose_answers) || dice.percent(self.lose_answers_percent) {
            return WriteFate::AnswerLost;
        }
        WriteFate::Answered
    }

    /// Whether one read or list is answered with an earlier state.
    pub(super) fn read_is_old(&mut self, key: &str) -> bool {
        key.starts_with(&self.old_reads_prefix) && take(&mut self.old_reads)
    }

    /// Whether watches miss one change.
    pub(super) fn change_is_missed(&mut self, key: &str) -> bool {
        key.starts_with(&self.missed_prefix) && take(&mut self.missed_changes)
    }
}

/// Seeded source of the faults that come with a probability.
#[derive(Debug)]
pub(super) struct Dice(Pcg64);

impl Dice {
    pub(super) fn new(seed: u64) -> Self {
        Self(Pcg64::seed_from_u64(seed))
    }

    fn percent(&mut self, percent: u32) -> bool {
        percent > 0 && self.0.next_u32() % 100 < percent
    }
}
