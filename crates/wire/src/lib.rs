//! Links: `link.Frame` messages over TCP between the system's own processes.
//!
//! Each frame is one length-delimited protobuf message. A [`Link`] is split
//! into a [`LinkSender`], which any task may clone, and one [`LinkReceiver`].
//!
//! Invariants:
//!
//! - Memory is bounded. A sender's queue holds a bounded number of frames and
//!   of bytes; a received frame larger than `frame_max_bytes` is refused by its
//!   length alone, before its bytes are read.
//! - A frame that can't be decoded ends the connection: what follows it could
//!   not be trusted to be a frame's start.
//! - Frames are delivered in order, or the link ends. A link never goes on
//!   behind a lost frame.
//! - The connection closes when the receiver and every sender are dropped, when
//!   either side fails, or at [`LinkSender::close`]. No task outlives it.

mod error;
mod handshake;
mod link;
mod listener;
mod receiver;
mod sender;

pub use error::WireError;
pub use handshake::EstablishedLink;
pub use link::{Link, connect};
pub use listener::Listener;
pub use receiver::LinkReceiver;
pub use sender::{LinkSender, SendPermit};

/// Bound on one frame, in bytes, while no configuration is in force.
///
/// It is the default of `limits.frame_max_bytes`.
pub const DEFAULT_FRAME_MAX_BYTES: u32 = 2 << 20;
