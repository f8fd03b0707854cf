//! Retry budget: limits retries to a percentage of first attempts.

use base::prelude::*;

/// Length of the sliding window.
const WINDOW_MS: u64 = 10_000;

/// Number of buckets in the window; one bucket expires at a time.
const BUCKETS: usize = 10;

/// Time covered by one bucket.
const BUCKET_MS: u64 = WINDOW_MS / BUCKETS as u64;

/// Retries always allowed within a window, so that a rarely used model can retry.
const RETRIES_MIN: u64 = 2;

/// Counts of one part of the window.
#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    /// Time of the bucket, in units of `BUCKET_MS`.
    number: u64,
    first_attempts: u64,
    retries: u64,
}

/// Retry budget for one model at one entry.
///
/// When a pool fails, all requests fail at once, and unlimited retries multiply the
/// load when the upstreams can bear least of it. The pool then stays down after the
/// cause has gone. The budget limits retries to a percentage of first attempts,
/// plus a small constant, so that a failing pool sees hardly more load than a
/// working one.
#[derive(Debug)]
pub struct RetryBudget {
    percent: u32,
    buckets: [Bucket; BUCKETS],
}

impl RetryBudget {
    /// Creates a budget of `percent` retries per 100 first attempts.
    pub fn new(percent: u32) -> Self {
        Self {
            percent,
            buckets: [Bucket::default(); BUCKETS],
        }
    }

    /// Sets the retries allowed per 100 first attempts. It also applies to the
    /// attempts that are already in the window.
    pub const fn set_percent(&mut self, percent: u32) {
        self.percent = percent;
    }

    /// Counts a first attempt.
    pub fn record_first_attempt(&mut self, now: Instant) {
        self.bucket(now).first_attempts += 1;
    }

    /// Takes one retry from the budget; returns false if it is used up.
    pub fn try_acquire(&mut self, now: Instant) -> bool {
        let (first_attempts, retries) = self.totals(now);
        let allowed = RETRIES_MIN + first_attempts * u64::from(self.percent) / 100;
        if retries >= allowed {
            return false;
        }
        self.bucket(now).retries += 1;
        true
    }

    /// The bucket of the current time, emptied if it was last used a window ago.
    fn bucket(&mut self, now: Instant) -> &mut Bucket {
        let number = now.as_ms() / BUCKET_MS;
        let bucket = &mut self.buckets[(number % BUCKETS as u64) as usize];
        if bucket.number != number {
            *bucket = Bucket {
                number,
                ..Bucket::default()
            };
        }
        bucket
    }

    /// First attempts and retries within the window.
    fn totals(&self, now: Instant) -> (u64, u64) {
        let number = now.as_ms() / BUCKET_MS;
        let oldest = (number + 1).saturating_sub(BUCKETS as u64);
        let current = self
            .buckets
            .iter()
            .filter(|bucket| (oldest..=number).contains(&bucket.number));
        current.fold((0, 0), |(first_attempts, retries), bucket| {
            (
                first_attempts + bucket.first_attempts,
                retries + bucket.retries,
            )
        })
    }
}
