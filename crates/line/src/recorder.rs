//! The newest events of one process.

use parking_lot::Mutex;
use schema::timeline::Event;
use std::collections::VecDeque;

use crate::clock::HybridClock;
use crate::{EventFilter, WallClock, unix_time_us};

/// Longest text kept in a field of an event. Names in a request are the
/// caller's and may be as long as its body.
const TEXT_MAX_BYTES: usize = 256;

/// The newest events of one process, and its clock.
#[derive(Debug)]
pub struct EventRecorder {
    process: String,
    capacity: usize,
    clock: HybridClock,
    kept: Mutex<Kept>,
}

#[derive(Debug, Default)]
struct Kept {
    events: VecDeque<Event>,
    clock_us: u64,
    sequence: u32,
}

impl EventRecorder {
    /// An empty recorder that keeps `capacity` events.
    pub fn new(process: &str, capacity: usize) -> Self {
        Self::with_wall_clock(process, capacity, unix_time_us)
    }

    /// The same with another wall clock, for tests.
    pub fn with_wall_clock(process: &str, capacity: usize, wall: WallClock) -> Self {
        Self {
            process: process.to_owned(),
            capacity,
            clock: HybridClock::new(wall),
            kept: Mutex::default(),
        }
    }

    /// Keeps an event; its clock, sequence and process are filled in here.
    pub fn record(&self, mut event: Event) {
        cut(&mut event.request);
        cut(&mut event.model);
        cut(&mut event.peer);
        cut(&mut event.detail);
        event.process.clone_from(&self.process);
        let mut kept = self.kept.lock();
        // Read under the lock: events are kept in the order of their clocks.
        let clock_us = self.clock.now_us();
        kept.sequence = if clock_us == kept.clock_us {
            kept.sequence.saturating_add(1)
        } else {
            0
        };
        kept.clock_us = clock_us;
        event.clock_us = clock_us;
        event.sequence = kept.sequence;
        kept.events.push_back(event);
        if kept.events.len() > self.capacity {
            kept.events.pop_front();
        }
    }

    /// Takes note of the clock of a received frame.
    pub fn observe(&self, clock_us: u64) {
        self.clock.observe(clock_us);
    }

    /// The process's clock, in microseconds since the Unix epoch; never falls.
    pub fn now_us(&self) -> u64 {
        self.clock.now_us()
    }

    /// Kept events that the filter takes, oldest first.
    pub fn events(&self, filter: &EventFilter) -> Vec<Event> {
        let kept = self.kept.lock();
        let taken = kept.events.iter().filter(|event| filter.matches(event));
        taken.cloned().collect()
    }
}

/// Cuts a text to the bound, at the end of a character.
fn cut(text: &mut String) {
    if text.len() > TEXT_MAX_BYTES {
        text.truncate(text.floor_char_boundary(TEXT_MAX_BYTES));
        text.shrink_to_fit();
    }
}
