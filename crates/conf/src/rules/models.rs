//! Models and adapters: their pools, bases and sizes.

use base::ErrorCode;
use schema::settings::{Adapter, Fleet, Model};

use super::bounds::{self, Range, range};
use super::names;
use crate::document::{Findings, Path, quote};

const VERSION: Range = range(1, u32::MAX as u64);

/// Rules of all models.
pub(super) fn models(fleet: &Fleet, findings: &mut Findings<'_>) {
    let section = Path::default().key("models");
    names::names(&section, fleet.models.keys(), findings);
    for (name, model) in &fleet.models {
        check_model(fleet, model, &section.key(name), findings);
    }
}

/// Rules of all adapters.
pub(super) fn adapters(fleet: &Fleet, findings: &mut Findings<'_>) {
    let section = Path::default().key("adapters");
    names::names(&section, fleet.adapters.keys(), findings);
    for (name, adapter) in &fleet.adapters {
        let path = section.key(name);
        if fleet.models.contains_key(name) {
            let message = "a model has the same name, and requests name either";
            findings.add(ErrorCode::DuplicateName, &path, message);
        }
        check_adapter(fleet, adapter, &path, findings);
    }
}

fn check_model(fleet: &Fleet, model: &Model, path: &Path, findings: &mut Findings<'_>) {
    bounds::needed_whole(path, "size_mib", model.size_mib, bounds::SIZE_MIB, findings);
    bounds::needed_whole(path, "version", model.version, VERSION, findings);
    if !bounds::needed(path, "pool", findings) {
        return;
    }
    let pool = path.key("pool");
    match fleet.pools.get(&model.pool) {
        None => names::missing(&pool, "pools", &model.pool, findings),
        Some(found) if found.kind == "service" => {
            let message = format!("`{}` is not a pool of engines", quote(&model.pool));
            findings.add(ErrorCode::MissingReference, &pool, message);
        }
        Some(_) => {
            let size = &path.key("size_mib");
            check_size(fleet, &model.pool, model.size_mib.into(), size, findings);
        }
    }
}

fn check_adapter(
    fleet: &Fleet,
    adapter: &Adapter,
    path: &Path,
    findings: &mut Findings<'_>,
) {
    bounds::needed_whole(
        path,
        "size_mib",
        adapter.size_mib,
        bounds::SIZE_MIB,
        findings,
    );
    bounds::needed_whole(path, "version", adapter.version, VERSION, findings);
    if !bounds::needed(path, "base", findings) {
        return;
    }
    let Some(base) = fleet.models.get(&adapter.base) else {
        names::missing(&path.key("base"), "models", &adapter.base, findings);
        return;
    };
    // A base that is too large alone is told as such, and not for each adapter.
    if largest_mib(fleet, &base.pool).is_some_and(|largest| base.size_mib > largest) {
        return;
    }
    let together = u64::from(base.size_mib) + u64::from(adapter.size_mib);
    let size = &path.key("size_mib");
    check_size(fleet, &base.pool, together, size, findings);
}

/// A model that fits no accelerator would wait for a place for ever.
///
/// `needed_mib` counts an adapter's base too, since both must be on the same
/// accelerator.
fn check_size(
    fleet: &Fleet,
    pool: &str,
    needed_mib: u64,
    path: &Path,
    findings: &mut Findings<'_>,
) {
    let Some(largest) = largest_mib(fleet, pool) else {
        return;
    };
    if needed_mib > u64::from(largest) {
        let message = format!(
            "needs {needed_mib} MiB, but the largest accelerator of `{}` has {largest}",
            quote(pool)
        );
        findings.add(ErrorCode::ModelTooLarge, path, message);
    }
}

fn largest_mib(fleet: &Fleet, pool: &str) -> Option<u32> {
    let pool = fleet.pools.get(pool)?;
    pool.accelerators_mib.iter().copied().max()
}
