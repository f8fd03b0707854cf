//! Why a process can't start.

use base::Code;
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
    #[snafu(display("{}: {}: {source}", Code::FileFault, path.display()))]
    File {
        /// File.
        path: PathBuf,
        /// Fault of the operating system.
        source: io::Error,
    },
    /// The settings have faults.
    #[snafu(display("{}", lines(faults)))]
    Settings {
        /// All of them.
        faults: Vec<Diagnostic>,
    },
    /// An address of the settings is not `ip:port`.
    #[snafu(display("{}: {key}: {text} is not ip:port", Code::BadAddress))]
    Address {
        /// Key in the settings.
        key: &'static str,
        /// What stands there.
        text: String,
    },
    /// A listener can't be bound.
    #[snafu(display("{}: {key}: {source}", Code::BadAddress))]
    Listen {
        /// Key in the settings.
        key: &'static str,
        /// Fault of the operating system.
        source: io::Error,
    },
    /// The link listener can't be bound.
    #[snafu(display("{}: link_listen: {source}", source.code()))]
    LinkListen {
        /// Fault of the listener.
        source: WireError,
    },
}

impl StartError {
    /// Numbered code of the fault.
    pub fn code(&self) -> Code {
        match self {
            Self::File { .. } => Code::FileFault,
            Self::Settings { faults } => {
                faults.first().map_or(Code::BadSyntax, |fault| fault.code)
            }
            Self::Address { .. } | Self::Listen { .. } => Code::BadAddress,
            Self::LinkListen { source } => source.code(),
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
/// [`StartError::Address`] if the text is something else.
pub fn address(key: &'static str, text: &str) -> Result<SocketAddr, StartError> {
    text.parse().map_err(|_| StartError::Address {
        key,
        text: text.to_owned(),
    })
}
