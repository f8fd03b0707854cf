//! Rate and content of messages between entries.

use direct::{
    HOLDINGS_RESEND_MS, MessageRounds, holdings_message_count,
    peer_message_interval_ms, peer_timeout_ms, suspects_per_message,
    urgent_message_interval_ms,
};

/// A peer counts as silent after 1.5 s. With longer intervals, entries would ignore one
/// another's usage part of the time.
#[test]
fn peers_get_messages_before_they_consider_the_entry_silent() {
    for peers in 0..3_000 {
        assert!(peer_message_interval_ms(peers) < 1_500, "{peers} peers");
    }
}

/// Guards against peers that are counted as lost and found again whenever one message
/// is lost: with hundreds of entries, each entry wrote dozens of such lines a second, and
/// demand and keepers changed with them.
#[test]
fn one_lost_message_does_not_make_a_peer_silent() {
    for peers in 0..3_000 {
        let timeout_ms = peer_timeout_ms(peers);
        assert!(timeout_ms > 2 * peer_message_interval_ms(peers), "{peers}");
        assert!(
            (1_500..=3_000).contains(&timeout_ms),
            "{peers}: {timeout_ms}"
        );
    }
    assert_eq!(peer_timeout_ms(67), 1_500);
}

/// A change of which both messages were lost is repaired within seconds.
#[test]
fn holdings_are_resent_within_their_interval() {
    for peers in 0..1_500 {
        let messages = holdings_message_count(peers) as u64;
        assert!(messages >= 1);
        let interval_ms = messages * peer_message_interval_ms(peers);
        assert!(
            interval_ms <= HOLDINGS_RESEND_MS.max(peer_message_interval_ms(peers)),
            "{peers}"
        );
    }
}

#[test]
fn the_message_rate_is_bounded_up_to_three_hundred_peers() {
    for peers in 1..300_usize {
        let per_s = peers as u64 * 1_000 / peer_message_interval_ms(peers);
        assert!(per_s <= 225, "{peers} peers, {per_s}/s");
    }
    assert_eq!(peer_message_interval_ms(3), 100);
}

/// With 78 upstreams, each with three models and eight adapters in some 150 B, and 67
/// peers, the coordinator once sent a part of the holdings with every urgent message.
/// This filled its link, so it considered live upstreams unreachable and ordered
/// nothing.
#[test]
fn the_coordinators_messages_leave_most_of_its_link_free() {
    const UPSTREAMS: f64 = 78.0;
    const HOLDING_BYTES: f64 = 150.0;
    const OTHER_BYTES: f64 = 500.0;
    const LINK_BYTES_PER_S: f64 = 20e6 / 8.0;
    let peers = 67;
    let per_s = |every_ms: u64| peers as f64 * 1_000.0 / every_ms as f64;
    let part = UPSTREAMS / holdings_message_count(peers) as f64;
    let in_turn =
        per_s(peer_message_interval_ms(peers)) * (part * HOLDING_BYTES + OTHER_BYTES);
    // Four upstreams change all the time.
    let at_once = 4.0 * HOLDING_BYTES + OTHER_BYTES;
    let at_once = per_s(urgent_message_interval_ms(peers)) * at_once;
    let link = (in_turn + at_once) / LINK_BYTES_PER_S;
    assert!(link < 0.4, "{link}");
}

#[test]
fn few_peers_get_frequent_urgent_messages_and_the_most_suspects() {
    assert_eq!(urgent_message_interval_ms(3), 20);
    assert_eq!(suspects_per_message(3), 16);
    assert_eq!(suspects_per_message(0), 16);
    assert_eq!(holdings_message_count(3), 5);
    for peers in 1..2_000 {
        assert!((4..=16).contains(&suspects_per_message(peers)));
    }
}

/// Guards against entries that start at the same time and get no message of one another
/// for ten intervals, which is 13 s with hundreds of entries.
#[test]
fn new_peers_get_a_message_in_the_next_two_rounds() {
    let mut rounds = MessageRounds::default();
    let included = |rounds: &mut MessageRounds| -> Vec<bool> {
        (0..12).map(|_| rounds.start()).collect()
    };
    let without = included(&mut rounds);
    assert_eq!(without.iter().filter(|included| **included).count(), 1);
    rounds.on_new_peers();
    let with = included(&mut rounds);
    assert!(with[0] && with[1] && !with[2], "{with:?}");
    assert_eq!(rounds.number(), 24);
}
