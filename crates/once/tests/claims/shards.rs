//! Shards: shared writes, limited size, and content that can't be stored or
//! decoded.

use crate::test_doubles::{Agent, BODY, OTHER_BODY, Platform};
use base::prelude::*;
use once::{shard_key, shard_of};

/// Requests that arrive while a write is in flight share the next write, so the
/// number of platform calls does not grow with the number of requests.
#[test]
fn concurrent_claims_share_a_write() {
    let mut platform = Platform::default();
    let mut agent = Agent::new("one");
    let shard = shard_of("desk", "key-0");
    let keys: Vec<String> = (0..)
        .map(|n| format!("key-{n}"))
        .filter(|key| shard_of("desk", key) == shard)
        .take(50)
        .collect();
    for (attempt, key) in (1..).zip(&keys) {
        agent.request_claim(0, attempt, key, BODY);
    }
    assert_eq!(
        agent.calls.len(),
        1,
        "more than one call in flight for a shard"
    );
    agent.answer_all(0, &mut platform);
    assert_eq!(agent.settled.len(), 50);
    assert!((1..=50).all(|attempt| agent.granted(attempt)));
    assert_eq!(platform.writes, 1);
    for attempt in 1..=50 {
        agent.finish(1, attempt, b"done");
    }
    agent.answer_all(1, &mut platform);
    assert_eq!(
        platform.writes, 3,
        "finishes took more than the write in flight and one more"
    );
    assert!(agent.claims.is_flushed());
}

/// A shard is an object of less than a megabyte. New keys are refused as
/// `not_run` before it is full, and claims past their retention are dropped to
/// make space.
#[test]
fn full_shard_refuses_claims_until_old_ones_expire() {
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
        agent.request_claim(0, attempt, key, BODY);
        agent.answer_all(0, &mut platform);
        if agent.granted(attempt) {
            agent.finish(0, attempt, &body);
            agent.answer_all(0, &mut platform);
        }
    }
    let granted = (1..=100).filter(|attempt| agent.granted(*attempt)).count();
    assert!((10..20).contains(&granted), "{granted} claims fit");
    assert_eq!(
        agent.refused(100),
        Some((ErrorCode::Overloaded, RunStatus::NotRun))
    );
    assert!(
        platform.largest_object_bytes() < 900_000,
        "{} bytes",
        platform.largest_object_bytes()
    );

    let later = 3_600_001;
    agent.request_claim(later, 101, &keys[0], OTHER_BODY);
    agent.answer_all(later, &mut platform);
    assert!(agent.granted(101), "{:?}", agent.outcome(101));
    assert_eq!(platform.claim_count(), 1, "old claims were not dropped");
}

/// A response that is too large to store is lost for a resend. The resend is
/// told that the request ran, and is not run.
#[test]
fn oversized_response_is_recorded_as_run() {
    let mut platform = Platform::default();
    let mut agent = Agent::new("one");
    agent.claims.configure(3_600_000, 4);
    agent.request_claim(0, 1, "key", BODY);
    agent.answer_all(0, &mut platform);
    agent.finish(1, 1, b"too large");
    agent.answer_all(1, &mut platform);
    agent.request_claim(2, 2, "key", BODY);
    agent.answer_all(2, &mut platform);
    assert_eq!(
        agent.refused(2),
        Some((ErrorCode::OutcomeUnknown, RunStatus::Ran))
    );
}

/// A shard that can't be decoded contains claims that must not be overwritten:
/// requests are refused as `not_run` and the object is left unchanged.
#[test]
fn undecodable_shard_is_not_overwritten() {
    let mut platform = Platform::default();
    let key = shard_key(shard_of("desk", "key"));
    platform.objects.insert(key.clone(), (1, vec![0xff; 5]));
    let mut agent = Agent::new("one");
    agent.request_claim(0, 1, "key", BODY);
    agent.answer_all(0, &mut platform);
    assert_eq!(
        agent.refused(1),
        Some((ErrorCode::PlatformAway, RunStatus::NotRun))
    );
    assert_eq!(platform.objects[&key].1, vec![0xff; 5]);
}
