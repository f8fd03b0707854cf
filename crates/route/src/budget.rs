//! Retry budget: retries as a fraction of first tries.

use base::prelude::*;

/// Length of the sliding window.
const WINDOW_MS: u64 = 10_000;

/// Parts of the window; one part is forgotten at a time.
const PARTS: usize = 10;

const PART_MS: u64 = WINDOW_MS / PARTS as u64;

/// Retries allowed in a window whatever the first tries, so that a rare model
/// can retry at all.
const FLOOR: u64 = 2;

#[derive(Debug, Clone, Copy, Default)]
struct Part {
    number: u64,
    first_tries: u64,
    retries: u64,
}

/// Budget of retries for one model at one entry.
///
/// When a pool fails, every request fails at once and retries multiply the load
/// just when the upstreams can bear least of it; the symptom is a pool that
/// stays down after the cause has gone. A budget bounds what retries add to a
/// stated percentage of first tries (and a small floor), so a failing pool sees
/// hardly more load than a working one.
#[derive(Debug)]
pub struct RetryBudget {
    percent: u32,
    parts: [Part; PARTS],
}

impl RetryBudget {
    /// A budget of `percent` retries per 100 first tries.
    pub fn new(percent: u32) -> Self {
        Self {
            percent,
            parts: [Part::default(); PARTS],
        }
    }

    /// Sets the retries allowed per 100 first tries; those in the window count
    /// by it as well.
    pub const fn set_percent(&mut self, percent: u32) {
        self.percent = percent;
    }

    /// Counts a first try.
    pub fn record_first_attempt(&mut self, now: Instant) {
        self.part(now).first_tries += 1;
    }

    /// Takes one retry from the budget; false when it is spent.
    pub fn try_acquire(&mut self, now: Instant) -> bool {
        let (first_tries, retries) = self.in_window(now);
        let allowed = FLOOR + first_tries * u64::from(self.percent) / 100;
        if retries >= allowed {
            return false;
        }
        self.part(now).retries += 1;
        true
    }

    fn part(&mut self, now: Instant) -> &mut Part {
        let number = now.as_ms() / PART_MS;
        let part = &mut self.parts[(number % PARTS as u64) as usize];
        if part.number != number {
            *part = Part {
                number,
                ..Part::default()
            };
        }
        part
    }

    fn in_window(&self, now: Instant) -> (u64, u64) {
        let number = now.as_ms() / PART_MS;
        let oldest = (number + 1).saturating_sub(PARTS as u64);
        let live = self
            .parts
            .iter()
            .filter(|part| (oldest..=number).contains(&part.number));
        live.fold((0, 0), |(first_tries, retries), part| {
            (first_tries + part.first_tries, retries + part.retries)
        })
    }
}
