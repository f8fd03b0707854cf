//! Which streams begin at an entry that is shutting down.

use direct::{PeerCount, PeerReadiness, StreamStart};

/// Time from the signal to the exit.
const EXIT_MS: u64 = 7_500;

const NONE: PeerCount = PeerCount { total: 0, ready: 0 };

const fn count(ready: usize, total: usize) -> PeerCount {
    PeerCount { total, ready }
}

const fn peers(in_domain: PeerCount, elsewhere: PeerCount) -> PeerReadiness {
    PeerReadiness {
        in_domain,
        elsewhere,
    }
}

/// A resumable stream requested one second after the signal, with all others ready.
fn start(expected_ms: Option<u64>) -> StreamStart {
    StreamStart {
        since_signal_ms: 1_000,
        until_exit_ms: EXIT_MS - 1_000,
        expected_ms,
        is_resumable: true,
        peers: peers(count(7, 7), NONE),
    }
}

/// A stream that needs longer than the process has would be cut off at the exit, while
/// another entry can serve all of it.
#[test]
fn a_stream_that_cannot_end_in_time_is_refused() {
    for is_resumable in [true, false] {
        let begins = |expected_ms| {
            let start = StreamStart {
                is_resumable,
                ..start(Some(expected_ms))
            };
            start.may_begin()
        };
        assert!(begins(1_000) && begins(6_200));
        assert!(!begins(6_201) && !begins(60_000));
    }
}

/// Nothing is known of the route. Refusing its streams would send callers away that could
/// be served.
#[test]
fn a_stream_of_unknown_duration_begins_until_the_latest_time() {
    assert!(start(None).may_begin());
    let late = StreamStart {
        since_signal_ms: 2_701,
        ..start(None)
    };
    assert!(!late.may_begin());
}

/// A short stream would fit after the latest time, but one that is cut off then counts as
/// lost, whether others are ready or not.
#[test]
fn no_stream_begins_after_the_latest_time() {
    for peers in [start(None).peers, peers(NONE, NONE)] {
        let late = StreamStart {
            since_signal_ms: 2_701,
            until_exit_ms: EXIT_MS - 2_701,
            peers,
            ..start(Some(100))
        };
        assert!(!late.may_begin());
    }
}

/// Whether a long stream begins where these others are.
fn long_begins(is_resumable: bool, in_domain: PeerCount, elsewhere: PeerCount) -> bool {
    let start = StreamStart {
        is_resumable,
        peers: peers(in_domain, elsewhere),
        ..start(Some(20_000))
    };
    start.may_begin()
}

/// All entries are restarted, and most of them aren't ready. The load balancer then sends
/// callers to stopping entries too, so a stream that each of them refused would be served
/// nowhere.
#[test]
fn a_long_stream_is_served_where_too_few_others_are_ready() {
    for is_resumable in [true, false] {
        assert!(long_begins(is_resumable, NONE, NONE));
        assert!(long_begins(is_resumable, count(0, 7), NONE));
    }
    // Of eight entries in the domain, half have to be ready.
    assert!(long_begins(true, count(3, 7), NONE));
    assert!(!long_begins(true, count(4, 7), NONE));
}

/// A stream that can't be resumed is lost with all that its caller got, so it is refused
/// as long as a few tries reach a ready entry.
#[test]
fn a_stream_that_cannot_be_resumed_needs_fewer_ready_entries() {
    assert!(long_begins(false, count(1, 7), NONE));
    assert!(!long_begins(false, count(2, 7), NONE));
}

/// Callers come back within the failure domain. Ready entries of other domains are of use
/// to them only where there is no other entry in this one.
#[test]
fn entries_of_other_domains_count_where_the_domain_has_no_other() {
    assert!(long_begins(true, count(0, 3), count(8, 8)));
    assert!(!long_begins(true, NONE, count(4, 8)));
    assert!(long_begins(true, NONE, count(3, 8)));
}
