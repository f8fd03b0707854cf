//! What one entry has of one workspace's tokens.

use base::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;

use crate::RateLimit;

/// Longest time that callers are told to come back in, one behind the other. Where
/// more is refused than can return in it, they are spread over it again.
const RETURN_WITHIN_MS: u64 = 5_000;

/// When callers are told to come back to a place where nothing is made and that nobody
/// feeds: by then it is fed, or another place keeps the tokens.
const NOTHING_MADE_MS: u64 = 300;

/// Tokens of one workspace at one entry.
#[derive(Debug)]
pub(crate) struct Pool {
    pub(crate) limit: RateLimit,
    /// Tokens there are; less than none after a request that overdrew.
    pub(crate) level: f64,
    /// Tokens that were taken before and not used. They are on their way to the
    /// keeper, and no part of what may lie here.
    pub(crate) returned: f64,
    made_at: Instant,
    /// Entries that hand their tokens here, and when they last did.
    feeders: BTreeMap<Arc<str>, Instant>,
    /// The keeper that was fed last, and the level that it told.
    pub(crate) told: Option<(String, f64)>,
    /// Tokens that those are to find who were refused and have yet to come back. In
    /// tokens and not as a moment: told by a pool that made little, the moment stayed
    /// far away for all who came when it was fed again.
    promised: f64,
    promised_at: Instant,
}

/// What an entry makes, as a part of the whole.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Share {
    /// Entries that may make tokens.
    pub(crate) entries: u32,
    /// Whether this one does.
    pub(crate) makes: bool,
    /// Time after which an entry that handed over nothing feeds no longer.
    pub(crate) feeds_for_ms: u64,
}

impl Share {
    fn own(&self) -> f64 {
        if self.makes {
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
            returned: 0.0,
            made_at: now,
            feeders: BTreeMap::new(),
            told: None,
            promised: 0.0,
            promised_at: now,
        }
    }

    /// Part of the whole that comes here: the own one and those of the feeders.
    pub(crate) fn part(&self, now: Instant, share: &Share) -> f64 {
        let feeders = self.feeders.values();
        let feeders = feeders.filter(|at| now.ms_since(**at) < share.feeds_for_ms);
        let fed = feeders.count() as f64 / f64::from(share.entries.max(1));
        (share.own() + fed).min(1.0)
    }

    /// Makes what the time since the last call gives, up to the part of the burst.
    pub(crate) fn make(&mut self, now: Instant, share: &Share) {
        let seconds = now.since(self.made_at).as_secs_f64();
        self.made_at = now;
        self.add(now, share, self.limit.rate_per_s * seconds * share.own());
    }

    /// Adds tokens that were made, up to the part of the burst.
    ///
    /// What lies beyond it is dropped: a pool that feeders have left for another one
    /// would otherwise keep a burst that the other one gives out once more.
    fn add(&mut self, now: Instant, share: &Share, tokens: f64) {
        let most = self.limit.burst * self.part(now, share);
        self.level = (self.level + tokens).min(most);
    }

    /// All that is here, to be handed over.
    pub(crate) fn drain(&mut self) -> f64 {
        std::mem::take(&mut self.level) + std::mem::take(&mut self.returned)
    }

    /// Keeps here what was returned, up to the part of the burst.
    pub(crate) fn keep_returned(&mut self, now: Instant, share: &Share) {
        let returned = std::mem::take(&mut self.returned);
        self.add(now, share, returned);
    }

    /// Takes over what a feeder hands here; the level then.
    pub(crate) fn receive(
        &mut self,
        now: Instant,
        share: &Share,
        from: &Arc<str>,
        fed: (f64, Option<f64>),
    ) -> f64 {
        self.make(now, share);
        let (tokens, owed) = fed;
        self.feeders.insert(Arc::clone(from), now);
        if let Some(owed) = owed {
            // The keeper before was overdrawn when it was last heard.
            self.level = self.level.min(owed);
        }
        self.add(now, share, tokens);
        self.level
    }

    /// Forgets feeders that have fed elsewhere for long.
    pub(crate) fn sweep(&mut self, now: Instant, share: &Share) {
        let feeds_for_ms = share.feeds_for_ms;
        self.feeders
            .retain(|_, at| now.ms_since(*at) < feeds_for_ms);
    }

    /// When somebody that is refused should come back: when the pool has something
    /// again, one behind the other, as far apart as their costs are made.
    ///
    /// All at the same moment, a workspace's callers would find tokens for the first
    /// of them, and the others be refused again.
    pub(crate) fn return_ms(&mut self, now: Instant, part: f64, cost: f64) -> u64 {
        let per_ms = self.limit.rate_per_s * part / 1_000.0;
        if per_ms <= 0.0 {
            return NOTHING_MADE_MS;
        }
        let made = per_ms * now.since(self.promised_at).as_secs_f64() * 1_000.0;
        self.promised = (self.promised - made).max(0.0) + cost;
        self.promised_at = now;
        let owed = (-self.level).max(0.0);
        let ms = |tokens: f64| (tokens / per_ms).ceil() as u64;
        if ms(owed + self.promised) > RETURN_WITHIN_MS {
            self.promised = cost;
        }
        ms(owed + self.promised).clamp(1, RETURN_WITHIN_MS)
    }
}
