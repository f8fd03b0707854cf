//! Call numbers and retry delays for the agent's calls to the platform.

use base::{Instant, PlatformCall, PlatformOp};
use rand_core::{Rng as _, SeedableRng as _};
use rand_pcg::Pcg32;

use super::AgentAction;

/// First and longest delay between retries.
const RETRY_MIN_MS: u64 = 200;
const RETRY_MAX_MS: u64 = 3_000;

/// Numbers the calls and holds the random generator for their retry delays.
#[derive(Debug)]
pub(super) struct PlatformClient {
    next_call_id: u64,
    rng: Pcg32,
}

impl PlatformClient {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            next_call_id: 1,
            rng: Pcg32::seed_from_u64(seed),
        }
    }

    /// Asks the driver for a call and returns the call's number.
    pub(super) fn call(&mut self, op: PlatformOp, out: &mut Vec<AgentAction>) -> u64 {
        let id = self.next_call_id;
        self.next_call_id += 1;
        out.push(AgentAction::CallPlatform(PlatformCall { id, op }));
        id
    }
}

/// Exponential backoff with up to a quarter of random delay added, so that the
/// agents of a fleet don't retry at the same moment.
#[derive(Debug, Default)]
pub(super) struct Backoff {
    failures: u32,
    until: Option<Instant>,
}

impl Backoff {
    pub(super) fn record_failure(&mut self, now: Instant, client: &mut PlatformClient) {
        let wait_ms = (RETRY_MIN_MS << self.failures.min(8)).min(RETRY_MAX_MS);
        let spread_ms = u64::from(client.rng.next_u32()) % (wait_ms / 4);
        self.failures = self.failures.saturating_add(1);
        self.until = Some(now.plus_ms(wait_ms + spread_ms));
    }

    pub(super) fn reset(&mut self) {
        *self = Self::default();
    }

    pub(super) fn has_elapsed(&self, now: Instant) -> bool {
        self.until.is_none_or(|until| until <= now)
    }

    pub(super) const fn until(&self) -> Option<Instant> {
        self.until
    }
}
