//! Admission: whether a request can meet its deadline.

use base::prelude::*;

/// Time to come back when nothing can be foreseen.
const RETRY_UNFORESEEN_MS: u64 = 5_000;

/// Part of the expected time to the first token, in percent, that an
/// interactive request may be predicted to wait for a place.
///
/// Under load the queue fills up to this bound, so it must lie below the
/// expectation: half the requests wait longer than predicted.
const FIRST_TOKEN_WAIT_PERCENT: u64 = 50;

/// Least time to come back, so that a refused caller does not return before
/// anything can have changed.
const RETRY_MIN_MS: u64 = 100;

/// What the prediction needs.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionInput {
    /// Time left until the deadline.
    pub remaining_ms: u64,
    /// Expected time to the first token; 0 for none.
    pub first_token_ms: u32,
    /// Whether somebody waits for the answer.
    pub interactive: bool,
    /// Agents that have the model loaded.
    pub holders: u32,
    /// Places free at them.
    pub free_slots: u32,
    /// Places of all of them.
    pub slots: u32,
    /// Waiting requests that go before this one.
    pub queued_ahead: u32,
    /// Mean time that one request holds a place.
    pub service_time_ms: u32,
    /// Predicted time until an agent holds the model, if none does; `None` when
    /// it can't be foreseen.
    pub load_wait_ms: Option<u64>,
    /// Predicted time of the whole answer once it runs.
    pub answer_time_ms: u64,
}

/// What to do with a new request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// A place is free.
    Send,
    /// It waits and will be in time.
    Wait {
        /// Predicted time until it is sent.
        predicted_ms: u64,
    },
    /// It can't be in time.
    Refuse(Refusal),
}

/// Predicts whether a request can meet its deadline, and an interactive one its
/// expected first token.
///
/// A request that waits and then misses its deadline has taken a place from one
/// that would have met its own; under twice the load that fits, nearly all work
/// is late. Refusing at once what can't be in time keeps the rest in time and
/// lets the caller go elsewhere.
pub fn admit(input: &AdmissionInput) -> Admission {
    if input.holders == 0 {
        return without_holder(input);
    }
    let wait_ms = wait_for_place_ms(input);
    let late_ms = late_by_ms(input, wait_ms);
    if late_ms > 0 {
        return refuse(Code::Overloaded, late_ms);
    }
    if wait_ms == 0 {
        return Admission::Send;
    }
    Admission::Wait {
        predicted_ms: wait_ms,
    }
}

fn without_holder(input: &AdmissionInput) -> Admission {
    let Some(load_wait_ms) = input.load_wait_ms else {
        return refuse(Code::ModelUnavailable, RETRY_UNFORESEEN_MS);
    };
    if load_wait_ms.saturating_add(input.answer_time_ms) > input.remaining_ms {
        return refuse(Code::ModelUnavailable, load_wait_ms);
    }
    Admission::Wait {
        predicted_ms: load_wait_ms,
    }
}

/// How long after its deadline, or its expected first token, a request that
/// waits this long would be; the later of the two.
///
/// A first token that is late because the model must be loaded first does not
/// count: refusing would keep a model without a holder out of reach.
fn late_by_ms(input: &AdmissionInput, wait_ms: u64) -> u64 {
    let needed_ms = wait_ms.saturating_add(input.answer_time_ms);
    let deadline_late_ms = needed_ms.saturating_sub(input.remaining_ms);
    if !input.interactive || input.first_token_ms == 0 {
        return deadline_late_ms;
    }
    let first_token_ms = u64::from(input.first_token_ms);
    let bound_ms = first_token_ms * FIRST_TOKEN_WAIT_PERCENT / 100;
    deadline_late_ms.max(wait_ms.saturating_sub(bound_ms))
}

/// Time until the requests ahead have gone and a place is free.
fn wait_for_place_ms(input: &AdmissionInput) -> u64 {
    if input.free_slots > input.queued_ahead {
        return 0;
    }
    let before = u64::from(input.queued_ahead - input.free_slots) + 1;
    let slots = u64::from(input.slots.max(1));
    before
        .saturating_mul(u64::from(input.service_time_ms))
        .div_ceil(slots)
        .max(1)
}

fn refuse(code: Code, retry_after_ms: u64) -> Admission {
    let retry_after_ms = retry_after_ms.max(RETRY_MIN_MS);
    Admission::Refuse(Refusal::not_run(code).retry_after_ms(retry_after_ms))
}
