//! Measures the throughput of one entry.

use super::OverheadOptions;
use super::fleet::{self, KEY};
use super::processes::{Use, loaded};
use crate::demo::{DemoError, Deployment, DeploymentOptions, ProbeClient};
use crate::engine;
use crate::load::{self, LoadOptions, Report};
use std::net::SocketAddr;
use tokio::task::JoinSet;

const ENGINES: usize = 4;
const STEP_US: u64 = 1_000;
const TOKENS: u64 = 4;

/// Numbers of concurrent streams, measured one after the other.
const CONCURRENCIES: [usize; 3] = [32, 128, 512];

/// Estimate of streams per second, which determines the number of requests of a
/// measurement; the result does not depend on it.
const GUESS_PER_S: u64 = 5_000;

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
    fleet::bring_up(&deployment, ENGINES, STEP_US).await?;
    println!(
        "\nstreams of {TOKENS} tokens, {ENGINES} engines with a step of 1 ms, one \
         entry, whole streams per second:"
    );
    for concurrency in CONCURRENCIES {
        for turn in 0..options.rounds {
            one_turn(&deployment, options, concurrency, u64::from(turn)).await;
        }
    }
    deployment.stop();
    Ok(())
}

async fn one_turn(
    deployment: &Deployment,
    options: &OverheadOptions,
    concurrency: usize,
    turn: u64,
) {
    let count = GUESS_PER_S * options.seconds;
    let direct = straight(deployment, concurrency, count, turn).await;
    let before = Use::of(deployment);
    let mut of_entry = work(deployment.entry_addresses(), count, turn);
    of_entry.concurrency = concurrency;
    let through = load::run(of_entry).await;
    let used = loaded(deployment, &before);
    println!(
        "{concurrency:>6} at once: direct {:>7.0}, through {:>7.0} (whole {} of {count}); \
         first p50/p99 ms {}",
        direct.as_ref().map_or(0.0, per_second),
        per_second(&through),
        whole(&through),
        first(&through),
    );
    print!("{used}");
    if whole(&through) != count {
        print!("{}", through.table());
    }
}

/// Sends the same load directly to the engines, to each on the model that it has
/// loaded.
async fn straight(
    deployment: &Deployment,
    concurrency: usize,
    count: u64,
    turn: u64,
) -> Option<Report> {
    let probe = ProbeClient::new();
    let mut runs = JoinSet::new();
    for engine in deployment.engine_addresses() {
        let state: engine::Report = probe.get_json(engine, "/admin/state").await?;
        let held = state.residents.first()?;
        let mut of_engine = work(vec![engine], count / ENGINES as u64, turn);
        of_engine.direct = true;
        of_engine.workloads =
            fleet::workloads(std::slice::from_ref(&held.model), TOKENS);
        of_engine.concurrency = concurrency / ENGINES;
        runs.spawn(load::run(of_engine));
    }
    let reports = runs.join_all().await;
    let longest_ms = reports.iter().map(|report| report.elapsed_ms).max()?;
    let mut reports = reports.into_iter();
    let mut all = reports.next()?;
    reports.for_each(|report| all.merge(&report));
    all.elapsed_ms = longest_ms;
    Some(all)
}

fn work(targets: Vec<SocketAddr>, count: u64, turn: u64) -> LoadOptions {
    LoadOptions {
        targets,
        direct: false,
        exclude_unavailable_targets: false,
        caller_key: KEY.to_owned(),
        workloads: fleet::workloads(&fleet::models(ENGINES), TOKENS),
        concurrency: 0,
        rate_per_s: None,
        count,
        seed: turn + 1,
    }
}

fn whole(report: &Report) -> u64 {
    report.profiles.values().map(|profile| profile.whole).sum()
}

fn per_second(report: &Report) -> f64 {
    whole(report) as f64 * 1_000.0 / report.elapsed_ms.max(1) as f64
}

fn first(report: &Report) -> String {
    let profile = report.profiles.values().next();
    let ms = |us: u64| us as f64 / 1_000.0;
    profile.map_or(String::new(), |profile| {
        let first = &profile.first_token;
        format!("{:.1}/{:.1}", ms(first.p50_us), ms(first.p99_us))
    })
}
