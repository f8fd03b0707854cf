//! Recording of a process's events.

use parking_lot::Mutex;
use schema::timeline::Event;
use std::collections::VecDeque;

use crate::clock::HybridClock;
use crate::{EventFilter, WallClock, unix_time_us};

/// Maximum length of a text field of a recorded event. Names in a request come from
/// the caller and can be as long as the request's body.
const TEXT_MAX_BYTES: usize = 256;

/// The clock of a process and a bounded buffer of its latest events.
#[derive(Debug)]
pub struct EventRecorder {
    process: String,
    capacity: usize,
    clock: HybridClock,
    buffer: Mutex<EventBuffer>,
}

#[derive(Debug, Default)]
struct EventBuffer {
    events: VecDeque<Event>,
    /// Clock value of the latest event, in microseconds since the Unix epoch.
    clock_us: u64,
    /// Position of the latest event among those with the same clock value.
    sequence: u32,
}

impl EventRecorder {
    /// Creates an empty recorder that keeps up to `capacity` events.
    pub fn new(process: &str, capacity: usize) -> Self {
        Self::with_wall_clock(process, capacity, unix_time_us)
    }

    /// Creates a recorder with another wall clock, for tests.
    pub fn with_wall_clock(
        process: &str,
        capacity: usize,
        wall_clock: WallClock,
    ) -> Self {
        Self {
            process: process.to_owned(),
            capacity,
            clock: HybridClock::new(wall_clock),
            buffer: Mutex::default(),
        }
    }

    /// Records an event and sets its clock, sequence and process. If the recorder is
    /// full, the oldest event is dropped.
    pub fn record(&self, mut event: Event) {
        truncate(&mut event.request);
        truncate(&mut event.model);
        truncate(&mut event.peer);
        truncate(&mut event.detail);
        event.process.clone_from(&self.process);
        let mut buffer = self.buffer.lock();
        // The clock is read under the lock so that events are stored in clock order.
        let clock_us = self.clock.now_us();
        buffer.sequence = if clock_us == buffer.clock_us {
            buffer.sequence.saturating_add(1)
        } else {
            0
        };
        buffer.clock_us = clock_us;
        event.clock_us = clock_us;
        event.sequence = buffer.sequence;
        buffer.events.push_back(event);
        if buffer.events.len() > self.capacity {
            buffer.events.pop_front();
        }
    }

    /// Advances the clock past the clock of a received frame, in microseconds since
    /// the Unix epoch.
    pub fn observe(&self, clock_us: u64) {
        self.clock.observe(clock_us);
    }

    /// Returns the time of the process's clock, in microseconds since the Unix epoch.
    /// It never goes backwards.
    pub fn now_us(&self) -> u64 {
        self.clock.now_us()
    }

    /// Returns the recorded events that match the filter, oldest first.
    pub fn events(&self, filter: &EventFilter) -> Vec<Event> {
        let buffer = self.buffer.lock();
        let matching = buffer.events.iter().filter(|event| filter.matches(event));
        matching.cloned().collect()
    }
}

/// Truncates a text to `TEXT_MAX_BYTES` at a character boundary.
fn truncate(text: &mut String) {
    if text.len() > TEXT_MAX_BYTES {
        text.truncate(text.floor_char_boundary(TEXT_MAX_BYTES));
        text.shrink_to_fit();
    }
}
