//! An entry with fake agents and a fake platform.

use entry::EntryHandle;
use prost::Message;
use schema::settings::EntrySettings;
use schema::store::Member;
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

use super::agent::{AgentConfig, TestAgent};
use super::caller::KEY;
use super::platform::MemoryPlatform;

const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// One entry, the agent of an engine that holds the model `alpha`, and the agent
/// of a plain service.
pub(crate) struct Harness {
    pub(crate) entry: EntryHandle,
    pub(crate) engine: TestAgent,
    pub(crate) service: TestAgent,
    pub(crate) platform: Arc<MemoryPlatform>,
}

impl Harness {
    /// Starts all and waits until both agents are up.
    pub(crate) async fn start() -> Self {
        Self::with_limits(json!({})).await
    }

    pub(crate) async fn with_limits(limits: Value) -> Self {
        Self::with_settings(settings(), limits).await
    }

    pub(crate) async fn with_settings(settings: EntrySettings, limits: Value) -> Self {
        let engine = TestAgent::start(AgentConfig {
            id: "engine-1",
            pool: "engines",
            model: Some("alpha"),
        })
        .await;
        let service = TestAgent::start(AgentConfig {
            id: "shop-1",
            pool: "shops",
            model: None,
        })
        .await;
        let platform = Arc::new(MemoryPlatform::default());
        put_member(&platform, "engine-1", "engines", &engine);
        put_member(&platform, "shop-1", "shops", &service);
        let document = config_document(&limits).to_string().into_bytes();
        platform.put("config/000000000001", document);
        let entry = start_entry_with(settings, &platform).await;
        let harness = Self {
            entry,
            engine,
            service,
            platform,
        };
        harness.wait_agents_up().await;
        harness
    }

    /// Waits until the entry is ready and reports both agents as up.
    pub(crate) async fn wait_agents_up(&self) {
        let up = async {
            while !self.agents_up().await {
                sleep(POLL_INTERVAL).await;
            }
        };
        timeout(WAIT_TIMEOUT, up).await.expect("the agents come up");
    }

    /// Waits until the entry no longer reports both agents as up.
    pub(crate) async fn wait_agent_down(&self) {
        let down = async {
            while self.agents_up().await {
                sleep(POLL_INTERVAL).await;
            }
        };
        timeout(WAIT_TIMEOUT, down)
            .await
            .expect("an agent goes down");
    }

    async fn agents_up(&self) -> bool {
        let status = status(&self.entry).await;
        let agents = status["agents"].as_array().cloned().unwrap_or_default();
        let up = |agent: &&Value| agent["state"] == "up" && agent["connected"] == true;
        self.entry.is_ready() && agents.iter().filter(up).count() == 2
    }

    /// Waits until the entry has queued this many bytes of answers for callers.
    pub(crate) async fn wait_delivered(&self, bytes: u32) {
        let name = "sesame_entry_delivered_bytes_total";
        let delivered = async {
            while metric(&self.entry, name).await < f64::from(bytes) {
                sleep(POLL_INTERVAL).await;
            }
        };
        timeout(WAIT_TIMEOUT, delivered)
            .await
            .expect("parts arrive");
    }

    /// Waits until no request is in progress.
    pub(crate) async fn wait_idle(&self) {
        let idle = async {
            while self.entry.in_progress() > 0 {
                sleep(POLL_INTERVAL).await;
            }
        };
        timeout(WAIT_TIMEOUT, idle).await.expect("requests end");
    }
}

/// Starts an entry with the default settings.
pub(crate) async fn start_entry(platform: &Arc<MemoryPlatform>) -> EntryHandle {
    start_entry_with(settings(), platform).await
}

/// Starts an entry with the given settings.
pub(crate) async fn start_entry_with(
    settings: EntrySettings,
    platform: &Arc<MemoryPlatform>,
) -> EntryHandle {
    let api = Arc::clone(platform) as Arc<dyn plat::ObjectApi>;
    let started = entry::start_with_platform(settings, api).await;
    started.expect("loopback can be bound")
}

/// The status that the entry reports to operators.
pub(crate) async fn status(entry: &EntryHandle) -> Value {
    let answer = plat::http::get(entry.operator_address, "/status").await;
    serde_json::from_slice(&answer.expect("the entry responds").body).expect("JSON")
}

/// The value of the first metric whose name starts with `name`.
pub(crate) async fn metric(entry: &EntryHandle, name: &str) -> f64 {
    let answer = plat::http::get(entry.operator_address, "/metrics").await;
    let body = answer.expect("the entry responds").body;
    let text = String::from_utf8_lossy(&body).into_owned();
    let line = text.lines().find(|line| line.starts_with(name));
    let value = line.and_then(|line| line.rsplit(' ').next());
    let value = value.unwrap_or_else(|| panic!("no {name} in:\n{text}"));
    value.parse().expect("a number")
}

pub(crate) fn settings() -> EntrySettings {
    EntrySettings {
        id: "entry-1".to_owned(),
        failure_domain: "east".to_owned(),
        caller_listen: "127.0.0.1:0".to_owned(),
        link_listen: "127.0.0.1:0".to_owned(),
        operator_listen: "127.0.0.1:0".to_owned(),
        platform: "127.0.0.1:1".to_owned(),
        request_shards: 4,
        seed: 1,
        timeline_events: 1_000,
        ..EntrySettings::default()
    }
}

pub(crate) fn put_member(
    platform: &MemoryPlatform,
    id: &str,
    pool: &str,
    agent: &TestAgent,
) {
    let member = Member {
        kind: "agent".to_owned(),
        id: id.to_owned(),
        incarnation: 7,
        failure_domain: "east".to_owned(),
        pool: pool.to_owned(),
        link_address: agent.address.to_string(),
        operator_address: "127.0.0.1:1".to_owned(),
        leaving: false,
    };
    platform.put(&format!("live/agent/{id}"), member.encode_to_vec());
}

fn config_document(limits: &Value) -> Value {
    json!({
        "deployment": "test",
        "failure_domains": {"east": {"region": "here"}},
        "pools": {
            "engines": {
                "kind": "engine", "instances": 1, "failure_domains": ["east"],
                "accelerators_mib": [100], "step_time_us": 10000,
                "concurrent_max": 64, "order_delay_max_ms": 1000,
            },
            "shops": {
                "kind": "service", "instances": 1, "failure_domains": ["east"],
                "concurrent_max": 64, "order_delay_max_ms": 1000,
            },
        },
        "models": {
            "alpha": {"size_mib": 60, "version": 1, "pool": "engines"},
            "other": {"size_mib": 60, "version": 1, "pool": "engines"},
        },
        "adapters": {"alpha-fr": {"base": "alpha", "size_mib": 1, "version": 1}},
        "profiles": {
            "chat": {
                "kind": "interactive", "models": ["alpha", "alpha-fr"],
                "first_token_ms": 20000, "between_tokens_ms": 20000,
                "deadline_ms": 60000, "priority": 1, "value": 1.0,
            },
            "orders": {
                "kind": "interactive", "service": "orders", "deadline_ms": 60000,
                "priority": 1, "value": 1.0,
            },
            "lookups": {
                "kind": "interactive", "service": "lookup", "deadline_ms": 60000,
                "priority": 1, "value": 1.0,
            },
        },
        "services": {
            "orders": {"pool": "shops", "idempotent": false, "timeout_ms": 20000},
            "lookup": {"pool": "shops", "idempotent": true, "timeout_ms": 20000},
        },
        "callers": {
            "press": {"key_sha256": conf::sha256_hex(KEY), "concurrent_max": 64},
        },
        "limits": limits,
    })
}
