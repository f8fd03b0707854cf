//! What holding a group is expected to attain, and what a move costs.

use schema::settings::Weights;

use crate::catalog::{Group, Work};

/// Time over which an expectation is added up.
pub(crate) const HORIZON_S: f64 = 20.0;

/// Share of a loss that a gain has to exceed it by, against noise in the demand.
const MARGIN: f64 = 0.25;

/// Time in which an accelerator serves nobody while it changes over, besides
/// the load: running work ends, the unload and the heartbeats follow.
const CHANGE_S: f64 = 1.0;

/// Weighs gains, losses and moves in one currency.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Scale {
    attainment: f64,
    move_cost: f64,
    /// Part of the horizon for which a new holder serves.
    served_s: f64,
}

impl Scale {
    /// Takes the operators' weights and the duration of a load.
    pub(crate) fn new(weights: &Weights, load_s: f64) -> Self {
        Self {
            attainment: weights.attainment.max(0.0),
            move_cost: weights.move_cost.max(0.0),
            served_s: (HORIZON_S - load_s - CHANGE_S).max(HORIZON_S / 10.0),
        }
    }

    /// Worth attained with this many places in a time.
    fn attained(
        &self,
        group: &Group,
        places: f64,
        rate_per_s: f64,
        time_s: f64,
    ) -> f64 {
        let work = &group.work;
        let most = places.max(0.0) * time_s / work.service_s;
        let offered = work.waiting + rate_per_s * time_s;
        work.value * self.attainment * offered.min(most)
    }

    /// Worth of more places, which serve only once their holder is loaded.
    pub(crate) fn gain(&self, group: &Group, held: f64, more: f64) -> f64 {
        let rate = group.work.rate_per_s;
        let with = self.attained(group, held + more, rate, self.served_s);
        with - self.attained(group, held, rate, self.served_s)
    }

    /// Worth lost with some of the places held.
    pub(crate) fn loss(&self, group: &Group, held: f64, less: f64) -> f64 {
        let rate = group.work.rate_per_s.max(group.steady_rate_per_s);
        let with = self.attained(group, held, rate, HORIZON_S);
        with - self.attained(group, held - less, rate, HORIZON_S)
    }

    /// Worth of an adapter beside its base.
    pub(crate) fn adapter(&self, work: &Work) -> f64 {
        let offered = work.waiting + work.rate_per_s * HORIZON_S;
        work.value * self.attainment * offered
    }

    /// Whether a gain is worth a loss and a move.
    pub(crate) fn worth_move(&self, gain: f64, loss: f64) -> bool {
        gain > loss * (1.0 + MARGIN) + self.move_cost
    }

    /// Whether a gain is worth a loss, where the move has to be made anyway.
    pub(crate) fn worth_loss(&self, gain: f64, loss: f64) -> bool {
        gain > loss * (1.0 + MARGIN)
    }
}
