//! Measures time to first token and total time, directly at the engine and through
//! entry and agent.

use super::OverheadOptions;
use super::fleet::{self, CALLER_KEY, PROFILE};
use super::processes::{format_resident_memory, measure_idle};
use crate::demo::{DemoError, Deployment, DeploymentOptions};
use crate::load::{self, LoadOptions, ProfileReport, Report};

/// Step time of the engine.
const STEP_US: u64 = 10_000;

const TOKENS_PER_RESPONSE: u64 = 16;

/// Requests per second, measured one after the other.
const RATES_PER_S: [u32; 3] = [10, 100, 400];

/// Measures the idle processes, then the latency at each rate.
pub(super) async fn run(options: &OverheadOptions) -> Result<(), DemoError> {
    let deployment = Deployment::start(DeploymentOptions {
        engines: 1,
        services: 0,
        entries: 1,
        engine_arguments: fleet::engine_arguments(STEP_US),
        use_weight_store: false,
        ..DeploymentOptions::default()
    })?;
    fleet::prepare(&deployment, 1, STEP_US).await?;
    println!("\none engine, one agent, one entry, idle with a model loaded:");
    print!("{}", measure_idle(&deployment, options.idle_seconds).await);
    println!(
        "\nstep 10 ms, {TOKENS_PER_RESPONSE} tokens, {} rounds of {} s per path; \
         ms direct -> through entry and agent",
        options.rounds, options.seconds
    );
    println!(
        "{:>6}  {:<26}{:<26}{:<26}{:<26}{:>6}",
        "req/s", "first p50", "first p99", "whole p50", "whole p99", "whole"
    );
    for rate in RATES_PER_S {
        let (direct, through) = run_rounds(&deployment, options, rate).await;
        print_ratios(rate, &direct.profiles[PROFILE], &through.profiles[PROFILE]);
    }
    println!(
        "resident after the loads:\n{}",
        format_resident_memory(&deployment)
    );
    deployment.stop();
    Ok(())
}

async fn run_rounds(
    deployment: &Deployment,
    options: &OverheadOptions,
    rate: u32,
) -> (Report, Report) {
    let mut reports: [Option<Report>; 2] = [None, None];
    for round in 0..options.rounds {
        for (index, total) in reports.iter_mut().enumerate() {
            let direct = index == 0;
            let mut round_options =
                load_options(deployment, direct, rate, options.seconds);
            round_options.seed = u64::from(rate) << 32 | u64::from(round);
            let report = load::run(round_options).await;
            match total {
                Some(total) => total.merge(&report),
                None => *total = Some(report),
            }
        }
    }
    let [direct, through] = reports;
    let measured = "there is at least one round";
    (direct.expect(measured), through.expect(measured))
}

fn load_options(
    deployment: &Deployment,
    direct: bool,
    rate: u32,
    seconds: u64,
) -> LoadOptions {
    LoadOptions {
        targets: if direct {
            deployment.engine_addresses()
        } else {
            deployment.entry_addresses()
        },
        direct,
        exclude_unavailable_targets: false,
        caller_key: CALLER_KEY.to_owned(),
        workloads: fleet::workloads(&fleet::models(1), TOKENS_PER_RESPONSE),
        concurrency: 0,
        rate_per_s: Some(f64::from(rate)),
        count: u64::from(rate) * seconds,
        seed: 1,
    }
}

fn print_ratios(rate: u32, direct: &ProfileReport, through: &ProfileReport) {
    let format_ratio = |direct_us: u64, through_us: u64| {
        let ratio = through_us as f64 / direct_us.max(1) as f64;
        let ms = |us: u64| us as f64 / 1_000.0;
        format!("{:.2} -> {:.2} = {ratio:.3}", ms(direct_us), ms(through_us))
    };
    let (first, first_through) = (&direct.first_token, &through.first_token);
    let (total, total_through) = (&direct.total, &through.total);
    println!(
        "{rate:>6}  {:<26}{:<26}{:<26}{:<26}{}+{} of {}",
        format_ratio(first.p50_us, first_through.p50_us),
        format_ratio(first.p99_us, first_through.p99_us),
        format_ratio(total.p50_us, total_through.p50_us),
        format_ratio(total.p99_us, total_through.p99_us),
        direct.whole,
        through.whole,
        direct.sent + through.sent,
    );
}
