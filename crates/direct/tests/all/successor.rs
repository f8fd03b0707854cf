//! When a leader that is being stopped hands its lease over.

use direct::{PeerEntry, has_successor};

/// Start of the leader that is being stopped.
const OWN_START_MS: u64 = 1_000;

fn other(start_ms: u64, stopping: bool) -> PeerEntry {
    PeerEntry {
        started_unix_ms: start_ms,
        stopping,
    }
}

/// One entry is stopped. Another one can lead at once, and models are placed again as soon
/// as the quiet time allows.
#[test]
fn another_entry_that_is_not_stopped_can_lead() {
    assert!(has_successor(OWN_START_MS, &[other(1_000, false)]));
    assert!(!has_successor(OWN_START_MS, &[]));
    assert!(!has_successor(OWN_START_MS, &[other(2_000, true)]));
}

/// All entries are stopped in turn. The one that is next would be stopped itself before
/// the quiet time is over, and callers would find nobody who follows their demand until
/// another one had waited once more. One that has started again stays.
#[test]
fn while_all_are_stopped_in_turn_only_one_that_has_started_again_can_lead() {
    let in_turn = [other(900, true), other(1_100, false)];
    assert!(has_successor(OWN_START_MS, &in_turn));
    let next = [other(900, true), other(1_000, false), other(950, false)];
    assert!(!has_successor(OWN_START_MS, &next));
}
