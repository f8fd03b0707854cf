//! When a coordinator that shuts down hands its lease over.

use direct::{PeerEntry, has_successor};

/// Start time of the coordinator that shuts down.
const OWN_START_MS: u64 = 1_000;

fn other(start_ms: u64, stopping: bool) -> PeerEntry {
    PeerEntry {
        started_unix_ms: start_ms,
        stopping,
    }
}

/// One entry shuts down. Another one can take the lease at once, and planning resumes
/// after the quiet time.
#[test]
fn another_entry_that_is_not_stopping_can_take_the_lease() {
    assert!(has_successor(OWN_START_MS, &[other(1_000, false)]));
    assert!(!has_successor(OWN_START_MS, &[]));
    assert!(!has_successor(OWN_START_MS, &[other(2_000, true)]));
}

/// All entries are restarted in turn. The next one would be stopped before the quiet
/// time is over, and requests would find no coordinator that follows their demand until
/// yet another entry had waited. An entry that has already restarted stays.
#[test]
fn in_a_rolling_restart_only_a_restarted_entry_can_take_the_lease() {
    let in_turn = [other(900, true), other(1_100, false)];
    assert!(has_successor(OWN_START_MS, &in_turn));
    let next = [other(900, true), other(1_000, false), other(950, false)];
    assert!(!has_successor(OWN_START_MS, &next));
}
