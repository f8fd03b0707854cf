//! Measures the throughput of one entry.

use super::OverheadOptions;
use super::fleet::{self, CALLER_KEY};
use super::processes::{UsageSnapshot, usage_since};
use crate::demo::{DemoError, Deployment, DeploymentOptions, ProbeClient};
use crate::engine;
use crate::load::{self, LoadOptions, Report};
use std::net::SocketAddr;
use tokio::task::JoinSet;

const ENGINES: usize = 4;

/// Step time of the engines.
const STEP_US: u64 = 1_000;

const TOKENS_PER_RESPONSE: u64 = 4;

/// Numbers of concurrent streams, measured one after the other.
const CONCURRENCIES: [usize; 3] = [32, 128, 512];

/// Estimate of streams per second, which determines the number of requests of a
/// measurement; the result does not depend on it.
const ESTIMATED_STREAMS_PER_S: u64 = 5_000;

/// Measures each concurrency, both through the entry and directly at the engines.
pub(super) async fn run(options: &OverheadOptions) -> Result<(), DemoError> {
    let deployment = Deployment::start(DeploymentOptions {
        engines: ENGINES,
        services: 0,
        entries: 1,
        engine_arguments: fleet::engine_arguments(STEP_US),
        use_weight_store: false,
        ..DeploymentOptions::default()
    })?;
    fleet::prepare(&deployment, ENGINES, STEP_US).await?;
    println!(
        "\nstreams of {TOKENS_PER_RESPONSE} tokens, {ENGINES} engines with a step of \
         1 ms, one entry, whole streams per second:"
    );
    for concurrency in CONCURRENCIES {
        for round in 0..options.rounds {
            run_round(&deployment, options, concurrency, u64::from(round)).await;
        }
    }
    deployment.stop();
    Ok(())
}

async fn run_round(
    deployment: &Deployment,
    options: &OverheadOptions,
    concurrency: usize,
    round: u64,
) {
    let count = ESTIMATED_STREAMS_PER_S * options.seconds;
    let direct = run_direct(deployment, concurrency, count, round).await;
    let before = UsageSnapshot::read(deployment);
    let mut entry_options = load_options(deployment.entry_addresses(), count, round);
    entry_options.concurrency = concurrency;
    let through = load::run(entry_options).await;
    let usage = usage_since(deployment, &before);
    println!(
        "{concurrency:>6} at once: direct {:>7.0}, through {:>7.0} (whole {} of {count}); \
         first p50/p99 ms {}",
        direct.as_ref().map_or(0.0, per_second),
        per_second(&through),
        complete_count(&through),
        format_first_token(&through),
    );
    print!("{usage}");
    if complete_count(&through) != count {
        print!("{}", through.table());
    }
}

/// Sends the same load directly to the engines, to each on the model that it has
/// loaded.
async fn run_direct(
    deployment: &Deployment,
    concurrency: usize,
    count: u64,
    round: u64,
) -> Option<Report> {
    let probe = ProbeClient::new();
    let mut runs = JoinSet::new();
    for engine in deployment.engine_addresses() {
        let state: engine::Report = probe.get_json(engine, "/admin/state").await?;
        let resident = state.residents.first()?;
        let mut engine_options =
            load_options(vec![engine], count / ENGINES as u64, round);
        engine_options.direct = true;
        engine_options.workloads = fleet::workloads(
            std::slice::from_ref(&resident.model),
            TOKENS_PER_RESPONSE,
        );
        engine_options.concurrency = concurrency / ENGINES;
        runs.spawn(load::run(engine_options));
    }
    let reports = runs.join_all().await;
    let longest_ms = reports.iter().map(|report| report.elapsed_ms).max()?;
    let mut reports = reports.into_iter();
    let mut all = reports.next()?;
    reports.for_each(|report| all.merge(&report));
    all.elapsed_ms = longest_ms;
    Some(all)
}

fn load_options(targets: Vec<SocketAddr>, count: u64, round: u64) -> LoadOptions {
    LoadOptions {
        targets,
        direct: false,
        exclude_unavailable_targets: false,
        caller_key: CALLER_KEY.to_owned(),
        workloads: fleet::workloads(&fleet::models(ENGINES), TOKENS_PER_RESPONSE),
        concurrency: 0,
        rate_per_s: None,
        count,
        seed: round + 1,
    }
}

fn complete_count(report: &Report) -> u64 {
    report.profiles.values().map(|profile| profile.whole).sum()
}

fn per_second(report: &Report) -> f64 {
    complete_count(report) as f64 * 1_000.0 / report.elapsed_ms.max(1) as f64
}

fn format_first_token(report: &Report) -> String {
    let profile = report.profiles.values().next();
    let ms = |us: u64| us as f64 / 1_000.0;
    profile.map_or(String::new(), |profile| {
        let first = &profile.first_token;
        format!("{:.1}/{:.1}", ms(first.p50_us), ms(first.p99_us))
    })
}
