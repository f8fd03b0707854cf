//! Tests of the engine's completion requests: tokens, batching, priorities,
//! cancellation and the prefix cache.

use fake::Handle;
use fake::engine::{self, Engine, EngineOptions, Faults};
use fake::text::ResponseText;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::{Value, json};
use std::time::Duration;

use crate::client::{open_response, send_request, wait_until};

/// Options of an engine with short steps and loads.
pub fn fast_options() -> EngineOptions {
    EngineOptions {
        step_us: 200,
        load_ms: 1,
        unload_ms: 1,
        restart_ms: 20,
        ..EngineOptions::default()
    }
}

pub async fn start_engine(options: EngineOptions) -> Handle<Engine> {
    let started = engine::start(options).await;
    started.expect("loopback has a free port")
}

/// Orders a model to be loaded and waits until it is.
pub async fn load_model(
    engine: &Handle<Engine>,
    order: u64,
    model: &str,
    base: Option<&str>,
) {
    let body = json!({
        "order": order, "fence": 1, "kind": "load", "model": model, "version": 1,
        "base": base, "accelerator": 0, "size_mib": 1_000,
    });
    let path = "/admin/orders";
    let response =
        send_request(engine.address, "POST", path, &[], body.to_string()).await;
    assert_eq!(response.expect("a response arrives").status, 202);
    wait_until(|| is_done(engine, order)).await;
}

pub fn is_done(engine: &Handle<Engine>, order: u64) -> bool {
    let orders = engine.report().orders;
    orders.iter().any(|report| {
        report.order == order
            && serde_json::to_value(report.state).ok() == Some(json!("done"))
    })
}

pub fn completion(prompt: &str, tokens: u64, stream: bool) -> String {
    json!({"model": "m", "prompt": prompt, "max_tokens": tokens, "stream": stream})
        .to_string()
}

/// Sends a streaming request and returns the response's body.
pub async fn stream_completion(
    engine: &Handle<Engine>,
    prompt: &str,
    tokens: u64,
    headers: &[(&str, &str)],
) -> Incoming {
    let path = "/v1/completions";
    let body = completion(prompt, tokens, true);
    let response = open_response(engine.address, "POST", path, headers, body).await;
    let response = response.expect("the response begins");
    assert_eq!(response.status(), 200);
    response.into_body()
}

/// Reads a streamed response. Returns its chunks and whether it ended cleanly.
pub async fn read_chunks(mut body: Incoming) -> (Vec<Value>, bool) {
    let mut text = Vec::new();
    let mut clean = true;
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => text.extend_from_slice(&frame.into_data().unwrap_or_default()),
            Err(_) => {
                clean = false;
                break;
            }
        }
    }
    let text = String::from_utf8(text).expect("server-sent events are UTF-8");
    let lines = text.lines().filter_map(|line| line.strip_prefix("data: "));
    let values = lines.map(|line| serde_json::from_str(line).unwrap_or(json!(line)));
    (values.collect(), clean)
}

pub fn concat_text(chunks: &[Value]) -> String {
    let texts = chunks
        .iter()
        .filter_map(|chunk| chunk["choices"][0]["text"].as_str());
    texts.collect()
}

#[tokio::test]
async fn a_resumed_response_equals_an_uninterrupted_one() {
    let engine = start_engine(fast_options()).await;
    load_model(&engine, 1, "m", None).await;
    let whole = ResponseText::new("m", 1, "why").token_range(0, 9);
    for offset in [0_u64, 1, 5, 8, 9] {
        let header = offset.to_string();
        let headers = [("x-resume-offset", header.as_str())];
        let (parts, clean) =
            read_chunks(stream_completion(&engine, "why", 9, &headers).await).await;
        assert!(clean);
        let rest = ResponseText::new("m", 1, "why").token_range(offset, 9);
        assert_eq!(concat_text(&parts), rest);
        let before = ResponseText::new("m", 1, "why").token_range(0, offset);
        assert_eq!(before + &rest, whole);
        // One chunk for each token, then the last chunk and `[DONE]`.
        assert_eq!(parts.len() as u64, 9 - offset + 2);
        let last = &parts[parts.len() - 2];
        assert_eq!(last["choices"][0]["finish_reason"], "length");
        assert_eq!(last["usage"]["completion_tokens"], 9);
        assert_eq!(parts[parts.len() - 1], json!("[DONE]"));
    }
}

#[tokio::test]
async fn response_text_depends_on_model_version_and_prompt() {
    let engine = start_engine(fast_options()).await;
    load_model(&engine, 1, "m", None).await;
    let messages = json!([{"role": "user", "content": "why"}]);
    for stream in [false, true] {
        let body = json!({
            "model": "m", "messages": messages, "max_tokens": 4, "stream": stream,
        });
        let path = "/v1/chat/completions";
        let response =
            send_request(engine.address, "POST", path, &[], body.to_string()).await;
        let response = response.expect("a response arrives");
        let text = ResponseText::new("m", 1, "user: why\n").token_range(0, 4);
        if stream {
            let first = ResponseText::new("m", 1, "user: why\n").token(0);
            let shown = String::from_utf8_lossy(&response.body);
            assert!(shown.contains(&format!(r#""delta":{{"content":"{first}"}}"#)));
            assert!(shown.ends_with("data: [DONE]\n\n"));
        } else {
            let value = response.json();
            assert_eq!(value["choices"][0]["message"]["content"], json!(text));
        }
    }
    let other = [
        ResponseText::new("n", 1, "why"),
        ResponseText::new("m", 2, "why"),
        ResponseText::new("m", 1, "who"),
    ];
    for other in other {
        assert_ne!(other.token(0), ResponseText::new("m", 1, "why").token(0));
    }
}

/// Only a loaded model runs, and an adapter only if its base model is loaded too.
#[tokio::test]
async fn models_that_are_not_loaded_are_refused_and_not_run() {
    let engine = start_engine(fast_options()).await;
    load_model(&engine, 1, "m", None).await;
    load_model(&engine, 2, "adapter", Some("m")).await;
    load_model(&engine, 3, "orphan", Some("absent")).await;
    let cases = [
        ("m", None, 200),
        ("m", Some("1"), 200),
        ("m", Some("2"), 503),
        ("adapter", Some("1"), 200),
        ("orphan", Some("1"), 503),
        ("unknown", None, 503),
    ];
    for (model, version, status) in cases {
        let body = json!({"model": model, "prompt": "x", "max_tokens": 1}).to_string();
        let headers: Vec<_> = version
            .map(|version| ("x-model-version", version))
            .into_iter()
            .collect();
        let path = "/v1/completions";
        let response = send_request(engine.address, "POST", path, &headers, body).await;
        let response = response.expect("a response arrives");
        assert_eq!(response.status, status, "{model} {version:?}");
        assert_eq!(response.not_run, status == 503, "{model} {version:?}");
    }
    assert_eq!(engine.counts().runs, 3);
    assert_eq!(engine.counts().refused, 3);
    let invalid =
        send_request(engine.address, "POST", "/v1/completions", &[], "{").await;
    assert_eq!(invalid.expect("a response arrives").status, 400);
}

#[tokio::test]
async fn higher_priority_runs_first() {
    let engine = start_engine(EngineOptions {
        slots: 1,
        ..fast_options()
    })
    .await;
    load_model(&engine, 1, "m", None).await;
    engine.set_faults(Faults {
        frozen: true,
        ..Faults::default()
    });
    let mut bodies = Vec::new();
    for (index, priority) in ["1", "9", "5", "9"].into_iter().enumerate() {
        let request = format!("r{index}");
        let headers = [("x-priority", priority), ("x-request-id", &request)];
        bodies.push(stream_completion(&engine, &request, 1, &headers).await);
    }
    let finished = parking_lot::Mutex::new(Vec::new());
    let readers = bodies.into_iter().enumerate().map(|(index, body)| {
        let finished = &finished;
        async move {
            read_chunks(body).await;
            finished.lock().push(index);
        }
    });
    let thaw = async { engine.set_faults(Faults::default()) };
    tokio::join!(futures::future::join_all(readers), thaw);
    assert_eq!(engine.counts().finished, 4);
    assert_eq!(*finished.lock(), [1, 3, 2, 0]);
}

#[tokio::test]
async fn requests_beyond_the_slots_all_complete() {
    let engine = start_engine(EngineOptions {
        slots: 4,
        ..fast_options()
    })
    .await;
    load_model(&engine, 1, "m", None).await;
    let prompts: Vec<String> = (0..12).map(|index| format!("p{index}")).collect();
    let responses = prompts.iter().map(|prompt| async {
        let (parts, clean) =
            read_chunks(stream_completion(&engine, prompt, 6, &[]).await).await;
        assert!(clean);
        assert_eq!(
            concat_text(&parts),
            ResponseText::new("m", 1, prompt).token_range(0, 6)
        );
    });
    futures::future::join_all(responses).await;
    let counts = engine.counts();
    assert_eq!((counts.runs, counts.finished, counts.tokens), (12, 12, 72));
    let report = engine.report();
    assert_eq!((report.running, report.waiting), (0, 0));
}

#[tokio::test]
async fn a_full_queue_refuses_without_running() {
    let engine = start_engine(EngineOptions {
        slots: 1,
        waiting_max: 2,
        ..fast_options()
    })
    .await;
    load_model(&engine, 1, "m", None).await;
    engine.set_faults(Faults {
        frozen: true,
        ..Faults::default()
    });
    let _waiting = [
        stream_completion(&engine, "a", 1, &[]).await,
        stream_completion(&engine, "b", 1, &[]).await,
    ];
    let body = completion("c", 1, true);
    let response =
        send_request(engine.address, "POST", "/v1/completions", &[], body).await;
    let response = response.expect("a response arrives");
    assert_eq!((response.status, response.not_run), (503, true));
}

/// The client closes its connection while the response streams, or while the request
/// waits for a batch. The run must end and free its slot.
#[tokio::test]
async fn closing_the_connection_cancels_a_run() {
    let engine = start_engine(EngineOptions {
        slots: 1,
        ..fast_options()
    })
    .await;
    load_model(&engine, 1, "m", None).await;
    let mut running = stream_completion(&engine, "a", 60_000, &[]).await;
    running.frame().await.expect("a token").expect("a token");
    let waiting = stream_completion(&engine, "b", 60_000, &[]).await;
    drop(waiting);
    wait_until(|| engine.counts().cancelled == 1).await;
    drop(running);
    wait_until(|| engine.counts().cancelled == 2).await;
    let counts = engine.counts();
    assert_eq!((counts.runs, counts.finished), (1, 0));
    let report = engine.report();
    assert_eq!((report.running, report.waiting), (0, 0));
}

/// All prompts share 64 tokens, which are four complete blocks. The second cache is too
/// small to hold them.
#[tokio::test]
async fn a_shared_prompt_prefix_is_prefilled_once_if_cached() {
    for (prefix_blocks, cached) in [(64, 64), (2, 0)] {
        let engine = start_engine(EngineOptions {
            prefix_blocks,
            ..fast_options()
        })
        .await;
        load_model(&engine, 1, "m", None).await;
        let shared = "the manual says: ".repeat(64)[..256].to_owned();
        for question in ["why?", "how?"] {
            let prompt = format!("{shared}{question}");
            let (_, clean) =
                read_chunks(stream_completion(&engine, &prompt, 1, &[]).await).await;
            assert!(clean);
        }
        let counts = engine.counts();
        assert_eq!(counts.cached_tokens, cached);
        assert_eq!(counts.prefilled_tokens, 2 * 65 - cached);
    }
}

/// Long prompts take more steps to prefill, and a slow factor makes steps longer.
#[tokio::test(start_paused = true)]
async fn long_prompts_and_slow_engines_take_longer() {
    // (prompt bytes, slow factor, tokens, minimum duration in normal steps)
    for (bytes, slow_factor, tokens, steps) in
        [(4, 0, 10, 10), (4_096, 0, 1, 2), (4, 7, 10, 70)]
    {
        let engine = start_engine(EngineOptions {
            step_us: 10_000,
            ..fast_options()
        })
        .await;
        load_model(&engine, 1, "m", None).await;
        engine.set_faults(Faults {
            slow_factor,
            ..Faults::default()
        });
        let started_at = tokio::time::Instant::now();
        let prompt = "x".repeat(bytes);
        read_chunks(stream_completion(&engine, &prompt, tokens, &[]).await).await;
        assert!(started_at.elapsed() >= Duration::from_millis(10) * steps);
    }
}
