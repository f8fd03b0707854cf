//! When to call the platform again.

use base::{Instant, PlatformCall, PlatformOp};
use rand_core::{Rng as _, SeedableRng as _};
use rand_pcg::Pcg32;

use super::AgentAction;

/// Waits between tries: the first, and the longest.
const RETRY_MIN_MS: u64 = 200;
const RETRY_MAX_MS: u64 = 3_000;

/// Numbers calls and spreads retries.
#[derive(Debug)]
pub(super) struct Caller {
    next: u64,
    generator: Pcg32,
}

impl Caller {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            next: 1,
            generator: Pcg32::seed_from_u64(seed),
        }
    }

    /// Asks the driver for a call and returns its number.
    pub(super) fn call(&mut self, op: PlatformOp, out: &mut Vec<AgentAction>) -> u64 {
        let id = self.next;
        self.next += 1;
        out.push(AgentAction::CallPlatform(PlatformCall { id, op }));
        id
    }
}

/// Doubling waits after failures, spread by a quarter so that the agents of a
/// fleet don't come back to the platform in one moment.
#[derive(Debug, Default)]
pub(super) struct Backoff {
    failures: u32,
    until: Option<Instant>,
}

impl Backoff {
    pub(super) fn failed(&mut self, now: Instant, caller: &mut Caller) {
        let wait_ms = (RETRY_MIN_MS << self.failures.min(8)).min(RETRY_MAX_MS);
        let spread_ms = u64::from(caller.generator.next_u32()) % (wait_ms / 4);
        self.failures = self.failures.saturating_add(1);
        self.until = Some(now.plus_ms(wait_ms + spread_ms));
    }

    pub(super) fn succeeded(&mut self) {
        *self = Self::default();
    }

    pub(super) fn is_over(&self, now: Instant) -> bool {
        self.until.is_none_or(|until| until <= now)
    }

    pub(super) const fn until(&self) -> Option<Instant> {
        self.until
    }
}
