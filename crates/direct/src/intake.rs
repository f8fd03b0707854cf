//! Limit on new connections of an entry that lacks processor time.
//!
//! A balancer may hand most new connections to one entry. An entry that accepts more than
//! it can serve serves all of them late: each step of each request waits for all others.
//! A connection that is closed before its request was read costs its caller little, since
//! any entry may get the request next. So the entry accepts the share of new connections
//! that it has time for.

/// Delay of the process's timers from which on it lacks processor time. Several steps of
/// a request take this long each. On a machine whose processor share is used up, the
/// process rests for up to a tenth of a second.
const OVERLOADED_DELAY_MS: u64 = 120;

/// Delay that a limited entry aims at. Below it, it has time to spare.
const TARGET_DELAY_MS: u64 = 50;

/// Number of requests in progress from which on they are taken for the cause. With fewer,
/// something else keeps the process from running, and it refuses nothing.
const REQUESTS_MIN: u64 = 32;

/// Number of observations in a row that show a lack of time before connections are
/// refused. A process that was suspended is late only once.
const OVERLOADED_OBSERVATIONS: u32 = 2;

/// Maximum factor on the share for each observation that shows a lack of time.
const DECREASE: f64 = 0.5;

/// Increase of the share for each observation that shows time to spare: a part of it, and
/// at least so much.
const INCREASE: f64 = 0.1;
const INCREASE_MIN: f64 = 0.01;

/// Minimum share, so that the entry is never out of reach.
const SHARE_MIN: f64 = 0.01;

/// Interval at which the delay is to be observed.
pub const INTAKE_INTERVAL_MS: u64 = 100;

/// Decides which new connections an entry accepts.
#[derive(Debug)]
pub struct IntakeLimit {
    /// Share of new connections that are accepted.
    share: f64,
    /// Number of observations in a row that showed a lack of processor time.
    overloaded: u32,
    /// Accepted connections that are due; less than one.
    due: f64,
    /// Number of connections that are accepted whatever the share, until the next
    /// observation: with them, no more requests than [`REQUESTS_MIN`] are in progress.
    room: u64,
}

impl Default for IntakeLimit {
    fn default() -> Self {
        Self {
            share: 1.0,
            overloaded: 0,
            due: 0.0,
            room: 0,
        }
    }
}

impl IntakeLimit {
    /// Records by how much a timer of the process was late, and the number of requests in
    /// progress; returns the share of new connections that are accepted if that begins or
    /// ceases to be all.
    pub fn observe(&mut self, delay_ms: u64, requests: u64) -> Option<f64> {
        let was_limited = self.share < 1.0;
        self.room = REQUESTS_MIN.saturating_sub(requests);
        if delay_ms >= OVERLOADED_DELAY_MS && requests >= REQUESTS_MIN {
            self.overloaded = self.overloaded.saturating_add(1);
            if self.overloaded >= OVERLOADED_OBSERVATIONS {
                let factor = TARGET_DELAY_MS as f64 / delay_ms as f64;
                self.share = (self.share * factor.min(DECREASE)).max(SHARE_MIN);
            }
        } else {
            self.overloaded = 0;
            if delay_ms < TARGET_DELAY_MS {
                let increase = (self.share * INCREASE).max(INCREASE_MIN);
                self.share = (self.share + increase).min(1.0);
            }
        }
        (was_limited != (self.share < 1.0)).then_some(self.share)
    }

    /// Decides whether a new connection is accepted.
    pub fn accepts(&mut self) -> bool {
        if self.share < 1.0 && self.room > 0 {
            self.room -= 1;
            return true;
        }
        self.due += self.share;
        let accepts = self.due >= 1.0;
        if accepts {
            self.due -= 1.0;
        }
        accepts
    }
}
