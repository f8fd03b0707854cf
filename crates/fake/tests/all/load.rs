//! Tests of how the load generator classifies responses.

use fake::engine::Faults;
use fake::load::{self, LoadOptions, Report, Workload};
use fake::service::{self, ServiceOptions};
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use crate::engine::{fast_options, load_model, start_engine};

async fn run_load(
    target: SocketAddr,
    stream: bool,
    count: u64,
    rate: Option<f64>,
) -> Report {
    let workload = Workload {
        profile: "desk".to_owned(),
        models: vec!["m".to_owned()],
        stream,
        ..Workload::default()
    };
    run_workload(target, workload, count, rate).await
}

async fn run_workload(
    target: SocketAddr,
    workload: Workload,
    count: u64,
    rate_per_s: Option<f64>,
) -> Report {
    load::run(LoadOptions {
        targets: vec![target],
        direct: true,
        exclude_unavailable_targets: false,
        caller_key: String::new(),
        workloads: vec![workload],
        concurrency: 4,
        rate_per_s,
        count,
        seed: 7,
    })
    .await
}

#[tokio::test]
async fn complete_responses_are_recognized() {
    let engine = start_engine(fast_options()).await;
    load_model(&engine, 1, "m", None).await;
    for (stream, rate) in [(true, None), (false, None), (true, Some(2_000.0))] {
        let report = run_load(engine.address, stream, 24, rate).await;
        let desk = &report.profiles["desk"];
        assert_eq!((desk.sent, desk.whole, desk.attained), (24, 24, 24));
        assert_eq!(report.wrong_responses(), 0);
        let tokens = if stream { 24 * 15 } else { 0 };
        assert_eq!(desk.between_tokens.count, tokens);
    }
}

#[tokio::test]
async fn refused_and_incomplete_responses_are_distinguished() {
    let engine = start_engine(fast_options()).await;
    let report = run_load(engine.address, true, 3, None).await;
    let refused = &report.profiles["desk"].refused;
    assert_eq!(refused.get("http 503 not_run"), Some(&3));
    load_model(&engine, 1, "m", None).await;
    engine.set_faults(Faults {
        break_runs: 2,
        break_after_tokens: 3,
        ..Faults::default()
    });
    let report = run_load(engine.address, true, 6, None).await;
    let desk = &report.profiles["desk"];
    assert_eq!((desk.whole, desk.wrong), (4, 0));
    assert_eq!(desk.broken.get("connection"), Some(&2));
    engine.set_faults(Faults {
        closed: true,
        ..Faults::default()
    });
    let report = run_load(engine.address, true, 3, None).await;
    assert_eq!(report.profiles["desk"].disconnected, 3);
    let address = engine.address;
    drop(engine);
    crate::client::wait_until(|| std::net::TcpStream::connect(address).is_err()).await;
    let report = run_load(address, true, 3, None).await;
    assert_eq!(report.profiles["desk"].unreached, 3);
}

/// The response ends cleanly but is not the expected one: truncated with and without
/// `[DONE]`, the text of another request, or empty.
#[tokio::test]
async fn a_clean_end_without_the_expected_text_is_wrong() {
    let other = r#"data: {"choices":[{"delta":{"content":"other "}}]}"#;
    let bodies = [
        format!("{other}\n\ndata: [DONE]\n\n"),
        format!("{other}\n\n"),
        "data: [DONE]\n\n".to_owned(),
        format!("{other}\n\ndata: {{\"error\":{{\"code\":3004}}}}\n\n"),
        String::new(),
    ];
    for body in bodies {
        let listener = TcpListener::bind(fake::ANY_PORT).await;
        let listener = listener.expect("loopback has a free port");
        let address = listener.local_addr().expect("the listener is bound");
        let responses = async {
            let (mut stream, _) = listener
                .accept()
                .await
                .expect("the load generator connects");
            let mut request = [0_u8; 4_096];
            let read = stream.read(&mut request).await;
            assert!(read.expect("a request") > 0);
            let response = format!(
                "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}",
                body.len()
            );
            let written = stream.write_all(response.as_bytes()).await;
            written.expect("the load generator reads");
        };
        let (report, ()) = tokio::join!(run_load(address, true, 1, None), responses);
        assert_eq!(report.wrong_responses(), 1, "{body}");
    }
}

#[tokio::test]
async fn a_repeated_service_request_is_wrong() {
    let service = service::start(ServiceOptions::default()).await;
    let service = service.expect("loopback has a free port");
    let workload = Workload {
        profile: "parts".to_owned(),
        service: "deskapp".to_owned(),
        ..Workload::default()
    };
    for (whole, wrong) in [(3, 0), (0, 3)] {
        // The same seed generates the same keys, as if the requests were sent again.
        let report = run_workload(service.address, workload.clone(), 3, None).await;
        let parts = &report.profiles["parts"];
        assert_eq!((parts.whole, parts.wrong), (whole, wrong));
    }
}

#[tokio::test]
async fn a_response_that_misses_its_target_is_not_attained() {
    let engine = start_engine(fast_options()).await;
    load_model(&engine, 1, "m", None).await;
    engine.set_faults(Faults {
        slow_factor: 50,
        ..Faults::default()
    });
    let workload = Workload {
        profile: "desk".to_owned(),
        models: vec!["m".to_owned()],
        first_token_ms: 1,
        ..Workload::default()
    };
    let report = run_workload(engine.address, workload, 4, None).await;
    let desk = &report.profiles["desk"];
    assert_eq!((desk.whole, desk.attained), (4, 0));
    // A step takes 50 times 200 us, and no token is generated before its end.
    for times in [desk.first_token, desk.total] {
        assert_eq!(times.count, 4);
        assert!(times.p50_us >= 10_000 && times.max_us >= times.p50_us);
    }
}

/// One of two targets refuses connections, as if its process had exited. Without
/// `exclude_unavailable_targets`, half of the requests would go there; with it, only
/// those that were sent before the first refusal was seen.
#[tokio::test]
async fn a_target_that_refuses_connections_is_excluded() {
    let engine = start_engine(fast_options()).await;
    load_model(&engine, 1, "m", None).await;
    let closed_listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let closed_address = closed_listener.local_addr().unwrap();
    drop(closed_listener);
    let concurrency = 4;
    let report = load::run(LoadOptions {
        targets: vec![closed_address, engine.address],
        direct: true,
        exclude_unavailable_targets: true,
        caller_key: String::new(),
        workloads: vec![Workload {
            profile: "desk".to_owned(),
            models: vec!["m".to_owned()],
            ..Workload::default()
        }],
        concurrency,
        rate_per_s: None,
        count: 40,
        seed: 7,
    })
    .await;
    let desk = &report.profiles["desk"];
    assert!(
        (1..=concurrency as u64).contains(&desk.unreached),
        "{desk:?}"
    );
    assert_eq!(desk.whole + desk.unreached, 40);
}
