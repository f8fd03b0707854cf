//! Entries that pass messages on within their failure domain.

use crate::support::at;
use direct::{
    Relays, confirmation_timeout_ms, peer_message_interval_ms, peer_timeout_ms,
};
use std::collections::BTreeMap;

/// Entries of the other failure domain.
const NAMES: [&str; 6] = ["b-1", "b-2", "b-3", "b-4", "b-5", "b-6"];

/// What a relay does with the messages of a round.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Behavior {
    Forwards,
    /// It died or is frozen, and is still believed to live.
    Silent,
    /// It can't reach one of the others.
    ReachesFewer,
}

/// Messages between failure domains, and the rounds in which no entry got one, for an
/// entry that sends to the six entries of a domain.
#[derive(Debug, Default)]
struct Outcome {
    crossed: usize,
    direct_rounds: usize,
    /// Rounds in a row without a message, the longest of any entry.
    longest_gap: usize,
}

fn run(rounds: u64, lost_percent: u64, behavior: impl Fn(&str) -> Behavior) -> Outcome {
    let mut relays: Relays<()> = Relays::default();
    let mut outcome = Outcome::default();
    let mut gaps: BTreeMap<&str, usize> = NAMES.map(|name| (name, 0)).into();
    let mut random = 5_u64;
    let mut arrives = || {
        random = random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (random >> 33) % 100 >= lost_percent
    };
    for round in 0..rounds {
        let now = at(round * 100);
        let mut got = Vec::new();
        let others = NAMES.len() - 1;
        let relay = relays.select(now, "a-1", round, NAMES.into_iter(), NAMES.len());
        if let Some(relay) = relay {
            outcome.crossed += 1;
            relays.sent(round, relay, others, ());
            let reached = match behavior(relay) {
                Behavior::Forwards => others,
                Behavior::ReachesFewer => others - 1,
                Behavior::Silent => 0,
            };
            if reached > 0 && arrives() {
                got.push(relay);
                let forwarded = NAMES.into_iter().filter(|name| *name != relay);
                got.extend(forwarded.take(reached).filter(|_| arrives()));
                if arrives() {
                    relays.confirmed(round, relay, reached);
                }
            }
        }
        if relay.is_none() || !relays.take_unconfirmed(now).is_empty() {
            outcome.direct_rounds += 1;
            outcome.crossed += NAMES.len();
            got.extend(NAMES.into_iter().filter(|_| arrives()));
        }
        for (name, gap) in &mut gaps {
            *gap = if got.contains(name) { 0 } else { *gap + 1 };
            if behavior(name) != Behavior::Silent {
                outcome.longest_gap = outcome.longest_gap.max(*gap);
            }
        }
    }
    outcome
}

/// Without faults, one message of a round crosses to the other domain.
#[test]
fn one_message_crosses_between_domains() {
    let outcome = run(1_000, 0, |_| Behavior::Forwards);
    assert_eq!(outcome.crossed, 1_000);
    assert_eq!((outcome.direct_rounds, outcome.longest_gap), (0, 0));
}

/// With one message in ten lost, an entry must not be taken for silent, which happens
/// after fifteen rounds, and fewer messages cross than with direct ones.
#[test]
fn lost_messages_are_sent_directly() {
    let outcome = run(5_000, 10, |_| Behavior::Forwards);
    assert!(outcome.longest_gap <= 6, "{outcome:?}");
    assert!(outcome.crossed < 5_000 * 4, "{outcome:?}");
}

/// A relay that dies or freezes must not keep messages from the others in any round, and
/// is not chosen again and again.
#[test]
fn a_silent_relay_delays_no_round() {
    let silent = |name: &str| match name {
        "b-3" => Behavior::Silent,
        _ => Behavior::Forwards,
    };
    let outcome = run(1_000, 0, silent);
    assert_eq!(outcome.longest_gap, 0, "{outcome:?}");
    assert!((1..=25).contains(&outcome.direct_rounds), "{outcome:?}");
}

/// A relay that has lost one of its domain's entries, from which the sender still receives messages, must
/// not keep messages from that one.
#[test]
fn an_entry_that_its_domain_does_not_reach_gets_direct_messages() {
    let outcome = run(1_000, 0, |_| Behavior::ReachesFewer);
    assert_eq!(outcome.longest_gap, 0, "{outcome:?}");
}

/// The messages that a relay didn't confirm go out before the next round and long before
/// receivers take the sender for silent, however many entries there are.
#[test]
fn the_fallback_is_in_time_for_any_number_of_entries() {
    for peers in [1, 22, 384, 768, 3_000] {
        let timeout_ms = confirmation_timeout_ms(peers);
        let interval_ms = peer_message_interval_ms(peers);
        assert!(timeout_ms < interval_ms, "{peers} peers");
        assert!(
            interval_ms + timeout_ms < peer_timeout_ms(peers),
            "{peers} peers"
        );
    }
}

/// The work of passing messages on is spread over a domain's entries, also with hundreds.
#[test]
fn relays_take_turns() {
    for count in [6, 128, 256] {
        let names: Vec<String> = (0..count).map(|entry| format!("b-{entry}")).collect();
        let relays: Relays<()> = Relays::default();
        let mut chosen: BTreeMap<&str, usize> = BTreeMap::new();
        for sender in 0..count {
            for round in 0..10 {
                let candidates = names.iter().map(String::as_str);
                let sender = format!("a-{sender}");
                let relay = relays.select(at(0), &sender, round, candidates, count);
                *chosen
                    .entry(relay.expect("there are candidates"))
                    .or_default() += 1;
            }
        }
        let most = chosen.values().max();
        assert!(most.is_some_and(|most| *most < 30), "{count}: {most:?}");
    }
    let relays: Relays<()> = Relays::default();
    let alone = relays.select(at(0), "a-1", 1, ["b-1"].into_iter(), 1);
    assert_eq!(alone, None, "a message to one entry is direct");
}
