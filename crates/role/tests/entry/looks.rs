//! Changes of the configuration that no watch tells of.

use crate::rig::{Rig, entry_peer};
use base::prelude::*;
use base::{PlatformAnswer, PlatformOp, PlatformResult, Version};
use role::entry::{EntryAction, EntryEvent};
use schema::link::{ConfigChange, ConfigChanges, frame};
use serde_json::json;

fn cost(rig: &Rig) -> f64 {
    rig.role.config().expect("in force").weights().move_cost
}

/// An operator publishes while the entry's watch is open, and the watch never
/// tells. The entry comes to the new revisions all the same, since it looks for
/// the next one now and then; a look that was on its way while the revision came
/// by another way is not taken for the one after it.
#[test]
fn a_change_that_the_watch_missed_is_found() {
    let mut rig = Rig::new();
    rig.publish(2, &json!({"weights": {"move_cost": 2.0}}));
    rig.publish(3, &json!({"weights": {"move_cost": 3.0}}));
    rig.advance(10_500);
    assert_eq!(rig.role.revision(), Revision(3));
    assert!((cost(&rig) - 3.0).abs() < 0.01);

    let from = rig.log.len();
    rig.held_reads = true;
    rig.advance(10_500);
    let look = rig.log[from..].iter().find_map(|action| match action {
        EntryAction::CallPlatform(call) => match &call.op {
            PlatformOp::Read { key } => Some((call.id, key.clone())),
            _ => None,
        },
        _ => None,
    });
    let (id, key) = look.expect("it looks for the next revision");
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
    rig.handle(EntryEvent::PlatformAnswered(PlatformAnswer {
        id,
        result: PlatformResult::Object(Some((Version(1), value))),
    }));
    assert_eq!(rig.role.revision(), Revision(4));
}

/// While nothing changes, looking costs one read of a small object each 5 to 10
/// seconds, and in every sixth the snapshot with its list, and the members.
#[test]
fn looking_for_changes_costs_little() {
    let mut rig = Rig::new();
    let from = rig.log.len();
    rig.advance(120_000);
    let calls = |wanted: &dyn Fn(&PlatformOp) -> bool| {
        let platform = rig.log[from..].iter().filter(|action| match action {
            EntryAction::CallPlatform(call) => wanted(&call.op),
            _ => false,
        });
        platform.count()
    };
    let next = conf::revision_key(Revision(2));
    let looks = calls(&|op| matches!(op, PlatformOp::Read { key } if *key == next));
    assert!((12..=24).contains(&looks), "{looks}");
    let members =
        calls(&|op| matches!(op, PlatformOp::List { prefix } if prefix == "live/"));
    assert!((2..=4).contains(&members), "{members}");
    let lists = calls(
        &|op| matches!(op, PlatformOp::List { prefix } if prefix == conf::REVISION_PREFIX),
    );
    assert!((2..=4).contains(&lists), "{lists}");
}
