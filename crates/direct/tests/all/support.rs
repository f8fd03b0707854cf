//! Values that several tests use.

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

/// An engine with room for three models of 70 and two adapters.
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
        models: models
            .iter()
            .map(|model| (name(model), spec.clone()))
            .collect(),
    }
}

pub fn news(id: &str, models: &[&str]) -> UpstreamRecord {
    UpstreamRecord {
        id: name(id),
        started_unix_ms: None,
        service: name("oracle"),
        address: ([127, 0, 0, 1], 1).into(),
        domain: name("east"),
        batch_slots: 8,
        leaving: false,
        gone_in_ms: None,
        residents: models.iter().map(|model| resident(model, &[])).collect(),
        local_weights: LocalWeights::default(),
    }
}

/// A start of which the time is not known.
pub fn start(id: &str) -> UpstreamIncarnation<'_> {
    UpstreamIncarnation {
        id,
        started_unix_ms: None,
    }
}

/// As [`news`], of a start that says when it was.
pub fn born_news(id: &str, born_ms: u64, models: &[&str]) -> UpstreamRecord {
    UpstreamRecord {
        started_unix_ms: Some(born_ms),
        ..news(id, models)
    }
}

pub fn resident(model: &str, adapters: &[&str]) -> ResidentModel {
    ResidentModel {
        model: name(model),
        version: 1,
        adapters: adapters.iter().map(|adapter| name(adapter)).collect(),
    }
}

/// Bytes of randomness for one case; enough for its longest sequence.
const CASE_BYTES: u64 = 30_000;

/// Plays a property over `count` fixed sequences, so that every run of the tests
/// plays the same ones.
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
