//! Admission control: predicts whether a request can meet its deadline.

use base::prelude::*;

/// Retry delay suggested to the caller when no load of the model can be predicted.
const RETRY_AFTER_DEFAULT_MS: u64 = 5_000;

/// Predicted wait for a batch slot that an interactive request may have, in percent
/// of its expected time to the first token.
///
/// Under load the queue fills up to this bound. It must therefore be below 100
/// percent, because half of the requests wait longer than predicted.
const FIRST_TOKEN_WAIT_PERCENT: u64 = 50;

/// Least retry delay, so that a refused caller does not retry before anything can
/// have changed.
const RETRY_AFTER_MIN_MS: u64 = 100;

/// Input of the prediction.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionInput {
    /// Time left until the deadline.
    pub remaining_ms: u64,
    /// Expected time to the first token; 0 if none is configured.
    pub first_token_ms: u32,
    /// Whether a user waits for the response, as opposed to a batch job.
    pub interactive: bool,
    /// Number of agents that have the model loaded.
    pub holders: u32,
    /// Number of free batch slots at the holders.
    pub free_slots: u32,
    /// Number of all batch slots at the holders.
    pub slots: u32,
    /// Number of waiting requests that are served before this one.
    pub queued_ahead: u32,
    /// Mean time that one request occupies a batch slot.
    pub service_time_ms: u32,
    /// Predicted time until an agent has loaded the model, if none has; `None` if
    /// it can't be predicted.
    pub load_wait_ms: Option<u64>,
    /// Predicted time from the start of the request to the end of its response.
    pub answer_time_ms: u64,
}

/// Decision about a new request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// A batch slot is free.
    Send,
    /// The request has to wait and is predicted to be in time.
    Wait {
        /// Predicted time until it is sent.
        predicted_ms: u64,
    },
    /// The request can't be in time.
    Refuse(RequestError),
}

/// Predicts whether a request can meet its deadline and, if it is interactive, its
/// expected time to the first token.
///
/// A request that waits and then misses its deadline has occupied a slot of one
/// that would have met its own; at twice the sustainable load, nearly all requests
/// are late. Refusing at once those that can't be in time keeps the others in time
/// and lets the callers go elsewhere.
pub fn admit(input: &AdmissionInput) -> Admission {
    if input.holders == 0 {
        return admit_without_holder(input);
    }
    let wait_ms = wait_for_slot_ms(input);
    let late_ms = lateness_ms(input, wait_ms);
    if late_ms > 0 {
        return refuse(ErrorCode::Overloaded, late_ms);
    }
    if wait_ms == 0 {
        return Admission::Send;
    }
    Admission::Wait {
        predicted_ms: wait_ms,
    }
}

fn admit_without_holder(input: &AdmissionInput) -> Admission {
    let Some(load_wait_ms) = input.load_wait_ms else {
        return refuse(ErrorCode::ModelUnavailable, RETRY_AFTER_DEFAULT_MS);
    };
    if load_wait_ms.saturating_add(input.answer_time_ms) > input.remaining_ms {
        return refuse(ErrorCode::ModelUnavailable, load_wait_ms);
    }
    Admission::Wait {
        predicted_ms: load_wait_ms,
    }
}

/// Returns by how much a request that waits for this time would miss its deadline
/// or its expected first token, whichever is more.
///
/// A first token that is late because the model has to be loaded does not count.
/// Otherwise a model without holders would never be requested, and so never be
/// loaded.
fn lateness_ms(input: &AdmissionInput, wait_ms: u64) -> u64 {
    let needed_ms = wait_ms.saturating_add(input.answer_time_ms);
    let deadline_late_ms = needed_ms.saturating_sub(input.remaining_ms);
    if !input.interactive || input.first_token_ms == 0 {
        return deadline_late_ms;
    }
    let first_token_ms = u64::from(input.first_token_ms);
    let bound_ms = first_token_ms * FIRST_TOKEN_WAIT_PERCENT / 100;
    deadline_late_ms.max(wait_ms.saturating_sub(bound_ms))
}

/// Predicts the time until the requests ahead have started and a slot is free.
fn wait_for_slot_ms(input: &AdmissionInput) -> u64 {
    if input.free_slots > input.queued_ahead {
        return 0;
    }
    let requests_before = u64::from(input.queued_ahead - input.free_slots) + 1;
    let slots = u64::from(input.slots.max(1));
    requests_before
        .saturating_mul(u64::from(input.service_time_ms))
        .div_ceil(slots)
        .max(1)
}

fn refuse(code: ErrorCode, retry_after_ms: u64) -> Admission {
    let retry_after_ms = retry_after_ms.max(RETRY_AFTER_MIN_MS);
    Admission::Refuse(RequestError::not_run(code).retry_after_ms(retry_after_ms))
}
