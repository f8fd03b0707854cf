//! One workspace sends many times its usual load, and the others are not affected.
//!
//! The load: 16 workspaces, a few of them large, at 0.55 of their limits, over 24
//! entries, each request at a random one. One workspace sends 7.5 times its usual load
//! for ten seconds. It gets its limit, and what the others get does not change at all.

use base::prelude::*;
use quota::{RateLimit, TakeOutcome, TokenPools, feed_interval_ms, select_keeper};
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::sync::Arc;

const ENTRIES: usize = 24;
const SECONDS: u64 = 10;

/// Time before the first request, in which the pools fill.
const WARM_UP_MS: u64 = 2_000;

/// Usual load of a workspace, as a fraction of its limit.
const USUAL_LOAD: f64 = 0.55;

/// Load of the hot workspace, as a multiple of its usual load.
const HOT_FACTOR: f64 = 7.5;

/// Largest overdraft of a request, in tokens: the largest prompts of the users'
/// workload.
const OVERDRAFT: f64 = 8_500.0;

/// Tokens of a request; 3,000 on average.
const COSTS: [f64; 4] = [1_200.0, 1_200.0, 2_400.0, 7_200.0];
const MEAN_COST: f64 = 3_000.0;

/// Limits of the workspaces in tokens a second. At its usual load, the smallest one
/// sends less than one request a second.
fn rates() -> Vec<f64> {
    let small = (0..12).map(|index| 4_200.0 + 500.0 * f64::from(index));
    let large = [30_000.0, 60_000.0, 100_000.0, 150_000.0];
    small.chain(large).collect()
}

/// The entries with their pools.
struct Cluster {
    names: Vec<Arc<str>>,
    workspaces: Vec<Arc<str>>,
    pools: Vec<TokenPools>,
}

impl Cluster {
    fn new() -> Self {
        let rates = rates();
        let workspaces: Vec<Arc<str>> = (0..rates.len())
            .map(|index| format!("w-{index}").into())
            .collect();
        let limits = rates.iter().map(|rate| RateLimit {
            rate_per_s: *rate,
            burst: *rate,
        });
        let limits: Vec<_> = workspaces.iter().zip(limits).collect();
        let pools = (0..ENTRIES).map(|_| {
            let mut pools = TokenPools::new(OVERDRAFT);
            pools.set_limits(Instant::ZERO, limits.iter().copied());
            pools.set_entries(Instant::ZERO, ENTRIES, true);
            pools
        });
        Self {
            names: (0..ENTRIES)
                .map(|index| format!("e-{index}").into())
                .collect(),
            pools: pools.collect(),
            workspaces,
        }
    }

    fn keeper_of(&self, workspace: &str) -> usize {
        let names = self.names.iter().map(|name| &**name);
        let name =
            select_keeper(workspace, names).expect("the list of entries is not empty");
        let found = self.names.iter().position(|known| **known == *name);
        found.expect("the keeper is one of the entries")
    }

    fn feed(&mut self, now: Instant, entry: usize) {
        for workspace in self.workspaces.clone() {
            let to = self.keeper_of(&workspace);
            if to == entry {
                continue;
            }
            let is_workspace = |name: &str| *name == *workspace;
            let from = Arc::clone(&self.names[entry]);
            for feed in self.pools[entry].feed(now, is_workspace, |_| false) {
                let _ = self.pools[to].receive(now, &from, &feed);
            }
        }
    }

    fn is_admitted(
        &mut self,
        now: Instant,
        entry: usize,
        index: usize,
        cost: f64,
    ) -> bool {
        let workspace = Arc::clone(&self.workspaces[index]);
        let own = self.pools[entry].take_local(now, &workspace, cost);
        let to = self.keeper_of(&workspace);
        own == TakeOutcome::Taken
            || self.pools[to].take(now, &workspace, cost) == TakeOutcome::Taken
    }
}

/// What one workspace requested and was granted.
#[derive(Debug, Clone, Default, PartialEq)]
struct Usage {
    requested: u64,
    granted: u64,
    tokens: f64,
}

/// Simulates the load. Each workspace has its own random generator, so that its
/// requests are the same whatever another workspace does.
fn simulate(hot: Option<usize>) -> Vec<Usage> {
    let mut cluster = Cluster::new();
    let rates = rates();
    let mut generators: Vec<Pcg64Mcg> = (0..rates.len())
        .map(|index| Pcg64Mcg::seed_from_u64(index as u64))
        .collect();
    let mut usages = vec![Usage::default(); rates.len()];
    let interval_ms = feed_interval_ms(ENTRIES);
    for ms in 0..WARM_UP_MS + SECONDS * 1_000 {
        let now = Instant::from_ms(ms);
        for entry in 0..ENTRIES {
            if (ms + entry as u64 * 7).is_multiple_of(interval_ms) {
                cluster.feed(now, entry);
            }
        }
        for (index, generator) in generators.iter_mut().enumerate() {
            let factor = if hot == Some(index) { HOT_FACTOR } else { 1.0 };
            let per_ms = rates[index] * USUAL_LOAD * factor / MEAN_COST / 1_000.0;
            let arrives = random_unit(generator) < per_ms;
            if ms < WARM_UP_MS || !arrives {
                continue;
            }
            let cost = COSTS[generator.next_u64() as usize % COSTS.len()];
            let entry = generator.next_u64() as usize % ENTRIES;
            usages[index].requested += 1;
            if cluster.is_admitted(now, entry, index, cost) {
                usages[index].granted += 1;
                usages[index].tokens += cost;
            }
        }
    }
    usages
}

fn random_unit(generator: &mut Pcg64Mcg) -> f64 {
    (generator.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
}

#[test]
fn other_workspaces_are_not_affected() {
    let baseline = simulate(None);
    for hot in [0, 7, 15] {
        let usages = simulate(Some(hot));
        for (index, usage) in
            usages.iter().enumerate().filter(|(index, _)| *index != hot)
        {
            assert_eq!(*usage, baseline[index], "workspace {index} beside {hot}");
        }
    }
}

#[test]
fn hot_workspace_gets_its_limit_and_no_more() {
    for hot in [0, 7, 15] {
        let usage = &simulate(Some(hot))[hot];
        let rate = rates()[hot];
        let max_tokens = rate * (SECONDS as f64 + 1.0) + OVERDRAFT + rate * 0.2;
        assert!(usage.tokens <= max_tokens, "workspace {hot}: {usage:?}");
        let min_tokens = rate * SECONDS as f64 * 0.9;
        assert!(usage.tokens >= min_tokens, "workspace {hot}: {usage:?}");
    }
}

/// Small workspaces are granted at least 0.8 times the share of requests that all are,
/// although one of their requests can cost more than a second's rate.
#[test]
fn small_workspaces_are_granted_as_often_as_large_ones() {
    let usages = simulate(None);
    let (requested, granted) =
        usages.iter().fold((0, 0), |(requested, granted), usage| {
            (requested + usage.requested, granted + usage.granted)
        });
    let all = granted as f64 / requested as f64;
    let small = &usages[..6];
    let requested: u64 = small.iter().map(|usage| usage.requested).sum();
    let granted: u64 = small.iter().map(|usage| usage.granted).sum();
    let small = granted as f64 / requested as f64;
    assert!(small >= 0.8 * all, "{small} of {all}");
}
