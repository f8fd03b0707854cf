//! Errors that keep a process from starting.

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
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The settings are invalid.
    #[snafu(display("{}", join_lines(diagnostics)))]
    InvalidSettings {
        /// All errors found in the settings.
        diagnostics: Vec<Diagnostic>,
    },
    /// An address in the settings is not of the form `ip:port`.
    #[snafu(display(
        "{}: {key}: {text} is not an address of the form ip:port",
        ErrorCode::BadAddress
    ))]
    InvalidAddress {
        /// Key of the address in the settings.
        key: &'static str,
        /// Value of the key.
        text: String,
    },
    /// A listener can't be bound.
    #[snafu(display("{}: {key}: {source}", ErrorCode::BadAddress))]
    BindListener {
        /// Key of the address in the settings.
        key: &'static str,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The link listener can't be bound.
    #[snafu(display("{}: link_listen: {source}", source.code()))]
    BindLinkListener {
        /// Error of the listener.
        source: WireError,
    },
}

impl StartError {
    /// Code of the error.
    pub fn code(&self) -> ErrorCode {
        match self {
            Self::ReadSettings { .. } => ErrorCode::FileFault,
            Self::InvalidSettings { diagnostics } => diagnostics
                .first()
                .map_or(ErrorCode::BadSyntax, |diagnostic| diagnostic.code),
            Self::InvalidAddress { .. } | Self::BindListener { .. } => {
                ErrorCode::BadAddress
            }
            Self::BindLinkListener { source } => source.code(),
        }
    }
}

fn join_lines(diagnostics: &[Diagnostic]) -> String {
    let lines: Vec<String> = diagnostics.iter().map(Diagnostic::to_string).collect();
    lines.join("\n")
}

/// Parses an address of the form `ip:port`. `key` names it in the settings.
///
/// # Errors
///
/// [`StartError::InvalidAddress`] if the text has another form.
pub fn parse_address(key: &'static str, text: &str) -> Result<SocketAddr, StartError> {
    text.parse().map_err(|_| StartError::InvalidAddress {
        key,
        text: text.to_owned(),
    })
}
