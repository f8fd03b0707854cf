//! Keyed orders when the platform comes back from an older copy.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use serde_json::Value;
use std::collections::BTreeMap;

use super::rig::{Fixture, TestResult, check, error_text};

/// Number of orders whose claims are lost.
const ORDERS: usize = 10;

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
