//! One watch for the entries of a failure domain, and what happens when it fails.

use crate::support::at;
use base::ObjectVersion;
use direct::{
    ChangedObject, OwnWatchReason, SharedWatch, WatchBatch, WatchClaim, WatchRole,
};

fn changed(key: &str, version: u64, bytes: usize) -> ChangedObject {
    ChangedObject {
        key: key.to_owned(),
        version,
        value: vec![1; bytes],
        content_hash: version,
    }
}

fn batch(after_version: u64, to_version: u64) -> WatchBatch {
    WatchBatch {
        after_version,
        to_version,
        objects: vec![changed(&format!("servers/{to_version}"), to_version, 1)],
        is_partial: false,
    }
}

fn role(entry: &str, others: &[&str]) -> WatchRole {
    let mut shared = SharedWatch::new();
    shared.on_listed(at(0), 1, &[]);
    shared.role(entry, others)
}

/// The state of an entry that has listed up to version 10.
fn listed_at_10() -> SharedWatch {
    let mut shared = SharedWatch::new();
    shared.on_listed(at(0), 10, &[]);
    shared
}

#[test]
fn the_first_entry_by_name_with_a_working_watch_leads() {
    assert_eq!(role("a", &["b", "c"]), WatchRole::Leader);
    assert_eq!(role("b", &["a", "c"]), WatchRole::Follower);
    assert_eq!(
        role("a", &["b"]),
        WatchRole::Independent,
        "two entries would save nothing"
    );
    let mut shared = SharedWatch::new();
    shared.on_listed(at(0), 1, &[]);
    shared.on_failed();
    assert_eq!(shared.role("a", &["b", "c"]), WatchRole::Independent);
}

/// The leader falls silent: it was killed, hangs, or is cut off. Its followers watch by
/// themselves before an upstream that is leaving has to be known as leaving.
#[test]
fn an_entry_watches_by_itself_soon_after_the_leaders_last_message() {
    let mut shared = listed_at_10();
    assert!(
        !shared.can_skip_own_watch(at(0)),
        "no message was received yet"
    );
    shared.receive(at(500), vec![batch(10, 12)]);
    assert!(shared.can_skip_own_watch(at(600)));
    assert!(shared.can_skip_own_watch(at(1_700)));
    assert!(!shared.can_skip_own_watch(at(1_800)));
}

/// The leader hangs for a second, or the datagram was in transit for that long. What
/// counts is when the platform confirmed the content, not when it was received.
#[test]
fn a_late_message_counts_from_the_platforms_confirmation() {
    let mut shared = listed_at_10();
    shared.receive(at(0), vec![batch(10, 12)]);
    assert!(shared.can_skip_own_watch(at(1_200)));
    shared.receive(at(200), vec![batch(10, 12)]);
    assert!(!shared.can_skip_own_watch(at(1_600)));
    shared.receive(at(100), vec![batch(10, 12)]);
    assert!(
        shared.can_skip_own_watch(at(1_400)),
        "an older message has no effect"
    );
}

/// A message is lost. The next one repeats the batch before, so nothing is missing.
/// With two lost, the later batches aren't applied and the entry watches by itself.
#[test]
fn a_message_that_leaves_a_gap_is_not_applied() {
    let mut leader = listed_at_10();
    let mut shared = listed_at_10();
    leader.on_watched(at(0), batch(10, 12));
    leader.on_watched(at(0), batch(12, 15));
    let received = shared.receive(at(100), leader.outgoing());
    assert_eq!(received.new_batches, [batch(10, 12), batch(12, 15)]);
    assert_eq!(received.known_version, Some(15));
    let again = shared.receive(at(200), leader.outgoing());
    assert!(
        again.new_batches.is_empty(),
        "nothing is new the second time"
    );
    for (after, last) in [(15, 18), (18, 20), (20, 22)] {
        leader.on_watched(at(0), batch(after, last));
    }
    let gap = shared.receive(at(300), leader.outgoing());
    assert_eq!((gap.new_batches.len(), gap.known_version), (0, None));
    assert!(
        !shared.can_skip_own_watch(at(1_600)),
        "the last confirmation was at 200 ms"
    );
    shared.on_listed(at(1_700), 22, &[]);
    leader.on_watched(at(0), batch(22, 23));
    let follows = shared.receive(at(1_800), leader.outgoing());
    assert_eq!(follows.new_batches, [batch(22, 23)]);
}

/// The platform no longer has the history that the leader needs, so it lists again.
/// Guards against followers that miss what changed between the leader's last watch and
/// its list, and against followers that all have to list as well.
#[test]
fn what_a_list_changed_is_forwarded_like_the_result_of_a_watch() {
    let mut leader = listed_at_10();
    let mut shared = listed_at_10();
    let mut behind = listed_at_10();
    leader.on_watched(at(0), batch(10, 12));
    shared.receive(at(0), leader.outgoing());
    let listed = [changed("servers/30", 30, 1), changed("servers/35", 35, 1)];
    leader.on_listed(at(2_000), 40, &listed);
    let received = shared.receive(at(2_000), leader.outgoing());
    assert_eq!(received.known_version, Some(40));
    let [list] = &received.new_batches[..] else {
        panic!("{:?}", received.new_batches);
    };
    let deleted = ChangedObject::deleted("servers/12".to_owned(), 40);
    let mut objects = list.objects.clone();
    objects.sort_by(|one, other| one.key.cmp(&other.key));
    assert_eq!(objects, [deleted, listed[0].clone(), listed[1].clone()]);
    assert!(shared.can_skip_own_watch(at(2_100)));
    let received = behind.receive(at(2_000), leader.outgoing());
    assert_eq!(
        (received.new_batches.len(), received.known_version),
        (0, None)
    );
    assert!(!behind.can_skip_own_watch(at(2_000)), "it misses a watch");
}

/// A forged datagram names a version far ahead, so true changes look old. The entry's
/// own watch, which starts where its last one ended, still takes place.
#[test]
fn a_forged_message_hides_changes_for_a_bounded_time() {
    let mut shared = listed_at_10();
    let last = ObjectVersion::new(0, u64::MAX);
    shared.receive(at(100), vec![batch(10, last.0)]);
    let mut until_ms = 0;
    for ms in (200..60_000).step_by(400) {
        let listed_at_10 = shared.receive(at(ms), vec![batch(12, 13)]);
        assert!(listed_at_10.new_batches.is_empty());
        if !shared.can_skip_own_watch(at(ms)) {
            until_ms = ms;
            break;
        }
    }
    assert!((10_000..16_000).contains(&until_ms), "{until_ms}");
}

/// A version of the platform after a restore.
fn restored(revision: u64) -> u64 {
    ObjectVersion::new(1, revision).0
}

/// Guards against followers that wait for a later generation of the platform, which a
/// forged datagram named, and miss the changes of the present one meanwhile.
#[test]
fn a_forged_generation_makes_an_entry_watch_by_itself() {
    let mut shared = listed_at_10();
    shared.receive(at(100), vec![batch(10, u64::MAX)]);
    shared.receive(at(200), vec![batch(12, 13)]);
    assert!(!shared.can_skip_own_watch(at(1_500)));
    shared.receive(at(1_600), vec![batch(11, u64::MAX - 1)]);
    assert_eq!(shared.resume_version(), 10);
}

/// Guards against entries that pass the whole state on after a restore that lost nothing.
#[test]
fn what_a_restore_left_as_it_was_is_no_change() {
    let mut leader = SharedWatch::new();
    leader.on_listed(
        at(0),
        10,
        &[changed("servers/1", 5, 1), changed("servers/2", 9, 1)],
    );
    let same = ChangedObject {
        version: restored(5),
        ..changed("servers/1", 5, 1)
    };
    let newer = changed("servers/2", restored(11), 1);
    leader.on_listed(at(1_000), restored(12), &[same, newer.clone()]);
    let outgoing = leader.outgoing();
    assert_eq!(outgoing[0].objects, [newer]);
}

/// Guards against followers that rely on a leader which hasn't noticed that the platform
/// was restored, or runs a build that doesn't know of generations.
#[test]
fn batches_of_an_earlier_generation_cover_nobody() {
    let mut shared = SharedWatch::new();
    shared.on_listed(at(0), restored(5), &[]);
    let received = shared.receive(at(100), vec![batch(10, 12), batch(12, 13)]);
    assert_eq!(received.known_version, None);
    assert!(received.new_batches.is_empty());
    assert!(!shared.can_skip_own_watch(at(100)));
}

/// Guards against a follower that relies on its leader although its own call has shown
/// that the platform was restored since the state that it knows.
#[test]
fn an_entry_that_saw_a_restore_watches_by_itself() {
    let mut shared = listed_at_10();
    shared.receive(at(100), vec![batch(10, 12)]);
    assert_eq!(shared.own_watch_reason(at(200), 0), None);
    let reason = shared.own_watch_reason(at(200), 1);
    assert_eq!(reason, Some(OwnWatchReason::Restored));
}

/// Guards against followers that ignore what is numbered below the revisions of before a
/// restore, or keep objects that were lost with it.
#[test]
fn a_list_after_a_restore_is_applied_to_the_state_it_starts_from_alone() {
    let mut leader = listed_at_10();
    let mut same = listed_at_10();
    let mut ahead = listed_at_10();
    ahead.receive(at(0), vec![batch(10, 12)]);
    let listed = [changed("servers/3", restored(3), 1)];
    leader.on_listed(at(1_000), restored(5), &listed);
    let received = same.receive(at(1_000), leader.outgoing());
    assert_eq!(received.known_version, Some(restored(5)));
    assert_eq!(received.new_batches[0].objects, listed);
    leader.on_watched(at(1_100), batch(restored(5), restored(6)));
    let received = same.receive(at(1_100), leader.outgoing());
    assert_eq!(received.known_version, Some(restored(6)));
    assert!(same.can_skip_own_watch(at(1_100)));
    let received = ahead.receive(at(1_000), leader.outgoing());
    assert_eq!(received.known_version, None);
    assert!(received.needs_own_watch);
}

/// The configuration of many routes is larger than a datagram. The change is announced,
/// and each entry watches for it at once.
#[test]
fn changes_that_do_not_fit_are_announced_as_left_out() {
    let mut leader = listed_at_10();
    let large = WatchBatch {
        objects: vec![changed("config/main", 14, 40_000)],
        ..batch(10, 14)
    };
    leader.on_watched(at(0), large);
    let sent: Vec<WatchBatch> = leader
        .outgoing()
        .iter()
        .map(WatchBatch::without_objects)
        .collect();
    assert!(sent[0].is_partial && sent[0].objects.is_empty());
    let mut shared = listed_at_10();
    shared.receive(
        at(50),
        vec![WatchBatch {
            objects: Vec::new(),
            ..batch(8, 10)
        }],
    );
    assert!(shared.can_skip_own_watch(at(100)));
    let listed_at_10 = shared.receive(at(150), sent.clone());
    assert!(listed_at_10.needs_own_watch && listed_at_10.new_batches.is_empty());
    assert!(!shared.can_skip_own_watch(at(160)));
    // Until the entry has watched, no later message makes it skip its own watch.
    shared.receive(at(200), vec![batch(10, 11)]);
    assert!(!shared.can_skip_own_watch(at(210)));
    shared.on_listed(at(220), 14, &[]);
    shared.receive(at(250), sent);
    assert!(shared.can_skip_own_watch(at(260)));
}

/// Applied batches are a gapless sequence of the platform's changes, whatever messages
/// are lost, duplicated or late.
#[test]
fn whatever_is_lost_batches_are_applied_without_a_gap() {
    crate::support::cases(300, |random| {
        let mut leader = listed_at_10();
        let mut shared = listed_at_10();
        let (mut last, mut known) = (10, 10);
        let mut messages = Vec::new();
        for step in 0..60_u64 {
            let next = last + random.int_in_range(0..=2)?;
            leader.on_watched(at(0), batch(last, next));
            last = next;
            messages.push((at(step * 100), leader.outgoing()));
            let heard = random.int_in_range(0..=messages.len() - 1)?;
            if random.int_in_range(0..=2)? > 0 {
                let (confirmed_at, batches) = messages[heard].clone();
                for batch in shared.receive(confirmed_at, batches).new_batches {
                    assert!(batch.after_version <= known, "{batch:?} behind {known}");
                    known = batch.to_version;
                }
            }
            if random.int_in_range(0..=9)? == 0 {
                shared.on_listed(at(step * 100), last, &[]);
                known = last;
            }
        }
        Ok(())
    });
}

/// The claim that an entry makes now.
fn claim(shared: &SharedWatch) -> WatchClaim {
    shared.claim().expect("the entry has listed")
}

/// A leader, an entry that watches for another failure domain, and a follower, which
/// know the same state.
fn three_entries() -> (SharedWatch, SharedWatch, SharedWatch) {
    (listed_at_10(), listed_at_10(), listed_at_10())
}

/// Guards against calls that grow with the entries: as long as two entries that watch
/// by themselves agree with it, a follower makes no call, however long it runs.
#[test]
fn a_follower_whose_state_two_others_confirm_makes_no_call() {
    let (mut leader, mut other, mut follower) = three_entries();
    for step in 1..300_u64 {
        let now = at(step * 800);
        let (before, after) = (9 + step, 10 + step);
        leader.on_watched(now, batch(before, after));
        other.on_watched(now, batch(before, after));
        follower.receive(now, leader.outgoing());
        assert!(follower.can_skip_own_watch(now), "step {step}");
        follower.on_claim(now, "leader", now, claim(&leader));
        follower.on_claim(now, "other", now, claim(&other));
        assert_eq!(follower.resume_version(), after);
    }
}

/// Guards against one entry that verifies its own messages: a forged message and a
/// forged claim come from the same sender.
#[test]
fn the_claims_of_one_entry_do_not_verify_a_state() {
    let (mut leader, _, mut follower) = three_entries();
    let mut own_watch_ms = 0;
    for step in 1..300_u64 {
        let now = at(step * 100);
        leader.on_watched(now, batch(9 + step, 10 + step));
        follower.receive(now, leader.outgoing());
        follower.on_claim(now, "leader", now, claim(&leader));
        if !follower.can_skip_own_watch(now) {
            own_watch_ms = step * 100;
            break;
        }
    }
    assert!((10_000..16_000).contains(&own_watch_ms), "{own_watch_ms}");
    assert_eq!(follower.resume_version(), 10, "nothing was verified");
}

/// Guards against a forged change that stays because others confirm later states: an
/// entry whose state differs is verified by nobody and watches within the same time as
/// without claims.
#[test]
fn a_forged_change_is_found_out_although_others_make_claims() {
    let (mut leader, mut other, mut follower) = three_entries();
    follower.receive(
        at(50),
        vec![WatchBatch {
            objects: vec![changed("servers/11", 11, 7), changed("servers/x", 11, 1)],
            ..batch(10, 11)
        }],
    );
    let mut own_watch_ms = 0;
    for step in 1..300_u64 {
        let now = at(step * 100);
        leader.on_watched(now, batch(9 + step, 10 + step));
        other.on_watched(now, batch(9 + step, 10 + step));
        follower.receive(now, leader.outgoing());
        follower.on_claim(now, "leader", now, claim(&leader));
        follower.on_claim(now, "other", now, claim(&other));
        if !follower.can_skip_own_watch(now) {
            own_watch_ms = step * 100;
            break;
        }
    }
    assert!((10_000..16_000).contains(&own_watch_ms), "{own_watch_ms}");
    assert_eq!(follower.resume_version(), 10);
}

/// A datagram of the leader is lost while nothing changes. Another entry's claim shows
/// that the state is still current.
#[test]
fn a_claim_that_agrees_keeps_an_unchanged_state_fresh() {
    let (mut leader, mut other, mut follower) = three_entries();
    leader.on_watched(at(100), batch(10, 11));
    other.on_watched(at(100), batch(10, 11));
    follower.receive(at(100), leader.outgoing());
    assert!(!follower.can_skip_own_watch(at(1_500)));
    let unchanged = WatchBatch {
        objects: Vec::new(),
        ..batch(11, 15)
    };
    other.on_watched(at(1_400), unchanged);
    follower.on_claim(at(1_450), "other", at(1_400), claim(&other));
    assert!(follower.can_skip_own_watch(at(1_500)));
    other.on_watched(at(2_000), batch(15, 16));
    follower.on_claim(at(2_050), "other", at(2_000), claim(&other));
    assert!(
        !follower.can_skip_own_watch(at(2_800)),
        "a change is missing"
    );
}

/// The same state has the same digest whether it was listed or watched, in any order of
/// changes and with any object deleted.
#[test]
fn the_digest_depends_on_the_state_alone() {
    crate::support::cases(200, |random| {
        let mut watched = listed_at_10();
        let mut state = std::collections::BTreeMap::new();
        let mut version = 10;
        for _ in 0..random.int_in_range(0..=40)? {
            version += 1;
            let key = format!("servers/{}", random.int_in_range(0..=9)?);
            let object = if state.contains_key(&key) && random.ratio(1, 3)? {
                state.remove(&key);
                ChangedObject::deleted(key, version)
            } else {
                let object = changed(&key, version, 1);
                state.insert(key, object.clone());
                object
            };
            let batch = WatchBatch {
                objects: vec![object],
                ..batch(version - 1, version)
            };
            watched.on_watched(at(0), batch);
        }
        let mut listed = SharedWatch::new();
        let objects: Vec<ChangedObject> = state.into_values().collect();
        listed.on_listed(at(0), version, &objects);
        assert_eq!(claim(&watched), claim(&listed));
        Ok(())
    });
}

/// Guards against a forged or incomplete state at a start, of which no later watch
/// would show what is missing: it has to be listed unless two others confirm it.
#[test]
fn a_state_from_another_entry_is_listed_unless_others_confirm_it() {
    let objects = [changed("servers/1", 5, 1), changed("servers/2", 9, 1)];
    let mut true_state = SharedWatch::new();
    true_state.on_listed(at(0), 10, &objects);
    let mut confirmed = SharedWatch::new();
    confirmed.on_snapshot(at(0), at(0), 10, &objects);
    let mut incomplete = SharedWatch::new();
    incomplete.on_snapshot(at(0), at(0), 10, &objects[..1]);
    for started in [&mut confirmed, &mut incomplete] {
        assert_eq!(started.claim(), None, "it verifies nothing yet");
        assert_eq!(started.snapshot(), None);
        started.on_watched(at(500), batch(10, 10));
        assert!(!started.needs_list(at(500)));
        started.on_claim(at(600), "one", at(600), claim(&true_state));
        started.on_claim(at(700), "two", at(700), claim(&true_state));
    }
    assert!(!confirmed.needs_list(at(16_000)));
    assert_eq!(confirmed.claim(), true_state.claim());
    assert!(incomplete.needs_list(at(16_000)));
    assert!(!incomplete.can_skip_own_watch(at(16_000)));
}

/// Guards against a state that stays verified although an entry that watches by itself
/// knows another one.
#[test]
fn a_claim_that_differs_ends_the_verification() {
    let (mut leader, mut other, mut follower) = three_entries();
    let mut differs = SharedWatch::new();
    differs.on_listed(at(0), 10, &[changed("servers/x", 4, 1)]);
    for step in 1..200_u64 {
        let now = at(step * 100);
        leader.on_watched(now, batch(9 + step, 10 + step));
        other.on_watched(now, batch(9 + step, 10 + step));
        differs.on_watched(now, batch(9 + step, 10 + step));
        follower.receive(now, leader.outgoing());
        let (before, after) = (at(step * 100 - 50), now);
        follower.on_claim(before, "leader", before, claim(&leader));
        follower.on_claim(after, "other", after, claim(&other));
        // A digest of another state, at a version that the follower knows.
        let wrong = WatchClaim {
            version: 9 + step,
            digest: claim(&differs).digest,
        };
        follower.on_claim(after, "third", after, wrong);
        assert_eq!(follower.resume_version(), 10, "step {step}");
    }
    assert!(!follower.can_skip_own_watch(at(20_000)));
}
