//! Orders that are not begun: without a base, under an adapter, or doubled.

use crate::steps::Step::{self, Adopt, Given, Load, Report, Unload};
use crate::steps::{OWN, apply, at, ledger};
use mem::{Placement, ReserveError};

/// Steps, and what the last one meets.
type Last = (
    &'static str,
    &'static [Step],
    Step,
    Result<(), ReserveError>,
);

/// An adapter whose base is missing can't serve, and a base that goes away
/// under an adapter takes the answers of its callers with it. The orders that
/// would bring that about are not begun.
#[test]
fn adapters_keep_their_base() {
    let cases: &[Last] = &[
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
            "base only ordered",
            &[Load(1, "a", 60), Given(1, 1)],
            Load(2, "a-adapter", 10),
            Err(ReserveError::BaseNotLoaded),
        ),
        (
            "base about to go",
            &[Report(0, 7, &[("a", 60)], &[]), Unload(1, "a")],
            Load(2, "a-adapter", 10),
            Err(ReserveError::BaseNotLoaded),
        ),
        (
            "base about to go by a predecessor's order",
            &[Report(0, 7, &[("a", 60)], &[]), Adopt(0, 9, false, "a", 60)],
            Load(2, "a-adapter", 10),
            Err(ReserveError::BaseNotLoaded),
        ),
        (
            "adapter on top",
            &[Report(0, 7, &[("a", 60), ("a-adapter", 10)], &[])],
            Unload(1, "a"),
            Err(ReserveError::BaseInUse),
        ),
        (
            "adapter on its way",
            &[Report(0, 7, &[("a", 60)], &[]), Load(1, "a-adapter", 10)],
            Unload(2, "a"),
            Err(ReserveError::BaseInUse),
        ),
        (
            "the adapter itself may go",
            &[Report(0, 7, &[("a", 60), ("a-adapter", 10)], &[])],
            Unload(1, "a-adapter"),
            Ok(()),
        ),
    ];
    for (name, steps, last, expected) in cases {
        let mut ledger = ledger();
        for step in *steps {
            apply(&mut ledger, step).expect(name);
        }
        assert_eq!(apply(&mut ledger, last), *expected, "{name}");
    }
}

/// A planner that repeats itself must not make a second order of the same
/// change: the first may still take effect.
#[test]
fn one_order_at_a_time_on_a_placement() {
    let cases: &[Last] = &[
        (
            "load twice",
            &[Load(1, "a", 30)],
            Load(2, "a", 30),
            Err(ReserveError::OrderPending),
        ),
        (
            "load of what is there",
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
            "unload of what is not there",
            &[],
            Unload(1, "a"),
            Err(ReserveError::NothingToDo),
        ),
        (
            "unload besides a predecessor's",
            &[Report(0, 7, &[("a", 30)], &[]), Adopt(0, 9, false, "a", 30)],
            Unload(1, "a"),
            Ok(()),
        ),
        (
            "load before a predecessor's unload has ended",
            &[Report(0, 7, &[], &[]), Adopt(0, 9, false, "a", 30)],
            Load(1, "a", 30),
            Err(ReserveError::OrderPending),
        ),
    ];
    for (name, steps, last, expected) in cases {
        let mut ledger = ledger();
        for step in *steps {
            apply(&mut ledger, step).expect(name);
        }
        assert_eq!(apply(&mut ledger, last), *expected, "{name}");
    }
    let mut ledger = ledger();
    let elsewhere = Placement {
        accelerator: 1,
        ..at("a")
    };
    let refused = ledger.reserve(1, OWN, true, &elsewhere, 1);
    assert_eq!(refused, Err(ReserveError::UnknownAccelerator));
}
