//! The configuration log: never back, and all or nothing.

mod seeds;

use arbtest::arbitrary::{Result, Unstructured};
use base::Revision;
use conf::{ConfigLog, merge_patch};
use schema::link::{ConfigChange, ConfigChanges};
use seeds::each_seed;
use serde_json::{Value, json};
use std::sync::Arc;

const REVISIONS: u64 = 6;

/// Change `n` of the one true history; names the deployment after itself.
fn change(revision: u64) -> ConfigChange {
    let patch = json!({ "deployment": format!("r{revision}") });
    ConfigChange {
        revision,
        patch: patch.to_string().into_bytes(),
    }
}

fn raw(revision: u64, patch: &str) -> ConfigChange {
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
        .expect("good changes");
    assert_eq!(log.revision(), Revision(revision));
    log
}

/// Revision, document and configuration belong together.
fn assert_whole(log: &ConfigLog) {
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

/// An operator sees an accepted setting in force and then the old one again. A
/// lagging read of the platform, a late frame of a peer and a doubled list all
/// offer revisions that are in force already; taking one up would step back.
#[test]
fn old_offers_change_nothing() {
    let offers = [
        ("doubled", changes(1..=4)),
        ("old", changes(1..=2)),
        ("gap", changes([6])),
        ("backwards", changes([4, 3, 2, 1])),
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
    for (name, offer) in offers {
        let mut log = log_at(4);
        let before = Arc::clone(log.current().expect("in force"));
        let taken = log.apply_newer(&offer).expect(name);
        assert!(taken.is_none(), "{name}");
        assert!(
            Arc::ptr_eq(&before, log.current().expect("in force")),
            "{name}"
        );
        assert_whole(&log);
    }
}

#[test]
fn newer_offers_are_taken_up_to_a_gap() {
    let mut with_snapshot = snapshot(5);
    with_snapshot.changes = vec![change(4), change(6)];
    let offers = [
        ("next", changes([5]), 5),
        ("overlapping", changes(2..=6), 6),
        ("gap inside", changes([5, 7, 8]), 5),
        ("newer snapshot", snapshot(9), 9),
        ("snapshot and change", with_snapshot, 6),
    ];
    for (name, offer, revision) in offers {
        let mut log = log_at(4);
        let taken = log.apply_newer(&offer).expect(name).expect(name);
        assert_eq!(taken.revision(), Revision(revision), "{name}");
        assert_whole(&log);
    }
}

/// A damaged change reaches a process. If it were taken in part, the document
/// would no longer belong to the revision in force, and the next change would
/// build on a document that nobody accepted.
#[test]
fn a_rejected_change_leaves_all_as_it_was() {
    let bad_snapshot = |text: &str| ConfigChanges {
        snapshot: text.as_bytes().to_vec(),
        base_revision: 9,
        changes: Vec::new(),
    };
    let bad_change = |patch: &str| ConfigChanges {
        changes: vec![raw(5, patch)],
        ..ConfigChanges::default()
    };
    let offers = [
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
    for offer in offers {
        let mut log = log_at(4);
        let before = Arc::clone(log.current().expect("in force"));
        log.apply_newer(&offer).expect_err("a damaged offer");
        assert!(
            Arc::ptr_eq(&before, log.current().expect("in force")),
            "{offer:?}"
        );
        assert_whole(&log);
        log.apply_newer(&changes([5])).expect("the log goes on");
        assert_whole(&log);
    }
}

/// What came before a damaged change in the same offer stays in force.
#[test]
fn changes_before_a_damaged_one_stay() {
    let mut log = log_at(4);
    let mut offer = changes([5]);
    offer.changes.push(raw(6, "{"));
    log.apply_newer(&offer).expect_err("change 6 is damaged");
    assert_eq!(log.revision(), Revision(5));
    assert_whole(&log);
}

/// The last possible revision is in force. Counting on from it would overflow
/// and end the process.
#[test]
fn the_last_revision_does_not_overflow() {
    let mut log = ConfigLog::new();
    log.apply_newer(&snapshot(u64::MAX))
        .expect("a good snapshot");
    assert!(log.apply_newer(&changes([0, 1])).expect("old").is_none());
    assert_eq!(
        log.changes_after(Revision(u64::MAX)),
        ConfigChanges::default()
    );
    assert_whole(&log);
}

#[test]
fn a_peer_behind_catches_up_from_any_revision() {
    let mut log = ConfigLog::new();
    log.apply_newer(&snapshot(3)).expect("good");
    log.apply_newer(&changes(4..=400)).expect("good");
    for behind in [0, 1, 3, 10, 143, 144, 145, 399] {
        let mut peer = ConfigLog::new();
        if behind > 0 {
            peer.apply_newer(&snapshot(behind)).expect("good");
        }
        let missing = log.changes_after(Revision(behind));
        peer.apply_newer(&missing).expect("good");
        assert_eq!(peer.revision(), Revision(400), "from {behind}");
        assert_eq!(peer.document(), log.document(), "from {behind}");
    }
    let none = log.changes_after(Revision(400));
    assert_eq!(none, ConfigChanges::default());
}

/// A peer is away during a few large changes. Sent as they are, they would not
/// fit a frame, so the peer would never catch up; a snapshot does.
#[test]
fn what_a_peer_is_sent_stays_bounded() {
    const SENT_MAX_BYTES: usize = 512 << 10;
    let mut log = log_at(1);
    for revision in 2..=20 {
        let text = "x".repeat(200 << 10);
        let patch = json!({ "deployment": format!("r{revision}{text}") });
        let large = ConfigChanges {
            changes: vec![raw(revision, &patch.to_string())],
            ..ConfigChanges::default()
        };
        log.apply_newer(&large).expect("good");
    }
    for behind in 0..20 {
        let sent = log.changes_after(Revision(behind));
        let patches = sent.changes.iter().map(|change| change.patch.len());
        let bytes = patches.sum::<usize>() + sent.snapshot.len();
        assert!(bytes <= SENT_MAX_BYTES, "{bytes} bytes from {behind}");
    }
}

fn odd_offer(u: &mut Unstructured<'_>) -> Result<ConfigChanges> {
    let mut offer = match u.int_in_range(0..=3)? {
        0 => snapshot(u.int_in_range(0..=REVISIONS)?),
        1 => ConfigChanges {
            snapshot: u.arbitrary()?,
            base_revision: u.arbitrary()?,
            changes: Vec::new(),
        },
        _ => ConfigChanges::default(),
    };
    for _ in 0..u.int_in_range(0..=6)? {
        offer.changes.push(match u.int_in_range(0..=4)? {
            0 => raw(
                u.int_in_range(0..=REVISIONS + 1)?,
                &u.arbitrary::<String>()?,
            ),
            _ => change(u.int_in_range(1..=REVISIONS)?),
        });
    }
    Ok(offer)
}

/// Old reads, gaps, doubled and damaged offers come in any order: the revision
/// never falls, and revision, document and configuration stay together.
#[test]
fn no_sequence_of_offers_goes_back() {
    each_seed(1_000, 1_000, |u| {
        let mut log = ConfigLog::new();
        for _ in 0..u.int_in_range(1..=12)? {
            let before = log.revision();
            let odd = odd_offer(u)?;
            let _ = log.apply_newer(&odd);
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

fn document(u: &mut Unstructured<'_>, depth: u32) -> Result<Value> {
    Ok(match u.int_in_range(0..=if depth > 0 { 5 } else { 2 })? {
        0 => json!(u.int_in_range(0..=3)?),
        1 => json!(u.choose(&["a", "b"])?),
        2 => json!([u.int_in_range(0..=2)?, null]),
        _ => {
            let mut map = serde_json::Map::new();
            for _ in 0..u.int_in_range(0..=3)? {
                let key = (*u.choose(&["k", "l", "m"])?).to_owned();
                map.insert(key, document(u, depth - 1)?);
            }
            Value::Object(map)
        }
    })
}

#[test]
fn the_patch_between_two_documents_leads_from_one_to_the_other() {
    each_seed(1_000, 1_000, |u| {
        let before = document(u, 4)?;
        let after = document(u, 4)?;
        let mut patched = before.clone();
        merge_patch::apply(&mut patched, &merge_patch::diff(&before, &after));
        assert_eq!(patched, after, "from {before}");
        Ok(())
    });
}
