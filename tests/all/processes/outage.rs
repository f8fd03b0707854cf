//! Behavior during an outage of the platform.

use fake::load;
use fake::platform::{Faults, Outage};
use nix::sys::signal::Signal;
use serde_json::Value;

use super::rig::{Fixture, TestResult, WAIT_TIMEOUT, check, error_text};

/// The platform becomes unavailable. Requests to models are served, since they do
/// not need it. Orders with an idempotency key need it to record their claim: they
/// must be refused as not run, and the services must not have run them. An entry
/// that restarts meanwhile gets the configuration from its peer. After the outage
/// the refused keys are unclaimed, and each order runs once.
pub(super) async fn platform_outage(fixture: &mut Fixture) -> TestResult {
    fixture.warm_up().await?;
    let revision = revision(fixture, "entry-1").await?;
    let before = fixture.runs_by_key().await?;
    set_outage(fixture, Outage::Close).await?;
    check_orders_refused(fixture).await?;
    let during = fixture.runs_by_key().await?;
    check(before == during, || {
        format!("{before:?} and then {during:?}")
    })?;
    check_model_requests_served(fixture, 6).await?;

    restart_entry(fixture).await?;
    fixture
        .wait_until("entry-2 is ready with the configuration", async || {
            let address = fixture.deployment.operator_addresses().get("entry-2")?;
            let (ready, _) = fixture.probe.get(*address, "/readyz").await?;
            let status = fixture.status("entry-2").await?;
            (ready == 200 && status["revision"] == revision).then_some(())
        })
        .await?;
    let status = fixture.status("entry-2").await.unwrap_or(Value::Null);
    check(status["platform_up"] == false, || status.to_string())?;
    wait_for_agent_connections(fixture).await?;
    check_model_requests_served(fixture, 7).await?;

    set_outage(fixture, Outage::None).await?;
    for index in 0..4 {
        wait_until_order_runs(fixture, index).await?;
    }
    fixture.check_invariants().await
}

async fn set_outage(fixture: &Fixture, outage: Outage) -> TestResult {
    let faults = Faults {
        outage,
        ..Faults::default()
    };
    let control = fixture.deployment.control_addresses().platform;
    let done = fixture.probe.set_faults(control, &faults).await;
    check(done, || {
        "the control endpoint of the fake platform does not respond".to_owned()
    })
}

async fn revision(fixture: &Fixture, id: &str) -> TestResult<Value> {
    let status = fixture.status(id).await.ok_or("no status")?;
    Ok(status["revision"].clone())
}

async fn check_orders_refused(fixture: &Fixture) -> TestResult {
    for index in 0..4 {
        let entry = fixture.entry_address(index % 2);
        let (status, answer) =
            fixture.post_order(entry, &order_key(index), "belt").await?;
        let error = &answer["error"];
        let refused = status == 503 && error["ran"] == "not_run";
        check(refused, || format!("order {index}: {status} {answer}"))?;
        check(error["retry_after_ms"].as_u64() > Some(0), || {
            answer.to_string()
        })?;
    }
    Ok(())
}

fn order_key(index: usize) -> String {
    format!("outage-{index}")
}

async fn wait_until_order_runs(fixture: &Fixture, index: usize) -> TestResult {
    fixture
        .wait_until("an order runs after the outage", async || {
            let order = fixture
                .post_order(fixture.entry_address(index % 2), &order_key(index), "belt")
                .await;
            let (status, answer) = order.ok()?;
            (status == 200 && answer["count"] == 1).then_some(())
        })
        .await
}

async fn check_model_requests_served(fixture: &Fixture, seed: u64) -> TestResult {
    let mut options = fixture.load_options(40.0, 120, seed);
    options
        .workloads
        .retain(|workload| workload.service.is_empty());
    let report = load::run(options).await;
    let complete = report.profiles["desk"].whole;
    check(complete == 120, || report.table())
}

async fn restart_entry(fixture: &mut Fixture) -> TestResult {
    let deployment = &mut fixture.deployment;
    deployment
        .signal("entry-2", Signal::SIGTERM)
        .map_err(error_text)?;
    let ended = deployment.wait_exited("entry-2", WAIT_TIMEOUT).await;
    let status = ended.map_err(error_text)?;
    check(status.code() == Some(0), || status.to_string())?;
    deployment.restart("entry-2").map_err(error_text)
}

/// Waits until the restarted entry is connected to all agents, whose addresses it
/// learns from its peer.
async fn wait_for_agent_connections(fixture: &Fixture) -> TestResult {
    fixture
        .wait_until("entry-2 is connected to the agents", async || {
            let status = fixture.status("entry-2").await?;
            let agents = status["agents"].as_array()?;
            let connected = agents.iter().filter(|agent| agent["connected"] == true);
            (connected.count() == 5).then_some(())
        })
        .await
}
