//! Tokens of all workspaces at one entry.

use base::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;

use crate::token_pool::{RefillShare, TokenPool};
use crate::{FEEDER_TIMEOUT_INTERVALS, RateLimit, feed_interval_ms};

/// Outcome of taking a request's tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TakeOutcome {
    /// The tokens were taken.
    Taken,
    /// There are too few tokens.
    Insufficient {
        /// When there should be enough again, in milliseconds.
        retry_after_ms: u64,
    },
    /// The request costs more than the workspace may ever use at once.
    ExceedsLimit,
    /// The workspace has no limit.
    Unlimited,
}

/// Tokens of one workspace that an entry sends to its keeper.
#[derive(Debug, Clone, PartialEq)]
pub struct Feed {
    /// Name of the workspace.
    pub workspace: Arc<str>,
    /// Tokens; negative if the sender's pool is overdrawn.
    pub tokens: f64,
    /// Last reported level of the previous keeper, if that keeper is gone and the level
    /// was negative.
    pub previous_keeper_level: Option<f64>,
}

/// Token pools of all workspaces at one entry.
#[derive(Debug)]
pub struct TokenPools {
    overdraft: f64,
    share: RefillShare,
    pools: BTreeMap<Arc<str>, TokenPool>,
}

impl TokenPools {
    /// Creates the pools of an entry, without any limits.
    ///
    /// A request may overdraw a pool by up to `overdraft` tokens.
    pub fn new(overdraft: f64) -> Self {
        let share = RefillShare {
            entries: 1,
            refills: false,
            feeder_timeout_ms: FEEDER_TIMEOUT_INTERVALS * feed_interval_ms(1),
        };
        Self {
            overdraft,
            share,
            pools: BTreeMap::new(),
        }
    }

    /// Whether no workspace has a limit.
    pub fn is_empty(&self) -> bool {
        self.pools.is_empty()
    }

    /// Applies the limits of a configuration. A lowered limit applies at once, also to
    /// unused tokens; a raised one to the refill from now on.
    pub fn set_limits<'a>(
        &mut self,
        now: Instant,
        limits: impl IntoIterator<Item = (&'a Arc<str>, RateLimit)>,
    ) {
        let mut old_pools = std::mem::take(&mut self.pools);
        for (workspace, limit) in limits {
            let existing = old_pools.remove(workspace);
            let mut pool = existing.unwrap_or_else(|| TokenPool::new(now, limit));
            pool.refill(now, &self.share);
            pool.limit = limit;
            pool.refill(now, &self.share);
            self.pools.insert(Arc::clone(workspace), pool);
        }
    }

    /// Sets the number of entries that share the refill, and whether this entry takes
    /// part.
    ///
    /// Every entry that refills a share must count all others that do, or the shares
    /// sum to more than one. An entry therefore counts every entry that it has ever
    /// heard of, and takes part itself only once the others have known it for long
    /// enough.
    pub fn set_entries(&mut self, now: Instant, entries: usize, refills: bool) {
        let share = RefillShare {
            entries: u32::try_from(entries).unwrap_or(u32::MAX).max(1),
            refills,
            feeder_timeout_ms: FEEDER_TIMEOUT_INTERVALS * feed_interval_ms(entries),
        };
        for pool in self.pools.values_mut() {
            pool.refill(now, &self.share);
        }
        self.share = share;
    }

    /// Takes a request's tokens from the pool at this entry.
    ///
    /// A request is admitted while the level is positive and may overdraw it, by up to
    /// this pool's share of the overdraft. If a request needed all of its tokens in
    /// advance, a large one would be refused whenever small ones use up the refill, and
    /// one larger than the burst forever. The debt is repaid before the next request is
    /// admitted, so the overdraft is used once and not by each request.
    ///
    /// # Bound
    ///
    /// Over all entries and in any time span, the tokens taken are at most the rate
    /// times the span, the burst, the overdraft, and the tokens that were refilled
    /// during one feed interval and have not reached a keeper. If a keeper fails with a
    /// debt that it reported to nobody, that debt is added.
    pub fn take(&mut self, now: Instant, workspace: &str, cost: f64) -> TakeOutcome {
        let Some(pool) = self.pools.get_mut(workspace) else {
            return TakeOutcome::Unlimited;
        };
        pool.refill(now, &self.share);
        pool.keep_refunded(now, &self.share);
        if cost > pool.limit.burst + self.overdraft {
            return TakeOutcome::ExceedsLimit;
        }
        let share_here = pool.total_share(now, &self.share);
        let level_after = pool.level - cost;
        if pool.level > 0.0 && level_after >= -self.overdraft * share_here {
            pool.level = level_after;
            return TakeOutcome::Taken;
        }
        let retry_after_ms = pool.retry_after_ms(now, share_here, cost);
        TakeOutcome::Insufficient { retry_after_ms }
    }

    /// Takes a request's tokens only if all of them are in the pool at this entry, so
    /// that it is not overdrawn.
    pub fn take_local(
        &mut self,
        now: Instant,
        workspace: &str,
        cost: f64,
    ) -> TakeOutcome {
        let Some(pool) = self.pools.get_mut(workspace) else {
            return TakeOutcome::Unlimited;
        };
        pool.refill(now, &self.share);
        if pool.level + pool.refunded < cost {
            return TakeOutcome::Insufficient { retry_after_ms: 0 };
        }
        pool.level = pool.drain() - cost;
        TakeOutcome::Taken
    }

    /// Returns the tokens of a request that did not run.
    pub fn refund(&mut self, workspace: &str, cost: f64) {
        if let Some(pool) = self.pools.get_mut(workspace) {
            pool.refunded += cost;
        }
    }

    /// Removes the tokens of the pools for which `is_kept` is true, debts included, in
    /// order to send them to their keeper.
    ///
    /// If `is_gone` is true for the keeper that a pool last fed, the feed contains the
    /// debt which that keeper last reported. A live keeper hands over its debt itself,
    /// and the debt would count twice.
    pub fn feed(
        &mut self,
        now: Instant,
        is_kept: impl Fn(&str) -> bool,
        is_gone: impl Fn(&str) -> bool,
    ) -> Vec<Feed> {
        let share = self.share;
        let kept_pools = self.pools.iter_mut().filter(|(name, _)| is_kept(name));
        let feeds = kept_pools.map(|(workspace, pool)| {
            pool.refill(now, &share);
            let gone_keeper = pool
                .last_keeper_level
                .as_ref()
                .filter(|(keeper, _)| is_gone(keeper));
            let previous_keeper_level = gone_keeper
                .map(|(_, level)| *level)
                .filter(|level| *level < 0.0);
            Feed {
                workspace: Arc::clone(workspace),
                tokens: pool.drain(),
                previous_keeper_level,
            }
        });
        feeds.collect()
    }

    /// Adds the tokens of a feed from another entry. Returns the new level, which is
    /// reported to that entry; `None` if the workspace has no limit here.
    pub fn receive(
        &mut self,
        now: Instant,
        from: &Arc<str>,
        feed: &Feed,
    ) -> Option<f64> {
        let share = self.share;
        let pool = self.pools.get_mut(&feed.workspace)?;
        let level =
            pool.receive(now, &share, from, (feed.tokens, feed.previous_keeper_level));
        // No pool is overdrawn by more than the overdraft, so a debt that is reported
        // twice is repaid once.
        pool.level = level.max(-self.overdraft);
        Some(pool.level)
    }

    /// Records the level that a keeper reported.
    pub fn set_keeper_level(&mut self, keeper: &str, workspace: &str, level: f64) {
        if let Some(pool) = self.pools.get_mut(workspace) {
            pool.last_keeper_level = Some((keeper.to_owned(), level));
        }
    }

    /// Removes entries that no longer feed this one.
    pub fn remove_stale_feeders(&mut self, now: Instant) {
        let share = self.share;
        for pool in self.pools.values_mut() {
            pool.remove_stale_feeders(now, &share);
        }
    }

    /// Workspaces with a limit.
    pub fn workspaces(&self) -> impl Iterator<Item = &Arc<str>> {
        self.pools.keys()
    }

    /// Level of a workspace's pool, and the share of its rate that reaches the pool.
    pub fn level_and_share(&self, now: Instant, workspace: &str) -> Option<(f64, f64)> {
        let pool = self.pools.get(workspace)?;
        Some((pool.level, pool.total_share(now, &self.share)))
    }
}
