//! Writes and reads of claims that are lost, late or old.

use crate::stand::{Agent, BODY, Fate, Platform};
use base::prelude::*;
use once::Outcome;
use std::collections::VecDeque;

/// A call is run only once its claim stands. The platform's answer to the
/// write is lost in every way there is; what the caller sees is either the run
/// or a refusal as `not_run`, and in the second case the key is free again as
/// soon as the platform can be reached.
#[test]
fn lost_writes_are_settled_or_given_back() {
    use Fate::{AnswerLost, Away, CallLost, Good, Late};
    let cases: &[(&str, &[Fate], bool)] = &[
        ("good", &[], true),
        ("the first read is away", &[Away], false),
        ("the first read gets no answer", &[CallLost], false),
        ("the write is away", &[Good, Away], false),
        ("the write's answer is lost", &[Good, AnswerLost], true),
        ("the write is lost", &[Good, CallLost], true),
        ("the write is late", &[Good, Late], true),
        ("lost twice", &[Good, CallLost, Good, CallLost], true),
        (
            "lost, and away at the first reading back",
            &[Good, AnswerLost, Away],
            true,
        ),
        (
            "lost, and away for long",
            &[Good, AnswerLost, Away, Away, Away, Away, Away, Away, Away],
            false,
        ),
    ];
    for (name, fates, granted) in cases {
        let mut platform = Platform::default();
        platform.fates.extend(*fates);
        let mut agent = Agent::new("one");
        agent.begin(0, 1, "key", BODY);
        for ms in (0..=20_000).step_by(100) {
            agent.tick(ms);
            agent.pump(ms, &mut platform);
            platform.deliver_late();
        }
        assert_eq!(agent.granted(1), *granted, "{name}: {:?}", agent.settled);
        if *granted {
            assert_eq!(platform.claims(), 1, "{name}");
            continue;
        }
        assert_eq!(
            agent.refused(1),
            Some((ErrorCode::PlatformAway, RunStatus::NotRun)),
            "{name}"
        );
        assert_eq!(platform.claims(), 0, "{name}: the key is not free");
        assert!(agent.claims.is_flushed(), "{name}");
        agent.begin(20_000, 2, "key", BODY);
        agent.pump(20_000, &mut platform);
        assert!(agent.granted(2), "{name}: a resend is not run");
    }
}

/// The write is given up, and only then does it take effect. The refusal said
/// `not_run`, so the claim has to go again: the release is not over while the
/// write may still come.
#[test]
fn a_write_that_comes_after_its_refusal_is_released() {
    let mut platform = Platform::default();
    platform.fates.extend([Fate::Good, Fate::Late]);
    platform.fates.extend([Fate::Away; 8]);
    let mut agent = Agent::new("one");
    agent.begin(0, 1, "key", BODY);
    for ms in (0..=20_000).step_by(100) {
        agent.tick(ms);
        agent.pump(ms, &mut platform);
    }
    assert_eq!(
        agent.refused(1),
        Some((ErrorCode::PlatformAway, RunStatus::NotRun))
    );
    assert!(agent.claims.is_flushed());
    platform.deliver_late();
    assert_eq!(
        platform.claims(),
        0,
        "the late write made a claim of nobody"
    );
}

/// The answer of the write that stores an answer is lost, and the platform then
/// gives an old read of the shard, in which the claim is missing. The agent does
/// not believe it: a resend gets the stored answer, not that the outcome is
/// unknown.
#[test]
fn an_old_read_does_not_drop_an_answer() {
    let mut platform = Platform::default();
    let mut agent = Agent::new("p1");
    agent.begin(0, 1, "k", BODY);
    agent.pump(0, &mut platform);
    assert!(agent.granted(1));
    platform.fates = VecDeque::from([Fate::CallLost, Fate::Old]);
    agent.finish(100, 1, b"done");
    agent.pump(100, &mut platform);
    for ms in (200..20_000).step_by(100) {
        agent.tick(ms);
        agent.pump(ms, &mut platform);
    }
    let mut other = Agent::new("p2");
    other.begin(20_000, 2, "k", BODY);
    other.pump(20_000, &mut platform);
    let replayed = matches!(other.outcome(2), Some(Outcome::Replay(_)));
    assert!(replayed, "{:?}", other.outcome(2));
}
