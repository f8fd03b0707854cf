//! Links to agents and between entries.

use crate::support::caller::{call, post};
use crate::support::platform::MemoryPlatform;
use crate::support::rig::{Rig, metric, settings, start_with};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::{sleep, timeout};

const PATIENCE: Duration = Duration::from_secs(20);
const LOOK_AGAIN: Duration = Duration::from_millis(10);
const PROMPT: &str = r#"{"prompt":"x"}"#;

/// The platform is away when a second entry starts, so it can read no
/// configuration there. It dials the first entry, which its settings name, asks
/// for what it is missing, and becomes ready by that.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_configuration_comes_from_a_peer_while_the_platform_is_away() {
    let rig = Rig::start().await;
    rig.platform.away.store(true, Ordering::Relaxed);
    let mut settings = settings();
    settings.id = "entry-2".to_owned();
    let peer = rig.entry.link_address.to_string();
    settings.peers.insert("entry-1".to_owned(), peer);
    // The first entry has to be able to answer: it sends on its own link only,
    // and learns of the second by its gossip.
    let away = Arc::new(MemoryPlatform::default());
    away.away.store(true, Ordering::Relaxed);
    let second = start_with(settings, &away).await;
    let ready = async {
        while !second.is_ready() {
            sleep(LOOK_AGAIN).await;
        }
    };
    timeout(PATIENCE, ready).await.expect("it becomes ready");
    assert!((metric(&second, "sesame_entry_revision").await - 1.0).abs() < 0.1);
}

/// The link to an agent is cut. The entry dials again, and the next request
/// goes over the new link.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cut_link_is_dialled_again() {
    let rig = Rig::start().await;
    for _ in 0..3 {
        let asked = post("/v1/completions", PROMPT);
        let asking = tokio::spawn(call(rig.entry.caller_address, asked));
        let job = rig.engine.job().await;
        job.started().await;
        job.tokens(&["a"]).await;
        job.whole(1).await;
        assert_eq!(asking.await.expect("the task runs").status, 200);
        job.cut();
        rig.until_down().await;
        rig.until_up().await;
    }
}

/// An agent's address is taken over by the agent of another instance, as
/// happens when instances are replaced. The entry must not take the one for the
/// other, or it would send work meant for one engine to another.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn another_process_at_an_agents_address_gets_no_work() {
    let rig = Rig::start().await;
    rig.engine.rename("engine-9");
    rig.until_down().await;
    // Twice: by then the entry has made up its mind about the first link.
    rig.engine.until_dialled(2).await;

    let mut asked = post("/v1/completions", PROMPT);
    let deadline = "1000".parse().expect("a header value");
    asked.headers_mut().insert("x-deadline-ms", deadline);
    let whole = call(rig.entry.caller_address, asked).await;
    assert_eq!(whole.json()["error"]["ran"], "not_run", "{}", whole.body);
    assert!(rig.engine.is_idle().await, "it got a frame for a request");
}

/// What operators see: the listener answers, and the metrics hold the entry's
/// counters and the process's own.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn operators_see_the_entry() {
    let rig = Rig::start().await;
    let address = rig.entry.operator_address;
    let ready = plat::http::get(address, "/readyz").await;
    assert_eq!(ready.expect("it answers").status, 200);
    // Before the first refusal as well as after it.
    for refused in 0..2 {
        let of_code = "sesame_entry_refused_total{code=\"unknown_model\"}";
        assert!(metric(&rig.entry, "sesame_entry_requests_total").await >= 0.0);
        assert!(metric(&rig.entry, "process_resident_memory_bytes").await > 0.0);
        assert!(metric(&rig.entry, "process_cpu_seconds_total").await >= 0.0);
        assert!(metric(&rig.entry, "sesame_entry_links_up").await >= 2.0);
        if refused > 0 {
            assert!((metric(&rig.entry, of_code).await - 1.0).abs() < 0.1);
        }
        let unknown = r#"{"prompt":1,"model":"nothing"}"#;
        call(rig.entry.caller_address, post("/v1/completions", unknown)).await;
    }
}

/// An entry that is ended without draining leaves nothing behind: its callers'
/// connections are cut, and its ports can be bound again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_aborted_entry_leaves_nothing_open() {
    let rig = Rig::start().await;
    let addresses = [
        rig.entry.caller_address,
        rig.entry.link_address,
        rig.entry.operator_address,
    ];
    let asked = post("/v1/completions", r#"{"prompt":"x","stream":true}"#);
    let (response, connection) =
        crate::support::caller::start(rig.entry.caller_address, asked).await;
    let job = rig.engine.job().await;
    job.started().await;
    rig.entry.abort();
    let ended = timeout(PATIENCE, response).await.expect("it is cut");
    assert!(ended.is_err(), "no answer came");
    drop(connection);
    for address in addresses {
        let bound = async {
            while tokio::net::TcpListener::bind(address).await.is_err() {
                sleep(LOOK_AGAIN).await;
            }
        };
        timeout(PATIENCE, bound).await.expect("the port is free");
    }
}
