//! How much of a machine callers may take.

use crate::Machine;

/// Receive buffer of a caller's connection, and what the kernel holds at most with it for
/// a connection that is not read. A window of this size carries 4 MB a second over a round
/// trip of 4 ms.
const RECEIVE_BUFFER_BYTES: u64 = 16 << 10;
const UNREAD_MAX_BYTES: u64 = 24 << 10;

/// Send buffer of a caller's connection. With the kernel's own choice, a caller that
/// doesn't read makes it hold several megabytes.
const SEND_BUFFER_BYTES: u64 = 128 << 10;

/// Largest request head that is held while it comes, with the buffer around it, and the
/// state of a connection.
const HEAD_BYTES: u64 = 24 << 10;
const STATE_BYTES: u64 = 24 << 10;

/// Memory that a connection may take besides the bodies on it.
const CONNECTION_BYTES: u64 = UNREAD_MAX_BYTES + HEAD_BYTES + STATE_BYTES;

/// Parts of the memory, in percent. The rest is for the process itself, its connections
/// to upstreams and what the allocator keeps.
const CONNECTIONS_PERCENT: u64 = 33;
const BODIES_PERCENT: u64 = 16;
const RESPONSES_PERCENT: u64 = 12;

/// Largest part of the memory that request bodies may have where one body of the largest
/// size needs more than its part.
const BODIES_MAX_PERCENT: u64 = 50;

/// Memory for responses beyond which more brings nothing.
const RESPONSES_MAX_BYTES: u64 = 32 << 20;

/// Descriptors that are not for sockets: files, pipes and the runtime's own. Small
/// limits leave a quarter.
const OTHER_DESCRIPTORS: u64 = 200;

/// Part of the sockets that callers may have, in percent. A request in progress takes a
/// connection to an upstream as well.
const CALLER_SOCKETS_PERCENT: u64 = 45;

/// Minimum number of connections, so that a process is never out of reach.
const CONNECTIONS_MIN: u64 = 16;

/// What callers may take of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Budget {
    /// Number of callers' connections.
    pub connections: usize,
    /// Receive buffer of each, in bytes.
    pub receive_buffer_bytes: usize,
    /// Send buffer of each, in bytes.
    pub send_buffer_bytes: usize,
    /// Memory for the bodies of requests, in bytes.
    pub bodies_bytes: usize,
    /// The same where a single body needs more.
    pub bodies_max_bytes: usize,
    /// Memory for the bodies of responses, in bytes.
    pub responses_bytes: usize,
}

impl Budget {
    /// Derives the budget of a machine.
    pub fn of(machine: Machine) -> Self {
        let part = |percent: u64| machine.memory_bytes / 100 * percent;
        let in_memory = part(CONNECTIONS_PERCENT) / CONNECTION_BYTES;
        let others = OTHER_DESCRIPTORS.min(machine.descriptors / 4);
        let sockets = machine.descriptors - others;
        let connections = in_memory.min(sockets * CALLER_SOCKETS_PERCENT / 100);
        Self {
            connections: to_usize(connections.max(CONNECTIONS_MIN)),
            receive_buffer_bytes: to_usize(RECEIVE_BUFFER_BYTES),
            send_buffer_bytes: to_usize(SEND_BUFFER_BYTES),
            bodies_bytes: to_usize(part(BODIES_PERCENT)),
            bodies_max_bytes: to_usize(part(BODIES_MAX_PERCENT)),
            responses_bytes: to_usize(part(RESPONSES_PERCENT).min(RESPONSES_MAX_BYTES)),
        }
    }
}

fn to_usize(bytes: u64) -> usize {
    usize::try_from(bytes).unwrap_or(usize::MAX)
}
