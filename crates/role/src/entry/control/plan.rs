//! Plans model placement in the planning cells for which this entry ranks first.

use base::prelude::*;
use conf::Config;
use live::rendezvous_rank;
use place::{
    AgentTarget, ModelDemand, PlacementReason, Plan, PlanInput, PlanNote, Planner,
};
use schema::link::{Demand, Target, TargetModel, frame};
use std::collections::BTreeMap;
use std::sync::Arc;

use super::super::EntryAction;
use super::super::counters::Counts;
use super::super::shared::Shared;
use super::cells::{PlanningCell, planning_cells};
use super::demand_shares::share_demand;
use super::gossip::own_demands;
use super::placements::{PlannedPlacements, planned_placements, record_changes};
use super::{Control, Timer};
use crate::Peer;

/// Interval between plans.
const PLAN_INTERVAL_MS: u64 = 500;

/// Minimum interval between plans triggered by requests for a model without holders.
const PLAN_MIN_INTERVAL_MS: u64 = 50;

/// Time after which a round of planning counts as lost. Otherwise a round whose thread
/// panicked would keep this entry, which still ranks first, from ever planning again.
const PLAN_ROUND_TIMEOUT_MS: u64 = 10_000;

/// State of a cell that this entry plans.
#[derive(Debug, Default)]
struct CellPlan {
    planner: Planner,
    placements: PlannedPlacements,
    notes: Vec<PlanNote>,
}

/// State of the planning at this entry.
#[derive(Debug)]
pub(crate) struct Planning {
    cells: BTreeMap<String, CellPlan>,
    planned_at: Option<Instant>,
    /// A timer is set for a round ahead of the next interval.
    scheduled: bool,
    /// Since when a round has been running outside of the control state's lock.
    running_since: Option<Instant>,
    sequence: u64,
}

/// Input of a round of planning, copied from the control state.
///
/// Every request reads the control state, and planning a large fleet takes long. So
/// the plan is computed from this copy without holding the lock.
#[derive(Debug)]
pub(crate) struct PlanJob {
    now: Instant,
    config: Arc<Config>,
    cells: Vec<PlanningCell>,
    demands: Vec<ModelDemand>,
    /// Planners of the cells for which this entry ranks first, by cell.
    planners: BTreeMap<String, Planner>,
}

/// The plan of one cell.
#[derive(Debug)]
struct PlannedCell {
    cell: PlanningCell,
    planner: Planner,
    plan: Plan,
}

/// Result of a round of planning.
#[derive(Debug)]
pub(crate) struct PlanResult {
    cells: Vec<PlannedCell>,
}

impl PlanJob {
    /// Computes the plans of the cells that this entry plans.
    pub(crate) fn run(mut self) -> PlanResult {
        let shares = share_demand(&self.config, &self.cells, &self.demands);
        let mut cells = Vec::new();
        for (cell, share) in self.cells.into_iter().zip(shares) {
            let Some(mut planner) = self.planners.remove(&cell.key) else {
                continue;
            };
            let plan = planner.plan(&PlanInput {
                now: self.now,
                config: &self.config,
                agents: &cell.agents,
                demands: &share.demands,
                store_share: share.store_share,
            });
            cells.push(PlannedCell {
                cell,
                planner,
                plan,
            });
        }
        PlanResult { cells }
    }
}

impl Planning {
    pub(super) const fn new() -> Self {
        Self {
            cells: BTreeMap::new(),
            planned_at: None,
            scheduled: false,
            running_since: None,
            sequence: 0,
        }
    }

    /// Forgets the cells: other entries plan them from now on.
    pub(super) fn stop(&mut self) {
        self.cells.clear();
    }

    /// Names of the cells that this entry plans.
    pub(crate) fn cells(&self) -> impl Iterator<Item = &str> {
        self.cells.keys().map(String::as_str)
    }

    /// Agents on which this entry plans to hold a model, and why.
    pub(crate) fn placements<'a>(
        &'a self,
        model: &'a str,
    ) -> impl Iterator<Item = (&'a AgentId, PlacementReason)> {
        let placements = self.cells.values().flat_map(|cell| &cell.placements);
        placements
            .filter(move |((_, _, placed), _)| placed.as_str() == model)
            .map(|((agent, _, _), reason)| (agent, *reason))
    }

    /// Reasons why a model is not placed as its demand calls for.
    pub(crate) fn notes<'a>(
        &'a self,
        model: &'a str,
    ) -> impl Iterator<Item = PlacementReason> {
        let notes = self.cells.values().flat_map(|cell| &cell.notes);
        notes
            .filter(move |note| note.model.as_str() == model)
            .map(|note| note.reason)
    }
}

impl Control {
    pub(super) fn plan_due(
        &mut self,
        now: Instant,
        shared: &Shared,
    ) -> Option<PlanJob> {
        self.timers
            .schedule(now.plus_ms(PLAN_INTERVAL_MS), Timer::Plan);
        self.plan_now(now, shared)
    }

    /// Starts a round of planning now, or schedules it for when the minimum interval
    /// has passed.
    pub(crate) fn plan_soon(
        &mut self,
        now: Instant,
        shared: &Shared,
    ) -> Option<PlanJob> {
        let next = self
            .planning
            .planned_at
            .map(|at| at.plus_ms(PLAN_MIN_INTERVAL_MS));
        match next.filter(|next| *next > now) {
            None => return self.plan_now(now, shared),
            Some(next) => self.schedule_plan(next),
        }
        None
    }

    fn schedule_plan(&mut self, at: Instant) {
        if !self.planning.scheduled {
            self.planning.scheduled = true;
            self.timers.schedule(at, Timer::PlanSoon);
        }
    }

    /// Prepares a round of planning. Only one round runs at a time.
    pub(super) fn plan_now(
        &mut self,
        now: Instant,
        shared: &Shared,
    ) -> Option<PlanJob> {
        self.planning.scheduled = false;
        let config = self.config().cloned()?;
        if self.leaving {
            return None;
        }
        if now < self.backlog_read_by() {
            self.schedule_plan(self.backlog_read_by());
            return None;
        }
        let running = self.planning.running_since;
        if running.is_some_and(|since| now.ms_since(since) < PLAN_ROUND_TIMEOUT_MS) {
            self.schedule_plan(now.plus_ms(PLAN_MIN_INTERVAL_MS));
            return None;
        }
        self.planning.running_since = Some(now);
        self.planning.planned_at = Some(now);
        let cells = planning_cells(&self.directory, &config);
        let mut previous = std::mem::take(&mut self.planning.cells);
        let mut planners = BTreeMap::new();
        for cell in &cells {
            if self.entries.ranks_first(now, &self.own_id, &cell.key) {
                let mut state = previous.remove(&cell.key).unwrap_or_default();
                let planner = std::mem::take(&mut state.planner);
                planners.insert(cell.key.clone(), planner);
                self.planning.cells.insert(cell.key.clone(), state);
            }
        }
        Some(PlanJob {
            now,
            demands: self.total_demands(now, shared, &config),
            config,
            cells,
            planners,
        })
    }

    /// Stores the result of a round of planning, and sends agents their targets.
    pub(crate) fn apply_plan(
        &mut self,
        result: PlanResult,
        shared: &Shared,
        out: &mut Vec<EntryAction>,
    ) {
        self.planning.running_since = None;
        // Once this process announced that it is leaving, others plan its cells.
        if self.leaving {
            return;
        }
        for planned in result.cells {
            Counts::increment(&shared.counts.plans);
            let placements = planned_placements(&planned.plan);
            let key = &planned.cell.key;
            let state = self.planning.cells.entry(key.clone()).or_default();
            let mut outcomes = shared.outcomes.lock();
            record_changes(&state.placements, &placements, &mut outcomes, out);
            drop(outcomes);
            state.placements = placements;
            state.planner = planned.planner;
            state.notes = planned.plan.notes;
            self.planning.sequence += 1;
            for target in &planned.plan.targets {
                self.send_target(&planned.cell, target, shared, out);
            }
        }
    }

    /// Sends an agent the models that it is to hold, if there is a link to it.
    fn send_target(
        &self,
        cell: &PlanningCell,
        target: &AgentTarget,
        shared: &Shared,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(agent) = self.directory.get(&target.agent) else {
            return;
        };
        if !agent.connected {
            return;
        }
        Counts::increment(&shared.counts.targets_sent);
        let models = target.models.iter().map(|placed| TargetModel {
            model: placed.model.to_string(),
            version: placed.version,
            accelerator: placed.accelerator,
            reason: placed.reason as u32,
        });
        out.push(EntryAction::SendFrame {
            peer: Peer::Agent(target.agent.clone()),
            body: frame::Body::Target(Target {
                planner: self.own_id.to_string(),
                rank: rendezvous_rank(&cell.key, self.own_id.as_str()),
                sequence: self.planning.sequence,
                agent_incarnation: agent.incarnation.0,
                models: models.collect(),
                revision: self.config_log.revision().0,
            }),
        });
    }

    /// Demand summed over this entry and all other live ones.
    pub(crate) fn total_demands(
        &self,
        now: Instant,
        shared: &Shared,
        config: &Config,
    ) -> Vec<ModelDemand> {
        let mut sums: BTreeMap<ModelId, DemandSum> = BTreeMap::new();
        let own = own_demands(now, shared);
        let gossiped = self.gossip.demands.iter();
        let others = gossiped.filter(|(id, _)| self.entries.is_alive(now, id));
        let others = others.flat_map(|(_, demands)| demands);
        for demand in own.iter().chain(others) {
            if config.model(&demand.model).is_some() {
                let sum = sums.entry(ModelId::new(&demand.model)).or_default();
                sum.add(demand);
            }
        }
        let sums = sums.into_iter();
        sums.map(|(model, sum)| sum.into_demand(model)).collect()
    }
}

/// Accumulates the demand for one model.
#[derive(Debug, Default)]
struct DemandSum {
    rate_per_s: f64,
    waiting: u32,
    oldest_wait_ms: u64,
    service_time: f64,
    value: f64,
    weight: f64,
}

impl DemandSum {
    fn add(&mut self, demand: &Demand) {
        let rate_per_s = f64::from(demand.rate_milli) / 1_000.0;
        // Means are weighted by the requests they stand for.
        let weight = rate_per_s + f64::from(demand.waiting) + 0.001;
        self.rate_per_s += rate_per_s;
        self.waiting = self.waiting.saturating_add(demand.waiting);
        self.oldest_wait_ms = self.oldest_wait_ms.max(demand.oldest_wait_ms);
        self.service_time += f64::from(demand.service_time_ms) * weight;
        self.value += f64::from(demand.value_milli) / 1_000.0 * weight;
        self.weight += weight;
    }

    fn into_demand(self, model: ModelId) -> ModelDemand {
        ModelDemand {
            model,
            rate_per_s: self.rate_per_s,
            waiting: self.waiting,
            oldest_wait_ms: self.oldest_wait_ms,
            service_time_ms: (self.service_time / self.weight) as u32,
            value: self.value / self.weight,
        }
    }
}
