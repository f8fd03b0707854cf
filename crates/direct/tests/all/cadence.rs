//! How often entries tell one another.

use direct::{
    HOLDINGS_RESEND_MS, holdings_message_count, peer_message_interval_ms,
    suspects_per_message, urgent_message_interval_ms,
};

/// A peer counts as silent after 1.5 s. Told less often than that, entries lose
/// sight of one another's use for a part of the time.
#[test]
fn each_peer_is_told_before_it_takes_the_entry_for_silent() {
    for peers in 0..3_000 {
        assert!(peer_message_interval_ms(peers) < 1_500, "{peers} peers");
    }
}

/// A change of which both messages were lost is made good within seconds.
#[test]
fn what_upstreams_hold_is_told_within_its_time() {
    for peers in 0..1_500 {
        let rounds = holdings_message_count(peers) as u64;
        assert!(rounds >= 1);
        let told_ms = rounds * peer_message_interval_ms(peers);
        assert!(
            told_ms <= HOLDINGS_RESEND_MS.max(peer_message_interval_ms(peers)),
            "{peers}"
        );
    }
}

#[test]
fn more_peers_do_not_mean_more_messages_up_to_three_hundred() {
    for peers in 1..300_usize {
        let per_s = peers as u64 * 1_000 / peer_message_interval_ms(peers);
        assert!(per_s <= 225, "{peers} peers, {per_s}/s");
    }
    assert_eq!(peer_message_interval_ms(3), 100);
}

/// 78 upstreams with three models and eight adapters each, some 150 B, and 67 peers:
/// the entry that gives orders told a part of them with each word that was sent at
/// once, filled its link, took live upstreams for unreachable, and ordered nothing.
#[test]
fn what_the_giver_of_orders_tells_leaves_its_link_free() {
    const UPSTREAMS: f64 = 78.0;
    const HOLDING_BYTES: f64 = 150.0;
    const OTHER_BYTES: f64 = 500.0;
    const LINK_BYTES_PER_S: f64 = 20e6 / 8.0;
    let peers = 67;
    let per_s = |every_ms: u64| peers as f64 * 1_000.0 / every_ms as f64;
    let part = UPSTREAMS / holdings_message_count(peers) as f64;
    let in_turn =
        per_s(peer_message_interval_ms(peers)) * (part * HOLDING_BYTES + OTHER_BYTES);
    // Four upstreams change all the while.
    let at_once = 4.0 * HOLDING_BYTES + OTHER_BYTES;
    let at_once = per_s(urgent_message_interval_ms(peers)) * at_once;
    let link = (in_turn + at_once) / LINK_BYTES_PER_S;
    assert!(link < 0.4, "{link}");
}

#[test]
fn few_peers_are_told_at_once_and_of_as_many_suspects_as_ever() {
    assert_eq!(urgent_message_interval_ms(3), 20);
    assert_eq!(suspects_per_message(3), 16);
    assert_eq!(suspects_per_message(0), 16);
    assert_eq!(holdings_message_count(3), 5);
    for peers in 1..2_000 {
        assert!((4..=16).contains(&suspects_per_message(peers)));
    }
}
