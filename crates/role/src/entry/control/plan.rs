//! Planning the cells for which this entry ranks first.

use base::prelude::*;
use conf::Config;
use live::rendezvous;
use place::{
    AgentTarget, ModelDemand, PlacementReason, Plan, PlanInput, PlanNote, Planner,
};
use schema::link::{Demand, Target, TargetModel, frame};
use std::collections::BTreeMap;
use std::sync::Arc;

use super::super::EntryAction;
use super::super::counters::Counts;
use super::super::shared::Shared;
use super::cells::{Cell, cells};
use super::gossip::own_demands;
use super::spread::spread;
use super::wishes::{Wishes, trace_changes, wishes};
use super::{Control, Timer};
use crate::Peer;

/// Interval between plans.
const PLAN_EVERY_MS: u64 = 500;

/// Least time between plans that work waiting without a holder brings about.
const PLAN_MIN_MS: u64 = 50;

/// Time after which a round counts as lost. One whose thread panicked would
/// otherwise keep this entry from planning for good, while it ranks first.
const ROUND_MAX_MS: u64 = 10_000;

/// One cell that this entry plans.
#[derive(Debug, Default)]
struct CellPlan {
    planner: Planner,
    wishes: Wishes,
    notes: Vec<PlanNote>,
}

/// State of planning.
#[derive(Debug)]
pub(crate) struct Planning {
    cells: BTreeMap<String, CellPlan>,
    planned_at: Option<Instant>,
    soon: bool,
    /// Since when a round is planned outside of the control part's lock.
    running_since: Option<Instant>,
    sequence: u64,
}

/// What a round of planning needs, taken from the control part.
///
/// Each request reads the control part, and planning takes long for a large
/// fleet. So it works on this copy, while nobody waits for its lock.
#[derive(Debug)]
pub(crate) struct PlanJob {
    now: Instant,
    config: Arc<Config>,
    cells: Vec<Cell>,
    demands: Vec<ModelDemand>,
    /// Planners of the cells for which this entry ranks first.
    planners: BTreeMap<String, Planner>,
}

/// One cell, planned.
#[derive(Debug)]
struct Planned {
    cell: Cell,
    planner: Planner,
    plan: Plan,
}

/// A round of planning that is done.
#[derive(Debug)]
pub(crate) struct PlanDone {
    cells: Vec<Planned>,
}

impl PlanJob {
    /// Plans.
    pub(crate) fn run(mut self) -> PlanDone {
        let work = spread(&self.config, &self.cells, &self.demands);
        let mut cells = Vec::new();
        for (cell, work) in self.cells.into_iter().zip(work) {
            let Some(mut planner) = self.planners.remove(&cell.key) else {
                continue;
            };
            let plan = planner.plan(&PlanInput {
                now: self.now,
                config: &self.config,
                agents: &cell.agents,
                demands: &work.demands,
                store_share: work.store_share,
            });
            cells.push(Planned {
                cell,
                planner,
                plan,
            });
        }
        PlanDone { cells }
    }
}

impl Planning {
    pub(super) const fn new() -> Self {
        Self {
            cells: BTreeMap::new(),
            planned_at: None,
            soon: false,
            running_since: None,
            sequence: 0,
        }
    }

    pub(super) fn stop(&mut self) {
        self.cells.clear();
    }

    /// Cells that this entry plans.
    pub(crate) fn cells(&self) -> impl Iterator<Item = &str> {
        self.cells.keys().map(String::as_str)
    }

    /// Where this entry wants a model, and why.
    pub(crate) fn wishes<'a>(
        &'a self,
        model: &'a str,
    ) -> impl Iterator<Item = (&'a AgentId, PlacementReason)> {
        let wishes = self.cells.values().flat_map(|cell| &cell.wishes);
        wishes
            .filter(move |((_, _, held), _)| held.as_str() == model)
            .map(|((agent, _, _), reason)| (agent, *reason))
    }

    /// Why a model is not where its demand would have it.
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
        self.timers.set(now.plus_ms(PLAN_EVERY_MS), Timer::Plan);
        self.plan_now(now, shared)
    }

    /// Plans at once, or as soon as the last plan is old enough.
    pub(crate) fn plan_soon(
        &mut self,
        now: Instant,
        shared: &Shared,
    ) -> Option<PlanJob> {
        let next = self.planning.planned_at.map(|at| at.plus_ms(PLAN_MIN_MS));
        match next.filter(|next| *next > now) {
            None => return self.plan_now(now, shared),
            Some(next) => self.plan_at(next),
        }
        None
    }

    fn plan_at(&mut self, at: Instant) {
        if !self.planning.soon {
            self.planning.soon = true;
            self.timers.set(at, Timer::PlanSoon);
        }
    }

    /// Takes out what a round of planning needs. One round runs at a time.
    pub(super) fn plan_now(
        &mut self,
        now: Instant,
        shared: &Shared,
    ) -> Option<PlanJob> {
        self.planning.soon = false;
        let config = self.config().cloned()?;
        if self.leaving {
            return None;
        }
        if now < self.read_by() {
            self.plan_at(self.read_by());
            return None;
        }
        let running = self.planning.running_since;
        if running.is_some_and(|since| now.ms_since(since) < ROUND_MAX_MS) {
            self.plan_at(now.plus_ms(PLAN_MIN_MS));
            return None;
        }
        self.planning.running_since = Some(now);
        self.planning.planned_at = Some(now);
        let cells = cells(&self.directory, &config);
        let mut before = std::mem::take(&mut self.planning.cells);
        let mut planners = BTreeMap::new();
        for cell in &cells {
            if self.entries.ranks_first(now, &self.me, &cell.key) {
                let mut held = before.remove(&cell.key).unwrap_or_default();
                let planner = std::mem::take(&mut held.planner);
                planners.insert(cell.key.clone(), planner);
                self.planning.cells.insert(cell.key.clone(), held);
            }
        }
        Some(PlanJob {
            now,
            demands: self.sum_demands(now, shared, &config),
            config,
            cells,
            planners,
        })
    }

    /// Takes a round of planning back, and tells agents their targets.
    pub(crate) fn planned(
        &mut self,
        done: PlanDone,
        shared: &Shared,
        out: &mut Vec<EntryAction>,
    ) {
        self.planning.running_since = None;
        // Others plan from the moment on that this process says it leaves.
        if self.leaving {
            return;
        }
        for planned in done.cells {
            Counts::add(&shared.counts.plans);
            let wishes = wishes(&planned.plan);
            let key = &planned.cell.key;
            let held = self.planning.cells.entry(key.clone()).or_default();
            let mut tally = shared.tally.lock();
            trace_changes(&held.wishes, &wishes, &mut tally, out);
            drop(tally);
            held.wishes = wishes;
            held.planner = planned.planner;
            held.notes = planned.plan.notes;
            self.planning.sequence += 1;
            for target in &planned.plan.targets {
                self.send_target(&planned.cell, target, shared, out);
            }
        }
    }

    fn send_target(
        &self,
        cell: &Cell,
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
        Counts::add(&shared.counts.targets_sent);
        let models = target.models.iter().map(|wish| TargetModel {
            model: wish.model.to_string(),
            version: wish.version,
            accelerator: wish.accelerator,
            reason: wish.reason as u32,
        });
        out.push(EntryAction::SendFrame {
            peer: Peer::Agent(target.agent.clone()),
            body: frame::Body::Target(Target {
                planner: self.me.to_string(),
                rank: rendezvous(&cell.key, self.me.as_str()),
                sequence: self.planning.sequence,
                agent_incarnation: agent.incarnation.0,
                models: models.collect(),
                revision: self.log.revision().0,
            }),
        });
    }

    /// Demand over this entry and all others that are alive.
    pub(crate) fn sum_demands(
        &self,
        now: Instant,
        shared: &Shared,
        config: &Config,
    ) -> Vec<ModelDemand> {
        let mut sums: BTreeMap<ModelId, Sum> = BTreeMap::new();
        let own = own_demands(now, shared);
        let told = self.gossip.demands.iter();
        let others = told.filter(|(id, _)| self.entries.alive(now, id));
        let others = others.flat_map(|(_, demands)| demands);
        for demand in own.iter().chain(others) {
            if config.model(&demand.model).is_some() {
                let sum = sums.entry(ModelId::new(&demand.model)).or_default();
                sum.add(demand);
            }
        }
        let sums = sums.into_iter();
        sums.map(|(model, sum)| sum.demand(model)).collect()
    }
}

/// Demand for one model, being added up.
#[derive(Debug, Default)]
struct Sum {
    rate_per_s: f64,
    waiting: u32,
    oldest_wait_ms: u64,
    service_time: f64,
    value: f64,
    weight: f64,
}

impl Sum {
    fn add(&mut self, demand: &Demand) {
        let rate_per_s = f64::from(demand.rate_milli) / 1_000.0;
        // Means count by the work behind them.
        let weight = rate_per_s + f64::from(demand.waiting) + 0.001;
        self.rate_per_s += rate_per_s;
        self.waiting = self.waiting.saturating_add(demand.waiting);
        self.oldest_wait_ms = self.oldest_wait_ms.max(demand.oldest_wait_ms);
        self.service_time += f64::from(demand.service_time_ms) * weight;
        self.value += f64::from(demand.value_milli) / 1_000.0 * weight;
        self.weight += weight;
    }

    fn demand(self, model: ModelId) -> ModelDemand {
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
