//! Requests for claims, their outcomes, and actions.

use base::{AttemptId, CallerId, PlatformCall, RequestError};

/// Request for a claim.
#[derive(Debug, Clone)]
pub struct ClaimRequest {
    /// Attempt that is to run the request.
    pub attempt: AttemptId,
    /// Caller that sent the idempotency key.
    pub caller: CallerId,
    /// Idempotency key.
    pub key: String,
    /// Hash of the request body, which detects a key that is reused for another
    /// request.
    pub body_hash: u64,
    /// Longest time that the service is expected to take for one request, in
    /// milliseconds.
    pub timeout_ms: u32,
}

/// Stored response of an earlier run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Response body.
    pub body: Vec<u8>,
}

/// Outcome of a request for a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The claim is granted: this attempt may run the request once.
    Granted,
    /// The request ran before and this is its response.
    Replay(StoredResponse),
    /// The request is not run now. The refusal says why, and what is known
    /// about an earlier run.
    Refused(RequestError),
}

/// An action that the owner of [`Claims`](crate::Claims) has to perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimAction {
    /// Make a platform call.
    CallPlatform(PlatformCall),
    /// The outcome of a request for a claim is known.
    Settled {
        /// Attempt of the request.
        attempt: AttemptId,
        /// Outcome of the request.
        outcome: ClaimOutcome,
    },
    /// The end of a run was written, or the longest wait for it is over. The
    /// end of its response may be sent.
    Finished {
        /// Attempt of the request.
        attempt: AttemptId,
    },
    /// The release of a claim was written, or the longest wait for it is over.
    /// The refusal of the attempt may be sent.
    Released {
        /// Attempt of the request.
        attempt: AttemptId,
    },
}
