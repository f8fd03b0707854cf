//! What waits for the next write of a shard.

use crate::{ClaimRequest, StoredResponse};
use base::{AttemptId, Instant};

/// A request that waits for its claim.
#[derive(Debug)]
pub(crate) struct PendingClaim {
    pub request: ClaimRequest,
    /// Identifies the claim in the shard.
    pub nonce: u64,
    /// A write with the claim was sent, so the claim may stand.
    pub staged: bool,
    /// The shard was read since the request came, so a claim found there is not
    /// one that has ended meanwhile.
    pub read_since_request: bool,
    /// When it is given up.
    pub until: Instant,
}

/// A granted claim whose call is running.
#[derive(Debug, Clone)]
pub(crate) struct GrantedClaim {
    pub shard: usize,
    pub nonce: u64,
}

/// The end of a claim's run.
#[derive(Debug)]
pub(crate) enum ClaimEnd {
    /// The call ran; its answer, if it is small enough to be kept.
    Finish {
        /// Claim.
        nonce: u64,
        /// What to store.
        answer: Option<StoredResponse>,
    },
    /// The call was not run: the key becomes free.
    Release {
        /// Claim.
        nonce: u64,
        /// Who waits for it, and until when.
        waiter: Option<(AttemptId, Instant)>,
    },
}

impl ClaimEnd {
    pub(crate) const fn nonce(&self) -> u64 {
        match self {
            Self::Finish { nonce, .. } | Self::Release { nonce, .. } => *nonce,
        }
    }
}
