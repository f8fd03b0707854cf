//! Selection of the upstream that runs a request.

use base::prelude::*;
use std::sync::Arc;

use crate::prefix_affinity::PrefixAffinity;
use crate::{EngineSpec, Fleet, Place, PrefillQueue, StreamOrigin, Upstream, Usage};

/// Delay of the first answer per running request.
const PER_RUNNING_MS: f64 = 1.0;

/// Delay of a plain service's answer per request that exceeds the slots of the
/// upstream, and per request in general.
const PER_QUEUED_MS: f64 = 30.0;
const PER_SLOT_MS: f64 = 3.0;

/// Penalty for an upstream in another failure domain, for network traffic and latency.
const CROSS_DOMAIN_MS: f64 = 4.0;

/// Cost of a failed answer: the time until the request is sent again.
const FAILURE_MS: f64 = 1_500.0;

/// Share of the KV cache that running requests may fill. Above it, engines preempt
/// requests in the middle of their answers.
const USABLE_CACHE_SHARE: f64 = 0.92;

/// Properties of the request and of this entry on which the selection depends.
#[derive(Debug)]
pub struct SelectionInput<'a> {
    /// The current time.
    pub now: Instant,
    /// Name of the service.
    pub service: &'a str,
    /// The service's engine; `None` for a plain service.
    pub engine: Option<&'a EngineSpec>,
    /// Model and adapter; `None` for a plain service.
    pub model: Option<(&'a str, Option<&'a str>)>,
    /// Prompt parts: for each, the hash of the prompt up to and including the part, and
    /// the number of tokens in the part.
    pub prompt_parts: &'a [(u64, u64)],
    /// Priority of the request; 0 is the most urgent.
    pub priority: u32,
    /// Whether the service's requests wait at the entries in the order of urgency, so
    /// that less urgent prompts delay others by one chunk at most.
    pub is_ordered: bool,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Time factor of the model.
    pub time_factor: f64,
    /// Tokens that the request may occupy in the upstream's KV cache.
    pub kv_tokens: u64,
    /// Upstreams that the request was already sent to.
    pub excluded: &'a [Arc<str>],
    /// Where the stream began whose rest is requested; `None` for anything else.
    pub origin: Option<&'a StreamOrigin>,
    /// Failure domain of this entry.
    pub domain: &'a str,
    /// A random number that breaks ties.
    pub random: u64,
}

/// A selected upstream.
#[derive(Debug, Clone, PartialEq)]
pub struct SelectedUpstream {
    /// Name of the upstream.
    pub id: Arc<str>,
    /// Usage of the upstream by the request.
    pub usage: Usage,
    /// Time to prefill the prompt at a time factor of 1; `None` if other prompts wait
    /// before it.
    pub unqueued_prefill_ms: Option<f64>,
    /// Expected time to the first answer.
    pub first_answer_ms: f64,
    /// The same after the correction that was learned from earlier answers.
    pub predicted_ms: f64,
    /// Part of `first_answer_ms` that the request's own prefill takes.
    pub own_prefill_ms: f64,
    /// Prompt tokens that the upstream has to prefill, as far as this entry knows.
    pub prefill_tokens: u64,
    /// Time that the upstream takes relative to the mean of its service. The expected
    /// times include it.
    pub pace_factor: f64,
    /// Expected time to the first answer as it would be if all upstreams were equally
    /// fast: the shortest one of all upstreams.
    pub equal_pace_ms: f64,
    /// In the same way, the shortest time behind other prompts.
    pub equal_pace_queue_ms: f64,
    /// Time to prefill the prompts at the upstream that the request must not delay; see
    /// [`PrefillQueue::unread_ms`].
    pub unread_ms: f64,
}

impl SelectedUpstream {
    /// Expected times in the queue and to prefill the prompt by which the request is
    /// admitted. They are at most those at equal speeds: a request isn't refused because
    /// an upstream is known to be slow, as it would have been sent without that.
    pub fn admission_times_ms(&self) -> (f64, f64) {
        let first_answer_ms = self.first_answer_ms.min(self.equal_pace_ms);
        let queue_ms = (self.first_answer_ms - self.own_prefill_ms)
            .min(self.equal_pace_queue_ms)
            .min(first_answer_ms);
        (queue_ms, first_answer_ms - queue_ms)
    }

    /// The place at the upstream, by the corrected times of admission.
    pub fn place(&self, mean_prefill_ms: f64) -> Place<'_> {
        let correction = self.correction();
        let (queue_ms, prefill_ms) = self.admission_times_ms();
        let unread_ms = self.unread_ms.min(self.unread_ms / self.pace_factor);
        Place {
            upstream: &self.id,
            queue_ms: (queue_ms * correction) as u64,
            prefill_ms: (prefill_ms * correction) as u64,
            mean_prefill_ms: (mean_prefill_ms * correction) as u64,
            unread_ms: (unread_ms * correction) as u64,
        }
    }

    /// Factor of the correction that was learned from earlier answers.
    pub fn correction(&self) -> f64 {
        if self.first_answer_ms > 0.0 {
            self.predicted_ms / self.first_answer_ms
        } else {
            1.0
        }
    }
}

/// Why no upstream was selected. The variants are declared in the order of the checks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SelectionError {
    /// The service has no usable upstream.
    NoUpstream,
    /// No upstream runs the software version that began the stream.
    NoSameVersion,
    /// No upstream holds the model.
    NoModel,
    /// No upstream that holds the model holds the adapter.
    NoAdapter,
    /// All upstreams that hold the model asked this entry to send no requests for a
    /// while.
    BackedOff,
    /// All upstreams that hold the model have been sent as many requests as they
    /// accept.
    RateSpent,
    /// All upstreams that could run the request are full.
    Full,
}

impl SelectionError {
    /// Whether an upstream could run the request if it had less to do.
    pub const fn is_lack_of_capacity(self) -> bool {
        matches!(self, Self::Full)
    }

    /// Value of the reason in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoUpstream => "no_upstream",
            Self::NoSameVersion => "no_same_version",
            Self::NoModel => "no_model",
            Self::NoAdapter => "no_adapter",
            Self::BackedOff => "backed_off",
            Self::RateSpent => "rate_spent",
            Self::Full => "full",
        }
    }
}

/// Selects the upstream with the earliest expected first answer.
///
/// Entries learn of one another's requests a tenth of a second late, so the choice
/// between two upstreams that are nearly equal is random. Otherwise all entries would
/// send their next requests to the same one. Upstreams that are preferred for the
/// prompt's shared prefix are favoured, so that all entries use the same ones. This
/// affects only the selection: the expected time to the first answer doesn't include
/// cached tokens that this entry doesn't know of.
///
/// # Errors
///
/// No upstream can run the request now.
pub fn select_upstream<'a>(
    fleet: &'a Fleet,
    input: &SelectionInput<'a>,
) -> Result<SelectedUpstream, SelectionError> {
    let mut best: Option<(bool, Candidate)> = None;
    if input
        .origin
        .is_some_and(|origin| !fleet.confirms_origin(origin))
    {
        return Err(SelectionError::NoSameVersion);
    }
    let mut reason = SelectionError::NoUpstream;
    let mut equal_pace = EqualPace::default();
    let affinity = PrefixAffinity::for_request(fleet, input);
    for (index, upstream) in fleet.of_service(input.service).enumerate() {
        if !upstream.is_usable(input.now)
            || input.excluded.contains(&upstream.record.id)
        {
            continue;
        }
        match score_candidate(upstream, input, &affinity, index as u64) {
            Err(error) => reason = reason.of_later_check(error),
            Ok(candidate) => {
                let is_avoided = upstream.is_avoided(input.now);
                equal_pace.add(is_avoided, &candidate);
                let better = best.as_ref().is_none_or(|(other, best)| {
                    (is_avoided, candidate.score) < (*other, best.score)
                });
                if better {
                    best = Some((is_avoided, candidate));
                }
            }
        }
    }
    match best {
        Some((is_avoided, candidate)) => {
            Ok(equal_pace.apply(is_avoided, candidate.selected))
        }
        None => Err(reason),
    }
}

/// An upstream that can run the request.
#[derive(Debug)]
struct Candidate {
    /// Lower is better.
    score: f64,
    selected: SelectedUpstream,
}

impl SelectionError {
    /// The reason of the upstream that passed more of the checks.
    const fn of_later_check(self, other: Self) -> Self {
        if other as u8 > self as u8 {
            other
        } else {
            self
        }
    }
}

/// The shortest times to the first answer, and in the queue, if all upstreams were
/// equally fast.
#[derive(Debug, Default)]
struct EqualPace {
    /// Of those that aren't avoided, and of those that are.
    shortest: [Option<(f64, f64)>; 2],
    /// Whether speeds may have changed the selection.
    is_affected: bool,
}

impl EqualPace {
    fn add(&mut self, is_avoided: bool, candidate: &Candidate) {
        let selected = &candidate.selected;
        let equal_pace = selected.equal_pace_ms.total_cmp(&selected.first_answer_ms);
        self.is_affected |= equal_pace.is_ne();
        let own = (selected.equal_pace_ms, selected.equal_pace_queue_ms);
        let shortest = &mut self.shortest[usize::from(is_avoided)];
        *shortest = Some(shortest.map_or(own, |(first_ms, queue_ms)| {
            (first_ms.min(own.0), queue_ms.min(own.1))
        }));
    }

    /// Replaces the times of the best upstream by the shortest ones, unless it would have
    /// been selected anyway.
    fn apply(&self, is_avoided: bool, best: SelectedUpstream) -> SelectedUpstream {
        let shortest = self.shortest[usize::from(is_avoided)];
        match shortest.filter(|_| self.is_affected) {
            Some((equal_pace_ms, equal_pace_queue_ms)) => SelectedUpstream {
                equal_pace_ms,
                equal_pace_queue_ms,
                ..best
            },
            None => best,
        }
    }
}

/// Scores an upstream for a request, or returns why it can't run the request.
fn score_candidate(
    upstream: &Upstream,
    input: &SelectionInput<'_>,
    affinity: &PrefixAffinity<'_>,
    index: u64,
) -> Result<Candidate, SelectionError> {
    if input
        .origin
        .is_some_and(|origin| !upstream.can_continue(origin))
    {
        return Err(SelectionError::NoSameVersion);
    }
    if let Some((model, adapter)) = input.model {
        check_holds(upstream, input.now, model, adapter)?;
    }
    check_accepting(upstream, input.now)?;
    // This sums over all entries, so it is only computed for upstreams that pass the
    // checks above.
    let usage = upstream.usage(input.now);
    let RequestNeed {
        usage: added,
        cached_tokens,
    } = match input.model {
        Some((model, _)) => model_need(upstream, input, model, &usage)?,
        None => RequestNeed::default(),
    };
    let (equal_pace_ms, pace_factor) = if input.model.is_some() {
        let pace_factor = upstream.pace_factor(input.now);
        (engine_wait_ms(&usage, &added, input), pace_factor)
    } else {
        (service_wait_ms(upstream, &usage), 1.0)
    };
    let wait_ms = equal_pace_ms * pace_factor;
    let noise = jitter(input.random, index);
    let domain_ms = if *upstream.record.domain == *input.domain {
        0.0
    } else {
        CROSS_DOMAIN_MS
    };
    let saving_ms =
        affinity.expected_saving_ms(&upstream.record.id, cached_tokens, input);
    let score = (wait_ms - saving_ms).max(0.0) * (1.0 + 0.1 * noise)
        + noise
        + domain_ms
        + failure_penalty_ms(upstream);
    let is_unqueued = input.model.is_some() && usage.prefill.is_empty();
    let selected = SelectedUpstream {
        id: Arc::clone(&upstream.record.id),
        usage: added,
        unqueued_prefill_ms: is_unqueued
            .then(|| added.prefill.prefill_ms() / input.time_factor * pace_factor),
        first_answer_ms: wait_ms,
        predicted_ms: wait_ms,
        own_prefill_ms: added.prefill.prefill_ms() * pace_factor,
        prefill_tokens: input.prompt_tokens.saturating_sub(cached_tokens),
        pace_factor,
        equal_pace_ms,
        equal_pace_queue_ms: equal_pace_ms - added.prefill.prefill_ms(),
        unread_ms: usage.prefill.unread_ms(input.priority) * pace_factor,
    };
    Ok(Candidate { score, selected })
}

fn check_holds(
    upstream: &Upstream,
    now: Instant,
    model: &str,
    adapter: Option<&str>,
) -> Result<(), SelectionError> {
    if !upstream.holds(now, model, None) {
        return Err(SelectionError::NoModel);
    }
    if !upstream.holds(now, model, adapter) {
        return Err(SelectionError::NoAdapter);
    }
    Ok(())
}

/// Whether an upstream accepts requests, according to its own responses.
fn check_accepting(upstream: &Upstream, now: Instant) -> Result<(), SelectionError> {
    if upstream.is_backed_off(now) {
        return Err(SelectionError::BackedOff);
    }
    if upstream.is_rate_spent(now) {
        return Err(SelectionError::RateSpent);
    }
    Ok(())
}

/// What a request needs from an upstream.
#[derive(Debug)]
struct RequestNeed {
    usage: Usage,
    /// Prompt tokens that the upstream has cached, as far as this entry knows.
    cached_tokens: u64,
}

impl Default for RequestNeed {
    /// The need of a request to a plain service.
    fn default() -> Self {
        Self {
            usage: Usage {
                running: 1,
                ..Usage::default()
            },
            cached_tokens: 0,
        }
    }
}

/// What a request for a model needs, or why the upstream has no capacity for it.
fn model_need(
    upstream: &Upstream,
    input: &SelectionInput<'_>,
    model: &str,
    usage: &Usage,
) -> Result<RequestNeed, SelectionError> {
    if upstream.is_refusing(input.now, model) {
        return Err(SelectionError::Full);
    }
    let cached_tokens = upstream.cached_tokens(input.prompt_parts);
    if let Some(engine) = input.engine {
        let kv_tokens = usage.kv_tokens + input.kv_tokens;
        let usable_tokens = engine.cache_capacity_tokens as f64 * USABLE_CACHE_SHARE;
        if usage.running >= engine.batch_slots || kv_tokens as f64 > usable_tokens {
            return Err(SelectionError::Full);
        }
    }
    let scaled_prefill_tokens =
        input.prompt_tokens.saturating_sub(cached_tokens) as f64 * input.time_factor;
    Ok(RequestNeed {
        usage: Usage {
            running: 1,
            prefill: PrefillQueue::single(input.priority, scaled_prefill_tokens as u64),
            kv_tokens: input.kv_tokens,
        },
        cached_tokens,
    })
}

/// Expected time to the first answer of an engine.
fn engine_wait_ms(usage: &Usage, added: &Usage, input: &SelectionInput<'_>) -> f64 {
    let ahead_ms = if input.is_ordered {
        usage.prefill.wait_behind_chunk_ms(input.priority)
    } else {
        usage.prefill.wait_ms(input.priority)
    };
    ahead_ms + added.prefill.prefill_ms() + f64::from(usage.running) * PER_RUNNING_MS
}

/// Expected time to the answer of a plain service's upstream.
fn service_wait_ms(upstream: &Upstream, usage: &Usage) -> f64 {
    let slots = upstream.record.batch_slots.max(1);
    let queued = usage.running.saturating_sub(slots - 1);
    f64::from(usage.running) * PER_SLOT_MS + f64::from(queued) * PER_QUEUED_MS
}

/// Expected cost of a failed answer, from the share of recent answers that failed.
fn failure_penalty_ms(upstream: &Upstream) -> f64 {
    let share = upstream.failed_share();
    share * share * FAILURE_MS
}

/// A number from 0 to 1 that differs between upstreams.
fn jitter(random: u64, index: u64) -> f64 {
    let mixed = (random ^ index.wrapping_mul(0x9e37_79b9_7f4a_7c15))
        .wrapping_mul(0xd6e8_feb8_6659_fd93);
    (mixed >> 40) as f64 / (1u64 << 24) as f64
}
