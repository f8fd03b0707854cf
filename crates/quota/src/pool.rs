//! What one entry has of one workspace's tokens.

use base::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;

use crate::RateLimit;

/// Longest time that callers are told to come back in, one behind the other. Where
/// more is refused than can return in it, they are spread over it again.
const RETRY_AFTER_MAX_MS: u64 = 5_000;

/// When callers are told to come back to a place where nothing is made and that nobody
/// feeds: by then it is fed, or another place keeps the tokens.
const NO_REFILL_RETRY_MS: u64 = 300;

/// Tokens of one workspace at one entry.
#[derive(Debug)]
pub(crate) struct Pool {
    pub(crate) limit: RateLimit,
    /// Tokens there are; less than none after a request that overdrew.
    pub(crate) level: f64,
    /// Tokens that were taken before and not used. They are on their way to the
    /// keeper, and no part of what may lie here.
    pub(crate) refunded: f64,
    refilled_at: Instant,
    /// Entries that hand their tokens here, and when they last did.
    feeders: BTreeMap<Arc<str>, Instant>,
    /// The keeper that was fed last, and the level that it told.
    pub(crate) last_keeper_level: Option<(String, f64)>,
    /// Tokens that those are to find who were refused and have yet to come back. In
    /// tokens and not as a moment: told by a pool that made little, the moment stayed
    /// far away for all who came when it was fed again.
    promised_tokens: f64,
    promised_at: Instant,
}

/// What an entry makes, as a part of the whole.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Share {
    /// Entries that may make tokens.
    pub(crate) entries: u32,
    /// Whether this one does.
    pub(crate) produces: bool,
    /// Time after which an entry that handed over nothing feeds no longer.
    pub(crate) feeder_timeout_ms: u64,
}

impl Share {
    fn own_share(&self) -> f64 {
        if self.produces {
            1.0 / f64::from(self.entries.max(1))
        } else {
            0.0
        }
    }
}

impl Pool {
    /// Nothing is there yet.
    pub(crate) const fn new(now: Instant, limit: RateLimit) -> Self {
        Self {
            limit,
            level: 0.0,
            refunded: 0.0,
            refilled_at: now,
            feeders: BTreeMap::new(),
            last_keeper_level: None,
            promised_tokens: 0.0,
            promised_at: now,
        }
    }

    /// Part of the whole that comes here: the own one and those of the feeders.
    pub(crate) fn total_share(&self, now: Instant, share: &Share) -> f64 {
        let feeders = self.feeders.values();
        let feeders = feeders.filter(|at| now.ms_since(**at) < share.feeder_timeout_ms);
        let fed = feeders.count() as f64 / f64::from(share.entries.max(1));
        (share.own_share() + fed).min(1.0)
    }

    /// Makes what the time since the last call gives, up to the part of the burst.
    pub(crate) fn refill(&mut self, now: Instant, share: &Share) {
        let seconds = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.add_capped(
            now,
            share,
            self.limit.rate_per_s * seconds * share.own_share(),
        );
    }

    /// Adds tokens that were made, up to the part of the burst.
    ///
    /// What lies beyond it is dropped: a pool that feeders have left for another one
    /// would otherwise keep a burst that the other one gives out once more.
    fn add_capped(&mut self, now: Instant, share: &Share, tokens: f64) {
        let max_level = self.limit.burst * self.total_share(now, share);
        self.level = (self.level + tokens).min(max_level);
    }

    /// All that is here, to be handed over.
    pub(crate) fn drain(&mut self) -> f64 {
        std::mem::take(&mut self.level) + std::mem::take(&mut self.refunded)
    }

    /// Keeps here what was returned, up to the part of the burst.
    pub(crate) fn keep_refunded(&mut self, now: Instant, share: &Share) {
        let refunded = std::mem::take(&mut self.refunded);
        self.add_capped(now, share, refunded);
    }

    /// Takes over what a feeder hands here; the level then.
    pub(crate) fn receive(
        &mut self,
        now: Instant,
        share: &Share,
        from: &Arc<str>,
        fed: (f64, Option<f64>),
    ) -> f64 {
        self.refill(now, share);
        let (tokens, owed) = fed;
        self.feeders.insert(Arc::clone(from), now);
        if let Some(owed) = owed {
            // The keeper before was overdrawn when it was last heard.
            self.level = self.level.min(owed);
        }
        self.add_capped(now, share, tokens);
        self.level
    }

    /// Forgets feeders that have fed elsewhere for long.
    pub(crate) fn remove_stale_feeders(&mut self, now: Instant, share: &Share) {
        let feeder_timeout_ms = share.feeder_timeout_ms;
        self.feeders
            .retain(|_, at| now.ms_since(*at) < feeder_timeout_ms);
    }

    /// When somebody that is refused should come back: when the pool has something
    /// again, one behind the other, as far apart as their costs are made.
    ///
    /// All at the same moment, a workspace's callers would find tokens for the first
    /// of them, and the others be refused again.
    pub(crate) fn retry_after_ms(
        &mut self,
        now: Instant,
        share_here: f64,
        cost: f64,
    ) -> u64 {
        let per_ms = self.limit.rate_per_s * share_here / 1_000.0;
        if per_ms <= 0.0 {
            return NO_REFILL_RETRY_MS;
        }
        let made = per_ms * now.since(self.promised_at).as_secs_f64() * 1_000.0;
        self.promised_tokens = (self.promised_tokens - made).max(0.0) + cost;
        self.promised_at = now;
        let owed = (-self.level).max(0.0);
        let ms = |tokens: f64| (tokens / per_ms).ceil() as u64;
        if ms(owed + self.promised_tokens) > RETRY_AFTER_MAX_MS {
            self.promised_tokens = cost;
        }
        ms(owed + self.promised_tokens).clamp(1, RETRY_AFTER_MAX_MS)
    }
}
