//! Predicts when a model that no agent holds will be loaded.
//!
//! Admission depends on this. The duration of one load is not enough: the weight store
//! limits the rate at which loads start, a model may have to wait for the minimum
//! residence time of others on its accelerator, and an adapter waits for its base. So
//! at each heartbeat the loads that requests wait for, here and at other entries, are
//! simulated in order of their waiting time. The planner also weighs the models'
//! values, so its order may differ and the result is only an estimate.

use base::prelude::*;
use conf::{Config, ModelSpec};
use live::{Agent, AgentDirectory, Liveness, ResidencyState};
use schema::link::Demand;
use std::collections::BTreeMap;

use super::super::resolve::Resource;
use super::super::shared::Shared;
use super::Control;

/// Assumed time from the planning of a load to its order.
const PLAN_DELAY_MS: u64 = 500;

/// Minimum predicted time to the end of a load in progress.
const LOAD_REMAINING_MIN_MS: u64 = 50;

/// Minimum predicted time until an agent that can't currently serve can.
const AGENT_RETURN_MIN_MS: u64 = 1_000;

/// Limit of models in the simulation. Those beyond it get the prediction for a load
/// that starts after all of these.
const FORECAST_MODELS_MAX: usize = 256;

/// State of an accelerator in the simulation.
#[derive(Debug)]
struct Accelerator {
    pool: PoolId,
    capacity_mib: u64,
    /// Memory that is neither occupied nor reserved for a simulated load.
    free_mib: u64,
    /// When its agent is expected to be able to serve.
    available_from: Instant,
    /// Earliest time at which each resident model may be unloaded, with its size in
    /// MiB, in ascending order.
    residents_until: Vec<(Instant, u64)>,
}

/// Result of the simulation, and its state while it runs.
#[derive(Debug, Default)]
pub(crate) struct LoadForecast {
    /// Predicted time at which each awaited model can be served.
    ready_at: BTreeMap<ModelId, Instant>,
    accelerators: Vec<Accelerator>,
    /// Earliest time at which the weight store permits another load to start.
    next_load_start: Instant,
    /// Predicted duration of one load, given the other loads.
    load_ms: u64,
}

impl Control {
    /// Repeats the simulation of the awaited loads.
    pub(super) fn update_forecast(&mut self, now: Instant, shared: &Shared) {
        let Some(config) = self.config().cloned() else {
            return;
        };
        let mut awaited = self.awaited_unheld_models(now, shared, &config);
        awaited.truncate(FORECAST_MODELS_MAX);
        let mut forecast =
            LoadForecast::new(now, &self.directory, &config, awaited.len());
        for (since, model) in awaited {
            let ready = forecast.schedule_load(now, &config, &self.directory, &model);
            if let Some(ready) = ready {
                let ready = extend_overdue(now, since, ready, &forecast, &config);
                forecast.ready_at.insert(model, ready);
            }
        }
        self.forecast = forecast;
    }

    /// Predicted time until a model without holders can be served; `None` if no
    /// accelerator can hold it.
    pub(crate) fn predicted_load_wait_ms(
        &self,
        now: Instant,
        model: &ModelId,
    ) -> Option<u64> {
        let config = self.config()?;
        if let Some(ready) = self.forecast.ready_at.get(model) {
            return Some(ready.ms_since(now).max(LOAD_REMAINING_MIN_MS));
        }
        let spec = config.model(model.as_str())?;
        if let Some(ready) = load_end(now, &self.directory, config, model) {
            return Some(ready.ms_since(now));
        }
        let base = match &spec.base {
            Some(base) if !is_held(&self.directory, base) => {
                Some(self.predicted_load_wait_ms(now, base)?)
            }
            _ => None,
        };
        let load_ms = load_time_ms(config).max(self.forecast.load_ms);
        if let Some(base_ms) = base {
            return Some(base_ms + load_ms);
        }
        if spec.base.is_some() {
            return Some(load_ms + PLAN_DELAY_MS);
        }
        let room_at = self.forecast.earliest_room_at(spec);
        let room_at = room_at.or_else(|| self.can_fit(spec).then_some(now))?;
        let start = room_at.max(self.forecast.next_load_start).max(now);
        Some(start.ms_since(now) + load_ms + PLAN_DELAY_MS)
    }

    /// Whether any accelerator is large enough for a model. Also considers agents that
    /// became known after the last forecast.
    fn can_fit(&self, spec: &ModelSpec) -> bool {
        let agents = self.directory.agents().filter(|agent| can_load(agent));
        let mut of_pool = agents.filter(|agent| agent.pool == spec.pool);
        of_pool.any(|agent| {
            let sizes = agent.accelerators_mib.iter();
            sizes.max().is_some_and(|mib| *mib >= spec.size_mib)
        })
    }

    /// Whether the last forecast contains the model.
    pub(crate) fn has_forecast(&self, model: &ModelId) -> bool {
        self.forecast.ready_at.contains_key(model)
    }

    /// Models without holders that requests wait for, here or at other entries, in
    /// order of the oldest wait.
    fn awaited_unheld_models(
        &self,
        now: Instant,
        shared: &Shared,
        config: &Config,
    ) -> Vec<(Instant, ModelId)> {
        let mut since: BTreeMap<ModelId, Instant> = BTreeMap::new();
        let mut add_wait = |model: &ModelId, at: Instant| {
            let oldest = since.entry(model.clone()).or_insert(at);
            *oldest = (*oldest).min(at);
        };
        {
            let wait_queue = shared.wait_queue.lock();
            for model in wait_queue.models() {
                let oldest = wait_queue
                    .depth_and_oldest(&Resource::Model(model.clone()))
                    .1;
                add_wait(model, oldest.unwrap_or(now));
            }
        }
        let gossiped = self.gossip.demands.iter();
        let gossiped = gossiped.filter(|(id, _)| self.entries.is_alive(now, id));
        let has_waiting = |demand: &&Demand| demand.waiting > 0;
        for demand in gossiped
            .flat_map(|(_, demands)| demands)
            .filter(has_waiting)
        {
            let wait = Duration::from_millis(demand.oldest_wait_ms);
            add_wait(&ModelId::new(&demand.model), now - wait);
        }
        let mut models: Vec<(Instant, ModelId)> = since
            .into_iter()
            .filter(|(model, _)| config.model(model.as_str()).is_some())
            .filter(|(model, _)| !is_held(&self.directory, model))
            .map(|(model, at)| (at, model))
            .collect();
        models.sort();
        models
    }
}

impl LoadForecast {
    fn new(
        now: Instant,
        directory: &AgentDirectory,
        config: &Config,
        awaited: usize,
    ) -> Self {
        let loadable_agents = || directory.agents().filter(|agent| can_load(agent));
        let loading = loadable_agents().flat_map(|agent| &agent.residents);
        let loading =
            loading.filter(|resident| resident.state == ResidencyState::Loading);
        let residence_ms = u64::from(config.weights().min_residence_ms);
        Self {
            ready_at: BTreeMap::new(),
            load_ms: shared_load_ms(config, loading.count() + awaited),
            accelerators: loadable_agents()
                .flat_map(|agent| agent_accelerators(now, agent, residence_ms))
                .collect(),
            next_load_start: now,
        }
    }

    /// Schedules a load, after that of its base if the base is not loaded.
    fn schedule_load(
        &mut self,
        now: Instant,
        config: &Config,
        directory: &AgentDirectory,
        model: &ModelId,
    ) -> Option<Instant> {
        if let Some(ready) = self.ready_at.get(model) {
            return Some(*ready);
        }
        if let Some(ready) = load_end(now, directory, config, model) {
            return Some(ready);
        }
        let spec = config.model(model.as_str())?;
        let from = match &spec.base {
            Some(base) if is_held(directory, base) => now,
            Some(base) => {
                let ready = self.schedule_load(now, config, directory, base)?;
                self.ready_at.insert(base.clone(), ready);
                ready
            }
            None => self.reserve_room(config, spec)?,
        };
        let start = from.max(self.next_load_start).max(now);
        let between_ms = 1_000.0 / config.store().loads_per_s.max(0.001);
        self.next_load_start = self.next_load_start.max(now).plus_ms(between_ms as u64);
        Some(start.plus_ms(PLAN_DELAY_MS + self.load_ms))
    }

    /// Earliest time at which an accelerator has room for a model.
    fn earliest_room_at(&self, spec: &ModelSpec) -> Option<Instant> {
        let candidates = self.accelerators.iter();
        let fitting = candidates.filter(|accelerator| accelerator.pool == spec.pool);
        let times =
            fitting.filter_map(|accelerator| accelerator.room_at(spec.size_mib.into()));
        times.map(|(at, _)| at).min()
    }

    /// Reserves room for a model where it is available earliest.
    fn reserve_room(&mut self, config: &Config, spec: &ModelSpec) -> Option<Instant> {
        let size_mib = u64::from(spec.size_mib);
        let candidates = self.accelerators.iter_mut();
        let fitting = candidates.filter(|accelerator| accelerator.pool == spec.pool);
        let times = fitting.filter_map(|accelerator| {
            Some((accelerator.room_at(size_mib)?, accelerator))
        });
        let ((at, unloads), accelerator) = times.min_by_key(|((at, _), _)| *at)?;
        let freed_mib = accelerator
            .residents_until
            .drain(..unloads)
            .map(|(_, mib)| mib)
            .sum::<u64>();
        accelerator.free_mib =
            (accelerator.free_mib + freed_mib).saturating_sub(size_mib);
        let residence_ms = u64::from(config.weights().min_residence_ms);
        let ready = at.max(self.next_load_start).plus_ms(self.load_ms);
        accelerator
            .residents_until
            .push((ready.plus_ms(residence_ms), size_mib));
        accelerator.residents_until.sort_unstable();
        Some(at)
    }
}

impl Accelerator {
    /// When the accelerator has room for a model, and how many of its residents have to
    /// be unloaded for it.
    fn room_at(&self, size_mib: u64) -> Option<(Instant, usize)> {
        if size_mib > self.capacity_mib {
            return None;
        }
        let (mut free_mib, mut at) = (self.free_mib, self.available_from);
        let mut unloads = 0;
        while free_mib < size_mib {
            let (until, mib) = self.residents_until.get(unloads)?;
            at = at.max(*until);
            free_mib += mib;
            unloads += 1;
        }
        Some((at, unloads))
    }
}

/// Predicted time until an agent can be sent requests; 0 if it can now.
///
/// An agent that has been unavailable for long is not expected back soon, so it is
/// predicted to stay unavailable for the same time again.
pub(crate) fn predicted_return_ms(now: Instant, agent: &Agent) -> u64 {
    let silent_ms = match agent.liveness {
        Liveness::Up => None,
        _ => Some(now.ms_since(agent.last_heard_at)),
    };
    let down_ms = match agent.upstream_up {
        true => None,
        false => Some(now.ms_since(agent.upstream_since)),
    };
    let away_ms = silent_ms.max(down_ms);
    away_ms.map_or(0, |ms| ms.max(AGENT_RETURN_MIN_MS))
}

/// Extends the prediction for a load whose requests have already waited for longer than
/// it: the remaining time is at least the excess of the wait over the prediction, but
/// not longer than until the planner gives precedence to requests that waited for
/// `wait_max_ms`.
fn extend_overdue(
    now: Instant,
    since: Instant,
    ready: Instant,
    forecast: &LoadForecast,
    config: &Config,
) -> Instant {
    let waited_ms = now.ms_since(since);
    let remaining_ms = ready.ms_since(now);
    let excess_wait_ms = waited_ms.saturating_sub(remaining_ms);
    let wait_max_ms = u64::from(config.weights().wait_max_ms);
    let precedence_ms = wait_max_ms.saturating_sub(waited_ms) + forecast.load_ms;
    now.plus_ms(remaining_ms.max(excess_wait_ms.min(precedence_ms)))
}

fn can_load(agent: &Agent) -> bool {
    agent.liveness != Liveness::Lost && !agent.leaving()
}

fn is_held(directory: &AgentDirectory, model: &ModelId) -> bool {
    directory.holders(model.as_str()).next().is_some()
}

/// Predicted end of a load in progress. One that exceeds the configured load time is
/// predicted to exceed it by as much again.
fn load_end(
    now: Instant,
    directory: &AgentDirectory,
    config: &Config,
    model: &ModelId,
) -> Option<Instant> {
    let agents = directory.agents().filter(|agent| can_load(agent));
    let since = agents.filter_map(|agent| agent.loading_since(model.as_str()));
    let elapsed_ms = now.ms_since(since.min()?);
    let remaining_ms = elapsed_ms.abs_diff(load_time_ms(config));
    Some(now.plus_ms(remaining_ms.max(LOAD_REMAINING_MIN_MS)))
}

fn load_time_ms(config: &Config) -> u64 {
    u64::from(config.store().load_time_ms)
}

/// Predicted duration of a load if `loads` are in progress or awaited. Those that the
/// store starts within the time of one load share its throughput.
fn shared_load_ms(config: &Config, loads: usize) -> u64 {
    let store = config.store();
    let load_ms = f64::from(store.load_time_ms);
    let startable_loads = store.loads_per_s * load_ms / 1_000.0;
    let concurrent_loads = (loads as f64).min(startable_loads);
    let slowdown = concurrent_loads / f64::from(store.full_speed_loads.max(1));
    (load_ms * slowdown.max(1.0)) as u64
}

fn agent_accelerators(
    now: Instant,
    agent: &Agent,
    residence_ms: u64,
) -> impl Iterator<Item = Accelerator> + '_ {
    let numbered = agent.accelerators_mib.iter().zip(0u32..);
    numbered.map(move |(capacity_mib, index)| {
        let residents = agent
            .residents
            .iter()
            .filter(|resident| resident.accelerator == index);
        let residents_until = residents.map(|resident| {
            let until = resident.since.plus_ms(residence_ms).max(now);
            (until, u64::from(resident.size_mib))
        });
        let mut residents_until: Vec<(Instant, u64)> = residents_until.collect();
        residents_until.sort_unstable();
        let taken_mib: u64 = residents_until.iter().map(|(_, mib)| mib).sum();
        let capacity_mib = u64::from(*capacity_mib);
        Accelerator {
            pool: agent.pool.clone(),
            capacity_mib,
            free_mib: capacity_mib.saturating_sub(taken_mib),
            available_from: now.plus_ms(predicted_return_ms(now, agent)),
            residents_until,
        }
    })
}
