//! The way that is kept: tokens made in parts and brought together at a keeper.

use base::prelude::*;
use quota::{
    FEEDER_TIMEOUT_INTERVALS, RateLimit, TakeOutcome, TokenPools, feed_interval_ms,
    select_keeper,
};
use std::sync::Arc;

use crate::world::{State, Way, hears};

const OVERDRAFT: f64 = 8_500.0;

/// Time without a word after which an entry is not thought of as a keeper.
const AWAY_MS: u64 = 350;

pub struct Pooled {
    limit: RateLimit,
    names: Vec<Arc<str>>,
    pools: Vec<TokenPools>,
    /// When each entry was last up, as those that feed it find out.
    up_at: Vec<Instant>,
    messages: u64,
}

const WORKSPACE: &str = "desk";

impl Pooled {
    pub fn new(entries: usize, rate_per_s: f64) -> Self {
        let limit = RateLimit {
            rate_per_s,
            burst: rate_per_s,
        };
        Self {
            limit,
            names: (0..entries)
                .map(|entry| format!("entry-{entry}").into())
                .collect(),
            pools: (0..entries)
                .map(|_| pools(Instant::ZERO, limit, entries))
                .collect(),
            up_at: vec![Instant::ZERO; entries],
            messages: 0,
        }
    }

    /// The keeper as an entry sees it.
    fn keeper(&self, now: Instant, states: &[State], of: usize) -> usize {
        let candidates = (0..self.names.len()).filter(|other| {
            let lately = now.ms_since(self.up_at[*other]) < AWAY_MS;
            *other == of || (states[of] == State::Up && lately)
        });
        let names = candidates.map(|other| &*self.names[other]);
        let name = select_keeper(WORKSPACE, names);
        let found = self.names.iter().position(|known| Some(&**known) == name);
        found.unwrap_or(of)
    }
}

fn pools(now: Instant, limit: RateLimit, entries: usize) -> TokenPools {
    let mut pools = TokenPools::new(OVERDRAFT);
    pools.set_limits(now, [(&WORKSPACE.into(), limit)]);
    pools.set_entries(now, entries, true);
    pools
}

impl Way for Pooled {
    fn name(&self) -> &'static str {
        "pooled"
    }

    fn tick(&mut self, now: Instant, states: &[State]) {
        for (entry, state) in states.iter().enumerate() {
            if *state == State::Up {
                self.up_at[entry] = now;
            }
        }
        let every_ms = feed_interval_ms(states.len());
        for entry in 0..states.len() {
            // Each at its own moment.
            let is_turn = (now.as_ms() + entry as u64 * 7).is_multiple_of(every_ms);
            let runs = matches!(states[entry], State::Up | State::Cut);
            if !is_turn || !runs {
                continue;
            }
            let to = self.keeper(now, states, entry);
            if to == entry {
                continue;
            }
            let away_ms = FEEDER_TIMEOUT_INTERVALS * every_ms;
            let up_at = &self.up_at;
            let is_gone = |name: &str| {
                let of = name.trim_start_matches("entry-").parse::<usize>();
                of.is_ok_and(|of| now.ms_since(up_at[of]) > away_ms)
            };
            let feeds = self.pools[entry].feed(now, |_| true, is_gone);
            self.messages += 2;
            if !hears(states, entry, to) {
                continue;
            }
            let from = Arc::clone(&self.names[entry]);
            for feed in feeds {
                if let Some(level) = self.pools[to].receive(now, &from, &feed) {
                    let keeper = self.names[to].to_string();
                    self.pools[entry].set_keeper_level(&keeper, WORKSPACE, level);
                }
            }
        }
    }

    fn take(
        &mut self,
        now: Instant,
        states: &[State],
        entry: usize,
        cost: f64,
    ) -> bool {
        if self.pools[entry].take_local(now, WORKSPACE, cost) == TakeOutcome::Taken {
            return true;
        }
        let to = self.keeper(now, states, entry);
        self.messages += 2 * u64::from(to != entry);
        hears(states, entry, to)
            && self.pools[to].take(now, WORKSPACE, cost) == TakeOutcome::Taken
    }

    fn restart(&mut self, now: Instant, entry: usize) {
        self.pools[entry] = pools(now, self.limit, self.names.len());
    }

    fn relied_on(&self) -> usize {
        let name = select_keeper(WORKSPACE, self.names.iter().map(|name| &**name));
        let found = self.names.iter().position(|known| Some(&**known) == name);
        found.unwrap_or(0)
    }

    fn messages(&self) -> u64 {
        self.messages
    }
}
