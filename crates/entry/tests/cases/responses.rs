//! Requests whose responses are complete.

use crate::support::caller::{fetch, post, send, send_until_head};
use crate::support::harness::Harness;
use hyper::{Method, Request};
use schema::link::End;
use serde_json::{Value, json};

const CHAT: &str =
    r#"{"model":"alpha","messages":[{"role":"user","content":"hi"}],"max_tokens":9}"#;
const CHAT_STREAM: &str = r#"{"model":"alpha", "stream" : true, "messages":[{"role":"user","content":"hi"}]}"#;

fn chunks(body: &str) -> Vec<Value> {
    let data = body.lines().filter_map(|line| line.strip_prefix("data: "));
    data.filter(|data| *data != "[DONE]")
        .map(|data| serde_json::from_str(data).expect("a chunk is JSON"))
        .collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_chat_streams_token_by_token() {
    let harness = Harness::start().await;
    let request = post("/v1/chat/completions", CHAT_STREAM);
    let (response, _connection) = send(harness.entry.caller_address, request).await;
    let attempt = harness.engine.next_attempt().await;
    assert_eq!(
        attempt.run.body,
        CHAT_STREAM.as_bytes(),
        "the body is passed on unchanged"
    );
    attempt.send_started().await;
    attempt.send_tokens(&["He", "llo \"", "ünd\n"]).await;
    attempt.send_complete(3).await;

    let response = response.await.expect("the task runs");
    assert_eq!(response.status(), 200);
    assert_eq!(response.headers()["content-type"], "text/event-stream");
    assert!(response.headers().contains_key("x-request-id"));
    let body = http_body_util::BodyExt::collect(response.into_body()).await;
    let body = body.expect("a complete body").to_bytes();
    let body = std::str::from_utf8(&body).expect("UTF-8");
    assert!(body.ends_with("data: [DONE]\n\n"), "{body}");
    let chunks = chunks(body);
    let text: String = chunks
        .iter()
        .filter_map(|chunk| chunk["choices"][0]["delta"]["content"].as_str())
        .collect();
    assert_eq!(text, "Hello \"ünd\n");
    assert_eq!(chunks.len(), 4);
    assert_eq!(chunks[0]["object"], "chat.completion.chunk");
    assert_eq!(chunks[0]["model"], "alpha");
    assert_eq!(chunks[0]["choices"][0]["delta"]["role"], "assistant");
    assert_eq!(chunks[3]["choices"][0]["finish_reason"], "stop");
    assert_eq!(chunks[3]["usage"]["completion_tokens"], 3);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_response_head_is_sent_with_the_first_part() {
    let harness = Harness::start().await;
    let request = post("/v1/completions", r#"{"prompt":"x","stream":true}"#);
    let response_task =
        tokio::spawn(send_until_head(harness.entry.caller_address, request));
    let attempt = harness.engine.next_attempt().await;
    attempt.send_started().await;
    attempt.send_tokens(&["one"]).await;
    let mut partial = response_task.await.expect("the task runs");
    let first = partial.read_until("\n\n").await;
    assert_eq!(chunks(&first)[0]["choices"][0]["text"], "one");
    assert_eq!(chunks(&first)[0]["object"], "text_completion");
    attempt.send_part(1, 1, b"two").await;
    attempt.send_complete(2).await;
    let rest = partial.read_rest().await.body;
    assert!(rest.contains("two") && rest.ends_with("data: [DONE]\n\n"));
}

/// Request bodies as sent by the caller and as received by the engine.
const BODIES: &[(&str, &str)] = &[
    (
        r#"{"prompt":"x","stream":true}"#,
        r#"{"prompt":"x","stream":true}"#,
    ),
    (
        r#" { "stream": false , "prompt":"x"}"#,
        r#" { "stream": true , "prompt":"x"}"#,
    ),
    (
        r#"{"prompt":["x"],"stream":null,"top_p":1e2}"#,
        r#"{"prompt":["x"],"stream":true,"top_p":1e2}"#,
    ),
    (
        r#"{"prompt":"x","model":"alpha"}"#,
        r#"{"stream":true,"prompt":"x","model":"alpha"}"#,
    ),
    (
        r#"{"prompt":"{\"stream\":false}"}"#,
        r#"{"stream":true,"prompt":"{\"stream\":false}"}"#,
    ),
];

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_engine_gets_the_body_with_stream_set() {
    let harness = Harness::start().await;
    for (sent, expected) in BODIES {
        let request = post("/v1/completions", sent);
        let response_task = tokio::spawn(fetch(harness.entry.caller_address, request));
        let attempt = harness.engine.next_attempt().await;
        assert_eq!(std::str::from_utf8(&attempt.run.body), Ok(*expected));
        attempt.send_started().await;
        attempt.send_complete(0).await;
        assert_eq!(response_task.await.expect("the task runs").status, 200);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_chat_without_stream_is_one_response() {
    let harness = Harness::start().await;
    let request = post("/v1/chat/completions", CHAT);
    let response_task = tokio::spawn(fetch(harness.entry.caller_address, request));
    let attempt = harness.engine.next_attempt().await;
    assert_eq!(attempt.run.tokens_max, 9);
    attempt.send_started().await;
    attempt
        .send_tokens(&["a", "b", "c", "d", "e", "f", "g", "h", "i"])
        .await;
    attempt.send_complete(9).await;
    let response = response_task.await.expect("the task runs");
    let json = response.json();
    assert_eq!(response.status, 200);
    assert_eq!(json["object"], "chat.completion");
    let choice = &json["choices"][0];
    assert_eq!(choice["message"]["content"], "abcdefghi");
    assert_eq!(
        choice["finish_reason"], "length",
        "the answer has the largest length"
    );
    assert_eq!(json["usage"]["completion_tokens"], 9);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_service_response_keeps_its_status_and_content_type() {
    let harness = Harness::start().await;
    let mut request = post("/svc/orders/parts/7?now=1", "cylinder");
    *request.method_mut() = Method::PUT;
    request
        .headers_mut()
        .insert("idempotency-key", "k1".parse().expect("a header value"));
    let response_task = tokio::spawn(fetch(harness.entry.caller_address, request));
    let attempt = harness.service.next_attempt().await;
    assert_eq!(attempt.run.method, "PUT");
    assert_eq!(attempt.run.path, "/parts/7?now=1");
    assert_eq!(attempt.run.idempotency_key, "k1");
    assert_eq!(attempt.run.body, b"cylinder");
    attempt.send_started().await;
    attempt.send_part(0, 3, b"bor").await;
    attempt.send_part(3, 4, b"ked\xff").await;
    attempt
        .send_end(End {
            ran: 1,
            total_units: 7,
            status: 202,
            content_type: "text/plain".to_owned(),
            ..End::default()
        })
        .await;
    let response = response_task.await.expect("the task runs");
    assert_eq!(response.status, 202);
    assert_eq!(response.header("content-type"), Some("text/plain"));
    assert_eq!(response.body, "borked\u{fffd}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn models_of_the_profiles_are_listed() {
    let harness = Harness::start().await;
    let mut request = post("/v1/models", "");
    *request.method_mut() = Method::GET;
    let list = fetch(harness.entry.caller_address, request).await.json();
    let names: Vec<&Value> = list["data"]
        .as_array()
        .expect("a list")
        .iter()
        .map(|model| &model["id"])
        .collect();
    assert_eq!(names, [&json!("alpha"), &json!("alpha-fr")]);

    let unknown = Request::get("/v1/models")
        .body(http_body_util::Full::default())
        .expect("a valid request");
    let refused = fetch(harness.entry.caller_address, unknown).await;
    assert_eq!((refused.status, refused.code()), (401, 1002));
}

/// HTTP clients reuse a connection for further requests. This must work after a
/// streamed response as well as after an error.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_connection_serves_many_requests() {
    let harness = Harness::start().await;
    let stream = tokio::net::TcpStream::connect(harness.entry.caller_address).await;
    let io = hyper_util::rt::TokioIo::new(stream.expect("the entry listens"));
    let handshake = hyper::client::conn::http1::handshake(io).await;
    let (mut sender, connection) = handshake.expect("the handshake succeeds");
    tokio::spawn(connection);
    for path in ["/v1/completions", "/v1/nothing", "/v1/completions"] {
        let mut request = post(path, r#"{"prompt":"x","stream":true}"#);
        let host = "loopback".parse().expect("a header value");
        request.headers_mut().insert("host", host);
        // The client's connection task has to read the end of the last response first.
        sender.ready().await.expect("the connection is reused");
        let response_task = sender.send_request(request);
        let serving = async {
            if path != "/v1/nothing" {
                let attempt = harness.engine.next_attempt().await;
                attempt.send_started().await;
                attempt.send_tokens(&["a", "b"]).await;
                attempt.send_complete(2).await;
            }
        };
        let (response, ()) = tokio::join!(response_task, serving);
        let body = response.expect("a response").into_body();
        let body = http_body_util::BodyExt::collect(body)
            .await
            .expect("a complete body");
        assert!(!body.to_bytes().is_empty(), "{path}");
    }
}
