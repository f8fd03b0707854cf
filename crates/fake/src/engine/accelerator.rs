//! One accelerator: the models in its memory, its batch and its queue.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::prefix_cache::PrefixCache;
use super::run::{Run, StepOutcome};
use super::{Counts, EngineOptions};

/// A model or adapter in an accelerator's memory, as `GET /admin/state` reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resident {
    /// Name of the model or adapter.
    pub model: String,
    /// Version of the model or adapter.
    pub version: u32,
    /// Index of the accelerator.
    pub accelerator: u32,
    /// Memory that it occupies.
    pub size_mib: u32,
    /// Whether it is loading, usable or unloading.
    pub state: ResidentState,
    /// Base model, for an adapter.
    #[serde(skip)]
    pub base: Option<String>,
    /// Orders that finish when the current load or unload does.
    #[serde(skip)]
    pub(super) orders: Vec<u64>,
}

/// State of a resident.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ResidentState {
    /// Weights are being transferred.
    Loading,
    /// Requests are served.
    Loaded,
    /// Memory is being freed.
    Unloading,
}

#[derive(Debug)]
pub(super) struct Accelerator {
    pub(super) capacity_mib: u32,
    pub(super) residents: Vec<Resident>,
    pub(super) running: Vec<Run>,
    /// Queue, by descending priority and then by arrival.
    pub(super) waiting: Vec<Run>,
    prefix_cache: PrefixCache,
}

impl Accelerator {
    pub(super) fn new(capacity_mib: u32, prefix_blocks: usize) -> Self {
        Self {
            capacity_mib,
            residents: Vec::new(),
            running: Vec::new(),
            waiting: Vec::new(),
            prefix_cache: PrefixCache::new(prefix_blocks),
        }
    }

    /// Drops memory, batch, queue and prefix cache, as a crash does.
    pub(super) fn reset(&mut self, prefix_blocks: usize) {
        *self = Self::new(self.capacity_mib, prefix_blocks);
    }

    pub(super) fn used_mib(&self) -> u64 {
        let sizes = self
            .residents
            .iter()
            .map(|resident| u64::from(resident.size_mib));
        sizes.sum()
    }

    pub(super) fn find_resident(
        &mut self,
        model: &str,
        version: u32,
    ) -> Option<&mut Resident> {
        self.residents
            .iter_mut()
            .find(|resident| resident.model == model && resident.version == version)
    }

    /// Returns the loaded resident that can serve a model. An adapter can be served only
    /// if its base model is loaded too.
    pub(super) fn find_servable(
        &self,
        model: &str,
        version: Option<u32>,
    ) -> Option<&Resident> {
        let loaded = |resident: &&Resident| resident.state == ResidentState::Loaded;
        let mut residents = self.residents.iter().filter(loaded);
        let resident = residents.find(|resident| {
            resident.model == model
                && version.is_none_or(|version| resident.version == version)
        })?;
        let base_loaded = |base: &String| {
            let mut residents = self.residents.iter().filter(loaded);
            residents.any(|other| other.model == *base)
        };
        resident
            .base
            .as_ref()
            .is_none_or(base_loaded)
            .then_some(resident)
    }

    /// Aborts the runs that use a model, waiting ones too, and returns their number.
    pub(super) fn abort_runs(&mut self, model: &str, version: u32) -> u64 {
        let before = self.running.len() + self.waiting.len();
        self.running.retain(|run| !run.uses_model(model, version));
        self.waiting.retain(|run| !run.uses_model(model, version));
        (before - self.running.len() - self.waiting.len()) as u64
    }

    pub(super) fn enqueue(&mut self, run: Run) {
        let index = self
            .waiting
            .iter()
            .position(|other| other.priority < run.priority)
            .unwrap_or(self.waiting.len());
        self.waiting.insert(index, run);
    }

    pub(super) fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    pub(super) fn next_batch_size(&self, slots: usize) -> usize {
        (self.running.len() + self.waiting.len()).min(slots)
    }

    /// Runs one step of the batch. Returns whether a request crashed the engine.
    pub(super) fn step(
        &mut self,
        options: &EngineOptions,
        counts: &mut Counts,
    ) -> bool {
        if self.fill_batch(options.slots, counts) {
            return true;
        }
        let prefill_tokens = options.prefill_tokens_per_step.max(1);
        self.running.retain_mut(|run| {
            let first_token = run.next_token;
            let outcome = run.step(prefill_tokens);
            counts.tokens += run.next_token - first_token;
            match outcome {
                StepOutcome::Continue => return true,
                StepOutcome::Finished => counts.finished += 1,
                StepOutcome::Aborted => counts.cut += 1,
                StepOutcome::Cancelled => counts.cancelled += 1,
            }
            false
        });
        false
    }

    /// Moves waiting runs into the batch. Returns whether one of them crashes the engine.
    fn fill_batch(&mut self, slots: usize, counts: &mut Counts) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|run| !run.events.is_closed());
        counts.cancelled += (before - self.waiting.len()) as u64;
        while self.running.len() < slots && !self.waiting.is_empty() {
            let mut run = self.waiting.remove(0);
            let seed = xxh3_64(run.model.as_bytes()) ^ u64::from(run.version);
            let cached = self.prefix_cache.lookup_and_insert(seed, &run.prompt);
            let cached = cached.min(run.prefill_remaining);
            run.prefill_remaining -= cached;
            counts.cached_tokens += cached;
            counts.prefilled_tokens += run.prefill_remaining;
            counts.runs += 1;
            *counts
                .runs_by_request
                .entry(run.request_id.clone())
                .or_default() += 1;
            let crashes_engine = run.crashes_engine;
            self.running.push(run);
            if crashes_engine {
                return true;
            }
        }
        false
    }
}
