//! Why a process can't start.

use base::ErrorCode;
use conf::Diagnostic;
use snafu::Snafu;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use wire::WireError;

/// Why a process can't start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum StartError {
    /// The settings file can't be read.
    #[snafu(display("{}: {}: {source}", ErrorCode::FileFault, path.display()))]
    ReadSettings {
        /// File.
        path: PathBuf,
        /// Fault of the operating system.
        source: io::Error,
    },
    /// The settings have faults.
    #[snafu(display("{}", lines(faults)))]
    InvalidSettings {
        /// All of them.
        faults: Vec<Diagnostic>,
    },
    /// An address of the settings is not `ip:port`.
    #[snafu(display("{}: {key}: {text} is not ip:port", ErrorCode::BadAddress))]
    InvalidAddress {
        /// Key in the settings.
        key: &'static str,
        /// What stands there.
        text: String,
    },
    /// A listener can't be bound.
    #[snafu(display("{}: {key}: {source}", ErrorCode::BadAddress))]
    BindListener {
        /// Key in the settings.
        key: &'static str,
        /// Fault of the operating system.
        source: io::Error,
    },
    /// The link listener can't be bound.
    #[snafu(display("{}: link_listen: {source}", source.code()))]
    BindLinkListener {
        /// Fault of the listener.
        source: WireError,
    },
}

impl StartError {
    /// Numbered code of the fault.
    pub fn code(&self) -> ErrorCode {
        match self {
            Self::ReadSettings { .. } => ErrorCode::FileFault,
            Self::InvalidSettings { faults } => faults
                .first()
                .map_or(ErrorCode::BadSyntax, |fault| fault.code),
            Self::InvalidAddress { .. } | Self::BindListener { .. } => {
                ErrorCode::BadAddress
            }
            Self::BindLinkListener { source } => source.code(),
        }
    }
}

fn lines(faults: &[Diagnostic]) -> String {
    let lines: Vec<String> = faults.iter().map(Diagnostic::to_string).collect();
    lines.join("\n")
}

/// Reads `ip:port` from the settings.
///
/// # Errors
///
/// [`StartError::InvalidAddress`] if the text is something else.
pub fn parse_address(key: &'static str, text: &str) -> Result<SocketAddr, StartError> {
    text.parse().map_err(|_| StartError::InvalidAddress {
        key,
        text: text.to_owned(),
    })
}
