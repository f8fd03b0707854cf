//! Builds names, documents and messages of typical size for the measurements.

use schema::link::{self, Attempt, Demand, Gossip, Heartbeat, Load, Resident};
use serde_json::{Value, json};

/// Pool of all agents.
pub const POOL: &str = "oracle";
/// Memory of one accelerator, in MiB.
pub const ACCELERATOR_MIB: u32 = 81_920;
/// Memory of one model, in MiB: one model fits on an accelerator.
pub const MODEL_MIB: u32 = 69_632;
/// API key of the only caller.
pub const KEY: &str = "key-press-desk";
/// Name of a peer entry.
pub const PEER: &str = "entry-0002";

/// Sizes of a fleet document.
#[derive(Debug, Clone, Copy)]
pub struct Fleet {
    /// Number of models.
    pub models: usize,
    /// Requests that one accelerator runs at once.
    pub concurrent_max: u32,
}

impl Fleet {
    /// The default document with this number of models.
    pub const fn with_models(models: usize) -> Self {
        Self {
            models,
            concurrent_max: 16,
        }
    }
}

/// Name of a model.
pub fn model(index: usize) -> String {
    format!("diagnosis-{index:05}")
}

/// Name of an agent.
pub fn agent(index: usize) -> String {
    format!("oracle-{index:05}")
}

/// Name of an entry.
pub fn entry(index: usize) -> String {
    format!("entry-{index:04}")
}

/// Name of one of the 14 failure domains.
pub fn failure_domain(index: usize) -> String {
    format!("spanish-town-{:02}", index % 14)
}

/// Builds a fleet document.
pub fn document(fleet: &Fleet) -> Value {
    let names: Vec<String> = (0..fleet.models).map(model).collect();
    let spec = json!({"size_mib": MODEL_MIB, "version": 1, "pool": POOL});
    let models: serde_json::Map<String, Value> = names
        .iter()
        .map(|name| (name.clone(), spec.clone()))
        .collect();
    let failure_domains: Vec<String> = (0..14).map(failure_domain).collect();
    let to_region = |name: &String| (name.clone(), json!({"region": "kingston"}));
    let regions: serde_json::Map<String, Value> =
        failure_domains.iter().map(to_region).collect();
    json!({
        "deployment": "capacity",
        "failure_domains": regions,
        "pools": {POOL: {"kind": "engine", "instances": 10_000,
            "failure_domains": failure_domains,
            "accelerators_mib": vec![ACCELERATOR_MIB; 4],
            "step_time_us": 10_000, "concurrent_max": fleet.concurrent_max,
            "order_delay_max_ms": 5_000, "checks_fencing": true}},
        "models": models,
        "profiles": {"desk": {"kind": "interactive", "models": names,
            "first_token_ms": 1_400, "between_tokens_ms": 64,
            "deadline_ms": 60_000, "priority": 100, "value": 10.0}},
        "callers": {"press-desk": {"key_sha256": conf::sha256_hex(KEY),
            "concurrent_max": 100_000}},
        "weights": {"attainment": 1.0, "move_cost": 1.0,
            "min_residence_ms": 5_000, "wait_max_ms": 60_000},
        "store": {"loads_per_s": 8.0, "full_speed_loads": 32,
            "load_time_ms": 2_000},
        "limits": {"heartbeat_ms": 500, "waiting_max": 1_000_000},
    })
}

/// Load report of an agent with free slots.
pub const fn load_report() -> Load {
    Load {
        running: 1,
        waiting: 0,
        running_max: 64,
        step_time_us: 10_000,
        report_age_ms: 40,
    }
}

/// Heartbeat of an agent with `residents` resident models out of `models`.
pub fn heartbeat(
    index: usize,
    sequence: u64,
    residents: usize,
    models: usize,
) -> Heartbeat {
    let resident = |position: usize| Resident {
        model: model((index * residents + position) % models),
        version: 1,
        accelerator: (position % 4) as u32,
        state: link::ResidentState::Loaded.into(),
        size_mib: MODEL_MIB,
        age_ms: 1_000_000,
    };
    Heartbeat {
        agent: agent(index),
        incarnation: 1_764_700_000_000_000,
        epoch: 3,
        pool: POOL.to_owned(),
        failure_domain: failure_domain(index),
        residents: (0..residents).map(resident).collect(),
        load: Some(load_report()),
        leaving: false,
        upstream_up: true,
        accelerators_mib: vec![ACCELERATOR_MIB; 4],
        sequence,
        target_planner: PEER.to_owned(),
        target_sequence: 90_000,
        link_address: "10.120.130.140:20001".to_owned(),
        operator_address: "10.120.130.140:20002".to_owned(),
        restored_generation: 0,
    }
}

/// Demand for one model.
pub fn demand(index: usize) -> Demand {
    Demand {
        model: model(index),
        rate_milli: 25_000 + index as u32 % 900,
        waiting: 0,
        oldest_wait_ms: 0,
        service_time_ms: 2_500,
        value_milli: 10_000,
    }
}

/// Gossip message of an entry.
pub fn gossip(
    from: &str,
    sequence: u64,
    agents: Vec<Heartbeat>,
    demands: Vec<Demand>,
) -> Gossip {
    Gossip {
        entry: from.to_owned(),
        incarnation: 1_764_700_000_000_000,
        sequence,
        agents,
        demands,
        link_address: "10.120.130.141:20001".to_owned(),
        operator_address: "10.120.130.141:20002".to_owned(),
        failure_domain: failure_domain(0),
        ..Gossip::default()
    }
}

/// Id of an attempt.
pub const fn attempt(sequence: u64) -> Option<Attempt> {
    Some(Attempt {
        origin: 1_764_700_000_000_000,
        sequence,
    })
}
