//! Request rates that upstreams advertise in their responses.
//!
//! A degraded upstream can serve fewer requests than all entries together would send
//! it. Each entry receives only some of its responses, and entries forward the
//! advertised rates to one another. Which of two notices is newer is therefore decided
//! by the time span in which the response was made, not by when it was received.

use base::prelude::*;
use std::cmp::Reverse;
use std::sync::Arc;

use super::turns::in_turn;
use super::{Fleet, Upstream};
use crate::UpstreamIncarnation;

/// Minimum rate that is kept even if an upstream advertises less: without any request,
/// no response would announce the end of the limit.
const MIN_PER_S: f64 = 0.1;

/// Time for which entries tell one another that a limit has ended.
const ENDED_RESEND_MS: u64 = 10_000;

/// Maximum time that a message from another entry may be in transit, including the time
/// until a slow process handles it.
const MAX_TRANSIT_MS: u64 = 1_000;

/// The request rate that a response of an upstream advertised.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateNotice {
    /// Requests per second from all entries together; `None` for no limit.
    pub per_s: Option<f64>,
    /// When the request was sent. The response was made after this.
    pub request_sent_at: Instant,
    /// When the response was received. It was made before this.
    pub answered_at: Instant,
}

impl RateNotice {
    /// Whether another notice replaces this one. If the order of the two responses is
    /// unknown, the lower limit applies until a later response.
    fn is_replaced_by(&self, other: &Self) -> bool {
        if other.request_sent_at >= self.answered_at {
            return true;
        }
        let is_older = other.answered_at <= self.request_sent_at;
        let limit = |notice: &Self| notice.per_s.unwrap_or(f64::INFINITY);
        !is_older && limit(other) < limit(self)
    }
}

/// A limit on the requests to one incarnation of an upstream.
#[derive(Debug, Clone, PartialEq)]
pub struct RateLimit {
    /// Identifies the incarnation.
    pub key: Arc<str>,
    /// Requests per second from all entries together.
    pub per_s: f64,
}

impl Upstream {
    /// Requests per second that the upstream accepts, if it advertises a limit.
    pub fn rate_per_s(&self) -> Option<f64> {
        self.rate_notice.and_then(|notice| notice.per_s)
    }

    /// The limit that is applied, if the upstream advertises one.
    pub fn rate_limit(&self) -> Option<RateLimit> {
        let per_s = self.rate_per_s()?.max(MIN_PER_S);
        let started_unix_ms = self.record.started_unix_ms.unwrap_or(0);
        Some(RateLimit {
            key: format!("{}@{started_unix_ms}", self.record.id).into(),
            per_s,
        })
    }

    /// Sets the time until which no request is sent because the allowed rate is used
    /// up.
    pub fn set_rate_spent_until(&mut self, until: Instant) {
        self.rate_spent_until = until;
    }

    /// Whether the allowed rate is used up.
    pub fn is_rate_spent(&self, now: Instant) -> bool {
        self.rate_per_s().is_some() && now < self.rate_spent_until
    }

    /// Applies the rate of a response. Returns whether the limit has changed.
    fn apply_rate_notice(&mut self, notice: RateNotice) -> bool {
        let Some(current) = self.rate_notice else {
            self.rate_notice = notice.per_s.is_some().then_some(notice);
            return self.rate_notice.is_some();
        };
        let before = current.per_s;
        // The end of a limit is announced for a time after it happened, so a response
        // without a limit is ignored once the end is known.
        let is_relevant = before.is_some() || notice.per_s.is_some();
        if is_relevant && current.is_replaced_by(&notice) {
            self.rate_notice = Some(notice);
        }
        self.rate_per_s() != before
    }

    /// Forgets a limit whose end was announced for long enough.
    pub(super) fn forget_ended_rate_limit(&mut self, now: Instant) {
        self.rate_notice = self
            .rate_notice
            .filter(|notice| notice.per_s.is_some() || is_current(now, notice));
    }
}

/// Whether other entries are still told of a notice.
fn is_current(now: Instant, notice: &RateNotice) -> bool {
    notice.per_s.is_some() || now.ms_since(notice.answered_at) < ENDED_RESEND_MS
}

impl Fleet {
    /// Records the rate that a response of this incarnation advertised. Returns whether
    /// the limit has changed.
    pub fn note_rate(
        &mut self,
        incarnation: UpstreamIncarnation<'_>,
        notice: RateNotice,
    ) -> bool {
        self.incarnation_mut(incarnation)
            .is_some_and(|upstream| upstream.apply_rate_notice(notice))
    }

    /// Handles another entry's report of a response, with the milliseconds since its
    /// request was sent and since it was received. Returns whether the limit has
    /// changed.
    pub fn peer_reported_rate(
        &mut self,
        now: Instant,
        incarnation: UpstreamIncarnation<'_>,
        per_s: Option<f64>,
        (sent_ms_ago, answered_ms_ago): (u64, u64),
    ) -> bool {
        let ago = |ms: u64| now - Duration::from_millis(ms);
        let notice = RateNotice {
            per_s,
            request_sent_at: ago(sent_ms_ago.saturating_add(MAX_TRANSIT_MS)),
            answered_at: ago(answered_ms_ago),
        };
        self.note_incarnation(incarnation)
            .is_some_and(|upstream| upstream.apply_rate_notice(notice))
    }

    /// Upstreams that advertise a rate, or did until recently, with their notices.
    pub fn rate_notices(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&Upstream, &RateNotice)> {
        let notices = self.all().filter_map(|upstream| {
            let notice = upstream.rate_notice.as_ref()?;
            Some((upstream, notice))
        });
        notices.filter(move |(_, notice)| is_current(now, notice))
    }

    /// Those of [`Fleet::rate_notices`] to send in one message: `limit` at most, half of
    /// them the latest, and the others in turn by the number of the message.
    pub fn rates_to_announce(
        &self,
        now: Instant,
        message: u64,
        limit: usize,
    ) -> Vec<(&Upstream, &RateNotice)> {
        let mut announced: Vec<_> = self.rate_notices(now).collect();
        announced.sort_by_key(|(_, notice)| Reverse(notice.answered_at));
        let newest = limit.div_ceil(2).min(announced.len());
        let others = announced.split_off(newest);
        announced.extend(in_turn(&others, message, limit - newest));
        announced
    }

    /// The limits of all upstreams.
    pub fn rate_limits(&self) -> impl Iterator<Item = RateLimit> {
        self.all().filter_map(Upstream::rate_limit)
    }
}
