//! Which entries keep watches open at the platform.

use crate::rig::{Rig, entry_peer};
use base::prelude::*;
use base::{ObjectVersion, PlatformOp, PlatformResponse, PlatformResult};
use role::entry::{EntryAction, EntryEvent};
use schema::link::{Gossip, frame};

/// Longer than the interval at which an entry checks its deferred watches.
const CHECK_MS: u64 = 5_500;

/// Names of entries that rank before `e1` as watchers.
fn ranked_before_e1(count: usize) -> Vec<String> {
    let own_weight = live::rendezvous_rank("platform-watch", "e1");
    let names = (2..).map(|n| format!("e{n}"));
    let before =
        names.filter(|name| live::rendezvous_rank("platform-watch", name) > own_weight);
    before.take(count).collect()
}

/// Ids of the calls that opened watches.
fn open_watches(rig: &Rig) -> Vec<u64> {
    let calls = rig.actions.iter().filter_map(|action| match action {
        EntryAction::CallPlatform(call) => Some(call),
        _ => None,
    });
    calls
        .filter(|call| matches!(call.op, PlatformOp::Watch { .. }))
        .map(|call| call.id)
        .collect()
}

fn end_watches(rig: &mut Rig) {
    let ids = open_watches(rig);
    rig.clear();
    for id in ids {
        let result = PlatformResult::Objects(Vec::new(), ObjectVersion(1));
        rig.handle(EntryEvent::PlatformAnswered(PlatformResponse {
            id,
            result,
        }));
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

/// Open watches count against the platform's call rate limit, so only two entries of a
/// failure domain keep them open. When those two fall silent, the next entry takes over.
#[test]
fn two_entries_of_a_domain_keep_watches_open() {
    let cases = [
        ("nobody else", 0, "d1", true),
        ("one ranks before", 1, "d1", true),
        ("two rank before", 2, "d1", false),
        ("two rank before in another domain", 2, "d2", true),
    ];
    for (name, count, domain, watches) in cases {
        let mut rig = Rig::new();
        let others = ranked_before_e1(count);
        gossip(&mut rig, &others, domain, 1);
        end_watches(&mut rig);
        rig.advance(500);
        gossip(&mut rig, &others, domain, 2);
        assert_eq!(
            open_watches(&rig).len(),
            if watches { 3 } else { 0 },
            "{name}"
        );
        rig.advance(CHECK_MS);
        assert_eq!(open_watches(&rig).len(), 3, "{name}: the others are silent");
    }
}

/// An entry that left the watches to others for a minute opens each of them once, and not
/// once for each check in that time.
#[test]
fn deferred_watches_resume_once() {
    let mut rig = Rig::new();
    let others = ranked_before_e1(2);
    gossip(&mut rig, &others, "d1", 1);
    end_watches(&mut rig);
    for sequence in 2..150 {
        gossip(&mut rig, &others, "d1", sequence);
        rig.advance(500);
    }
    assert_eq!(open_watches(&rig).len(), 0);
    rig.advance(2 * CHECK_MS);
    assert_eq!(open_watches(&rig).len(), 3);
}

/// Guards against an entry that watches nothing any more after the platform was restored
/// from a copy that doesn't have the versions from which it watched.
#[test]
fn a_watch_from_before_a_restore_leads_to_a_list() {
    let mut rig = Rig::new();
    let watches = open_watches(&rig);
    assert_eq!(watches.len(), 3);
    rig.clear();
    for id in watches {
        rig.handle(EntryEvent::PlatformAnswered(PlatformResponse {
            id,
            result: PlatformResult::HistoryGone,
        }));
    }
    let lists = rig.actions.iter().filter(|action| {
        matches!(action, EntryAction::CallPlatform(call)
            if matches!(call.op, PlatformOp::List { .. }))
    });
    assert_eq!(lists.count(), 3);
    rig.advance(500);
    assert_eq!(open_watches(&rig).len(), 3);
}
