//! One key at several agents, one after the other or at the same time.

use crate::test_doubles::{Agent, BODY, OTHER_BODY, Platform, PlatformBehavior};
use base::prelude::*;
use once::ClaimOutcome;

/// Two resends reach two agents at the same time. Both agents read an empty
/// shard and both write a claim. The platform accepts one write; the other
/// agent's caller is told that the request is in progress and, after a timeout,
/// that its outcome is unknown, or gets the stored response.
#[test]
fn only_one_of_two_agents_is_granted_a_key() {
    let mut platform = Platform::default();
    let mut one = Agent::new("one");
    let mut two = Agent::new("two");
    one.request_claim(0, 1, "key", BODY);
    two.request_claim(0, 2, "key", BODY);
    one.answer_one(0, &mut platform);
    two.answer_one(0, &mut platform);
    one.answer_all(0, &mut platform);
    two.answer_all(0, &mut platform);
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
        two.request_claim(ms, attempt, "key", body);
        two.answer_all(ms, &mut platform);
        assert_eq!(two.refused(attempt), Some(expected), "attempt {attempt}");
    }

    one.finish(13_000, 1, b"two cylinders");
    one.answer_all(13_000, &mut platform);
    two.request_claim(13_001, 7, "key", BODY);
    two.answer_all(13_001, &mut platform);
    let Some(ClaimOutcome::Replay(response)) = two.outcome(7) else {
        panic!("no stored response: {:?}", two.outcome(7));
    };
    assert_eq!(
        (response.status, response.body.as_slice()),
        (201, &b"two cylinders"[..])
    );
    two.request_claim(13_002, 8, "key", OTHER_BODY);
    two.answer_all(13_002, &mut platform);
    assert_eq!(
        two.refused(8),
        Some((ErrorCode::KeyReused, RunStatus::NotRun))
    );
}

/// Two requests with the same key reach one agent before the first claim is
/// written. The second must not run as well: it is decided after the write, and
/// is granted the key if the first released it.
#[test]
fn only_one_of_two_requests_at_an_agent_is_granted_a_key() {
    let mut platform = Platform::default();
    let mut agent = Agent::new("one");
    agent.request_claim(0, 1, "key", BODY);
    agent.request_claim(0, 2, "key", BODY);
    agent.answer_all(0, &mut platform);
    assert!(agent.granted(1));
    assert_eq!(
        agent.refused(2),
        Some((ErrorCode::KeyInProgress, RunStatus::Unknown))
    );

    agent.request_claim(1, 3, "key", BODY);
    agent.release(1, 1);
    agent.answer_all(1, &mut platform);
    assert_eq!(agent.released, [1]);
    assert!(agent.granted(3), "{:?}", agent.outcome(3));
    assert_eq!(platform.claim_count(), 1);
}

/// An agent dies after its claim was written, before or after the request ran.
/// Its successor can't tell which, so the request is not run again: the caller
/// is told that it is in progress and later that the outcome is unknown.
#[test]
fn dead_agents_claim_is_not_run_again() {
    let mut platform = Platform::default();
    let mut dead = Agent::new("one");
    dead.request_claim(0, 1, "key", BODY);
    dead.answer_all(0, &mut platform);
    assert!(dead.granted(1));
    drop(dead);
    let mut successor = Agent::new("successor");
    successor.request_claim(1_000, 2, "key", BODY);
    successor.answer_all(1_000, &mut platform);
    assert_eq!(
        successor.refused(2),
        Some((ErrorCode::KeyInProgress, RunStatus::Unknown))
    );
    successor.request_claim(60_000, 3, "key", BODY);
    successor.answer_all(60_000, &mut platform);
    assert_eq!(
        successor.refused(3),
        Some((ErrorCode::OutcomeUnknown, RunStatus::Unknown))
    );
}

/// Guards against an order that runs twice because the platform was restored from a copy
/// without its claim, although an agent that ran it still knows it.
#[test]
fn a_key_whose_claim_was_lost_in_a_restore_is_not_granted_again() {
    let mut platform = Platform::default();
    let mut one = Agent::new("one");
    one.request_claim(0, 1, "other", BODY);
    one.answer_all(0, &mut platform);
    let copy = platform.objects.clone();
    one.request_claim(1_000, 2, "key", BODY);
    one.answer_all(1_000, &mut platform);
    assert!(one.granted(2));
    one.finish(1_100, 2, b"done");
    one.answer_all(1_100, &mut platform);
    platform.restore(copy);
    let mut two = Agent::new("two");
    for (agent, attempt) in [(&mut two, 3), (&mut one, 4)] {
        agent.request_claim(5_000, attempt, "key", BODY);
        agent.answer_all(5_000, &mut platform);
        assert!(!agent.granted(attempt), "attempt {attempt}");
    }
}

/// Guards against an order that runs twice after the time that agents have to write their
/// claims again, and against keys that stay refused although their agent has done so.
#[test]
fn an_agent_writes_its_claims_again_after_a_restore() {
    let mut platform = Platform::default();
    let mut one = Agent::new("one");
    one.request_claim(0, 1, "other", BODY);
    one.answer_all(0, &mut platform);
    let copy = platform.objects.clone();
    one.request_claim(1_000, 2, "key", BODY);
    one.request_claim(1_000, 3, "running", BODY);
    one.answer_all(1_000, &mut platform);
    one.finish(1_100, 2, b"done");
    one.answer_all(1_100, &mut platform);
    platform.restore(copy);
    let mut two = Agent::new("two");
    two.request_claim(5_000, 4, "key", BODY);
    two.answer_all(5_000, &mut platform);
    let unknown = Some((ErrorCode::PlatformAway, RunStatus::Unknown));
    assert_eq!(two.refused(4), unknown);
    // The agent hears of the restore by any answer of the platform.
    one.hear_generation(6_000, &platform);
    one.answer_all(6_000, &mut platform);
    two.request_claim(7_000, 5, "key", BODY);
    two.request_claim(7_000, 6, "running", BODY);
    two.answer_all(7_000, &mut platform);
    assert!(matches!(two.outcome(5), Some(ClaimOutcome::Replay(_))));
    assert_eq!(
        two.refused(6),
        Some((ErrorCode::KeyInProgress, RunStatus::Unknown))
    );
    one.finish(8_000, 3, b"done");
    one.answer_all(8_000, &mut platform);
    two.request_claim(40_000, 7, "running", BODY);
    two.answer_all(40_000, &mut platform);
    assert!(matches!(two.outcome(7), Some(ClaimOutcome::Replay(_))));
    assert!(one.claims.is_flushed());
}

/// Guards against new keys that are refused for good after a restore.
#[test]
fn a_new_key_is_granted_after_the_time_to_write_claims_again() {
    let mut platform = Platform::default();
    let mut one = Agent::new("one");
    one.request_claim(0, 1, "key", BODY);
    one.answer_all(0, &mut platform);
    let copy = platform.objects.clone();
    platform.restore(copy);
    for (ms, attempt, granted) in
        [(5_000, 2, false), (24_999, 3, false), (25_000, 4, true)]
    {
        one.request_claim(ms, attempt, "new", BODY);
        one.answer_all(ms, &mut platform);
        assert_eq!(one.granted(attempt), granted, "at {ms} ms");
    }
    one.request_claim(25_000, 5, "key", BODY);
    one.answer_all(25_000, &mut platform);
    assert!(!one.granted(5));
}

/// Guards against the end of a run that is dropped because its claim is missing in a
/// restored shard: a resend would be told that the outcome is unknown.
#[test]
fn a_run_that_ends_after_a_restore_is_stored() {
    let mut platform = Platform::default();
    let mut one = Agent::new("one");
    one.request_claim(0, 1, "key", BODY);
    one.answer_all(0, &mut platform);
    platform.restore(std::collections::BTreeMap::new());
    one.finish(1_000, 1, b"done");
    one.answer_all(1_000, &mut platform);
    let mut two = Agent::new("two");
    two.request_claim(2_000, 2, "key", BODY);
    two.answer_all(2_000, &mut platform);
    assert!(matches!(two.outcome(2), Some(ClaimOutcome::Replay(_))));
}

/// A request is refused after its claim was granted. The refusal says
/// `not_run`, so the caller resends at once and must not meet its own claim. If
/// the platform is unavailable, the refusal waits for one second at most.
#[test]
fn key_is_released_before_a_refusal_is_sent() {
    let mut platform = Platform::default();
    let mut agent = Agent::new("one");
    agent.request_claim(0, 1, "key", BODY);
    agent.answer_all(0, &mut platform);
    agent.release(10, 1);
    assert!(
        agent.released.is_empty(),
        "the refusal was sent before the release was written"
    );
    agent.answer_all(10, &mut platform);
    assert_eq!(agent.released, [1]);
    assert_eq!(platform.claim_count(), 0);

    agent.request_claim(20, 2, "key", BODY);
    agent.answer_all(20, &mut platform);
    platform
        .behaviors
        .extend([PlatformBehavior::Unavailable; 3]);
    agent.release(30, 2);
    for ms in (30..1_030).step_by(100) {
        agent.tick(ms);
        agent.answer_all(ms, &mut platform);
    }
    agent.tick(1_030);
    assert_eq!(agent.released, [1, 2]);
    for ms in (1_030..20_000).step_by(100) {
        agent.tick(ms);
        agent.answer_all(ms, &mut platform);
    }
    assert_eq!(
        platform.claim_count(),
        0,
        "the claim is still there after the platform came back"
    );
}

/// Guards against a response that is held although the platform says that it is
/// unavailable. Its claim is stored once the platform is back.
#[test]
fn a_response_is_not_held_while_the_platform_is_unavailable() {
    let mut platform = Platform::default();
    let mut agent = Agent::new("p1");
    agent.request_claim(0, 1, "key", BODY);
    agent.answer_all(0, &mut platform);
    agent.finish(10, 1, b"done");
    assert!(agent.finished.is_empty(), "not stored yet");
    platform
        .behaviors
        .extend([PlatformBehavior::Unavailable; 3]);
    agent.answer_one(20, &mut platform);
    assert_eq!(agent.finished, [1]);
    for ms in (30..20_000).step_by(100) {
        agent.tick(ms);
        agent.answer_all(ms, &mut platform);
    }
    let mut other = Agent::new("p2");
    other.request_claim(20_000, 2, "key", BODY);
    other.answer_all(20_000, &mut platform);
    assert!(matches!(other.outcome(2), Some(ClaimOutcome::Replay(_))));
}
