//! Choice of the upstream that runs a request.

use base::prelude::*;
use std::sync::Arc;

use crate::prefix_affinity::PrefixAffinity;
use crate::{EngineSpec, Fleet, PrefillQueue, Upstream, Usage};

/// Delay of a first answer by each request that already runs.
const PER_RUNNING_MS: f64 = 1.0;

/// Delay of an answer of a plain service by each request at the upstream over
/// its slots, and a little below them.
const PER_QUEUED_MS: f64 = 30.0;
const PER_SLOT_MS: f64 = 3.0;

/// What an upstream in another failure domain costs in bytes and time.
const CROSS_DOMAIN_MS: f64 = 4.0;

/// What a failed answer costs: the time until the request is sent again.
const FAILURE_MS: f64 = 1_500.0;

/// Part of the cache that running requests are let fill. Over it, engines
/// preempt requests in the middle of their answers.
const USABLE_CACHE_SHARE: f64 = 0.92;

/// What the choice depends on besides the upstreams.
#[derive(Debug)]
pub struct SelectionInput<'a> {
    /// The present.
    pub now: Instant,
    /// Service.
    pub service: &'a str,
    /// The service's engine; `None` for a plain service.
    pub engine: Option<&'a EngineSpec>,
    /// Model and adapter.
    pub model: Option<(&'a str, Option<&'a str>)>,
    /// Prompt parts: hash of all parts up to it, and its tokens.
    pub prompt_parts: &'a [(u64, u64)],
    /// Rank of the request, 0 the most urgent.
    pub priority: u32,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Factor on the time that reading them takes.
    pub time_factor: f64,
    /// Tokens that the request may keep at the upstream.
    pub kv_tokens: u64,
    /// Upstreams it was sent to already.
    pub excluded: &'a [Arc<str>],
    /// Failure domain of this entry.
    pub domain: &'a str,
    /// A number drawn at random; breaks ties.
    pub random: u64,
}

/// A chosen upstream.
#[derive(Debug, Clone, PartialEq)]
pub struct SelectedUpstream {
    /// Upstream.
    pub id: Arc<str>,
    /// What the request uses there.
    pub usage: Usage,
    /// Time that reading its prompt takes there at the common pace, if nothing
    /// waits before it.
    pub unqueued_prefill_ms: Option<f64>,
    /// Time to its first answer as far as can be told.
    pub first_answer_ms: f64,
    /// Part of that which reading its own prompt takes.
    pub own_prefill_ms: f64,
    /// Prompt tokens that the upstream has to read, as far as this entry knows.
    pub uncached_tokens: u64,
}

/// Why there is no upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SelectionError {
    /// The service has no usable upstream.
    NoUpstream,
    /// None holds the model.
    NoModel,
    /// None that holds the model holds the adapter.
    NoAdapter,
    /// All that hold the model asked this entry for no request for a while.
    BackedOff,
    /// All that hold the model were sent as many requests as they take.
    RateSpent,
    /// All that could run it are full.
    Full,
}

impl SelectionError {
    /// The word used in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoUpstream => "no_upstream",
            Self::NoModel => "no_model",
            Self::NoAdapter => "no_adapter",
            Self::BackedOff => "backed_off",
            Self::RateSpent => "rate_spent",
            Self::Full => "full",
        }
    }
}

/// Picks the upstream whose first answer is expected soonest.
///
/// Entries see one another's requests a tenth of a second late, so between two
/// upstreams that are nearly equal chance decides: else all entries would send
/// the next requests to the same one. Of those that read a prompt's shared parts, each
/// entry prefers the same: what is expected there leaves out what it may keep that
/// this entry does not know of, and the choice does not.
///
/// # Errors
///
/// No upstream can run the request now.
pub fn select_upstream<'a>(
    fleet: &'a Fleet,
    input: &SelectionInput<'a>,
) -> Result<SelectedUpstream, SelectionError> {
    let mut best: Option<(bool, f64, SelectedUpstream)> = None;
    let mut reason = SelectionError::NoUpstream;
    let affinity = PrefixAffinity::for_request(fleet, input);
    for (index, upstream) in fleet.of_service(input.service).enumerate() {
        if !upstream.is_usable(input.now)
            || input.excluded.contains(&upstream.record.id)
        {
            continue;
        }
        match score_candidate(upstream, input, &affinity, index as u64) {
            Err(why) => reason = reason.closer(why),
            Ok((score, selected)) => {
                let suspected = upstream.is_avoided(input.now);
                let better = best.as_ref().is_none_or(|(other, least, _)| {
                    (suspected, score) < (*other, *least)
                });
                if better {
                    best = Some((suspected, score, selected));
                }
            }
        }
    }
    best.map(|(_, _, selected)| selected).ok_or(reason)
}

impl SelectionError {
    /// The reason closest to an upstream that could run the request.
    const fn closer(self, other: Self) -> Self {
        if other as u8 > self as u8 {
            other
        } else {
            self
        }
    }
}

fn score_candidate(
    upstream: &Upstream,
    input: &SelectionInput<'_>,
    affinity: &PrefixAffinity<'_>,
    index: u64,
) -> Result<(f64, SelectedUpstream), SelectionError> {
    if let Some((model, adapter)) = input.model {
        check_holds(upstream, input.now, model, adapter)?;
    }
    check_accepting(upstream, input.now)?;
    // Added up over all entries: only where it can matter.
    let usage = upstream.usage(input.now);
    let RequestNeed {
        usage: adds,
        cached_tokens,
    } = match input.model {
        Some((model, _)) => model_need(upstream, input, model, &usage)?,
        None => RequestNeed::default(),
    };
    let wait_ms = if input.model.is_some() {
        engine_wait_ms(&usage, &adds, input.priority)
    } else {
        service_wait_ms(upstream, &usage)
    };
    let chance = jitter(input.random, index);
    let domain_ms = if *upstream.record.domain == *input.domain {
        0.0
    } else {
        CROSS_DOMAIN_MS
    };
    let saved_ms =
        affinity.expected_saving_ms(&upstream.record.id, cached_tokens, input);
    let score = (wait_ms - saved_ms).max(0.0) * (1.0 + 0.1 * chance)
        + chance
        + domain_ms
        + failure_penalty_ms(upstream);
    let alone = input.model.is_some() && usage.prefill.is_empty();
    let selected = SelectedUpstream {
        id: Arc::clone(&upstream.record.id),
        usage: adds,
        unqueued_prefill_ms: alone
            .then(|| adds.prefill.prefill_ms() / input.time_factor),
        first_answer_ms: wait_ms,
        own_prefill_ms: adds.prefill.prefill_ms(),
        uncached_tokens: input.prompt_tokens.saturating_sub(cached_tokens),
    };
    Ok((score, selected))
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

/// Whether an upstream takes a request, by what it said itself.
fn check_accepting(upstream: &Upstream, now: Instant) -> Result<(), SelectionError> {
    if upstream.is_backed_off(now) {
        return Err(SelectionError::BackedOff);
    }
    if upstream.is_rate_spent(now) {
        return Err(SelectionError::RateSpent);
    }
    Ok(())
}

/// What a request needs of an upstream.
#[derive(Debug)]
struct RequestNeed {
    usage: Usage,
    /// Prompt tokens that the upstream need not read, as far as this entry knows.
    cached_tokens: u64,
}

impl Default for RequestNeed {
    /// That of a request to a plain service.
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
        let kept = usage.kv_tokens + input.kv_tokens;
        let usable_tokens = engine.kv_capacity_tokens as f64 * USABLE_CACHE_SHARE;
        if usage.running >= engine.batch_slots || kept as f64 > usable_tokens {
            return Err(SelectionError::Full);
        }
    }
    let uncached =
        input.prompt_tokens.saturating_sub(cached_tokens) as f64 * input.time_factor;
    Ok(RequestNeed {
        usage: Usage {
            running: 1,
            prefill: PrefillQueue::single(input.priority, uncached as u64),
            kv_tokens: input.kv_tokens,
        },
        cached_tokens,
    })
}

fn engine_wait_ms(usage: &Usage, adds: &Usage, rank: u32) -> f64 {
    let ahead_ms = usage.prefill.wait_ms(rank);
    ahead_ms + adds.prefill.prefill_ms() + f64::from(usage.running) * PER_RUNNING_MS
}

fn service_wait_ms(upstream: &Upstream, usage: &Usage) -> f64 {
    let slots = upstream.record.batch_slots.max(1);
    let queued = usage.running.saturating_sub(slots - 1);
    f64::from(usage.running) * PER_SLOT_MS + f64::from(queued) * PER_QUEUED_MS
}

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
