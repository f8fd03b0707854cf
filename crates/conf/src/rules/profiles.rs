//! Profiles and the plain services that they may call.

use base::ErrorCode;
use schema::settings::{Fleet, Profile};

use super::bounds::{self, Range, range};
use super::names;
use crate::document::{Findings, Path, quote};

const DEADLINE_MS: Range = range(1, 7 * 24 * 3_600_000);
const TIMEOUT_MS: Range = range(1, 3_600_000);
const PRIORITY: Range = range(0, 1_000);
const VALUE: (f64, f64) = (0.001, 1e6);

/// Rules of all plain services.
pub(super) fn services(fleet: &Fleet, findings: &mut Findings<'_>) {
    let section = Path::default().key("services");
    names::names(&section, fleet.services.keys(), findings);
    for (name, service) in &fleet.services {
        let path = section.key(name);
        let timeout = service.timeout_ms;
        bounds::needed_whole(&path, "timeout_ms", timeout, TIMEOUT_MS, findings);
        // No default: a call taken as idempotent by mistake may run twice.
        bounds::needed(&path, "idempotent", findings);
        if !bounds::needed(&path, "pool", findings) {
            continue;
        }
        match fleet.pools.get(&service.pool) {
            None => {
                names::missing(&path.key("pool"), "pools", &service.pool, findings);
            }
            Some(pool) if pool.kind == "engine" => {
                let name = quote(&service.pool);
                let message = format!("`{name}` is not a pool of plain services");
                findings.add(ErrorCode::MissingReference, &path.key("pool"), message);
            }
            Some(_) => {}
        }
    }
}

/// Rules of all profiles.
pub(super) fn profiles(fleet: &Fleet, findings: &mut Findings<'_>) {
    let section = Path::default().key("profiles");
    names::names(&section, fleet.profiles.keys(), findings);
    for (name, profile) in &fleet.profiles {
        let path = section.key(name);
        check_expectation(profile, &path, findings);
        check_target(fleet, profile, &path, findings);
    }
}

fn check_expectation(profile: &Profile, path: &Path, findings: &mut Findings<'_>) {
    let kinds = ["interactive", "batch"];
    bounds::needed_word(path, "kind", &profile.kind, &kinds, findings);
    let deadline = profile.deadline_ms;
    bounds::needed_whole(path, "deadline_ms", deadline, DEADLINE_MS, findings);
    bounds::given_whole(path, "priority", profile.priority, PRIORITY, findings);
    bounds::needed_number(path, "value", profile.value, VALUE, findings);
    let parts = [
        ("first_token_ms", profile.first_token_ms),
        ("between_tokens_ms", profile.between_tokens_ms),
    ];
    for (key, value) in parts {
        if deadline != 0 && value > deadline {
            let message = format!("{value} is more than `deadline_ms`, {deadline}");
            findings.add(ErrorCode::OutOfRange, &path.key(key), message);
        }
    }
}

/// A profile names models or a service, and never both.
fn check_target(
    fleet: &Fleet,
    profile: &Profile,
    path: &Path,
    findings: &mut Findings<'_>,
) {
    let models = path.key("models");
    let service = path.key("service");
    match (findings.is_given(&models), findings.is_given(&service)) {
        (true, true) => {
            let message = "a profile names models or a service, not both";
            findings.add(ErrorCode::OutOfRange, &service, message);
        }
        (false, false) if !findings.is_broken(&models) => {
            let message = "`models` or `service` must be given";
            findings.add(ErrorCode::MissingKey, &service, message);
        }
        _ => {}
    }
    let known = |name: &str| {
        fleet.models.contains_key(name) || fleet.adapters.contains_key(name)
    };
    names::references(&models, "models", &profile.models, known, findings);
    if findings.is_given(&models) && profile.models.is_empty() {
        findings.add(ErrorCode::OutOfRange, &models, "at least one must be named");
    }
    let called = &profile.service;
    if findings.is_given(&service) && !fleet.services.contains_key(called) {
        names::missing(&service, "services", called, findings);
    }
}
