//! Spare copies of urgent models, ahead of shifts of demand.

use super::relief::per_copy_load;
use super::{CopyPlacement, MAX_PLANNED_LOADS, PlanBuilder};
use crate::LoadReason;

/// Time for which the weight store's rate is left for loads that are needed now. Otherwise
/// spare copies use it up where few models are on disk, and copies of overloaded models
/// wait.
const RESERVED_STORE_S: f64 = 3.0;

/// Share of the upstreams, in percent, that may carry out orders when a spare copy is
/// loaded. The others stay free for orders that are needed now.
const MAX_BUSY_PERCENT: usize = 40;

/// Share of the upstreams, in percent, that hold an urgent model or have its weights on
/// disk when no spare copy of it is loaded. With fewer, a model that becomes the busiest
/// has to come from the weight store. Without the bound, spare copies would be loaded for
/// as long as demand lasts, and upstreams accept no adapter orders meanwhile.
const ENOUGH_REACH_PERCENT: usize = 15;

/// Load, as a share of one upstream's time, up to which each copy of a model may be
/// left when one makes room for a spare copy of another model.
const MAX_LOAD_LEFT: f64 = 0.25;

/// Ratio of the times of a load from the weight store and from disk from which on a
/// spare copy pays. Below it, the later load from disk saves less than the order that
/// puts it there takes.
const MIN_STORE_DISK_RATIO: u64 = 2;

impl PlanBuilder<'_> {
    /// Loads further copies of urgent models in place of models that nobody requests and
    /// of copies with little load, on upstreams that have no local weights of them.
    ///
    /// A load from the weight store takes most of the time for which demand stays with a
    /// model; one from disk takes about a second. When demand shifts to a model with a
    /// spare copy, the copy serves at once, and where it was replaced meanwhile, it is
    /// loaded from disk.
    pub(super) fn load_spare_copies(&mut self) {
        let reserved = self.engine.store_loads_per_s * RESERVED_STORE_S;
        let busy = self.upstreams.iter().filter(|upstream| !upstream.idle);
        let busy = busy.count();
        let max_busy = self.upstreams.len() * MAX_BUSY_PERCENT / 100;
        for _ in busy..max_busy {
            if self.planned.len() >= MAX_PLANNED_LOADS
                || self.store_loads_left as f64 <= reserved
            {
                return;
            }
            let Some((model, placement)) = self.best_spare_copy() else {
                return;
            };
            self.commit(model, &placement, LoadReason::Spare);
        }
    }

    /// The urgent model that the fewest upstreams hold or have weights of, and the place
    /// for one more copy that costs other models least.
    fn best_spare_copy(&self) -> Option<(usize, CopyPlacement)> {
        let urgent = (0..self.models.len()).filter(|model| {
            self.is_urgent(*model) && self.model_facts[*model].is_wanted()
        });
        let mut urgent: Vec<(usize, usize)> =
            urgent.map(|model| (self.reach(model), model)).collect();
        urgent.sort_unstable();
        let enough = (self.upstreams.len() * ENOUGH_REACH_PERCENT / 100).max(1);
        let mut few = urgent.into_iter().filter(|(reach, _)| *reach < enough);
        few.find_map(|(_, model)| {
            let placement = self.spare_placement(model)?;
            Some((model, placement))
        })
    }

    /// Number of upstreams that hold the model or can load it without the weight store.
    fn reach(&self, model: usize) -> usize {
        let upstreams = self.upstreams.iter();
        let within_reach = upstreams.filter(|upstream| {
            upstream.local_weights.contains(model) || upstream.holds(model)
        });
        within_reach.count()
    }

    fn spare_placement(&self, model: usize) -> Option<CopyPlacement> {
        let spec = self.model_facts[model].spec?;
        let timely = self.timely.as_ref()?;
        if !timely.demand_is_known
            || spec.store_load_ms < spec.disk_load_ms * MIN_STORE_DISK_RATIO
        {
            return None;
        }
        let size_mb = spec.weights_mb;
        let mut best: Option<(f64, usize, Option<usize>)> = None;
        for (index, upstream) in self.upstreams.iter().enumerate() {
            let has_weights = upstream.local_weights.contains(model);
            if !upstream.idle || has_weights || upstream.holds(model) {
                continue;
            }
            if upstream.free_mb >= size_mb {
                best = Some((0.0, index, None));
                break;
            }
            for (victim, held) in upstream.models.iter().enumerate() {
                let fits = upstream.free_mb + held.size_mb >= size_mb;
                if !fits || held.unloading || self.is_recent(held) {
                    continue;
                }
                let load_left = self.load_left(held.model, model);
                if load_left.is_some_and(|load| {
                    load <= MAX_LOAD_LEFT && best.is_none_or(|(least, ..)| load < least)
                }) {
                    best = Some((load_left?, index, Some(victim)));
                }
            }
        }
        best.map(|(_, upstream, victim)| CopyPlacement {
            upstream,
            victim,
            from_store: true,
            relief: 0.0,
            net_relief: 0.0,
        })
    }

    /// Load of each remaining copy of `victim` without one of them, or `None` if it has
    /// no copy to give away for one more of `model`.
    fn load_left(&self, victim: usize, model: usize) -> Option<f64> {
        if self.is_unrequested(victim) {
            return Some(0.0);
        }
        let copies = self.models.copy_count(victim);
        let can_give = copies > self.models.copy_count(model) + 1;
        let work = self.weighted_sum(|forecast| forecast.retained[victim]);
        can_give.then(|| per_copy_load(work, copies - 1))
    }
}
