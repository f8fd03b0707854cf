//! Entries that pass periodic messages on within their failure domain.
//!
//! A message to another failure domain goes to one entry there, which sends it to the
//! others and confirms that. The relay is another one in each round, so that one that
//! freezes or can't reach an entry affects few rounds. Without a confirmation in time,
//! or if the relay reaches fewer entries than the sender knows, the sender sends the
//! message to all of them itself, in the same round.

use base::Instant;
use std::collections::{BTreeMap, HashMap};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::peer_message_interval_ms;

/// Format of messages from which on an entry passes messages on.
pub const RELAY_FORMAT: u32 = 2;

/// Longest time to wait for a confirmation. What a lost message delays is not older than
/// with the interval of large fleets.
const MAX_CONFIRMATION_MS: u64 = 300;

/// Number of messages in a row without a confirmation from which on an entry is not
/// chosen. With one message in ten lost, one in five is not confirmed.
const MISSED_MAX: u32 = 2;

/// Time for which such an entry is not chosen. One with little processor time is
/// slow for longer than a few rounds.
const UNCONFIRMED_MS: u64 = 5_000;

/// Time after which failures to confirm are forgotten.
const REMEMBERED_MS: u64 = 60_000;

/// Minimum number of entries of a domain for which a relay saves messages.
const MIN_RECIPIENTS: usize = 2;

/// Time after which a round's messages without a confirmation are sent directly.
pub fn confirmation_timeout_ms(peers: usize) -> u64 {
    (peer_message_interval_ms(peers) * 3 / 4).min(MAX_CONFIRMATION_MS)
}

/// Relays of one entry's messages: those that await a confirmation, and those that did
/// not confirm lately. `M` is what is needed to send a message again.
#[derive(Debug)]
pub struct Relays<M> {
    /// How often an entry failed to confirm since it last did, and when it last failed.
    unconfirmed: HashMap<String, (u32, Instant)>,
    /// Messages by their sequence number and relay.
    awaited: BTreeMap<(u64, String), Awaited<M>>,
}

/// A message that its relay has not confirmed.
#[derive(Debug)]
struct Awaited<M> {
    /// Number of entries that the relay should reach.
    recipients: usize,
    message: M,
}

impl<M> Default for Relays<M> {
    fn default() -> Self {
        Self {
            unconfirmed: HashMap::new(),
            awaited: BTreeMap::new(),
        }
    }
}

impl<M> Relays<M> {
    /// Chooses the relay for one round from the entries of a domain that can be one.
    /// `recipients` is the number of entries there that get the message. Returns `None`
    /// if the message is to be sent to each of them.
    pub fn select<'a>(
        &self,
        now: Instant,
        sender: &str,
        round: u64,
        candidates: impl Iterator<Item = &'a str>,
        recipients: usize,
    ) -> Option<&'a str> {
        if recipients < MIN_RECIPIENTS {
            return None;
        }
        let seed = xxh3_64_with_seed(sender.as_bytes(), round);
        let responsive = candidates.filter(|name| {
            let missed = self.unconfirmed.get(*name);
            missed.is_none_or(|(count, at)| {
                *count < MISSED_MAX || now.ms_since(*at) >= UNCONFIRMED_MS
            })
        });
        responsive.max_by_key(|name| xxh3_64_with_seed(name.as_bytes(), seed))
    }

    /// Records that a message was sent to its relay, which should reach `recipients`
    /// others.
    pub fn sent(&mut self, sequence: u64, relay: &str, recipients: usize, message: M) {
        let awaited = Awaited {
            recipients,
            message,
        };
        self.awaited.insert((sequence, relay.to_owned()), awaited);
    }

    /// Handles a confirmation that a relay sent a message to `entries` others. One that
    /// reaches fewer than the sender knows counts as none.
    pub fn confirmed(&mut self, sequence: u64, relay: &str, entries: usize) {
        let key = (sequence, relay.to_owned());
        let awaited = self.awaited.get(&key);
        if awaited.is_some_and(|awaited| entries >= awaited.recipients) {
            self.awaited.remove(&key);
            self.unconfirmed.remove(relay);
        }
    }

    /// Ends the round: returns the messages that no relay confirmed.
    pub fn take_unconfirmed(&mut self, now: Instant) -> Vec<M> {
        self.unconfirmed
            .retain(|_, (_, at)| now.ms_since(*at) < REMEMBERED_MS);
        let awaited = std::mem::take(&mut self.awaited).into_iter();
        let messages = awaited.map(|((_, relay), awaited)| {
            let (count, missed_at) = self.unconfirmed.entry(relay).or_insert((0, now));
            (*count, *missed_at) = (count.saturating_add(1), now);
            awaited.message
        });
        messages.collect()
    }
}
