//! Measures how long moves of models take, from the first refused request to
//! the first request at the new copy.

use serde::Serialize;
use std::collections::BTreeMap;

use super::{arrival_ms, base_model};
use crate::history::LogLine;

/// How long before the decision to load a model a refusal counts as a reason
/// for it.
const DEMAND_LOOKBACK_MS: u64 = 10_000;

/// How long after a decision its load and the first request at the new copy are
/// searched for.
const COMPLETION_WINDOW_MS: u64 = 30_000;

/// Distribution of a duration over all moves, in milliseconds.
#[derive(Debug, Default, Serialize)]
pub struct DurationSummary {
    /// Median.
    pub median_ms: u64,
    /// 90th percentile.
    #[serde(rename = "nine_in_ten_ms")]
    pub p90_ms: u64,
    /// Maximum.
    pub longest_ms: u64,
    /// Number of moves that have this phase.
    pub moves: usize,
}

impl DurationSummary {
    fn from_times(mut times_ms: Vec<u64>) -> Self {
        times_ms.sort_unstable();
        let at = |percent: usize| {
            let last = times_ms.len().saturating_sub(1);
            times_ms.get(last * percent / 100).copied().unwrap_or(0)
        };
        Self {
            median_ms: at(50),
            p90_ms: at(90),
            longest_ms: at(100),
            moves: times_ms.len(),
        }
    }

    fn to_line(&self, phase: &str) -> String {
        format!(
            "  {phase:36} {:7} {:7} {:7} {:6}",
            self.median_ms, self.p90_ms, self.longest_ms, self.moves
        )
    }
}

/// Phases of moves, each over all moves that have it.
#[derive(Debug, Serialize)]
pub struct MovePhases {
    /// From the first request that was refused because too few upstreams held
    /// the model, to the decision to load it.
    pub decided: DurationSummary,
    /// From the decision to the order to load; the model that is unloaded for
    /// it finishes its requests first.
    pub ordered: DurationSummary,
    /// From the order to load to the first request sent to that upstream for
    /// the model.
    pub served: DurationSummary,
}

impl MovePhases {
    pub(super) fn to_lines(&self) -> Vec<String> {
        vec![
            self.decided.to_line("first refusal to decision"),
            self.ordered.to_line("decision to the order to load"),
            self.served.to_line("order to load to the first request"),
        ]
    }
}

/// Collects the log lines about moves.
#[derive(Debug, Default)]
pub(super) struct MoveTracker {
    /// Upstream, model and time of each decision.
    decided: Vec<(String, String, u64)>,
    /// Times of orders to load, by upstream and model.
    ordered: BTreeMap<(String, String), Vec<u64>>,
    /// Times of requests that were sent, by upstream and model.
    sent: BTreeMap<(String, String), Vec<u64>>,
    /// Arrival times of requests that were refused because too few upstreams
    /// held the model, by model.
    refused: BTreeMap<String, Vec<u64>>,
}

impl MoveTracker {
    pub(super) fn record(&mut self, line: &LogLine) {
        match line.event.as_str() {
            "move" => {
                if let (Some(upstream), Some(load)) =
                    (line.str_field("upstream"), line.str_field("load"))
                {
                    self.decided.push((
                        upstream.to_owned(),
                        load.to_owned(),
                        line.t_ms,
                    ));
                }
            }
            "order" => self.record_order(line),
            "request" => self.record_request(line),
            _ => {}
        }
    }

    fn record_order(&mut self, line: &LogLine) {
        let action = line.str_field("action").unwrap_or_default();
        let load = action.strip_prefix("Load(\"");
        let load = load.and_then(|load| load.strip_suffix("\")"));
        if let (Some(load), Some(upstream)) = (load, line.str_field("upstream")) {
            let key = (upstream.to_owned(), load.to_owned());
            self.ordered.entry(key).or_default().push(line.t_ms);
        }
    }

    fn record_request(&mut self, line: &LogLine) {
        let Some(model) = base_model(line) else {
            return;
        };
        let at_ms = arrival_ms(line);
        if matches!(line.last_selection_error(), Some("too_late" | "no_model")) {
            let refused = self.refused.entry(model.to_owned()).or_default();
            refused.push(at_ms);
        }
        for (upstream, _) in line.attempts() {
            let key = (upstream.to_owned(), model.to_owned());
            self.sent.entry(key).or_default().push(at_ms);
        }
    }

    pub(super) fn finish(mut self) -> MovePhases {
        let times = self.ordered.values_mut().chain(self.sent.values_mut());
        times
            .chain(self.refused.values_mut())
            .for_each(|times| times.sort_unstable());
        let (mut decided, mut ordered, mut served) = (vec![], vec![], vec![]);
        for (upstream, load, at_ms) in std::mem::take(&mut self.decided) {
            let since_ms = at_ms.saturating_sub(DEMAND_LOOKBACK_MS);
            let first_refusal = first_within(self.refused.get(&load), since_ms, at_ms);
            decided.extend(first_refusal.map(|first_refusal| at_ms - first_refusal));
            let key = (upstream, load);
            let until_ms = at_ms + COMPLETION_WINDOW_MS;
            let Some(order) = first_within(self.ordered.get(&key), at_ms, until_ms)
            else {
                continue;
            };
            ordered.push(order - at_ms);
            let sent = first_within(self.sent.get(&key), order, until_ms);
            served.extend(sent.map(|sent| sent - order));
        }
        MovePhases {
            decided: DurationSummary::from_times(decided),
            ordered: DurationSummary::from_times(ordered),
            served: DurationSummary::from_times(served),
        }
    }
}

/// Returns the first of the sorted times within a range.
fn first_within(times: Option<&Vec<u64>>, from_ms: u64, to_ms: u64) -> Option<u64> {
    let times = times?;
    let index = times.partition_point(|at| *at < from_ms);
    times.get(index).copied().filter(|at| *at <= to_ms)
}
