//! How long the streams of each route last, learned from those that ended whole.

use base::prelude::*;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Number of streams of one route that are remembered. With fewer, the high quantile
/// follows single streams; with more, 1,500 routes take more than about a megabyte.
const STREAMS_PER_ROUTE: usize = 32;

/// Number of streams below which the duration of a route's streams is not known. Fewer
/// can all be short ones.
const MIN_STREAMS: usize = 8;

/// Age after which a stream is forgotten. Older ones tell of another load; with a shorter
/// age, nothing is known of routes with few streams.
const MAX_AGE_MS: u64 = 300_000;

/// Share of streams that end within the expected duration, in percent. At the median,
/// half of those that are expected to end before a process exits would be cut off.
const QUANTILE_PERCENT: usize = 90;

/// Share of streams that end within the shortest duration, in percent. At 0, one stream
/// that was unusually short lets none count as unable to end.
const SHORTEST_PERCENT: usize = 10;

/// How long one stream took.
#[derive(Debug, Clone, Copy)]
pub struct StreamTiming {
    /// Time from its arrival to its first event.
    pub first_event_ms: u64,
    /// Time from its first event to its end.
    pub rest_ms: u64,
    /// Number of output tokens that the request asked for; 0 if it doesn't say.
    pub output_tokens: u64,
}

impl StreamTiming {
    /// Duration of a stream like this one that asks for another number of tokens. Only
    /// the time after the first event grows with it.
    fn scaled_ms(&self, output_tokens: u64) -> u64 {
        let rest_ms = if self.output_tokens == 0 || output_tokens == 0 {
            self.rest_ms
        } else {
            self.rest_ms.saturating_mul(output_tokens) / self.output_tokens
        };
        self.first_event_ms.saturating_add(rest_ms)
    }
}

/// Durations of the latest streams of each route.
#[derive(Debug, Default)]
pub struct StreamDurations {
    by_route: BTreeMap<Arc<str>, VecDeque<Observation>>,
}

/// A stream that ended whole. Times and sizes are stored in 32 bits, as there are many.
#[derive(Debug)]
struct Observation {
    ended_at: Instant,
    first_event_ms: u32,
    rest_ms: u32,
    output_tokens: u32,
}

impl Observation {
    fn timing(&self) -> StreamTiming {
        StreamTiming {
            first_event_ms: self.first_event_ms.into(),
            rest_ms: self.rest_ms.into(),
            output_tokens: self.output_tokens.into(),
        }
    }
}

impl StreamDurations {
    /// Creates an empty set, in which no duration is known.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a stream that ended whole.
    pub fn observe(&mut self, now: Instant, route: &Arc<str>, timing: StreamTiming) {
        let small = |number: u64| u32::try_from(number).unwrap_or(u32::MAX);
        let streams = self.by_route.entry(Arc::clone(route)).or_default();
        if streams.len() >= STREAMS_PER_ROUTE {
            streams.pop_front();
        }
        streams.push_back(Observation {
            ended_at: now,
            first_event_ms: small(timing.first_event_ms),
            rest_ms: small(timing.rest_ms),
            output_tokens: small(timing.output_tokens),
        });
    }

    /// Returns the time within which nearly all streams of a route that ask for this many
    /// tokens end, or `None` if too few ended lately.
    pub fn expected_ms(
        &self,
        now: Instant,
        route: &str,
        output_tokens: u64,
    ) -> Option<u64> {
        self.quantile_ms(now, route, output_tokens, QUANTILE_PERCENT)
    }

    /// Returns the time before which nearly none of them ends.
    pub fn shortest_ms(
        &self,
        now: Instant,
        route: &str,
        output_tokens: u64,
    ) -> Option<u64> {
        self.quantile_ms(now, route, output_tokens, SHORTEST_PERCENT)
    }

    fn quantile_ms(
        &self,
        now: Instant,
        route: &str,
        output_tokens: u64,
        percent: usize,
    ) -> Option<u64> {
        let streams = self.by_route.get(route)?.iter();
        let recent =
            streams.filter(|stream| now.ms_since(stream.ended_at) < MAX_AGE_MS);
        let durations_ms =
            recent.map(|stream| stream.timing().scaled_ms(output_tokens));
        let mut durations_ms: Vec<u64> = durations_ms.collect();
        if durations_ms.len() < MIN_STREAMS {
            return None;
        }
        durations_ms.sort_unstable();
        let rank = (durations_ms.len() * percent).div_ceil(100);
        durations_ms.get(rank - 1).copied()
    }

    /// Removes streams that are too old, and routes that the configuration no longer
    /// names.
    pub fn sweep(&mut self, now: Instant, is_named: impl Fn(&str) -> bool) {
        self.by_route.retain(|route, streams| {
            streams.retain(|stream| now.ms_since(stream.ended_at) < MAX_AGE_MS);
            !streams.is_empty() && is_named(route)
        });
    }
}
