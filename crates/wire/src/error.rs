//! Errors of links.

use base::ErrorCode;
use snafu::Snafu;
use std::io;
use std::net::SocketAddr;

/// An error on a link or its listener.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum WireError {
    /// The listen address can't be bound.
    #[snafu(display("can't listen on {address}: {source}"))]
    Bind {
        /// The listen address.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The peer can't be reached.
    #[snafu(display("can't connect to {address}: {source}"))]
    Connect {
        /// The peer's address.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// An operation on a socket failed, for example because the connection was lost.
    #[snafu(display("I/O error on link: {source}"))]
    Io {
        /// Error of the operating system.
        source: io::Error,
    },
    /// A frame exceeds the maximum size.
    #[snafu(display("frame is larger than {max_bytes} bytes"))]
    FrameTooLarge {
        /// Maximum size of an encoded frame, in bytes.
        max_bytes: u32,
    },
    /// A received frame is not a valid `link.Frame` message.
    #[snafu(display("frame can't be decoded: {source}"))]
    MalformedFrame {
        /// Error of the decoder.
        source: prost::DecodeError,
    },
    /// The peer's first frame was not the expected `Hello` or did not arrive in time.
    #[snafu(display("no valid Hello frame from the peer"))]
    HandshakeFailed,
    /// The send queue has no room for the frame.
    #[snafu(display("send queue of the link is full"))]
    QueueFull,
    /// The link is closed.
    #[snafu(display("link is closed"))]
    Closed,
}

impl WireError {
    /// Returns the error code that corresponds to the error.
    pub const fn code(&self) -> ErrorCode {
        match self {
            Self::Bind { .. } => ErrorCode::BadAddress,
            Self::Connect { .. } | Self::Io { .. } | Self::Closed => {
                ErrorCode::Unreachable
            }
            Self::FrameTooLarge { .. }
            | Self::MalformedFrame { .. }
            | Self::HandshakeFailed => ErrorCode::BadFrame,
            Self::QueueFull => ErrorCode::QueueFull,
        }
    }
}
