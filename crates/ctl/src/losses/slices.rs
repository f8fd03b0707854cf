//! Requests by time and model.

use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

use super::{ANSWERED, arrived_ms, ending, model};
use crate::trail::Line;

/// Models told of a slice in text.
const MODELS_TOLD: usize = 4;

/// Requests that arrived in one slice of time.
#[derive(Debug, Default, Serialize)]
pub struct Slice {
    /// Start of the slice.
    pub from_ms: u64,
    /// Upstreams that any request was sent to.
    pub upstreams: BTreeSet<String>,
    /// The same by model, those that lost most first.
    pub models: Vec<ModelSlice>,
}

/// Requests for one model in one slice of time.
#[derive(Debug, Default, Serialize)]
pub struct ModelSlice {
    /// Model.
    pub model: String,
    /// Requests.
    pub asked: u64,
    /// Those that were not answered, by why.
    pub lost: BTreeMap<String, u64>,
    /// Tries by upstream.
    pub tries: BTreeMap<String, u64>,
}

impl ModelSlice {
    fn lost_count(&self) -> u64 {
        self.lost.values().sum()
    }

    fn told(&self) -> String {
        let mut tries: Vec<u64> = self.tries.values().copied().collect();
        tries.sort_unstable_by(|a, b| b.cmp(a));
        let tries: Vec<String> = tries.iter().map(ToString::to_string).collect();
        let lost: Vec<String> = self
            .lost
            .iter()
            .map(|(why, count)| format!("{why} {count}"))
            .collect();
        format!(
            "    {}: {} asked, tries at {} upstreams ({}); {}",
            self.model,
            self.asked,
            tries.len(),
            tries.join(" "),
            lost.join("; ")
        )
    }
}

impl Slice {
    pub(super) fn told(&self, from_ms: u64) -> Vec<String> {
        let asked: u64 = self.models.iter().map(|model| model.asked).sum();
        let lost: u64 = self.models.iter().map(ModelSlice::lost_count).sum();
        let head = format!(
            "  {:+8} ms: {asked} asked, {lost} lost, {} upstreams in use",
            self.from_ms as i128 - from_ms as i128,
            self.upstreams.len()
        );
        let losing = self.models.iter().filter(|model| !model.lost.is_empty());
        let models = losing.take(MODELS_TOLD).map(ModelSlice::told);
        std::iter::once(head).chain(models).collect()
    }
}

/// Slices while logs are read.
#[derive(Debug)]
pub(super) struct Slices {
    slice_ms: u64,
    slices: BTreeMap<u64, BTreeMap<String, ModelSlice>>,
    first_ms: Option<u64>,
}

impl Slices {
    pub(super) fn new(slice_ms: u64) -> Self {
        Self {
            slice_ms: slice_ms.max(1),
            slices: BTreeMap::new(),
            first_ms: None,
        }
    }

    pub(super) fn take(&mut self, line: &Line) {
        let Some(model) = model(line) else {
            return;
        };
        let at_ms = arrived_ms(line);
        self.first_ms = Some(self.first_ms.map_or(at_ms, |first| first.min(at_ms)));
        let models = self.slices.entry(at_ms / self.slice_ms).or_default();
        let of = models.entry(model.to_owned()).or_default();
        of.asked += 1;
        if line.text("outcome") != Some(ANSWERED) {
            *of.lost.entry(ending(line)).or_default() += 1;
        }
        for (upstream, _) in line.tries() {
            *of.tries.entry(upstream.to_owned()).or_default() += 1;
        }
    }

    pub(super) fn first_ms(&self) -> u64 {
        self.first_ms.unwrap_or(0)
    }

    pub(super) fn told(self) -> Vec<Slice> {
        let slice_ms = self.slice_ms;
        let slices = self.slices.into_iter().map(|(number, models)| {
            let upstreams = models.values().flat_map(|of| of.tries.keys().cloned());
            let upstreams = upstreams.collect();
            let mut models: Vec<ModelSlice> = models
                .into_iter()
                .map(|(model, of)| ModelSlice { model, ..of })
                .collect();
            models.sort_by_key(|of| std::cmp::Reverse((of.lost_count(), of.asked)));
            Slice {
                from_ms: number * slice_ms,
                upstreams,
                models,
            }
        });
        slices.collect()
    }
}
