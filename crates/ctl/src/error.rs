//! Errors of commands.

use base::ErrorCode;
use snafu::Snafu;
use std::net::SocketAddr;
use std::path::PathBuf;

use crate::ExitStatus;

/// A command could not be carried out.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CtlError {
    /// A file can't be read.
    #[snafu(display("{}: {source}", path.display()))]
    ReadFile {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The platform does not answer, or it refuses calls.
    #[snafu(display("the platform can't be reached"))]
    PlatformUnreachable,
    /// The configuration objects on the platform can't be decoded, or a
    /// revision is missing between others.
    #[snafu(display("the configuration held by the platform is damaged: {detail}"))]
    CorruptConfig {
        /// Description of the problem.
        detail: String,
    },
    /// The requested revision does not exist.
    #[snafu(display("there is no revision {revision}; the newest is {newest}"))]
    UnknownRevision {
        /// The requested revision.
        revision: u64,
        /// The newest accepted revision.
        newest: u64,
    },
    /// No configuration was published yet.
    #[snafu(display("no configuration is published yet"))]
    NothingPublished,
    /// Neither the platform nor the address of a process was given.
    #[snafu(display("give `--platform`, or `--entry` for each process to ask"))]
    NoAddressGiven,
    /// No registered process has this name.
    #[snafu(display("no process `{id}` is registered under `live/`"))]
    UnknownProcess {
        /// The requested name.
        id: String,
    },
    /// A process does not answer, or its response can't be used.
    #[snafu(display("{address} gives no usable response: {detail}"))]
    Unreachable {
        /// Address of the operator listener.
        address: SocketAddr,
        /// Description of the problem.
        detail: String,
    },
    /// A process with another name answers at the address.
    #[snafu(display("{address} is now `{found}`, not `{expected}`; nothing was done"))]
    WrongProcess {
        /// Address of the operator listener.
        address: SocketAddr,
        /// Name of the process that answered.
        found: String,
        /// Name of the process that was expected.
        expected: String,
    },
}

impl CtlError {
    /// Numbered error code.
    pub const fn code(&self) -> ErrorCode {
        match self {
            Self::ReadFile { .. } => ErrorCode::FileFault,
            Self::PlatformUnreachable => ErrorCode::PlatformAway,
            Self::CorruptConfig { .. } => ErrorCode::BadSyntax,
            Self::UnknownRevision { .. }
            | Self::NothingPublished
            | Self::UnknownProcess { .. } => ErrorCode::MissingReference,
            Self::NoAddressGiven => ErrorCode::MissingKey,
            Self::Unreachable { .. } | Self::WrongProcess { .. } => {
                ErrorCode::Unreachable
            }
        }
    }

    /// How a command that fails with this error ends.
    pub const fn exit_status(&self) -> ExitStatus {
        match self {
            Self::ReadFile { .. }
            | Self::NoAddressGiven
            | Self::NothingPublished
            | Self::UnknownRevision { .. }
            | Self::UnknownProcess { .. } => ExitStatus::Usage,
            Self::CorruptConfig { .. } => ExitStatus::Invalid,
            Self::PlatformUnreachable
            | Self::Unreachable { .. }
            | Self::WrongProcess { .. } => ExitStatus::Unreachable,
        }
    }
}
