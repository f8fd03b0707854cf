//! Why a command could not be carried out.

use base::ErrorCode;
use snafu::Snafu;
use std::net::SocketAddr;
use std::path::PathBuf;

use crate::Exit;

/// Why a command could not be carried out.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CtlError {
    /// The file can't be read.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// Fault of the system.
        source: std::io::Error,
    },
    /// The platform does not answer.
    #[snafu(display("the platform can't be reached"))]
    PlatformAway,
    /// What the platform holds is not a log of changes.
    #[snafu(display("the configuration held by the platform is damaged: {detail}"))]
    DamagedHead {
        /// What is wrong.
        detail: String,
    },
    /// No such revision was accepted.
    #[snafu(display("there is no revision {revision}; the newest is {head}"))]
    NoSuchRevision {
        /// Revision asked for.
        revision: u64,
        /// Newest revision.
        head: u64,
    },
    /// There is no document yet.
    #[snafu(display("nothing is published yet"))]
    NothingPublished,
    /// Nothing tells where the processes are.
    #[snafu(display("give `--platform`, or `--entry` for each process to ask"))]
    NoTarget,
    /// No process of this name is known.
    #[snafu(display("no process `{id}` is registered under `live/`"))]
    NoSuchMember {
        /// Name asked for.
        id: String,
    },
    /// A process does not answer.
    #[snafu(display("{address} gives no usable answer: {detail}"))]
    Unreachable {
        /// Operators' listener.
        address: SocketAddr,
        /// What is wrong.
        detail: String,
    },
    /// Another process answers at the address.
    #[snafu(display("{address} is now `{found}`, not `{wanted}`; nothing was done"))]
    OtherProcess {
        /// Operators' listener.
        address: SocketAddr,
        /// Name found there.
        found: String,
        /// Name wanted.
        wanted: String,
    },
}

impl CtlError {
    /// Numbered code of the fault.
    pub const fn code(&self) -> ErrorCode {
        match self {
            Self::File { .. } => ErrorCode::FileFault,
            Self::PlatformAway => ErrorCode::PlatformAway,
            Self::DamagedHead { .. } => ErrorCode::BadSyntax,
            Self::NoSuchRevision { .. }
            | Self::NothingPublished
            | Self::NoSuchMember { .. } => ErrorCode::MissingReference,
            Self::NoTarget => ErrorCode::MissingKey,
            Self::Unreachable { .. } | Self::OtherProcess { .. } => {
                ErrorCode::Unreachable
            }
        }
    }

    /// How the command ends.
    pub const fn exit(&self) -> Exit {
        match self {
            Self::File { .. }
            | Self::NoTarget
            | Self::NothingPublished
            | Self::NoSuchRevision { .. }
            | Self::NoSuchMember { .. } => Exit::Usage,
            Self::DamagedHead { .. } => Exit::Faults,
            Self::PlatformAway
            | Self::Unreachable { .. }
            | Self::OtherProcess { .. } => Exit::Unreachable,
        }
    }
}
