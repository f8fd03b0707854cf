//! Answers that go well.

use crate::support::caller::{begin, call, post, start};
use crate::support::rig::Rig;
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
    let rig = Rig::start().await;
    let asked = post("/v1/chat/completions", CHAT_STREAM);
    let (response, _connection) = start(rig.entry.caller_address, asked).await;
    let job = rig.engine.job().await;
    assert_eq!(job.run.body, CHAT_STREAM.as_bytes(), "passed as it is");
    job.started().await;
    job.tokens(&["He", "llo \"", "ünd\n"]).await;
    job.whole(3).await;

    let response = response.await.expect("the task runs");
    assert_eq!(response.status(), 200);
    assert_eq!(response.headers()["content-type"], "text/event-stream");
    assert!(response.headers().contains_key("x-request-id"));
    let body = http_body_util::BodyExt::collect(response.into_body()).await;
    let body = body.expect("a whole body").to_bytes();
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
async fn the_head_comes_with_the_first_part() {
    let rig = Rig::start().await;
    let asked = post("/v1/completions", r#"{"prompt":"x","stream":true}"#);
    let asking = tokio::spawn(begin(rig.entry.caller_address, asked));
    let job = rig.engine.job().await;
    job.started().await;
    job.tokens(&["one"]).await;
    let mut begun = asking.await.expect("the task runs");
    let first = begun.read_until("\n\n").await;
    assert_eq!(chunks(&first)[0]["choices"][0]["text"], "one");
    assert_eq!(chunks(&first)[0]["object"], "text_completion");
    job.part(1, 1, b"two").await;
    job.whole(2).await;
    let rest = begun.rest().await.body;
    assert!(rest.contains("two") && rest.ends_with("data: [DONE]\n\n"));
}

/// Bodies as sent, and as the engine gets them.
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
    let rig = Rig::start().await;
    for (sent, expected) in BODIES {
        let asked = post("/v1/completions", sent);
        let asking = tokio::spawn(call(rig.entry.caller_address, asked));
        let job = rig.engine.job().await;
        assert_eq!(std::str::from_utf8(&job.run.body), Ok(*expected));
        job.started().await;
        job.whole(0).await;
        assert_eq!(asking.await.expect("the task runs").status, 200);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_chat_without_stream_is_put_together() {
    let rig = Rig::start().await;
    let asked = post("/v1/chat/completions", CHAT);
    let asking = tokio::spawn(call(rig.entry.caller_address, asked));
    let job = rig.engine.job().await;
    assert_eq!(job.run.tokens_max, 9);
    job.started().await;
    job.tokens(&["a", "b", "c", "d", "e", "f", "g", "h", "i"])
        .await;
    job.whole(9).await;
    let whole = asking.await.expect("the task runs");
    let json = whole.json();
    assert_eq!(whole.status, 200);
    assert_eq!(json["object"], "chat.completion");
    let choice = &json["choices"][0];
    assert_eq!(choice["message"]["content"], "abcdefghi");
    assert_eq!(choice["finish_reason"], "length", "as long as it may be");
    assert_eq!(json["usage"]["completion_tokens"], 9);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_service_answers_with_its_own_status_and_type() {
    let rig = Rig::start().await;
    let mut asked = post("/svc/orders/parts/7?now=1", "cylinder");
    *asked.method_mut() = Method::PUT;
    asked
        .headers_mut()
        .insert("idempotency-key", "k1".parse().expect("a header value"));
    let asking = tokio::spawn(call(rig.entry.caller_address, asked));
    let job = rig.shop.job().await;
    assert_eq!(job.run.method, "PUT");
    assert_eq!(job.run.path, "/parts/7?now=1");
    assert_eq!(job.run.idempotency_key, "k1");
    assert_eq!(job.run.body, b"cylinder");
    job.started().await;
    job.part(0, 3, b"bor").await;
    job.part(3, 4, b"ked\xff").await;
    job.end(End {
        ran: 1,
        total_units: 7,
        status: 202,
        content_type: "text/plain".to_owned(),
        ..End::default()
    })
    .await;
    let whole = asking.await.expect("the task runs");
    assert_eq!(whole.status, 202);
    assert_eq!(whole.header("content-type"), Some("text/plain"));
    assert_eq!(whole.body, "borked\u{fffd}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn models_of_the_profiles_are_listed() {
    let rig = Rig::start().await;
    let mut asked = post("/v1/models", "");
    *asked.method_mut() = Method::GET;
    let list = call(rig.entry.caller_address, asked).await.json();
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
    let refused = call(rig.entry.caller_address, unknown).await;
    assert_eq!((refused.status, refused.code()), (401, 1002));
}

/// A caller's library keeps its connection and sends the next request on it,
/// behind an answer in parts as well as behind an error.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_connection_serves_many_requests() {
    let rig = Rig::start().await;
    let stream = tokio::net::TcpStream::connect(rig.entry.caller_address).await;
    let io = hyper_util::rt::TokioIo::new(stream.expect("it listens"));
    let handshake = hyper::client::conn::http1::handshake(io).await;
    let (mut sender, connection) = handshake.expect("a connection");
    tokio::spawn(connection);
    for path in ["/v1/completions", "/v1/nothing", "/v1/completions"] {
        let mut asked = post(path, r#"{"prompt":"x","stream":true}"#);
        let host = "loopback".parse().expect("a header value");
        asked.headers_mut().insert("host", host);
        // The library's own task has to see the end of the answer before.
        sender.ready().await.expect("the connection is kept");
        let asking = sender.send_request(asked);
        let serving = async {
            if path != "/v1/nothing" {
                let job = rig.engine.job().await;
                job.started().await;
                job.tokens(&["a", "b"]).await;
                job.whole(2).await;
            }
        };
        let (response, ()) = tokio::join!(asking, serving);
        let body = response.expect("an answer").into_body();
        let body = http_body_util::BodyExt::collect(body).await.expect("whole");
        assert!(!body.to_bytes().is_empty(), "{path}");
    }
}
