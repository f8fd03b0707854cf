//! The platform is away.

use fake::load;
use fake::platform::{Faults, Outage};
use nix::sys::signal::Signal;
use serde_json::Value;

use super::rig::{BOUND, Rig, TestResult, check, text};

/// The platform goes away. Model work goes on, since no request needs it. Keyed
/// orders do, for their claim: they are refused as not run, and by the services'
/// count were not. An entry that restarts meanwhile gets the configuration from
/// its peer. When the platform is back, the refused keys are free and run once.
pub(super) async fn platform_away(rig: &mut Rig) -> TestResult {
    rig.warm_up().await?;
    let revision = revision(rig, "entry-1").await?;
    let before = rig.runs_by_key().await?;
    set_outage(rig, Outage::Close).await?;
    orders_are_refused(rig).await?;
    let during = rig.runs_by_key().await?;
    check(before == during, || {
        format!("{before:?} and then {during:?}")
    })?;
    model_work_goes_on(rig, 6).await?;

    restart_entry(rig).await?;
    rig.until("entry-2 has the configuration", async || {
        let address = rig.deployment.operator_addresses().get("entry-2")?;
        let (ready, _) = rig.probe.get(*address, "/readyz").await?;
        let status = rig.status("entry-2").await?;
        (ready == 200 && status["revision"] == revision).then_some(())
    })
    .await?;
    let status = rig.status("entry-2").await.unwrap_or(Value::Null);
    check(status["platform_up"] == false, || status.to_string())?;
    links_to_agents(rig).await?;
    model_work_goes_on(rig, 7).await?;

    set_outage(rig, Outage::None).await?;
    for place in 0..4 {
        order_runs(rig, place).await?;
    }
    rig.promises_held().await
}

async fn set_outage(rig: &Rig, outage: Outage) -> TestResult {
    let faults = Faults {
        outage,
        ..Faults::default()
    };
    let control = rig.deployment.control_addresses().platform;
    let done = rig.probe.set_faults(control, &faults).await;
    check(done, || "the platform's control is silent".to_owned())
}

async fn revision(rig: &Rig, id: &str) -> TestResult<Value> {
    let status = rig.status(id).await.ok_or("no status")?;
    Ok(status["revision"].clone())
}

async fn orders_are_refused(rig: &Rig) -> TestResult {
    for place in 0..4 {
        let entry = rig.entry(place % 2);
        let (status, answer) = rig.order(entry, &key(place), "belt").await?;
        let error = &answer["error"];
        let refused = status == 503 && error["ran"] == "not_run";
        check(refused, || format!("order {place}: {status} {answer}"))?;
        check(error["retry_after_ms"].as_u64() > Some(0), || {
            answer.to_string()
        })?;
    }
    Ok(())
}

fn key(place: usize) -> String {
    format!("outage-{place}")
}

async fn order_runs(rig: &Rig, place: usize) -> TestResult {
    rig.until("an order runs after the outage", async || {
        let order = rig.order(rig.entry(place % 2), &key(place), "belt").await;
        let (status, answer) = order.ok()?;
        (status == 200 && answer["count"] == 1).then_some(())
    })
    .await
}

async fn model_work_goes_on(rig: &Rig, seed: u64) -> TestResult {
    let mut options = rig.load(40.0, 120, seed);
    options
        .workloads
        .retain(|workload| workload.service.is_empty());
    let report = load::run(options).await;
    let whole = report.profiles["desk"].whole;
    check(whole == 120, || report.table())
}

async fn restart_entry(rig: &mut Rig) -> TestResult {
    let deployment = &mut rig.deployment;
    deployment
        .signal("entry-2", Signal::SIGTERM)
        .map_err(text)?;
    let ended = deployment.wait_exited("entry-2", BOUND).await;
    let status = ended.map_err(text)?;
    check(status.code() == Some(0), || status.to_string())?;
    deployment.restart("entry-2").map_err(text)
}

/// Waits until the restarted entry has found the agents by its peer.
async fn links_to_agents(rig: &Rig) -> TestResult {
    rig.until("entry-2 hears the agents", async || {
        let status = rig.status("entry-2").await?;
        let agents = status["agents"].as_array()?;
        let heard = agents.iter().filter(|agent| agent["connected"] == true);
        (heard.count() == 5).then_some(())
    })
    .await
}
