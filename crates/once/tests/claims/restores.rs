//! Orders of events around a restore of the platform.

use crate::test_doubles::{Agent, BODY, Platform, PlatformBehavior};
use base::prelude::*;
use once::{ClaimOutcome, ReportedRun};
use std::collections::BTreeMap;

/// A key that agent one claimed and that ran, and a platform restored from a copy
/// without its claim.
struct Restored {
    platform: Platform,
    one: Agent,
}

/// Time of the restore.
const RESTORED_MS: u64 = 2_000;

/// Time after a restore in which lost claims are written again.
const RESTORE_MS: u64 = 20_000;

/// Refusal of a key whose claim may be lost. It must not say that the request was not run.
const MAY_BE_LOST: Option<(ErrorCode, RunStatus)> =
    Some((ErrorCode::PlatformAway, RunStatus::Unknown));

fn restored() -> Restored {
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
    Restored { platform, one }
}

/// Other keys whose claims are in the same shard as those of a key.
fn sibling_keys(key: &str, count: usize) -> Vec<String> {
    let shard = once::shard_of("desk", key);
    let keys = (0..).map(|number| format!("{key}-sibling-{number}"));
    let siblings = keys.filter(|key| once::shard_of("desk", key) == shard);
    siblings.take(count).collect()
}

fn reported(key: &str, ran: RunStatus) -> ReportedRun {
    ReportedRun {
        caller: "desk".to_owned(),
        key: key.to_owned(),
        body_hash: BODY,
        agent: "one".to_owned(),
        ran,
    }
}

/// Guards against a claim that is never written again because its agent makes no call of
/// its own, and so doesn't learn of the restore.
#[test]
fn an_idle_agent_learns_of_a_restore() {
    let Restored {
        mut platform,
        mut one,
    } = restored();
    for ms in (RESTORED_MS..=RESTORED_MS + RESTORE_MS).step_by(100) {
        one.tick(ms);
        one.answer_all(ms, &mut platform);
    }
    let mut two = Agent::new("two");
    two.request_claim(30_000, 3, "key", BODY);
    two.answer_all(30_000, &mut platform);
    assert!(matches!(two.outcome(3), Some(ClaimOutcome::Replay(_))));
}

/// Guards against a key that is granted by a write which the platform confirmed after a
/// restore, to a state that the agent never read.
#[test]
fn a_write_confirmed_after_a_restore_grants_nothing() {
    let mut platform = Platform::default();
    let mut two = Agent::new("two");
    two.request_claim(900, 3, "key", BODY);
    two.answer_one(900, &mut platform);
    assert_eq!(two.calls.len(), 1, "the write is in flight");
    let mut one = Agent::new("one");
    one.request_claim(1_000, 2, "key", BODY);
    one.answer_all(1_000, &mut platform);
    one.finish(1_100, 2, b"done");
    one.answer_all(1_100, &mut platform);
    platform.restore(BTreeMap::new());
    two.answer_all(2_000, &mut platform);
    assert_eq!(two.refused(3), MAY_BE_LOST);
    one.hear_generation(3_000, &platform);
    one.answer_all(3_000, &mut platform);
    two.request_claim(30_000, 4, "key", BODY);
    two.answer_all(30_000, &mut platform);
    assert!(matches!(two.outcome(4), Some(ClaimOutcome::Replay(_))));
}

/// Guards against a key that is granted on content of the shard from before a restore.
#[test]
fn content_read_before_a_restore_grants_nothing() {
    let mut platform = Platform::default();
    let mut two = Agent::new("two");
    two.request_claim(0, 1, &sibling_keys("key", 1)[0], BODY);
    two.answer_all(0, &mut platform);
    let copy = platform.objects.clone();
    let mut one = Agent::new("one");
    one.request_claim(1_000, 2, "key", BODY);
    one.answer_all(1_000, &mut platform);
    one.finish(1_100, 2, b"done");
    one.answer_all(1_100, &mut platform);
    platform.restore(copy);
    two.request_claim(2_000, 3, "key", BODY);
    two.answer_all(2_000, &mut platform);
    assert_eq!(two.refused(3), MAY_BE_LOST);
}

/// Guards against a key that is granted by a confirmation of before a restore, which the
/// agent handles after it has learned of the restore.
#[test]
fn a_confirmation_of_an_earlier_generation_grants_nothing() {
    let mut platform = Platform::default();
    let mut two = Agent::new("two");
    two.request_claim(900, 3, "key", BODY);
    two.answer_one(900, &mut platform);
    let write = two.calls.remove(0);
    let confirmation = platform.answer(&write);
    platform.restore(BTreeMap::new());
    two.hear_generation(1_000, &platform);
    two.deliver(1_100, write.id, confirmation, &platform);
    two.answer_all(1_200, &mut platform);
    assert_eq!(two.refused(3), MAY_BE_LOST);
}

/// Guards against an order that runs twice because the agent that ran it ended before it
/// could write its claim again. The entry that passed it on knows of it.
#[test]
fn a_reported_key_is_not_granted() {
    for ran in [RunStatus::Ran, RunStatus::Unknown] {
        let Restored { mut platform, one } = restored();
        drop(one);
        let mut two = Agent::new("two");
        two.request_claim(5_000, 3, "key", BODY);
        two.answer_all(5_000, &mut platform);
        assert_eq!(two.refused(3), MAY_BE_LOST);
        two.report(5_100, reported("key", ran));
        let end_ms = 5_000 + RESTORE_MS;
        two.tick(end_ms);
        two.answer_all(end_ms, &mut platform);
        // An agent that starts now relies on the shard.
        let mut three = Agent::new("three");
        for (agent, attempt) in [(&mut two, 4), (&mut three, 5)] {
            agent.request_claim(end_ms + 1_000, attempt, "key", BODY);
            agent.answer_all(end_ms + 1_000, &mut platform);
            let expected = Some((ErrorCode::OutcomeUnknown, ran));
            assert_eq!(agent.refused(attempt), expected, "attempt {attempt}");
        }
        assert!(two.claims.is_flushed());
    }
}

/// Guards against a reported key that is granted at the moment at which the time to write
/// claims again ends.
#[test]
fn a_reported_key_requested_at_the_end_of_the_restore_is_not_granted() {
    let Restored { mut platform, .. } = restored();
    let mut two = Agent::new("two");
    two.request_claim(5_000, 3, "key", BODY);
    two.answer_all(5_000, &mut platform);
    two.report(5_100, reported("key", RunStatus::Ran));
    two.request_claim(5_000 + RESTORE_MS, 4, "key", BODY);
    two.answer_all(5_000 + RESTORE_MS, &mut platform);
    let ran = Some((ErrorCode::OutcomeUnknown, RunStatus::Ran));
    assert_eq!(two.refused(4), ran);
}

/// Guards against a restore that counts as over because of the difference between two
/// wall clocks.
#[test]
fn a_wall_clock_that_is_ahead_does_not_shorten_a_restore() {
    let Restored { mut platform, .. } = restored();
    let mut two = Agent::new("two");
    let mut ahead = Agent::with_clock("ahead", 1_025_000);
    for (agent, attempt) in [(&mut two, 3), (&mut ahead, 4)] {
        agent.request_claim(5_100, attempt, "key", BODY);
        agent.answer_all(5_100, &mut platform);
        assert_eq!(agent.refused(attempt), MAY_BE_LOST, "attempt {attempt}");
    }
    ahead.request_claim(5_099 + RESTORE_MS, 6, "key", BODY);
    ahead.answer_all(5_099 + RESTORE_MS, &mut platform);
    assert_eq!(ahead.refused(6), MAY_BE_LOST);
}

/// Guards against new keys that each agent refuses for some time after its start, long
/// after a restore, and against an entry's word that ends the wait too early.
#[test]
fn an_agent_that_starts_long_after_a_restore_waits_for_nothing() {
    for (known_ms, granted) in [(19_899, false), (20_000, true), (600_000, true)] {
        let Restored { mut platform, .. } = restored();
        let mut late = Agent::new("late");
        late.hear_generation(5_000, &platform);
        let now = Instant::from_ms(5_100);
        late.claims.observe_known_for(now, known_ms);
        late.request_claim(5_100, 3, "new", BODY);
        late.answer_all(5_100, &mut platform);
        assert_eq!(late.granted(3), granted, "known for {known_ms} ms");
    }
}

/// Guards against keys that are granted although an entry has yet to tell of the requests
/// that it passed on, and against an entry that never does.
#[test]
fn a_connected_entry_is_waited_for() {
    let Restored { mut platform, .. } = restored();
    let mut two = Agent::new("two");
    two.claims.set_awaits_entries(true);
    for (ms, attempt, granted) in
        [(5_000, 3, false), (64_999, 4, false), (65_000, 5, true)]
    {
        two.request_claim(ms, attempt, "key", BODY);
        two.answer_all(ms, &mut platform);
        assert_eq!(two.granted(attempt), granted, "at {ms} ms");
    }
}

/// Guards against a stored response that gives way to a claim without one, which another
/// agent wrote because an entry reported the request.
#[test]
fn a_stored_response_replaces_a_reported_claim() {
    let Restored {
        mut platform,
        mut one,
    } = restored();
    let mut two = Agent::new("two");
    two.request_claim(5_000, 3, "key", BODY);
    two.answer_all(5_000, &mut platform);
    two.report(5_100, reported("key", RunStatus::Ran));
    two.tick(5_000 + RESTORE_MS);
    two.answer_all(5_000 + RESTORE_MS, &mut platform);
    two.request_claim(26_000, 4, "key", BODY);
    two.answer_all(26_000, &mut platform);
    let ran = Some((ErrorCode::OutcomeUnknown, RunStatus::Ran));
    assert_eq!(two.refused(4), ran);
    one.hear_generation(27_000, &platform);
    one.answer_all(27_000, &mut platform);
    two.request_claim(28_000, 5, "key", BODY);
    two.answer_all(28_000, &mut platform);
    assert!(matches!(two.outcome(5), Some(ClaimOutcome::Replay(_))));
}

/// Guards against a response that is lost because the copy has its claim, but from before
/// the request ended.
#[test]
fn a_response_lost_in_a_restore_is_stored_again() {
    let mut platform = Platform::default();
    let mut one = Agent::new("one");
    one.request_claim(0, 1, "key", BODY);
    one.answer_all(0, &mut platform);
    let copy = platform.objects.clone();
    one.finish(1_100, 1, b"done");
    one.answer_all(1_100, &mut platform);
    platform.restore(copy);
    one.hear_generation(2_000, &platform);
    one.answer_all(2_000, &mut platform);
    let mut two = Agent::new("two");
    two.request_claim(3_000, 2, "key", BODY);
    two.answer_all(3_000, &mut platform);
    assert!(matches!(two.outcome(2), Some(ClaimOutcome::Replay(_))));
}

/// Guards against a claim that was written again and is lost in a second restore, more
/// than the time for which claims are remembered after it was first made.
#[test]
fn a_claim_is_written_again_after_a_second_restore() {
    let Restored {
        mut platform,
        mut one,
    } = restored();
    let copy = platform.objects.clone();
    one.hear_generation(50_000, &platform);
    one.answer_all(50_000, &mut platform);
    // A claim in the same shard makes the agent forget those that are too old.
    one.request_claim(72_000, 3, &sibling_keys("key", 1)[0], BODY);
    one.answer_all(72_000, &mut platform);
    assert!(one.granted(3));
    platform.restore(copy);
    one.hear_generation(75_000, &platform);
    one.answer_all(75_000, &mut platform);
    let mut two = Agent::new("two");
    two.request_claim(76_000, 4, "key", BODY);
    two.answer_all(76_000, &mut platform);
    assert!(matches!(two.outcome(4), Some(ClaimOutcome::Replay(_))));
}

/// Guards against an order that runs twice at the agent that ran it, when a platform lost
/// its claim without naming another generation, and against a refusal that says that the
/// order was not run.
#[test]
fn an_agent_does_not_grant_a_key_that_it_ran_itself() {
    let mut platform = Platform::default();
    let mut one = Agent::new("one");
    for (attempt, key) in [(1, "key"), (2, "running")] {
        one.request_claim(0, attempt, key, BODY);
        one.answer_all(0, &mut platform);
    }
    one.finish(100, 1, b"done");
    one.answer_all(100, &mut platform);
    platform.objects.clear();
    // Two writes of each shard hide that it was lost.
    let mut two = Agent::new("two");
    for (number, key) in ["key", "running"].into_iter().enumerate() {
        let siblings = sibling_keys(key, 2);
        let attempt = 10 + 2 * number as u64;
        two.request_claim(1_000, attempt, &siblings[0], BODY);
        two.answer_all(1_000, &mut platform);
        one.request_claim(1_000, attempt + 1, &siblings[1], BODY);
        one.answer_all(1_000, &mut platform);
        assert!(two.granted(attempt) && one.granted(attempt + 1));
    }
    one.request_claim(2_000, 4, "key", BODY);
    one.request_claim(2_000, 5, "running", BODY);
    one.answer_all(2_000, &mut platform);
    assert!(matches!(one.outcome(4), Some(ClaimOutcome::Replay(_))));
    let in_progress = Some((ErrorCode::KeyInProgress, RunStatus::Unknown));
    assert_eq!(one.refused(5), in_progress);
}

/// Guards against an order that runs twice because the platform lost its claim without
/// naming another generation. An entry reports it just before the resend.
#[test]
fn a_key_reported_without_a_restore_is_not_granted() {
    let mut platform = Platform::default();
    let mut two = Agent::new("two");
    two.report(1_000, reported("key", RunStatus::Ran));
    two.request_claim(1_000, 1, "key", BODY);
    two.answer_all(1_000, &mut platform);
    let ran = Some((ErrorCode::OutcomeUnknown, RunStatus::Ran));
    assert_eq!(two.refused(1), ran);
    assert!(two.claims.is_flushed());
}

/// Guards against a response that a caller doesn't get because an entry reported the run
/// whose claim the platform shows.
#[test]
fn a_report_does_not_replace_a_claim() {
    let mut platform = Platform::default();
    let mut two = Agent::new("two");
    two.request_claim(0, 1, &sibling_keys("key", 1)[0], BODY);
    two.answer_all(0, &mut platform);
    let mut one = Agent::new("one");
    one.request_claim(0, 2, "key", BODY);
    one.answer_all(0, &mut platform);
    one.finish(100, 2, b"done");
    one.answer_all(100, &mut platform);
    two.report(1_000, reported("key", RunStatus::Ran));
    two.request_claim(1_000, 3, "key", BODY);
    two.answer_all(1_000, &mut platform);
    assert!(matches!(two.outcome(3), Some(ClaimOutcome::Replay(_))));
    assert!(two.claims.is_flushed());
}

/// Guards against a refusal that says that an order was not run, when it ran and the
/// platform can't be asked for its claim.
#[test]
fn a_run_that_is_known_is_not_denied_while_the_platform_is_unavailable() {
    let mut platform = Platform::default();
    let mut two = Agent::new("two");
    platform.behaviors.push_back(PlatformBehavior::Unavailable);
    two.report(1_000, reported("key", RunStatus::Ran));
    two.request_claim(1_000, 1, "key", BODY);
    two.request_claim(1_000, 2, &sibling_keys("key", 1)[0], BODY);
    two.answer_one(1_000, &mut platform);
    assert_eq!(two.refused(1), MAY_BE_LOST);
    let not_run = Some((ErrorCode::PlatformAway, RunStatus::NotRun));
    assert_eq!(two.refused(2), not_run);
    two.request_claim(1_100, 3, "key", BODY);
    assert_eq!(two.refused(3), MAY_BE_LOST);
}
