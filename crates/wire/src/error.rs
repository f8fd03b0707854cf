//! Faults of links.

use base::ErrorCode;
use snafu::Snafu;
use std::io;
use std::net::SocketAddr;

/// Why a link can't be had or used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum WireError {
    /// The listen address can't be bound.
    #[snafu(display("can't listen on {address}: {source}"))]
    Bind {
        /// Address.
        address: SocketAddr,
        /// Fault of the operating system.
        source: io::Error,
    },
    /// The far end can't be reached.
    #[snafu(display("can't connect to {address}: {source}"))]
    Connect {
        /// Address.
        address: SocketAddr,
        /// Fault of the operating system.
        source: io::Error,
    },
    /// The connection broke.
    #[snafu(display("link broke: {source}"))]
    Io {
        /// Fault of the operating system.
        source: io::Error,
    },
    /// A frame is larger than the bound.
    #[snafu(display("frame is larger than {max_bytes} bytes"))]
    FrameTooLarge {
        /// Bound.
        max_bytes: u32,
    },
    /// A frame is not a `link.Frame`.
    #[snafu(display("frame can't be decoded: {source}"))]
    MalformedFrame {
        /// Fault found by the decoder.
        source: prost::DecodeError,
    },
    /// The first frame is not the expected `Hello`, or did not come in time.
    #[snafu(display("no greeting from the far end"))]
    HandshakeFailed,
    /// The queue towards the far end is full.
    #[snafu(display("queue of the link is full"))]
    QueueFull,
    /// The link has ended.
    #[snafu(display("link has ended"))]
    Closed,
}

impl WireError {
    /// Numbered code of the fault.
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
