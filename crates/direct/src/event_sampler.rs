//! Times between the events of one stream.

use base::prelude::*;

/// Minimum time that a sample spans. A single event is read late by chance, which adds
/// little to several of them.
const SAMPLE_MS: u64 = 100;

/// Time between two reads below which the later events were already waiting to be read.
/// An engine takes longer for a step.
const WAITING_BELOW_MS: u64 = 2;

/// Computes samples of the time between two events from the times at which the events
/// of one stream are read.
///
/// Where the caller of the stream reads slowly, or this entry lacks processor time,
/// events wait and are then read one after the other. A sample ends only where events
/// had been read as they came, so that the time for which they waited and the events
/// themselves count in the same sample.
///
/// The events after the last sample of a stream don't count, and a stream shorter than
/// a sample gives none.
#[derive(Debug, Default)]
pub struct EventSampler {
    /// When the sample began and when events were last read; `None` before the first.
    span: Option<(Instant, Instant)>,
    /// Events of the sample.
    events: u32,
}

impl EventSampler {
    /// Records that `events` complete events were read at once. Returns the mean time in
    /// milliseconds between two events of a sample that has ended.
    pub fn record(&mut self, now: Instant, events: u32) -> Option<f64> {
        if events == 0 {
            return None;
        }
        let Some((since, last)) = self.span else {
            self.span = Some((now, now));
            return None;
        };
        let were_waiting = now.ms_since(last) < WAITING_BELOW_MS;
        if were_waiting && self.events == 0 {
            // When the events before the first sample were sent isn't known.
            self.span = Some((now, now));
            return None;
        }
        let sample_ms = last.since(since).as_secs_f64() * 1_000.0;
        if were_waiting || sample_ms < SAMPLE_MS as f64 {
            self.span = Some((since, now));
            self.events = self.events.saturating_add(events);
            return None;
        }
        let event_ms = sample_ms / f64::from(self.events);
        self.span = Some((last, now));
        self.events = events;
        Some(event_ms)
    }
}
