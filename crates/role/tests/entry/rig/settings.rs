//! The rig's configuration document and the entry's options.

use super::KEY;
use base::prelude::*;
use role::entry::EntryOptions;
use serde_json::{Value, json};

pub fn document() -> Value {
    let model = |pool: &str| json!({"size_mib": 70, "version": 1, "pool": pool});
    json!({
        "deployment": "test",
        "failure_domains": {"d1": {}, "d2": {}},
        "pools": {
            "gpu": {"kind": "engine", "instances": 4, "failure_domains": ["d1"],
                "accelerators_mib": [80], "step_time_us": 10000,
                "concurrent_max": 4},
            "desk": {"kind": "service", "instances": 1, "failure_domains": ["d1"],
                "concurrent_max": 4},
        },
        "models": {"m1": model("gpu"), "m2": model("gpu"), "m3": model("gpu")},
        "profiles": {
            "desk": {"kind": "interactive", "models": ["m1", "m2", "m3"],
                "deadline_ms": 30000, "priority": 5, "value": 1.0},
            "night": {"kind": "batch", "models": ["m1", "m2", "m3"],
                "deadline_ms": 60000, "priority": 1, "value": 0.1},
        },
        "services": {
            "orders": {"pool": "desk", "idempotent": false, "timeout_ms": 2000},
            "parts": {"pool": "desk", "idempotent": true, "timeout_ms": 2000},
        },
        "callers": {"c1": {"key_sha256": conf::sha256_hex(KEY), "concurrent_max": 500}},
        "limits": {"heartbeat_ms": 500},
    })
}

pub fn options(id: &str, incarnation: u64) -> EntryOptions {
    EntryOptions {
        id: EntryId::new(id),
        incarnation: Incarnation(incarnation),
        failure_domain: FailureDomainId::new("d1"),
        link_address: format!("10.0.0.1:{incarnation}"),
        operator_address: String::new(),
        peers: Vec::new(),
        shards: 2,
        seed: 1,
        unix_ms_at_zero: 0,
    }
}
