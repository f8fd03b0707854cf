//! Exit codes; `docs/sesamectl.md` has the table.

/// How a command ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// Done, or nothing was to be done.
    Ok,
    /// The document has faults, or the configuration held is damaged.
    Faults,
    /// The command line can't be understood, or a file can't be read.
    Usage,
    /// A process or the platform can't be reached; nothing was changed.
    Unreachable,
    /// Another operator published first; nothing was changed.
    Conflict,
    /// Whether the change was accepted is not known.
    Unknown,
    /// The change was accepted, but not shown to be in force everywhere.
    NotEverywhere,
}

impl Exit {
    /// Number given to the calling program.
    pub const fn number(self) -> u8 {
        match self {
            Self::Ok => 0,
            Self::Faults => 1,
            Self::Usage => 2,
            Self::Unreachable => 3,
            Self::Conflict => 4,
            Self::Unknown => 5,
            Self::NotEverywhere => 6,
        }
    }
}
