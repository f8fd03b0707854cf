//! Planning the cells for which this entry ranks first.

use base::prelude::*;
use conf::Config;
use live::rendezvous;
use place::{
    AgentTarget, ModelDemand, PlaceReason, Plan, PlanInput, PlanNote, Planner,
};
use schema::link::{Demand, Target, TargetModel, frame};
use schema::timeline::EventKind;
use std::collections::BTreeMap;
use std::sync::Arc;

use super::super::EntryAction;
use super::super::counters::Counts;
use super::super::shared::Shared;
use super::super::trace::Note;
use super::cells::{Cell, cells};
use super::gossip::own_demands;
use super::spread::{CellWork, spread};
use super::{Control, Timer};
use crate::Peer;

/// Interval between plans.
const PLAN_EVERY_MS: u64 = 500;

/// Least time between plans that work waiting without a holder brings about.
const PLAN_MIN_MS: u64 = 50;

/// What is wanted where, by agent, accelerator and model.
type Wishes = BTreeMap<(AgentId, u32, ModelId), PlaceReason>;

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
    sequence: u64,
}

impl Planning {
    pub(super) const fn new() -> Self {
        Self {
            cells: BTreeMap::new(),
            planned_at: None,
            soon: false,
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
    ) -> impl Iterator<Item = (&'a AgentId, PlaceReason)> {
        let wishes = self.cells.values().flat_map(|cell| &cell.wishes);
        wishes
            .filter(move |((_, _, held), _)| held.as_str() == model)
            .map(|((agent, _, _), reason)| (agent, *reason))
    }

    /// Why a model is not where its demand would have it.
    pub(crate) fn notes<'a>(
        &'a self,
        model: &'a str,
    ) -> impl Iterator<Item = PlaceReason> {
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
        out: &mut Vec<EntryAction>,
    ) {
        self.timers.set(now.plus_ms(PLAN_EVERY_MS), Timer::Plan);
        self.plan_now(now, shared, out);
    }

    /// Plans at once, or as soon as the last plan is old enough.
    pub(crate) fn plan_soon(
        &mut self,
        now: Instant,
        shared: &Shared,
        out: &mut Vec<EntryAction>,
    ) {
        let next = self.planning.planned_at.map(|at| at.plus_ms(PLAN_MIN_MS));
        match next.filter(|next| *next > now) {
            None => self.plan_now(now, shared, out),
            Some(_) if self.planning.soon => {}
            Some(next) => {
                self.planning.soon = true;
                self.timers.set(next, Timer::PlanSoon);
            }
        }
    }

    pub(super) fn plan_now(
        &mut self,
        now: Instant,
        shared: &Shared,
        out: &mut Vec<EntryAction>,
    ) {
        self.planning.soon = false;
        let Some(config) = self.config().cloned() else {
            return;
        };
        if self.leaving {
            return;
        }
        self.planning.planned_at = Some(now);
        let cells = cells(&self.directory, &config);
        let demands = self.sum_demands(now, shared, &config);
        let work = spread(&config, &cells, &demands);
        let mut mine = std::mem::take(&mut self.planning.cells);
        for (cell, work) in cells.iter().zip(&work) {
            if !self.entries.ranks_first(now, &self.me, &cell.key) {
                continue;
            }
            let mut held = mine.remove(&cell.key).unwrap_or_default();
            self.plan_cell(now, shared, &config, cell, work, &mut held, out);
            self.planning.cells.insert(cell.key.clone(), held);
        }
    }

    #[allow(clippy::too_many_arguments)] // One step of `plan_now`.
    fn plan_cell(
        &mut self,
        now: Instant,
        shared: &Shared,
        config: &Arc<Config>,
        cell: &Cell,
        work: &CellWork,
        held: &mut CellPlan,
        out: &mut Vec<EntryAction>,
    ) {
        Counts::add(&shared.counts.plans);
        let plan = held.planner.plan(&PlanInput {
            now,
            config,
            agents: &cell.agents,
            demands: &work.demands,
            store_share: work.store_share,
        });
        let wishes = wishes(&plan);
        trace_changes(&held.wishes, &wishes, out);
        held.wishes = wishes;
        self.planning.sequence += 1;
        for target in &plan.targets {
            self.send_target(cell, target, shared, out);
        }
        held.notes = plan.notes;
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
        out.push(EntryAction::Send {
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

fn wishes(plan: &Plan) -> Wishes {
    let mut wishes = Wishes::new();
    for target in &plan.targets {
        for wish in &target.models {
            let key = (target.agent.clone(), wish.accelerator, wish.model.clone());
            wishes.insert(key, wish.reason);
        }
    }
    wishes
}

/// Records what is wanted and was not, and the reverse.
fn trace_changes(before: &Wishes, after: &Wishes, out: &mut Vec<EntryAction>) {
    for (key, reason) in after {
        // What was merely found in place is no decision.
        if before.contains_key(key) || *reason == PlaceReason::Kept {
            continue;
        }
        let (agent, accelerator, model) = key;
        let why = sentence(*reason);
        Note::new(
            EventKind::ModelPlanned,
            format!("wanted on {agent}, accelerator {accelerator}: {why}"),
        )
        .model(model.as_str())
        .peer(agent)
        .reason(*reason as u32)
        .put(out);
    }
    for (agent, accelerator, model) in before.keys() {
        let key = (agent.clone(), *accelerator, model.clone());
        if after.contains_key(&key) {
            continue;
        }
        let detail = format!("no longer wanted on {agent}, accelerator {accelerator}");
        Note::new(EventKind::ModelPlanned, detail)
            .model(model.as_str())
            .peer(agent)
            .reason(PlaceReason::Displaced as u32)
            .put(out);
    }
}

/// A reason in words.
pub(crate) const fn sentence(reason: PlaceReason) -> &'static str {
    match reason {
        PlaceReason::Kept => "it was there and nothing is worth moving it",
        PlaceReason::Demand => "its demand is worth the move",
        PlaceReason::WaitBound => "work waited for it and it got its turn",
        PlaceReason::Replica => "one holder does not serve its demand",
        PlaceReason::Spread => "a replica in another failure domain",
        PlaceReason::Leaving => "a holder is leaving",
        PlaceReason::MinResidence => "it stays for its minimum residence",
        PlaceReason::BaseOfAdapter => "it is the base of a wanted adapter",
        PlaceReason::NewVersion => "a newer version is to be held",
        PlaceReason::Displaced => "it was taken off for a model worth more",
        PlaceReason::StoreBudget => "the weight store's budget is used up for now",
        PlaceReason::NotWorthMove => "its demand is not worth a move",
        PlaceReason::NoRoom => "no accelerator has room",
    }
}
