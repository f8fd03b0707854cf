//! Tokens of one workspace at one entry.

use base::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;

use crate::RateLimit;

/// Longest retry time that refused callers are told. Successive callers are told
/// successive times; when more are refused than can be served within this time, the
/// times start again from the earliest.
const RETRY_AFTER_MAX_MS: u64 = 5_000;

/// Retry time for callers of a pool that is neither refilled nor fed. By then it is
/// fed, or another entry is the keeper.
const NO_REFILL_RETRY_MS: u64 = 300;

/// Token bucket of one workspace at one entry.
#[derive(Debug)]
pub(crate) struct TokenPool {
    pub(crate) limit: RateLimit,
    /// Tokens in the pool; negative after a request overdrew it.
    pub(crate) level: f64,
    /// Tokens that were taken but not used. They belong to the keeper and don't count
    /// towards the limit on this pool's level.
    pub(crate) refunded: f64,
    refilled_at: Instant,
    /// Entries that feed this pool, and when each last did.
    feeders: BTreeMap<Arc<str>, Instant>,
    /// The keeper that this pool last fed, and the level that it reported.
    pub(crate) last_keeper_level: Option<(String, f64)>,
    /// Tokens reserved for refused callers that have yet to return. Stored in tokens
    /// and not as a time: a time computed while the pool had hardly any refill would
    /// stay far in the future for all callers that are refused after it is fed again.
    promised_tokens: f64,
    promised_at: Instant,
}

/// How the refill of a limit is divided among entries.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RefillShare {
    /// Entries that may refill the limit.
    pub(crate) entries: u32,
    /// Whether this entry refills its share.
    pub(crate) refills: bool,
    /// Time without a feed after which an entry no longer counts as a feeder.
    pub(crate) feeder_timeout_ms: u64,
}

impl RefillShare {
    fn own_fraction(&self) -> f64 {
        if self.refills {
            1.0 / f64::from(self.entries.max(1))
        } else {
            0.0
        }
    }
}

impl TokenPool {
    /// Creates an empty pool.
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

    /// Share of the limit that reaches this pool: that of its own entry and those of
    /// its feeders.
    pub(crate) fn total_share(&self, now: Instant, share: &RefillShare) -> f64 {
        let feeders = self.feeders.values();
        let live_feeders =
            feeders.filter(|at| now.ms_since(**at) < share.feeder_timeout_ms);
        let fed_fraction =
            live_feeders.count() as f64 / f64::from(share.entries.max(1));
        (share.own_fraction() + fed_fraction).min(1.0)
    }

    /// Adds the tokens for the time since the last refill, up to this pool's share of
    /// the burst.
    pub(crate) fn refill(&mut self, now: Instant, share: &RefillShare) {
        let seconds = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.add_capped(
            now,
            share,
            self.limit.rate_per_s * seconds * share.own_fraction(),
        );
    }

    /// Adds tokens up to this pool's share of the burst.
    ///
    /// The excess is dropped. Otherwise a pool whose feeders have moved to another
    /// keeper would keep a burst that the other keeper grants as well.
    fn add_capped(&mut self, now: Instant, share: &RefillShare, tokens: f64) {
        let max_level = self.limit.burst * self.total_share(now, share);
        self.level = (self.level + tokens).min(max_level);
    }

    /// Removes all tokens, in order to feed them to a keeper.
    pub(crate) fn drain(&mut self) -> f64 {
        std::mem::take(&mut self.level) + std::mem::take(&mut self.refunded)
    }

    /// Adds the refunded tokens to this pool, up to its share of the burst.
    pub(crate) fn keep_refunded(&mut self, now: Instant, share: &RefillShare) {
        let refunded = std::mem::take(&mut self.refunded);
        self.add_capped(now, share, refunded);
    }

    /// Adds the tokens of a feed and returns the new level.
    pub(crate) fn receive(
        &mut self,
        now: Instant,
        share: &RefillShare,
        from: &Arc<str>,
        feed: (f64, Option<f64>),
    ) -> f64 {
        self.refill(now, share);
        let (tokens, previous_keeper_level) = feed;
        self.feeders.insert(Arc::clone(from), now);
        if let Some(previous_level) = previous_keeper_level {
            // The previous keeper was overdrawn when it last reported its level.
            self.level = self.level.min(previous_level);
        }
        self.add_capped(now, share, tokens);
        self.level
    }

    /// Removes entries that have not fed this pool for the feeder timeout.
    pub(crate) fn remove_stale_feeders(&mut self, now: Instant, share: &RefillShare) {
        let feeder_timeout_ms = share.feeder_timeout_ms;
        self.feeders
            .retain(|_, at| now.ms_since(*at) < feeder_timeout_ms);
    }

    /// Time after which a refused caller should retry. Successive callers are told
    /// times as far apart as their costs take to refill.
    ///
    /// If all of them returned at the same time, there would be tokens for the first
    /// one only, and the others would be refused again.
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
        let refilled = per_ms * now.since(self.promised_at).as_secs_f64() * 1_000.0;
        self.promised_tokens = (self.promised_tokens - refilled).max(0.0) + cost;
        self.promised_at = now;
        let debt = (-self.level).max(0.0);
        let ms_to_refill = |tokens: f64| (tokens / per_ms).ceil() as u64;
        if ms_to_refill(debt + self.promised_tokens) > RETRY_AFTER_MAX_MS {
            self.promised_tokens = cost;
        }
        ms_to_refill(debt + self.promised_tokens).clamp(1, RETRY_AFTER_MAX_MS)
    }
}
