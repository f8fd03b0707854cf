use base::prelude::*;
use route::{BreakerState, CircuitBreaker, Permission, probing_entry};

fn failed(now: Instant) -> CircuitBreaker {
    let mut breaker = CircuitBreaker::new();
    for _ in 0..5 {
        breaker.record_outcome(now, false, false);
    }
    breaker
}

/// Guards against probes from every entry, which would be load for a failing
/// upstream. Only the prober sends them, one at a time, and its success closes all
/// breakers.
#[test]
fn one_entry_probes_for_all() {
    let start = Instant::ZERO;
    let mut first = failed(start);
    let mut second = CircuitBreaker::new();
    assert_eq!(second.acquire_permission(start, false), Permission::Granted);
    second.merge(start, first.state());
    assert_eq!(second.acquire_permission(start, false), Permission::Denied);
    let later = start.plus_ms(1_000);
    assert_eq!(
        second.acquire_permission(later, false),
        Permission::Denied,
        "it is not the prober"
    );
    assert_eq!(first.acquire_permission(later, true), Permission::Probe);
    assert_eq!(
        first.acquire_permission(later, true),
        Permission::Denied,
        "one probe at a time"
    );

    first.record_outcome(later, false, true);
    assert_eq!(
        first.acquire_permission(later, true),
        Permission::Denied,
        "not before the probe interval"
    );
    let later = later.plus_ms(1_000);
    assert_eq!(first.acquire_permission(later, true), Permission::Probe);
    first.record_outcome(later, true, true);
    second.merge(later, first.state());
    assert_eq!(second.acquire_permission(later, false), Permission::Granted);
}

/// A late success does not close a breaker, scattered failures do not open it, and
/// only a newer state of another entry is adopted.
#[test]
fn stale_information_does_not_change_a_breaker() {
    let now = Instant::ZERO;
    let mut late = failed(now);
    late.record_outcome(now, true, false);
    assert!(
        late.is_open(),
        "a request sent before the fault succeeded late"
    );

    let mut mixed = CircuitBreaker::new();
    for _ in 0..4 {
        (0..4).for_each(|_| mixed.record_outcome(now, false, false));
        mixed.record_outcome(now, true, false);
    }
    assert!(!mixed.is_open(), "only consecutive failures count");

    let open = failed(now).state();
    for (from, expected) in [
        (
            BreakerState {
                version: 0,
                open: false,
            },
            true,
        ),
        (
            BreakerState {
                version: 1,
                open: false,
            },
            true,
        ),
        (
            BreakerState {
                version: 2,
                open: false,
            },
            false,
        ),
        (
            BreakerState {
                version: u64::MAX,
                open: true,
            },
            true,
        ),
    ] {
        let mut breaker = failed(now);
        assert_eq!(breaker.state(), open);
        breaker.merge(now, from);
        assert_eq!(breaker.is_open(), expected, "{from:?}");
    }
}

/// All entries choose the same prober in whatever order they list the entries.
#[test]
fn all_entries_agree_on_the_prober() {
    let entries = ["e1", "e2", "e3"].map(EntryId::new);
    let agent = AgentId::new("a1");
    let chosen = probing_entry(&agent, &entries);
    assert!(chosen.is_some());
    assert_eq!(probing_entry(&agent, entries.iter().rev()), chosen);
    assert_eq!(probing_entry(&agent, &[]), None);
}
