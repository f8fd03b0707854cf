//! Writes and reads of claims that are lost, late or old.

use crate::stand::{Agent, BODY, Platform, PlatformBehavior};
use base::prelude::*;
use once::ClaimOutcome;
use std::collections::VecDeque;

/// A call is run only once its claim stands. The platform's answer to the
/// write is lost in every way there is; what the caller sees is either the run
/// or a refusal as `not_run`, and in the second case the key is free again as
/// soon as the platform can be reached.
#[test]
fn unanswered_writes_are_granted_or_released() {
    use PlatformBehavior::{AnswerLost, Away, CallLost, Late, Normal};
    let cases: &[(&str, &[PlatformBehavior], bool)] = &[
        ("good", &[], true),
        ("the first read is away", &[Away], false),
        ("the first read gets no answer", &[CallLost], false),
        ("the write is away", &[Normal, Away], false),
        ("the write's answer is lost", &[Normal, AnswerLost], true),
        ("the write is lost", &[Normal, CallLost], true),
        ("the write is late", &[Normal, Late], true),
        ("lost twice", &[Normal, CallLost, Normal, CallLost], true),
        (
            "lost, and away at the first reading back",
            &[Normal, AnswerLost, Away],
            true,
        ),
        (
            "lost, and away for long",
            &[Normal, AnswerLost, Away, Away, Away, Away, Away, Away, Away],
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
            Some((Code::PlatformAway, Ran::NotRun)),
            "{name}"
        );
        assert_eq!(platform.claim_count(), 0, "{name}: the key is not free");
        assert!(agent.claims.is_flushed(), "{name}");
        agent.request_claim(20_000, 2, "key", BODY);
        agent.answer_all(20_000, &mut platform);
        assert!(agent.granted(2), "{name}: a resend is not run");
    }
}

/// The write is given up, and only then does it take effect. The refusal said
/// `not_run`, so the claim has to go again: the release is not over while the
/// write may still come.
#[test]
fn write_applied_after_its_refusal_is_released() {
    let mut platform = Platform::default();
    platform
        .behaviors
        .extend([PlatformBehavior::Normal, PlatformBehavior::Late]);
    platform.behaviors.extend([PlatformBehavior::Away; 8]);
    let mut agent = Agent::new("one");
    agent.request_claim(0, 1, "key", BODY);
    for ms in (0..=20_000).step_by(100) {
        agent.tick(ms);
        agent.answer_all(ms, &mut platform);
    }
    assert_eq!(agent.refused(1), Some((Code::PlatformAway, Ran::NotRun)));
    assert!(agent.claims.is_flushed());
    platform.deliver_late();
    assert_eq!(
        platform.claim_count(),
        0,
        "the late write made a claim of nobody"
    );
}

/// The answer of the write that stores an answer is lost, and the platform then
/// gives an old read of the shard, in which the claim is missing. The agent does
/// not believe it: a resend gets the stored answer, not that the outcome is
/// unknown.
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
