//! Which memory the ledger counts as in use, from an order until the upstream
//! reports its end.

use crate::steps::Step::{
    self, Accepted, Adopt, IssuerDied, Load, Refused, Report, Sent, Unload,
};
use crate::steps::{ORDER_DELAY_MAX_MS, apply, configured_ledger};
use mem::ReportedOrderState::{Done, Failed, InProgress};
use mem::{Ledger, ReserveError};
use std::collections::BTreeMap;

struct Case {
    name: &'static str,
    steps: &'static [Step],
    in_use_mib: u64,
    /// Result of reserving a load of 60 MiB of another model after the steps.
    next_load: Result<(), ReserveError>,
}

const CASES: &[Case] = &[
    Case {
        name: "an unanswered load counts",
        steps: &[Report(0, 7, &[], &[]), Load(1, "a", 60), Sent(1, 1)],
        in_use_mib: 60,
        next_load: Err(ReserveError::InsufficientMemory),
    },
    Case {
        name: "a load and its reported resident count once",
        steps: &[
            Load(1, "a", 30),
            Sent(1, 1),
            Report(2, 7, &[("a", 30)], &[(1, InProgress)]),
        ],
        in_use_mib: 30,
        next_load: Ok(()),
    },
    Case {
        name: "a failed load does not count",
        steps: &[
            Load(1, "a", 60),
            Sent(1, 1),
            Report(2, 7, &[], &[(1, Failed)]),
        ],
        in_use_mib: 0,
        next_load: Ok(()),
    },
    Case {
        name: "a load that the report does not list still counts",
        steps: &[
            Load(1, "a", 60),
            Sent(1, 1),
            Accepted(1),
            Report(2, 7, &[], &[]),
        ],
        in_use_mib: 60,
        next_load: Err(ReserveError::InsufficientMemory),
    },
    Case {
        name: "an unanswered unload frees nothing",
        steps: &[Report(0, 7, &[("a", 60)], &[]), Unload(1, "a"), Sent(1, 1)],
        in_use_mib: 60,
        next_load: Err(ReserveError::InsufficientMemory),
    },
    Case {
        name: "an unload frees memory once it is reported",
        steps: &[
            Report(0, 7, &[("a", 60)], &[]),
            Unload(1, "a"),
            Sent(1, 1),
            Report(2, 7, &[], &[(1, Done)]),
        ],
        in_use_mib: 0,
        next_load: Ok(()),
    },
    Case {
        name: "an older report that lacks a model is dropped",
        steps: &[Report(5, 7, &[("a", 60)], &[]), Report(4, 7, &[], &[])],
        in_use_mib: 60,
        next_load: Err(ReserveError::InsufficientMemory),
    },
    Case {
        name: "a refused load does not count",
        steps: &[Load(1, "a", 60), Sent(1, 1), Refused(2, 1)],
        in_use_mib: 0,
        next_load: Ok(()),
    },
    Case {
        name: "refusing the second copy leaves the unanswered first one",
        steps: &[Load(1, "a", 60), Sent(1, 1), Sent(2, 1), Refused(3, 1)],
        in_use_mib: 60,
        next_load: Err(ReserveError::InsufficientMemory),
    },
    Case {
        name: "the unanswered first copy expires after the order delay",
        steps: &[
            Load(1, "a", 60),
            Sent(1, 1),
            Sent(2, 1),
            Refused(3, 1),
            Report(3_003, 7, &[], &[]),
        ],
        in_use_mib: 0,
        next_load: Ok(()),
    },
    Case {
        name: "a predecessor's load counts",
        steps: &[Adopt(0, 9, true, "a", 60), Report(1, 7, &[], &[])],
        in_use_mib: 60,
        next_load: Err(ReserveError::InsufficientMemory),
    },
    Case {
        name: "a load counts while its issuer, a predecessor, may be alive",
        steps: &[
            Report(0, 7, &[], &[]),
            Adopt(1, 9, true, "a", 60),
            Report(60_000, 7, &[], &[]),
        ],
        in_use_mib: 60,
        next_load: Err(ReserveError::InsufficientMemory),
    },
    Case {
        name: "a dead predecessor's load counts for the order delay",
        steps: &[
            Report(0, 7, &[], &[]),
            Adopt(1, 9, true, "a", 60),
            IssuerDied(2),
            Report(3_001, 7, &[], &[]),
        ],
        in_use_mib: 60,
        next_load: Err(ReserveError::InsufficientMemory),
    },
    Case {
        name: "a dead predecessor's load expires after the order delay",
        steps: &[
            Report(0, 7, &[], &[]),
            Adopt(1, 9, true, "a", 60),
            IssuerDied(2),
            Report(3_002, 7, &[], &[]),
        ],
        in_use_mib: 0,
        next_load: Ok(()),
    },
    Case {
        name: "a dead predecessor's load does not expire while in progress",
        steps: &[
            Report(0, 7, &[], &[]),
            Adopt(1, 9, true, "a", 60),
            IssuerDied(2),
            Report(3_002, 7, &[], &[(9, InProgress)]),
        ],
        in_use_mib: 60,
        next_load: Err(ReserveError::InsufficientMemory),
    },
    Case {
        name: "a live predecessor may send its load to the new incarnation",
        steps: &[
            Report(0, 7, &[], &[]),
            Adopt(1, 9, true, "a", 60),
            Report(2, 8, &[], &[]),
            Report(60_000, 8, &[], &[]),
        ],
        in_use_mib: 60,
        next_load: Err(ReserveError::InsufficientMemory),
    },
    Case {
        name: "a predecessor's load still counts after another order loaded its model",
        steps: &[
            Report(0, 7, &[], &[]),
            Adopt(1, 9, true, "a", 60),
            Report(2, 7, &[("a", 60)], &[]),
            Report(3, 7, &[], &[]),
        ],
        in_use_mib: 60,
        next_load: Err(ReserveError::InsufficientMemory),
    },
    Case {
        name: "an order in flight at a restart may reach the new incarnation",
        steps: &[
            Report(0, 7, &[], &[]),
            Load(1, "a", 60),
            Sent(1, 1),
            Report(2, 8, &[], &[]),
        ],
        in_use_mib: 60,
        next_load: Err(ReserveError::InsufficientMemory),
    },
    Case {
        name: "an order in flight at a restart expires after the order delay",
        steps: &[
            Report(0, 7, &[], &[]),
            Load(1, "a", 60),
            Sent(1, 1),
            Report(2, 8, &[], &[]),
            Report(3_002, 8, &[], &[]),
        ],
        in_use_mib: 0,
        next_load: Ok(()),
    },
    Case {
        name: "a second copy may reach the new incarnation after the first ended",
        steps: &[
            Report(0, 7, &[], &[]),
            Load(1, "a", 60),
            Sent(1, 1),
            Sent(1_000, 1),
            Report(1_001, 7, &[("a", 60)], &[(1, Done)]),
            Report(1_002, 8, &[], &[]),
        ],
        in_use_mib: 60,
        next_load: Err(ReserveError::InsufficientMemory),
    },
    Case {
        name: "a second copy counts although the model is no longer loaded",
        steps: &[
            Report(0, 7, &[], &[]),
            Load(1, "a", 60),
            Sent(1, 1),
            Sent(1_000, 1),
            Report(1_001, 7, &[("a", 60)], &[(1, Done)]),
            Report(1_002, 7, &[], &[(1, Done)]),
        ],
        in_use_mib: 60,
        next_load: Err(ReserveError::InsufficientMemory),
    },
    Case {
        name: "a second copy expires after the order delay",
        steps: &[
            Report(0, 7, &[], &[]),
            Load(1, "a", 60),
            Sent(1, 1),
            Sent(1_000, 1),
            Report(1_001, 7, &[("a", 60)], &[(1, Done)]),
            Report(4_001, 7, &[], &[(1, Done)]),
        ],
        in_use_mib: 0,
        next_load: Ok(()),
    },
    Case {
        name: "a load sent once that ended can't reach the new incarnation",
        steps: &[
            Report(0, 7, &[], &[]),
            Load(1, "a", 60),
            Sent(1, 1),
            Report(1_001, 7, &[("a", 60)], &[(1, Done)]),
            Report(1_002, 8, &[], &[]),
        ],
        in_use_mib: 0,
        next_load: Ok(()),
    },
    Case {
        name: "a reserved, unsent order is dropped at a restart",
        steps: &[
            Report(0, 7, &[], &[]),
            Load(1, "a", 60),
            Report(2, 8, &[], &[]),
        ],
        in_use_mib: 0,
        next_load: Ok(()),
    },
    Case {
        name: "a report older than the adopted intents may lack ended orders",
        steps: &[Report(0, 7, &[], &[]), Adopt(1, 9, false, "a", 30)],
        in_use_mib: 0,
        next_load: Err(ReserveError::NoCurrentReport),
    },
    Case {
        name: "a resident that no agent ordered counts",
        steps: &[Report(0, 7, &[("x", 70)], &[])],
        in_use_mib: 70,
        next_load: Err(ReserveError::InsufficientMemory),
    },
];

/// Guards against overcommitting an accelerator: when the response to an order
/// is lost or late, or the agent that issued it is dead, the order may still
/// take effect, and the next load must not be given its memory.
#[test]
fn memory_is_counted_until_the_upstream_reports_its_end() {
    for case in CASES {
        let mut ledger = configured_ledger();
        for step in case.steps {
            apply(&mut ledger, step).expect(case.name);
        }
        assert_eq!(ledger.in_use_mib(0), case.in_use_mib, "{}", case.name);
        let next_load = apply(&mut ledger, &Load(99, "other", 60));
        assert_eq!(next_load, case.next_load, "{}", case.name);
        assert!(ledger.in_use_mib(0) <= 100, "{}", case.name);
    }
}

/// An agent reads the record of its predecessor before it has a configuration,
/// so it does not know the longest order delay yet. A dead predecessor's load
/// must not expire as if the delay were zero: it counts until the delay is
/// known and has passed.
#[test]
fn no_order_expires_before_the_order_delay_is_known() {
    let mut ledger = Ledger::new();
    let steps = [
        Report(0, 7, &[], &[]),
        Adopt(1, 9, true, "a", 60),
        IssuerDied(1),
        Report(10_000, 7, &[], &[]),
    ];
    for step in &steps {
        apply(&mut ledger, step).expect("only reserving can fail");
    }
    assert_eq!(ledger.in_use_mib(0), 60);
    ledger.configure(&[100], BTreeMap::new(), ORDER_DELAY_MAX_MS);
    apply(&mut ledger, &Report(10_001, 7, &[], &[]))
        .expect("applying a report can't fail");
    assert_eq!(ledger.in_use_mib(0), 0);
}
