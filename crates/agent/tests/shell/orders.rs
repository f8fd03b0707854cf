//! Orders to an engine, and reports that show whether they have ended.

use crate::support::{
    AgentFixture, Behavior, InMemoryPlatform, Observed, start_slow_upstream,
    start_upstream, with_test_timeout,
};
use base::{PlatformOp, PlatformResult};
use futures::future::BoxFuture;
use plat::ObjectApi;
use prost::Message;
use schema::link::{Target, TargetModel, frame};
use schema::store::{AgentRecord, Intent};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::net::TcpListener;

fn target_frame(fixture: &AgentFixture) -> frame::Body {
    let model = |model: &str, version| TargetModel {
        model: model.to_owned(),
        version,
        ..TargetModel::default()
    };
    frame::Body::Target(Target {
        planner: "e".to_owned(),
        rank: 1,
        sequence: 1,
        agent_incarnation: fixture.link.hello.incarnation,
        models: vec![model("m", 1), model("n", 2)],
        revision: 1,
    })
}

// The engine accepts an order, refuses it, refuses it because of a later epoch, or
// sends a response that is not defined. Only defined refusals may count as refused: if
// an order counted as refused but was still carried out, the accelerator would be
// overcommitted.
#[tokio::test]
async fn order_responses_are_interpreted() {
    let status = |line: &str, body: &str| {
        let length = body.len();
        format!("HTTP/1.1 {line}\r\nContent-Length: {length}\r\n\r\n{body}")
    };
    let refused = "sesame_agent_orders_refused_total 1";
    let unanswered = "sesame_agent_orders_unanswered_total 1";
    let cases = [
        (status("400 Bad Request", ""), refused),
        (status("409 Conflict", "{\"error\":\"fenced\"}"), refused),
        (status("409 Conflict", "{\"error\":\"other\"}"), unanswered),
        (status("409 Conflict", ""), unanswered),
        (status("500 Oh", ""), unanswered),
        (status("404 Not Found", ""), unanswered),
        (String::new(), unanswered),
    ];
    for (response, metric) in cases {
        let (address, mut observed) = start_upstream(Behavior::Respond(response)).await;
        let fixture = AgentFixture::start("engines", address).await;
        fixture.send(target_frame(&fixture)).await;
        fixture.wait_for_operator_text("/metrics", metric).await;
        let Some(Observed::Request(request)) = observed.recv().await else {
            panic!("the engine received nothing");
        };
        assert!(request.starts_with("POST /admin/orders "), "{request}");
        let order = "\"fence\":1,\"kind\":\"load\",\"model\":\"n\",\"version\":2,\
            \"base\":null,\"accelerator\":0,\"size_mib\":40}";
        assert!(request.ends_with(order), "{request}");
        fixture.agent.abort();
    }
    let (address, mut observed) =
        start_upstream(Behavior::Respond(status("202 Accepted", ""))).await;
    let fixture = AgentFixture::start("engines", address).await;
    fixture.send(target_frame(&fixture)).await;
    assert!(matches!(observed.recv().await, Some(Observed::Request(_))));
    fixture
        .wait_for_operator_text("/status", "\"sends\":1")
        .await;
    let metrics = fixture.operator_get("/metrics").await;
    assert!(!metrics.contains(refused), "{metrics}");
}

// An agent is replaced with an order in flight, on an engine that does not check
// fencing. The successor must count the order's memory while the predecessor may be
// alive: a frozen process still listens and may send the order later. Once its address
// can be bound, the predecessor is dead, and the memory is free after the maximum delay
// of an order.
#[tokio::test]
async fn a_predecessor_that_listens_is_not_dead() {
    let predecessor = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let intent = Intent {
        link_address: String::new(),
        order: 9,
        epoch: 3,
        load: true,
        model: "n".to_owned(),
        version: 2,
        accelerator: 0,
        size_mib: 40,
        upstream_incarnation: 5,
    };
    let record = AgentRecord {
        epoch: 3,
        incarnation: 1,
        link_address: predecessor.local_addr().unwrap().to_string(),
        intents: vec![intent],
    };
    let platform = InMemoryPlatform::with_fleet_config();
    platform.put("agents/a", record.encode_to_vec());
    let (address, _observed) = start_upstream(Behavior::Respond(String::new())).await;
    let fixture =
        AgentFixture::start_with_platform(platform, "unchecked", address).await;
    fixture
        .wait_for_operator_text("/status", "\"epoch\":4")
        .await;
    fixture
        .wait_for_operator_text("/status", "\"in_use_mib\":90")
        .await;
    tokio::time::sleep(Duration::from_millis(3_000)).await;
    let status = fixture.operator_get("/status").await;
    assert!(status.contains("\"in_use_mib\":90"), "{status}");
    drop(predecessor);
    fixture
        .wait_for_operator_text("/status", "\"in_use_mib\":50")
        .await;
}

/// A platform that blocks the whole process once after it has recorded an intent.
#[derive(Debug)]
struct StallingPlatform {
    objects: InMemoryPlatform,
    stalled: AtomicBool,
}

impl ObjectApi for StallingPlatform {
    fn call<'a>(&'a self, op: &'a PlatformOp) -> BoxFuture<'a, PlatformResult> {
        if let PlatformOp::Write { key, value, .. } = op
            && key == "agents/a"
            && !AgentRecord::decode(&value[..]).unwrap().intents.is_empty()
            && !self.stalled.swap(true, Ordering::SeqCst)
        {
            // The test has a single thread, so this runs before the task that the
            // response will start.
            tokio::spawn(async { std::thread::sleep(Duration::from_millis(400)) });
        }
        self.objects.call(op)
    }
}

// The process freezes between the decision on an order and the write, for longer than
// an order can take to reach the engine. The agent may have been replaced meanwhile and
// the memory reassigned, so the order must not be sent. In this test the order is still
// valid and must be sent again.
#[tokio::test]
async fn a_delayed_order_is_not_sent() {
    let accepted = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";
    let (address, mut observed) =
        start_upstream(Behavior::Respond(accepted.to_owned())).await;
    let platform = StallingPlatform {
        objects: InMemoryPlatform::with_fleet_config(),
        stalled: AtomicBool::new(false),
    };
    let fixture = AgentFixture::start_with_platform(platform, "engines", address).await;
    fixture.send(target_frame(&fixture)).await;
    let Some(Observed::Request(first)) = with_test_timeout(observed.recv()).await
    else {
        panic!("the agent did not connect");
    };
    assert_eq!(first, "", "the order was sent 400 ms after the decision");
    let Some(Observed::Request(resent)) = with_test_timeout(observed.recv()).await
    else {
        panic!("the order was not sent again");
    };
    assert!(resent.contains("\"kind\":\"load\""), "{resent}");
    let unanswered = "sesame_agent_orders_unanswered_total 1";
    fixture.wait_for_operator_text("/metrics", unanswered).await;
}

// The engine delays a report after creating it. The age that the agent passes on must
// include that delay. Otherwise a state from before an order could be taken for the
// state after it.
#[tokio::test]
async fn the_age_of_a_report_includes_its_transit() {
    const HEARTBEATS: usize = 6;
    let delay = Duration::from_millis(700);
    let (address, _observed) =
        start_slow_upstream(Behavior::Respond(String::new()), delay).await;
    let mut fixture = AgentFixture::start("engines", address).await;
    let mut received = 0;
    while received < HEARTBEATS {
        let frame = fixture.link.receiver.recv().await.unwrap().unwrap();
        let Some(frame::Body::Heartbeat(heartbeat)) = frame.body else {
            continue;
        };
        received += 1;
        let load = heartbeat.load.unwrap();
        assert!(load.report_age_ms >= 700, "{load:?}");
    }
}
