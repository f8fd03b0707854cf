//! The operator's configuration as the decisions need it.

use access::Directory;
use std::collections::BTreeMap;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

/// One version of the configuration.
#[derive(Debug, Clone, Default)]
pub struct Config {
    /// Version; a higher one replaces a lower one.
    pub version: u64,
    /// Routes, longest prefix first within a host; see [`Config::new`].
    routes: Vec<Arc<Route>>,
    /// Services by name.
    pub services: BTreeMap<Arc<str>, Arc<ServiceSpec>>,
    /// Bounds on what callers send.
    pub limits: Limits,
    /// Workspaces and their keys; `None` where callers need no key.
    pub directory: Option<Directory>,
}

/// Where requests of one host and path prefix go.
#[derive(Debug, Clone)]
pub struct Route {
    /// Name.
    pub name: Arc<str>,
    /// Host the route belongs to, without a port.
    pub host: String,
    /// Path prefix, beginning and ending with a slash.
    pub prefix: String,
    /// Services with their weights.
    pub targets: Vec<WeightedService>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time a caller is kept waiting.
    pub timeout_ms: u64,
    /// Time within which an answer earns its full worth.
    pub target_latency_ms: u64,
    /// Rank, 0 the highest.
    pub priority: u32,
    /// Most upstreams one request may be sent to.
    pub upstreams_max: u32,
    /// Longest pause between two events of a stream.
    pub pause_max_ms: u64,
    /// Whether callers need no key.
    pub is_public: bool,
}

/// A service of a route.
#[derive(Debug, Clone)]
pub struct WeightedService {
    /// Service.
    pub service: Arc<str>,
    /// Weight against the route's other services.
    pub weight: u64,
}

/// What may be repeated of a route's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Requests may run more than once.
    Idempotent,
    /// Requests may run at most once.
    NonIdempotent,
    /// Answers are streams that may be continued at another upstream.
    ResumableStream,
    /// Answers are streams that may not be continued, so requests may run at
    /// most once.
    Stream,
}

impl RouteKind {
    /// Whether a request may run more than once.
    pub const fn may_rerun(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether answers are streams of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::Stream)
    }
}

/// A service.
#[derive(Debug, Clone, Default)]
pub struct ServiceSpec {
    /// What upstreams of models hold and how; `None` for a plain service.
    pub engine: Option<EngineSpec>,
}

/// What the upstreams of a service of models hold and how.
#[derive(Debug, Clone, Default)]
pub struct EngineSpec {
    /// Requests that run at once.
    pub batch_slots: u32,
    /// Tokens kept at once by running requests and cached prompts.
    pub kv_capacity_tokens: u64,
    /// Memory for weights of models and adapters.
    pub weights_max_mb: f64,
    /// Most adapters held at once.
    pub adapters_max: u32,
    /// Loads from the weight store a second over all upstreams.
    pub store_loads_per_s: f64,
    /// Models by name.
    pub models: BTreeMap<Arc<str>, ModelSpec>,
}

/// One model.
#[derive(Debug, Clone, Default)]
pub struct ModelSpec {
    /// Size of its weights.
    pub weights_mb: f64,
    /// Time of a load from the weight store.
    pub store_load_ms: u64,
    /// Time of a load from the upstream's disk.
    pub disk_load_ms: u64,
    /// Time of a load from the upstream's memory.
    pub memory_load_ms: u64,
    /// Size of each adapter.
    pub adapter_mb: f64,
    /// Names of its adapters.
    pub adapters: Vec<Arc<str>>,
}

/// Bounds on what callers send.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Size of a request's head.
    pub head_max_bytes: usize,
    /// Size of a request's body.
    pub body_max_bytes: usize,
    /// Time for a request's head.
    pub head_timeout_ms: u64,
    /// Time for which a connection may idle.
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_max_bytes: 16 << 10,
            body_max_bytes: 4 << 20,
            head_timeout_ms: 5_000,
            idle_timeout_ms: 15_000,
        }
    }
}

impl Config {
    /// A version with its routes in the order in which they are tried.
    pub fn new(
        version: u64,
        mut routes: Vec<Route>,
        services: BTreeMap<Arc<str>, Arc<ServiceSpec>>,
        limits: Limits,
    ) -> Self {
        routes.sort_by(|a, b| {
            let longest = b.prefix.len().cmp(&a.prefix.len());
            a.host.cmp(&b.host).then(longest)
        });
        Self {
            version,
            routes: routes.into_iter().map(Arc::new).collect(),
            services,
            limits,
            directory: None,
        }
    }

    /// The same version, with the workspaces whose keys callers need.
    #[must_use]
    pub fn with_directory(self, directory: Option<Directory>) -> Self {
        Self { directory, ..self }
    }

    /// The route of a host and path: the one whose prefix is the longest.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = without_port(host);
        let first = self
            .routes
            .partition_point(|route| route.host.as_str() < host);
        self.routes[first..]
            .iter()
            .take_while(|route| route.host == host)
            .find(|route| path.starts_with(&route.prefix))
    }

    /// Whether a service is declared, or a route leads to it.
    pub fn knows_service(&self, service: &str) -> bool {
        let targets = self.routes().flat_map(|route| &route.targets);
        let mut targets = targets.map(|target| &*target.service);
        self.services.contains_key(service) || targets.any(|named| named == service)
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.iter()
    }
}

impl Route {
    /// The service that a request goes to. The same request goes to the same
    /// one, so that its repeats stay together.
    pub fn service(&self, request: &str) -> Option<&Arc<str>> {
        let all: u64 = self.targets.iter().map(|target| target.weight).sum();
        if all == 0 {
            return self.targets.first().map(|target| &target.service);
        }
        let mut point = xxh3_64(request.as_bytes()) % all;
        for target in &self.targets {
            if point < target.weight {
                return Some(&target.service);
            }
            point -= target.weight;
        }
        None
    }
}

/// The host of a `Host` header, whose port does not choose a route.
fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
