//! Cost of recording timeline events.

use super::messages;
use super::sampling::{measure_at_sizes, median_batch_ns};
use crate::fit::{Growth, Series};
use line::{Event, EventKind, EventRecorder};

const EVENT_COUNTS: [usize; 4] = [1_000, 4_000, 16_000, 64_000];

/// A typical event of a request.
pub fn event() -> Event {
    Event {
        kind: EventKind::RequestSent.into(),
        request: "64504cfa7c000-2a0001".to_owned(),
        model: messages::model(1),
        peer: messages::agent(1),
        detail: "sent as attempt 1: the better of two".to_owned(),
        ..Event::default()
    }
}

/// Duration of recording one event in a recorder that is full.
pub fn record_event() -> Series {
    Series {
        name: "timeline: record",
        size_of: "events kept",
        unit: "ns",
        growth: Growth::PowerLaw,
        samples: measure_at_sizes(&EVENT_COUNTS, |count| {
            let recorder = EventRecorder::new("entry-0000", count);
            (0..count).for_each(|_| recorder.record(event()));
            median_batch_ns(11, 2_000, |_| recorder.record(event()))
        }),
    }
}
