//! Fixtures shared by several tests.

use arbtest::{arbitrary, arbtest};
use base::prelude::*;
use direct::{
    EngineSpec, LocalWeights, ModelSpec, ResidentModel, UpstreamIncarnation,
    UpstreamRecord,
};
use std::sync::Arc;

pub fn at(ms: u64) -> Instant {
    Instant::from_ms(100_000 + ms)
}

pub fn name(text: &str) -> Arc<str> {
    text.into()
}

/// An engine with memory for three models of 70 MB and slots for two adapters.
pub fn engine(models: &[&str]) -> EngineSpec {
    let spec = ModelSpec {
        weights_mb: 70.0,
        store_load_ms: 2_000,
        disk_load_ms: 1_000,
        memory_load_ms: 500,
        adapter_mb: 1.0,
        adapters: Vec::new(),
    };
    EngineSpec {
        batch_slots: 8,
        cache_capacity_tokens: 10_000,
        weights_max_mb: 215.0,
        adapters_max: 2,
        store_loads_per_s: 2.0,
        tokens_per_event: 1,
        models: models
            .iter()
            .map(|model| (name(model), spec.clone()))
            .collect(),
    }
}

pub fn record(id: &str, models: &[&str]) -> UpstreamRecord {
    UpstreamRecord {
        id: name(id),
        started_unix_ms: None,
        service: name("oracle"),
        software_version: Some("v1".into()),
        address: ([127, 0, 0, 1], 1).into(),
        domain: name("east"),
        batch_slots: 8,
        leaving: false,
        gone_in_ms: None,
        residents: models.iter().map(|model| resident(model, &[])).collect(),
        local_weights: LocalWeights::default(),
    }
}

/// An incarnation without a start time.
pub fn incarnation(id: &str) -> UpstreamIncarnation<'_> {
    UpstreamIncarnation {
        id,
        started_unix_ms: None,
    }
}

/// As [`record`], with the start time of the incarnation.
pub fn record_with_start(
    id: &str,
    started_unix_ms: u64,
    models: &[&str],
) -> UpstreamRecord {
    UpstreamRecord {
        started_unix_ms: Some(started_unix_ms),
        ..record(id, models)
    }
}

pub fn resident(model: &str, adapters: &[&str]) -> ResidentModel {
    ResidentModel {
        model: name(model),
        version: 1,
        adapters: adapters.iter().map(|adapter| name(adapter)).collect(),
    }
}

/// Bytes of randomness for one case, enough for its longest sequence.
const CASE_BYTES: u64 = 30_000;

/// Runs a property over `count` fixed sequences, so that every test run uses the same
/// ones.
pub fn cases(
    count: u64,
    property: impl Fn(&mut arbitrary::Unstructured<'_>) -> arbitrary::Result<()>,
) {
    for case in 1..=count {
        arbtest(|random| property(random))
            .seed((case << 32) | CASE_BYTES)
            .run();
    }
}
