//! What a plan weighs besides relief where copies have to be made in time.

use std::sync::Arc;

use super::index_set::IndexSet;
use super::model_index::ModelIndex;
use crate::target_spread::is_patient;
use crate::{CapacityPressure, ModelSpec};

/// Time for which a copy is of use, counted from the decision. It brings its relief for
/// what is left of this time once it serves. With less, loads that take seconds bring too
/// little to be decided soon; with more, a copy whose load outlasts its demand looks as
/// good as one that serves at once.
const COPY_IN_USE_MS: f64 = 12_000.0;

/// Least share of its relief that a copy counts however long it takes.
const MIN_SHARE: f64 = 0.1;

/// Time after which an order is given up if the upstream doesn't answer.
const UNANSWERED_MS: f64 = 1_200.0;

/// Time from the order to the moment at which entries know that a load has finished.
const ORDER_MS: f64 = 400.0;

/// Engine time of a request of unknown size.
const DEFAULT_REQUEST_MS: f64 = 100.0;

/// What callers tolerate, by model index.
#[derive(Debug, Default, Clone, Copy)]
struct Tolerance {
    target_ms: u64,
    run_ms: u64,
    refused: bool,
}

/// Facts for a plan that makes copies in time.
#[derive(Debug)]
pub(super) struct TimelyFacts {
    models: Vec<Tolerance>,
    /// By model, whether its callers are patient beside those of some other model.
    patient: Vec<bool>,
    /// By upstream, the models in the memory of its host.
    in_memory: Vec<IndexSet>,
    /// By upstream, whether it left an order without an answer.
    unanswering: Vec<bool>,
    request_ms: f64,
    /// By model, the expected time that the unload of a copy waits for running requests.
    drains_ms: Vec<f64>,
    pub(super) any_refused: bool,
    /// Whether demand was observed for long enough to know which models have none.
    pub(super) demand_is_known: bool,
}

impl TimelyFacts {
    pub(super) fn new(
        pressure: &CapacityPressure,
        models: &mut ModelIndex,
        upstreams: &[&Arc<str>],
        request_ms: f64,
        demand_is_known: bool,
    ) -> Self {
        let in_memory = upstreams.iter().map(|upstream| {
            let mut set = IndexSet::default();
            for model in pressure.in_memory.get(*upstream).into_iter().flatten() {
                set.insert(models.intern(model));
            }
            set
        });
        let in_memory = in_memory.collect();
        let unanswering = upstreams.iter();
        let unanswering =
            unanswering.map(|upstream| pressure.unanswering.contains(*upstream));
        let tolerances = models.names().iter().map(|name| {
            let known = pressure.models.get(name);
            known.map_or_else(Tolerance::default, |known| Tolerance {
                target_ms: known.shortest_target_ms,
                run_ms: known.longest_run_ms,
                refused: known.is_refused(),
            })
        });
        let tolerances: Vec<Tolerance> = tolerances.collect();
        let targets = tolerances.iter().map(|tolerance| tolerance.target_ms);
        let shortest = targets.filter(|target_ms| *target_ms > 0).min();
        let patient = tolerances.iter().map(|tolerance| {
            shortest.is_some_and(|shortest| is_patient(tolerance.target_ms, shortest))
        });
        Self {
            patient: patient.collect(),
            models: tolerances,
            in_memory,
            unanswering: unanswering.collect(),
            request_ms: if request_ms > 0.0 {
                request_ms
            } else {
                DEFAULT_REQUEST_MS
            },
            drains_ms: Vec::new(),
            any_refused: pressure.has_refusals(),
            demand_is_known,
        }
    }

    pub(super) fn is_refused(&self, model: usize) -> bool {
        self.models[model].refused
    }

    /// Whether callers of `model` wait for so long that those of `other` go first.
    pub(super) fn is_patient_beside(&self, model: usize, other: usize) -> bool {
        is_patient(self.models[model].target_ms, self.models[other].target_ms)
    }

    /// Whether callers of the model are patient beside those of some other model.
    pub(super) fn is_patient(&self, model: usize) -> bool {
        self.patient[model]
    }

    /// Time that a load takes from where the upstream has the weights.
    pub(super) fn load_ms(
        &self,
        spec: &ModelSpec,
        model: usize,
        upstream: usize,
        from_store: bool,
    ) -> f64 {
        let ms = if from_store {
            spec.store_load_ms
        } else if self.in_memory[upstream].contains(model) {
            spec.memory_load_ms
        } else {
            spec.disk_load_ms
        };
        ms as f64
    }

    /// Sets the expected times that unloads wait, by the share of an upstream's time that
    /// each copy of a model has: the longest run, by the probability that any request is
    /// running.
    pub(super) fn update_drains(&mut self, shares: impl Iterator<Item = f64>) {
        let drains = self.models.iter().zip(shares).map(|(tolerance, share)| {
            let run_ms = tolerance.run_ms as f64;
            let running = share / self.request_ms * run_ms;
            run_ms * (1.0 - (-running).exp())
        });
        self.drains_ms = drains.collect();
    }

    /// Expected time that the unload of a copy waits for running requests.
    pub(super) fn drain_ms(&self, model: usize) -> f64 {
        self.drains_ms[model]
    }

    /// Share of its relief that a copy brings if it serves after `ready_ms`.
    pub(super) fn share_in_time(&self, ready_ms: f64, upstream: usize) -> f64 {
        let unanswered_ms = if self.unanswering[upstream] {
            UNANSWERED_MS
        } else {
            0.0
        };
        let ready_ms = ready_ms + ORDER_MS + unanswered_ms;
        (1.0 - ready_ms / COPY_IN_USE_MS).max(MIN_SHARE)
    }
}
