//! Memory for the bodies of responses that are read before they are forwarded.

/// Memory that bodies may take together on a machine with plenty of it, in bytes.
const SHARED_BYTES: usize = 32 << 20;

/// Bodies that are being read, or that their callers haven't got yet. One of a few may be large; the more there are at once, and
/// the more they take, the less each may have. So a single upstream that sends without
/// end can't take the memory of the others, nor can many at once fill it.
#[derive(Debug)]
pub struct ResponseMemory {
    /// Memory that bodies may take together before each is held to its share.
    shared_bytes: usize,
    bodies: usize,
    used_bytes: usize,
}

impl Default for ResponseMemory {
    fn default() -> Self {
        Self::new(SHARED_BYTES)
    }
}

/// A body would take more memory than it may have.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyTooLarge;

impl ResponseMemory {
    /// Memory without bodies, which each is held to its share of once they take
    /// `shared_bytes` together.
    pub const fn new(shared_bytes: usize) -> Self {
        Self {
            shared_bytes,
            bodies: 0,
            used_bytes: 0,
        }
    }

    /// Counts a body that begins.
    pub const fn begin(&mut self) {
        self.bodies += 1;
    }

    /// Reserves memory for further bytes of a body that has `held_bytes` already.
    ///
    /// # Errors
    ///
    /// The memory is used up, and the body has more than an equal share of it.
    pub const fn reserve(
        &mut self,
        held_bytes: usize,
        further_bytes: usize,
    ) -> Result<(), BodyTooLarge> {
        let is_within_shared = self.used_bytes + further_bytes <= self.shared_bytes;
        let share_bytes =
            self.shared_bytes / if self.bodies > 0 { self.bodies } else { 1 };
        if !is_within_shared && held_bytes + further_bytes > share_bytes {
            return Err(BodyTooLarge);
        }
        self.used_bytes += further_bytes;
        Ok(())
    }

    /// Releases a body and its memory.
    pub const fn end(&mut self, held_bytes: usize) {
        self.bodies = self.bodies.saturating_sub(1);
        self.used_bytes = self.used_bytes.saturating_sub(held_bytes);
    }

    /// Memory that all bodies take.
    pub const fn used_bytes(&self) -> usize {
        self.used_bytes
    }
}
