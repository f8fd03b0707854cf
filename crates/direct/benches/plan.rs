//! Duration of one plan of the coordinator, by the number of models and upstreams.
//!
//! The coordinator plans several times a second while it handles requests, on as little
//! as 0.09 of a core, so a plan must take no more than a few milliseconds.

use base::prelude::*;
use direct::{
    CapacityPressure, DemandEstimate, DemandPressure, EngineSpec, LoadPlanner,
    ModelSpec, PlacedModel, UpstreamState,
};
use std::collections::BTreeMap;
use std::sync::Arc;

const PLANS: u32 = 20;

/// Numbers of models and upstreams in deployments of several sizes.
const SIZES: [(usize, usize); 5] =
    [(21, 12), (39, 18), (88, 54), (170, 78), (340, 286)];

fn main() {
    println!("| models | upstreams | copies | moves | a plan, ms |");
    println!("|---|---|---|---|---|");
    for (models, upstreams) in SIZES {
        let names: Vec<Arc<str>> = (0..models)
            .map(|index| format!("model-{index:03}").into())
            .collect();
        let engine = engine(&names);
        let upstream_states = upstream_states(&names, upstreams);
        let demand = demand(&names);
        let calm = CapacityPressure::default();
        for (copies, pressure) in
            [("at least cost", calm), ("in time", pressure(&names))]
        {
            let started_at = std::time::Instant::now();
            let mut planned = 0;
            for _ in 0..PLANS {
                let mut planner = LoadPlanner::new(6_000);
                let now = Instant::from_ms(60_000);
                let plan = planner.plan_under_pressure(
                    now,
                    &engine,
                    &upstream_states,
                    &demand,
                    &pressure,
                );
                planned = plan.len();
            }
            let ms = started_at.elapsed().as_secs_f64() * 1_000.0 / f64::from(PLANS);
            println!("| {models} | {upstreams} | {copies} | {planned} | {ms:.2} |");
        }
    }
}

/// Pressure where every other model has patient callers and the busiest tenth is
/// refused.
fn pressure(names: &[Arc<str>]) -> CapacityPressure {
    let models = names.iter().enumerate().map(|(index, name)| {
        let pressure = DemandPressure {
            refused_ms_per_s: if index < names.len() / 10 { 500.0 } else { 0.0 },
            shortest_target_ms: if index % 2 == 0 { 500 } else { 8_000 },
            longest_run_ms: 500,
        };
        (Arc::clone(name), pressure)
    });
    CapacityPressure {
        targets_differ: true,
        models: models.collect(),
        ..CapacityPressure::default()
    }
}

fn engine(names: &[Arc<str>]) -> EngineSpec {
    let spec = ModelSpec {
        weights_mb: 70_000.0,
        store_load_ms: 2_300,
        disk_load_ms: 1_000,
        memory_load_ms: 500,
        adapter_mb: 60.0,
        adapters: Vec::new(),
    };
    EngineSpec {
        batch_slots: 64,
        cache_capacity_tokens: 100_000,
        weights_max_mb: 230_000.0,
        adapters_max: 8,
        store_loads_per_s: 13.0,
        tokens_per_event: 1,
        models: names
            .iter()
            .map(|name| (Arc::clone(name), spec.clone()))
            .collect(),
    }
}

/// Upstreams with three models each. The first third of all models is held.
fn upstream_states(names: &[Arc<str>], upstreams: usize) -> Vec<UpstreamState> {
    let upstream_state = |index: usize| {
        let models_held = (0..3).map(|offset| PlacedModel {
            model: Arc::clone(&names[(index * 3 + offset) % (names.len() / 3)]),
            size_mb: 70_000.0,
            unloading: false,
            since: Instant::ZERO,
        });
        UpstreamState {
            upstream: format!("upstream-{index:03}").into(),
            domain: format!("domain-{}", index % 5).into(),
            idle: true,
            free_mb: 20_000.0,
            models: models_held.collect(),
            local_weights: Vec::new(),
        }
    };
    (0..upstreams).map(upstream_state).collect()
}

/// Demand that is high for a few models and low for all others.
fn demand(names: &[Arc<str>]) -> BTreeMap<Arc<str>, DemandEstimate> {
    let estimate = |index: usize| {
        let ms_per_s = 8_000.0 / (index as f64 + 1.0);
        DemandEstimate {
            recent_ms_per_s: ms_per_s,
            sustained_ms_per_s: ms_per_s,
            ..DemandEstimate::default()
        }
    };
    let demand = names.iter().enumerate();
    demand
        .map(|(index, name)| (Arc::clone(name), estimate(index)))
        .collect()
}
