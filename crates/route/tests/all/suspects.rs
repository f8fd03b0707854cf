use base::prelude::*;
use route::{CrashVerdict, SuspectRequests, exclusive_run_owner};
use schema::link::Suspect;

const VERDICT_MS: u64 = 600_000;
const CRASHING: u64 = 7;

/// A crash report: agent, upstream incarnation, fingerprints in flight, and whether
/// the request was the sole one.
type Crash = (&'static str, u64, &'static [u64], bool);

fn suspects_after(crashes: &[Crash]) -> SuspectRequests {
    let mut suspects = SuspectRequests::new(VERDICT_MS);
    report_crashes(&mut suspects, crashes);
    suspects
}

fn report_crashes(suspects: &mut SuspectRequests, crashes: &[Crash]) {
    for (agent, incarnation, fingerprints, sole_request) in crashes {
        let agent = AgentId::new(agent);
        suspects.record_crash(
            Instant::ZERO,
            fingerprints,
            &agent,
            *incarnation,
            *sole_request,
        );
    }
}

fn merge_all(to: &mut SuspectRequests, from: &SuspectRequests, now: Instant) -> bool {
    let mut changed = false;
    for suspect in from.export(now) {
        changed |= to.merge(now, &suspect);
    }
    changed
}

const CONVICTED: CrashVerdict = CrashVerdict::Convicted {
    remaining_ms: VERDICT_MS,
};

/// Guards against a request that crashes one upstream after another. One crash
/// makes it a suspect, and crashes of two different upstreams convict it, even if
/// concurrent copies of it met them. Other requests are not convicted for one
/// crash, nor for several of one upstream.
#[test]
fn crashes_of_two_upstreams_convict() {
    let cases: [(&str, &[Crash], CrashVerdict); 11] = [
        ("no crash", &[], CrashVerdict::Clear),
        (
            "a crash of other requests",
            &[("a", 1, &[8, 9], false)],
            CrashVerdict::Clear,
        ),
        (
            "one crash among other requests",
            &[("a", 1, &[7, 8], false)],
            CrashVerdict::Suspect,
        ),
        (
            "one crash as the sole request",
            &[("a", 1, &[7], true)],
            CrashVerdict::Suspect,
        ),
        (
            "two crashes among other requests",
            &[("a", 1, &[7, 8], false), ("b", 1, &[7, 9], false)],
            CONVICTED,
        ),
        (
            "among other requests, then as the sole request",
            &[("a", 1, &[7, 8], false), ("b", 1, &[7], true)],
            CONVICTED,
        ),
        (
            "the same in the opposite order, as reports may arrive",
            &[("b", 1, &[7], true), ("a", 1, &[7, 8], false)],
            CONVICTED,
        ),
        (
            "one crash reported by two entries",
            &[("a", 1, &[7], true), ("a", 1, &[7], true)],
            CrashVerdict::Suspect,
        ),
        (
            "the same upstream twice, which may be faulty itself",
            &[("a", 1, &[7, 8], false), ("a", 2, &[7], true)],
            CrashVerdict::Suspect,
        ),
        (
            "a report that names two sole requests",
            &[("a", 1, &[7, 8], true)],
            CrashVerdict::Suspect,
        ),
        (
            "the same upstream twice among other requests",
            &[("a", 1, &[7, 8], false), ("a", 2, &[7, 9], false)],
            CrashVerdict::Suspect,
        ),
    ];
    for (name, crashes, expected) in cases {
        let mut suspects = suspects_after(crashes);
        assert_eq!(
            suspects.verdict(Instant::ZERO, CRASHING),
            expected,
            "{name}"
        );
    }
}

/// Requests that were merely in flight at a crash are cleared by an exclusive run
/// that completes, also at entries that learn of it later.
#[test]
fn a_completed_exclusive_run_clears_a_suspect() {
    let now = Instant::ZERO;
    let mut here = suspects_after(&[("a", 1, &[7, 8, 9], false)]);
    let mut there = SuspectRequests::new(VERDICT_MS);
    assert!(merge_all(&mut there, &here, now));
    here.record_completed_exclusive_run(8);
    assert_eq!(here.verdict(now, 8), CrashVerdict::Clear);
    assert_eq!(here.verdict(now, 9), CrashVerdict::Suspect);
    assert!(
        !merge_all(&mut here, &there, now),
        "an older state does not undo it"
    );
    assert_eq!(here.verdict(now, 8), CrashVerdict::Clear);
    assert!(merge_all(&mut there, &here, now));
    assert_eq!(there.verdict(now, 8), CrashVerdict::Clear);

    report_crashes(&mut here, &[("b", 1, &[8], true)]);
    assert_eq!(
        here.verdict(now, 8),
        CrashVerdict::Suspect,
        "later crashes count again"
    );
    here.record_crash(now, &[7], &AgentId::new("b"), 2, true);
    here.record_completed_exclusive_run(7);
    assert_eq!(
        here.verdict(now, 7),
        CONVICTED,
        "a conviction is not undone"
    );
}

/// Two entries each know one of two crashes. Both must convict the request once
/// they have exchanged them, in whatever order.
#[test]
fn entries_come_to_the_same_verdict() {
    let now = Instant::ZERO;
    let halves: [&[Crash]; 2] = [&[("a", 1, &[7, 8], false)], &[("b", 1, &[7], true)]];
    for (first, second) in [(0, 1), (1, 0)] {
        let (mut here, mut there) = (
            suspects_after(halves[first]),
            suspects_after(halves[second]),
        );
        assert!(merge_all(&mut here, &there, now));
        assert!(
            !merge_all(&mut here, &there, now),
            "the same state again changes nothing"
        );
        assert_eq!(here.verdict(now, CRASHING), CONVICTED);
        assert!(merge_all(&mut there, &here, now));
        assert_eq!(there.verdict(now, CRASHING), CONVICTED);
        let mut third = SuspectRequests::new(VERDICT_MS);
        assert!(merge_all(&mut third, &there, now));
        assert_eq!(third.verdict(now, CRASHING), CONVICTED);
        assert_eq!(third.verdict(now, 8), there.verdict(now, 8));
    }
}

/// A peer may know of a conviction but no longer of its crashes.
#[test]
fn a_conviction_is_merged_without_its_crashes() {
    let message = Suspect {
        fingerprint: CRASHING,
        convicted: true,
        remaining_ms: VERDICT_MS,
        ..Suspect::default()
    };
    let mut here = SuspectRequests::new(VERDICT_MS);
    let mut there = SuspectRequests::new(VERDICT_MS);
    assert!(here.merge(Instant::ZERO, &message));
    assert!(merge_all(&mut there, &here, Instant::ZERO));
    assert_eq!(there.verdict(Instant::ZERO, CRASHING), CONVICTED);
}

/// Guards against verdicts that never expire because entries keep sending them to
/// each other, here with a delay of 300 ms each way.
#[test]
fn a_verdict_expires() {
    let crashes: &[Crash] = &[("a", 1, &[7, 8], false), ("b", 1, &[7], true)];
    let (mut here, mut there) =
        (suspects_after(crashes), SuspectRequests::new(VERDICT_MS));
    let mut messages = here.export(Instant::ZERO);
    let mut now = Instant::ZERO;
    while now < Instant::from_ms(VERDICT_MS + 10_000) {
        now = now.plus_ms(300);
        for suspect in &messages {
            there.merge(now, suspect);
            here.merge(now, suspect);
        }
        messages = there.export(now);
        messages.extend(here.export(now));
    }
    assert_eq!(here.verdict(now, CRASHING), CrashVerdict::Clear);
    assert_eq!(there.verdict(now, CRASHING), CrashVerdict::Clear);
    assert!(here.is_empty() && there.is_empty());
}

/// A suspect request reaches three entries at once. Only the owner of the model may
/// run it, and only one suspect of a model at a time.
#[test]
fn one_entry_runs_one_suspect_of_a_model() {
    let entries = ["e1", "e2", "e3"].map(EntryId::new);
    let model = ModelId::new("m");
    let owner = exclusive_run_owner(&model, &entries).expect("there are entries");
    let mut started = 0;
    for entry in &entries {
        let mut suspects = suspects_after(&[("a", 1, &[7, 8], false)]);
        suspects.set_entries(entries.to_vec());
        let first = suspects.try_start_exclusive_run(&model, 7, entry);
        assert_eq!(first, entry == owner);
        assert!(
            !suspects.try_start_exclusive_run(&model, 8, entry),
            "one at a time"
        );
        started += usize::from(first);
        suspects.end_exclusive_run(&model, 8);
        assert!(
            !suspects.try_start_exclusive_run(&model, 8, entry),
            "the run of another request is not ended"
        );
        suspects.end_exclusive_run(&model, 7);
        assert_eq!(
            suspects.try_start_exclusive_run(&model, 8, entry),
            entry == owner
        );
    }
    assert_eq!(started, 1);
}

/// An entry becomes the owner of a model while the previous owner still has an
/// exclusive run. It must wait until it is told that this run has ended, or until
/// it has received nothing about it for five seconds.
#[test]
fn a_new_owner_waits_for_the_old() {
    let (model, old, new) = (ModelId::new("m"), EntryId::new("e1"), EntryId::new("e2"));
    for end_received in [true, false] {
        let mut at_old = suspects_after(&[("a", 1, &[7, 8], false)]);
        let mut at_new = SuspectRequests::new(VERDICT_MS);
        assert!(at_old.try_start_exclusive_run(&model, 7, &old));
        merge_all(&mut at_new, &at_old, Instant::ZERO);
        assert!(!at_new.try_start_exclusive_run(&model, 8, &new));
        let mut now = Instant::from_ms(4_999);
        if end_received {
            at_old.end_exclusive_run(&model, 7);
            merge_all(&mut at_new, &at_old, now);
        } else {
            at_new.verdict(now, 8);
            assert!(!at_new.try_start_exclusive_run(&model, 8, &new));
            now = Instant::from_ms(5_000);
            at_new.verdict(now, 8);
        }
        assert!(
            at_new.try_start_exclusive_run(&model, 8, &new),
            "end received: {end_received}"
        );
    }
}

/// The exclusive run must avoid agents whose upstreams the request has crashed, so
/// these are listed as long as the crashes count.
#[test]
fn crashed_agents_are_named() {
    let listed = |suspects: &SuspectRequests| -> Vec<AgentId> {
        suspects.crashed_agents(7).collect()
    };
    let mut cleared = suspects_after(&[("a", 1, &[7, 8], false)]);
    assert_eq!(listed(&cleared), [AgentId::new("a")]);
    cleared.record_completed_exclusive_run(7);
    assert!(listed(&cleared).is_empty());
    let mut both =
        suspects_after(&[("a", 1, &[7, 8], false), ("b", 1, &[7, 9], false)]);
    assert!(!both.crashed_as_sole_request(7));
    both.record_completed_exclusive_run(7);
    assert_eq!(listed(&both), ["a", "b"].map(AgentId::new));
}

/// Guards against a third run after two copies of a request, sent through two
/// entries, met crashes of two upstreams. A crash before a completed exclusive run
/// does not count.
#[test]
fn concurrent_copies_are_not_run_a_third_time() {
    let now = Instant::ZERO;
    let mut here = suspects_after(&[("a", 1, &[7, 8], false)]);
    let mut there = suspects_after(&[("b", 1, &[7, 9], false)]);
    assert!(merge_all(&mut here, &there, now));
    assert!(merge_all(&mut there, &here, now));
    for suspects in [&mut here, &mut there] {
        assert_eq!(suspects.verdict(now, CRASHING), CONVICTED);
        assert_eq!(suspects.verdict(now, 9), CrashVerdict::Suspect);
    }

    let mut cleared = suspects_after(&[("a", 1, &[7, 8], false)]);
    cleared.record_completed_exclusive_run(7);
    report_crashes(&mut cleared, &[("b", 1, &[7, 9], false)]);
    assert_eq!(cleared.verdict(now, CRASHING), CrashVerdict::Suspect);
}

/// Guards against unbounded memory when many crashes are reported and a peer sends
/// invalid records. A conviction must outlive the many suspects.
#[test]
fn memory_is_bounded() {
    let mut suspects =
        suspects_after(&[("a", 1, &[7, 8], false), ("b", 1, &[7], true)]);
    for round in 0..6u64 {
        let many_fingerprints: Vec<u64> =
            (0..1_000).map(|n| 1_000 + round * 1_000 + n).collect();
        suspects.record_crash(
            Instant::ZERO,
            &many_fingerprints,
            &AgentId::new("c"),
            round,
            false,
        );
    }
    for incarnation in 0..1_000 {
        suspects.record_crash(
            Instant::ZERO,
            &[7],
            &AgentId::new("d"),
            incarnation,
            false,
        );
    }
    let mut empty = SuspectRequests::new(VERDICT_MS);
    for fingerprint in 0..100 {
        let invalid = Suspect {
            fingerprint: 1 << 40 | fingerprint,
            remaining_ms: u64::MAX,
            ..Suspect::default()
        };
        assert!(!empty.merge(Instant::ZERO, &invalid));
    }
    assert!(empty.is_empty());
    assert!(suspects.len() <= 4_096, "{}", suspects.len());
    assert_eq!(suspects.verdict(Instant::ZERO, CRASHING), CONVICTED);
    let messages = suspects.export(Instant::ZERO);
    assert!(messages.iter().all(|suspect| suspect.crashes.len() <= 8));
}

/// After many crashes of one upstream, a crash of another still convicts.
#[test]
fn a_long_list_of_crashes_still_convicts() {
    let mut suspects = SuspectRequests::new(VERDICT_MS);
    for incarnation in 0..20 {
        let agent = AgentId::new("a");
        suspects.record_crash(Instant::ZERO, &[7, 8], &agent, incarnation, false);
    }
    report_crashes(&mut suspects, &[("b", 1, &[7], true)]);
    assert_eq!(suspects.verdict(Instant::ZERO, CRASHING), CONVICTED);
}

/// Guards against messages that exceed the links' capacity after crashes with three
/// hundred requests in flight. Each message is bounded, contains the newest
/// suspect, and the rotation covers all suspects.
#[test]
fn messages_carry_suspects_in_batches() {
    const MAX: usize = 16;
    let mut suspects = SuspectRequests::new(60_000);
    let many: Vec<u64> = (1_000..1_300).collect();
    suspects.record_crash(Instant::ZERO, &many, &AgentId::new("a"), 1, false);
    let now = Instant::ZERO.plus_ms(5_000);
    suspects.record_crash(now, &[7], &AgentId::new("b"), 1, false);
    let mut exported = std::collections::BTreeSet::new();
    for round in 0..=(many.len() / MAX) as u64 {
        let batch = suspects.export_batch(now, round, MAX);
        assert!(batch.len() <= 2 * MAX, "{}", batch.len());
        assert!(batch.iter().any(|suspect| suspect.fingerprint == 7));
        exported.extend(batch.iter().map(|suspect| suspect.fingerprint));
    }
    assert_eq!(exported.len(), many.len() + 1);
}
