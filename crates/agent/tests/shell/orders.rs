//! Orders to an engine, and what shows that they have ended.

use crate::support::{Got, Memory, Pair, Says, patiently, slow_upstream, upstream};
use base::{PlatformOp, PlatformResult};
use futures::future::BoxFuture;
use plat::ObjectApi;
use prost::Message;
use schema::link::{Target, TargetModel, frame};
use schema::store::{AgentRecord, Intent};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::net::TcpListener;

fn target(pair: &Pair) -> frame::Body {
    let model = |model: &str, version| TargetModel {
        model: model.to_owned(),
        version,
        ..TargetModel::default()
    };
    frame::Body::Target(Target {
        planner: "e".to_owned(),
        rank: 1,
        sequence: 1,
        agent_incarnation: pair.link.hello.incarnation,
        models: vec![model("m", 1), model("n", 2)],
        revision: 1,
    })
}

// The engine accepts an order, refuses it, knows a later epoch, or says nothing
// that can be relied on. Only its plain refusals may count as such: an order
// taken for refused whose load still comes would overcommit the accelerator.
#[tokio::test]
async fn each_answer_to_an_order_has_its_meaning() {
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
    for (says, metric) in cases {
        let (address, mut got) = upstream(Says::Text(says)).await;
        let pair = Pair::start("engines", address).await;
        pair.send(target(&pair)).await;
        pair.until("/metrics", metric).await;
        let Some(Got::Request(request)) = got.recv().await else {
            panic!("the engine got nothing");
        };
        assert!(request.starts_with("POST /admin/orders "), "{request}");
        let order = "\"fence\":1,\"kind\":\"load\",\"model\":\"n\",\"version\":2,\
            \"base\":null,\"accelerator\":0,\"size_mib\":40}";
        assert!(request.ends_with(order), "{request}");
        pair.agent.abort();
    }
    let (address, mut got) = upstream(Says::Text(status("202 Accepted", ""))).await;
    let pair = Pair::start("engines", address).await;
    pair.send(target(&pair)).await;
    assert!(matches!(got.recv().await, Some(Got::Request(_))));
    pair.until("/status", "\"sends\":1").await;
    let metrics = pair.operators("/metrics").await;
    assert!(!metrics.contains(refused), "{metrics}");
}

// An agent dies with an order out, on an engine that checks no fencing numbers.
// Its successor must count the order's memory while the predecessor may live:
// a frozen process still listens, and may yet send the order. Once its address
// can be bound it is dead, and the memory is free after the order's delay.
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
    let platform = Memory::with_fleet();
    platform.put("agents/a", record.encode_to_vec());
    let (address, _got) = upstream(Says::Text(String::new())).await;
    let pair = Pair::start_on(platform, "unchecked", address).await;
    pair.until("/status", "\"epoch\":4").await;
    pair.until("/status", "\"in_use_mib\":90").await;
    tokio::time::sleep(Duration::from_millis(3_000)).await;
    let status = pair.operators("/status").await;
    assert!(status.contains("\"in_use_mib\":90"), "{status}");
    drop(predecessor);
    pair.until("/status", "\"in_use_mib\":50").await;
}

/// A platform that takes the whole process' time once it has recorded an intent.
#[derive(Debug)]
struct Stalls {
    objects: Memory,
    stalled: AtomicBool,
}

impl ObjectApi for Stalls {
    fn call<'a>(&'a self, op: &'a PlatformOp) -> BoxFuture<'a, PlatformResult> {
        if let PlatformOp::Write { key, value, .. } = op
            && key == "agents/a"
            && !AgentRecord::decode(&value[..]).unwrap().intents.is_empty()
            && !self.stalled.swap(true, Ordering::SeqCst)
        {
            // On the one thread of the test it runs before the task which the
            // answer will start.
            tokio::spawn(async { std::thread::sleep(Duration::from_millis(400)) });
        }
        self.objects.call(op)
    }
}

// The process stands still between the decision on an order and its socket, for
// longer than an order can be under way. The agent may have been replaced
// meanwhile and the memory given away, so the order must not be sent. It still
// holds here, and is given again.
#[tokio::test]
async fn an_order_that_was_held_up_is_not_sent() {
    let accepted = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";
    let (address, mut got) = upstream(Says::Text(accepted.to_owned())).await;
    let platform = Stalls {
        objects: Memory::with_fleet(),
        stalled: AtomicBool::new(false),
    };
    let pair = Pair::start_on(platform, "engines", address).await;
    pair.send(target(&pair)).await;
    let Some(Got::Request(first)) = patiently(got.recv()).await else {
        panic!("not even connected to");
    };
    assert_eq!(first, "", "sent 400 ms after the decision");
    let Some(Got::Request(again)) = patiently(got.recv()).await else {
        panic!("never given again");
    };
    assert!(again.contains("\"kind\":\"load\""), "{again}");
    let unanswered = "sesame_agent_orders_unanswered_total 1";
    pair.until("/metrics", unanswered).await;
}

// The engine makes a report and takes its time to hand it over.
// What entries and the ledger hear must be at least that old: the state from
// before an order could otherwise pass for the one after it.
#[tokio::test]
async fn a_report_ages_on_its_way() {
    const HEARTBEATS: usize = 6;
    let delay = Duration::from_millis(700);
    let (address, _got) = slow_upstream(Says::Text(String::new()), delay).await;
    let mut pair = Pair::start("engines", address).await;
    let mut heard = 0;
    while heard < HEARTBEATS {
        let frame = pair.link.receiver.recv().await.unwrap().unwrap();
        let Some(frame::Body::Heartbeat(heartbeat)) = frame.body else {
            continue;
        };
        heard += 1;
        let load = heartbeat.load.unwrap();
        assert!(load.report_age_ms >= 700, "{load:?}");
    }
}
