//! Memory counts from an order until the upstream shows its end.

use crate::steps::Step::{
    self, Accepted, Adopt, Died, Given, Load, Refused, Report, Unload,
};
use crate::steps::{DELAY_MS, apply, ledger};
use mem::ReportedOrderState::{Done, Failed, InProgress};
use mem::{Ledger, ReserveError};
use std::collections::BTreeMap;

struct Case {
    name: &'static str,
    steps: &'static [Step],
    in_use_mib: u64,
    /// What loading 60 MiB of another model meets at the end.
    then_load: Result<(), ReserveError>,
}

const CASES: &[Case] = &[
    Case {
        name: "a load that got no answer counts",
        steps: &[Report(0, 7, &[], &[]), Load(1, "a", 60), Given(1, 1)],
        in_use_mib: 60,
        then_load: Err(ReserveError::InsufficientMemory),
    },
    Case {
        name: "a load counts once when its resident shows",
        steps: &[
            Load(1, "a", 30),
            Given(1, 1),
            Report(2, 7, &[("a", 30)], &[(1, InProgress)]),
        ],
        in_use_mib: 30,
        then_load: Ok(()),
    },
    Case {
        name: "a load that failed is free",
        steps: &[
            Load(1, "a", 60),
            Given(1, 1),
            Report(2, 7, &[], &[(1, Failed)]),
        ],
        in_use_mib: 0,
        then_load: Ok(()),
    },
    Case {
        name: "a load that the report does not list still counts",
        steps: &[
            Load(1, "a", 60),
            Given(1, 1),
            Accepted(1),
            Report(2, 7, &[], &[]),
        ],
        in_use_mib: 60,
        then_load: Err(ReserveError::InsufficientMemory),
    },
    Case {
        name: "an unload that got no answer frees nothing",
        steps: &[Report(0, 7, &[("a", 60)], &[]), Unload(1, "a"), Given(1, 1)],
        in_use_mib: 60,
        then_load: Err(ReserveError::InsufficientMemory),
    },
    Case {
        name: "an unload that shows is free",
        steps: &[
            Report(0, 7, &[("a", 60)], &[]),
            Unload(1, "a"),
            Given(1, 1),
            Report(2, 7, &[], &[(1, Done)]),
        ],
        in_use_mib: 0,
        then_load: Ok(()),
    },
    Case {
        name: "an older report does not show a model gone",
        steps: &[Report(5, 7, &[("a", 60)], &[]), Report(4, 7, &[], &[])],
        in_use_mib: 60,
        then_load: Err(ReserveError::InsufficientMemory),
    },
    Case {
        name: "a refused load is free",
        steps: &[Load(1, "a", 60), Given(1, 1), Refused(2, 1)],
        in_use_mib: 0,
        then_load: Ok(()),
    },
    Case {
        name: "a second copy refused leaves the first, which got no answer",
        steps: &[Load(1, "a", 60), Given(1, 1), Given(2, 1), Refused(3, 1)],
        in_use_mib: 60,
        then_load: Err(ReserveError::InsufficientMemory),
    },
    Case {
        name: "that first copy ends when no order can be under way",
        steps: &[
            Load(1, "a", 60),
            Given(1, 1),
            Given(2, 1),
            Refused(3, 1),
            Report(3_003, 7, &[], &[]),
        ],
        in_use_mib: 0,
        then_load: Ok(()),
    },
    Case {
        name: "a predecessor's load counts",
        steps: &[Adopt(0, 9, true, "a", 60), Report(1, 7, &[], &[])],
        in_use_mib: 60,
        then_load: Err(ReserveError::InsufficientMemory),
    },
    Case {
        name: "a predecessor's load counts as long as it may live",
        steps: &[
            Report(0, 7, &[], &[]),
            Adopt(1, 9, true, "a", 60),
            Report(60_000, 7, &[], &[]),
        ],
        in_use_mib: 60,
        then_load: Err(ReserveError::InsufficientMemory),
    },
    Case {
        name: "a dead predecessor's load counts for the order delay",
        steps: &[
            Report(0, 7, &[], &[]),
            Adopt(1, 9, true, "a", 60),
            Died(2),
            Report(3_001, 7, &[], &[]),
        ],
        in_use_mib: 60,
        then_load: Err(ReserveError::InsufficientMemory),
    },
    Case {
        name: "a dead predecessor's load ends after the order delay",
        steps: &[
            Report(0, 7, &[], &[]),
            Adopt(1, 9, true, "a", 60),
            Died(2),
            Report(3_002, 7, &[], &[]),
        ],
        in_use_mib: 0,
        then_load: Ok(()),
    },
    Case {
        name: "a dead predecessor's load that is under way does not end",
        steps: &[
            Report(0, 7, &[], &[]),
            Adopt(1, 9, true, "a", 60),
            Died(2),
            Report(3_002, 7, &[], &[(9, InProgress)]),
        ],
        in_use_mib: 60,
        then_load: Err(ReserveError::InsufficientMemory),
    },
    Case {
        name: "a predecessor that lives may give its load to the new run",
        steps: &[
            Report(0, 7, &[], &[]),
            Adopt(1, 9, true, "a", 60),
            Report(2, 8, &[], &[]),
            Report(60_000, 8, &[], &[]),
        ],
        in_use_mib: 60,
        then_load: Err(ReserveError::InsufficientMemory),
    },
    Case {
        name: "a predecessor's load counts on when its model shows by another order",
        steps: &[
            Report(0, 7, &[], &[]),
            Adopt(1, 9, true, "a", 60),
            Report(2, 7, &[("a", 60)], &[]),
            Report(3, 7, &[], &[]),
        ],
        in_use_mib: 60,
        then_load: Err(ReserveError::InsufficientMemory),
    },
    Case {
        name: "an order under way when the upstream restarts may reach the new run",
        steps: &[
            Report(0, 7, &[], &[]),
            Load(1, "a", 60),
            Given(1, 1),
            Report(2, 8, &[], &[]),
        ],
        in_use_mib: 60,
        then_load: Err(ReserveError::InsufficientMemory),
    },
    Case {
        name: "after a restart and the order delay nothing is under way",
        steps: &[
            Report(0, 7, &[], &[]),
            Load(1, "a", 60),
            Given(1, 1),
            Report(2, 8, &[], &[]),
            Report(3_002, 8, &[], &[]),
        ],
        in_use_mib: 0,
        then_load: Ok(()),
    },
    Case {
        name: "a second copy may reach the new run after the first was carried out",
        steps: &[
            Report(0, 7, &[], &[]),
            Load(1, "a", 60),
            Given(1, 1),
            Given(1_000, 1),
            Report(1_001, 7, &[("a", 60)], &[(1, Done)]),
            Report(1_002, 8, &[], &[]),
        ],
        in_use_mib: 60,
        then_load: Err(ReserveError::InsufficientMemory),
    },
    Case {
        name: "a second copy counts although the model has gone again",
        steps: &[
            Report(0, 7, &[], &[]),
            Load(1, "a", 60),
            Given(1, 1),
            Given(1_000, 1),
            Report(1_001, 7, &[("a", 60)], &[(1, Done)]),
            Report(1_002, 7, &[], &[(1, Done)]),
        ],
        in_use_mib: 60,
        then_load: Err(ReserveError::InsufficientMemory),
    },
    Case {
        name: "a second copy ends when no order can be under way",
        steps: &[
            Report(0, 7, &[], &[]),
            Load(1, "a", 60),
            Given(1, 1),
            Given(1_000, 1),
            Report(1_001, 7, &[("a", 60)], &[(1, Done)]),
            Report(4_001, 7, &[], &[(1, Done)]),
        ],
        in_use_mib: 0,
        then_load: Ok(()),
    },
    Case {
        name: "a load given once and carried out can't reach the new run",
        steps: &[
            Report(0, 7, &[], &[]),
            Load(1, "a", 60),
            Given(1, 1),
            Report(1_001, 7, &[("a", 60)], &[(1, Done)]),
            Report(1_002, 8, &[], &[]),
        ],
        in_use_mib: 0,
        then_load: Ok(()),
    },
    Case {
        name: "a reserved order is dropped at a restart",
        steps: &[
            Report(0, 7, &[], &[]),
            Load(1, "a", 60),
            Report(2, 8, &[], &[]),
        ],
        in_use_mib: 0,
        then_load: Ok(()),
    },
    Case {
        name: "a report made before the record was read may miss what it left out",
        steps: &[Report(0, 7, &[], &[]), Adopt(1, 9, false, "a", 30)],
        in_use_mib: 0,
        then_load: Err(ReserveError::NoCurrentReport),
    },
    Case {
        name: "a resident of nobody's order counts",
        steps: &[Report(0, 7, &[("x", 70)], &[])],
        in_use_mib: 70,
        then_load: Err(ReserveError::InsufficientMemory),
    },
];

/// The caller sees nothing of this: an order's answer is lost or late, or its
/// giver is gone, and the ledger must count what may still come. A wrong count
/// would let the next load overcommit the accelerator.
#[test]
fn memory_counts_until_the_upstream_shows_its_end() {
    for case in CASES {
        let mut ledger = ledger();
        for step in case.steps {
            apply(&mut ledger, step).expect(case.name);
        }
        assert_eq!(ledger.in_use_mib(0), case.in_use_mib, "{}", case.name);
        let then = apply(&mut ledger, &Load(99, "other", 60));
        assert_eq!(then, case.then_load, "{}", case.name);
        assert!(ledger.in_use_mib(0) <= 100, "{}", case.name);
    }
}

/// An agent reads its record before it has a configuration, so it does not know
/// the order delay yet. A dead predecessor's load must not end by a delay of
/// zero: it counts until the delay is known and has passed.
#[test]
fn nothing_ends_by_a_delay_that_is_not_known() {
    let mut ledger = Ledger::new();
    let before = [
        Report(0, 7, &[], &[]),
        Adopt(1, 9, true, "a", 60),
        Died(1),
        Report(10_000, 7, &[], &[]),
    ];
    for step in &before {
        apply(&mut ledger, step).expect("no order is reserved");
    }
    assert_eq!(ledger.in_use_mib(0), 60);
    ledger.configure(&[100], BTreeMap::new(), DELAY_MS);
    apply(&mut ledger, &Report(10_001, 7, &[], &[])).expect("a report");
    assert_eq!(ledger.in_use_mib(0), 0);
}
