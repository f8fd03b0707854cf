//! The demo's load: requests of technicians, billing and parts orders. It has three
//! phases, of which the middle one is a burst on other models.

use std::net::SocketAddr;

use super::DemoOptions;
use crate::load::{self, LoadOptions, Report, Workload};

/// API key of the demo's caller, whose hash is in the fleet configuration.
const CALLER_KEY: &str = "demo-key";

/// Requests per second before and after the burst.
const BASE_RATE_PER_S: f64 = 25.0;

/// Requests per second in the burst.
const BURST_RATE_PER_S: f64 = 75.0;

/// Runs all phases and merges their reports.
pub(super) async fn run(entries: &[SocketAddr], options: &DemoOptions) -> Report {
    let phases = [
        (BASE_RATE_PER_S, BASE_DESK_MODELS),
        (BURST_RATE_PER_S, BURST_DESK_MODELS),
        (BASE_RATE_PER_S, BASE_DESK_MODELS),
    ];
    let seconds = options.seconds as f64 / phases.len() as f64;
    let mut total: Option<Report> = None;
    for (index, (rate, desk_models)) in phases.into_iter().enumerate() {
        let report = load::run(LoadOptions {
            targets: entries.to_vec(),
            direct: false,
            exclude_unavailable_targets: false,
            caller_key: CALLER_KEY.to_owned(),
            workloads: workloads(desk_models),
            concurrency: 0,
            rate_per_s: Some(rate),
            count: (rate * seconds).ceil() as u64,
            seed: options.seed.wrapping_mul(8).wrapping_add(index as u64),
        })
        .await;
        match &mut total {
            Some(total) => total.merge(&report),
            None => total = Some(report),
        }
    }
    total.expect("there are three phases")
}

/// Models that technicians use outside the burst, the most frequent first.
const BASE_DESK_MODELS: &[&str] = &[
    "diagnosis-01",
    "diagnosis-02",
    "diagnosis-01-kingston",
    "diagnosis-02-montego-bay",
    "diagnosis-03",
    "diagnosis-04",
    "diagnosis-03-mandeville",
    "diagnosis-05",
    "diagnosis-06",
];

/// Models that technicians use in the burst, the most frequent first.
const BURST_DESK_MODELS: &[&str] = &[
    "diagnosis-07",
    "diagnosis-03-ocho-rios",
    "diagnosis-03",
    "diagnosis-01",
    "diagnosis-04-port-antonio",
    "diagnosis-08",
    "diagnosis-02",
];

fn workloads(desk_models: &[&str]) -> Vec<Workload> {
    let to_names =
        |models: &[&str]| models.iter().map(|name| (*name).to_owned()).collect();
    vec![
        Workload {
            profile: "desk".to_owned(),
            models: to_names(desk_models),
            weight: 16,
            prompt_tokens: 200,
            shared_tokens: 128,
            max_tokens: 24,
            first_token_ms: 1_400,
            between_tokens_ms: 64,
            deadline_ms: 20_000,
            ..Workload::default()
        },
        Workload {
            profile: "billing".to_owned(),
            models: to_names(&["billing-01", "billing-02", "billing-03", "billing-04"]),
            weight: 2,
            prompt_tokens: 400,
            max_tokens: 48,
            stream: false,
            deadline_ms: 30_000,
            ..Workload::default()
        },
        Workload {
            profile: "parts".to_owned(),
            service: "deskapp".to_owned(),
            weight: 2,
            deadline_ms: 5_000,
            ..Workload::default()
        },
    ]
}
