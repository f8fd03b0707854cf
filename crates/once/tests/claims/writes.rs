//! Writes and reads of claims that are lost, late or stale.

use crate::test_doubles::{Agent, BODY, Platform, PlatformBehavior};
use base::prelude::*;
use once::ClaimOutcome;
use std::collections::VecDeque;

/// A request runs only once the platform has confirmed its claim. For every way
/// in which the response to the write is lost, the caller sees either a run or
/// a refusal as `not_run`; after a refusal, the key is free again as soon as
/// the platform is available.
#[test]
fn unanswered_writes_are_granted_or_released() {
    use PlatformBehavior::{AnswerLost, CallLost, Late, Normal, Unavailable};
    let cases: &[(&str, &[PlatformBehavior], bool)] = &[
        ("no fault", &[], true),
        (
            "platform unavailable at the first read",
            &[Unavailable],
            false,
        ),
        ("first read unanswered", &[CallLost], false),
        (
            "platform unavailable at the write",
            &[Normal, Unavailable],
            false,
        ),
        ("write applied, response lost", &[Normal, AnswerLost], true),
        ("write lost", &[Normal, CallLost], true),
        ("write applied late", &[Normal, Late], true),
        (
            "write lost twice",
            &[Normal, CallLost, Normal, CallLost],
            true,
        ),
        (
            "response lost, platform unavailable at the first read back",
            &[Normal, AnswerLost, Unavailable],
            true,
        ),
        (
            "response lost, platform unavailable for long",
            &[
                Normal,
                AnswerLost,
                Unavailable,
                Unavailable,
                Unavailable,
                Unavailable,
                Unavailable,
                Unavailable,
                Unavailable,
            ],
            false,
        ),
    ];
    for (name, behaviors, granted) in cases {
        let mut platform = Platform::default();
        platform.behaviors.extend(*behaviors);
        let mut agent = Agent::new("one");
        agent.request_claim(0, 1, "key", BODY);
        for ms in (0..=20_000).step_by(100) {
            agent.tick(ms);
            agent.answer_all(ms, &mut platform);
            platform.deliver_late();
        }
        assert_eq!(agent.granted(1), *granted, "{name}: {:?}", agent.settled);
        if *granted {
            assert_eq!(platform.claim_count(), 1, "{name}");
            continue;
        }
        assert_eq!(
            agent.refused(1),
            Some((ErrorCode::PlatformAway, RunStatus::NotRun)),
            "{name}"
        );
        assert_eq!(platform.claim_count(), 0, "{name}: the key is not free");
        assert!(agent.claims.is_flushed(), "{name}");
        agent.request_claim(20_000, 2, "key", BODY);
        agent.answer_all(20_000, &mut platform);
        assert!(agent.granted(2), "{name}: a resend was not granted");
    }
}

/// A write takes effect after its request was refused as `not_run`, so the
/// claim has to be removed again: the release stays pending as long as the
/// write may be applied.
#[test]
fn write_applied_after_its_refusal_is_released() {
    let mut platform = Platform::default();
    platform
        .behaviors
        .extend([PlatformBehavior::Normal, PlatformBehavior::Late]);
    platform
        .behaviors
        .extend([PlatformBehavior::Unavailable; 8]);
    let mut agent = Agent::new("one");
    agent.request_claim(0, 1, "key", BODY);
    for ms in (0..=20_000).step_by(100) {
        agent.tick(ms);
        agent.answer_all(ms, &mut platform);
    }
    assert_eq!(
        agent.refused(1),
        Some((ErrorCode::PlatformAway, RunStatus::NotRun))
    );
    assert!(agent.claims.is_flushed());
    platform.deliver_late();
    assert_eq!(
        platform.claim_count(),
        0,
        "the late write left a claim behind"
    );
}

/// The write that stores a response is lost, and the next read of the shard is
/// stale and lacks the claim. The agent must not apply that read: a resend gets
/// the stored response and is not told that the outcome is unknown.
#[test]
fn stale_read_does_not_lose_a_stored_response() {
    let mut platform = Platform::default();
    let mut agent = Agent::new("p1");
    agent.request_claim(0, 1, "k", BODY);
    agent.answer_all(0, &mut platform);
    assert!(agent.granted(1));
    platform.behaviors =
        VecDeque::from([PlatformBehavior::CallLost, PlatformBehavior::Stale]);
    agent.finish(100, 1, b"done");
    agent.answer_all(100, &mut platform);
    for ms in (200..20_000).step_by(100) {
        agent.tick(ms);
        agent.answer_all(ms, &mut platform);
    }
    let mut other = Agent::new("p2");
    other.request_claim(20_000, 2, "k", BODY);
    other.answer_all(20_000, &mut platform);
    let replayed = matches!(other.outcome(2), Some(ClaimOutcome::Replay(_)));
    assert!(replayed, "{:?}", other.outcome(2));
}
