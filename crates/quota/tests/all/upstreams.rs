//! Upstreams that take a request or two a second from all entries together.
//!
//! The load: every entry has far more requests than the upstream takes, and asks for
//! each. Entries are cut off from one another in groups, stop for a while and start
//! anew, at 4, 24 and 300 of them.

use base::prelude::*;
use quota::{RateLimit, TakeOutcome, TokenPools, feed_interval_ms, select_keeper};
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::sync::Arc;

const KEY: &str = "upstream@1";
const SPAN_MS: u64 = 4_000;
const PLAY_MS: u64 = 16_000;

/// Groups into which entries may be cut.
const GROUPS: u64 = 3;

struct Entries {
    names: Vec<Arc<str>>,
    pools: Vec<TokenPools>,
    /// Entries hear those of their own group.
    groups: Vec<u64>,
}

impl Entries {
    fn new(count: usize, per_s: f64) -> Self {
        Self {
            names: (0..count).map(|of| format!("e-{of}").into()).collect(),
            pools: (0..count).map(|_| pool(count, per_s, 0)).collect(),
            groups: vec![0; count],
        }
    }

    /// The entry that keeps the tokens, as another one sees it.
    fn keeper(&self, entry: usize) -> usize {
        let group = self.groups[entry];
        let heard = self.names.iter().zip(&self.groups);
        let heard = heard.filter(|(_, of)| **of == group);
        let name = select_keeper(KEY, heard.map(|(name, _)| &**name)).expect("itself");
        let found = self.names.iter().position(|known| **known == *name);
        found.expect("it is one of them")
    }

    fn feed(&mut self, now: Instant, entry: usize) {
        let to = self.keeper(entry);
        if to == entry {
            return;
        }
        let from = Arc::clone(&self.names[entry]);
        for feed in self.pools[entry].feed(now, |_| true, |_| false) {
            let _ = self.pools[to].receive(now, &from, &feed);
        }
    }

    fn sends(&mut self, now: Instant, entry: usize) -> bool {
        let own = self.pools[entry].take_local(now, KEY, 1.0);
        let to = self.keeper(entry);
        own == TakeOutcome::Taken
            || self.pools[to].take(now, KEY, 1.0) == TakeOutcome::Taken
    }
}

fn pool(count: usize, per_s: f64, ms: u64) -> TokenPools {
    let now = Instant::from_ms(ms);
    let mut pools = TokenPools::new(0.0);
    pools.set_limits(now, [(&KEY.into(), RateLimit::with_min_burst(per_s))]);
    pools.set_entries(now, count, true);
    pools
}

/// When requests are sent; with faults, entries are cut and restarted all the while.
fn play(count: usize, per_s: f64, seed: u64, faults: bool) -> Vec<u64> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut entries = Entries::new(count, per_s);
    let every_ms = feed_interval_ms(count);
    let mut sent = Vec::new();
    for ms in 0..PLAY_MS {
        let now = Instant::from_ms(ms);
        if faults && ms % 700 == 0 {
            for group in &mut entries.groups {
                *group = random.next_u64() % GROUPS;
            }
            let gone = random.next_u64() as usize % count;
            entries.pools[gone] = pool(count, per_s, ms);
        }
        for entry in 0..count {
            if (ms + entry as u64 * 7).is_multiple_of(every_ms) {
                entries.feed(now, entry);
            }
        }
        let entry = random.next_u64() as usize % count;
        if ms % 5 == 0 && entries.sends(now, entry) {
            sent.push(ms);
        }
    }
    sent
}

fn most_in_span(sent: &[u64]) -> usize {
    let counts = sent.iter().map(|first| {
        let within = sent
            .iter()
            .filter(|at| (*first..*first + SPAN_MS).contains(at));
        within.count()
    });
    counts.max().unwrap_or(0)
}

/// An upstream gets one and a half times its rate and five requests at most in any four
/// seconds, whoever hears whom.
#[test]
fn entries_keep_to_a_rate_whoever_hears_whom() {
    for (count, plays) in [(4, 12), (24, 6), (300, 2)] {
        for per_s in [0.1, 1.0, 1.9, 8.0] {
            for seed in 0..plays {
                let most = most_in_span(&play(count, per_s, seed, true)) as f64;
                let allowed = 1.5 * per_s * SPAN_MS as f64 / 1_000.0 + 5.0;
                assert!(most <= allowed, "{most} of {per_s}/s at {count}, {seed}");
            }
        }
    }
}

/// Entries that hear one another use four fifths of what an upstream takes, though the
/// part of each is less than a request in minutes.
#[test]
fn entries_use_what_an_upstream_takes() {
    for count in [4, 24, 300] {
        for per_s in [1.0, 8.0] {
            let sent = play(count, per_s, 1, false).len() as f64;
            let takes = per_s * PLAY_MS as f64 / 1_000.0;
            assert!(sent >= 0.8 * takes, "{sent} of {takes} at {count}");
        }
    }
}
