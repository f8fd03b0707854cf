//! The part of the operator's configuration that the decisions need.

use access::WorkspaceDirectory;
use std::collections::BTreeMap;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

use crate::target_spread::is_patient;

/// One version of the configuration.
#[derive(Debug, Clone, Default)]
pub struct Config {
    /// Version; a higher one replaces a lower one.
    pub version: u64,
    /// Routes, sorted by host and with the longest prefix first; see [`Config::new`].
    routes: Vec<Arc<Route>>,
    /// Shortest target latency of each service whose requests wait in order; see
    /// [`Config::urgent_target_ms`].
    urgent_targets: BTreeMap<Arc<str>, u64>,
    /// Services by name.
    pub services: BTreeMap<Arc<str>, Arc<ServiceSpec>>,
    /// The shortest maximum pause of the routes to each service whose answers are
    /// streams.
    pauses_max_ms: BTreeMap<Arc<str>, u64>,
    /// Limits on what callers send.
    pub limits: Limits,
    /// Workspaces and their keys; `None` if callers need no key.
    pub directory: Option<WorkspaceDirectory>,
}

/// Rule for the requests of one host and path prefix.
#[derive(Debug, Clone)]
pub struct Route {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host that the route belongs to, without a port.
    pub host: String,
    /// Path prefix, starting and ending with a slash.
    pub prefix: String,
    /// Services with their weights.
    pub targets: Vec<WeightedService>,
    /// Kind of the requests, which decides whether they may run twice.
    pub kind: RouteKind,
    /// Maximum time that a caller is kept waiting.
    pub timeout_ms: u64,
    /// Time within which an answer earns its full value.
    pub latency_target_ms: u64,
    /// Priority of the requests; 0 is the highest.
    pub priority: u32,
    /// Maximum number of upstreams that one request may be sent to.
    pub upstreams_max: u32,
    /// Maximum pause between two events of a stream.
    pub pause_max_ms: u64,
    /// Whether callers need no key.
    pub is_public: bool,
}

/// A service of a route with its weight.
#[derive(Debug, Clone)]
pub struct WeightedService {
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight relative to the route's other services.
    pub weight: u64,
}

/// Kind of a route's requests, which decides whether they may run twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Requests may run more than once.
    Idempotent,
    /// Requests may run at most once.
    NonIdempotent,
    /// Answers are streams that another upstream may continue.
    ResumableStream,
    /// Answers are streams that can't be continued, so requests may run at most once.
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
    /// Properties of the engines that serve models; `None` for a plain service.
    pub engine: Option<EngineSpec>,
}

/// Capacity of each engine of a service, and the models that it can hold.
#[derive(Debug, Clone, Default)]
pub struct EngineSpec {
    /// Number of requests that run at once.
    pub batch_slots: u32,
    /// Capacity of the KV cache, in tokens, for running requests and cached prompts.
    pub cache_capacity_tokens: u64,
    /// Memory for the weights of models and adapters, in MB.
    pub weights_max_mb: f64,
    /// Maximum number of adapters held at once.
    pub adapters_max: u32,
    /// Loads from the weight store per second over all upstreams.
    pub store_loads_per_s: f64,
    /// Tokens in one event of a stream, and so engine steps between two events. At
    /// least 1.
    pub tokens_per_event: u32,
    /// Models by name.
    pub models: BTreeMap<Arc<str>, ModelSpec>,
}

/// A model.
#[derive(Debug, Clone, Default)]
pub struct ModelSpec {
    /// Size of the weights, in MB.
    pub weights_mb: f64,
    /// Duration of a load from the weight store.
    pub store_load_ms: u64,
    /// Duration of a load from the upstream's disk.
    pub disk_load_ms: u64,
    /// Duration of a load from the memory of the upstream's host.
    pub memory_load_ms: u64,
    /// Size of each adapter, in MB.
    pub adapter_mb: f64,
    /// Names of the model's adapters.
    pub adapters: Vec<Arc<str>>,
}

/// Limits on what callers send.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Maximum size of a request's head.
    pub head_max_bytes: usize,
    /// Maximum size of a request's body.
    pub body_max_bytes: usize,
    /// Maximum time to receive a request's head.
    pub head_timeout_ms: u64,
    /// Time after which an idle connection is closed.
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
    /// Creates a configuration and sorts its routes in the order in which they are
    /// matched.
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
        let pauses_max_ms = shortest_pauses_ms(&routes);
        let urgent_targets = services
            .iter()
            .filter(|(_, spec)| spec.engine.is_some())
            .filter_map(|(name, _)| {
                Some((Arc::clone(name), urgent_target_ms(&routes, name)?))
            })
            .collect();
        Self {
            version,
            pauses_max_ms,
            routes: routes.into_iter().map(Arc::new).collect(),
            urgent_targets,
            services,
            limits,
            directory: None,
        }
    }

    /// Replaces the workspaces and the keys that callers need.
    #[must_use]
    pub fn with_directory(self, directory: Option<WorkspaceDirectory>) -> Self {
        Self { directory, ..self }
    }

    /// The route for a host and path: the one with the longest matching prefix.
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

    /// Whether a service is declared or any route names it.
    pub fn knows_service(&self, service: &str) -> bool {
        let targets = self.routes().flat_map(|route| &route.targets);
        let mut targets = targets.map(|target| &*target.service);
        self.services.contains_key(service) || targets.any(|named| named == service)
    }

    /// The shortest maximum pause between two events that a route to the service
    /// declares. All streams of an engine pause together.
    pub fn pause_max_ms(&self, service: &str) -> Option<u64> {
        self.pauses_max_ms.get(service).copied()
    }

    /// The shortest target latency of a service whose requests wait for capacity in the
    /// order of urgency; `None` if they don't.
    ///
    /// They do where a more urgent route has a target that is a twelfth of a less urgent
    /// one's, or less, and the upstreams are engines. Where all routes are about equally
    /// urgent, there is no order that serves more callers in time than arrival does.
    pub fn urgent_target_ms(&self, service: &str) -> Option<u64> {
        self.urgent_targets.get(service).copied()
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.iter()
    }
}

impl Route {
    /// Whether requests may go to a service.
    pub fn has_target(&self, service: &str) -> bool {
        self.weighted_targets().any(|name| **name == *service)
    }

    /// The service that all requests go to, if there is only one.
    pub fn sole_target(&self) -> Option<&Arc<str>> {
        let mut targets = self.weighted_targets();
        let first = targets.next()?;
        targets.all(|other| other == first).then_some(first)
    }

    /// The services that requests may go to. Without any weight, that is the first.
    fn weighted_targets(&self) -> impl Iterator<Item = &Arc<str>> {
        let has_weights = self.targets.iter().any(|target| target.weight > 0);
        let targets = self.targets.iter().enumerate();
        let targets = targets.filter(move |(index, target)| {
            target.weight > 0 || (!has_weights && *index == 0)
        });
        targets.map(|(_, target)| &target.service)
    }

    /// The service for a request, by the hash of its id. The same request always goes
    /// to the same service, so its retries stay there.
    pub fn service(&self, request: &str) -> Option<&Arc<str>> {
        let total_weight: u64 = self.targets.iter().map(|target| target.weight).sum();
        if total_weight == 0 {
            return self.targets.first().map(|target| &target.service);
        }
        let mut remaining = xxh3_64(request.as_bytes()) % total_weight;
        for target in &self.targets {
            if remaining < target.weight {
                return Some(&target.service);
            }
            remaining -= target.weight;
        }
        None
    }
}

/// The shortest declared pause of the streams of each service.
fn shortest_pauses_ms(routes: &[Route]) -> BTreeMap<Arc<str>, u64> {
    let mut shortest = BTreeMap::new();
    let with_pause = routes
        .iter()
        .filter(|route| route.kind.is_stream() && route.pause_max_ms > 0);
    for route in with_pause {
        for service in route.weighted_targets() {
            let pause_ms = shortest
                .entry(Arc::clone(service))
                .or_insert(route.pause_max_ms);
            *pause_ms = route.pause_max_ms.min(*pause_ms);
        }
    }
    shortest
}

/// The shortest target latency of a service if some route is patient beside it.
fn urgent_target_ms(routes: &[Route], service: &str) -> Option<u64> {
    let of_service: Vec<_> = routes
        .iter()
        .filter(|route| route.latency_target_ms > 0 && route.has_target(service))
        .collect();
    let shortest = of_service
        .iter()
        .min_by_key(|route| route.latency_target_ms)?;
    let target_ms = shortest.latency_target_ms;
    let has_patient = of_service.iter().any(|route| {
        is_patient(route.latency_target_ms, target_ms)
            && route.priority > shortest.priority
    });
    has_patient.then_some(target_ms)
}

/// The host of a `Host` header without the port, which plays no part in matching.
fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
