//! The configuration in force, resolved for the decisions that read it.

use access::{Credential, KeyDigest};
use base::prelude::*;
use schema::settings::{Fleet, Limits, Store, Weights};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

use crate::defaults;

/// One accepted configuration, with names resolved and defaults filled in.
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

/// A base model, or an adapter resolved against its base.
#[derive(Debug, Clone)]
pub struct ModelSpec {
    /// Name.
    pub id: ModelId,
    /// Version that requests are sent to.
    pub version: u32,
    /// Accelerator memory it takes.
    pub size_mib: u32,
    /// Pool whose engines may hold it.
    pub pool: PoolId,
    /// Base model, if this is an adapter.
    pub base: Option<ModelId>,
}

/// What a class of work expects.
#[derive(Debug, Clone)]
pub struct ProfileSpec {
    /// Name.
    pub id: ProfileId,
    /// Whether somebody waits for the answer.
    pub kind: ProfileKind,
    /// Models that may be named; the first is the default.
    pub models: Vec<ModelId>,
    /// Service called in place of models.
    pub service: Option<ServiceId>,
    /// Expected time to the first token; 0 for none.
    pub first_token_ms: u32,
    /// Expected time between tokens; 0 for none.
    pub between_tokens_ms: u32,
    /// Time within which the whole answer is expected.
    pub deadline_ms: u32,
    /// Priority given to the engine; higher runs first.
    pub priority: u32,
    /// Worth of one request that meets its expectation.
    pub value: f64,
}

/// Whether somebody waits for the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProfileKind {
    /// Somebody waits.
    Interactive,
    /// The work only has to be done by its deadline.
    Batch,
}

/// A plain service.
#[derive(Debug, Clone)]
pub struct ServiceSpec {
    /// Name.
    pub id: ServiceId,
    /// Pool of its upstreams.
    pub pool: PoolId,
    /// Whether a call may be repeated.
    pub idempotent: bool,
    /// Longest time one call is expected to take.
    pub timeout_ms: u32,
}

/// Like upstreams that can stand in for one another.
#[derive(Debug, Clone)]
pub struct PoolSpec {
    /// Name.
    pub id: PoolId,
    /// Whether the upstreams are model engines.
    pub is_engine: bool,
    /// Failure domains the instances are spread over.
    pub failure_domains: Vec<FailureDomainId>,
    /// Number of instances held.
    pub instances: u32,
    /// Memory of each accelerator of one instance.
    pub accelerators_mib: Vec<u32>,
    /// Expected duration of one engine step.
    pub step_time_us: u32,
    /// Requests per accelerator, or calls per plain service, run at once.
    pub concurrent_max: u32,
    /// Whether the upstream refuses an order with an old fencing number.
    pub checks_fencing: bool,
    /// Longest time after which an order can still take effect.
    pub order_delay_max_ms: u32,
}

/// An identity that sends requests.
#[derive(Debug, Clone)]
pub struct CallerSpec {
    /// Name.
    pub id: CallerId,
    /// Requests in progress at one entry.
    pub concurrent_max: u32,
}

impl Config {
    /// Resolves a checked document.
    ///
    /// References are taken as they are: `check` has shown that they lead
    /// somewhere before the document was accepted.
    pub fn new(revision: Revision, fleet: Fleet) -> Self {
        Self {
            revision,
            models: models(&fleet),
            profiles: profiles(&fleet),
            services: services(&fleet),
            pools: pools(&fleet),
            callers: callers(&fleet),
            limits: defaults::limits(fleet.limits.as_ref()),
            weights: defaults::weights(fleet.weights.as_ref()),
            store: defaults::store(fleet.store.as_ref()),
            fleet,
        }
    }

    /// Number of the configuration.
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// The document as accepted.
    pub const fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Finds a model or an adapter.
    pub fn model(&self, id: &str) -> Option<&ModelSpec> {
        self.models.get(id)
    }

    /// Models and adapters in order of name.
    pub fn models(&self) -> impl Iterator<Item = &ModelSpec> {
        self.models.values()
    }

    /// Finds a profile.
    pub fn profile(&self, id: &str) -> Option<&ProfileSpec> {
        self.profiles.get(id)
    }

    /// Profiles in order of name.
    pub fn profiles(&self) -> impl Iterator<Item = &ProfileSpec> {
        self.profiles.values()
    }

    /// Finds a plain service.
    pub fn service(&self, id: &str) -> Option<&ServiceSpec> {
        self.services.get(id)
    }

    /// Finds a pool.
    pub fn pool(&self, id: &str) -> Option<&PoolSpec> {
        self.pools.get(id)
    }

    /// Pools in order of name.
    pub fn pools(&self) -> impl Iterator<Item = &PoolSpec> {
        self.pools.values()
    }

    /// Finds the caller whose key a request carries.
    pub fn caller(&self, credential: &Credential) -> Option<&CallerSpec> {
        match credential {
            Credential::Key(key) => self.callers.get(key),
            Credential::Absent | Credential::Malformed => None,
        }
    }

    /// Bounds, with defaults filled in.
    pub const fn limits(&self) -> &Limits {
        &self.limits
    }

    /// What the operators weigh, with defaults filled in.
    pub const fn weights(&self) -> &Weights {
        &self.weights
    }

    /// Limits of the weight store, with defaults filled in.
    pub const fn store(&self) -> &Store {
        &self.store
    }
}

/// SHA-256 of a caller's key in hexadecimal, as the configuration holds it.
pub fn sha256_hex(key: &str) -> String {
    use std::fmt::Write as _;
    let mut text = String::with_capacity(64);
    for byte in Sha256::digest(key.as_bytes()) {
        // Writing to a string does not fail.
        let _ = write!(text, "{byte:02x}");
    }
    text
}

fn models(fleet: &Fleet) -> BTreeMap<ModelId, ModelSpec> {
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

fn profiles(fleet: &Fleet) -> BTreeMap<ProfileId, ProfileSpec> {
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

fn services(fleet: &Fleet) -> BTreeMap<ServiceId, ServiceSpec> {
    let specs = fleet.services.iter().map(|(name, service)| ServiceSpec {
        id: ServiceId::new(name),
        pool: PoolId::new(&service.pool),
        idempotent: service.idempotent,
        timeout_ms: service.timeout_ms,
    });
    specs.map(|spec| (spec.id.clone(), spec)).collect()
}

fn pools(fleet: &Fleet) -> BTreeMap<PoolId, PoolSpec> {
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

fn callers(fleet: &Fleet) -> BTreeMap<KeyDigest, CallerSpec> {
    let specs = fleet.callers.iter().filter_map(|(name, caller)| {
        let spec = CallerSpec {
            id: CallerId::new(name),
            concurrent_max: caller.concurrent_max,
        };
        // `check` has shown that it is one.
        Some((KeyDigest::from_hex(&caller.key_sha256)?, spec))
    });
    specs.collect()
}
