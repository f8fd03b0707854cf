//! Tests of the engine's faults, except those of orders.

use fake::engine::{EngineOptions, Faults, ResidentState};
use http_body_util::BodyExt;
use serde_json::json;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use crate::client::{get, open_response, send_request, wait_until};
use crate::engine::{
    completion, concat_text, fast_options, load_model, read_chunks, start_engine,
    stream_completion,
};

/// A request whose prompt crashes the engine is sent while another streams. Both
/// connections must break without a clean end, memory must be empty afterwards, and the
/// engine must restart with a new incarnation.
#[tokio::test]
async fn a_crash_drops_all_state_and_raises_the_incarnation() {
    let engine = start_engine(EngineOptions {
        crash_text: Some("poison".to_owned()),
        ..fast_options()
    })
    .await;
    load_model(&engine, 1, "m", None).await;
    let mut bystander = stream_completion(&engine, "fine", 60_000, &[]).await;
    bystander.frame().await.expect("a token").expect("a token");
    let path = "/v1/completions";
    let poison = completion("some poison here", 4, true);
    if let Some(response) =
        open_response(engine.address, "POST", path, &[], poison).await
    {
        assert!(response.into_body().collect().await.is_err());
    }
    let (_, clean) = read_chunks(bystander).await;
    assert!(!clean);
    assert_eq!(engine.counts().crashes, 1);
    let report = engine.report();
    assert_eq!((report.incarnation, report.fence), (2, 0));
    assert!(report.residents.is_empty() && report.orders.is_empty());
    // Connections are closed immediately until the engine has restarted.
    while get(engine.address, "/admin/state").await.is_none() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    load_model(&engine, 1, "m", None).await;
    let (_, clean) =
        read_chunks(stream_completion(&engine, "fine", 4, &[]).await).await;
    assert!(clean);
}

#[tokio::test]
async fn the_control_listener_survives_a_crash_command() {
    let engine = start_engine(EngineOptions {
        restart_ms: 600_000,
        ..fast_options()
    })
    .await;
    let crash = send_request(engine.control, "POST", "/control/crash", &[], "").await;
    assert_eq!(crash.expect("the control listener responds").status, 200);
    assert!(get(engine.address, "/admin/state").await.is_none());
    let counts = get(engine.control, "/control/counts").await;
    assert_eq!(
        counts.expect("the control listener responds").json()["crashes"],
        1
    );
}

/// The engine crashes during a load, and the same model is ordered again after the
/// restart. Then the weights of the first load arrive, which must not complete the second
/// load.
#[tokio::test]
async fn a_load_does_not_outlive_a_crash() {
    let store = TcpListener::bind(fake::ANY_PORT).await;
    let store = store.expect("loopback has a free port");
    let engine = start_engine(EngineOptions {
        store: store.local_addr().ok(),
        ..fast_options()
    })
    .await;
    let order = crate::orders::build_order(1, 1, "load", "m", 1);
    crate::orders::send_order(&engine, &order).await;
    let (mut transfer, _) = store.accept().await.expect("the engine connects");
    engine.crash();
    while get(engine.address, "/admin/state").await.is_none() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let order = crate::orders::build_order(2, 1, "load", "m", 1);
    crate::orders::send_order(&engine, &order).await;
    let (_second, _) = store
        .accept()
        .await
        .expect("the engine connects a second time");
    let response = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    transfer
        .write_all(response)
        .await
        .expect("the engine waits");
    let mut request = Vec::new();
    let read = transfer.read_to_end(&mut request).await;
    read.expect("the engine closes the connection");
    let state = engine.report().residents[0].state;
    assert_eq!(state, ResidentState::Loading);
    assert_eq!(engine.counts().loads, 0);
}

#[tokio::test]
async fn an_aborted_run_generates_some_tokens_and_no_clean_end() {
    for tokens in [0_u64, 3] {
        let engine = start_engine(fast_options()).await;
        load_model(&engine, 1, "m", None).await;
        engine.set_faults(Faults {
            break_runs: 1,
            break_after_tokens: tokens,
            ..Faults::default()
        });
        let (parts, clean) =
            read_chunks(stream_completion(&engine, "why", 9, &[]).await).await;
        assert!(!clean);
        let start = fake::text::ResponseText::new("m", 1, "why").token_range(0, tokens);
        assert_eq!(concat_text(&parts), start);
        let (_, clean) =
            read_chunks(stream_completion(&engine, "why", 9, &[]).await).await;
        assert!(clean);
        assert_eq!(engine.counts().cut, 1);
        engine.set_faults(Faults {
            break_runs: 1,
            ..Faults::default()
        });
        let body = completion("why", 9, false);
        let response =
            send_request(engine.address, "POST", "/v1/completions", &[], body).await;
        assert!(response.is_none());
    }
}

#[tokio::test]
async fn a_refused_run_is_marked_and_not_run() {
    let engine = start_engine(fast_options()).await;
    load_model(&engine, 1, "m", None).await;
    engine.set_faults(Faults {
        refuse_runs: 1,
        ..Faults::default()
    });
    for (status, runs) in [(503, 0), (200, 1)] {
        let body = completion("why", 1, false);
        let headers = [("x-request-id", "r1")];
        let path = "/v1/completions";
        let response = send_request(engine.address, "POST", path, &headers, body).await;
        let response = response.expect("a response arrives");
        assert_eq!((response.status, response.not_run), (status, status == 503));
        let counts = engine.counts();
        let runs_of_request = counts.runs_by_request.get("r1").copied();
        assert_eq!(runs_of_request.unwrap_or(0), runs);
    }
}

/// An unload aborts the model's runs, so that a sender that does not drain the model
/// first is detected.
#[tokio::test]
async fn an_unload_aborts_runs() {
    let engine = start_engine(fast_options()).await;
    load_model(&engine, 1, "m", None).await;
    let mut running = stream_completion(&engine, "why", 60_000, &[]).await;
    running.frame().await.expect("a token").expect("a token");
    let order = crate::orders::build_order(2, 1, "unload", "m", 0);
    crate::orders::send_order(&engine, &order).await;
    let (_, clean) = read_chunks(running).await;
    assert!(!clean);
    assert_eq!(engine.counts().cut, 1);
}

#[tokio::test]
async fn a_frozen_engine_keeps_connections_and_generates_nothing() {
    let engine = start_engine(fast_options()).await;
    load_model(&engine, 1, "m", None).await;
    engine.set_faults(Faults {
        frozen: true,
        ..Faults::default()
    });
    let body = stream_completion(&engine, "why", 5, &[]).await;
    let state = get(engine.address, "/admin/state").await;
    assert_eq!(state.expect("a response arrives").json()["waiting"], 1);
    assert_eq!(engine.counts().tokens, 0);
    engine.set_faults(Faults::default());
    let (_, clean) = read_chunks(body).await;
    assert!(clean);
}

#[tokio::test]
async fn a_closed_engine_serves_no_requests() {
    let engine = start_engine(fast_options()).await;
    engine.set_faults(Faults {
        closed: true,
        ..Faults::default()
    });
    assert!(get(engine.address, "/admin/state").await.is_none());
    engine.set_faults(Faults::default());
    assert!(get(engine.address, "/admin/state").await.is_some());
}

/// The same report is returned until it is as old as the lag.
#[tokio::test(start_paused = true)]
async fn a_lagging_report_shows_an_earlier_state() {
    let engine = start_engine(fast_options()).await;
    engine.set_faults(Faults {
        report_lag_ms: 3_600_000,
        ..Faults::default()
    });
    let residents = || async {
        let state = get(engine.address, "/admin/state").await;
        let state = state.expect("a response arrives").json();
        state["residents"].as_array().map(Vec::len)
    };
    assert_eq!(residents().await, Some(0));
    load_model(&engine, 1, "m", None).await;
    assert_eq!(residents().await, Some(0));
    tokio::time::advance(Duration::from_secs(3_601)).await;
    assert_eq!(residents().await, Some(1));
}

#[tokio::test(start_paused = true)]
async fn admin_requests_take_at_least_the_admin_delay() {
    let engine = start_engine(fast_options()).await;
    engine.set_faults(Faults {
        admin_delay_ms: 900,
        ..Faults::default()
    });
    let started_at = tokio::time::Instant::now();
    assert!(get(engine.address, "/admin/state").await.is_some());
    assert!(started_at.elapsed() >= Duration::from_millis(900));
}

#[tokio::test]
async fn a_failed_load_frees_its_memory() {
    let engine = start_engine(fast_options()).await;
    engine.set_faults(Faults {
        fail_loads: 1,
        ..Faults::default()
    });
    let order = crate::orders::build_order(1, 1, "load", "m", 1_000);
    crate::orders::send_order(&engine, &order).await;
    let failed = || {
        let state = engine.report().orders[0].state;
        serde_json::to_value(state).ok() == Some(json!("failed"))
    };
    wait_until(failed).await;
    assert!(engine.report().residents.is_empty());
}
