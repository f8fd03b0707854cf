//! Rules of models and adapters: pools, base models and sizes.

use base::ErrorCode;
use schema::settings::{Adapter, Fleet, Model};

use super::bounds::{self, Range, range};
use super::names;
use crate::document::{DiagnosticSink, ValuePath, excerpt};

const VERSION: Range = range(1, u32::MAX as u64);

/// Checks all models.
pub(super) fn check_models(fleet: &Fleet, sink: &mut DiagnosticSink<'_>) {
    let section = ValuePath::default().key("models");
    names::check_names(&section, fleet.models.keys(), sink);
    for (name, model) in &fleet.models {
        check_model(fleet, model, &section.key(name), sink);
    }
}

/// Checks all adapters.
pub(super) fn check_adapters(fleet: &Fleet, sink: &mut DiagnosticSink<'_>) {
    let section = ValuePath::default().key("adapters");
    names::check_names(&section, fleet.adapters.keys(), sink);
    for (name, adapter) in &fleet.adapters {
        let path = section.key(name);
        if fleet.models.contains_key(name) {
            let message =
                "a model has the same name; requests use one namespace for both";
            sink.report(ErrorCode::DuplicateName, &path, message);
        }
        check_adapter(fleet, adapter, &path, sink);
    }
}

fn check_model(
    fleet: &Fleet,
    model: &Model,
    path: &ValuePath,
    sink: &mut DiagnosticSink<'_>,
) {
    bounds::require_in_range(path, "size_mib", model.size_mib, bounds::SIZE_MIB, sink);
    bounds::require_in_range(path, "version", model.version, VERSION, sink);
    if !bounds::require(path, "pool", sink) {
        return;
    }
    let pool = path.key("pool");
    match fleet.pools.get(&model.pool) {
        None => names::report_missing_reference(&pool, "pools", &model.pool, sink),
        Some(found) if found.kind == "service" => {
            let message =
                format!("`{}` is not a pool of engines", excerpt(&model.pool));
            sink.report(ErrorCode::MissingReference, &pool, message);
        }
        Some(_) => {
            let size = &path.key("size_mib");
            check_size(fleet, &model.pool, model.size_mib.into(), size, sink);
        }
    }
}

fn check_adapter(
    fleet: &Fleet,
    adapter: &Adapter,
    path: &ValuePath,
    sink: &mut DiagnosticSink<'_>,
) {
    bounds::require_in_range(
        path,
        "size_mib",
        adapter.size_mib,
        bounds::SIZE_MIB,
        sink,
    );
    bounds::require_in_range(path, "version", adapter.version, VERSION, sink);
    if !bounds::require(path, "base", sink) {
        return;
    }
    let Some(base) = fleet.models.get(&adapter.base) else {
        names::report_missing_reference(
            &path.key("base"),
            "models",
            &adapter.base,
            sink,
        );
        return;
    };
    // A base model that is too large by itself is reported once, not again for
    // each of its adapters.
    if largest_accelerator_mib(fleet, &base.pool)
        .is_some_and(|largest| base.size_mib > largest)
    {
        return;
    }
    let together = u64::from(base.size_mib) + u64::from(adapter.size_mib);
    let size = &path.key("size_mib");
    check_size(fleet, &base.pool, together, size, sink);
}

/// Reports a model that fits on no accelerator of its pool: it would never be
/// loaded, and requests for it would wait forever.
///
/// For an adapter, `needed_mib` includes its base model, since both must be on the
/// same accelerator.
fn check_size(
    fleet: &Fleet,
    pool: &str,
    needed_mib: u64,
    path: &ValuePath,
    sink: &mut DiagnosticSink<'_>,
) {
    let Some(largest) = largest_accelerator_mib(fleet, pool) else {
        return;
    };
    if needed_mib > u64::from(largest) {
        let message = format!(
            "needs {needed_mib} MiB, but the largest accelerator of `{}` has {largest} \
             MiB",
            excerpt(pool)
        );
        sink.report(ErrorCode::ModelTooLarge, path, message);
    }
}

fn largest_accelerator_mib(fleet: &Fleet, pool: &str) -> Option<u32> {
    let pool = fleet.pools.get(pool)?;
    pool.accelerators_mib.iter().copied().max()
}
