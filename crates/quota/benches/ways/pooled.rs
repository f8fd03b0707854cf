//! The scheme that is in use: entries refill shares of the tokens and feed them to a
//! keeper.

use base::prelude::*;
use quota::{
    FEEDER_TIMEOUT_INTERVALS, RateLimit, TakeOutcome, TokenPools, feed_interval_ms,
    select_keeper,
};
use std::sync::Arc;

use crate::simulation::{EntryState, QuotaScheme, can_reach};

const OVERDRAFT: f64 = 8_500.0;

/// Time without a response after which an entry is no longer considered as the keeper.
const UNREACHABLE_AFTER_MS: u64 = 350;

pub struct PooledTokens {
    limit: RateLimit,
    names: Vec<Arc<str>>,
    pools: Vec<TokenPools>,
    /// When each entry was last up.
    last_up_at: Vec<Instant>,
    messages: u64,
}

const WORKSPACE: &str = "desk";

impl PooledTokens {
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
                .map(|_| new_pools(Instant::ZERO, limit, entries))
                .collect(),
            last_up_at: vec![Instant::ZERO; entries],
            messages: 0,
        }
    }

    /// The keeper as seen by entry `of`.
    fn keeper_of(&self, now: Instant, states: &[EntryState], of: usize) -> usize {
        let candidates = (0..self.names.len()).filter(|other| {
            let was_up_recently =
                now.ms_since(self.last_up_at[*other]) < UNREACHABLE_AFTER_MS;
            *other == of || (states[of] == EntryState::Up && was_up_recently)
        });
        let names = candidates.map(|other| &*self.names[other]);
        let name = select_keeper(WORKSPACE, names);
        let index = self.names.iter().position(|known| Some(&**known) == name);
        index.unwrap_or(of)
    }
}

fn new_pools(now: Instant, limit: RateLimit, entries: usize) -> TokenPools {
    let mut pools = TokenPools::new(OVERDRAFT);
    pools.set_limits(now, [(&WORKSPACE.into(), limit)]);
    pools.set_entries(now, entries, true);
    pools
}

impl QuotaScheme for PooledTokens {
    fn name(&self) -> &'static str {
        "pooled"
    }

    fn tick(&mut self, now: Instant, states: &[EntryState]) {
        for (entry, state) in states.iter().enumerate() {
            if *state == EntryState::Up {
                self.last_up_at[entry] = now;
            }
        }
        let interval_ms = feed_interval_ms(states.len());
        for entry in 0..states.len() {
            // Each entry feeds at a different time.
            let is_due = (now.as_ms() + entry as u64 * 7).is_multiple_of(interval_ms);
            let is_running = matches!(states[entry], EntryState::Up | EntryState::Cut);
            if !is_due || !is_running {
                continue;
            }
            let to = self.keeper_of(now, states, entry);
            if to == entry {
                continue;
            }
            let gone_after_ms = FEEDER_TIMEOUT_INTERVALS * interval_ms;
            let last_up_at = &self.last_up_at;
            let is_gone = |name: &str| {
                let of = name.trim_start_matches("entry-").parse::<usize>();
                of.is_ok_and(|of| now.ms_since(last_up_at[of]) > gone_after_ms)
            };
            let feeds = self.pools[entry].feed(now, |_| true, is_gone);
            self.messages += 2;
            if !can_reach(states, entry, to) {
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
        states: &[EntryState],
        entry: usize,
        cost: f64,
    ) -> bool {
        if self.pools[entry].take_local(now, WORKSPACE, cost) == TakeOutcome::Taken {
            return true;
        }
        let to = self.keeper_of(now, states, entry);
        self.messages += 2 * u64::from(to != entry);
        can_reach(states, entry, to)
            && self.pools[to].take(now, WORKSPACE, cost) == TakeOutcome::Taken
    }

    fn restart(&mut self, now: Instant, entry: usize) {
        self.pools[entry] = new_pools(now, self.limit, self.names.len());
    }

    fn most_relied_on_entry(&self) -> usize {
        let name = select_keeper(WORKSPACE, self.names.iter().map(|name| &**name));
        let index = self.names.iter().position(|known| Some(&**known) == name);
        index.unwrap_or(0)
    }

    fn messages(&self) -> u64 {
        self.messages
    }
}
