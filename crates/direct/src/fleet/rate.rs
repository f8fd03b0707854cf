//! The rate of requests that an upstream asks for in its answers.
//!
//! Answers the load of an upstream in need, which takes fewer requests than its place
//! among the others brings it, whichever entries they come from. Entries hear its
//! answers one by one and tell one another, so what is newer is told by when an answer
//! can have been made, and not by when it came.

use base::prelude::*;
use std::sync::Arc;

use super::{Fleet, Upstream};
use crate::UpstreamIncarnation;

/// Rate that is kept to where an upstream asks for less: without any request no answer
/// would say that the bound has ended.
const MIN_PER_S: f64 = 0.1;

/// Time for which entries tell one another that a bound has ended.
const ENDED_RESEND_MS: u64 = 10_000;

/// Longest time that another entry's message may be on its way, as a slow process takes it
/// up.
const MAX_TRANSIT_MS: u64 = 1_000;

/// What an answer said of the rate that its upstream takes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateNotice {
    /// Requests a second from all entries together; `None` for no bound.
    pub per_s: Option<f64>,
    /// When the request was sent: the answer was made later.
    pub request_sent_at: Instant,
    /// When the answer came: it was made before.
    pub answered_at: Instant,
}

impl RateNotice {
    /// Whether another notice holds in place of this one. Of two answers that may have
    /// overtaken one another the lower bound does, until a later one is heard.
    fn is_replaced_by(&self, other: &Self) -> bool {
        if other.request_sent_at >= self.answered_at {
            return true;
        }
        let is_older = other.answered_at <= self.request_sent_at;
        let bound = |notice: &Self| notice.per_s.unwrap_or(f64::INFINITY);
        !is_older && bound(other) < bound(self)
    }
}

/// A bound on the requests to one start of an upstream.
#[derive(Debug, Clone, PartialEq)]
pub struct RateLimit {
    /// Names the start.
    pub key: Arc<str>,
    /// Requests a second from all entries together.
    pub per_s: f64,
}

impl Upstream {
    /// Requests a second that it asks for.
    pub fn rate_per_s(&self) -> Option<f64> {
        self.rate_notice.and_then(|notice| notice.per_s)
    }

    /// Its bound, where it asks for one.
    pub fn rate_limit(&self) -> Option<RateLimit> {
        let per_s = self.rate_per_s()?.max(MIN_PER_S);
        let born_ms = self.record.started_unix_ms.unwrap_or(0);
        Some(RateLimit {
            key: format!("{}@{born_ms}", self.record.id).into(),
            per_s,
        })
    }

    /// Until when it is sent nothing, as all that it takes was sent.
    pub fn set_rate_spent_until(&mut self, until: Instant) {
        self.rate_spent_until = until;
    }

    /// Whether all that it takes was sent.
    pub fn is_rate_spent(&self, now: Instant) -> bool {
        self.rate_per_s().is_some() && now < self.rate_spent_until
    }

    /// Takes over what an answer said; whether the bound is another one now.
    fn apply_rate_notice(&mut self, notice: RateNotice) -> bool {
        let Some(known) = self.rate_notice else {
            self.rate_notice = notice.per_s.is_some().then_some(notice);
            return self.rate_notice.is_some();
        };
        let before = known.per_s;
        // That a bound has ended is told for a time from when it did.
        let is_news = before.is_some() || notice.per_s.is_some();
        if is_news && known.is_replaced_by(&notice) {
            self.rate_notice = Some(notice);
        }
        self.rate_per_s() != before
    }

    pub(super) fn forget_ended_rate_limit(&mut self, now: Instant) {
        self.rate_notice = self
            .rate_notice
            .filter(|notice| notice.per_s.is_some() || is_current(now, notice));
    }
}

fn is_current(now: Instant, notice: &RateNotice) -> bool {
    notice.per_s.is_some() || now.ms_since(notice.answered_at) < ENDED_RESEND_MS
}

impl Fleet {
    /// An answer of this start said at which rate it takes requests; whether the bound
    /// is another one now.
    pub fn note_rate(
        &mut self,
        start: UpstreamIncarnation<'_>,
        notice: RateNotice,
    ) -> bool {
        self.incarnation_mut(start)
            .is_some_and(|upstream| upstream.apply_rate_notice(notice))
    }

    /// Another entry tells of an answer, with how long ago it was asked for and heard;
    /// whether the bound is another one now.
    pub fn peer_reported_rate(
        &mut self,
        now: Instant,
        start: UpstreamIncarnation<'_>,
        per_s: Option<f64>,
        (asked_ms_ago, heard_ms_ago): (u64, u64),
    ) -> bool {
        let ago = |ms: u64| now - Duration::from_millis(ms);
        let notice = RateNotice {
            per_s,
            request_sent_at: ago(asked_ms_ago.saturating_add(MAX_TRANSIT_MS)),
            answered_at: ago(heard_ms_ago),
        };
        self.note_incarnation(start)
            .is_some_and(|upstream| upstream.apply_rate_notice(notice))
    }

    /// Upstreams that ask for a rate, or did until a moment ago, with what they said.
    pub fn rate_notices(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&Upstream, &RateNotice)> {
        let said = self.all().filter_map(|upstream| {
            let notice = upstream.rate_notice.as_ref()?;
            Some((upstream, notice))
        });
        said.filter(move |(_, notice)| is_current(now, notice))
    }

    /// The bounds of all upstreams.
    pub fn rate_limits(&self) -> impl Iterator<Item = RateLimit> {
        self.all().filter_map(Upstream::rate_limit)
    }
}
