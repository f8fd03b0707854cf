//! Configuration changes that no watch reports.

use crate::rig::{Rig, entry_peer};
use base::prelude::*;
use base::{ObjectVersion, PlatformOp, PlatformResponse, PlatformResult};
use role::entry::{EntryAction, EntryEvent};
use schema::link::{ConfigChange, ConfigChanges, frame};
use serde_json::json;

fn move_cost(rig: &Rig) -> f64 {
    rig.role.config().expect("in force").weights().move_cost
}

/// If a watch misses published revisions, the entry finds them by polling for the next
/// one. If that revision arrives by gossip while the poll is in flight, the poll's result
/// is not taken for the revision after it.
#[test]
fn a_change_that_the_watch_missed_is_found() {
    let mut rig = Rig::new();
    rig.publish(2, &json!({"weights": {"move_cost": 2.0}}));
    rig.publish(3, &json!({"weights": {"move_cost": 3.0}}));
    rig.advance(10_500);
    assert_eq!(rig.role.revision(), Revision(3));
    assert!((move_cost(&rig) - 3.0).abs() < 0.01);

    let from = rig.actions.len();
    rig.hold_reads = true;
    rig.advance(10_500);
    let poll = rig.actions[from..].iter().find_map(|action| match action {
        EntryAction::CallPlatform(call) => match &call.op {
            PlatformOp::Read { key } => Some((call.id, key.clone())),
            _ => None,
        },
        _ => None,
    });
    let (id, key) = poll.expect("it polls the next revision");
    assert_eq!(key, conf::revision_key(Revision(4)));
    let value = json!({"weights": {"move_cost": 4.0}})
        .to_string()
        .into_bytes();
    let fourth = ConfigChange {
        revision: 4,
        patch: value.clone(),
    };
    rig.handle(EntryEvent::Frame {
        peer: entry_peer("e2"),
        revision: Revision(0),
        body: frame::Body::ConfigChanges(ConfigChanges {
            changes: vec![fourth],
            ..ConfigChanges::default()
        }),
    });
    rig.handle(EntryEvent::PlatformAnswered(PlatformResponse {
        id,
        result: PlatformResult::Object(Some((ObjectVersion(1), value))),
    }));
    assert_eq!(rig.role.revision(), Revision(4));
}

/// Without changes, polling reads one small object every 5 to 10 seconds, and with every
/// sixth poll the snapshot, the list of changes and the list of members.
#[test]
fn polling_for_changes_makes_few_calls() {
    let mut rig = Rig::new();
    let from = rig.actions.len();
    rig.advance(120_000);
    let calls = |counts: &dyn Fn(&PlatformOp) -> bool| {
        let platform = rig.actions[from..].iter().filter(|action| match action {
            EntryAction::CallPlatform(call) => counts(&call.op),
            _ => false,
        });
        platform.count()
    };
    let next = conf::revision_key(Revision(2));
    let polls = calls(&|op| matches!(op, PlatformOp::Read { key } if *key == next));
    assert!((12..=24).contains(&polls), "{polls}");
    let members =
        calls(&|op| matches!(op, PlatformOp::List { prefix } if prefix == "live/"));
    assert!((2..=4).contains(&members), "{members}");
    let lists = calls(
        &|op| matches!(op, PlatformOp::List { prefix } if prefix == conf::REVISION_KEY_PREFIX),
    );
    assert!((2..=4).contains(&lists), "{lists}");
}
