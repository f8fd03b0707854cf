//! Counts requests by time and model.

use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

use super::{ANSWERED, arrival_ms, base_model, outcome_with_reason};
use crate::history::LogLine;

/// Most models of a slice that are printed as text.
const MODELS_SHOWN: usize = 4;

/// Requests that arrived in one time slice.
#[derive(Debug, Default, Serialize)]
pub struct TimeSlice {
    /// Start of the slice, in milliseconds since the Unix epoch.
    pub from_ms: u64,
    /// Upstreams that any of the requests was sent to.
    pub upstreams: BTreeSet<String>,
    /// Counts by model; the models with most lost requests are first.
    pub models: Vec<ModelSlice>,
}

/// Requests for one model in one time slice.
#[derive(Debug, Default, Serialize)]
pub struct ModelSlice {
    /// Model.
    pub model: String,
    /// Number of requests.
    #[serde(rename = "asked")]
    pub requests: u64,
    /// Number of requests that were not answered, by outcome and reason.
    pub lost: BTreeMap<String, u64>,
    /// Number of attempts by upstream.
    #[serde(rename = "tries")]
    pub attempts: BTreeMap<String, u64>,
}

impl ModelSlice {
    fn lost_count(&self) -> u64 {
        self.lost.values().sum()
    }

    fn to_line(&self) -> String {
        let mut attempts: Vec<u64> = self.attempts.values().copied().collect();
        attempts.sort_unstable_by(|a, b| b.cmp(a));
        let attempts: Vec<String> = attempts.iter().map(ToString::to_string).collect();
        let lost: Vec<String> = self
            .lost
            .iter()
            .map(|(reason, count)| format!("{reason} {count}"))
            .collect();
        format!(
            "    {}: {} asked, tries at {} upstreams ({}); {}",
            self.model,
            self.requests,
            attempts.len(),
            attempts.join(" "),
            lost.join("; ")
        )
    }
}

impl TimeSlice {
    pub(super) fn to_lines(&self, from_ms: u64) -> Vec<String> {
        let requests: u64 = self.models.iter().map(|model| model.requests).sum();
        let lost: u64 = self.models.iter().map(ModelSlice::lost_count).sum();
        let summary = format!(
            "  {:+8} ms: {requests} asked, {lost} lost, {} upstreams in use",
            self.from_ms as i128 - from_ms as i128,
            self.upstreams.len()
        );
        let losing = self.models.iter().filter(|model| !model.lost.is_empty());
        let models = losing.take(MODELS_SHOWN).map(ModelSlice::to_line);
        std::iter::once(summary).chain(models).collect()
    }
}

/// Collects the counts while logs are read.
#[derive(Debug)]
pub(super) struct SliceCounter {
    slice_ms: u64,
    slices: BTreeMap<u64, BTreeMap<String, ModelSlice>>,
    first_ms: Option<u64>,
}

impl SliceCounter {
    pub(super) fn new(slice_ms: u64) -> Self {
        Self {
            slice_ms: slice_ms.max(1),
            slices: BTreeMap::new(),
            first_ms: None,
        }
    }

    pub(super) fn record(&mut self, line: &LogLine) {
        let Some(model) = base_model(line) else {
            return;
        };
        let arrival_ms = arrival_ms(line);
        self.first_ms = Some(
            self.first_ms
                .map_or(arrival_ms, |first| first.min(arrival_ms)),
        );
        let models = self.slices.entry(arrival_ms / self.slice_ms).or_default();
        let counts = models.entry(model.to_owned()).or_default();
        counts.requests += 1;
        if line.str_field("outcome") != Some(ANSWERED) {
            *counts.lost.entry(outcome_with_reason(line)).or_default() += 1;
        }
        for (upstream, _) in line.attempts() {
            *counts.attempts.entry(upstream.to_owned()).or_default() += 1;
        }
    }

    pub(super) fn first_ms(&self) -> u64 {
        self.first_ms.unwrap_or(0)
    }

    pub(super) fn finish(self) -> Vec<TimeSlice> {
        let slice_ms = self.slice_ms;
        let slices = self.slices.into_iter().map(|(number, models)| {
            let upstreams = models
                .values()
                .flat_map(|counts| counts.attempts.keys().cloned());
            let upstreams = upstreams.collect();
            let mut models: Vec<ModelSlice> = models
                .into_iter()
                .map(|(model, counts)| ModelSlice { model, ..counts })
                .collect();
            models.sort_by_key(|counts| {
                std::cmp::Reverse((counts.lost_count(), counts.requests))
            });
            TimeSlice {
                from_ms: number * slice_ms,
                upstreams,
                models,
            }
        });
        slices.collect()
    }
}
