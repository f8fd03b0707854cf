//! Rules of profiles and of plain services.

use base::ErrorCode;
use schema::settings::{Fleet, Profile};

use super::bounds::{self, Range, range};
use super::names;
use crate::document::{DiagnosticSink, ValuePath, excerpt};

const DEADLINE_MS: Range = range(1, 7 * 24 * 3_600_000);
const TIMEOUT_MS: Range = range(1, 3_600_000);
const PRIORITY: Range = range(0, 1_000);
const VALUE: (f64, f64) = (0.001, 1e6);

/// Checks all plain services.
pub(super) fn check_services(fleet: &Fleet, sink: &mut DiagnosticSink<'_>) {
    let section = ValuePath::default().key("services");
    names::check_names(&section, fleet.services.keys(), sink);
    for (name, service) in &fleet.services {
        let path = section.key(name);
        let timeout = service.timeout_ms;
        bounds::require_in_range(&path, "timeout_ms", timeout, TIMEOUT_MS, sink);
        // No default: a service wrongly taken to be idempotent may run a call twice.
        bounds::require(&path, "idempotent", sink);
        if !bounds::require(&path, "pool", sink) {
            continue;
        }
        match fleet.pools.get(&service.pool) {
            None => {
                names::report_missing_reference(
                    &path.key("pool"),
                    "pools",
                    &service.pool,
                    sink,
                );
            }
            Some(pool) if pool.kind == "engine" => {
                let name = excerpt(&service.pool);
                let message = format!("`{name}` is not a pool of plain services");
                sink.report(ErrorCode::MissingReference, &path.key("pool"), message);
            }
            Some(_) => {}
        }
    }
}

/// Checks all profiles.
pub(super) fn check_profiles(fleet: &Fleet, sink: &mut DiagnosticSink<'_>) {
    let section = ValuePath::default().key("profiles");
    names::check_names(&section, fleet.profiles.keys(), sink);
    for (name, profile) in &fleet.profiles {
        let path = section.key(name);
        check_objectives(profile, &path, sink);
        check_targets(fleet, profile, &path, sink);
    }
}

fn check_objectives(
    profile: &Profile,
    path: &ValuePath,
    sink: &mut DiagnosticSink<'_>,
) {
    let kinds = ["interactive", "batch"];
    bounds::require_one_of(path, "kind", &profile.kind, &kinds, sink);
    let deadline = profile.deadline_ms;
    bounds::require_in_range(path, "deadline_ms", deadline, DEADLINE_MS, sink);
    bounds::check_optional_range(path, "priority", profile.priority, PRIORITY, sink);
    bounds::require_float_in_range(path, "value", profile.value, VALUE, sink);
    let parts = [
        ("first_token_ms", profile.first_token_ms),
        ("between_tokens_ms", profile.between_tokens_ms),
    ];
    for (key, value) in parts {
        if deadline != 0 && value > deadline {
            let message = format!("{value} is more than `deadline_ms`, {deadline}");
            sink.report(ErrorCode::OutOfRange, &path.key(key), message);
        }
    }
}

/// Checks that a profile names either models or a service, and that they exist.
fn check_targets(
    fleet: &Fleet,
    profile: &Profile,
    path: &ValuePath,
    sink: &mut DiagnosticSink<'_>,
) {
    let models = path.key("models");
    let service = path.key("service");
    match (sink.is_present(&models), sink.is_present(&service)) {
        (true, true) => {
            let message = "a profile names models or a service, not both";
            sink.report(ErrorCode::OutOfRange, &service, message);
        }
        (false, false) if !sink.is_suppressed(&models) => {
            let message = "`models` or `service` is required";
            sink.report(ErrorCode::MissingKey, &service, message);
        }
        _ => {}
    }
    let known = |name: &str| {
        fleet.models.contains_key(name) || fleet.adapters.contains_key(name)
    };
    names::check_references(&models, "models", &profile.models, known, sink);
    if sink.is_present(&models) && profile.models.is_empty() {
        sink.report(
            ErrorCode::OutOfRange,
            &models,
            "at least one entry is required",
        );
    }
    let called = &profile.service;
    if sink.is_present(&service) && !fleet.services.contains_key(called) {
        names::report_missing_reference(&service, "services", called, sink);
    }
}
