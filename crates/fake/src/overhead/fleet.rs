//! Fleet configuration and workloads of the benchmark.

use serde_json::{Value, json};

use crate::demo::{DemoError, Deployment};
use crate::load::{self, LoadOptions, Workload};

/// API key of the benchmark's caller, whose hash is in the fleet configuration.
pub(super) const CALLER_KEY: &str = "demo-key";

/// Slots of one engine's batch, more than any load here fills.
pub(super) const ENGINE_SLOTS: usize = 256;

/// Profile of all requests.
pub(super) const PROFILE: &str = "bench";

/// Returns the names of the models, one for each engine.
pub(super) fn models(engines: usize) -> Vec<String> {
    (1..=engines)
        .map(|index| format!("model-{index}"))
        .collect()
}

/// Returns the fleet configuration for a number of engines with a step time.
pub(super) fn fleet_document(engines: usize, step_us: u64) -> String {
    let names = models(engines);
    let models: serde_json::Map<String, Value> = names
        .iter()
        .map(|name| {
            let model = json!({"size_mib": 70_000, "version": 1, "pool": "oracle"});
            (name.clone(), model)
        })
        .collect();
    let domains = ["spanish-town", "newport-west", "halfway-tree"];
    json!({
        "deployment": "overhead",
        "failure_domains": {
            "spanish-town": {"region": "kingston"},
            "newport-west": {"region": "kingston"},
            "halfway-tree": {"region": "kingston"},
        },
        "pools": {"oracle": {
            "kind": "engine",
            "instances": engines,
            "failure_domains": &domains[..engines.min(domains.len())],
            "accelerators_mib": [81_920],
            "step_time_us": step_us,
            "concurrent_max": ENGINE_SLOTS,
            "checks_fencing": true,
            "order_delay_max_ms": 1_000,
        }},
        "models": models,
        "profiles": {PROFILE: {
            "kind": "batch",
            "models": names,
            "deadline_ms": 60_000,
            "priority": 100,
            "value": 10,
        }},
        "callers": {"press-desk": {
            "key_sha256":
                "c48a01f49fd0f2cc404bc3cbbc80e91457a3d41bb429a695243de4c61794155c",
            "concurrent_max": 10_000,
        }},
        "weights": {
            "attainment": 1.0,
            "move_cost": 1.0,
            "min_residence_ms": 60_000,
            "wait_max_ms": 20_000,
        },
        "store": {"loads_per_s": 10.0, "full_speed_loads": 8, "load_time_ms": 200},
    })
    .to_string()
}

/// Returns the command-line arguments of each engine.
pub(super) fn engine_arguments(step_us: u64) -> Vec<String> {
    let slots = ENGINE_SLOTS.to_string();
    let step_us = step_us.to_string();
    [
        "--check-fencing",
        "--load-ms",
        "200",
        "--slots",
        &slots,
        "--step-us",
        &step_us,
    ]
    .map(str::to_owned)
    .to_vec()
}

/// Returns a workload for each model, all with the same frequency.
pub(super) fn workloads(models: &[String], max_tokens: u64) -> Vec<Workload> {
    let workload = |model: &String| Workload {
        profile: PROFILE.to_owned(),
        models: vec![model.clone()],
        max_tokens,
        ..Workload::default()
    };
    models.iter().map(workload).collect()
}

/// Publishes the configuration, waits until the deployment is ready, and sends one
/// request to each model so that it is loaded.
pub(super) async fn prepare(
    deployment: &Deployment,
    engines: usize,
    step_us: u64,
) -> Result<(), DemoError> {
    let output = deployment.publish_with(&fleet_document(engines, step_us), &[])?;
    if output.exit_code != 0 {
        return Err(DemoError::CommandFailed(output.text));
    }
    deployment.wait_ready().await?;
    for model in models(engines) {
        let report = load::run(LoadOptions {
            targets: deployment.entry_addresses(),
            direct: false,
            exclude_unavailable_targets: false,
            caller_key: CALLER_KEY.to_owned(),
            workloads: workloads(&[model], 4),
            concurrency: 1,
            rate_per_s: None,
            count: 1,
            seed: 1,
        })
        .await;
        if report.profiles[PROFILE].whole != 1 {
            return Err(DemoError::CommandFailed(report.table()));
        }
    }
    Ok(())
}
