//! Admission of a request to the queue of the selected upstream.
//!
//! It matters when more prompts arrive than the engines can prefill, some of them
//! several times as long as the others.

use base::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Share of the target latency, in percent, within which the first answer must be
/// expected. The estimate leaves out the engine steps between prompts, so the real
/// answer comes later. With the whole target, requests are admitted that are late; with
/// much less, requests are refused that would be in time.
const USABLE_TARGET_PERCENT: u64 = 75;

/// The same where the estimate is corrected by what was observed. With the whole target,
/// more than half of the requests that are expected at its end are late; with less,
/// requests are refused that would be in time.
const CORRECTED_TARGET_PERCENT: u64 = 90;

/// Minimum share of the usable time, in percent, that is left for queueing however long
/// the prompts of a route are. Otherwise, routes with long prompts would be refused at
/// idle engines.
const MIN_QUEUE_PERCENT: u64 = 50;

/// Weight of the newest prompt in the mean of its route. The mean covers a few dozen
/// requests, as many as one entry gets for a route within seconds.
const NEWEST_WEIGHT: f64 = 0.03;

/// A request for which an upstream was selected.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionInput {
    /// The current time.
    pub now: Instant,
    /// When the request arrived.
    pub arrived_at: Instant,
    /// Time within which the answer earns its full value.
    pub latency_target_ms: u64,
    /// Latest time at which the first part of the answer is of any use.
    pub first_answer_deadline: Instant,
    /// Time for which the prompt waits behind others at the upstream.
    pub queue_ms: u64,
    /// Time to prefill the prompt.
    pub prefill_ms: u64,
    /// Mean time to prefill a prompt of the route.
    pub mean_prefill_ms: u64,
    /// Whether these times are corrected by what was observed.
    pub is_corrected: bool,
    /// Whether the upstream is an engine, where prompts wait for one another.
    pub at_engine: bool,
}

/// Decides whether a request is sent. If not, returns the number of milliseconds by
/// which it would be too late.
///
/// If more arrives than an engine can prefill, a queue that grows until callers give up
/// makes every answer late without serving more of them. Requests that would miss their
/// target latency are therefore refused at once. The others stay in time, and the
/// refused ones can come back when the queue is shorter. A request that is already
/// late, because its model was loading, can only be served late or not at all, so it is
/// admitted.
///
/// All requests of a route are admitted by the mean prompt of the route instead of
/// their own. Otherwise short requests would be admitted when long ones aren't: under
/// overload, the queue would stay at a length that admits only short requests, and long
/// ones would never be served although each of them is worth as much as several short
/// ones.
///
/// # Errors
///
/// The request would be too late.
pub fn admit(admission: &AdmissionInput) -> Result<(), u64> {
    let first_answer_ms = admission.queue_ms + admission.prefill_ms;
    let until_deadline_ms = admission.first_answer_deadline.ms_since(admission.now);
    if first_answer_ms > until_deadline_ms {
        return Err(first_answer_ms - until_deadline_ms);
    }
    let usable_ms = usable_ms(admission.latency_target_ms, admission.is_corrected);
    let target_at = admission.arrived_at.plus_ms(usable_ms);
    if !admission.at_engine || admission.now >= target_at {
        return Ok(());
    }
    let mean_ms = admission.mean_prefill_ms.min(prefill_max_ms(usable_ms));
    let expected_ms = admission.queue_ms + mean_ms;
    let remaining_ms = target_at.ms_since(admission.now);
    if expected_ms <= remaining_ms {
        Ok(())
    } else {
        Err(expected_ms - remaining_ms)
    }
}

/// Latest time at which a request with this corrected prefill time is admitted, as in
/// time, to an engine where no other prompt waits.
pub(crate) fn in_time_until(
    arrived_at: Instant,
    latency_target_ms: u64,
    prefill_ms: u64,
) -> Instant {
    let usable_ms = usable_ms(latency_target_ms, true);
    let prefill_ms = prefill_ms.min(prefill_max_ms(usable_ms));
    arrived_at.plus_ms(usable_ms - prefill_ms)
}

/// Time after its arrival within which a request's first answer must be expected.
const fn usable_ms(latency_target_ms: u64, is_corrected: bool) -> u64 {
    let percent = if is_corrected {
        CORRECTED_TARGET_PERCENT
    } else {
        USABLE_TARGET_PERCENT
    };
    latency_target_ms * percent / 100
}

/// Part of the usable time that the prompt's own prefill may count.
const fn prefill_max_ms(usable_ms: u64) -> u64 {
    usable_ms * (100 - MIN_QUEUE_PERCENT) / 100
}

/// Mean time to prefill a prompt, by route.
#[derive(Debug, Default)]
pub struct MeanPrefillTimes {
    by_route: BTreeMap<Arc<str>, f64>,
}

impl MeanPrefillTimes {
    /// Creates an empty set of means.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the prompt of a request, whether it is admitted or not, and returns the
    /// updated mean of its route.
    pub fn observe(&mut self, route: &Arc<str>, prefill_ms: f64) -> f64 {
        let mean = self.by_route.entry(Arc::clone(route)).or_insert(prefill_ms);
        *mean += (prefill_ms - *mean) * NEWEST_WEIGHT;
        *mean
    }

    /// Removes routes that the configuration no longer names.
    pub fn retain(&mut self, is_named: impl Fn(&str) -> bool) {
        self.by_route.retain(|route, _| is_named(route));
    }
}

/// Until when a request waits for an upstream that asked for a pause, or whose rate was
/// used up, when the request looked for one. `accepts_again_at` is when the first such
/// upstream accepts requests again; `None` if none pauses any more.
///
/// A pause may end between the two looks. The request then looks again; refused, it would
/// lose a place that is free.
pub fn wait_end_for_pause(
    accepts_again_at: Option<Instant>,
    started_at: Instant,
    wait_limit: Instant,
) -> Instant {
    match accepts_again_at {
        Some(at) if at >= wait_limit => started_at,
        _ => wait_limit,
    }
}
