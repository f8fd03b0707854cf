//! Planning of model loads, and of the unloads that make room for them.

use base::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;

use crate::capacity_pressure::PressureWatch;
use crate::demand_shift::ShiftDetector;
use crate::forecast::{forecasts, timely_forecast};
use crate::move_delay::MoveDelays;
use crate::plan::{DemandInput, PlanBuilder};
use crate::unanswered::MAX_ORDER_DELAY_MS;
use crate::unserved::UnservedModels;
use crate::{CapacityPressure, DemandEstimate, EngineSpec, MoveDelay, MoveObstacle};

/// Share of the weight store's load rate that the planner uses. The rest is left for
/// loads whose order got no answer and that start late.
const USABLE_STORE_SHARE: f64 = 0.95;

/// State of one upstream as input to a plan.
#[derive(Debug, Clone)]
pub struct UpstreamState {
    /// Name of the upstream.
    pub upstream: Arc<str>,
    /// Failure domain of the upstream.
    pub domain: Arc<str>,
    /// Whether the upstream accepts an order now.
    pub idle: bool,
    /// Free memory for weights, in MB.
    pub free_mb: f64,
    /// Models that are held, loading or unloading.
    pub models: Vec<PlacedModel>,
    /// Models that the upstream can load without the weight store.
    pub local_weights: Vec<Arc<str>>,
}

/// A model, with its adapters, on one upstream.
#[derive(Debug, Clone)]
pub struct PlacedModel {
    /// Name of the model.
    pub model: Arc<str>,
    /// Memory of the model and its adapters, in MB.
    pub size_mb: f64,
    /// Whether the model is being unloaded.
    pub unloading: bool,
    /// When the model was first seen on the upstream.
    pub since: Instant,
}

/// Why a model is loaded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadReason {
    /// Requests wait for the model.
    Waited,
    /// The upstreams that hold the model are too busy.
    Busy,
    /// No upstream holds the model and one has free memory.
    Reachable,
    /// Demand may shift to the model, and few upstreams have its weights.
    Spare,
}

impl LoadReason {
    /// Value of the reason in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Waited => "waited",
            Self::Busy => "busy",
            Self::Reachable => "reachable",
            Self::Spare => "spare",
        }
    }
}

/// A load that the planner has decided on.
#[derive(Debug, Clone)]
pub struct PlannedLoad {
    /// Upstream that loads the model.
    pub upstream: Arc<str>,
    /// Model to load.
    pub load: Arc<str>,
    /// Model that has to be unloaded first.
    pub unload: Option<Arc<str>>,
    /// Whether the weights come from the weight store.
    pub from_store: bool,
    /// Why the model is loaded.
    pub reason: LoadReason,
    /// Reduction of the sum of squared upstream loads, minus the cost of the unload.
    pub relief: f64,
    /// How late the load was decided, and why.
    pub delay: MoveDelay,
}

/// Plans loads and unloads within the load rate of the weight store.
#[derive(Debug)]
pub struct LoadPlanner {
    window_ms: u64,
    store_loads: Vec<Instant>,
    /// For each load whose order got no answer, the time until which it may still
    /// start.
    unanswered_until: Vec<Instant>,
    unserved: UnservedModels,
    demand_shifts: ShiftDetector,
    pressure_watch: PressureWatch,
    delays: MoveDelays,
}

impl LoadPlanner {
    /// Creates a planner that counts loads from the weight store over `window_ms`.
    pub fn new(window_ms: u64) -> Self {
        Self {
            window_ms,
            store_loads: Vec::new(),
            unanswered_until: Vec::new(),
            unserved: UnservedModels::default(),
            demand_shifts: ShiftDetector::default(),
            pressure_watch: PressureWatch::default(),
            delays: MoveDelays::default(),
        }
    }

    /// Records a load from the weight store that was ordered.
    pub fn record_store_load(&mut self, now: Instant) {
        self.store_loads.push(now);
    }

    /// Records a load whose order got no answer. It may start at any time until
    /// unanswered orders expire.
    pub fn record_unanswered_load(&mut self, now: Instant) {
        self.unanswered_until.push(now.plus_ms(MAX_ORDER_DELAY_MS));
    }

    /// Records loads ordered from an earlier incarnation of an upstream that the later
    /// incarnation may still carry out.
    ///
    /// A load planned from local weights may come from the weight store instead,
    /// because an incarnation doesn't inherit the weights that its predecessor kept in
    /// memory. Without counting these loads, a restart of many upstreams at once would
    /// exceed the load rate of the weight store.
    pub fn record_surviving_loads(&mut self, now: Instant, loads: usize) {
        let until = now.plus_ms(MAX_ORDER_DELAY_MS);
        self.unanswered_until
            .extend(std::iter::repeat_n(until, loads));
    }

    /// Resumes planning after a time in which this entry sent no orders.
    ///
    /// Waiting times and demand history are reset. Loads ordered earlier still count:
    /// otherwise a lease that lapses for a moment would allow a second window's worth
    /// of loads.
    pub fn resume(&mut self) {
        self.unserved = UnservedModels::default();
        self.demand_shifts = ShiftDetector::default();
        self.pressure_watch = PressureWatch::default();
        self.delays = MoveDelays::default();
    }

    /// Assumes that an earlier coordinator used a whole window's loads up to `until`.
    pub fn assume_window_spent(&mut self, until: Instant, engine: &EngineSpec) {
        for _ in 0..self.loads_per_window(engine) {
            self.store_loads.push(until);
        }
    }

    /// Number of loads that may be ordered from the weight store now.
    pub fn store_loads_left(&mut self, now: Instant, engine: &EngineSpec) -> usize {
        let window_start = now - Duration::from_millis(self.window_ms);
        self.store_loads.retain(|at| *at > window_start);
        self.unanswered_until.retain(|until| *until > now);
        let spent = self.store_loads.len() + self.unanswered_until.len();
        self.loads_per_window(engine).saturating_sub(spent)
    }

    /// Returns the loads that are worth starting now.
    pub fn plan(
        &mut self,
        now: Instant,
        engine: &EngineSpec,
        upstreams: &[UpstreamState],
        demand: &BTreeMap<Arc<str>, DemandEstimate>,
    ) -> Vec<PlannedLoad> {
        let pressure = CapacityPressure::default();
        self.plan_under_pressure(now, engine, upstreams, demand, &pressure)
    }

    /// Returns the loads that are worth starting now. Copies are made in time where
    /// `pressure` calls for it; otherwise the loads are those of [`Self::plan`].
    pub fn plan_under_pressure(
        &mut self,
        now: Instant,
        engine: &EngineSpec,
        upstreams: &[UpstreamState],
        demand: &BTreeMap<Arc<str>, DemandEstimate>,
        pressure: &CapacityPressure,
    ) -> Vec<PlannedLoad> {
        let mut store_loads_left = self.store_loads_left(now, engine);
        let is_held = |model: &str| {
            let mut models = upstreams.iter().flat_map(|upstream| &upstream.models);
            models.any(|placed| &*placed.model == model && !placed.unloading)
        };
        self.unserved.update(now, demand, is_held);
        self.demand_shifts.observe(now, demand);
        self.delays.observe(now, demand, &pressure.models);
        let in_time = self
            .pressure_watch
            .observe(now, engine, pressure, upstreams, demand);
        let forecasts = if in_time {
            // A model would be unloaded for a load that the weight store doesn't allow
            // yet, and its place would serve nobody meanwhile.
            store_loads_left =
                store_loads_left.saturating_sub(pressure.reserved_store_loads);
            vec![timely_forecast(demand, pressure)]
        } else {
            forecasts(engine, demand, upstreams.len(), self.demand_shifts.step())
        };
        let input = DemandInput {
            demand,
            unserved: &self.unserved,
            forecasts: &forecasts,
            pressure: in_time.then_some(pressure),
            demand_is_known: self.pressure_watch.demand_is_known(now, pressure),
        };
        let mut builder =
            PlanBuilder::new(now, engine, upstreams, &input, store_loads_left);
        builder.load_awaited_models();
        builder.add_copies_of_busy_models();
        builder.load_missing_models();
        let obstacles = obstacles(&builder, pressure);
        let mut planned = builder.planned;
        for (model, obstacle) in obstacles {
            self.delays.record_obstacle(model, obstacle);
        }
        for load in &mut planned {
            load.delay = self.delays.of(now, &load.load);
        }
        planned
    }

    /// Number of loads from the weight store that may be ordered in one window.
    fn loads_per_window(&self, engine: &EngineSpec) -> usize {
        let seconds = self.window_ms as f64 / 1_000.0;
        (engine.store_loads_per_s * seconds * USABLE_STORE_SHARE).max(1.0) as usize
    }
}

/// What kept each model whose requests are refused from getting a copy in a plan.
fn obstacles<'p>(
    builder: &PlanBuilder<'_>,
    pressure: &'p CapacityPressure,
) -> Vec<(&'p Arc<str>, MoveObstacle)> {
    let refused = pressure.models.iter();
    let refused = refused.filter(|(_, pressure)| pressure.is_refused());
    let obstacles = refused.filter_map(|(model, _)| {
        builder.obstacle_of(model).map(|obstacle| (model, obstacle))
    });
    obstacles.collect()
}
