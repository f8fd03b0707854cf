//! One key at several agents, one after the other or at once.

use crate::stand::{Agent, BODY, Fate, OTHER_BODY, Platform};
use base::prelude::*;
use once::Outcome;

/// Two resends reach two agents at once. Both read the shard as empty and both
/// write; the platform takes one write, and the other agent's caller is told
/// that the call is in progress, later that its outcome is not known, or gets
/// the answer.
#[test]
fn of_two_agents_one_runs_the_call() {
    let mut platform = Platform::default();
    let mut one = Agent::new("one");
    let mut two = Agent::new("two");
    one.begin(0, 1, "key", BODY);
    two.begin(0, 2, "key", BODY);
    one.step(0, &mut platform);
    two.step(0, &mut platform);
    one.pump(0, &mut platform);
    two.pump(0, &mut platform);
    assert!(one.granted(1));
    assert_eq!(
        two.refused(2),
        Some((ErrorCode::KeyInProgress, RunStatus::Unknown))
    );

    let cases = [
        (3, 100, BODY, (ErrorCode::KeyInProgress, RunStatus::Unknown)),
        (
            4,
            11_000,
            BODY,
            (ErrorCode::KeyInProgress, RunStatus::Unknown),
        ),
        (
            5,
            12_001,
            BODY,
            (ErrorCode::OutcomeUnknown, RunStatus::Unknown),
        ),
        (
            6,
            12_001,
            OTHER_BODY,
            (ErrorCode::KeyReused, RunStatus::NotRun),
        ),
    ];
    for (attempt, ms, body, expected) in cases {
        two.begin(ms, attempt, "key", body);
        two.pump(ms, &mut platform);
        assert_eq!(two.refused(attempt), Some(expected), "attempt {attempt}");
    }

    one.finish(13_000, 1, b"two cylinders");
    one.pump(13_000, &mut platform);
    two.begin(13_001, 7, "key", BODY);
    two.pump(13_001, &mut platform);
    let Some(Outcome::Replay(answer)) = two.outcome(7) else {
        panic!("no stored answer: {:?}", two.outcome(7));
    };
    assert_eq!(
        (answer.status, answer.body.as_slice()),
        (201, &b"two cylinders"[..])
    );
    two.begin(13_002, 8, "key", OTHER_BODY);
    two.pump(13_002, &mut platform);
    assert_eq!(
        two.refused(8),
        Some((ErrorCode::KeyReused, RunStatus::NotRun))
    );
}

/// The same key comes twice to one agent before the first claim is written.
/// The second must not be run, whatever becomes of the first: it is judged
/// after the write, and gets the key if the first gave it back.
#[test]
fn of_two_at_one_agent_one_runs_the_call() {
    let mut platform = Platform::default();
    let mut agent = Agent::new("one");
    agent.begin(0, 1, "key", BODY);
    agent.begin(0, 2, "key", BODY);
    agent.pump(0, &mut platform);
    assert!(agent.granted(1));
    assert_eq!(
        agent.refused(2),
        Some((ErrorCode::KeyInProgress, RunStatus::Unknown))
    );

    agent.begin(1, 3, "key", BODY);
    agent.release(1, 1);
    agent.pump(1, &mut platform);
    assert_eq!(agent.released, [1]);
    assert!(agent.granted(3), "{:?}", agent.outcome(3));
    assert_eq!(platform.claims(), 1);
}

/// An agent dies with a claim written: between claim and run, or between run
/// and answer. Its successor can't tell which, so the call is not run again;
/// the caller is told that it is in progress and then that nobody knows.
#[test]
fn a_claim_of_a_dead_agent_is_not_run_again() {
    let mut platform = Platform::default();
    let mut dead = Agent::new("one");
    dead.begin(0, 1, "key", BODY);
    dead.pump(0, &mut platform);
    assert!(dead.granted(1));
    drop(dead);
    let mut successor = Agent::new("successor");
    successor.begin(1_000, 2, "key", BODY);
    successor.pump(1_000, &mut platform);
    assert_eq!(
        successor.refused(2),
        Some((ErrorCode::KeyInProgress, RunStatus::Unknown))
    );
    successor.begin(60_000, 3, "key", BODY);
    successor.pump(60_000, &mut platform);
    assert_eq!(
        successor.refused(3),
        Some((ErrorCode::OutcomeUnknown, RunStatus::Unknown))
    );
}

/// A call is refused after its claim was taken. The refusal says `not_run`, so
/// the caller sends the call again at once and must not meet its own claim. If
/// the platform is away the refusal waits for a second and no longer.
#[test]
fn a_refused_call_frees_its_key_first() {
    let mut platform = Platform::default();
    let mut agent = Agent::new("one");
    agent.begin(0, 1, "key", BODY);
    agent.pump(0, &mut platform);
    agent.release(10, 1);
    assert!(agent.released.is_empty(), "told before it was written");
    agent.pump(10, &mut platform);
    assert_eq!(agent.released, [1]);
    assert_eq!(platform.claims(), 0);

    agent.begin(20, 2, "key", BODY);
    agent.pump(20, &mut platform);
    platform.fates.extend([Fate::Away; 3]);
    agent.release(30, 2);
    for ms in (30..1_030).step_by(100) {
        agent.tick(ms);
        agent.pump(ms, &mut platform);
    }
    agent.tick(1_030);
    assert_eq!(agent.released, [1, 2]);
    for ms in (1_030..20_000).step_by(100) {
        agent.tick(ms);
        agent.pump(ms, &mut platform);
    }
    assert_eq!(platform.claims(), 0, "released later");
}
