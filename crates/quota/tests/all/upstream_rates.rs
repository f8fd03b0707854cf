//! Rate limits of upstreams that accept a request or two a second from all entries
//! together.
//!
//! The load: every entry has far more requests than the upstream accepts, and takes a
//! token for each. Entries are partitioned into groups and restarted while the load
//! runs, with 4, 24 and 300 entries.

use base::prelude::*;
use quota::{RateLimit, TakeOutcome, TokenPools, feed_interval_ms, select_keeper};
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::sync::Arc;

const KEY: &str = "upstream@1";
const SPAN_MS: u64 = 4_000;
const RUN_MS: u64 = 16_000;

/// Groups into which entries may be partitioned.
const GROUPS: u64 = 3;

struct Entries {
    names: Vec<Arc<str>>,
    pools: Vec<TokenPools>,
    /// Group of each entry. Entries reach only those of their own group.
    groups: Vec<u64>,
}

impl Entries {
    fn new(count: usize, per_s: f64) -> Self {
        Self {
            names: (0..count)
                .map(|index| format!("e-{index}").into())
                .collect(),
            pools: (0..count).map(|_| new_pools(count, per_s, 0)).collect(),
            groups: vec![0; count],
        }
    }

    /// The keeper as seen by an entry.
    fn keeper_of(&self, entry: usize) -> usize {
        let group = self.groups[entry];
        let reachable = self.names.iter().zip(&self.groups);
        let reachable = reachable.filter(|(_, other_group)| **other_group == group);
        let name = select_keeper(KEY, reachable.map(|(name, _)| &**name))
            .expect("the group contains the entry itself");
        let found = self.names.iter().position(|known| **known == *name);
        found.expect("the keeper is one of the entries")
    }

    fn feed(&mut self, now: Instant, entry: usize) {
        let to = self.keeper_of(entry);
        if to == entry {
            return;
        }
        let from = Arc::clone(&self.names[entry]);
        for feed in self.pools[entry].feed(now, |_| true, |_| false) {
            let _ = self.pools[to].receive(now, &from, &feed);
        }
    }

    fn try_send(&mut self, now: Instant, entry: usize) -> bool {
        let own = self.pools[entry].take_local(now, KEY, 1.0);
        let to = self.keeper_of(entry);
        own == TakeOutcome::Taken
            || self.pools[to].take(now, KEY, 1.0) == TakeOutcome::Taken
    }
}

fn new_pools(count: usize, per_s: f64, ms: u64) -> TokenPools {
    let now = Instant::from_ms(ms);
    let mut pools = TokenPools::new(0.0);
    pools.set_limits(now, [(&KEY.into(), RateLimit::with_min_burst(per_s))]);
    pools.set_entries(now, count, true);
    pools
}

/// Times at which requests are sent. With faults, entries are partitioned and restarted
/// every 700 ms.
fn simulate(count: usize, per_s: f64, seed: u64, faults: bool) -> Vec<u64> {
    let mut generator = Pcg64Mcg::seed_from_u64(seed);
    let mut entries = Entries::new(count, per_s);
    let interval_ms = feed_interval_ms(count);
    let mut sent = Vec::new();
    for ms in 0..RUN_MS {
        let now = Instant::from_ms(ms);
        if faults && ms % 700 == 0 {
            for group in &mut entries.groups {
                *group = generator.next_u64() % GROUPS;
            }
            let restarted = generator.next_u64() as usize % count;
            entries.pools[restarted] = new_pools(count, per_s, ms);
        }
        for entry in 0..count {
            if (ms + entry as u64 * 7).is_multiple_of(interval_ms) {
                entries.feed(now, entry);
            }
        }
        let entry = generator.next_u64() as usize % count;
        if ms % 5 == 0 && entries.try_send(now, entry) {
            sent.push(ms);
        }
    }
    sent
}

fn max_in_span(sent: &[u64]) -> usize {
    let counts = sent.iter().map(|first| {
        let in_span = sent
            .iter()
            .filter(|at| (*first..*first + SPAN_MS).contains(at));
        in_span.count()
    });
    counts.max().unwrap_or(0)
}

/// In any four seconds, an upstream gets at most one and a half times its rate and five
/// requests, whichever entries reach each other.
#[test]
fn rate_is_kept_whichever_entries_reach_each_other() {
    for (count, seeds) in [(4, 12), (24, 6), (300, 2)] {
        for per_s in [0.1, 1.0, 1.9, 8.0] {
            for seed in 0..seeds {
                let max_sent = max_in_span(&simulate(count, per_s, seed, true)) as f64;
                let allowed = 1.5 * per_s * SPAN_MS as f64 / 1_000.0 + 5.0;
                assert!(
                    max_sent <= allowed,
                    "{max_sent} of {per_s}/s at {count}, {seed}"
                );
            }
        }
    }
}

/// Entries that reach each other use four fifths of what an upstream accepts, although
/// the share of one of 300 entries can be a single request in five minutes.
#[test]
fn entries_use_most_of_what_an_upstream_accepts() {
    for count in [4, 24, 300] {
        for per_s in [1.0, 8.0] {
            let sent = simulate(count, per_s, 1, false).len() as f64;
            let accepted = per_s * RUN_MS as f64 / 1_000.0;
            assert!(sent >= 0.8 * accepted, "{sent} of {accepted} at {count}");
        }
    }
}
