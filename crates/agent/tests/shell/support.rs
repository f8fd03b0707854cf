//! A test fixture: an agent with an in-memory platform, a simulated upstream on
//! loopback and the link of an entry.

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

/// Incarnation of the entry, which is also the origin of its attempts.
pub const ENTRY_INCARNATION: u64 = 77;

/// The deployment's configuration.
const FLEET_CONFIG: &str = r#"{
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

/// The maximum frame size in `FLEET_CONFIG`, in bytes.
const FRAME_MAX_BYTES: u32 = 33_554_432;

/// State reported by the simulated engine.
const ENGINE_STATE: &str = r#"{"incarnation": 5, "fence": 0, "residents": [
    {"model": "m", "version": 1, "accelerator": 0, "size_mib": 50, "state": "loaded"}],
    "orders": [], "running": 0, "waiting": 0, "step_time_us": 10000,
    "report_age_ms": 0}"#;

/// A platform that keeps its objects in memory: version and value by key.
#[derive(Debug)]
pub struct InMemoryPlatform(Mutex<BTreeMap<String, (u64, Vec<u8>)>>);

impl InMemoryPlatform {
    /// Creates a platform that contains only the fleet configuration.
    pub fn with_fleet_config() -> Self {
        let snapshot = ConfigChanges {
            snapshot: FLEET_CONFIG.as_bytes().to_vec(),
            base_revision: 1,
            changes: Vec::new(),
        };
        let object = (1, snapshot.encode_to_vec());
        let objects = [(conf::SNAPSHOT_KEY.to_owned(), object)];
        Self(Mutex::new(objects.into()))
    }

    /// Writes an object unconditionally.
    pub fn put(&self, key: &str, value: Vec<u8>) {
        let write = PlatformOp::Write {
            key: key.to_owned(),
            precondition: Precondition::Any,
            value,
        };
        self.execute(&write);
    }

    fn execute(&self, op: &PlatformOp) -> PlatformResult {
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
                let current =
                    objects.get(key).map(|(version, _)| ObjectVersion(*version));
                let as_expected = match precondition {
                    Precondition::Any => true,
                    Precondition::Absent => current.is_none(),
                    Precondition::Version(version) => current == Some(*version),
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

impl ObjectApi for InMemoryPlatform {
    fn call<'a>(&'a self, op: &'a PlatformOp) -> BoxFuture<'a, PlatformResult> {
        std::future::ready(self.execute(op)).boxed()
    }
}

/// How the simulated upstream responds to a request.
#[derive(Debug, Clone)]
pub enum Behavior {
    /// Send this text and close the connection.
    Respond(String),
    /// Send this text and wait until the agent closes the connection.
    RespondAndHold(String),
}

/// An observation of the simulated upstream.
#[derive(Debug)]
pub enum Observed {
    /// A request arrived; its head and body.
    Request(String),
    /// The agent closed the connection.
    Closed,
}

/// Starts an upstream on loopback. The channel returns its observations, except
/// requests for its state.
pub async fn start_upstream(
    behavior: Behavior,
) -> (SocketAddr, mpsc::UnboundedReceiver<Observed>) {
    start_slow_upstream(behavior, Duration::ZERO).await
}

/// Starts an upstream like [`start_upstream`] that delays each report by a given time
/// after creating it.
pub async fn start_slow_upstream(
    behavior: Behavior,
    report_delay: Duration,
) -> (SocketAddr, mpsc::UnboundedReceiver<Observed>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (observed, observations) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_connection(
                stream,
                behavior.clone(),
                report_delay,
                observed.clone(),
            ));
        }
    });
    (address, observations)
}

/// Starts an upstream that responds to requests for its state and reads no others. The
/// channel returns the connections of those other requests.
pub async fn start_unresponsive_upstream()
-> (SocketAddr, mpsc::UnboundedReceiver<TcpStream>) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4_096).unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(64).unwrap();
    let address = listener.local_addr().unwrap();
    let (post_sender, post_connections) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let mut method = [0; 3];
            stream.peek(&mut method).await.unwrap();
            if &method == b"GET" {
                let (observed, _) = mpsc::unbounded_channel();
                let behavior = Behavior::Respond(String::new());
                tokio::spawn(serve_connection(
                    stream,
                    behavior,
                    Duration::ZERO,
                    observed,
                ));
            } else {
                let _ = post_sender.send(stream);
            }
        }
    });
    (address, post_connections)
}

async fn serve_connection(
    mut stream: TcpStream,
    behavior: Behavior,
    report_delay: Duration,
    observed: mpsc::UnboundedSender<Observed>,
) {
    let request = read_request(&mut stream).await;
    let json = |body: &str| {
        let length = body.len();
        format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}")
    };
    if request.starts_with("GET /admin/state ") {
        tokio::time::sleep(report_delay).await;
        let _ = stream.write_all(json(ENGINE_STATE).as_bytes()).await;
        return;
    }
    if request.starts_with("GET /healthz ") {
        let _ = stream
            .write_all(json("{\"incarnation\":5}").as_bytes())
            .await;
        return;
    }
    let _ = observed.send(Observed::Request(request));
    match behavior {
        Behavior::Respond(text) => {
            let _ = stream.write_all(text.as_bytes()).await;
        }
        Behavior::RespondAndHold(text) => {
            let _ = stream.write_all(text.as_bytes()).await;
            let mut rest = [0; 64];
            while !matches!(stream.read(&mut rest).await, Ok(0) | Err(_)) {}
            let _ = observed.send(Observed::Closed);
        }
    }
}

/// Reads one request: its head, and a body of the length stated in the head.
async fn read_request(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut chunk = [0; 1_024];
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let head = head.to_lowercase();
            let content_length = head.split("content-length: ").nth(1);
            let length = content_length.and_then(|rest| rest.lines().next());
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

/// Time after which a test fails if an expected event does not occur.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Waits for a future, or fails the test after [`TEST_TIMEOUT`].
pub async fn with_test_timeout<T>(future: impl Future<Output = T>) -> T {
    let result = tokio::time::timeout(TEST_TIMEOUT, future).await;
    result.expect("the expected event did not occur in time")
}

/// An agent and the link of an entry to it.
#[derive(Debug)]
pub struct AgentFixture {
    pub agent: AgentHandle,
    pub link: EstablishedLink,
}

impl AgentFixture {
    /// Starts an agent for a pool and an upstream, and waits until it accepts work.
    pub async fn start(pool: &str, upstream: SocketAddr) -> Self {
        Self::start_with_platform(InMemoryPlatform::with_fleet_config(), pool, upstream)
            .await
    }

    /// Starts an agent with a given platform, and waits until it accepts work.
    pub async fn start_with_platform(
        platform: impl ObjectApi + 'static,
        pool: &str,
        upstream: SocketAddr,
    ) -> Self {
        let any_port = "127.0.0.1:0".to_owned();
        let settings = AgentSettings {
            id: "a".to_owned(),
            failure_domain: "d".to_owned(),
            pool: pool.to_owned(),
            link_listen: any_port.clone(),
            operator_listen: any_port.clone(),
            platform: any_port,
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
        let link = connect_entry(&agent, ENTRY_INCARNATION).await;
        assert_eq!(
            (link.hello.kind.as_str(), link.hello.id.as_str()),
            ("agent", "a")
        );
        Self { agent, link }
    }

    /// Sends a frame from the entry to the agent.
    pub async fn send(&self, body: frame::Body) {
        self.link.sender.send(frame_with_body(body)).await.unwrap();
    }

    /// Returns the response of the operators' API to a GET request.
    pub async fn operator_get(&self, path: &str) -> String {
        let address = self.agent.operator_address;
        let answer = plat::http::get(address, path).await.unwrap();
        String::from_utf8(answer.body.to_vec()).unwrap()
    }

    /// Waits until the operators' response for a path contains a text.
    pub async fn wait_for_operator_text(&self, path: &str, text: &str) {
        let found = async {
            while !self.operator_get(path).await.contains(text) {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        with_test_timeout(found).await;
    }

    /// Returns the next frame that concerns an attempt.
    pub async fn next_attempt_frame(&mut self) -> frame::Body {
        loop {
            let frame = with_test_timeout(self.link.receiver.recv()).await.unwrap();
            let body = frame.expect("the link is closed").body.unwrap();
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

    /// Builds a request for the model, or for the service of a plain upstream.
    pub fn build_run(&self, service: bool) -> Run {
        let select = |for_service: &str, for_engine: &str| {
            if service { for_service } else { for_engine }.to_owned()
        };
        Run {
            attempt: Some(attempt()),
            agent_incarnation: self.link.hello.incarnation,
            revision: 1,
            remaining_ms: 60_000,
            caller: "c".to_owned(),
            model: select("", "m"),
            version: u32::from(!service),
            service: select("s", ""),
            idempotent: !service,
            path: select("/do", "/v1/completions"),
            method: "POST".to_owned(),
            priority: 3,
            tokens_max: 100,
            body: b"{\"prompt\":\"p\"}".to_vec(),
            ..Run::default()
        }
    }
}

/// The attempt of requests from [`AgentFixture::build_run`].
pub const fn attempt() -> Attempt {
    Attempt {
        origin: ENTRY_INCARNATION,
        sequence: 1,
    }
}

fn frame_with_body(body: frame::Body) -> Frame {
    Frame {
        clock_us: 1,
        revision: 1,
        body: Some(body),
    }
}

/// Connects to the agent as a given incarnation of the entry.
pub async fn connect_entry(agent: &AgentHandle, incarnation: u64) -> EstablishedLink {
    let link = wire::connect(agent.link_address, FRAME_MAX_BYTES).await;
    link.unwrap().handshake(hello(incarnation)).await.unwrap()
}

/// Connects to the agent as another entry; returns `None` if the agent refuses.
pub async fn try_connect_entry(
    agent: &AgentHandle,
    id: &str,
) -> Option<EstablishedLink> {
    let link = wire::connect(agent.link_address, wire::DEFAULT_FRAME_MAX_BYTES).await;
    link.ok()?.handshake(hello_from(id, 1)).await.ok()
}

fn hello(incarnation: u64) -> Frame {
    hello_from("e", incarnation)
}

fn hello_from(id: &str, incarnation: u64) -> Frame {
    frame_with_body(frame::Body::Hello(Hello {
        kind: "entry".to_owned(),
        id: id.to_owned(),
        incarnation,
        failure_domain: "d".to_owned(),
    }))
}

/// Responds to requests for the upstream's state until the task is aborted, which frees
/// the address.
pub async fn serve_state_requests(listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let (observed, _observations) = mpsc::unbounded_channel();
        serve_connection(
            stream,
            Behavior::Respond(String::new()),
            Duration::ZERO,
            observed,
        )
        .await;
    }
}
