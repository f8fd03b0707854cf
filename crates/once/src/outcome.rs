//! What is asked of the claims and what they answer.

use base::{AttemptId, CallerId, PlatformCall, RequestError};

/// Asks for the claim of one call.
#[derive(Debug, Clone)]
pub struct ClaimRequest {
    /// Attempt that is to run the call.
    pub attempt: AttemptId,
    /// Caller whose key it is.
    pub caller: CallerId,
    /// Idempotency key.
    pub key: String,
    /// Hash of the body, by which a reused key is found.
    pub body_hash: u64,
    /// Longest time the service is expected to take for one call.
    pub timeout_ms: u32,
}

/// The stored answer of an earlier run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Body.
    pub body: Vec<u8>,
}

/// What came of a request for a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The call is claimed for this attempt and may be run once.
    Granted,
    /// The call ran before; this is its answer.
    Replay(Answer),
    /// The call is not run now; the refusal tells why and what is known.
    Refused(RequestError),
}

/// Something the claims ask of their owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimAction {
    /// Call the platform.
    Platform(PlatformCall),
    /// A request for a claim is settled.
    Settled {
        /// Attempt.
        attempt: AttemptId,
        /// What came of it.
        outcome: Outcome,
    },
    /// The release of a claim was written, or its bounded wait is over; the
    /// refusal of the attempt may be answered.
    Released {
        /// Attempt.
        attempt: AttemptId,
    },
}
