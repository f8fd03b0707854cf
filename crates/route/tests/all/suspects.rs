use base::prelude::*;
use route::{CrashVerdict, SuspectRequests, exclusive_run_owner};
use schema::link::Suspect;

const VERDICT_MS: u64 = 600_000;
const GUILTY: u64 = 7;

/// One crash: agent, upstream incarnation, fingerprints, alone.
type Crash = (&'static str, u64, &'static [u64], bool);

fn after(crashes: &[Crash]) -> SuspectRequests {
    let mut suspects = SuspectRequests::new(VERDICT_MS);
    report(&mut suspects, crashes);
    suspects
}

fn report(suspects: &mut SuspectRequests, crashes: &[Crash]) {
    for (agent, incarnation, fingerprints, alone) in crashes {
        let agent = AgentId::new(agent);
        suspects.record_crash(
            Instant::ZERO,
            fingerprints,
            &agent,
            *incarnation,
            *alone,
        );
    }
}

fn tell(to: &mut SuspectRequests, from: &SuspectRequests, now: Instant) -> bool {
    let mut changed = false;
    for suspect in from.export(now) {
        changed |= to.merge(now, &suspect);
    }
    changed
}

const CONVICTED: CrashVerdict = CrashVerdict::Convicted {
    remaining_ms: VERDICT_MS,
};

/// A request crashes the upstream that runs it. Its caller sees it retried
/// alone, and refused after a crash of a second upstream; whoever ran beside it
/// is not refused for one crash, nor for two of one upstream. Whoever was in
/// flight at crashes of two upstreams, as copies at once may be, is not run
/// again: a third run might be a third crash.
#[test]
fn crashes_of_two_upstreams_convict() {
    let cases: [(&str, &[Crash], CrashVerdict); 11] = [
        ("nothing", &[], CrashVerdict::Clear),
        (
            "of others",
            &[("a", 1, &[8, 9], false)],
            CrashVerdict::Clear,
        ),
        (
            "one among others",
            &[("a", 1, &[7, 8], false)],
            CrashVerdict::Suspect,
        ),
        ("one alone", &[("a", 1, &[7], true)], CrashVerdict::Suspect),
        (
            "twice among others",
            &[("a", 1, &[7, 8], false), ("b", 1, &[7, 9], false)],
            CONVICTED,
        ),
        (
            "among others, then alone",
            &[("a", 1, &[7, 8], false), ("b", 1, &[7], true)],
            CONVICTED,
        ),
        (
            "alone, then among others, as one entry may hear it",
            &[("b", 1, &[7], true), ("a", 1, &[7, 8], false)],
            CONVICTED,
        ),
        (
            "one crash reported by two entries",
            &[("a", 1, &[7], true), ("a", 1, &[7], true)],
            CrashVerdict::Suspect,
        ),
        (
            "the same upstream twice, which may be broken itself",
            &[("a", 1, &[7, 8], false), ("a", 2, &[7], true)],
            CrashVerdict::Suspect,
        ),
        (
            "a report that calls two requests alone",
            &[("a", 1, &[7, 8], true)],
            CrashVerdict::Suspect,
        ),
        (
            "the same upstream twice among others",
            &[("a", 1, &[7, 8], false), ("a", 2, &[7, 9], false)],
            CrashVerdict::Suspect,
        ),
    ];
    for (name, crashes, expected) in cases {
        let mut suspects = after(crashes);
        assert_eq!(suspects.verdict(Instant::ZERO, GUILTY), expected, "{name}");
    }
}

/// Bystanders of a crash run alone one after another, and each that ends whole
/// is free again, here and at entries that hear of it late.
#[test]
fn a_run_alone_clears_a_bystander() {
    let now = Instant::ZERO;
    let mut here = after(&[("a", 1, &[7, 8, 9], false)]);
    let mut there = SuspectRequests::new(VERDICT_MS);
    assert!(tell(&mut there, &here, now));
    here.record_completed_exclusive_run(8);
    assert_eq!(here.verdict(now, 8), CrashVerdict::Clear);
    assert_eq!(here.verdict(now, 9), CrashVerdict::Suspect);
    assert!(!tell(&mut here, &there, now), "old news does not undo it");
    assert_eq!(here.verdict(now, 8), CrashVerdict::Clear);
    assert!(tell(&mut there, &here, now));
    assert_eq!(there.verdict(now, 8), CrashVerdict::Clear);

    report(&mut here, &[("b", 1, &[8], true)]);
    assert_eq!(
        here.verdict(now, 8),
        CrashVerdict::Suspect,
        "it starts anew"
    );
    here.record_crash(now, &[7], &AgentId::new("b"), 2, true);
    here.record_completed_exclusive_run(7);
    assert_eq!(
        here.verdict(now, 7),
        CONVICTED,
        "no way back from a conviction"
    );
}

/// Two entries each saw one of the two crashes before they heard each other.
/// In whatever order they do, both refuse the request afterwards.
#[test]
fn entries_come_to_the_same_verdict() {
    let now = Instant::ZERO;
    let halves: [&[Crash]; 2] = [&[("a", 1, &[7, 8], false)], &[("b", 1, &[7], true)]];
    for (first, second) in [(0, 1), (1, 0)] {
        let (mut here, mut there) = (after(halves[first]), after(halves[second]));
        assert!(tell(&mut here, &there, now));
        assert!(!tell(&mut here, &there, now), "the same again is no news");
        assert_eq!(here.verdict(now, GUILTY), CONVICTED);
        assert!(tell(&mut there, &here, now));
        assert_eq!(there.verdict(now, GUILTY), CONVICTED);
        let mut third = SuspectRequests::new(VERDICT_MS);
        assert!(tell(&mut third, &there, now));
        assert_eq!(third.verdict(now, GUILTY), CONVICTED);
        assert_eq!(third.verdict(now, 8), there.verdict(now, 8));
    }
}

/// A peer may know of a conviction and no longer of its crashes.
#[test]
fn a_conviction_is_taken_over_without_its_crashes() {
    let word = Suspect {
        fingerprint: GUILTY,
        convicted: true,
        remaining_ms: VERDICT_MS,
        ..Suspect::default()
    };
    let mut here = SuspectRequests::new(VERDICT_MS);
    let mut there = SuspectRequests::new(VERDICT_MS);
    assert!(here.merge(Instant::ZERO, &word));
    assert!(tell(&mut there, &here, Instant::ZERO));
    assert_eq!(there.verdict(Instant::ZERO, GUILTY), CONVICTED);
}

/// A verdict ends, also when entries go on telling it to one another with a
/// delay of 300 ms each way.
#[test]
fn a_verdict_ends() {
    let crashes: &[Crash] = &[("a", 1, &[7, 8], false), ("b", 1, &[7], true)];
    let (mut here, mut there) = (after(crashes), SuspectRequests::new(VERDICT_MS));
    let mut told = here.export(Instant::ZERO);
    let mut now = Instant::ZERO;
    while now < Instant::from_ms(VERDICT_MS + 10_000) {
        now = now.plus_ms(300);
        for suspect in &told {
            there.merge(now, suspect);
            here.merge(now, suspect);
        }
        told = there.export(now);
        told.extend(here.export(now));
    }
    assert_eq!(here.verdict(now, GUILTY), CrashVerdict::Clear);
    assert_eq!(there.verdict(now, GUILTY), CrashVerdict::Clear);
    assert!(here.is_empty() && there.is_empty());
}

/// The same suspect is sent to three entries at once. Only the owner of the
/// model runs it, one suspect at a time; the others tell their callers when to
/// come back.
#[test]
fn one_entry_runs_one_suspect_of_a_model() {
    let entries = ["e1", "e2", "e3"].map(EntryId::new);
    let model = ModelId::new("m");
    let owner = exclusive_run_owner(&model, &entries).expect("there are entries");
    let mut started = 0;
    for entry in &entries {
        let mut suspects = after(&[("a", 1, &[7, 8], false)]);
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
            "not its to end"
        );
        suspects.end_exclusive_run(&model, 7);
        assert_eq!(
            suspects.try_start_exclusive_run(&model, 8, entry),
            entry == owner
        );
    }
    assert_eq!(started, 1);
}

/// An entry takes a model over while the old owner still runs a suspect of it.
/// It waits until it hears of the end, or of nothing for five seconds.
#[test]
fn a_new_owner_waits_for_the_old() {
    let (model, old, new) = (ModelId::new("m"), EntryId::new("e1"), EntryId::new("e2"));
    for heard_end in [true, false] {
        let mut at_old = after(&[("a", 1, &[7, 8], false)]);
        let mut at_new = SuspectRequests::new(VERDICT_MS);
        assert!(at_old.try_start_exclusive_run(&model, 7, &old));
        tell(&mut at_new, &at_old, Instant::ZERO);
        assert!(!at_new.try_start_exclusive_run(&model, 8, &new));
        let mut now = Instant::from_ms(4_999);
        if heard_end {
            at_old.end_exclusive_run(&model, 7);
            tell(&mut at_new, &at_old, now);
        } else {
            at_new.verdict(now, 8);
            assert!(!at_new.try_start_exclusive_run(&model, 8, &new));
            now = Instant::from_ms(5_000);
            at_new.verdict(now, 8);
        }
        assert!(
            at_new.try_start_exclusive_run(&model, 8, &new),
            "heard end: {heard_end}"
        );
    }
}

/// The run alone must show something new: the agents crashed before are named.
#[test]
fn crashed_agents_are_named() {
    let named = |suspects: &SuspectRequests| -> Vec<AgentId> {
        suspects.crashed_agents(7).collect()
    };
    let mut cleared = after(&[("a", 1, &[7, 8], false)]);
    assert_eq!(named(&cleared), [AgentId::new("a")]);
    cleared.record_completed_exclusive_run(7);
    assert!(named(&cleared).is_empty());
    let mut both = after(&[("a", 1, &[7, 8], false), ("b", 1, &[7, 9], false)]);
    assert!(!both.crashed_as_sole_request(7));
    both.record_completed_exclusive_run(7);
    assert_eq!(named(&both), ["a", "b"].map(AgentId::new));
}

/// Two copies of a request are in flight, through two entries, when two
/// upstreams die at once. Each entry saw one crash, so the caller sees no retry
/// from the moment on that they hear each other. A copy that had ended whole and
/// alone before the second crash is not held to the first.
#[test]
fn copies_at_once_are_not_run_a_third_time() {
    let now = Instant::ZERO;
    let mut here = after(&[("a", 1, &[7, 8], false)]);
    let mut there = after(&[("b", 1, &[7, 9], false)]);
    assert!(tell(&mut here, &there, now));
    assert!(tell(&mut there, &here, now));
    for suspects in [&mut here, &mut there] {
        assert_eq!(suspects.verdict(now, GUILTY), CONVICTED);
        assert_eq!(suspects.verdict(now, 9), CrashVerdict::Suspect);
    }

    let mut cleared = after(&[("a", 1, &[7, 8], false)]);
    cleared.record_completed_exclusive_run(7);
    report(&mut cleared, &[("b", 1, &[7, 9], false)]);
    assert_eq!(cleared.verdict(now, GUILTY), CrashVerdict::Suspect);
}

/// A flood of crash reports and a peer that sends nonsense cost no more memory
/// than the bound, and a conviction outlives the suspects of the flood.
#[test]
fn memory_is_bounded() {
    let mut suspects = after(&[("a", 1, &[7, 8], false), ("b", 1, &[7], true)]);
    for round in 0..6u64 {
        let flood: Vec<u64> = (0..1_000).map(|n| 1_000 + round * 1_000 + n).collect();
        suspects.record_crash(Instant::ZERO, &flood, &AgentId::new("c"), round, false);
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
        let nonsense = Suspect {
            fingerprint: 1 << 40 | fingerprint,
            remaining_ms: u64::MAX,
            ..Suspect::default()
        };
        assert!(!empty.merge(Instant::ZERO, &nonsense));
    }
    assert!(empty.is_empty());
    assert!(suspects.len() <= 4_096, "{}", suspects.len());
    assert_eq!(suspects.verdict(Instant::ZERO, GUILTY), CONVICTED);
    let told = suspects.export(Instant::ZERO);
    assert!(told.iter().all(|suspect| suspect.crashes.len() <= 8));
}

/// After many crashes of one upstream the crash of another still convicts.
#[test]
fn a_long_list_of_crashes_still_convicts() {
    let mut suspects = SuspectRequests::new(VERDICT_MS);
    for incarnation in 0..20 {
        let agent = AgentId::new("a");
        suspects.record_crash(Instant::ZERO, &[7, 8], &agent, incarnation, false);
    }
    report(&mut suspects, &[("b", 1, &[7], true)]);
    assert_eq!(suspects.verdict(Instant::ZERO, GUILTY), CONVICTED);
}

/// Upstreams crash with three hundred requests in flight. No message tells more
/// than its part, a new suspect is in the first one, and each is told within as
/// many messages as the parts are.
#[test]
fn messages_tell_suspects_in_parts() {
    const MOST: usize = 16;
    let mut suspects = SuspectRequests::new(60_000);
    let many: Vec<u64> = (1_000..1_300).collect();
    suspects.record_crash(Instant::ZERO, &many, &AgentId::new("a"), 1, false);
    let now = Instant::ZERO.plus_ms(5_000);
    suspects.record_crash(now, &[7], &AgentId::new("b"), 1, false);
    let mut told = std::collections::BTreeSet::new();
    for turn in 0..=(many.len() / MOST) as u64 {
        let part = suspects.export_batch(now, turn, MOST);
        assert!(part.len() <= 2 * MOST, "{}", part.len());
        assert!(part.iter().any(|suspect| suspect.fingerprint == 7));
        told.extend(part.iter().map(|suspect| suspect.fingerprint));
    }
    assert_eq!(told.len(), many.len() + 1);
}
