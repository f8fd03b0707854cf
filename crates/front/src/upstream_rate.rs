//! Keeps to the rates that upstreams ask for, over all entries together.
//!
//! A rate counts whichever entries the requests come from, some of which may not hear
//! one another. As with workspaces, what may be sent is tokens that all entries make
//! in small parts and that are moved and never copied: the bound holds by the `quota`
//! crate, and an entry that is cut off sends less and not more.

use base::prelude::*;
use direct::{Fleet, RateNotice, Upstream, UpstreamIncarnation};
use quota::{Limit, Take};
use schema::peer::UpstreamRate;
use serde_json::json;
use std::sync::Arc;

use crate::quota::{Scope, take};
use crate::state::Node;
use crate::state::quota::Charge;
use crate::{AdvertisedRate, ResponseHead};

/// When an upstream is asked for again of whose bound its keeper does not know yet.
const UNKNOWN_RETRY_MS: u64 = 100;

/// Shortest time for which an upstream is passed over whose rate is spent.
const SPENT_MIN_MS: u64 = 20;

/// Takes over what an answer of an upstream says of its rate.
///
/// That it asks for none is believed of an answer that it worked out alone: a report, a
/// refusal or a spoilt answer may lack the rate while it holds.
pub(crate) fn learn(
    node: &Node,
    start: UpstreamIncarnation<'_>,
    head: &ResponseHead,
    asked_at: Instant,
) {
    let per_s = match head.rate {
        AdvertisedRate::Unlimited if !head.signed => return,
        AdvertisedRate::Invalid => return,
        AdvertisedRate::PerSecond(per_s) => Some(per_s),
        AdvertisedRate::Unlimited => None,
    };
    if per_s.is_none() && is_unbounded(node) {
        return;
    }
    let heard_at = node.now();
    let notice = RateNotice {
        per_s,
        request_sent_at: asked_at,
        answered_at: heard_at,
    };
    let changed = node.fleet.lock().note_rate(start, notice);
    if changed {
        changed_by(node, start.id, per_s, &node.options.entry);
        node.peers.wake.notify_one();
    }
}

/// Takes over what another entry tells of upstreams' rates.
pub(crate) fn hear(node: &Node, entry: &str, rates: &[UpstreamRate]) {
    let now = node.now();
    for told in rates {
        let born_ms = (told.born_ms > 0).then_some(told.born_ms);
        let start = UpstreamIncarnation {
            id: &told.upstream,
            started_unix_ms: born_ms,
        };
        let per_s = told
            .per_s
            .filter(|per_s| per_s.is_finite() && *per_s >= 0.0);
        if per_s.is_none() && told.per_s.is_some() {
            continue;
        }
        let ago = (told.asked_ms_ago, told.heard_ms_ago);
        let changed = node.fleet.lock().peer_reported_rate(now, start, per_s, ago);
        if changed {
            changed_by(node, &told.upstream, per_s, entry);
        }
    }
}

/// What is told to other entries.
pub(crate) fn told(fleet: &Fleet, now: Instant) -> Vec<UpstreamRate> {
    let rates = fleet
        .rate_notices(now)
        .map(|(upstream, notice)| UpstreamRate {
            upstream: upstream.record.id.to_string(),
            born_ms: upstream.record.started_unix_ms.unwrap_or(0),
            per_s: notice.per_s,
            asked_ms_ago: now.ms_since(notice.request_sent_at),
            heard_ms_ago: now.ms_since(notice.answered_at),
        });
    rates.collect()
}

fn changed_by(node: &Node, upstream: &str, per_s: Option<f64>, told_by: &str) {
    follow(node);
    node.log.line(
        "upstream_rate",
        json!({ "upstream": upstream, "per_s": per_s, "told_by": told_by }),
    );
}

/// Has tokens made for the upstreams that ask for a rate, and for no others.
pub(crate) fn follow(node: &Node) {
    let quotas = node.quotas(Scope::Upstreams);
    let limits: Vec<(Arc<str>, Limit)> = {
        let fleet = node.fleet.lock();
        let limits = fleet.rate_limits();
        let limits = limits.map(|limit| (limit.key, Limit::smooth(limit.per_s)));
        limits.collect()
    };
    let limits = limits.iter().map(|(key, limit)| (key, *limit));
    quotas.set_bounds(node.now(), limits);
}

/// Forgets the tokens of upstreams that are not known any more.
pub(crate) fn sweep(node: &Node) {
    node.quotas(Scope::Upstreams).sweep(node.now());
    if !is_unbounded(node) {
        follow(node);
    }
}

/// Whether no upstream asks for a rate.
fn is_unbounded(node: &Node) -> bool {
    node.quotas(Scope::Upstreams).pools.lock().is_empty()
}

/// Takes what a request to an upstream costs of its rate; nothing where it asks for
/// none.
///
/// # Errors
///
/// All that it takes was sent, and it is passed over for a time.
pub(crate) async fn admit(
    node: &Arc<Node>,
    upstream: &Arc<str>,
) -> Result<Option<Charge>, RateSpent> {
    if is_unbounded(node) {
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
    let taken = take(node, scope, &limit.key, 1.0).await;
    let return_ms = match taken.take {
        Some(Take::Taken) => {
            let charge = Charge::new(Arc::clone(node), scope, limit.key, 1.0);
            return Ok(Some(charge));
        }
        Some(Take::Short { return_ms }) => {
            if taken.asked.is_some() {
                node.quotas(scope)
                    .note_short(node.now(), &limit.key, return_ms);
            }
            return_ms
        }
        Some(Take::Never | Take::Unbounded) | None => UNKNOWN_RETRY_MS,
    };
    let until = node.now().plus_ms(return_ms.max(SPENT_MIN_MS));
    if let Some(upstream) = node.fleet.lock().get_mut(upstream) {
        upstream.set_rate_spent_until(until);
    }
    Err(RateSpent)
}

/// An upstream was sent all that it takes.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RateSpent;
