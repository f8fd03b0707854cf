//! Which entries wait for the platform's news.

use crate::rig::{Rig, entry_peer};
use base::prelude::*;
use base::{PlatformAnswer, PlatformOp, PlatformResult, Version};
use role::entry::{EntryAction, EntryEvent};
use schema::link::{Gossip, frame};

/// Longer than an entry leaves a watch to others before it asks itself again.
const CHECK_MS: u64 = 5_500;

/// Names of entries that rank before `e1` for waiting.
fn before_e1(count: usize) -> Vec<String> {
    let mine = live::rendezvous_rank("platform-watch", "e1");
    let names = (2..).map(|n| format!("e{n}"));
    let before =
        names.filter(|name| live::rendezvous_rank("platform-watch", name) > mine);
    before.take(count).collect()
}

/// Watches that wait, by the call's number.
fn waiting(rig: &Rig) -> Vec<u64> {
    let calls = rig.log.iter().filter_map(|action| match action {
        EntryAction::CallPlatform(call) => Some(call),
        _ => None,
    });
    calls
        .filter(|call| matches!(call.op, PlatformOp::Watch { .. }))
        .map(|call| call.id)
        .collect()
}

fn end_watches(rig: &mut Rig) {
    let ids = waiting(rig);
    rig.clear();
    for id in ids {
        let result = PlatformResult::Objects(Vec::new(), Version(1));
        rig.handle(EntryEvent::PlatformAnswered(PlatformAnswer { id, result }));
    }
}

fn gossip(rig: &mut Rig, names: &[String], domain: &str, sequence: u64) {
    for name in names {
        let body = frame::Body::Gossip(Gossip {
            entry: name.clone(),
            incarnation: 9,
            sequence,
            failure_domain: domain.to_owned(),
            ..Gossip::default()
        });
        rig.handle(EntryEvent::Frame {
            peer: entry_peer(name),
            revision: Revision(0),
            body,
        });
    }
}

/// A change of the configuration is in force everywhere though only two entries
/// of a failure domain wait for it: the platform counts each that waits. When
/// the two are silent, the next waits in their place.
#[test]
fn two_entries_of_a_domain_wait_for_news() {
    let cases = [
        ("nobody else", 0, "d1", true),
        ("one ranks before", 1, "d1", true),
        ("two rank before", 2, "d1", false),
        ("two rank before in another domain", 2, "d2", true),
    ];
    for (name, count, domain, waits) in cases {
        let mut rig = Rig::new();
        let others = before_e1(count);
        gossip(&mut rig, &others, domain, 1);
        end_watches(&mut rig);
        rig.advance(500);
        gossip(&mut rig, &others, domain, 2);
        assert_eq!(waiting(&rig).len(), if waits { 3 } else { 0 }, "{name}");
        rig.advance(CHECK_MS);
        assert_eq!(waiting(&rig).len(), 3, "{name}: the others are silent");
    }
}

/// After a minute in which others waited, the entry waits again with one call of
/// each kind and no more.
#[test]
fn waits_left_to_others_begin_again_once() {
    let mut rig = Rig::new();
    let others = before_e1(2);
    gossip(&mut rig, &others, "d1", 1);
    end_watches(&mut rig);
    for sequence in 2..150 {
        gossip(&mut rig, &others, "d1", sequence);
        rig.advance(500);
    }
    assert_eq!(waiting(&rig).len(), 0);
    rig.advance(2 * CHECK_MS);
    assert_eq!(waiting(&rig).len(), 3);
}
