//! One accelerator: the models in its memory, its batch and its queue.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::prefix::PrefixCache;
use super::run::{After, Run};
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
    prefixes: PrefixCache,
}

impl Accelerator {
    pub(super) fn new(capacity_mib: u32, prefix_blocks: usize) -> Self {
        Self {
            capacity_mib,
            residents: Vec::new(),
            running: Vec::new(),
            waiting: Vec::new(),
            prefixes: PrefixCache::new(prefix_blocks),
        }
    }

    /// Drops memory, batch, queue and prefix cache, as a crash does.
    pub(super) fn clear(&mut self, prefix_blocks: usize) {
        *self = Self::new(self.capacity_mib, prefix_blocks);
    }

    pub(super) fn used_mib(&self) -> u64 {
        let sizes = self.residents.iter().map(|held| u64::from(held.size_mib));
        sizes.sum()
    }

    pub(super) fn find(&mut self, model: &str, version: u32) -> Option<&mut Resident> {
        self.residents
            .iter_mut()
            .find(|held| held.model == model && held.version == version)
    }

    /// Returns the loaded resident that can serve a model. An adapter can be served only
    /// if its base model is loaded too.
    pub(super) fn serves(
        &self,
        model: &str,
        version: Option<u32>,
    ) -> Option<&Resident> {
        let loaded = |held: &&Resident| held.state == ResidentState::Loaded;
        let mut residents = self.residents.iter().filter(loaded);
        let held = residents.find(|held| {
            held.model == model && version.is_none_or(|version| held.version == version)
        })?;
        let base_loaded = |base: &String| {
            let mut residents = self.residents.iter().filter(loaded);
            residents.any(|other| other.model == *base)
        };
        held.base.as_ref().is_none_or(base_loaded).then_some(held)
    }

    /// Aborts the runs that use a model, waiting ones too, and returns their number.
    pub(super) fn cut_runs(&mut self, model: &str, version: u32) -> u64 {
        let before = self.running.len() + self.waiting.len();
        self.running.retain(|run| !run.needs(model, version));
        self.waiting.retain(|run| !run.needs(model, version));
        (before - self.running.len() - self.waiting.len()) as u64
    }

    pub(super) fn enqueue(&mut self, run: Run) {
        let place = self
            .waiting
            .iter()
            .position(|other| other.priority < run.priority)
            .unwrap_or(self.waiting.len());
        self.waiting.insert(place, run);
    }

    pub(super) fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    pub(super) fn batch_after_admission(&self, slots: usize) -> usize {
        (self.running.len() + self.waiting.len()).min(slots)
    }

    /// Runs one step of the batch. Returns whether a request crashed the engine.
    pub(super) fn step(
        &mut self,
        options: &EngineOptions,
        counts: &mut Counts,
    ) -> bool {
        if self.admit(options.slots, counts) {
            return true;
        }
        let prefill_tokens = options.prefill_tokens_per_step.max(1);
        self.running.retain_mut(|run| {
            let next = run.next;
            let after = run.step(prefill_tokens);
            counts.tokens += run.next - next;
            match after {
                After::GoesOn => return true,
                After::Finished => counts.finished += 1,
                After::Cut => counts.cut += 1,
                After::Cancelled => counts.cancelled += 1,
            }
            false
        });
        false
    }

    /// Moves waiting runs into the batch. Returns whether one of them crashes the engine.
    fn admit(&mut self, slots: usize, counts: &mut Counts) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|run| !run.events.is_closed());
        counts.cancelled += (before - self.waiting.len()) as u64;
        while self.running.len() < slots && !self.waiting.is_empty() {
            let mut run = self.waiting.remove(0);
            let seed = xxh3_64(run.model.as_bytes()) ^ u64::from(run.version);
            let cached = self.prefixes.admit(seed, &run.prompt);
            let cached = cached.min(run.prefill_left);
            run.prefill_left -= cached;
            counts.cached_tokens += cached;
            counts.prefilled_tokens += run.prefill_left;
            counts.runs += 1;
            *counts
                .runs_by_request
                .entry(run.request.clone())
                .or_default() += 1;
            let crashes = run.crashes;
            self.running.push(run);
            if crashes {
                return true;
            }
        }
        false
    }
}
