//! Who watches the platform, and why.

/// Role of an entry in the watch of its failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatchRole {
    /// It watches for itself.
    Independent,
    /// It watches and forwards what it sees.
    Leader,
    /// It receives the leader's messages, and watches by itself if they fail.
    Follower,
}

impl WatchRole {
    /// Value of the role in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Independent => "independent",
            Self::Leader => "leader",
            Self::Follower => "follower",
        }
    }
}

/// Why an entry has to watch by itself although another one watches for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnWatchReason {
    /// Nothing that the platform confirmed to the leader has arrived for too long.
    Unheard,
    /// Nothing has verified the known state for too long.
    Unverified,
    /// The leader announced changes without their content.
    Announced,
    /// The platform was restored since the known state.
    Restored,
}

impl OwnWatchReason {
    /// Value of the reason in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Unheard => "unheard",
            Self::Unverified => "unverified",
            Self::Announced => "announced",
            Self::Restored => "restored",
        }
    }
}
