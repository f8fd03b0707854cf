//! Whether a request joins those that wait at an upstream.
//!
//! Answers the load in which more prompts come than engines read, some of them
//! several times as long as the rest.

use base::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Part of the aim, in percent, within which the first answer has to be expected.
/// What is expected leaves out the steps between prompts, so the answer comes
/// later; with the whole aim or half of it, fewer requests are served in time.
const USABLE_TARGET_PERCENT: u64 = 75;

/// Part of the usable time, in percent, that is left to the queue however long a
/// route's prompts take. Else a route of long prompts would be refused at engines
/// that are idle.
const MIN_QUEUE_PERCENT: u64 = 50;

/// Weight of the newest prompt in the mean of its route: a few dozen requests, as
/// many as one entry sees of a route in seconds.
const NEWEST_WEIGHT: f64 = 0.03;

/// A request that has found an upstream.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionInput {
    /// The present.
    pub now: Instant,
    /// When the request arrived.
    pub arrived_at: Instant,
    /// Time within which its answer earns its full worth.
    pub target_latency_ms: u64,
    /// When the first part of its answer is of use at the latest.
    pub first_answer_deadline: Instant,
    /// Time at the upstream until its prompt is read.
    pub queue_ms: u64,
    /// Time of reading its prompt.
    pub prefill_ms: u64,
    /// Time of reading a prompt of its route, in the mean.
    pub mean_prefill_ms: u64,
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
/// All requests of a route join the same queue, whatever their own size. Judged by
/// its own prompt, the short request joins when the long one may not; under more
/// load than is read the queue stays where only short ones join, and the long ones
/// are never served though each of them is worth as much as several.
///
/// # Errors
///
/// It would be too late.
pub fn admit(admission: &AdmissionInput) -> Result<(), u64> {
    let own_answer_ms = admission.queue_ms + admission.prefill_ms;
    let useful_ms = admission.first_answer_deadline.ms_since(admission.now);
    if own_answer_ms > useful_ms {
        return Err(own_answer_ms - useful_ms);
    }
    let usable_ms = admission.target_latency_ms * USABLE_TARGET_PERCENT / 100;
    let target_at = admission.arrived_at.plus_ms(usable_ms);
    if !admission.at_engine || admission.now >= target_at {
        return Ok(());
    }
    let prefill_max_ms = usable_ms * (100 - MIN_QUEUE_PERCENT) / 100;
    let mean_ms = admission.mean_prefill_ms.min(prefill_max_ms);
    let expected_ms = admission.queue_ms + mean_ms;
    let remaining_ms = target_at.ms_since(admission.now);
    if expected_ms <= remaining_ms {
        Ok(())
    } else {
        Err(expected_ms - remaining_ms)
    }
}

/// Mean time that reading a prompt takes, by route.
#[derive(Debug, Default)]
pub struct MeanPrefillTimes {
    by_route: BTreeMap<Arc<str>, f64>,
}

impl MeanPrefillTimes {
    /// No route's prompts are known.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts the prompt of a request, whether it is admitted or not, and gives
    /// the mean of its route with it.
    pub fn observe(&mut self, route: &Arc<str>, reading_ms: f64) -> f64 {
        let mean = self.by_route.entry(Arc::clone(route)).or_insert(reading_ms);
        *mean += (reading_ms - *mean) * NEWEST_WEIGHT;
        *mean
    }

    /// Forgets routes that the configuration does not name any more.
    pub fn retain(&mut self, is_named: impl Fn(&str) -> bool) {
        self.by_route.retain(|route, _| is_named(route));
    }
}
