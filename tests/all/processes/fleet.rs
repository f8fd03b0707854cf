//! Configuration of the deployment under test: three engines for four models, and
//! two plain services.

use serde_json::{Value, json};

/// API key of the tests' caller; the configuration contains its SHA-256 hash.
pub(super) const KEY: &str = "demo-key";

/// Models, of which an accelerator holds one at a time.
pub(super) const MODELS: [&str; 4] =
    ["diagnosis-01", "diagnosis-02", "billing-01", "billing-02"];

/// Returns the configuration document.
pub(super) fn document() -> Value {
    let model =
        |size_mib: u32| json!({"size_mib": size_mib, "version": 1, "pool": "oracle"});
    let domains = ["spanish-town", "newport-west", "halfway-tree"];
    json!({
        "deployment": "processes",
        "failure_domains": {
            "spanish-town": {"region": "kingston"},
            "newport-west": {"region": "kingston"},
            "halfway-tree": {"region": "kingston"},
        },
        "pools": {
            "oracle": {
                "kind": "engine",
                "instances": 3,
                "failure_domains": domains,
                "accelerators_mib": [81_920],
                "step_time_us": 10_000,
                "concurrent_max": 16,
                "checks_fencing": true,
                "order_delay_max_ms": 1_000,
            },
            "deskapp": {
                "kind": "service",
                "instances": 2,
                "failure_domains": domains,
                "concurrent_max": 16,
            },
        },
        "models": {
            "diagnosis-01": model(66_560),
            "diagnosis-02": model(71_680),
            "billing-01": model(68_608),
            "billing-02": model(73_728),
        },
        "adapters": {
            "diagnosis-01-kingston":
                {"base": "diagnosis-01", "size_mib": 256, "version": 1},
        },
        "profiles": {
            "desk": {
                "kind": "interactive",
                "models": ["diagnosis-01", "diagnosis-02", "diagnosis-01-kingston"],
                "first_token_ms": 5_000,
                "between_tokens_ms": 1_000,
                "deadline_ms": 60_000,
                "priority": 100,
                "value": 10,
            },
            "billing": {
                "kind": "batch",
                "models": ["billing-01", "billing-02"],
                "deadline_ms": 60_000,
                "priority": 10,
                "value": 1,
            },
            "parts": {
                "kind": "interactive",
                "service": "deskapp",
                "deadline_ms": 20_000,
                "priority": 100,
                "value": 10,
            },
        },
        "services": {
            "deskapp": {"pool": "deskapp", "idempotent": false, "timeout_ms": 5_000},
        },
        "callers": {
            "press-desk": {
                "key_sha256":
                    "c48a01f49fd0f2cc404bc3cbbc80e91457a3d41bb429a695243de4c61794155c",
                "concurrent_max": 2_000,
            },
        },
        "weights": {
            "attainment": 1.0,
            "move_cost": 1.0,
            "min_residence_ms": 1_000,
            "wait_max_ms": 20_000,
        },
        "store": {"loads_per_s": 10.0, "full_speed_loads": 4, "load_time_ms": 300},
        "limits": {"heartbeat_ms": 250},
    })
}
