//! Changes that wait for the next write of a shard.

use crate::{ClaimAction, ClaimRequest, StoredResponse};
use base::{AttemptId, Instant};

/// A request that waits for its claim.
#[derive(Debug)]
pub(crate) struct PendingClaim {
    pub request: ClaimRequest,
    /// Identifies the claim in the shard.
    pub nonce: u64,
    /// A write with the claim was sent, so the claim may be in the shard.
    pub staged: bool,
    /// The shard was read after the request arrived, so a claim found in it has
    /// not ended before that.
    pub read_since_request: bool,
    /// When the request is refused if it still has no claim.
    pub expires_at: Instant,
}

/// A granted claim whose request is running.
#[derive(Debug, Clone)]
pub(crate) struct GrantedClaim {
    pub shard: usize,
    pub nonce: u64,
}

/// The end of a claim.
#[derive(Debug)]
pub(crate) enum ClaimEnd {
    /// The request ran; its response, unless unknown or too large to store.
    Finish {
        /// Nonce of the claim.
        nonce: u64,
        /// Response to store.
        response: Option<StoredResponse>,
        /// The attempt that waits for the write, and until when.
        waiter: Option<(AttemptId, Instant)>,
    },
    /// The request was not run, and its key becomes free.
    Release {
        /// Nonce of the claim.
        nonce: u64,
        /// The attempt that waits for the release, and until when.
        waiter: Option<(AttemptId, Instant)>,
    },
}

impl ClaimEnd {
    /// Takes the attempt that waits for this end, as the action with which its wait
    /// ends.
    pub(crate) fn take_waiter(&mut self) -> Option<ClaimAction> {
        match self {
            Self::Finish { waiter, .. } => {
                let (attempt, _) = waiter.take()?;
                Some(ClaimAction::Finished { attempt })
            }
            Self::Release { waiter, .. } => {
                let (attempt, _) = waiter.take()?;
                Some(ClaimAction::Released { attempt })
            }
        }
    }

    /// When the attempt that waits for this end waits no longer.
    pub(crate) const fn waits_until(&self) -> Option<Instant> {
        match self {
            Self::Finish { waiter, .. } | Self::Release { waiter, .. } => {
                match waiter {
                    Some((_, until)) => Some(*until),
                    None => None,
                }
            }
        }
    }

    pub(crate) const fn nonce(&self) -> u64 {
        match self {
            Self::Finish { nonce, .. } | Self::Release { nonce, .. } => *nonce,
        }
    }
}
