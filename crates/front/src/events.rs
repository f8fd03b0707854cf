//! Splits the bytes of a stream into server-sent events.

use bytes::{Bytes, BytesMut};

/// Largest event that is accepted. A stream that never ends an event would
/// otherwise fill the memory.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// A complete event, including the empty line that ends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The bytes of the event.
    pub bytes: Bytes,
    /// The event's id, if it has a numeric one.
    pub id: Option<u64>,
}

/// Splits bytes into events. An incomplete event is held back, so that a stream
/// that breaks inside an event can resume at exactly that event.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Number of bytes at the start of `buffer` that contain no end of an
    /// event.
    scanned: usize,
}

/// An event exceeds the size limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTooLarge;

impl EventSplitter {
    /// Appends bytes.
    ///
    /// # Errors
    ///
    /// The current event is larger than the limit.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLarge> {
        if self.buffer.len() + bytes.len() > MAX_EVENT_BYTES {
            return Err(EventTooLarge);
        }
        self.buffer.extend_from_slice(bytes);
        Ok(())
    }

    /// Returns the next complete event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.find_event_end()?;
        let bytes = self.buffer.split_to(end).freeze();
        self.scanned = 0;
        let id = event_id(&bytes);
        Some(Event { bytes, id })
    }

    /// Returns whether a part of an event is held back.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns the index after the empty line that ends the first event.
    fn find_event_end(&mut self) -> Option<usize> {
        let from = self.scanned.saturating_sub(3);
        for index in from..self.buffer.len() {
            if self.buffer[index] != b'\n' {
                continue;
            }
            let before = &self.buffer[..index];
            if before.ends_with(b"\n") || before.ends_with(b"\n\r") {
                return Some(index + 1);
            }
        }
        self.scanned = self.buffer.len();
        None
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    line.trim().parse().ok()
}
