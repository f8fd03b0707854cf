//! Expected value of holding a group, and the cost of a move.

use schema::settings::Weights;

use crate::catalog::{Demand, ModelGroup};

/// Length of the time over which expected values are compared.
pub(crate) const HORIZON_S: f64 = 20.0;

/// Fraction of the loss by which a gain must exceed it, to tolerate noise in the
/// demand.
const GAIN_MARGIN: f64 = 0.25;

/// Time besides the load during which an accelerator serves nobody while it
/// switches models: running requests finish, the old model is unloaded, and
/// heartbeats report it.
const SWITCH_OVER_S: f64 = 1.0;

/// Computes gains, losses and the cost of moves in one unit of value.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CostModel {
    /// Configured weight of the value of requests that meet their latency
    /// targets.
    attainment: f64,
    /// Configured cost of one move, in the same unit as gains and losses.
    move_cost: f64,
    /// Part of the horizon during which a newly loaded replica serves requests.
    serving_s: f64,
}

impl CostModel {
    /// Creates the cost model from the configured weights and the duration of a
    /// load.
    pub(crate) fn new(weights: &Weights, load_s: f64) -> Self {
        Self {
            attainment: weights.attainment.max(0.0),
            move_cost: weights.move_cost.max(0.0),
            serving_s: (HORIZON_S - load_s - SWITCH_OVER_S).max(HORIZON_S / 10.0),
        }
    }

    /// Expected value of the requests that a number of batch slots serves in a
    /// time.
    fn attained_value(
        &self,
        group: &ModelGroup,
        slots: f64,
        rate_per_s: f64,
        time_s: f64,
    ) -> f64 {
        let demand = &group.demand;
        let capacity = slots.max(0.0) * time_s / demand.service_s;
        let offered = demand.waiting + rate_per_s * time_s;
        demand.value * self.attainment * offered.min(capacity)
    }

    /// Value gained by adding slots, which serve only once their model is loaded.
    pub(crate) fn gain(&self, group: &ModelGroup, slots: f64, added: f64) -> f64 {
        let rate = group.demand.rate_per_s;
        let after = self.attained_value(group, slots + added, rate, self.serving_s);
        after - self.attained_value(group, slots, rate, self.serving_s)
    }

    /// Value lost by removing some of the slots.
    pub(crate) fn loss(&self, group: &ModelGroup, slots: f64, removed: f64) -> f64 {
        let rate = group.demand.rate_per_s.max(group.long_term_rate_per_s);
        let before = self.attained_value(group, slots, rate, HORIZON_S);
        before - self.attained_value(group, slots - removed, rate, HORIZON_S)
    }

    /// Value of holding an adapter next to its base model.
    pub(crate) fn adapter_value(&self, demand: &Demand) -> f64 {
        let offered = demand.waiting + demand.rate_per_s * HORIZON_S;
        demand.value * self.attainment * offered
    }

    /// Whether a gain justifies a loss plus the cost of a move.
    pub(crate) fn justifies_move(&self, gain: f64, loss: f64) -> bool {
        gain > loss * (1.0 + GAIN_MARGIN) + self.move_cost
    }

    /// Whether a gain justifies a loss when the move has to be made anyway.
    pub(crate) fn justifies_loss(&self, gain: f64, loss: f64) -> bool {
        gain > loss * (1.0 + GAIN_MARGIN)
    }
}
