//! Shards: shared writes, their size, and what can't be kept or read.

use crate::stand::{Agent, BODY, OTHER_BODY, Platform};
use base::prelude::*;
use once::{shard_key, shard_of};

/// Many calls come while a write is under way. They share the next write, so
/// the platform is asked as often as it answers and not as often as callers
/// call.
#[test]
fn claims_share_a_write() {
    let mut platform = Platform::default();
    let mut agent = Agent::new("one");
    let shard = shard_of("desk", "key-0");
    let keys: Vec<String> = (0..)
        .map(|n| format!("key-{n}"))
        .filter(|key| shard_of("desk", key) == shard)
        .take(50)
        .collect();
    for (attempt, key) in (1..).zip(&keys) {
        agent.begin(0, attempt, key, BODY);
    }
    assert_eq!(agent.calls.len(), 1, "one call in flight for a shard");
    agent.pump(0, &mut platform);
    assert_eq!(agent.settled.len(), 50);
    assert!((1..=50).all(|attempt| agent.granted(attempt)));
    assert_eq!(platform.writes, 1);
    for attempt in 1..=50 {
        agent.finish(1, attempt, b"done");
    }
    agent.pump(1, &mut platform);
    assert_eq!(platform.writes, 3, "one under way, and one for all others");
    assert!(agent.claims.is_flushed());
}

/// A shard is an object of less than a megabyte. New keys are refused before it
/// is full, as `not_run`, and claims past their retention make room.
#[test]
fn a_full_shard_refuses_and_old_claims_make_room() {
    let mut platform = Platform::default();
    let mut agent = Agent::new("one");
    agent.claims.configure(3_600_000, 64 << 10);
    let keys: Vec<String> = (0..)
        .map(|n| format!("key-{n}"))
        .filter(|key| shard_of("desk", key) == 7)
        .take(100)
        .collect();
    let body = vec![b'x'; 60 << 10];
    for (attempt, key) in (1..).zip(&keys) {
        agent.begin(0, attempt, key, BODY);
        agent.pump(0, &mut platform);
        if agent.granted(attempt) {
            agent.finish(0, attempt, &body);
            agent.pump(0, &mut platform);
        }
    }
    let granted = (1..=100).filter(|attempt| agent.granted(*attempt)).count();
    assert!((10..20).contains(&granted), "{granted} claims fit");
    assert_eq!(
        agent.refused(100),
        Some((ErrorCode::Overloaded, RunStatus::NotRun))
    );
    assert!(platform.largest() < 900_000, "{} bytes", platform.largest());

    let later = 3_600_001;
    agent.begin(later, 101, &keys[0], OTHER_BODY);
    agent.pump(later, &mut platform);
    assert!(agent.granted(101), "{:?}", agent.outcome(101));
    assert_eq!(platform.claims(), 1, "the old claims are forgotten");
}

/// An answer too large to be kept is lost for a resend. The resend is told that
/// the call ran, and is not run.
#[test]
fn an_answer_too_large_is_known_to_have_run() {
    let mut platform = Platform::default();
    let mut agent = Agent::new("one");
    agent.claims.configure(3_600_000, 4);
    agent.begin(0, 1, "key", BODY);
    agent.pump(0, &mut platform);
    agent.finish(1, 1, b"too large");
    agent.pump(1, &mut platform);
    agent.begin(2, 2, "key", BODY);
    agent.pump(2, &mut platform);
    assert_eq!(
        agent.refused(2),
        Some((ErrorCode::OutcomeUnknown, RunStatus::Ran))
    );
}

/// A shard that can't be decoded holds claims that must not be written over:
/// calls are refused as `not_run` and the object stays as it is.
#[test]
fn a_shard_that_cant_be_read_is_left_alone() {
    let mut platform = Platform::default();
    let key = shard_key(shard_of("desk", "key"));
    platform.objects.insert(key.clone(), (1, vec![0xff; 5]));
    let mut agent = Agent::new("one");
    agent.begin(0, 1, "key", BODY);
    agent.pump(0, &mut platform);
    assert_eq!(
        agent.refused(1),
        Some((ErrorCode::PlatformAway, RunStatus::NotRun))
    );
    assert_eq!(platform.objects[&key].1, vec![0xff; 5]);
}
