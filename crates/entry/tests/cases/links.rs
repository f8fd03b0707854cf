//! Links to agents and between entries, and the operators' listener.

use crate::support::caller::{fetch, post};
use crate::support::harness::{Harness, metric, settings, start_entry_with};
use crate::support::platform::MemoryPlatform;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
const PROMPT: &str = r#"{"prompt":"x"}"#;

/// The platform is unreachable when a second entry starts, so it can't read the
/// configuration there. It dials the first entry, which its settings name, asks it
/// for the configuration, and becomes ready.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_configuration_is_read_from_a_peer_while_the_platform_is_unavailable() {
    let harness = Harness::start().await;
    harness.platform.unavailable.store(true, Ordering::Relaxed);
    let mut settings = settings();
    settings.id = "entry-2".to_owned();
    let peer = harness.entry.link_address.to_string();
    settings.peers.insert("entry-1".to_owned(), peer);
    // The second entry's gossip tells the first one its address. The first one
    // needs it to answer, as an entry sends only on links that it dialed.
    let platform = Arc::new(MemoryPlatform::default());
    platform.unavailable.store(true, Ordering::Relaxed);
    let second = start_entry_with(settings, &platform).await;
    let ready = async {
        while !second.is_ready() {
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(WAIT_TIMEOUT, ready)
        .await
        .expect("the entry becomes ready");
    assert!((metric(&second, "sesame_entry_revision").await - 1.0).abs() < 0.1);
}

/// The link to an agent is lost. The entry dials again, and the next request is
/// sent on the new link.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_lost_link_is_redialed() {
    let harness = Harness::start().await;
    for _ in 0..3 {
        let request = post("/v1/completions", PROMPT);
        let response_task = tokio::spawn(fetch(harness.entry.caller_address, request));
        let attempt = harness.engine.next_attempt().await;
        attempt.send_started().await;
        attempt.send_tokens(&["a"]).await;
        attempt.send_complete(1).await;
        assert_eq!(response_task.await.expect("the task runs").status, 200);
        attempt.cut_link();
        harness.wait_agent_down().await;
        harness.wait_agents_up().await;
    }
}

/// The agent of another instance takes over an agent's address, as happens when
/// instances are replaced. The entry must notice the different id, or it would
/// send requests for one engine to another.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn another_process_at_an_agents_address_gets_no_requests() {
    let harness = Harness::start().await;
    harness.engine.rename("engine-9");
    harness.wait_agent_down().await;
    // The second dial shows that the entry has rejected the first link.
    harness.engine.wait_dialed(2).await;

    let mut request = post("/v1/completions", PROMPT);
    let deadline = "1000".parse().expect("a header value");
    request.headers_mut().insert("x-deadline-ms", deadline);
    let response = fetch(harness.entry.caller_address, request).await;
    assert_eq!(
        response.json()["error"]["ran"],
        "not_run",
        "{}",
        response.body
    );
    assert!(
        harness.engine.is_idle().await,
        "the agent got a frame about a request"
    );
}

/// The operators' listener responds, and the metrics contain the counters of the
/// entry and those of the process.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn operators_listener_serves_readiness_and_metrics() {
    let harness = Harness::start().await;
    let address = harness.entry.operator_address;
    let ready = plat::http::get(address, "/readyz").await;
    assert_eq!(ready.expect("the entry responds").status, 200);
    // The metrics must be encoded both before and after the first refusal.
    for refused in 0..2 {
        let of_code = "sesame_entry_refused_total{code=\"unknown_model\"}";
        assert!(metric(&harness.entry, "sesame_entry_requests_total").await >= 0.0);
        assert!(metric(&harness.entry, "process_resident_memory_bytes").await > 0.0);
        assert!(metric(&harness.entry, "process_cpu_seconds_total").await >= 0.0);
        assert!(metric(&harness.entry, "sesame_entry_links_up").await >= 2.0);
        if refused > 0 {
            assert!((metric(&harness.entry, of_code).await - 1.0).abs() < 0.1);
        }
        let unknown = r#"{"prompt":1,"model":"nothing"}"#;
        fetch(
            harness.entry.caller_address,
            post("/v1/completions", unknown),
        )
        .await;
    }
}

/// An entry that is aborted without draining closes its callers' connections, and
/// its ports can be bound again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_aborted_entry_leaves_nothing_open() {
    let harness = Harness::start().await;
    let addresses = [
        harness.entry.caller_address,
        harness.entry.link_address,
        harness.entry.operator_address,
    ];
    let request = post("/v1/completions", r#"{"prompt":"x","stream":true}"#);
    let (response, connection) =
        crate::support::caller::send(harness.entry.caller_address, request).await;
    let attempt = harness.engine.next_attempt().await;
    attempt.send_started().await;
    harness.entry.abort();
    let ended = timeout(WAIT_TIMEOUT, response)
        .await
        .expect("the connection is closed");
    assert!(ended.is_err(), "there must be no response");
    drop(connection);
    for address in addresses {
        let bound = async {
            while tokio::net::TcpListener::bind(address).await.is_err() {
                sleep(POLL_INTERVAL).await;
            }
        };
        timeout(WAIT_TIMEOUT, bound)
            .await
            .expect("the port is free");
    }
}

/// Guards against clients that connect to the link listener, send nothing, and take all
/// descriptors: those beyond a bound are closed and counted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_without_a_handshake_are_bounded() {
    const CLIENTS: usize = 300;
    const HANDSHAKES_MAX: f64 = 128.0;
    let harness = Harness::start().await;
    let mut clients = Vec::new();
    for _ in 0..CLIENTS {
        let client = TcpStream::connect(harness.entry.link_address).await;
        clients.push(client.expect("the entry listens"));
    }
    let refused = async {
        let name = "sesame_entry_refused_links_total";
        while metric(&harness.entry, name).await < CLIENTS as f64 - HANDSHAKES_MAX {
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(WAIT_TIMEOUT, refused)
        .await
        .expect("the others are closed");
}
