//! How often entries tell one another.

use direct::{HOLDINGS_TOLD_MS, holdings_rounds, tell_every_ms};

/// A peer counts as silent after 1.5 s. Told less often than that, entries lose
/// sight of one another's use for a part of the time.
#[test]
fn each_peer_is_told_before_it_takes_the_entry_for_silent() {
    for peers in 0..3_000 {
        assert!(tell_every_ms(peers) < 1_500, "{peers} peers");
    }
}

/// With many entries, each told the use of others once a second, and what upstreams
/// hold over five such messages: a model that was unloaded was asked for for seconds.
#[test]
fn what_upstreams_hold_is_told_within_its_time() {
    for peers in 0..1_500 {
        let rounds = holdings_rounds(peers) as u64;
        assert!(rounds >= 1);
        let told_ms = rounds * tell_every_ms(peers);
        assert!(
            told_ms <= HOLDINGS_TOLD_MS.max(tell_every_ms(peers)),
            "{peers}"
        );
    }
}

#[test]
fn more_peers_do_not_mean_more_messages_up_to_three_hundred() {
    for peers in 1..300_usize {
        let per_s = peers as u64 * 1_000 / tell_every_ms(peers);
        assert!(per_s <= 225, "{peers} peers, {per_s}/s");
    }
    assert_eq!(tell_every_ms(3), 100);
}
