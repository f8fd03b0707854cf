//! What is to be held where: loads and the unloads that make room for them.

use base::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;

use crate::demand_shift::ShiftDetector;
use crate::forecast::forecasts;
use crate::plan::{DemandInput, PlanBuilder};
use crate::unanswered::MAX_ORDER_DELAY_MS;
use crate::unserved::UnservedModels;
use crate::{DemandEstimate, EngineSpec};

/// Part of the loads that the weight store allows which is used. The rest is
/// for orders whose answer is lost and that begin late.
const USABLE_STORE_SHARE: f64 = 0.95;

/// One upstream as the plan sees it.
#[derive(Debug, Clone)]
pub struct UpstreamState {
    /// Upstream.
    pub upstream: Arc<str>,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Whether it can be ordered something now.
    pub idle: bool,
    /// Weights that still fit.
    pub free_mb: f64,
    /// Models held or on their way.
    pub models: Vec<PlacedModel>,
    /// Models that it can load without the weight store.
    pub local_weights: Vec<Arc<str>>,
}

/// A model with its adapters at one upstream.
#[derive(Debug, Clone)]
pub struct PlacedModel {
    /// Model.
    pub model: Arc<str>,
    /// Memory that it takes with its adapters.
    pub size_mb: f64,
    /// Whether it is leaving.
    pub unloading: bool,
    /// When it was seen there first.
    pub since: Instant,
}

/// Why a model is loaded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadReason {
    /// Requests wait for it.
    Waited,
    /// Its copies are too busy.
    Busy,
    /// Nothing holds it, and there is room.
    Reachable,
}

impl LoadReason {
    /// The word used in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Waited => "waited",
            Self::Busy => "busy",
            Self::Reachable => "reachable",
        }
    }
}

/// A move that was decided.
#[derive(Debug, Clone)]
pub struct PlannedLoad {
    /// Upstream that is to load.
    pub upstream: Arc<str>,
    /// Model to load.
    pub load: Arc<str>,
    /// Model that has to go first.
    pub unload: Option<Arc<str>>,
    /// Whether the weights come from the weight store.
    pub from_store: bool,
    /// Why.
    pub reason: LoadReason,
    /// Fall of the sum of the squares of all upstreams' loads.
    pub relief: f64,
}

/// Decides moves and keeps to the weight store's rate.
#[derive(Debug)]
pub struct LoadPlanner {
    window_ms: u64,
    store_loads: Vec<Instant>,
    /// Ends of the times in which unanswered loads may begin.
    unanswered_until: Vec<Instant>,
    unserved: UnservedModels,
    demand_shifts: ShiftDetector,
}

impl LoadPlanner {
    /// No moves yet; loads from the store are counted over `window_ms`.
    pub fn new(window_ms: u64) -> Self {
        Self {
            window_ms,
            store_loads: Vec::new(),
            unanswered_until: Vec::new(),
            unserved: UnservedModels::default(),
            demand_shifts: ShiftDetector::default(),
        }
    }

    /// Counts a load from the weight store that was ordered.
    pub fn record_store_load(&mut self, now: Instant) {
        self.store_loads.push(now);
    }

    /// Counts a load whose order got no answer: it may begin at any time until
    /// no late order is carried out any more.
    pub fn record_unanswered_load(&mut self, now: Instant) {
        self.unanswered_until.push(now.plus_ms(MAX_ORDER_DELAY_MS));
    }

    /// Counts loads of an earlier start that a later one may still carry out.
    ///
    /// One that was to come from a copy may come from the weight store instead,
    /// since a start keeps no copy in memory of the one before. Not counted, the
    /// restart of many upstreams at once would load more than the store allows.
    pub fn record_surviving_loads(&mut self, now: Instant, loads: usize) {
        let until = now.plus_ms(MAX_ORDER_DELAY_MS);
        self.unanswered_until
            .extend(std::iter::repeat_n(until, loads));
    }

    /// Orders are given again after a time without them. Who waits has waited for
    /// nobody meanwhile, but loads that were ordered before count as they did: a lease
    /// that lapses for a moment would else allow the window's loads a second time.
    pub fn resume(&mut self) {
        self.unserved = UnservedModels::default();
        self.demand_shifts = ShiftDetector::default();
    }

    /// Counts what an earlier giver may have ordered up to a time.
    pub fn assume_window_spent(&mut self, until: Instant, engine: &EngineSpec) {
        for _ in 0..self.loads_per_window(engine) {
            self.store_loads.push(until);
        }
    }

    /// Loads that may be ordered from the weight store now.
    pub fn store_loads_left(&mut self, now: Instant, engine: &EngineSpec) -> usize {
        let oldest = now - Duration::from_millis(self.window_ms);
        self.store_loads.retain(|at| *at > oldest);
        self.unanswered_until.retain(|until| *until > now);
        let spent = self.store_loads.len() + self.unanswered_until.len();
        self.loads_per_window(engine).saturating_sub(spent)
    }

    /// Moves worth starting now.
    pub fn plan(
        &mut self,
        now: Instant,
        engine: &EngineSpec,
        upstreams: &[UpstreamState],
        loads: &BTreeMap<Arc<str>, DemandEstimate>,
    ) -> Vec<PlannedLoad> {
        let allowance = self.store_loads_left(now, engine);
        let is_held = |model: &str| {
            let mut groups = upstreams.iter().flat_map(|upstream| &upstream.models);
            groups.any(|group| &*group.model == model && !group.unloading)
        };
        self.unserved.update(now, loads, is_held);
        self.demand_shifts.observe(now, loads);
        let forecasts =
            forecasts(engine, loads, upstreams.len(), self.demand_shifts.step());
        let demand = DemandInput {
            demand: loads,
            unserved: &self.unserved,
            forecasts: &forecasts,
        };
        let mut board = PlanBuilder::new(now, engine, upstreams, &demand, allowance);
        board.load_waited_for();
        board.add_copies_of_busy();
        board.load_missing();
        board.planned
    }

    fn loads_per_window(&self, engine: &EngineSpec) -> usize {
        let seconds = self.window_ms as f64 / 1_000.0;
        (engine.store_loads_per_s * seconds * USABLE_STORE_SHARE).max(1.0) as usize
    }
}
