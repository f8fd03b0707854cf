//! Records of the time line.

use super::clock::{batch_ns, samples};
use super::messages;
use crate::fit::{Growth, Series};
use line::{Event, EventKind, EventRecorder};

const KEPT: [usize; 4] = [1_000, 4_000, 16_000, 64_000];

/// One event as requests leave it.
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

/// One record in a recorder that is full.
pub fn record() -> Series {
    Series {
        name: "time line: record",
        size_of: "events kept",
        unit: "ns",
        growth: Growth::Power,
        samples: samples(&KEPT, |kept| {
            let recorder = EventRecorder::new("entry-0000", kept);
            (0..kept).for_each(|_| recorder.record(event()));
            batch_ns(11, 2_000, |_| recorder.record(event()))
        }),
    }
}
