//! Links: TCP connections between the system's own processes that carry
//! `link.Frame` messages.
//!
//! Each frame is one length-delimited protobuf message. A [`Link`] is split into a
//! [`LinkSender`], which any task may clone, and one [`LinkReceiver`].
//!
//! Invariants:
//!
//! - Memory is bounded. The send queue holds a limited number of frames and bytes.
//!   A received frame larger than `frame_max_bytes` is rejected by its length
//!   prefix, before its content is read.
//! - A frame that can't be decoded closes the connection, because the start of the
//!   next frame is no longer certain.
//! - Frames are delivered in order. A link that loses a frame is closed.
//! - The connection closes when the receiver and all senders are dropped, when
//!   either side fails, or on [`LinkSender::close`]. No task outlives it.

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

/// Maximum size of a frame, in bytes, while no configuration is in force: the default
/// of `limits.frame_max_bytes`.
pub const DEFAULT_FRAME_MAX_BYTES: u32 = 2 << 20;
