//! Counts lost requests in the logs of entries.
//!
//! Each entry logs one line per request and per order to an upstream. Counted
//! by time and model, they show what limits the system: refusals while few
//! upstreams hold a model in demand, the time from the first refusal to the
//! first request at a new copy of a model, and the times without a coordinator.
//! A log is read once. Memory use grows with the number of requests that were
//! sent, by one timestamp each.

mod coordinator;
mod moves;
mod slices;

use serde::Serialize;
use std::collections::BTreeMap;
use std::path::PathBuf;

use crate::CtlError;
use crate::history::{LogLine, for_each_line};
use coordinator::CoordinatorTracker;
pub use coordinator::Gap;
pub use moves::MovePhases;
use moves::MoveTracker;
use slices::SliceCounter;
pub use slices::{ModelSlice, TimeSlice};

/// Counts and durations from the logs.
#[derive(Debug, Serialize)]
pub struct LossReport {
    /// Arrival of the first request, in milliseconds since the Unix epoch.
    pub from_ms: u64,
    /// Number of requests by outcome and, unless answered, by the reason why no
    /// upstream was selected for the last attempt.
    pub outcomes: BTreeMap<String, u64>,
    /// The same by time and model.
    pub slices: Vec<TimeSlice>,
    /// Times between two coordinators.
    #[serde(rename = "without_leader")]
    pub without_coordinator: Vec<Gap>,
    /// Durations of the phases of model moves.
    pub moves: MovePhases,
    /// Number of lines that are not log lines.
    #[serde(rename = "unread")]
    pub unreadable_lines: usize,
}

/// Analyzes log files, with requests counted in time slices of `slice_ms`
/// milliseconds.
///
/// # Errors
///
/// A file can't be read.
pub fn analyze(files: &[PathBuf], slice_ms: u64) -> Result<LossReport, CtlError> {
    let mut outcomes: BTreeMap<String, u64> = BTreeMap::new();
    let mut slices = SliceCounter::new(slice_ms);
    let mut coordinators = CoordinatorTracker::default();
    let mut moves = MoveTracker::default();
    let unreadable_lines = for_each_line(files, |line| {
        coordinators.record(&line);
        moves.record(&line);
        if line.event == "request" {
            *outcomes.entry(outcome_with_reason(&line)).or_default() += 1;
            slices.record(&line);
        }
    })?;
    let from_ms = slices.first_ms();
    Ok(LossReport {
        from_ms,
        outcomes,
        slices: slices.finish(),
        without_coordinator: coordinators.gaps(from_ms),
        moves: moves.finish(),
        unreadable_lines,
    })
}

/// Outcome of a request, with the reason why no upstream was selected for its
/// last attempt.
fn outcome_with_reason(line: &LogLine) -> String {
    let outcome = line.str_field("outcome").unwrap_or("unknown");
    match line.last_selection_error() {
        Some(reason) if outcome != ANSWERED => format!("{outcome}, {reason}"),
        _ => outcome.to_owned(),
    }
}

/// Value of the field `outcome` for a request that was answered.
const ANSWERED: &str = "answered";

/// Arrival of a request, in milliseconds since the Unix epoch: the line is
/// written at its end.
fn arrival_ms(line: &LogLine) -> u64 {
    line.t_ms.saturating_sub(line.u64_field("ms").unwrap_or(0))
}

/// Model of a request, without the adapter.
fn base_model(line: &LogLine) -> Option<&str> {
    let model = line.str_field("model")?;
    Some(model.split_once('/').map_or(model, |(model, _)| model))
}

impl LossReport {
    /// Formats the report as text.
    pub fn to_lines(&self) -> Vec<String> {
        let mut lines = vec!["requests by how they ended".to_owned()];
        let outcomes = self.outcomes.iter();
        lines
            .extend(outcomes.map(|(outcome, count)| format!("  {count:7}  {outcome}")));
        lines.push(String::new());
        lines.push("by time, and the models that lost most".to_owned());
        lines.extend(
            self.slices
                .iter()
                .flat_map(|slice| slice.to_lines(self.from_ms)),
        );
        lines.push(String::new());
        let gap_ms: u64 = self.without_coordinator.iter().map(Gap::duration_ms).sum();
        lines.push(format!("without a leader: {gap_ms} ms"));
        let gaps = self.without_coordinator.iter();
        lines.extend(gaps.map(|gap| gap.to_line(self.from_ms)));
        lines.push(String::new());
        lines.push("moves, in ms: median, nine in ten, longest, how many".to_owned());
        lines.extend(self.moves.to_lines());
        if self.unreadable_lines > 0 {
            lines.push(format!("{} lines could not be read", self.unreadable_lines));
        }
        lines
    }
}
