use base::prelude::*;
use route::{Allow, HealthView, UpstreamHealth, prober};

fn failed(now: Instant) -> UpstreamHealth {
    let mut health = UpstreamHealth::new();
    for _ in 0..5 {
        health.observe(now, false, false);
    }
    health
}

/// One upstream is out. The entry that found out tells the others; only one of
/// them probes, one request at a time, and its success opens the way for all.
#[test]
fn one_entry_probes_for_all() {
    let start = Instant::ZERO;
    let mut first = failed(start);
    let mut second = UpstreamHealth::new();
    assert_eq!(second.allow(start, false), Allow::Yes);
    second.merge(start, first.view());
    assert_eq!(second.allow(start, false), Allow::No);
    let later = start.plus_ms(1_000);
    assert_eq!(
        second.allow(later, false),
        Allow::No,
        "it is not the prober"
    );
    assert_eq!(first.allow(later, true), Allow::Probe);
    assert_eq!(first.allow(later, true), Allow::No, "one probe at a time");

    first.observe(later, false, true);
    assert_eq!(
        first.allow(later, true),
        Allow::No,
        "not before the interval"
    );
    let later = later.plus_ms(1_000);
    assert_eq!(first.allow(later, true), Allow::Probe);
    first.observe(later, true, true);
    second.merge(later, first.view());
    assert_eq!(second.allow(later, false), Allow::Yes);
}

/// What changes a verdict and what does not.
#[test]
fn only_news_changes_a_verdict() {
    let now = Instant::ZERO;
    let mut late = failed(now);
    late.observe(now, true, false);
    assert!(
        late.is_open(),
        "a success of a request sent before the fault"
    );

    let mut mixed = UpstreamHealth::new();
    for _ in 0..4 {
        (0..4).for_each(|_| mixed.observe(now, false, false));
        mixed.observe(now, true, false);
    }
    assert!(
        !mixed.is_open(),
        "failures in a row count, not scattered ones"
    );

    let open = failed(now).view();
    for (from, expected) in [
        (
            HealthView {
                version: 0,
                open: false,
            },
            true,
        ),
        (
            HealthView {
                version: 1,
                open: false,
            },
            true,
        ),
        (
            HealthView {
                version: 2,
                open: false,
            },
            false,
        ),
        (
            HealthView {
                version: u64::MAX,
                open: true,
            },
            true,
        ),
    ] {
        let mut health = failed(now);
        assert_eq!(health.view(), open);
        health.merge(now, from);
        assert_eq!(health.is_open(), expected, "{from:?}");
    }
}

/// The prober does not depend on the order in which entries are known.
#[test]
fn all_entries_agree_on_the_prober() {
    let entries = ["e1", "e2", "e3"].map(EntryId::new);
    let agent = AgentId::new("a1");
    let chosen = prober(&agent, &entries);
    assert!(chosen.is_some());
    assert_eq!(prober(&agent, entries.iter().rev()), chosen);
    assert_eq!(prober(&agent, &[]), None);
}
