//! Publishing against a failing platform and concurrent operators.

use crate::fake::{FakePlatform, Fault};
use base::Revision;
use conf::{SNAPSHOT_KEY, check_fleet, merge_patch};
use ctl::CtlError;
use ctl::head::read_config_head;
use ctl::publish::{Conflict, PublishOutcome, PublishRequest, publish};
use prost::Message;
use schema::link::ConfigChanges;
use serde_json::{Value, json};

const REVISION_1_KEY: &str = "config/000000000001";
const REVISION_2_KEY: &str = "config/000000000002";

fn document() -> Value {
    let text = include_str!("../../../../deploy/harbourline.jsonc");
    check_fleet(text).expect("the file is valid").1
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

fn request(document: Value) -> PublishRequest {
    PublishRequest {
        document,
        base: None,
        rebase: false,
    }
}

/// A platform with the document as revision 1.
fn platform() -> FakePlatform {
    let platform = FakePlatform::default();
    platform.put(REVISION_1_KEY, &bytes(&document()));
    platform
}

fn our_patch() -> Value {
    json!({ "weights": { "move_cost": 2.0 } })
}

fn accepted(outcome: &PublishOutcome) -> Option<Revision> {
    match outcome {
        PublishOutcome::Accepted { revision, .. } => Some(*revision),
        _ => None,
    }
}

fn conflict(outcome: PublishOutcome) -> Conflict {
    match outcome {
        PublishOutcome::Conflict(conflict) => conflict,
        other => panic!("no conflict: {other:?}"),
    }
}

#[tokio::test(start_paused = true)]
async fn a_first_and_a_second_document_are_accepted() {
    let platform = FakePlatform::default();
    let outcome = publish(&platform, request(document())).await;
    assert_eq!(accepted(&outcome), Some(Revision(1)));
    let outcome = publish(&platform, request(patched(&our_patch()))).await;
    assert_eq!(accepted(&outcome), Some(Revision(2)));
    assert_eq!(
        platform.value(REVISION_2_KEY),
        Some(bytes(&our_patch())),
        "a plain patch"
    );
    let outcome = publish(&platform, request(patched(&our_patch()))).await;
    assert!(
        matches!(outcome, PublishOutcome::Unchanged(Revision(2))),
        "{outcome:?}"
    );
    let head = read_config_head(&platform)
        .await
        .expect("a valid configuration");
    assert_eq!(*head.document(), patched(&our_patch()));
    assert_eq!(
        head.document_at(Revision(1)).expect("the revision exists"),
        document()
    );
}

/// A response or a write is lost, a write takes effect late, or the platform
/// refuses calls. The outcome says whether the change was accepted, and it is
/// accepted at most once. A write that may still take effect must be reported
/// as unknown, not as refused.
#[tokio::test(start_paused = true)]
async fn lost_responses_are_resolved_or_reported_as_unknown() {
    use Fault::{Delayed, Pass, RequestLost, ResponseLost, Unavailable};
    #[derive(Debug, PartialEq)]
    enum Ending {
        Accepted,
        Unavailable,
        Unknown,
    }
    let cases = [
        (
            "response lost",
            vec![ResponseLost],
            vec![],
            Ending::Accepted,
        ),
        ("request lost", vec![RequestLost], vec![], Ending::Accepted),
        ("delayed", vec![Delayed], vec![], Ending::Accepted),
        (
            "unavailable at first",
            vec![Unavailable, Unavailable],
            vec![],
            Ending::Accepted,
        ),
        (
            "response lost, read unavailable",
            vec![ResponseLost],
            vec![Unavailable],
            Ending::Accepted,
        ),
        (
            "unavailable",
            vec![Unavailable; 9],
            vec![],
            Ending::Unavailable,
        ),
        (
            "request lost, then unavailable",
            vec![RequestLost, Unavailable, Unavailable, Unavailable],
            vec![],
            Ending::Unknown,
        ),
        (
            "delayed, then unavailable",
            vec![Delayed, Unavailable, Unavailable, Unavailable],
            vec![],
            Ending::Accepted,
        ),
        (
            "response lost, no read",
            vec![ResponseLost],
            vec![Unavailable; 9],
            Ending::Unknown,
        ),
        (
            "all requests lost",
            vec![RequestLost; 9],
            vec![],
            Ending::Unknown,
        ),
    ];
    for (name, writes, reads, expected) in cases {
        let platform = platform();
        platform.fail_writes(writes);
        // The first two reads are those of the snapshot and the changes.
        platform.fail_reads([Pass, Pass].into_iter().chain(reads));
        let outcome = publish(&platform, request(patched(&our_patch()))).await;
        let ending = match &outcome {
            PublishOutcome::Accepted { .. } => Ending::Accepted,
            PublishOutcome::Failed(CtlError::PlatformUnreachable) => {
                Ending::Unavailable
            }
            PublishOutcome::Unknown(Revision(2)) => Ending::Unknown,
            other => panic!("{name}: {other:?}"),
        };
        assert_eq!(ending, expected, "{name}");
        let revisions = platform.count("config/");
        match ending {
            Ending::Accepted => assert_eq!(revisions, 2, "{name}"),
            Ending::Unavailable => assert_eq!(revisions, 1, "{name}"),
            Ending::Unknown => assert!(revisions <= 2, "{name}"),
        }
    }
}

/// Two operators publish at the same time. The slower one gets a conflict that
/// lists the other's changes, and nothing of its change is written, also if its
/// own write got no response.
#[tokio::test(start_paused = true)]
async fn the_slower_of_two_operators_gets_a_conflict() {
    let their_patch = json!({ "store": { "loads_per_s": 1.0 } });
    let concurrent_write =
        Fault::ConcurrentWrite(REVISION_2_KEY.to_owned(), bytes(&their_patch));
    let races = [
        vec![concurrent_write.clone()],
        vec![Fault::RequestLost, concurrent_write],
    ];
    for writes in races {
        let platform = platform();
        platform.fail_writes(writes);
        let outcome = publish(&platform, request(patched(&our_patch()))).await;
        let conflict = conflict(outcome);
        assert_eq!((conflict.base, conflict.head), (1, 2));
        assert_eq!(conflict.theirs[0].path, "store.loads_per_s");
        assert!(conflict.overlaps.is_empty());
        assert_eq!(platform.count("config/"), 2);
        assert_eq!(platform.value(REVISION_2_KEY), Some(bytes(&their_patch)));
    }
}

#[tokio::test(start_paused = true)]
async fn an_identical_change_by_another_operator_counts_as_accepted() {
    let writes = [Fault::ConcurrentWrite(
        REVISION_2_KEY.to_owned(),
        bytes(&our_patch()),
    )];
    let platform = platform();
    platform.fail_writes(writes);
    let outcome = publish(&platform, request(patched(&our_patch()))).await;
    assert_eq!(accepted(&outcome), Some(Revision(2)));
    assert_eq!(platform.count("config/"), 2);
}

/// An operator edits a file made from revision 1 while another publishes
/// revision 2. With `--base 1`, publishing the old file must not revert the
/// other change: it is a conflict, or with `--rebase` only the operator's own
/// change is applied.
#[tokio::test(start_paused = true)]
async fn an_old_file_reverts_nothing() {
    let their_patch = json!({ "store": { "loads_per_s": 1.0 } });
    let platform = platform();
    platform.put(REVISION_2_KEY, &bytes(&their_patch));
    let mut request = request(patched(&our_patch()));
    request.base = Some(Revision(1));
    let lost = conflict(publish(&platform, request.clone()).await);
    assert_eq!((lost.base, lost.head), (1, 2));
    assert_eq!(platform.count("config/"), 2);

    request.rebase = true;
    let outcome = publish(&platform, request).await;
    assert_eq!(accepted(&outcome), Some(Revision(3)));
    let head = read_config_head(&platform)
        .await
        .expect("a valid configuration");
    assert_eq!(head.document()["store"]["loads_per_s"], 1.0);
    assert_eq!(head.document()["weights"]["move_cost"], 2.0);
}

/// A rebase is made only if the changes don't overlap and the result is valid.
#[tokio::test(start_paused = true)]
async fn a_rebase_stops_at_overlaps_and_faults() {
    let same_value = json!({ "weights": { "move_cost": 3.0 } });
    let around = json!({ "weights": null });
    let base_gone = json!({ "models": { "parts-12": null }, "profiles": {
        "parts-lookup": { "models": ["parts-01"] } } });
    let uses_base = json!({ "adapters": { "parts-12-new": {
        "base": "parts-12", "size_mib": 256, "version": 1 } } });
    let cases = [
        (
            "same value",
            our_patch(),
            same_value,
            Some("weights.move_cost"),
        ),
        ("parent removed", our_patch(), around, Some("weights")),
        ("base model removed", uses_base, base_gone, None),
    ];
    for (name, our_patch, their_patch, overlap) in cases {
        let platform = platform();
        platform.fail_writes([Fault::ConcurrentWrite(
            REVISION_2_KEY.to_owned(),
            bytes(&their_patch),
        )]);
        let mut request = request(patched(&our_patch));
        request.rebase = true;
        match (publish(&platform, request).await, overlap) {
            (PublishOutcome::Conflict(conflict), Some(overlap)) => {
                assert_eq!(conflict.overlaps, [overlap], "{name}");
            }
            (PublishOutcome::Invalid(diagnostics), None) => {
                assert_eq!(diagnostics[0].path, "adapters.parts-12-new.base", "{name}");
            }
            (other, _) => panic!("{name}: {other:?}"),
        }
        assert_eq!(platform.count("config/"), 2, "{name}");
    }
}

/// A rebase must end even if another operator publishes first every time.
#[tokio::test(start_paused = true)]
async fn a_rebase_gives_up_after_some_retries() {
    const OTHERS: u64 = 12;
    let platform = platform();
    platform.fail_writes((2..2 + OTHERS).map(|revision| {
        let key = conf::revision_key(Revision(revision));
        Fault::ConcurrentWrite(key, bytes(&numbered_patch(revision)))
    }));
    let mut request = request(patched(&our_patch()));
    request.rebase = true;
    conflict(publish(&platform, request).await);
    assert!((platform.count("config/") as u64) < OTHERS);
}

#[tokio::test(start_paused = true)]
async fn an_unreachable_or_damaged_platform_is_reported_without_a_write() {
    let away = FakePlatform::default();
    away.fail_reads(vec![Fault::Unavailable; 20]);
    let outcome = publish(&away, request(document())).await;
    assert!(
        matches!(
            outcome,
            PublishOutcome::Failed(CtlError::PlatformUnreachable)
        ),
        "{outcome:?}"
    );
    let damaged = [
        ("gap", "config/000000000003", b"{}".to_vec()),
        ("not JSON", REVISION_2_KEY, b"{".to_vec()),
        ("not a snapshot", SNAPSHOT_KEY, vec![0xff; 9]),
    ];
    for (name, key, value) in damaged {
        let platform = platform();
        platform.put(key, &value);
        let outcome = publish(&platform, request(patched(&our_patch()))).await;
        assert!(
            matches!(
                outcome,
                PublishOutcome::Failed(CtlError::CorruptConfig { .. })
            ),
            "{name}: {outcome:?}"
        );
        assert_eq!(platform.value(key), Some(value), "{name}");
    }
}

fn snapshot_revision(platform: &FakePlatform) -> u64 {
    let value = platform.value(SNAPSHOT_KEY).expect("a snapshot");
    let snapshot = ConfigChanges::decode(value.as_slice()).expect("a valid snapshot");
    snapshot.base_revision
}

/// A patch that differs for each revision.
fn numbered_patch(revision: u64) -> Value {
    json!({ "store": { "load_time_ms": 2_000 + revision } })
}

/// Stores revisions on the platform, as other operators would.
fn put_revisions(platform: &FakePlatform, revisions: std::ops::RangeInclusive<u64>) {
    for revision in revisions {
        let key = conf::revision_key(Revision(revision));
        platform.put(&key, &bytes(&numbered_patch(revision)));
    }
}

async fn publish_numbered_patch(platform: &FakePlatform, revision: u64) {
    let outcome = publish(platform, request(patched(&numbered_patch(revision)))).await;
    assert_eq!(accepted(&outcome), Some(Revision(revision)));
}

#[tokio::test(start_paused = true)]
async fn a_snapshot_is_written_every_64_revisions() {
    let platform = platform();
    put_revisions(&platform, 2..=62);
    publish_numbered_patch(&platform, 63).await;
    assert_eq!(platform.value(SNAPSHOT_KEY), None);
    publish_numbered_patch(&platform, 64).await;
    assert_eq!(snapshot_revision(&platform), 64);
    put_revisions(&platform, 65..=126);
    publish_numbered_patch(&platform, 127).await;
    assert_eq!(snapshot_revision(&platform), 64);
    publish_numbered_patch(&platform, 128).await;
    assert_eq!(snapshot_revision(&platform), 128);
    let head = read_config_head(&platform)
        .await
        .expect("a valid configuration");
    assert_eq!(head.revision(), Revision(128));
    let old = head.document_at(Revision(7)).expect("the revision exists");
    assert_eq!(old["store"]["load_time_ms"], 2_007);
}

/// An operator's process is paused between the acceptance of revision 64 and
/// the write of its snapshot. Meanwhile another operator writes a newer
/// snapshot, which the delayed write must not replace.
#[tokio::test(start_paused = true)]
async fn a_delayed_snapshot_does_not_replace_a_newer_one() {
    let newer = ConfigChanges {
        snapshot: bytes(&document()),
        base_revision: 200,
        changes: Vec::new(),
    };
    let platform = platform();
    put_revisions(&platform, 2..=63);
    let newer = Fault::ConcurrentWrite(SNAPSHOT_KEY.to_owned(), newer.encode_to_vec());
    platform.fail_writes([Fault::Pass, newer]);
    publish_numbered_patch(&platform, 64).await;
    assert_eq!(snapshot_revision(&platform), 200);
}

#[tokio::test(start_paused = true)]
async fn a_failed_snapshot_is_reported_and_written_by_the_next_publication() {
    let platform = platform();
    put_revisions(&platform, 2..=63);
    platform.fail_writes([Fault::Pass, Fault::Unavailable]);
    let outcome = publish(&platform, request(patched(&numbered_patch(64)))).await;
    let reported = matches!(
        outcome,
        PublishOutcome::Accepted {
            snapshot_failed: true,
            ..
        }
    );
    assert!(reported, "{outcome:?}");
    publish_numbered_patch(&platform, 65).await;
    assert_eq!(snapshot_revision(&platform), 65);
}
