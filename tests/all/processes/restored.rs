//! Keyed orders when the platform comes back from an older copy.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use nix::sys::signal::Signal;
use serde_json::Value;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

use super::rig::{Fixture, TestResult, WAIT_TIMEOUT, check, error_text};

/// Number of orders whose claims are lost.
const ORDERS: usize = 10;

/// Agents of the service that takes the orders.
const AGENTS: [&str; 2] = ["deskapp-01", "deskapp-02"];

/// Time for which lost orders are sent again. It is longer than agents wait for lost
/// claims before they grant new keys.
const RESEND_DURATION: Duration = Duration::from_secs(30);

/// Time for which they are sent again where nothing makes agents wait.
const RESEND_SHORT_DURATION: Duration = Duration::from_secs(5);

/// Pause between two rounds in which all orders are sent again.
const RESEND_PAUSE: Duration = Duration::from_millis(200);

/// Error code for an order of which no stored answer is known.
const OUTCOME_UNKNOWN: u64 = 3_005;

/// Guards against orders that run twice because the platform lost their claims in a
/// restore: each is sent again through the other entry and gets the stored answer.
pub(super) async fn orders_run_once_across_a_restore(
    fixture: &mut Fixture,
) -> TestResult {
    run_command(fixture, "copy").await?;
    let answers = run_orders(fixture).await?;
    run_command(fixture, "restore").await?;
    for (key, answer) in &answers {
        let again = wait_for_answer(fixture, key).await?;
        check(again == *answer, || format!("{key}: {again} for {answer}"))?;
    }
    check_none_ran_twice(fixture).await?;
    check_new_order_runs(fixture).await
}

/// Guards against orders that run twice because the agents that ran them were killed
/// before they could write their claims again.
pub(super) async fn orders_run_once_if_their_agents_are_killed(
    fixture: &mut Fixture,
) -> TestResult {
    check_killed(fixture, &AGENTS).await
}

/// Guards against orders that run twice because the agents that ran them and the entry
/// that passed them on were killed together.
pub(super) async fn orders_run_once_if_their_agents_and_entry_are_killed(
    fixture: &mut Fixture,
) -> TestResult {
    check_killed(fixture, &["entry-1", AGENTS[0], AGENTS[1]]).await
}

/// Guards against orders that run twice because the platform lost their claims and names
/// no restore.
pub(super) async fn orders_run_once_if_their_claims_are_deleted(
    fixture: &mut Fixture,
) -> TestResult {
    let answers = run_orders(fixture).await?;
    delete_claims(fixture).await?;
    resend_all(fixture, &answers, RESEND_SHORT_DURATION).await?;
    check_none_ran_twice(fixture).await
}

/// Guards against orders that run twice because the agent that ran them was frozen for
/// longer than others wait for its claims. Once it goes on, its answers are stored again.
pub(super) async fn orders_run_once_if_their_agent_is_frozen(
    fixture: &mut Fixture,
) -> TestResult {
    run_command(fixture, "copy").await?;
    let answers = run_orders(fixture).await?;
    signal(fixture, AGENTS[0], Signal::SIGSTOP)?;
    run_command(fixture, "restore").await?;
    resend_all(fixture, &answers, RESEND_DURATION).await?;
    check_none_ran_twice(fixture).await?;
    check_new_order_runs(fixture).await?;
    signal(fixture, AGENTS[0], Signal::SIGCONT)?;
    for (key, answer) in &answers {
        let again = wait_for_answer(fixture, key).await?;
        check(again == *answer, || format!("{key}: {again} for {answer}"))?;
    }
    check_none_ran_twice(fixture).await
}

/// Kills processes before a restore of the platform and starts them again after it. No
/// answer can be known then, but the orders must not run again.
async fn check_killed(fixture: &mut Fixture, processes: &[&str]) -> TestResult {
    run_command(fixture, "copy").await?;
    let answers = run_orders(fixture).await?;
    for id in processes {
        signal(fixture, id, Signal::SIGKILL)?;
        let exited = fixture.deployment.wait_exited(id, WAIT_TIMEOUT).await;
        exited.map_err(error_text)?;
    }
    run_command(fixture, "restore").await?;
    for id in processes {
        fixture.deployment.restart(id).map_err(error_text)?;
    }
    fixture.deployment.wait_ready().await.map_err(error_text)?;
    let codes = resend_all(fixture, &answers, RESEND_DURATION).await?;
    check_none_ran_twice(fixture).await?;
    check(codes.values().all(|code| *code == OUTCOME_UNKNOWN), || {
        format!("last error codes: {codes:?}")
    })?;
    check_new_order_runs(fixture).await
}

/// Runs orders through the first entry; returns their keys and answers.
async fn run_orders(fixture: &Fixture) -> TestResult<BTreeMap<String, Value>> {
    let mut answers = BTreeMap::new();
    for number in 0..ORDERS {
        let key = format!("restored-{number}");
        let entry = fixture.entry_address(0);
        let (status, answer) = fixture.post_order(entry, &key, "belt").await?;
        check(status == 200, || format!("{key}: {status} {answer}"))?;
        answers.insert(key, answer);
    }
    Ok(answers)
}

/// Sends all orders again and again through the second entry for some time. Returns the
/// last error code of each, 0 for an answer.
async fn resend_all(
    fixture: &Fixture,
    orders: &BTreeMap<String, Value>,
    duration: Duration,
) -> TestResult<BTreeMap<String, u64>> {
    let mut codes = BTreeMap::new();
    let end = Instant::now() + duration;
    while Instant::now() < end {
        for key in orders.keys() {
            let entry = fixture.entry_address(1);
            let (status, answer) = fixture.post_order(entry, key, "belt").await?;
            let error = &answer["error"];
            check(error["ran"] != "not_run", || {
                format!("{key} ran, but its resend says otherwise: {status} {answer}")
            })?;
            codes.insert(key.clone(), error["code"].as_u64().unwrap_or(0));
        }
        tokio::time::sleep(RESEND_PAUSE).await;
    }
    Ok(codes)
}

/// Sends an order again until it gets an answer.
async fn wait_for_answer(fixture: &Fixture, key: &str) -> TestResult<Value> {
    fixture
        .wait_until("a resent order gets its answer", async || {
            let order = fixture.post_order(fixture.entry_address(1), key, "belt");
            let (status, answer) = order.await.ok()?;
            (status == 200).then_some(answer)
        })
        .await
}

async fn check_new_order_runs(fixture: &Fixture) -> TestResult {
    let answer = wait_for_answer(fixture, "new").await?;
    check(answer["count"] == 1, || answer.to_string())?;
    fixture.check_invariants().await
}

async fn check_none_ran_twice(fixture: &Fixture) -> TestResult {
    let runs = fixture.runs_by_key().await?;
    let repeated: Vec<_> = runs.iter().filter(|(_, runs)| **runs > 1).collect();
    check(repeated.is_empty(), || {
        format!("{} orders ran more than once: {repeated:?}", repeated.len())
    })
}

fn signal(fixture: &Fixture, id: &str, signal: Signal) -> TestResult {
    fixture.deployment.signal(id, signal).map_err(error_text)
}

/// Deletes all claims through the platform's API.
async fn delete_claims(fixture: &Fixture) -> TestResult {
    let platform = fixture.deployment.platform_address();
    let list = fixture.probe.get(platform, "/objects?prefix=claims/").await;
    let (_, list) = list.ok_or("the platform does not respond")?;
    let list: Value = serde_json::from_str(&list).map_err(error_text)?;
    let objects = list["objects"].as_array().ok_or("no list of objects")?;
    check(!objects.is_empty(), || "there are no claims".to_owned())?;
    for object in objects {
        let key = object["key"].as_str().unwrap_or_default();
        let request = Request::delete(format!("http://{platform}/objects/{key}"));
        let request = request.body(Full::new(Bytes::new())).map_err(error_text)?;
        let answer = fixture.probe.send(request).await;
        check(matches!(answer, Some((200, _))), || {
            format!("{key} is not deleted: {answer:?}")
        })?;
    }
    Ok(())
}

/// Runs a command of the fake platform.
async fn run_command(fixture: &Fixture, name: &str) -> TestResult {
    let control = fixture.deployment.control_addresses().platform;
    let request = Request::post(format!("http://{control}/control/{name}"));
    let request = request.body(Full::new(Bytes::new())).map_err(error_text)?;
    let answer = fixture.probe.send(request).await;
    check(matches!(answer, Some((200, _))), || {
        format!("the fake platform did not run {name}: {answer:?}")
    })
}
