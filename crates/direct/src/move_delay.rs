//! Why the decision to load a model came when it did.

use base::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;

use crate::{DemandEstimate, DemandPressure};

/// What kept a model whose requests are refused from getting one more copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum MoveObstacle {
    /// Every other upstream that doesn't hold the model carries out an order or
    /// accepts none.
    UpstreamsBusy,
    /// The load rate of the weight store is used up.
    StoreRate,
    /// What could make room was loaded too recently.
    Residence,
    /// What could make room is the last copy of a model in demand.
    LastCopies,
    /// One more copy would cost more than it brings.
    Cost,
    /// The plan has the maximum number of loads.
    PlanFull,
}

impl MoveObstacle {
    /// Value of the obstacle in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::UpstreamsBusy => "upstreams_busy",
            Self::StoreRate => "store_rate",
            Self::Residence => "residence",
            Self::LastCopies => "last_copies",
            Self::Cost => "cost",
            Self::PlanFull => "plan_full",
        }
    }
}

/// How late a load was decided, and why.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MoveDelay {
    /// Time since the planner first saw the model's present demand.
    pub demand_age_ms: u64,
    /// Time since the planner first saw that requests for the model are refused, if
    /// they are.
    pub first_refused_ms_ago: Option<u64>,
    /// What most plans since then met.
    pub blocked_by: Option<MoveObstacle>,
}

/// Delays of the models in demand.
#[derive(Debug, Default)]
pub(crate) struct MoveDelays {
    models: BTreeMap<Arc<str>, ModelDelay>,
}

#[derive(Debug, Default)]
struct ModelDelay {
    demand_since: Instant,
    refused_since: Option<Instant>,
    obstacles: BTreeMap<MoveObstacle, u32>,
}

impl MoveDelays {
    /// Records which models are in demand and refused now.
    pub(crate) fn observe(
        &mut self,
        now: Instant,
        demand: &BTreeMap<Arc<str>, DemandEstimate>,
        pressures: &BTreeMap<Arc<str>, DemandPressure>,
    ) {
        self.models.retain(|model, _| demand.contains_key(model));
        for model in demand.keys() {
            let delay = self.models.entry(Arc::clone(model));
            let delay = delay.or_insert_with(|| ModelDelay {
                demand_since: now,
                ..ModelDelay::default()
            });
            if pressures.get(model).is_some_and(DemandPressure::is_refused) {
                delay.refused_since.get_or_insert(now);
            } else {
                delay.refused_since = None;
                delay.obstacles.clear();
            }
        }
    }

    /// Records what kept a model from getting one more copy in the present plan.
    pub(crate) fn record_obstacle(&mut self, model: &str, obstacle: MoveObstacle) {
        if let Some(delay) = self.models.get_mut(model) {
            *delay.obstacles.entry(obstacle).or_default() += 1;
        }
    }

    /// Delay of a load that is decided now.
    pub(crate) fn of(&self, now: Instant, model: &str) -> MoveDelay {
        let Some(delay) = self.models.get(model) else {
            return MoveDelay::default();
        };
        let obstacles = delay.obstacles.iter();
        let most_frequent = obstacles.max_by_key(|(_, plans)| **plans);
        MoveDelay {
            demand_age_ms: now.ms_since(delay.demand_since),
            first_refused_ms_ago: delay.refused_since.map(|since| now.ms_since(since)),
            blocked_by: most_frequent.map(|(obstacle, _)| *obstacle),
        }
    }
}
