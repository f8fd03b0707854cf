//! Exit codes of `sesamectl`; `docs/sesamectl.md` has the table.

/// How a command ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command succeeded, or there was nothing to do.
    Ok,
    /// The document is invalid, the configuration on the platform is damaged,
    /// or the given logs say nothing about the subject.
    Invalid,
    /// The command line is invalid, a named revision or process does not exist,
    /// or a file can't be read.
    Usage,
    /// A process or the platform can't be reached; nothing was changed.
    Unreachable,
    /// Another operator published first; nothing was changed.
    Conflict,
    /// It is unknown whether the change was accepted.
    Unknown,
    /// The change was accepted, but not every process confirmed that it is in
    /// force.
    NotInForceEverywhere,
}

impl ExitStatus {
    /// Exit code of the process.
    pub const fn code(self) -> u8 {
        match self {
            Self::Ok => 0,
            Self::Invalid => 1,
            Self::Usage => 2,
            Self::Unreachable => 3,
            Self::Conflict => 4,
            Self::Unknown => 5,
            Self::NotInForceEverywhere => 6,
        }
    }
}
