//! The path of a request through an entry, an agent and an upstream.

use fake::platform::Faults;
use fake::text::{Message, ResponseText, chat_prompt};
use serde_json::{Value, json};

use super::fleet::MODELS;
use super::rig::{Fixture, TestResult, check, error_text};

/// Time that the platform takes for each write.
const WRITE_DELAY_MS: u64 = 300;

/// Number of orders that are sent again.
const RESENDS: usize = 10;

/// Number of tokens of each answer.
const TOKENS: u64 = 40;

/// A streamed answer is the complete text that the engine generates for the
/// prompt, and ends with `[DONE]`. Both entries are tested.
pub(super) async fn streamed_answer_is_complete(fixture: &mut Fixture) -> TestResult {
    for index in 0..2 {
        check_streamed_answer(
            fixture,
            index,
            MODELS[0],
            "the press stops at the second fold",
        )
        .await?;
    }
    Ok(())
}

/// Four models are requested in turn on accelerators that hold three. Each is
/// loaded on demand, so one of them replaces another, and memory is never
/// overcommitted.
pub(super) async fn cold_model_is_loaded(fixture: &mut Fixture) -> TestResult {
    for model in MODELS {
        check_streamed_answer(fixture, 0, model, "what is due").await?;
    }
    let counts = fixture.engine_counts().await?;
    let loads: u64 = counts.iter().map(|counts| counts.loads).sum();
    check(loads >= MODELS.len() as u64, || format!("{loads} loads"))?;
    fixture.check_invariants().await
}

/// An order that is sent again through the other entry gets the stored answer, and
/// the services count a single run. The same key with a different body is refused.
pub(super) async fn keyed_order_runs_once(fixture: &mut Fixture) -> TestResult {
    let (first, second) = (fixture.entry_address(0), fixture.entry_address(1));
    let before = fixture.runs_by_key().await?.len();
    let (status, answer) = fixture.post_order(first, "order-1", "belt").await?;
    check(status == 200, || format!("{status} {answer}"))?;
    check(answer["count"] == 1, || format!("first: {answer}"))?;
    let (status, again) = fixture.post_order(second, "order-1", "belt").await?;
    check(status == 200 && again == answer, || {
        format!("resent: {status} {again} for {answer}")
    })?;
    let (status, other) = fixture.post_order(second, "order-1", "gear").await?;
    check(status == 422 && other["error"]["code"] == 1007, || {
        format!("other body: {status} {other}")
    })?;
    let runs = fixture.runs_by_key().await?;
    check(runs.len() == before + 1, || format!("{runs:?}"))?;
    fixture.check_invariants().await
}

/// Guards against telling a caller that sends its order again right after the answer
/// that its key is in progress: each write to the platform takes a while here.
pub(super) async fn resend_right_after_the_answer(fixture: &mut Fixture) -> TestResult {
    let faults = Faults {
        write_delay_ms: WRITE_DELAY_MS,
        ..Faults::default()
    };
    let control = fixture.deployment.control_addresses().platform;
    let done = fixture.probe.set_faults(control, &faults).await;
    check(done, || "the platform's delay is not set".to_owned())?;
    let (first, second) = (fixture.entry_address(0), fixture.entry_address(1));
    for number in 0..RESENDS {
        let key = format!("resend-{number}");
        let (status, answer) = fixture.post_order(first, &key, "belt").await?;
        check(status == 200, || format!("{key}: {status} {answer}"))?;
        let (status, again) = fixture.post_order(second, &key, "belt").await?;
        check(status == 200 && again == answer, || {
            format!("{key} resent: {status} {again} for {answer}")
        })?;
    }
    fixture.check_invariants().await
}

/// Requests a streamed answer and compares it with the text that the fake engine
/// derives from model and prompt.
async fn check_streamed_answer(
    fixture: &Fixture,
    entry: usize,
    model: &str,
    prompt: &str,
) -> TestResult {
    let profile = model.split('-').next().unwrap_or_default();
    let profile = if profile == "diagnosis" {
        "desk"
    } else {
        profile
    };
    let body = json!({
        "model": model,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": TOKENS,
        "stream": true,
    });
    let headers = [("x-profile", profile)];
    let path = "/v1/chat/completions";
    let (status, stream) = fixture
        .post(fixture.entry_address(entry), path, &headers, &body)
        .await?;
    check(status == 200, || format!("{model}: {status} {stream}"))?;
    let message = Message {
        role: "user".to_owned(),
        content: prompt.to_owned(),
    };
    let expected =
        ResponseText::new(model, 1, &chat_prompt(&[message])).token_range(0, TOKENS);
    let got = streamed_content(&stream)?;
    check(got == expected, || format!("{got:?} for {expected:?}"))
}

/// Extracts the text of a streamed answer, which must end with `[DONE]`.
fn streamed_content(stream: &str) -> TestResult<String> {
    let mut got = String::new();
    let mut done = false;
    for data in stream
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
    {
        check(!done, || format!("data after [DONE]: {data}"))?;
        if data == "[DONE]" {
            done = true;
            continue;
        }
        let chunk: Value = serde_json::from_str(data).map_err(error_text)?;
        let part = &chunk["choices"][0]["delta"]["content"];
        got.push_str(part.as_str().unwrap_or_default());
    }
    check(done, || "the stream ended without [DONE]".to_owned())?;
    Ok(got)
}
