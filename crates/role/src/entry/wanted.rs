//! What a request wants, resolved against the configuration.

use base::prelude::*;
use conf::{Config, ProfileKind, ProfileSpec};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{IncomingRequest, RequestedResource};

/// Deadline of work whose profile states none.
const DEADLINE_DEFAULT_MS: u64 = 60_000;

/// Longest deadline accepted; a longer one is cut to this.
const DEADLINE_MAX_MS: u64 = 24 * 3_600_000;

/// What upstream a request wants: the key of queues, demand and budgets.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Wanted {
    /// A model or adapter.
    Model(ModelId),
    /// A plain service.
    Service(ServiceId),
}

impl Wanted {
    /// The name, for operators.
    pub(crate) fn as_str(&self) -> &str {
        match self {
            Self::Model(model) => model.as_str(),
            Self::Service(service) => service.as_str(),
        }
    }

    /// The model or adapter, if it is one.
    pub(crate) const fn model(&self) -> Option<&ModelId> {
        match self {
            Self::Model(model) => Some(model),
            Self::Service(_) => None,
        }
    }

    /// The model as links carry it: empty for a plain service.
    pub(crate) fn model_text(&self) -> &str {
        self.model().map_or("", ModelId::as_str)
    }
}

/// What the configuration says about a request.
#[derive(Debug, Clone)]
pub(crate) struct Resolved {
    pub(crate) wanted: Wanted,
    /// Empty when a service is called that no profile names.
    pub(crate) profile: String,
    pub(crate) interactive: bool,
    pub(crate) idempotent: bool,
    pub(crate) first_token_ms: u32,
    pub(crate) between_tokens_ms: u32,
    pub(crate) priority: u32,
    pub(crate) value: f64,
    pub(crate) deadline_ms: u64,
    /// Longest time one call of a plain service is expected to take.
    pub(crate) service_timeout_ms: u32,
    pub(crate) fingerprint: u64,
}

/// Finds model or service, profile and deadline of a request.
///
/// # Errors
///
/// The code to refuse the request with.
pub(crate) fn resolve(
    config: &Config,
    arrival: &IncomingRequest,
) -> Result<Resolved, Code> {
    let named = named_profile(config, arrival)?;
    let (wanted, profile) = match &arrival.resource {
        RequestedResource::Model(Some(model)) => by_model(config, named, model)?,
        RequestedResource::Model(None) => by_default(config, named)?,
        RequestedResource::Service(service) => by_service(config, named, service)?,
    };
    let deadline_ms = deadline(arrival, profile)?;
    let service = match &wanted {
        Wanted::Service(service) => config.service(service.as_str()),
        Wanted::Model(_) => None,
    };
    let seed = xxh3_64_with_seed(wanted.as_str().as_bytes(), 0);
    Ok(Resolved {
        profile: profile.map_or(String::new(), |held| held.id.to_string()),
        interactive: profile.is_none_or(|held| held.kind == ProfileKind::Interactive),
        idempotent: service.is_none_or(|held| held.idempotent),
        first_token_ms: profile.map_or(0, |held| held.first_token_ms),
        between_tokens_ms: profile.map_or(0, |held| held.between_tokens_ms),
        priority: profile.map_or(0, |held| held.priority),
        value: profile.map_or(1.0, |held| held.value),
        deadline_ms,
        service_timeout_ms: service.map_or(0, |held| held.timeout_ms),
        fingerprint: xxh3_64_with_seed(&arrival.body_hash.to_le_bytes(), seed),
        wanted,
    })
}

type Found<'a> = (Wanted, Option<&'a ProfileSpec>);

fn named_profile<'a>(
    config: &'a Config,
    arrival: &IncomingRequest,
) -> Result<Option<&'a ProfileSpec>, Code> {
    let Some(name) = &arrival.profile else {
        return Ok(None);
    };
    let found = config.profile(name.as_str());
    found.map(Some).ok_or(Code::UnknownProfile)
}

fn by_model<'a>(
    config: &'a Config,
    named: Option<&'a ProfileSpec>,
    model: &ModelId,
) -> Result<Found<'a>, Code> {
    if config.model(model.as_str()).is_none() {
        return Err(Code::UnknownModel);
    }
    let mut candidates = config.profiles();
    let profile = match named {
        Some(profile) => Some(profile).filter(|held| held.models.contains(model)),
        None => candidates.find(|held| held.models.contains(model)),
    };
    let profile = profile.ok_or(Code::UnknownProfile)?;
    Ok((Wanted::Model(model.clone()), Some(profile)))
}

fn by_default<'a>(
    config: &'a Config,
    named: Option<&'a ProfileSpec>,
) -> Result<Found<'a>, Code> {
    let mut with_models = config.profiles().filter(|held| !held.models.is_empty());
    let profile = match named {
        Some(profile) => Some(profile),
        // Without a name there is a default only if there is no choice.
        None => with_models.next().filter(|_| with_models.next().is_none()),
    };
    let profile = profile.ok_or(Code::UnknownProfile)?;
    let model = profile.models.first().ok_or(Code::UnknownProfile)?;
    if config.model(model.as_str()).is_none() {
        return Err(Code::UnknownModel);
    }
    Ok((Wanted::Model(model.clone()), Some(profile)))
}

fn by_service<'a>(
    config: &'a Config,
    named: Option<&'a ProfileSpec>,
    service: &ServiceId,
) -> Result<Found<'a>, Code> {
    if config.service(service.as_str()).is_none() {
        return Err(Code::UnknownService);
    }
    let calls = |held: &&ProfileSpec| held.service.as_ref() == Some(service);
    let profile = match named {
        Some(profile) => Some(Some(profile).filter(calls).ok_or(Code::UnknownProfile)?),
        None => config.profiles().find(calls),
    };
    Ok((Wanted::Service(service.clone()), profile))
}

fn deadline(
    arrival: &IncomingRequest,
    profile: Option<&ProfileSpec>,
) -> Result<u64, Code> {
    let stated = profile.map_or(0, |held| u64::from(held.deadline_ms));
    match arrival.deadline_ms {
        Some(0) => Err(Code::BadDeadline),
        Some(ms) => Ok(ms.min(DEADLINE_MAX_MS)),
        None if stated == 0 => Ok(DEADLINE_DEFAULT_MS),
        None => Ok(stated),
    }
}
