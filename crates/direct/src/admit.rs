//! Whether a request joins those that wait at an upstream.

use base::prelude::*;

/// Part of the aim, in percent, within which the first answer has to be expected.
/// What is expected leaves out the steps between prompts, so the answer comes
/// later; with the whole aim or half of it, fewer requests are served in time.
const AIM_USABLE_PERCENT: u64 = 75;

/// A request that has found an upstream.
#[derive(Debug, Clone, Copy)]
pub struct Admission {
    /// The present.
    pub now: Instant,
    /// When the request arrived.
    pub arrived: Instant,
    /// Time within which its answer earns its full worth.
    pub aim_ms: u64,
    /// When the first part of its answer is of use at the latest.
    pub first_by: Instant,
    /// Time to its first answer at the upstream.
    pub wait_ms: u64,
    /// Whether the upstream is an engine, at which prompts wait for one another.
    pub at_engine: bool,
}

/// Decides whether a request is sent; the time by which it would be too late if
/// not.
///
/// Where more comes than an engine reads, a queue that is let grow until callers
/// leave makes every answer late, though the engine serves no more of them. Those
/// that would miss their aim are refused at once, so that the rest are in time,
/// and can come back when the queue is shorter. One that is late already, because
/// its model was on its way, can only be served late or not at all.
///
/// # Errors
///
/// It would be too late.
pub fn admit(admission: &Admission) -> Result<(), u64> {
    let usable_ms = admission.aim_ms * AIM_USABLE_PERCENT / 100;
    let in_time_by = admission.arrived.plus_ms(usable_ms);
    let by = if admission.at_engine && admission.now < in_time_by {
        in_time_by.min(admission.first_by)
    } else {
        admission.first_by
    };
    let left_ms = by.ms_since(admission.now);
    if admission.wait_ms <= left_ms {
        Ok(())
    } else {
        Err(admission.wait_ms - left_ms)
    }
}
