//! What an entry makes of time in which it stood still itself.
//!
//! A process that was stopped for seconds wakes with its clock moved on, and
//! what its peers sent meanwhile still waits in its sockets. By its clock they
//! all were silent. It would give up agents that are well, with the work it gave
//! them, would count itself the only entry, and would plan as such on a view that
//! is old. So time in which it stood still counts as nobody's silence.

use base::prelude::*;

use super::Control;

/// Heartbeat intervals by which a timer is late after a freeze. Agents heard
/// before a shorter one are at worst suspected, which ends with the next frame.
const FREEZE_HEARTBEATS: u64 = 2;

/// The newest time in which the process stood still.
#[derive(Debug)]
pub(super) struct Freeze {
    gap_ms: u64,
    /// Until when silence is counted without the gap. Whoever is not heard by
    /// then has been silent for the whole bound since the detect_freeze.
    discount_until: Instant,
    /// When what waited in the sockets has been read.
    backlog_read_by: Instant,
}

impl Freeze {
    pub(super) const fn none(now: Instant) -> Self {
        Self {
            gap_ms: 0,
            discount_until: now,
            backlog_read_by: now,
        }
    }
}

impl Control {
    /// When an event means that the process stood still: some timer is due a
    /// few times in each heartbeat interval, so this one would be late.
    pub(crate) fn freeze_threshold(&self) -> Option<Instant> {
        let late_ms = self.directory.timing().heartbeat_ms() * FREEZE_HEARTBEATS;
        self.due().map(|due| due.plus_ms(late_ms))
    }

    /// Notes that the process has woken, if it has.
    pub(crate) fn detect_freeze(&mut self, now: Instant) {
        let (Some(due), Some(bound)) = (self.due(), self.freeze_threshold()) else {
            return;
        };
        if now < bound {
            return;
        }
        let timing = self.directory.timing();
        let before_ms = match due < self.freeze.discount_until {
            true => self.freeze.gap_ms,
            false => 0,
        };
        self.freeze = Freeze {
            gap_ms: before_ms + now.ms_since(due),
            discount_until: now.plus_ms(timing.lost_ms()),
            backlog_read_by: now.plus_ms(timing.heartbeat_ms()),
        };
        // The next event must not find the same timers late again.
        let mut late = Vec::new();
        while let Some(timer) = self.timers.take(now) {
            late.push(timer);
        }
        for timer in late {
            self.timers.set(now, timer);
        }
    }

    /// The time by which silence is judged.
    pub(super) fn silence_clock(&self, now: Instant) -> Instant {
        match now < self.freeze.discount_until {
            true => now - Duration::from_millis(self.freeze.gap_ms),
            false => now,
        }
    }

    /// When what peers sent during a freeze has been read. Before that nothing
    /// is planned, and no attempt counts as silent.
    pub(crate) const fn backlog_read_by(&self) -> Instant {
        self.freeze.backlog_read_by
    }
}
