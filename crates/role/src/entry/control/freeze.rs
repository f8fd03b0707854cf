//! Detects that the entry process itself was frozen, and discounts that time.
//!
//! A process that was not scheduled for seconds (SIGSTOP, a paused virtual machine)
//! resumes with its clock advanced, and the frames that peers sent meanwhile are
//! still unread in its sockets. By its clock all peers were silent. It would declare
//! healthy agents lost and give up the attempts at them, would take itself for the
//! only entry, and would plan on an outdated view. So the time of a freeze does not
//! count towards any peer's silence.

use base::prelude::*;

use super::Control;

/// Delay of a timer, in heartbeat intervals, from which the process counts as frozen.
/// A shorter freeze at worst makes agents suspected, until their next frame is read.
const FREEZE_HEARTBEATS: u64 = 2;

/// The latest freeze of the process.
#[derive(Debug)]
pub(super) struct Freeze {
    /// Duration of the freeze.
    gap_ms: u64,
    /// Until when the gap is discounted from silences. An agent that sends nothing by
    /// then has been silent for the whole limit since the process resumed.
    discount_until: Instant,
    /// By when the frames that arrived during the freeze are assumed to have been
    /// read.
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
    /// Time from which an event shows that the process was frozen. Some timer is due
    /// several times in each heartbeat interval, so only a freeze delays one by more.
    pub(crate) fn freeze_threshold(&self) -> Option<Instant> {
        let late_ms =
            self.directory.silence_limits().heartbeat_ms() * FREEZE_HEARTBEATS;
        self.due().map(|due| due.plus_ms(late_ms))
    }

    /// Detects a freeze that has just ended, and records it.
    pub(crate) fn detect_freeze(&mut self, now: Instant) {
        let (Some(due), Some(threshold)) = (self.due(), self.freeze_threshold()) else {
            return;
        };
        if now < threshold {
            return;
        }
        let silence_limits = self.directory.silence_limits();
        let before_ms = match due < self.freeze.discount_until {
            true => self.freeze.gap_ms,
            false => 0,
        };
        self.freeze = Freeze {
            gap_ms: before_ms + now.ms_since(due),
            discount_until: now.plus_ms(silence_limits.lost_ms()),
            backlog_read_by: now.plus_ms(silence_limits.heartbeat_ms()),
        };
        // Reset the overdue timers, so that the next event does not find them late.
        let mut late = Vec::new();
        while let Some(timer) = self.timers.pop_due(now) {
            late.push(timer);
        }
        for timer in late {
            self.timers.schedule(now, timer);
        }
    }

    /// The current time without the freeze, against which silences are measured.
    pub(super) fn silence_clock(&self, now: Instant) -> Instant {
        match now < self.freeze.discount_until {
            true => now - Duration::from_millis(self.freeze.gap_ms),
            false => now,
        }
    }

    /// By when the frames that peers sent during a freeze are assumed to have been
    /// read: one heartbeat interval after its end. Until then no plan is made, and no
    /// attempt counts as silent.
    pub(crate) const fn backlog_read_by(&self) -> Instant {
        self.freeze.backlog_read_by
    }
}
