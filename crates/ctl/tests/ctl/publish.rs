//! Publishing against a platform that fails and against other operators.

use crate::fake::{FakePlatform, Fault};
use base::Revision;
use conf::{SNAPSHOT_KEY, check_fleet, merge_patch};
use ctl::CtlError;
use ctl::head::read_head;
use ctl::publish::{Conflict, Outcome, Request, publish};
use prost::Message;
use schema::link::ConfigChanges;
use serde_json::{Value, json};

const FIRST: &str = "config/000000000001";
const SECOND: &str = "config/000000000002";

fn document() -> Value {
    let text = include_str!("../../../../deploy/harbourline.jsonc");
    check_fleet(text).expect("the file is good").1
}

/// The document with a patch applied.
fn patched(patch: &Value) -> Value {
    let mut document = document();
    merge_patch::apply(&mut document, patch);
    document
}

fn bytes(value: &Value) -> Vec<u8> {
    value.to_string().into_bytes()
}

fn request(document: Value) -> Request {
    Request {
        document,
        base: None,
        rebase: false,
    }
}

/// A platform that has the document as revision 1.
fn platform() -> FakePlatform {
    let platform = FakePlatform::default();
    platform.put(FIRST, &bytes(&document()));
    platform
}

fn ours() -> Value {
    json!({ "weights": { "move_cost": 2.0 } })
}

fn accepted(outcome: &Outcome) -> Option<Revision> {
    match outcome {
        Outcome::Accepted { revision, .. } => Some(*revision),
        _ => None,
    }
}

fn conflict(outcome: Outcome) -> Conflict {
    match outcome {
        Outcome::Conflict(conflict) => conflict,
        other => panic!("no conflict: {other:?}"),
    }
}

#[tokio::test(start_paused = true)]
async fn the_first_and_the_next_document_are_accepted() {
    let platform = FakePlatform::default();
    let outcome = publish(&platform, request(document())).await;
    assert_eq!(accepted(&outcome), Some(Revision(1)));
    let outcome = publish(&platform, request(patched(&ours()))).await;
    assert_eq!(accepted(&outcome), Some(Revision(2)));
    assert_eq!(
        platform.value(SECOND),
        Some(bytes(&ours())),
        "a plain patch"
    );
    let outcome = publish(&platform, request(patched(&ours()))).await;
    assert!(
        matches!(outcome, Outcome::Unchanged(Revision(2))),
        "{outcome:?}"
    );
    let head = read_head(&platform).await.expect("a good head");
    assert_eq!(*head.document(), patched(&ours()));
    assert_eq!(head.document_at(Revision(1)).expect("held"), document());
}

/// The operator is told whether the change is accepted, and it is accepted at
/// most once. The platform takes a write and the answer is lost, or the write
/// itself is, or it arrives after the operator has read back. What then can't
/// be settled may still take effect, so it must not be told as refused.
#[tokio::test(start_paused = true)]
async fn lost_answers_are_settled_or_told_as_unknown() {
    use Fault::{AnswerLost, Away, CallLost, Late, Pass};
    #[derive(Debug, PartialEq)]
    enum Ends {
        Accepted,
        Away,
        Unknown,
    }
    let cases = [
        ("answer lost", vec![AnswerLost], vec![], Ends::Accepted),
        ("call lost", vec![CallLost], vec![], Ends::Accepted),
        ("late", vec![Late], vec![], Ends::Accepted),
        ("away for a while", vec![Away, Away], vec![], Ends::Accepted),
        (
            "lost, read away",
            vec![AnswerLost],
            vec![Away],
            Ends::Accepted,
        ),
        ("away", vec![Away; 9], vec![], Ends::Away),
        (
            "lost, then away",
            vec![CallLost, Away, Away, Away],
            vec![],
            Ends::Unknown,
        ),
        (
            "late, then away",
            vec![Late, Away, Away, Away],
            vec![],
            Ends::Accepted,
        ),
        (
            "lost, no read",
            vec![AnswerLost],
            vec![Away; 9],
            Ends::Unknown,
        ),
        ("all lost", vec![CallLost; 9], vec![], Ends::Unknown),
    ];
    for (name, writes, reads, ends) in cases {
        let platform = platform();
        platform.fail_writes(writes);
        // The head's two reads come first.
        platform.fail_reads([Pass, Pass].into_iter().chain(reads));
        let outcome = publish(&platform, request(patched(&ours()))).await;
        let ended = match &outcome {
            Outcome::Accepted { .. } => Ends::Accepted,
            Outcome::Failed(CtlError::PlatformAway) => Ends::Away,
            Outcome::Unknown(Revision(2)) => Ends::Unknown,
            other => panic!("{name}: {other:?}"),
        };
        assert_eq!(ended, ends, "{name}");
        let held = platform.count("config/");
        match ended {
            Ends::Accepted => assert_eq!(held, 2, "{name}"),
            Ends::Away => assert_eq!(held, 1, "{name}"),
            Ends::Unknown => assert!(held <= 2, "{name}"),
        }
    }
}

/// Two operators publish at once, and one of them learns that the other was
/// first and what was changed. Nothing of the loser's is written, also when its
/// own write had got no answer.
#[tokio::test(start_paused = true)]
async fn the_loser_of_a_race_gets_a_conflict() {
    let theirs = json!({ "store": { "loads_per_s": 1.0 } });
    let first = Fault::OtherFirst(SECOND.to_owned(), bytes(&theirs));
    let races = [vec![first.clone()], vec![Fault::CallLost, first]];
    for writes in races {
        let platform = platform();
        platform.fail_writes(writes);
        let outcome = publish(&platform, request(patched(&ours()))).await;
        let conflict = conflict(outcome);
        assert_eq!((conflict.base, conflict.head), (1, 2));
        assert_eq!(conflict.theirs[0].path, "store.loads_per_s");
        assert!(conflict.overlaps.is_empty());
        assert_eq!(platform.count("config/"), 2);
        assert_eq!(platform.value(SECOND), Some(bytes(&theirs)));
    }
}

#[tokio::test(start_paused = true)]
async fn an_identical_change_of_another_operator_is_acceptance() {
    let writes = [Fault::OtherFirst(SECOND.to_owned(), bytes(&ours()))];
    let platform = platform();
    platform.fail_writes(writes);
    let outcome = publish(&platform, request(patched(&ours()))).await;
    assert_eq!(accepted(&outcome), Some(Revision(2)));
    assert_eq!(platform.count("config/"), 2);
}

/// An operator edits a file made from revision 1 while another publishes
/// revision 2. Published whole, the old file would take the other's change
/// back; with its base told, it is a conflict, or only its own change is made.
#[tokio::test(start_paused = true)]
async fn an_old_file_takes_nothing_back() {
    let theirs = json!({ "store": { "loads_per_s": 1.0 } });
    let platform = platform();
    platform.put(SECOND, &bytes(&theirs));
    let mut request = request(patched(&ours()));
    request.base = Some(Revision(1));
    let lost = conflict(publish(&platform, request.clone()).await);
    assert_eq!((lost.base, lost.head), (1, 2));
    assert_eq!(platform.count("config/"), 2);

    request.rebase = true;
    let outcome = publish(&platform, request).await;
    assert_eq!(accepted(&outcome), Some(Revision(3)));
    let head = read_head(&platform).await.expect("a good head");
    assert_eq!(head.document()["store"]["loads_per_s"], 1.0);
    assert_eq!(head.document()["weights"]["move_cost"], 2.0);
}

/// A rebase goes on only where the two changes can't disturb one another.
#[tokio::test(start_paused = true)]
async fn a_rebase_stops_at_overlaps_and_faults() {
    let same_value = json!({ "weights": { "move_cost": 3.0 } });
    let around = json!({ "weights": null });
    let base_gone = json!({ "models": { "parts-12": null }, "profiles": {
        "parts-lookup": { "models": ["parts-01"] } } });
    let uses_base = json!({ "adapters": { "parts-12-new": {
        "base": "parts-12", "size_mib": 256, "version": 1 } } });
    let cases = [
        ("same value", ours(), same_value, Some("weights.move_cost")),
        ("around", ours(), around, Some("weights")),
        ("base gone", uses_base, base_gone, None),
    ];
    for (name, ours, theirs, overlap) in cases {
        let platform = platform();
        platform.fail_writes([Fault::OtherFirst(SECOND.to_owned(), bytes(&theirs))]);
        let mut request = request(patched(&ours));
        request.rebase = true;
        match (publish(&platform, request).await, overlap) {
            (Outcome::Conflict(conflict), Some(overlap)) => {
                assert_eq!(conflict.overlaps, [overlap], "{name}");
            }
            (Outcome::Faults(faults), None) => {
                assert_eq!(faults[0].path, "adapters.parts-12-new.base", "{name}");
            }
            (other, _) => panic!("{name}: {other:?}"),
        }
        assert_eq!(platform.count("config/"), 2, "{name}");
    }
}

/// A platform that always lets another operator be first does not keep the
/// command running for ever.
#[tokio::test(start_paused = true)]
async fn a_rebase_gives_up_after_some_rounds() {
    const OTHERS: u64 = 12;
    let platform = platform();
    platform.fail_writes((2..2 + OTHERS).map(|revision| {
        let key = conf::revision_key(Revision(revision));
        Fault::OtherFirst(key, bytes(&numbered(revision)))
    }));
    let mut request = request(patched(&ours()));
    request.rebase = true;
    conflict(publish(&platform, request).await);
    assert!((platform.count("config/") as u64) < OTHERS);
}

#[tokio::test(start_paused = true)]
async fn a_platform_away_or_damaged_is_told_without_a_write() {
    let away = FakePlatform::default();
    away.fail_reads(vec![Fault::Away; 20]);
    let outcome = publish(&away, request(document())).await;
    assert!(
        matches!(outcome, Outcome::Failed(CtlError::PlatformAway)),
        "{outcome:?}"
    );
    let damaged = [
        ("gap", "config/000000000003", b"{}".to_vec()),
        ("not JSON", SECOND, b"{".to_vec()),
        ("not a snapshot", SNAPSHOT_KEY, vec![0xff; 9]),
    ];
    for (name, key, value) in damaged {
        let platform = platform();
        platform.put(key, &value);
        let outcome = publish(&platform, request(patched(&ours()))).await;
        assert!(
            matches!(outcome, Outcome::Failed(CtlError::DamagedHead { .. })),
            "{name}: {outcome:?}"
        );
        assert_eq!(platform.value(key), Some(value), "{name}");
    }
}

fn snapshot_revision(platform: &FakePlatform) -> u64 {
    let value = platform.value(SNAPSHOT_KEY).expect("a snapshot");
    let snapshot = ConfigChanges::decode(value.as_slice()).expect("a good snapshot");
    snapshot.base_revision
}

/// Patch that makes a revision unlike all others.
fn numbered(revision: u64) -> Value {
    json!({ "store": { "load_time_ms": 2_000 + revision } })
}

/// Puts revisions on the platform, as other operators would have.
fn hold(platform: &FakePlatform, revisions: std::ops::RangeInclusive<u64>) {
    for revision in revisions {
        let key = conf::revision_key(Revision(revision));
        platform.put(&key, &bytes(&numbered(revision)));
    }
}

async fn publish_numbered(platform: &FakePlatform, revision: u64) {
    let outcome = publish(platform, request(patched(&numbered(revision)))).await;
    assert_eq!(accepted(&outcome), Some(Revision(revision)));
}

#[tokio::test(start_paused = true)]
async fn a_snapshot_follows_every_64_revisions() {
    let platform = platform();
    hold(&platform, 2..=62);
    publish_numbered(&platform, 63).await;
    assert_eq!(platform.value(SNAPSHOT_KEY), None);
    publish_numbered(&platform, 64).await;
    assert_eq!(snapshot_revision(&platform), 64);
    hold(&platform, 65..=126);
    publish_numbered(&platform, 127).await;
    assert_eq!(snapshot_revision(&platform), 64);
    publish_numbered(&platform, 128).await;
    assert_eq!(snapshot_revision(&platform), 128);
    let head = read_head(&platform).await.expect("a good head");
    assert_eq!(head.revision(), Revision(128));
    let old = head.document_at(Revision(7)).expect("held");
    assert_eq!(old["store"]["load_time_ms"], 2_007);
}

/// An operator is paused between the acceptance of revision 64 and its
/// snapshot. Meanwhile others went on and wrote a newer one. The late snapshot
/// must not take its place.
#[tokio::test(start_paused = true)]
async fn a_late_snapshot_does_not_replace_a_newer_one() {
    let newer = ConfigChanges {
        snapshot: bytes(&document()),
        base_revision: 200,
        changes: Vec::new(),
    };
    let platform = platform();
    hold(&platform, 2..=63);
    let newer = Fault::OtherFirst(SNAPSHOT_KEY.to_owned(), newer.encode_to_vec());
    platform.fail_writes([Fault::Pass, newer]);
    publish_numbered(&platform, 64).await;
    assert_eq!(snapshot_revision(&platform), 200);
}

#[tokio::test(start_paused = true)]
async fn a_failed_snapshot_is_told_and_made_up_for() {
    let platform = platform();
    hold(&platform, 2..=63);
    platform.fail_writes([Fault::Pass, Fault::Away]);
    let outcome = publish(&platform, request(patched(&numbered(64)))).await;
    let told = matches!(
        outcome,
        Outcome::Accepted {
            snapshot_failed: true,
            ..
        }
    );
    assert!(told, "{outcome:?}");
    publish_numbered(&platform, 65).await;
    assert_eq!(snapshot_revision(&platform), 65);
}
