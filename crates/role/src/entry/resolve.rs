//! Resolves a request against the configuration: model or service, profile, deadline.

use base::prelude::*;
use conf::{Config, ProfileKind, ProfileSpec};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{IncomingRequest, RequestedResource};

/// Deadline of a request that names none and whose profile has none.
const DEADLINE_DEFAULT_MS: u64 = 60_000;

/// Longest deadline; a longer one is clamped to it.
const DEADLINE_MAX_MS: u64 = 24 * 3_600_000;

/// What a request is for. Wait queues, statistics and retry budgets are keyed by it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Resource {
    /// A model or adapter.
    Model(ModelId),
    /// A plain service.
    Service(ServiceId),
}

impl Resource {
    /// Name, as shown to operators.
    pub(crate) fn as_str(&self) -> &str {
        match self {
            Self::Model(model) => model.as_str(),
            Self::Service(service) => service.as_str(),
        }
    }

    /// The model or adapter; `None` for a plain service.
    pub(crate) const fn model(&self) -> Option<&ModelId> {
        match self {
            Self::Model(model) => Some(model),
            Self::Service(_) => None,
        }
    }

    /// The model as encoded in frames: empty for a plain service.
    pub(crate) fn wire_model(&self) -> &str {
        self.model().map_or("", ModelId::as_str)
    }
}

/// A request's parameters according to the configuration.
#[derive(Debug, Clone)]
pub(crate) struct ResolvedRequest {
    pub(crate) resource: Resource,
    /// Empty for a service that no profile lists.
    pub(crate) profile: String,
    pub(crate) interactive: bool,
    pub(crate) idempotent: bool,
    /// Target time to the first token; 0 for none.
    pub(crate) first_token_ms: u32,
    /// Target time between two tokens; 0 for none.
    pub(crate) between_tokens_ms: u32,
    pub(crate) priority: u32,
    /// Value of serving the request, by which the planner weighs models.
    pub(crate) value: f64,
    pub(crate) deadline_ms: u64,
    /// Configured time limit of one request to a plain service; 0 for a model.
    pub(crate) service_timeout_ms: u32,
    /// Hash of the model or service and of the request's content. Requests with the
    /// same fingerprint count as the same when they crash upstreams.
    pub(crate) fingerprint: u64,
}

/// Determines the model or service, profile and deadline of a request.
///
/// # Errors
///
/// The code to refuse the request with.
pub(crate) fn resolve(
    config: &Config,
    incoming: &IncomingRequest,
) -> Result<ResolvedRequest, ErrorCode> {
    let named_profile = find_named_profile(config, incoming)?;
    let (resource, profile) = match &incoming.resource {
        RequestedResource::Model(Some(model)) => {
            resolve_model(config, named_profile, model)?
        }
        RequestedResource::Model(None) => resolve_default_model(config, named_profile)?,
        RequestedResource::Service(service) => {
            resolve_service(config, named_profile, service)?
        }
    };
    let deadline_ms = deadline_ms(incoming, profile)?;
    let service = match &resource {
        Resource::Service(service) => config.service(service.as_str()),
        Resource::Model(_) => None,
    };
    let seed = xxh3_64_with_seed(resource.as_str().as_bytes(), 0);
    Ok(ResolvedRequest {
        profile: profile.map_or(String::new(), |profile| profile.id.to_string()),
        interactive: profile
            .is_none_or(|profile| profile.kind == ProfileKind::Interactive),
        idempotent: service.is_none_or(|spec| spec.idempotent),
        first_token_ms: profile.map_or(0, |profile| profile.first_token_ms),
        between_tokens_ms: profile.map_or(0, |profile| profile.between_tokens_ms),
        priority: profile.map_or(0, |profile| profile.priority),
        value: profile.map_or(1.0, |profile| profile.value),
        deadline_ms,
        service_timeout_ms: service.map_or(0, |spec| spec.timeout_ms),
        fingerprint: xxh3_64_with_seed(&incoming.body_hash.to_le_bytes(), seed),
        resource,
    })
}

type ResourceAndProfile<'a> = (Resource, Option<&'a ProfileSpec>);

fn find_named_profile<'a>(
    config: &'a Config,
    incoming: &IncomingRequest,
) -> Result<Option<&'a ProfileSpec>, ErrorCode> {
    let Some(name) = &incoming.profile else {
        return Ok(None);
    };
    let found = config.profile(name.as_str());
    found.map(Some).ok_or(ErrorCode::UnknownProfile)
}

fn resolve_model<'a>(
    config: &'a Config,
    named_profile: Option<&'a ProfileSpec>,
    model: &ModelId,
) -> Result<ResourceAndProfile<'a>, ErrorCode> {
    if config.model(model.as_str()).is_none() {
        return Err(ErrorCode::UnknownModel);
    }
    let mut profiles = config.profiles();
    let profile = match named_profile {
        Some(profile) => Some(profile).filter(|profile| profile.models.contains(model)),
        None => profiles.find(|profile| profile.models.contains(model)),
    };
    let profile = profile.ok_or(ErrorCode::UnknownProfile)?;
    Ok((Resource::Model(model.clone()), Some(profile)))
}

fn resolve_default_model<'a>(
    config: &'a Config,
    named_profile: Option<&'a ProfileSpec>,
) -> Result<ResourceAndProfile<'a>, ErrorCode> {
    let mut with_models = config
        .profiles()
        .filter(|profile| !profile.models.is_empty());
    let profile = match named_profile {
        Some(profile) => Some(profile),
        // If the request names no profile, exactly one must have models.
        None => with_models.next().filter(|_| with_models.next().is_none()),
    };
    let profile = profile.ok_or(ErrorCode::UnknownProfile)?;
    let model = profile.models.first().ok_or(ErrorCode::UnknownProfile)?;
    if config.model(model.as_str()).is_none() {
        return Err(ErrorCode::UnknownModel);
    }
    Ok((Resource::Model(model.clone()), Some(profile)))
}

fn resolve_service<'a>(
    config: &'a Config,
    named_profile: Option<&'a ProfileSpec>,
    service: &ServiceId,
) -> Result<ResourceAndProfile<'a>, ErrorCode> {
    if config.service(service.as_str()).is_none() {
        return Err(ErrorCode::UnknownService);
    }
    let lists_service =
        |profile: &&ProfileSpec| profile.service.as_ref() == Some(service);
    let profile = match named_profile {
        Some(profile) => Some(
            Some(profile)
                .filter(lists_service)
                .ok_or(ErrorCode::UnknownProfile)?,
        ),
        None => config.profiles().find(lists_service),
    };
    Ok((Resource::Service(service.clone()), profile))
}

fn deadline_ms(
    incoming: &IncomingRequest,
    profile: Option<&ProfileSpec>,
) -> Result<u64, ErrorCode> {
    let default_ms = profile.map_or(0, |profile| u64::from(profile.deadline_ms));
    match incoming.deadline_ms {
        Some(0) => Err(ErrorCode::BadDeadline),
        Some(ms) => Ok(ms.min(DEADLINE_MAX_MS)),
        None if default_ms == 0 => Ok(DEADLINE_DEFAULT_MS),
        None => Ok(default_ms),
    }
}
