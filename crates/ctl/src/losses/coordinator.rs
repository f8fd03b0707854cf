//! Finds the times without a coordinator, the entry that holds the lease and
//! sends load and unload orders to upstreams.

use serde::Serialize;
use std::collections::BTreeMap;

use crate::history::LogLine;

/// A time between two coordinators.
#[derive(Debug, Serialize, PartialEq, Eq)]
pub struct Gap {
    /// When the last coordinator stopped, or wrote its last line; in
    /// milliseconds since the Unix epoch.
    pub from_ms: u64,
    /// When the next coordinator began; in milliseconds since the Unix epoch.
    pub to_ms: u64,
}

impl Gap {
    /// Duration in milliseconds.
    pub const fn duration_ms(&self) -> u64 {
        self.to_ms.saturating_sub(self.from_ms)
    }

    pub(super) fn to_line(&self, from_ms: u64) -> String {
        let offset_ms = self.from_ms as i128 - from_ms as i128;
        format!("  {offset_ms:+8} ms: for {} ms", self.duration_ms())
    }
}

/// Terms as coordinator of all entries, from their logs.
#[derive(Debug, Default)]
pub(super) struct CoordinatorTracker {
    entries: BTreeMap<String, EntryTerms>,
}

#[derive(Debug, Default)]
struct EntryTerms {
    /// Start and end of each term as coordinator; the end is `None` if it was
    /// not logged.
    terms: Vec<(u64, Option<u64>)>,
    /// Time of the entry's last line so far. If the entry is killed, its term
    /// counts until then.
    last_line_ms: u64,
}

impl EntryTerms {
    fn record(&mut self, line: &LogLine) {
        match line.event.as_str() {
            "started" => self.end_term(self.last_line_ms),
            "giver_began" => {
                self.end_term(line.t_ms);
                self.terms.push((line.t_ms, None));
            }
            "giver_paused" => self.end_term(line.t_ms),
            _ => {}
        }
        self.last_line_ms = self.last_line_ms.max(line.t_ms);
    }

    /// Ends the current term, if there is one.
    fn end_term(&mut self, at_ms: u64) {
        if let Some((_, end @ None)) = self.terms.last_mut() {
            *end = Some(at_ms);
        }
    }
}

impl CoordinatorTracker {
    pub(super) fn record(&mut self, line: &LogLine) {
        let entry = self.entries.entry(line.source.clone()).or_default();
        entry.record(line);
    }

    /// Times after the first request in which no entry was the coordinator,
    /// between two that were.
    pub(super) fn gaps(self, from_ms: u64) -> Vec<Gap> {
        let entries = self.entries.into_values();
        let mut terms: Vec<(u64, u64)> = entries
            .flat_map(|entry| {
                let last_line_ms = entry.last_line_ms;
                let terms = entry.terms.into_iter();
                terms.map(move |(start, end)| (start, end.unwrap_or(last_line_ms)))
            })
            .collect();
        terms.sort_unstable();
        let mut gaps = Vec::new();
        let mut covered_until_ms: Option<u64> = None;
        for (start, end) in terms {
            if let Some(covered) = covered_until_ms
                && start > covered.max(from_ms)
            {
                gaps.push(Gap {
                    from_ms: covered.max(from_ms),
                    to_ms: start,
                });
            }
            covered_until_ms =
                Some(covered_until_ms.map_or(end, |covered| covered.max(end)));
        }
        gaps
    }
}
