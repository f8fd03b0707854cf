//! How long a copy takes from being wanted to its first request.

use serde::Serialize;
use std::collections::BTreeMap;

use super::{arrived_ms, model};
use crate::trail::Line;

/// Time before a decision from which on a refusal counts as the wish for it.
const WANTED_WITHIN_MS: u64 = 10_000;

/// Time after a decision up to which its load and its first request are looked for.
const DONE_WITHIN_MS: u64 = 30_000;

/// Spread of a time over all moves, in milliseconds.
#[derive(Debug, Default, Serialize)]
pub struct Spread {
    /// Median.
    pub median_ms: u64,
    /// Time that nine in ten keep to.
    pub nine_in_ten_ms: u64,
    /// Longest.
    pub longest_ms: u64,
    /// Moves that have this part.
    pub moves: usize,
}

impl Spread {
    fn of(mut times_ms: Vec<u64>) -> Self {
        times_ms.sort_unstable();
        let at = |percent: usize| {
            let last = times_ms.len().saturating_sub(1);
            times_ms.get(last * percent / 100).copied().unwrap_or(0)
        };
        Self {
            median_ms: at(50),
            nine_in_ten_ms: at(90),
            longest_ms: at(100),
            moves: times_ms.len(),
        }
    }

    fn told(&self, part: &str) -> String {
        format!(
            "  {part:36} {:7} {:7} {:7} {:6}",
            self.median_ms, self.nine_in_ten_ms, self.longest_ms, self.moves
        )
    }
}

/// The parts of moves, each over all moves that have it.
#[derive(Debug, Serialize)]
pub struct Parts {
    /// From the first refusal for want of copies to the decision.
    pub decided: Spread,
    /// From the decision to the order to load: what has to go first ends its work.
    pub ordered: Spread,
    /// From the order to load to the first request that was sent there.
    pub served: Spread,
}

impl Parts {
    pub(super) fn told(&self) -> Vec<String> {
        vec![
            self.decided.told("first refusal to decision"),
            self.ordered.told("decision to the order to load"),
            self.served.told("order to load to the first request"),
        ]
    }
}

/// What logs tell of moves while they are read.
#[derive(Debug, Default)]
pub(super) struct Moved {
    /// Upstream, model and time of each decision.
    decided: Vec<(String, String, u64)>,
    /// Times of orders to load, by upstream and model.
    ordered: BTreeMap<(String, String), Vec<u64>>,
    /// Times of requests that were sent, by upstream and model.
    sent: BTreeMap<(String, String), Vec<u64>>,
    /// Times of refusals for want of copies, by model.
    refused: BTreeMap<String, Vec<u64>>,
}

impl Moved {
    pub(super) fn take(&mut self, line: &Line) {
        match line.event.as_str() {
            "move" => {
                if let (Some(upstream), Some(load)) =
                    (line.text("upstream"), line.text("load"))
                {
                    self.decided.push((
                        upstream.to_owned(),
                        load.to_owned(),
                        line.t_ms,
                    ));
                }
            }
            "order" => self.order(line),
            "request" => self.request(line),
            _ => {}
        }
    }

    fn order(&mut self, line: &Line) {
        let action = line.text("action").unwrap_or_default();
        let load = action.strip_prefix("Load(\"");
        let load = load.and_then(|load| load.strip_suffix("\")"));
        if let (Some(load), Some(upstream)) = (load, line.text("upstream")) {
            let of = (upstream.to_owned(), load.to_owned());
            self.ordered.entry(of).or_default().push(line.t_ms);
        }
    }

    fn request(&mut self, line: &Line) {
        let Some(model) = model(line) else {
            return;
        };
        let at_ms = arrived_ms(line);
        if matches!(line.last_unpicked(), Some("too_late" | "no_model")) {
            let refused = self.refused.entry(model.to_owned()).or_default();
            refused.push(at_ms);
        }
        for (upstream, _) in line.tries() {
            let of = (upstream.to_owned(), model.to_owned());
            self.sent.entry(of).or_default().push(at_ms);
        }
    }

    pub(super) fn parts(mut self) -> Parts {
        let times = self.ordered.values_mut().chain(self.sent.values_mut());
        times
            .chain(self.refused.values_mut())
            .for_each(|times| times.sort_unstable());
        let (mut decided, mut ordered, mut served) = (vec![], vec![], vec![]);
        for (upstream, load, at_ms) in std::mem::take(&mut self.decided) {
            let since_ms = at_ms.saturating_sub(WANTED_WITHIN_MS);
            let wanted = first(self.refused.get(&load), since_ms, at_ms);
            decided.extend(wanted.map(|wanted| at_ms - wanted));
            let of = (upstream, load);
            let until_ms = at_ms + DONE_WITHIN_MS;
            let Some(order) = first(self.ordered.get(&of), at_ms, until_ms) else {
                continue;
            };
            ordered.push(order - at_ms);
            let sent = first(self.sent.get(&of), order, until_ms);
            served.extend(sent.map(|sent| sent - order));
        }
        Parts {
            decided: Spread::of(decided),
            ordered: Spread::of(ordered),
            served: Spread::of(served),
        }
    }
}

/// The first of these times within a span.
fn first(times: Option<&Vec<u64>>, from_ms: u64, to_ms: u64) -> Option<u64> {
    let times = times?;
    let index = times.partition_point(|at| *at < from_ms);
    times.get(index).copied().filter(|at| *at <= to_ms)
}
