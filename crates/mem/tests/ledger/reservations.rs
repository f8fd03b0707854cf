//! Orders that can't be reserved: the base model is missing, an adapter depends
//! on it, or another order is pending.

use crate::steps::Step::{self, Adopt, Load, Report, Sent, Unload};
use crate::steps::{OWN_EPOCH, apply, configured_ledger, placement};
use mem::{Placement, ReserveError};

/// Case name, preparing steps, last step, and the expected result of the last
/// step.
type LastStepCase = (
    &'static str,
    &'static [Step],
    Step,
    Result<(), ReserveError>,
);

/// Guards against an adapter without its base model, which can't serve, and
/// against unloading a base model under an adapter, which would end the
/// adapter's running requests.
#[test]
fn adapters_require_a_loaded_base() {
    let cases: &[LastStepCase] = &[
        (
            "no base",
            &[],
            Load(1, "a-adapter", 10),
            Err(ReserveError::BaseNotLoaded),
        ),
        (
            "base loaded",
            &[Report(0, 7, &[("a", 60)], &[])],
            Load(1, "a-adapter", 10),
            Ok(()),
        ),
        (
            "base load sent but not reported",
            &[Load(1, "a", 60), Sent(1, 1)],
            Load(2, "a-adapter", 10),
            Err(ReserveError::BaseNotLoaded),
        ),
        (
            "base unload reserved",
            &[Report(0, 7, &[("a", 60)], &[]), Unload(1, "a")],
            Load(2, "a-adapter", 10),
            Err(ReserveError::BaseNotLoaded),
        ),
        (
            "base unload by a predecessor",
            &[Report(0, 7, &[("a", 60)], &[]), Adopt(0, 9, false, "a", 60)],
            Load(2, "a-adapter", 10),
            Err(ReserveError::BaseNotLoaded),
        ),
        (
            "unload of a base under an adapter",
            &[Report(0, 7, &[("a", 60), ("a-adapter", 10)], &[])],
            Unload(1, "a"),
            Err(ReserveError::BaseInUse),
        ),
        (
            "unload of a base with an adapter load reserved",
            &[Report(0, 7, &[("a", 60)], &[]), Load(1, "a-adapter", 10)],
            Unload(2, "a"),
            Err(ReserveError::BaseInUse),
        ),
        (
            "unload of the adapter",
            &[Report(0, 7, &[("a", 60), ("a-adapter", 10)], &[])],
            Unload(1, "a-adapter"),
            Ok(()),
        ),
    ];
    for (name, steps, last, expected) in cases {
        let mut ledger = configured_ledger();
        for step in *steps {
            apply(&mut ledger, step).expect(name);
        }
        assert_eq!(apply(&mut ledger, last), *expected, "{name}");
    }
}

/// A planner that repeats a decision must not cause a second order for the same
/// change, because the first may still take effect.
#[test]
fn only_one_order_at_a_time_per_placement() {
    let cases: &[LastStepCase] = &[
        (
            "load twice",
            &[Load(1, "a", 30)],
            Load(2, "a", 30),
            Err(ReserveError::OrderPending),
        ),
        (
            "load of a loaded model",
            &[Report(0, 7, &[("a", 30)], &[])],
            Load(1, "a", 30),
            Err(ReserveError::NothingToDo),
        ),
        (
            "unload twice",
            &[Report(0, 7, &[("a", 30)], &[]), Unload(1, "a")],
            Unload(2, "a"),
            Err(ReserveError::OrderPending),
        ),
        (
            "unload of a model that is not loaded",
            &[],
            Unload(1, "a"),
            Err(ReserveError::NothingToDo),
        ),
        (
            "unload while a predecessor's unload is pending",
            &[Report(0, 7, &[("a", 30)], &[]), Adopt(0, 9, false, "a", 30)],
            Unload(1, "a"),
            Ok(()),
        ),
        (
            "load while a predecessor's unload is pending",
            &[Report(0, 7, &[], &[]), Adopt(0, 9, false, "a", 30)],
            Load(1, "a", 30),
            Err(ReserveError::OrderPending),
        ),
    ];
    for (name, steps, last, expected) in cases {
        let mut ledger = configured_ledger();
        for step in *steps {
            apply(&mut ledger, step).expect(name);
        }
        assert_eq!(apply(&mut ledger, last), *expected, "{name}");
    }
    let mut ledger = configured_ledger();
    let other_accelerator = Placement {
        accelerator: 1,
        ..placement("a")
    };
    let refused = ledger.reserve(1, OWN_EPOCH, true, &other_accelerator, 1);
    assert_eq!(refused, Err(ReserveError::UnknownAccelerator));
}
