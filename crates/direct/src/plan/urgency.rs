//! What urgent and patient callers, and refusals, change in a plan that makes copies in
//! time.

use super::relief::CandidateMove;
use super::{CopyPlacement, HeldModel, LAST_COPY_LOSS, MIN_RESIDENCE_MS, PlanBuilder};
use crate::ModelSpec;

/// Cost of evicting the last copy of a model without demand where copies are made in
/// time. It keeps the place only against models that are no more requested.
const UNREQUESTED_COPY_LOSS: f64 = 0.05;

/// The same for a model with patient callers where copies are made in time. It comes back
/// from disk while they wait. With a higher cost, models with urgent callers find no
/// place; with a lower one, those with patient callers are loaded again and again.
const PATIENT_COPY_LOSS: f64 = 0.7;

/// Least relief, without the cost of the load, for which a model with patient callers
/// and no holder replaces another one before it is overdue. It allows evicting a model
/// without demand, or one of several copies with little load.
const PATIENT_MIN_RELIEF: f64 = -0.3;

/// Work, as a share of one upstream's time, from which on a model with patient callers
/// and no holder is loaded without waiting. More callers than the rest of its upstream
/// serves would be refused.
pub(super) const MIN_CROWDED_WORK: f64 = 0.5;

impl PlanBuilder<'_> {
    /// Whether requests wait for the model, or are refused where copies are made in
    /// time.
    pub(super) fn is_awaited(&self, model: usize) -> bool {
        let timely = self.timely.as_ref();
        let refused = timely.is_some_and(|timely| timely.is_refused(model));
        refused || self.model_facts[model].is_awaited()
    }

    /// Work, as a share of one upstream's time, of a model whose requests are refused.
    pub(super) fn awaited_work(&self, model: usize) -> f64 {
        let timely = self.timely.as_ref();
        if timely.is_some_and(|timely| timely.is_refused(model)) {
            self.weighted_sum(|forecast| forecast.expected[model])
        } else {
            0.0
        }
    }

    /// Whether copies are made in time and the model's callers aren't patient.
    pub(super) fn is_urgent(&self, model: usize) -> bool {
        let timely = self.timely.as_ref();
        timely.is_some_and(|timely| !timely.is_patient(model))
    }

    /// Whether a model without a holder is loaded at the placement now. Where copies
    /// are made in time, patient callers wait for a place that costs others little.
    pub(super) fn is_worth_waiting_for(
        &self,
        model: usize,
        placement: &CopyPlacement,
    ) -> bool {
        let patient = self.timely.is_some() && !self.is_urgent(model);
        let overdue = self.model_facts[model].overdue_ms > 0;
        let cheap = placement.relief > PATIENT_MIN_RELIEF && !placement.from_store;
        let crowded = self.awaited_work(model) > MIN_CROWDED_WORK;
        !patient || overdue || cheap || crowded
    }

    /// Time that a load takes. Where copies are made in time, a load from the memory of
    /// the host counts as such.
    pub(super) fn load_ms(&self, model: usize, spec: &ModelSpec, to: usize) -> f64 {
        let from_store = !self.upstreams[to].local_weights.contains(model);
        match &self.timely {
            Some(timely) => timely.load_ms(spec, model, to, from_store),
            None if from_store => spec.store_load_ms as f64,
            None => spec.disk_load_ms as f64,
        }
    }

    /// Relief of a move as far as the copy serves in time, after the unload and the load.
    pub(super) fn relief_in_time(&self, candidate: CandidateMove) -> f64 {
        let relief = self.relief(candidate) + self.overload_relief(candidate.model);
        let spec = self.model_facts[candidate.model].spec;
        match (&self.timely, spec) {
            (Some(timely), Some(spec)) if relief > 0.0 => {
                let drain_ms = candidate.victim.map(|victim| timely.drain_ms(victim));
                let load_ms = self.load_ms(candidate.model, spec, candidate.to);
                let ready_ms = drain_ms.unwrap_or(0.0) + load_ms;
                relief * timely.share_in_time(ready_ms, candidate.to)
            }
            _ => relief,
        }
    }

    /// Additional relief of one more copy of a model whose copies are overloaded: the
    /// refused work that it serves, at most an upstream's time.
    pub(super) fn overload_relief(&self, model: usize) -> f64 {
        let excess = self.awaited_work(model) - self.models.copy_count(model) as f64;
        excess.clamp(0.0, 1.0)
    }

    /// Whether copies are made in time and the model is known to have no demand.
    pub(super) fn is_unrequested(&self, model: usize) -> bool {
        let timely = self.timely.as_ref();
        timely.is_some_and(|timely| timely.demand_is_known)
            && !self.model_facts[model].is_wanted()
    }

    /// Cost of evicting the last copy of a model.
    pub(super) fn last_copy_loss(&self, victim: usize) -> f64 {
        let Some(timely) = &self.timely else {
            return LAST_COPY_LOSS;
        };
        if self.is_unrequested(victim) {
            UNREQUESTED_COPY_LOSS
        } else if timely.is_patient(victim) {
            PATIENT_COPY_LOSS
        } else {
            LAST_COPY_LOSS
        }
    }

    /// Whether a model was loaded too recently to be evicted. Where copies are made in
    /// time, a model that nobody requests may go at once.
    pub(super) fn is_recent(&self, held: &HeldModel) -> bool {
        !self.is_unrequested(held.model)
            && self.now.ms_since(held.since) < MIN_RESIDENCE_MS
    }
}
