//! The configuration log never goes back to an older revision, and applies each
//! change completely or not at all.

mod seeds;

use arbtest::arbitrary::{Result, Unstructured};
use base::Revision;
use conf::{ConfigLog, merge_patch};
use schema::link::{ConfigChange, ConfigChanges};
use seeds::each_seed;
use serde_json::{Value, json};
use std::sync::Arc;

const REVISION_MAX: u64 = 6;

/// The change with this revision, which sets the deployment's name to `r` and the
/// revision's number.
fn change(revision: u64) -> ConfigChange {
    let patch = json!({ "deployment": format!("r{revision}") });
    ConfigChange {
        revision,
        patch: patch.to_string().into_bytes(),
    }
}

fn change_with_patch(revision: u64, patch: &str) -> ConfigChange {
    ConfigChange {
        revision,
        patch: patch.as_bytes().to_vec(),
    }
}

fn changes(revisions: impl IntoIterator<Item = u64>) -> ConfigChanges {
    ConfigChanges {
        changes: revisions.into_iter().map(change).collect(),
        ..ConfigChanges::default()
    }
}

fn snapshot(revision: u64) -> ConfigChanges {
    let document = json!({ "deployment": format!("r{revision}") });
    ConfigChanges {
        snapshot: document.to_string().into_bytes(),
        base_revision: revision,
        changes: Vec::new(),
    }
}

fn log_at(revision: u64) -> ConfigLog {
    let mut log = ConfigLog::new();
    log.apply_newer(&changes(1..=revision))
        .expect("valid changes");
    assert_eq!(log.revision(), Revision(revision));
    log
}

/// Asserts that revision, document and configuration match one another.
fn assert_consistent(log: &ConfigLog) {
    let revision = log.revision();
    if revision == Revision(0) {
        assert!(log.current().is_none());
        return;
    }
    let config = log.current().expect("a revision is in force");
    assert_eq!(config.revision(), revision);
    assert_eq!(config.fleet().deployment, format!("r{revision}"));
    assert_eq!(log.document()["deployment"], format!("r{revision}"));
}

/// Guards against an old setting coming back into force. A stale read of the
/// platform, a late frame of a peer or a duplicated list may deliver revisions that
/// are not newer than the one in force.
#[test]
fn stale_changes_are_ignored() {
    let cases = [
        ("duplicated", changes(1..=4)),
        ("stale", changes(1..=2)),
        ("gap", changes([6])),
        ("descending order", changes([4, 3, 2, 1])),
        ("older snapshot", snapshot(3)),
        ("same snapshot", snapshot(4)),
        ("nothing", ConfigChanges::default()),
        (
            "empty snapshot ahead",
            ConfigChanges {
                base_revision: 9,
                ..Default::default()
            },
        ),
    ];
    for (name, received) in cases {
        let mut log = log_at(4);
        let before = Arc::clone(log.current().expect("in force"));
        let applied = log.apply_newer(&received).expect(name);
        assert!(applied.is_none(), "{name}");
        assert!(
            Arc::ptr_eq(&before, log.current().expect("in force")),
            "{name}"
        );
        assert_consistent(&log);
    }
}

#[test]
fn newer_changes_are_applied_up_to_a_gap() {
    let mut with_snapshot = snapshot(5);
    with_snapshot.changes = vec![change(4), change(6)];
    let cases = [
        ("next", changes([5]), 5),
        ("overlapping", changes(2..=6), 6),
        ("gap inside", changes([5, 7, 8]), 5),
        ("newer snapshot", snapshot(9), 9),
        ("snapshot and change", with_snapshot, 6),
    ];
    for (name, received, revision) in cases {
        let mut log = log_at(4);
        let applied = log.apply_newer(&received).expect(name).expect(name);
        assert_eq!(applied.revision(), Revision(revision), "{name}");
        assert_consistent(&log);
    }
}

/// Guards against the partial application of an invalid change: the document would
/// no longer match the revision in force, and the next change would be applied to a
/// document that was never accepted.
#[test]
fn a_rejected_change_leaves_the_log_unchanged() {
    let bad_snapshot = |text: &str| ConfigChanges {
        snapshot: text.as_bytes().to_vec(),
        base_revision: 9,
        changes: Vec::new(),
    };
    let bad_change = |patch: &str| ConfigChanges {
        changes: vec![change_with_patch(5, patch)],
        ..ConfigChanges::default()
    };
    let cases = [
        bad_change("{"),
        bad_change(""),
        bad_change("[]"),
        bad_change(r#"{ "deployment": "broken", "pools": 7 }"#),
        bad_change(r#"{ "deployment": "broken", "unheard_of": 1 }"#),
        bad_change(&format!("{}1{}", "[".repeat(5_000), "]".repeat(5_000))),
        bad_snapshot("null"),
        bad_snapshot(r#"{ "deployment": 5 }"#),
        bad_snapshot("{"),
    ];
    for received in cases {
        let mut log = log_at(4);
        let before = Arc::clone(log.current().expect("in force"));
        log.apply_newer(&received).expect_err("an invalid change");
        assert!(
            Arc::ptr_eq(&before, log.current().expect("in force")),
            "{received:?}"
        );
        assert_consistent(&log);
        log.apply_newer(&changes([5])).expect("a valid change");
        assert_consistent(&log);
    }
}

/// Changes before an invalid one in the same message stay in force.
#[test]
fn changes_before_an_invalid_one_stay_in_force() {
    let mut log = log_at(4);
    let mut received = changes([5]);
    received.changes.push(change_with_patch(6, "{"));
    log.apply_newer(&received).expect_err("change 6 is invalid");
    assert_eq!(log.revision(), Revision(5));
    assert_consistent(&log);
}

/// Guards against an overflow, and so a panic, when the next revision is computed
/// while the largest possible one is in force.
#[test]
fn the_maximum_revision_does_not_overflow() {
    let mut log = ConfigLog::new();
    log.apply_newer(&snapshot(u64::MAX))
        .expect("a valid snapshot");
    assert!(
        log.apply_newer(&changes([0, 1]))
            .expect("stale changes")
            .is_none()
    );
    assert_eq!(
        log.changes_after(Revision(u64::MAX)),
        ConfigChanges::default()
    );
    assert_consistent(&log);
}

#[test]
fn a_peer_behind_catches_up_from_any_revision() {
    let mut log = ConfigLog::new();
    log.apply_newer(&snapshot(3)).expect("valid changes");
    log.apply_newer(&changes(4..=400)).expect("valid changes");
    for behind in [0, 1, 3, 10, 143, 144, 145, 399] {
        let mut peer = ConfigLog::new();
        if behind > 0 {
            peer.apply_newer(&snapshot(behind)).expect("valid changes");
        }
        let missing = log.changes_after(Revision(behind));
        peer.apply_newer(&missing).expect("valid changes");
        assert_eq!(peer.revision(), Revision(400), "from {behind}");
        assert_eq!(peer.document(), log.document(), "from {behind}");
    }
    let none = log.changes_after(Revision(400));
    assert_eq!(none, ConfigChanges::default());
}

/// Guards against a peer that never catches up: several large changes together
/// don't fit a frame, so the peer must be sent a snapshot instead.
#[test]
fn the_size_of_a_catch_up_is_bounded() {
    const SENT_MAX_BYTES: usize = 512 << 10;
    let mut log = log_at(1);
    for revision in 2..=20 {
        let text = "x".repeat(200 << 10);
        let patch = json!({ "deployment": format!("r{revision}{text}") });
        let large = ConfigChanges {
            changes: vec![change_with_patch(revision, &patch.to_string())],
            ..ConfigChanges::default()
        };
        log.apply_newer(&large).expect("valid changes");
    }
    for behind in 0..20 {
        let sent = log.changes_after(Revision(behind));
        let patches = sent.changes.iter().map(|change| change.patch.len());
        let bytes = patches.sum::<usize>() + sent.snapshot.len();
        assert!(bytes <= SENT_MAX_BYTES, "{bytes} bytes from {behind}");
    }
}

fn arbitrary_changes(u: &mut Unstructured<'_>) -> Result<ConfigChanges> {
    let mut received = match u.int_in_range(0..=3)? {
        0 => snapshot(u.int_in_range(0..=REVISION_MAX)?),
        1 => ConfigChanges {
            snapshot: u.arbitrary()?,
            base_revision: u.arbitrary()?,
            changes: Vec::new(),
        },
        _ => ConfigChanges::default(),
    };
    for _ in 0..u.int_in_range(0..=6)? {
        received.changes.push(match u.int_in_range(0..=4)? {
            0 => change_with_patch(
                u.int_in_range(0..=REVISION_MAX + 1)?,
                &u.arbitrary::<String>()?,
            ),
            _ => change(u.int_in_range(1..=REVISION_MAX)?),
        });
    }
    Ok(received)
}

/// Stale, missing, duplicated and invalid changes arrive in any order. The revision
/// never decreases, and the configuration in force always has that revision.
#[test]
fn no_sequence_of_changes_lowers_the_revision() {
    each_seed(1_000, 1_000, |u| {
        let mut log = ConfigLog::new();
        for _ in 0..u.int_in_range(1..=12)? {
            let before = log.revision();
            let received = arbitrary_changes(u)?;
            let _ = log.apply_newer(&received);
            assert!(log.revision() >= before);
            assert_eq!(
                log.current()
                    .map_or(Revision(0), |config| config.revision()),
                log.revision()
            );
            let _ = log.changes_after(Revision(u.arbitrary()?));
        }
        Ok(())
    });
}

fn random_document(u: &mut Unstructured<'_>, depth: u32) -> Result<Value> {
    Ok(match u.int_in_range(0..=if depth > 0 { 5 } else { 2 })? {
        0 => json!(u.int_in_range(0..=3)?),
        1 => json!(u.choose(&["a", "b"])?),
        2 => json!([u.int_in_range(0..=2)?, null]),
        _ => {
            let mut map = serde_json::Map::new();
            for _ in 0..u.int_in_range(0..=3)? {
                let key = (*u.choose(&["k", "l", "m"])?).to_owned();
                map.insert(key, random_document(u, depth - 1)?);
            }
            Value::Object(map)
        }
    })
}

#[test]
fn applying_a_diff_yields_the_second_document() {
    each_seed(1_000, 1_000, |u| {
        let before = random_document(u, 4)?;
        let after = random_document(u, 4)?;
        let mut patched = before.clone();
        merge_patch::apply(&mut patched, &merge_patch::diff(&before, &after));
        assert_eq!(patched, after, "from {before}");
        Ok(())
    });
}
