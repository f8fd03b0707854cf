//! Events of a stream, cut out of its bytes.

use bytes::{Bytes, BytesMut};

/// Largest event taken; a stream without an end of an event would otherwise
/// fill the memory.
const EVENT_MAX_BYTES: usize = 256 << 10;

/// A whole event with the empty line that ends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its bytes.
    pub bytes: Bytes,
    /// Its id, where it has one that is a number.
    pub id: Option<u64>,
}

/// Cuts bytes into events. What is not yet a whole event is held back, so that
/// a stream that breaks in the middle of one can go on at exactly that one.
#[derive(Debug, Default)]
pub struct EventSplitter {
    held: BytesMut,
    /// Bytes of `held` in which no end of an event was found.
    searched: usize,
}

/// A stream whose events can't be told apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTooLarge;

impl EventSplitter {
    /// Takes more bytes.
    ///
    /// # Errors
    ///
    /// An event is larger than any is.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLarge> {
        if self.held.len() + bytes.len() > EVENT_MAX_BYTES {
            return Err(EventTooLarge);
        }
        self.held.extend_from_slice(bytes);
        Ok(())
    }

    /// The next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.end()?;
        let bytes = self.held.split_to(end).freeze();
        self.searched = 0;
        let id = event_id(&bytes);
        Some(Event { bytes, id })
    }

    /// Whether a part of an event is held.
    pub fn is_inside(&self) -> bool {
        !self.held.is_empty()
    }

    /// Index after the empty line that ends the first event.
    fn end(&mut self) -> Option<usize> {
        let from = self.searched.saturating_sub(3);
        for index in from..self.held.len() {
            if self.held[index] != b'\n' {
                continue;
            }
            let before = &self.held[..index];
            if before.ends_with(b"\n") || before.ends_with(b"\n\r") {
                return Some(index + 1);
            }
        }
        self.searched = self.held.len();
        None
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    line.trim().parse().ok()
}
