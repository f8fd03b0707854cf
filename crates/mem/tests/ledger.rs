//! The ledger against orders that are lost, late, doubled or a predecessor's.

use base::{Epoch, Instant, ModelId};
use mem::{
    Blocked, Ledger, Placement, ReportedOrder, ReportedOrderState, ReportedResident,
    UpstreamState,
};
use schema::store::Intent;
use std::collections::BTreeMap;

const DELAY_MS: u32 = 3_000;
const OWN: Epoch = Epoch(2);
const PREDECESSOR: Epoch = Epoch(1);

/// One thing that happens, at a time in milliseconds where that matters.
enum Step {
    Load(u64, &'static str, u32),
    Unload(u64, &'static str),
    Given(u64, u64),
    Accepted(u64),
    Refused(u64, u64),
    Adopt(u64, u64, bool, &'static str, u32),
    Died(u64),
    /// Time made, incarnation, residents, orders.
    Report(
        u64,
        u64,
        &'static [(&'static str, u32)],
        &'static [(u64, ReportedOrderState)],
    ),
}

use ReportedOrderState::{Done, Failed, InProgress};
use Step::{Accepted, Adopt, Died, Given, Load, Refused, Report, Unload};

fn at(name: &str) -> Placement {
    Placement {
        accelerator: 0,
        model: ModelId::new(name),
        version: 1,
    }
}

fn ledger() -> Ledger {
    let mut ledger = Ledger::new();
    let bases = BTreeMap::from([(ModelId::new("a-adapter"), ModelId::new("a"))]);
    ledger.configure(&[100], bases, DELAY_MS);
    ledger
}

fn apply(ledger: &mut Ledger, step: &Step) -> Result<(), Blocked> {
    match *step {
        Load(id, model, size) => {
            return ledger.reserve(id, OWN, true, &at(model), size);
        }
        Unload(id, model) => return ledger.reserve(id, OWN, false, &at(model), 0),
        Given(ms, id) => ledger.given(Instant::from_ms(ms), id),
        Accepted(id) => ledger.accepted(id),
        Refused(ms, id) => drop(ledger.refused(Instant::from_ms(ms), id)),
        Adopt(ms, order, load, model, size_mib) => {
            let intent = Intent {
                order,
                epoch: PREDECESSOR.0,
                load,
                model: model.to_owned(),
                version: 1,
                accelerator: 0,
                size_mib,
                upstream_incarnation: 7,
                link_address: String::new(),
            };
            ledger.adopt(Instant::from_ms(ms), &[intent]);
        }
        Died(ms) => ledger.giver_died(Instant::from_ms(ms), PREDECESSOR, OWN),
        Report(ms, incarnation, residents, orders) => {
            let state = state(ms, incarnation, residents, orders);
            ledger.report(Instant::from_ms(ms), &state);
        }
    }
    Ok(())
}

fn state(
    ms: u64,
    incarnation: u64,
    residents: &[(&str, u32)],
    orders: &[(u64, ReportedOrderState)],
) -> UpstreamState {
    let residents = residents.iter().map(|(model, size)| ReportedResident {
        placement: at(model),
        size_mib: *size,
        loaded: true,
    });
    let orders = orders.iter().map(|(id, state)| ReportedOrder {
        id: *id,
        state: *state,
    });
    UpstreamState {
        incarnation,
        made_at: Instant::from_ms(ms),
        residents: residents.collect(),
        orders: orders.collect(),
    }
}

struct Case {
    name: &'static str,
    steps: &'static [Step],
    in_use_mib: u64,
    /// What loading 60 MiB of another model meets at the end.
    then_load: Result<(), Blocked>,
}

const CASES: &[Case] = &[
    Case {
        name: "a load that got no answer counts",
        steps: &[Report(0, 7, &[], &[]), Load(1, "a", 60), Given(1, 1)],
        in_use_mib: 60,
        then_load: Err(Blocked::NoRoom),
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
        then_load: Err(Blocked::NoRoom),
    },
    Case {
        name: "an unload that got no answer frees nothing",
        steps: &[Report(0, 7, &[("a", 60)], &[]), Unload(1, "a"), Given(1, 1)],
        in_use_mib: 60,
        then_load: Err(Blocked::NoRoom),
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
        then_load: Err(Blocked::NoRoom),
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
        then_load: Err(Blocked::NoRoom),
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
        then_load: Err(Blocked::NoRoom),
    },
    Case {
        name: "a predecessor's load counts as long as it may live",
        steps: &[
            Report(0, 7, &[], &[]),
            Adopt(1, 9, true, "a", 60),
            Report(60_000, 7, &[], &[]),
        ],
        in_use_mib: 60,
        then_load: Err(Blocked::NoRoom),
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
        then_load: Err(Blocked::NoRoom),
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
        then_load: Err(Blocked::NoRoom),
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
        then_load: Err(Blocked::NoRoom),
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
        then_load: Err(Blocked::NoRoom),
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
        then_load: Err(Blocked::NoRoom),
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
        then_load: Err(Blocked::NoRoom),
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
        then_load: Err(Blocked::NoRoom),
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
        then_load: Err(Blocked::Unseen),
    },
    Case {
        name: "a resident of nobody's order counts",
        steps: &[Report(0, 7, &[("x", 70)], &[])],
        in_use_mib: 70,
        then_load: Err(Blocked::NoRoom),
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

/// Steps, and what the last one meets.
type Last = (&'static str, &'static [Step], Step, Result<(), Blocked>);

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
            Err(Blocked::NoBase),
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
            Err(Blocked::NoBase),
        ),
        (
            "base about to go",
            &[Report(0, 7, &[("a", 60)], &[]), Unload(1, "a")],
            Load(2, "a-adapter", 10),
            Err(Blocked::NoBase),
        ),
        (
            "base about to go by a predecessor's order",
            &[Report(0, 7, &[("a", 60)], &[]), Adopt(0, 9, false, "a", 60)],
            Load(2, "a-adapter", 10),
            Err(Blocked::NoBase),
        ),
        (
            "adapter on top",
            &[Report(0, 7, &[("a", 60), ("a-adapter", 10)], &[])],
            Unload(1, "a"),
            Err(Blocked::UnderAdapter),
        ),
        (
            "adapter on its way",
            &[Report(0, 7, &[("a", 60)], &[]), Load(1, "a-adapter", 10)],
            Unload(2, "a"),
            Err(Blocked::UnderAdapter),
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
            Err(Blocked::Pending),
        ),
        (
            "load of what is there",
            &[Report(0, 7, &[("a", 30)], &[])],
            Load(1, "a", 30),
            Err(Blocked::Nothing),
        ),
        (
            "unload twice",
            &[Report(0, 7, &[("a", 30)], &[]), Unload(1, "a")],
            Unload(2, "a"),
            Err(Blocked::Pending),
        ),
        (
            "unload of what is not there",
            &[],
            Unload(1, "a"),
            Err(Blocked::Nothing),
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
            Err(Blocked::Pending),
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
    assert_eq!(refused, Err(Blocked::NoAccelerator));
}
