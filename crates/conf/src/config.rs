//! The configuration in force, resolved for lookups.

use access::{Credential, KeyDigest};
use base::prelude::*;
use schema::settings::{Fleet, Limits, Store, Weights};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

use crate::defaults;

/// One accepted fleet configuration, with references resolved and defaults filled
/// in.
#[derive(Debug)]
pub struct Config {
    revision: Revision,
    fleet: Fleet,
    models: BTreeMap<ModelId, ModelSpec>,
    profiles: BTreeMap<ProfileId, ProfileSpec>,
    services: BTreeMap<ServiceId, ServiceSpec>,
    pools: BTreeMap<PoolId, PoolSpec>,
    callers: BTreeMap<KeyDigest, CallerSpec>,
    limits: Limits,
    weights: Weights,
    store: Store,
}

/// A base model, or an adapter resolved against its base model.
#[derive(Debug, Clone)]
pub struct ModelSpec {
    /// Name.
    pub id: ModelId,
    /// Version that requests are sent to.
    pub version: u32,
    /// Accelerator memory it takes, without its base model's.
    pub size_mib: u32,
    /// Pool whose engines may load it; an adapter has that of its base model.
    pub pool: PoolId,
    /// Base model, if this is an adapter.
    pub base: Option<ModelId>,
}

/// Service level of a class of requests.
#[derive(Debug, Clone)]
pub struct ProfileSpec {
    /// Name.
    pub id: ProfileId,
    /// Whether a user waits for the response.
    pub kind: ProfileKind,
    /// Models and adapters that requests may name; the first is the default.
    pub models: Vec<ModelId>,
    /// Plain service that requests call, instead of models.
    pub service: Option<ServiceId>,
    /// Target for the time to the first token; 0 for none.
    pub first_token_ms: u32,
    /// Target for the time between tokens; 0 for none.
    pub between_tokens_ms: u32,
    /// Target for the time to the complete response.
    pub deadline_ms: u32,
    /// Priority passed to the engine; higher runs first.
    pub priority: u32,
    /// Weight of one request that meets its targets.
    pub value: f64,
}

/// Whether a user waits for the response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProfileKind {
    /// A user waits.
    Interactive,
    /// The response is only needed by the deadline.
    Batch,
}

/// A plain service, which runs without a model.
#[derive(Debug, Clone)]
pub struct ServiceSpec {
    /// Name.
    pub id: ServiceId,
    /// Pool of its upstreams.
    pub pool: PoolId,
    /// Whether a call may safely run more than once.
    pub idempotent: bool,
    /// Maximum expected duration of one call.
    pub timeout_ms: u32,
}

/// A pool of interchangeable upstreams.
#[derive(Debug, Clone)]
pub struct PoolSpec {
    /// Name.
    pub id: PoolId,
    /// Whether the upstreams are model engines rather than plain services.
    pub is_engine: bool,
    /// Failure domains the instances are spread over.
    pub failure_domains: Vec<FailureDomainId>,
    /// Number of instances that the operators run.
    pub instances: u32,
    /// Memory of each accelerator of one instance.
    pub accelerators_mib: Vec<u32>,
    /// Expected duration of one engine step.
    pub step_time_us: u32,
    /// Requests that one accelerator runs at once, or calls that one instance of a
    /// plain service runs at once.
    pub concurrent_max: u32,
    /// Whether the upstreams refuse load and unload orders with an outdated fencing
    /// epoch.
    pub checks_fencing: bool,
    /// Maximum time after its sending at which an order can still take effect.
    pub order_delay_max_ms: u32,
}

/// A client identity, recognized by its key.
#[derive(Debug, Clone)]
pub struct CallerSpec {
    /// Name.
    pub id: CallerId,
    /// Maximum number of its requests in progress at one entry.
    pub concurrent_max: u32,
}

impl Config {
    /// Resolves a configuration that has passed the checks.
    ///
    /// References are not validated again: a document with a dangling reference is
    /// not accepted.
    pub fn new(revision: Revision, fleet: Fleet) -> Self {
        Self {
            revision,
            models: resolve_models(&fleet),
            profiles: resolve_profiles(&fleet),
            services: resolve_services(&fleet),
            pools: resolve_pools(&fleet),
            callers: resolve_callers(&fleet),
            limits: defaults::limits_or_default(fleet.limits.as_ref()),
            weights: defaults::weights_or_default(fleet.weights.as_ref()),
            store: defaults::store_or_default(fleet.store.as_ref()),
            fleet,
        }
    }

    /// Revision of the configuration.
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// The decoded document as accepted, without defaults.
    pub const fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Finds a model or an adapter by name.
    pub fn model(&self, id: &str) -> Option<&ModelSpec> {
        self.models.get(id)
    }

    /// Models and adapters, sorted by name.
    pub fn models(&self) -> impl Iterator<Item = &ModelSpec> {
        self.models.values()
    }

    /// Finds a profile by name.
    pub fn profile(&self, id: &str) -> Option<&ProfileSpec> {
        self.profiles.get(id)
    }

    /// Profiles, sorted by name.
    pub fn profiles(&self) -> impl Iterator<Item = &ProfileSpec> {
        self.profiles.values()
    }

    /// Finds a plain service by name.
    pub fn service(&self, id: &str) -> Option<&ServiceSpec> {
        self.services.get(id)
    }

    /// Finds a pool by name.
    pub fn pool(&self, id: &str) -> Option<&PoolSpec> {
        self.pools.get(id)
    }

    /// Pools, sorted by name.
    pub fn pools(&self) -> impl Iterator<Item = &PoolSpec> {
        self.pools.values()
    }

    /// Finds the caller by the key that a request carries.
    pub fn caller(&self, credential: &Credential) -> Option<&CallerSpec> {
        match credential {
            Credential::Key(key) => self.callers.get(key),
            Credential::Absent | Credential::Malformed => None,
        }
    }

    /// Limits of each process, with defaults filled in.
    pub const fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Planning weights, with defaults filled in.
    pub const fn weights(&self) -> &Weights {
        &self.weights
    }

    /// Capacity of the weight store, with defaults filled in.
    pub const fn store(&self) -> &Store {
        &self.store
    }
}

/// SHA-256 of a text in lowercase hexadecimal, the form in which the configuration
/// has callers' keys.
pub fn sha256_hex(key: &str) -> String {
    use std::fmt::Write as _;
    let mut text = String::with_capacity(64);
    for byte in Sha256::digest(key.as_bytes()) {
        // Writing to a string never fails.
        let _ = write!(text, "{byte:02x}");
    }
    text
}

fn resolve_models(fleet: &Fleet) -> BTreeMap<ModelId, ModelSpec> {
    let bases = fleet.models.iter().map(|(name, model)| ModelSpec {
        id: ModelId::new(name),
        version: model.version,
        size_mib: model.size_mib,
        pool: PoolId::new(&model.pool),
        base: None,
    });
    let adapters = fleet.adapters.iter().filter_map(|(name, adapter)| {
        let base = fleet.models.get(&adapter.base)?;
        Some(ModelSpec {
            id: ModelId::new(name),
            version: adapter.version,
            size_mib: adapter.size_mib,
            pool: PoolId::new(&base.pool),
            base: Some(ModelId::new(&adapter.base)),
        })
    });
    bases
        .chain(adapters)
        .map(|model| (model.id.clone(), model))
        .collect()
}

fn resolve_profiles(fleet: &Fleet) -> BTreeMap<ProfileId, ProfileSpec> {
    let specs = fleet.profiles.iter().map(|(name, profile)| ProfileSpec {
        id: ProfileId::new(name),
        kind: match profile.kind.as_str() {
            "batch" => ProfileKind::Batch,
            _ => ProfileKind::Interactive,
        },
        models: profile
            .models
            .iter()
            .map(|name| ModelId::new(name))
            .collect(),
        service: (!profile.service.is_empty())
            .then(|| ServiceId::new(&profile.service)),
        first_token_ms: profile.first_token_ms,
        between_tokens_ms: profile.between_tokens_ms,
        deadline_ms: profile.deadline_ms,
        priority: profile.priority,
        value: profile.value,
    });
    specs.map(|spec| (spec.id.clone(), spec)).collect()
}

fn resolve_services(fleet: &Fleet) -> BTreeMap<ServiceId, ServiceSpec> {
    let specs = fleet.services.iter().map(|(name, service)| ServiceSpec {
        id: ServiceId::new(name),
        pool: PoolId::new(&service.pool),
        idempotent: service.idempotent,
        timeout_ms: service.timeout_ms,
    });
    specs.map(|spec| (spec.id.clone(), spec)).collect()
}

fn resolve_pools(fleet: &Fleet) -> BTreeMap<PoolId, PoolSpec> {
    let specs = fleet.pools.iter().map(|(name, pool)| PoolSpec {
        id: PoolId::new(name),
        is_engine: pool.kind != "service",
        failure_domains: pool
            .failure_domains
            .iter()
            .map(|name| FailureDomainId::new(name))
            .collect(),
        instances: pool.instances,
        accelerators_mib: pool.accelerators_mib.clone(),
        step_time_us: pool.step_time_us,
        concurrent_max: pool.concurrent_max,
        checks_fencing: pool.checks_fencing,
        order_delay_max_ms: pool.order_delay_max_ms,
    });
    specs.map(|spec| (spec.id.clone(), spec)).collect()
}

fn resolve_callers(fleet: &Fleet) -> BTreeMap<KeyDigest, CallerSpec> {
    let specs = fleet.callers.iter().filter_map(|(name, caller)| {
        let spec = CallerSpec {
            id: CallerId::new(name),
            concurrent_max: caller.concurrent_max,
        };
        // Never `None`: the checks refuse a hash that can't be decoded.
        Some((KeyDigest::from_hex(&caller.key_sha256)?, spec))
    });
    specs.collect()
}
