//! An agent with a platform in memory, an engine on loopback that says what a
//! test wants, and the link of an entry.

use agent::{AgentHandle, start_with_platform};
use base::{ObjectVersion, PlatformOp, PlatformResult, Precondition};
use futures::FutureExt;
use futures::future::BoxFuture;
use plat::ObjectApi;
use prost::Message;
use schema::link::{Attempt, ConfigChanges, Frame, Hello, Run, frame};
use schema::settings::AgentSettings;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc;
use wire::EstablishedLink;

/// Incarnation of the entry, and so the origin of its attempts.
pub const ENTRY_INCARNATION: u64 = 77;

const FLEET: &str = r#"{
    "deployment": "test",
    "failure_domains": {"d": {}},
    "pools": {
        "engines": {"kind": "engine", "instances": 1, "failure_domains": ["d"],
            "accelerators_mib": [100], "step_time_us": 10000, "concurrent_max": 8,
            "checks_fencing": true, "order_delay_max_ms": 100},
        "unchecked": {"kind": "engine", "instances": 1, "failure_domains": ["d"],
            "accelerators_mib": [100], "step_time_us": 10000, "concurrent_max": 8,
            "checks_fencing": false, "order_delay_max_ms": 100},
        "plain": {"kind": "service", "instances": 1, "failure_domains": ["d"],
            "concurrent_max": 8}
    },
    "models": {"m": {"size_mib": 50, "version": 1, "pool": "engines"},
        "n": {"size_mib": 40, "version": 2, "pool": "engines"}},
    "services": {"s": {"pool": "plain", "idempotent": false, "timeout_ms": 5000}},
    "limits": {"frame_max_bytes": 33554432}
}"#;

/// The bound on frames in that configuration.
const FRAME_MAX_BYTES: u32 = 33_554_432;

const STATE: &str = r#"{"incarnation": 5, "fence": 0, "residents": [
    {"model": "m", "version": 1, "accelerator": 0, "size_mib": 50, "state": "loaded"}],
    "orders": [], "running": 0, "waiting": 0, "step_time_us": 10000,
    "report_age_ms": 0}"#;

/// The platform's objects in memory.
#[derive(Debug)]
pub struct Memory(Mutex<BTreeMap<String, (u64, Vec<u8>)>>);

impl Memory {
    /// The platform with a fleet configuration and nothing else.
    pub fn with_fleet() -> Self {
        let snapshot = ConfigChanges {
            snapshot: FLEET.as_bytes().to_vec(),
            base_revision: 1,
            changes: Vec::new(),
        };
        let object = (1, snapshot.encode_to_vec());
        let objects = [(conf::SNAPSHOT_KEY.to_owned(), object)];
        Self(Mutex::new(objects.into()))
    }

    /// Puts an object.
    pub fn put(&self, key: &str, value: Vec<u8>) {
        let write = PlatformOp::Write {
            key: key.to_owned(),
            precondition: Precondition::Any,
            value,
        };
        self.result(&write);
    }

    fn result(&self, op: &PlatformOp) -> PlatformResult {
        let mut objects = self.0.lock().unwrap();
        let newest = objects.values().map(|(version, _)| *version).max();
        let next = newest.unwrap_or(0) + 1;
        match op {
            PlatformOp::Read { key } => {
                let object = objects.get(key);
                let read =
                    object.map(|(version, value)| (ObjectVersion(*version), value));
                PlatformResult::Object(read.map(|(v, value)| (v, value.clone())))
            }
            PlatformOp::List { prefix } | PlatformOp::Watch { prefix, .. } => {
                let listed = objects.iter().filter(|(key, _)| key.starts_with(prefix));
                let listed = listed.map(|(key, (version, value))| {
                    (key.clone(), ObjectVersion(*version), value.clone())
                });
                PlatformResult::Objects(listed.collect(), ObjectVersion(next - 1))
            }
            PlatformOp::Write {
                key,
                precondition,
                value,
            } => {
                let held = objects.get(key).map(|(version, _)| ObjectVersion(*version));
                let as_expected = match precondition {
                    Precondition::Any => true,
                    Precondition::Absent => held.is_none(),
                    Precondition::Version(version) => held == Some(*version),
                };
                if !as_expected {
                    return PlatformResult::Conflict;
                }
                objects.insert(key.clone(), (next, value.clone()));
                PlatformResult::Written(ObjectVersion(next))
            }
            PlatformOp::Delete { key, .. } => {
                objects.remove(key);
                PlatformResult::Written(ObjectVersion(next))
            }
        }
    }
}

impl ObjectApi for Memory {
    fn call<'a>(&'a self, op: &'a PlatformOp) -> BoxFuture<'a, PlatformResult> {
        std::future::ready(self.result(op)).boxed()
    }
}

/// What the upstream does with a request once it has read it.
#[derive(Debug, Clone)]
pub enum Says {
    /// Sends this and closes.
    Text(String),
    /// Sends this, then waits until the other end closes.
    Holds(String),
}

/// A request that the upstream got.
#[derive(Debug)]
pub enum Got {
    /// Its head and body.
    Request(String),
    /// The other end closed the connection.
    Closed,
}

/// An upstream on loopback; all but questions for its state come out of the
/// channel.
pub async fn upstream(says: Says) -> (SocketAddr, mpsc::UnboundedReceiver<Got>) {
    slow_upstream(says, Duration::ZERO).await
}

/// The same with a delay between a report's making and its arrival.
pub async fn slow_upstream(
    says: Says,
    report_delay: Duration,
) -> (SocketAddr, mpsc::UnboundedReceiver<Got>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (got, seen) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, says.clone(), report_delay, got.clone()));
        }
    });
    (address, seen)
}

/// An upstream that answers questions for its state and reads nothing else; the
/// connections of requests come out of the channel.
pub async fn deaf_upstream() -> (SocketAddr, mpsc::UnboundedReceiver<TcpStream>) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4_096).unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(64).unwrap();
    let address = listener.local_addr().unwrap();
    let (taken, requests) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let mut method = [0; 3];
            stream.peek(&mut method).await.unwrap();
            if &method == b"GET" {
                let (got, _) = mpsc::unbounded_channel();
                let says = Says::Text(String::new());
                tokio::spawn(serve(stream, says, Duration::ZERO, got));
            } else {
                let _ = taken.send(stream);
            }
        }
    });
    (address, requests)
}

async fn serve(
    mut stream: TcpStream,
    says: Says,
    report_delay: Duration,
    got: mpsc::UnboundedSender<Got>,
) {
    let request = request(&mut stream).await;
    let json = |body: &str| {
        let length = body.len();
        format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}")
    };
    if request.starts_with("GET /admin/state ") {
        tokio::time::sleep(report_delay).await;
        let _ = stream.write_all(json(STATE).as_bytes()).await;
        return;
    }
    if request.starts_with("GET /healthz ") {
        let _ = stream
            .write_all(json("{\"incarnation\":5}").as_bytes())
            .await;
        return;
    }
    let _ = got.send(Got::Request(request));
    match says {
        Says::Text(text) => {
            let _ = stream.write_all(text.as_bytes()).await;
        }
        Says::Holds(text) => {
            let _ = stream.write_all(text.as_bytes()).await;
            let mut rest = [0; 64];
            while !matches!(stream.read(&mut rest).await, Ok(0) | Err(_)) {}
            let _ = got.send(Got::Closed);
        }
    }
}

/// Reads one request: its head, and a body of the length it tells.
async fn request(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut chunk = [0; 1_024];
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let head = head.to_lowercase();
            let told = head.split("content-length: ").nth(1);
            let length = told.and_then(|rest| rest.lines().next());
            if body.len() >= length.map_or(0, |length| length.parse().unwrap()) {
                return text;
            }
        }
        match stream.read(&mut chunk).await {
            Ok(read @ 1..) => bytes.extend_from_slice(&chunk[..read]),
            _ => return text,
        }
    }
}

/// After it a test that waits for what never comes fails.
const PATIENCE: Duration = Duration::from_secs(60);

/// What comes, or a failed test if it never does.
pub async fn patiently<T>(what: impl Future<Output = T>) -> T {
    let came = tokio::time::timeout(PATIENCE, what).await;
    came.expect("what the test waits for never came")
}

/// An agent beside an upstream, and the link of an entry to it.
#[derive(Debug)]
pub struct Pair {
    pub agent: AgentHandle,
    pub link: EstablishedLink,
}

impl Pair {
    /// Starts an agent and waits until it takes work.
    pub async fn start(pool: &str, upstream: SocketAddr) -> Self {
        Self::start_on(Memory::with_fleet(), pool, upstream).await
    }

    /// The same on a given platform.
    pub async fn start_on(
        platform: impl ObjectApi + 'static,
        pool: &str,
        upstream: SocketAddr,
    ) -> Self {
        let any = "127.0.0.1:0".to_owned();
        let settings = AgentSettings {
            id: "a".to_owned(),
            failure_domain: "d".to_owned(),
            pool: pool.to_owned(),
            link_listen: any.clone(),
            operator_listen: any.clone(),
            platform: any,
            upstream: upstream.to_string(),
            seed: 1,
            timeline_events: 100,
            ..AgentSettings::default()
        };
        let agent = start_with_platform(settings, Arc::new(platform))
            .await
            .unwrap();
        while !agent.is_ready() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let link = connect(&agent, ENTRY_INCARNATION).await;
        assert_eq!(
            (link.hello.kind.as_str(), link.hello.id.as_str()),
            ("agent", "a")
        );
        Self { agent, link }
    }

    pub async fn send(&self, body: frame::Body) {
        self.link.sender.send(framed(body)).await.unwrap();
    }

    /// What operators get from a path.
    pub async fn operators(&self, path: &str) -> String {
        let address = self.agent.operator_address;
        let answer = plat::http::get(address, path).await.unwrap();
        String::from_utf8(answer.body.to_vec()).unwrap()
    }

    /// Waits until what operators get from a path holds a text.
    pub async fn until(&self, path: &str, text: &str) {
        let held = async {
            while !self.operators(path).await.contains(text) {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        patiently(held).await;
    }

    /// The next frame about an attempt.
    pub async fn next(&mut self) -> frame::Body {
        loop {
            let frame = patiently(self.link.receiver.recv()).await.unwrap();
            let body = frame.expect("the link has ended").body.unwrap();
            let about_attempt = matches!(
                body,
                frame::Body::Refused(_)
                    | frame::Body::Started(_)
                    | frame::Body::Answer(_)
                    | frame::Body::End(_)
                    | frame::Body::Revoked(_)
            );
            if about_attempt {
                return body;
            }
        }
    }

    /// A request for the model, or for the service of a plain upstream.
    pub fn run(&self, service: bool) -> Run {
        let text = |of_service: &str, of_engine: &str| {
            if service { of_service } else { of_engine }.to_owned()
        };
        Run {
            attempt: Some(attempt()),
            agent_incarnation: self.link.hello.incarnation,
            revision: 1,
            remaining_ms: 60_000,
            caller: "c".to_owned(),
            model: text("", "m"),
            version: u32::from(!service),
            service: text("s", ""),
            idempotent: !service,
            path: text("/do", "/v1/completions"),
            method: "POST".to_owned(),
            priority: 3,
            tokens_max: 100,
            body: b"{\"prompt\":\"p\"}".to_vec(),
            ..Run::default()
        }
    }
}

pub const fn attempt() -> Attempt {
    Attempt {
        origin: ENTRY_INCARNATION,
        sequence: 1,
    }
}

fn framed(body: frame::Body) -> Frame {
    Frame {
        clock_us: 1,
        revision: 1,
        body: Some(body),
    }
}

/// The link of a run of the entry.
pub async fn connect(agent: &AgentHandle, incarnation: u64) -> EstablishedLink {
    let link = wire::connect(agent.link_address, FRAME_MAX_BYTES).await;
    link.unwrap().handshake(hello(incarnation)).await.unwrap()
}

/// The link of another entry, if the agent takes it.
pub async fn try_connect(agent: &AgentHandle, id: &str) -> Option<EstablishedLink> {
    let link = wire::connect(agent.link_address, wire::DEFAULT_FRAME_MAX_BYTES).await;
    link.ok()?.handshake(hello_of(id, 1)).await.ok()
}

fn hello(incarnation: u64) -> Frame {
    hello_of("e", incarnation)
}

fn hello_of(id: &str, incarnation: u64) -> Frame {
    framed(frame::Body::Hello(Hello {
        kind: "entry".to_owned(),
        id: id.to_owned(),
        incarnation,
        failure_domain: "d".to_owned(),
    }))
}

/// Answers questions for the state until it is aborted; the address is then
/// free.
pub async fn answer_states(listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let (got, _seen) = mpsc::unbounded_channel();
        serve(stream, Says::Text(String::new()), Duration::ZERO, got).await;
    }
}
