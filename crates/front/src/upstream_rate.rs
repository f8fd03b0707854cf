//! Enforces the request rates that upstreams advertise, over all entries
//! together.
//!
//! A rate applies no matter which entries the requests come from, some of which
//! may be cut off from one another. As with workspaces, entries refill tokens
//! in small shares, and tokens are moved between entries but never copied. The
//! `quota` crate guarantees the limit; an entry that is cut off sends less, not
//! more.

use base::prelude::*;
use direct::{Fleet, RateNotice, Upstream, UpstreamIncarnation};
use quota::{RateLimit, TakeOutcome};
use schema::peer::UpstreamRate;
use serde_json::json;
use std::sync::Arc;

use crate::quota::{Scope, take};
use crate::state::Node;
use crate::state::quota::Charge;
use crate::{AdvertisedRate, ResponseHead};

/// When to consider an upstream again whose limit the keeper of its tokens
/// doesn't know yet.
const UNKNOWN_LIMIT_RETRY_MS: u64 = 100;

/// Shortest time for which an upstream is passed over when its rate is used up.
const MIN_SKIP_MS: u64 = 20;

/// Records the rate that an upstream's response advertises. The request was
/// sent at `sent_at`.
///
/// The absence of a rate counts only in a signed response, which the upstream
/// produced itself: a report, a refusal or a corrupted response may lack the
/// rate while it still applies.
pub(crate) fn record_advertised(
    node: &Node,
    incarnation: UpstreamIncarnation<'_>,
    head: &ResponseHead,
    sent_at: Instant,
) {
    let per_s = match head.rate {
        AdvertisedRate::Unlimited if !head.signed => return,
        AdvertisedRate::Invalid => return,
        AdvertisedRate::PerSecond(per_s) => Some(per_s),
        AdvertisedRate::Unlimited => None,
    };
    if per_s.is_none() && has_no_limits(node) {
        return;
    }
    let received_at = node.now();
    let notice = RateNotice {
        per_s,
        request_sent_at: sent_at,
        answered_at: received_at,
    };
    let changed = node.fleet.lock().note_rate(incarnation, notice);
    if changed {
        on_rate_change(node, incarnation.id, per_s, &node.options.entry);
        node.peers.announce_now.notify_one();
    }
}

/// Applies the upstream rates that another entry announces.
pub(crate) fn receive(node: &Node, entry: &str, rates: &[UpstreamRate]) {
    let now = node.now();
    for rate in rates {
        let started_unix_ms = (rate.born_ms > 0).then_some(rate.born_ms);
        let incarnation = UpstreamIncarnation {
            id: &rate.upstream,
            started_unix_ms,
        };
        let per_s = rate
            .per_s
            .filter(|per_s| per_s.is_finite() && *per_s >= 0.0);
        if per_s.is_none() && rate.per_s.is_some() {
            continue;
        }
        let ago = (rate.asked_ms_ago, rate.heard_ms_ago);
        let changed =
            node.fleet
                .lock()
                .peer_reported_rate(now, incarnation, per_s, ago);
        if changed {
            on_rate_change(node, &rate.upstream, per_s, entry);
        }
    }
}

/// Returns some of the rates to announce to other entries, `limit` at most, in turn by
/// the number of the message.
pub(crate) fn to_announce(
    fleet: &Fleet,
    now: Instant,
    message: u64,
    limit: usize,
) -> Vec<UpstreamRate> {
    let rates = fleet
        .rates_to_announce(now, message, limit)
        .into_iter()
        .map(|(upstream, notice)| UpstreamRate {
            upstream: upstream.record.id.to_string(),
            born_ms: upstream.record.started_unix_ms.unwrap_or(0),
            per_s: notice.per_s,
            asked_ms_ago: now.ms_since(notice.request_sent_at),
            heard_ms_ago: now.ms_since(notice.answered_at),
        });
    rates.collect()
}

/// Updates the token limits after an advertised rate changed, and logs it.
fn on_rate_change(node: &Node, upstream: &str, per_s: Option<f64>, reported_by: &str) {
    update_limits(node);
    node.log.line(
        "upstream_rate",
        json!({ "upstream": upstream, "per_s": per_s, "told_by": reported_by }),
    );
}

/// Sets the token limits to the rates of all upstreams that advertise one.
pub(crate) fn update_limits(node: &Node) {
    let quotas = node.quotas(Scope::Upstreams);
    let limits: Vec<(Arc<str>, RateLimit)> = {
        let fleet = node.fleet.lock();
        let limits = fleet.rate_limits();
        let limits =
            limits.map(|limit| (limit.key, RateLimit::with_min_burst(limit.per_s)));
        limits.collect()
    };
    let limits = limits.iter().map(|(key, limit)| (key, *limit));
    quotas.set_pool_limits(node.now(), limits);
}

/// Removes the tokens of upstreams that are no longer known.
pub(crate) fn expire(node: &Node) {
    node.quotas(Scope::Upstreams).sweep(node.now());
    if !has_no_limits(node) {
        update_limits(node);
    }
}

/// Returns whether no upstream advertises a rate.
pub(crate) fn has_no_limits(node: &Node) -> bool {
    node.quotas(Scope::Upstreams).pools.lock().is_empty()
}

/// Takes one token of the upstream's rate for a request. Returns `None` if the
/// upstream advertises no rate.
///
/// # Errors
///
/// The rate is used up; the upstream is passed over for some time.
pub(crate) async fn acquire(
    node: &Arc<Node>,
    upstream: &Arc<str>,
) -> Result<Option<Charge>, RateExhausted> {
    if has_no_limits(node) {
        return Ok(None);
    }
    let limit = node
        .fleet
        .lock()
        .get(upstream)
        .and_then(Upstream::rate_limit);
    let Some(limit) = limit else {
        return Ok(None);
    };
    let scope = Scope::Upstreams;
    let result = take(node, scope, &limit.key, 1.0).await;
    let retry_after_ms = match result.outcome {
        Some(TakeOutcome::Taken) => {
            let charge = Charge::new(Arc::clone(node), scope, limit.key, 1.0);
            return Ok(Some(charge));
        }
        Some(TakeOutcome::Insufficient { retry_after_ms }) => {
            if result.asked_keeper.is_some() {
                node.quotas(scope).cache_shortage(
                    node.now(),
                    &limit.key,
                    retry_after_ms,
                );
            }
            retry_after_ms
        }
        Some(TakeOutcome::ExceedsLimit | TakeOutcome::Unlimited) | None => {
            UNKNOWN_LIMIT_RETRY_MS
        }
    };
    let until = node.now().plus_ms(retry_after_ms.max(MIN_SKIP_MS));
    if let Some(upstream) = node.fleet.lock().get_mut(upstream) {
        upstream.set_rate_spent_until(until);
    }
    Err(RateExhausted)
}

/// The rate of an upstream is used up.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RateExhausted;
