//! Graceful shutdown of processes under load.

use fake::load::{self, Report};
use nix::sys::signal::Signal;
use std::time::Duration;

use super::rig::{
    Fixture, TestResult, WAIT_TIMEOUT, check, complete_answers, error_text,
};

/// Rate and number of requests during the shutdown.
const RATE_PER_S: f64 = 60.0;
const COUNT: u64 = 360;

/// Time under load before the shutdown.
const DELAY_BEFORE_SHUTDOWN: Duration = Duration::from_secs(2);

/// An entry gets SIGTERM with streams and orders in progress. It refuses new
/// requests as leaving, so that the load balancer stops sending them, finishes the
/// requests in progress and exits. No caller sees an interrupted response.
pub(super) async fn stop_entry_under_load(fixture: &mut Fixture) -> TestResult {
    stop_under_load(fixture, "entry-2").await
}

/// An agent gets SIGTERM while its engine streams. New requests go to other holders
/// or wait until the model is loaded elsewhere. The streams in progress complete
/// before the agent exits, so that none has to resume at another holder. The same
/// is then done with a plain service's agent, where no call may lose its outcome.
pub(super) async fn stop_agent_under_load(fixture: &mut Fixture) -> TestResult {
    let holder = wait_for_holder(fixture, "diagnosis-01").await?;
    let before = resumed_streams(fixture).await?;
    stop_under_load(fixture, &holder).await?;
    let after = resumed_streams(fixture).await?;
    check(before == after, || {
        format!("resumed: {before} and then {after}")
    })?;
    fixture.slow_down_services().await?;
    stop_under_load(fixture, "deskapp-01").await
}

/// Number of streams that resumed at another holder, summed over both entries.
async fn resumed_streams(fixture: &Fixture) -> TestResult<u64> {
    let mut total = 0;
    for entry in ["entry-1", "entry-2"] {
        let address = fixture.deployment.operator_addresses()[entry];
        let page = fixture.probe.get(address, "/metrics").await;
        let (_, page) = page.ok_or("the entry returns no metrics")?;
        let mut lines = page.lines();
        let count = lines.find_map(|line| line.strip_prefix(RESUMED_METRIC_PREFIX));
        let count = count.ok_or("the metrics contain no counter of resumed streams")?;
        total += count.trim().parse::<u64>().map_err(error_text)?;
    }
    Ok(total)
}

/// Start of the line of the counter of resumed streams on the metrics page.
const RESUMED_METRIC_PREFIX: &str = "sesame_entry_resumed_total ";

async fn stop_under_load(fixture: &mut Fixture, id: &str) -> TestResult {
    fixture.warm_up().await?;
    let load = load::run(fixture.load_options(RATE_PER_S, COUNT, 2));
    let stop = async {
        tokio::time::sleep(DELAY_BEFORE_SHUTDOWN).await;
        fixture
            .deployment
            .signal(id, Signal::SIGTERM)
            .map_err(error_text)?;
        fixture
            .deployment
            .wait_exited(id, WAIT_TIMEOUT)
            .await
            .map_err(error_text)
    };
    let (report, status) = tokio::join!(load, stop);
    let status = status?;
    check(status.code() == Some(0), || format!("{id}: {status}"))?;
    check_nothing_interrupted(&report)?;
    fixture.check_invariants().await
}

/// Checks that each request got a complete answer or a refusal as not run.
fn check_nothing_interrupted(report: &Report) -> TestResult {
    check(report.wrong_responses() == 0, || report.table())?;
    for profile in report.profiles.values() {
        let broken: u64 = profile.broken.values().sum();
        check(broken == 0, || report.table())?;
        check(profile.disconnected == 0, || report.table())?;
        let all_not_run = profile
            .refused
            .keys()
            .all(|kind| kind.ends_with(" not_run"));
        check(all_not_run, || report.table())?;
    }
    // Without this check, a deployment that refuses everything would pass.
    check(complete_answers(report) * 2 > COUNT, || report.table())
}

/// Returns an agent whose engine holds a model.
pub(super) async fn wait_for_holder(
    fixture: &Fixture,
    model: &str,
) -> TestResult<String> {
    fixture.warm_up().await?;
    fixture
        .wait_until(&format!("a holder of {model}"), async || {
            let status = fixture.status("entry-1").await?;
            let models = status["models"].as_array()?;
            let line = models.iter().find(|line| line["model"] == model)?;
            Some(line["holders"].as_array()?.first()?.as_str()?.to_owned())
        })
        .await
}
