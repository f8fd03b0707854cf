//! Processes that are asked to stop under load.

use fake::load::{self, Report};
use nix::sys::signal::Signal;
use std::time::Duration;

use super::rig::{BOUND, Rig, TestResult, check, text, whole};

/// Work during the stop.
const RATE_PER_S: f64 = 60.0;
const COUNT: u64 = 360;
const SETTLED: Duration = Duration::from_secs(2);

/// An entry gets SIGTERM with streams and orders in progress. It refuses new
/// requests as leaving, so the balancer sends it no more; what it has begun it
/// finishes, and then it ends by itself. No caller sees anything cut.
pub(super) async fn entry_under_load(rig: &mut Rig) -> TestResult {
    stop_under_load(rig, "entry-2").await
}

/// An agent gets SIGTERM while its engine streams. New work goes to other
/// holders or waits until the model is loaded elsewhere; the streams that it has
/// begun end whole before it does, so that none has to go on at another holder.
/// Then the same with a plain service's agent: no call's outcome is lost.
pub(super) async fn agent_under_load(rig: &mut Rig) -> TestResult {
    let holder = holder_of(rig, "diagnosis-01").await?;
    let before = resumed(rig).await?;
    stop_under_load(rig, &holder).await?;
    let after = resumed(rig).await?;
    check(before == after, || {
        format!("resumed: {before} and then {after}")
    })?;
    rig.slow_services().await?;
    stop_under_load(rig, "deskapp-01").await
}

/// Streams that went on at another holder, over both entries.
async fn resumed(rig: &Rig) -> TestResult<u64> {
    let mut all = 0;
    for entry in ["entry-1", "entry-2"] {
        let address = rig.deployment.operator_addresses()[entry];
        let page = rig.probe.get(address, "/metrics").await;
        let (_, page) = page.ok_or("no metrics")?;
        let mut lines = page.lines();
        let count = lines.find_map(|line| line.strip_prefix(RESUMED));
        let count = count.ok_or("no counter of resumed streams")?;
        all += count.trim().parse::<u64>().map_err(text)?;
    }
    Ok(all)
}

const RESUMED: &str = "sesame_entry_resumed_total ";

async fn stop_under_load(rig: &mut Rig, id: &str) -> TestResult {
    rig.warm_up().await?;
    let load = load::run(rig.load(RATE_PER_S, COUNT, 2));
    let stop = async {
        tokio::time::sleep(SETTLED).await;
        rig.deployment.signal(id, Signal::SIGTERM).map_err(text)?;
        rig.deployment.wait_exited(id, BOUND).await.map_err(text)
    };
    let (report, status) = tokio::join!(load, stop);
    let status = status?;
    check(status.code() == Some(0), || format!("{id}: {status}"))?;
    nothing_cut(&report)?;
    rig.promises_held().await
}

/// Each answer is whole or a refusal that says that nothing was run.
fn nothing_cut(report: &Report) -> TestResult {
    check(report.wrong_responses() == 0, || report.table())?;
    for profile in report.profiles.values() {
        let broken: u64 = profile.broken.values().sum();
        check(broken == 0, || report.table())?;
        check(profile.disconnected == 0, || report.table())?;
        let truthful = profile
            .refused
            .keys()
            .all(|kind| kind.ends_with(" not_run"));
        check(truthful, || report.table())?;
    }
    // Otherwise a deployment that refuses everything would pass.
    check(whole(report) * 2 > COUNT, || report.table())
}

/// The agent whose engine holds a model.
pub(super) async fn holder_of(rig: &Rig, model: &str) -> TestResult<String> {
    rig.warm_up().await?;
    rig.until(&format!("a holder of {model}"), async || {
        let status = rig.status("entry-1").await?;
        let models = status["models"].as_array()?;
        let line = models.iter().find(|line| line["model"] == model)?;
        Some(line["holders"].as_array()?.first()?.as_str()?.to_owned())
    })
    .await
}
