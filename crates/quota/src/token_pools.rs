//! What one entry has of all workspaces' tokens.

use base::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;

use crate::pool::{Pool, Share};
use crate::{FEEDER_TIMEOUT_INTERVALS, RateLimit, feed_interval_ms};

/// What became of a request that wants tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TakeOutcome {
    /// It has them.
    Taken,
    /// There are too few.
    Insufficient {
        /// When there should be enough again.
        retry_after_ms: u64,
    },
    /// It wants more than the workspace may ever use at once.
    ExceedsLimit,
    /// The workspace has no bound.
    Unlimited,
}

/// Tokens that an entry hands to a keeper.
#[derive(Debug, Clone, PartialEq)]
pub struct Feed {
    /// Workspace.
    pub workspace: Arc<str>,
    /// Tokens; less than none is a debt.
    pub tokens: f64,
    /// What the keeper before owed when it was last heard, if it did.
    pub previous_keeper_level: Option<f64>,
}

/// Tokens of all workspaces at one entry.
#[derive(Debug)]
pub struct TokenPools {
    overdraft: f64,
    share: Share,
    pools: BTreeMap<Arc<str>, Pool>,
}

impl TokenPools {
    /// No workspace has a bound yet.
    ///
    /// A request may take up to `overdraft` more tokens than there are.
    pub fn new(overdraft: f64) -> Self {
        let share = Share {
            entries: 1,
            produces: false,
            feeder_timeout_ms: FEEDER_TIMEOUT_INTERVALS * feed_interval_ms(1),
        };
        Self {
            overdraft,
            share,
            pools: BTreeMap::new(),
        }
    }

    /// Whether no workspace has a bound.
    pub fn is_empty(&self) -> bool {
        self.pools.is_empty()
    }

    /// Takes over the bounds of a configuration. A lower one holds at once; of a
    /// higher one, what time gives from now on can be used.
    pub fn set_limits<'a>(
        &mut self,
        now: Instant,
        limits: impl IntoIterator<Item = (&'a Arc<str>, RateLimit)>,
    ) {
        let mut old_pools = std::mem::take(&mut self.pools);
        for (workspace, limit) in limits {
            let known = old_pools.remove(workspace);
            let mut pool = known.unwrap_or_else(|| Pool::new(now, limit));
            pool.refill(now, &self.share);
            pool.limit = limit;
            pool.refill(now, &self.share);
            self.pools.insert(Arc::clone(workspace), pool);
        }
    }

    /// Sets among how many entries the making is shared out, and whether this one
    /// takes part.
    ///
    /// All who may make tokens have to count all who do, or their parts are too large
    /// in sum. So an entry counts each one that it has ever heard or read of, and
    /// takes part itself only when it has been known for long enough to the others.
    pub fn set_entries(&mut self, now: Instant, entries: usize, produces: bool) {
        let share = Share {
            entries: u32::try_from(entries).unwrap_or(u32::MAX).max(1),
            produces,
            feeder_timeout_ms: FEEDER_TIMEOUT_INTERVALS * feed_interval_ms(entries),
        };
        for pool in self.pools.values_mut() {
            pool.refill(now, &self.share);
        }
        self.share = share;
    }

    /// Takes a request's tokens from what is here.
    ///
    /// A request is let in while there is anything, and may take more than that: up to
    /// the overdraft, of which this pool has the part that is fed to it. RecentAnswers for all
    /// of its tokens beforehand, a large request would be refused whenever small ones
    /// use what comes, and one that is larger than the burst for ever. The debt is
    /// paid before the next one is let in, so it is owed once and not by each.
    ///
    /// # Bound
    ///
    /// Over all entries and in any span, what is taken is at most the rate times the
    /// span, the burst and the overdraft, and besides what was made during one feed's
    /// time and is not yet with a keeper. A keeper that ends with a debt that nobody
    /// heard of adds that debt.
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

    /// Takes a request's tokens if all of them are here; nothing is owed then.
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

    /// Puts back what a request took that did not run.
    pub fn refund(&mut self, workspace: &str, cost: f64) {
        if let Some(pool) = self.pools.get_mut(workspace) {
            pool.refunded += cost;
        }
    }

    /// Hands over all that is here of the workspaces that a keeper keeps, a debt as
    /// well, and tells what a keeper owed that is gone. One that is there hands its
    /// debt over by itself, and told as well it would count twice.
    pub fn feed(
        &mut self,
        now: Instant,
        keeps: impl Fn(&str) -> bool,
        is_gone: impl Fn(&str) -> bool,
    ) -> Vec<Feed> {
        let share = self.share;
        let kept = self.pools.iter_mut().filter(|(name, _)| keeps(name));
        let feeds = kept.map(|(workspace, pool)| {
            pool.refill(now, &share);
            let gone = pool
                .last_keeper_level
                .as_ref()
                .filter(|(keeper, _)| is_gone(keeper));
            let previous_keeper_level =
                gone.map(|(_, level)| *level).filter(|level| *level < 0.0);
            Feed {
                workspace: Arc::clone(workspace),
                tokens: pool.drain(),
                previous_keeper_level,
            }
        });
        feeds.collect()
    }

    /// Takes over what another entry hands here; the level then, of which it is told.
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
        // More was never overdrawn; a debt that was told twice is paid once.
        pool.level = level.max(-self.overdraft);
        Some(pool.level)
    }

    /// A keeper told what it has.
    pub fn set_keeper_level(&mut self, keeper: &str, workspace: &str, level: f64) {
        if let Some(pool) = self.pools.get_mut(workspace) {
            pool.last_keeper_level = Some((keeper.to_owned(), level));
        }
    }

    /// Forgets entries that feed this one no longer.
    pub fn remove_stale_feeders(&mut self, now: Instant) {
        let share = self.share;
        for pool in self.pools.values_mut() {
            pool.remove_stale_feeders(now, &share);
        }
    }

    /// Workspaces with a bound.
    pub fn workspaces(&self) -> impl Iterator<Item = &Arc<str>> {
        self.pools.keys()
    }

    /// Tokens there are of a workspace, and the part of its rate that comes here.
    pub fn level_and_share(&self, now: Instant, workspace: &str) -> Option<(f64, f64)> {
        let pool = self.pools.get(workspace)?;
        Some((pool.level, pool.total_share(now, &self.share)))
    }
}
