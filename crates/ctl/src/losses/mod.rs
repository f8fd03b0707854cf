//! Where requests are lost, from the logs of entries.
//!
//! Each entry writes one line for each request and each order. Added up by time and by
//! model they tell what binds: refusals while few upstreams hold a model that many ask
//! for, how long a copy takes from being wanted to its first request, and the time in
//! which nobody led. A log is read once, and what is kept grows with the requests that
//! were sent, by a time each.

mod leader;
mod moves;
mod slices;

use serde::Serialize;
use std::collections::BTreeMap;
use std::path::PathBuf;

use crate::CtlError;
use crate::trail::{Line, each_line};
pub use leader::Gap;
use leader::Leaders;
use moves::Moved;
pub use moves::Parts;
use slices::Slices;
pub use slices::{ModelSlice, Slice};

/// What the logs tell of lost requests.
#[derive(Debug, Serialize)]
pub struct Losses {
    /// Time of the first line that counts: the first request's arrival.
    pub from_ms: u64,
    /// Requests by outcome and by why no upstream was found at last.
    pub outcomes: BTreeMap<String, u64>,
    /// The same by time and model.
    pub slices: Vec<Slice>,
    /// Times in which no entry led.
    pub without_leader: Vec<Gap>,
    /// How long the parts of moves took.
    pub moves: Parts,
    /// Lines that are none of a log.
    pub unread: usize,
}

/// Adds up what logs tell, by slices of `slice_ms` milliseconds.
///
/// # Errors
///
/// A file can't be read.
pub fn losses(files: &[PathBuf], slice_ms: u64) -> Result<Losses, CtlError> {
    let mut outcomes: BTreeMap<String, u64> = BTreeMap::new();
    let mut slices = Slices::new(slice_ms);
    let mut leaders = Leaders::default();
    let mut moved = Moved::default();
    let unread = each_line(files, |line| {
        leaders.take(&line);
        moved.take(&line);
        if line.event == "request" {
            *outcomes.entry(ending(&line)).or_default() += 1;
            slices.take(&line);
        }
    })?;
    let from_ms = slices.first_ms();
    Ok(Losses {
        from_ms,
        outcomes,
        slices: slices.told(),
        without_leader: leaders.gaps(from_ms),
        moves: moved.parts(),
        unread,
    })
}

/// How a request ended, with why no upstream was found for its last try.
fn ending(line: &Line) -> String {
    let outcome = line.text("outcome").unwrap_or("unknown");
    match line.last_unpicked() {
        Some(why) if outcome != ANSWERED => format!("{outcome}, {why}"),
        _ => outcome.to_owned(),
    }
}

/// Outcome of a request that was answered, in the entries' words.
const ANSWERED: &str = "answered";

/// When a request arrived.
fn arrived_ms(line: &Line) -> u64 {
    line.t_ms.saturating_sub(line.number("ms").unwrap_or(0))
}

/// The model of a request, without an adapter.
fn model(line: &Line) -> Option<&str> {
    let model = line.text("model")?;
    Some(model.split_once('/').map_or(model, |(model, _)| model))
}

impl Losses {
    /// The losses as text.
    pub fn told(&self) -> Vec<String> {
        let mut told = vec!["requests by how they ended".to_owned()];
        let outcomes = self.outcomes.iter();
        told.extend(outcomes.map(|(outcome, count)| format!("  {count:7}  {outcome}")));
        told.push(String::new());
        told.push("by time, and the models that lost most".to_owned());
        told.extend(
            self.slices
                .iter()
                .flat_map(|slice| slice.told(self.from_ms)),
        );
        told.push(String::new());
        let without_ms: u64 = self.without_leader.iter().map(Gap::ms).sum();
        told.push(format!("without a leader: {without_ms} ms"));
        let gaps = self.without_leader.iter();
        told.extend(gaps.map(|gap| gap.told(self.from_ms)));
        told.push(String::new());
        told.push("moves, in ms: median, nine in ten, longest, how many".to_owned());
        told.extend(self.moves.told());
        if self.unread > 0 {
            told.push(format!("{} lines could not be read", self.unread));
        }
        told
    }
}
