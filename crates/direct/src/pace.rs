//! Speed of each engine, learned from the times between the events of its streams.
//!
//! Engines of one service may differ in speed by more than two, and nothing declares
//! it. The speed is learned by incarnation and is lost with it.

use base::prelude::*;
use std::collections::VecDeque;

/// Time over which samples are collected: several times as long as a short slowdown,
/// and short enough to notice within seconds that an engine has become slower.
const WINDOW_MS: u64 = 5_000;

/// Age of a computed speed, or of another entry's value, from which it is ignored.
const MAX_AGE_MS: u64 = 10_000;

/// Samples that are collected in each slot of this duration. Otherwise, a stream of many
/// events would fill the window with the samples of one short slowdown.
const SLOT_MS: u64 = 500;
const SAMPLES_PER_SLOT: u32 = 4;

/// Number of samples from which the speed is known.
const MIN_SAMPLES: usize = 4;

/// Time that the samples must span. Short slowdowns end within 0.6 s.
const MIN_SPAN_MS: u64 = 1_000;

/// The rank of the sample that counts, as a divisor of their number: a quarter is lower.
/// The others include prefill steps, short slowdowns, and delays of this entry.
const QUANTILE_DIVISOR: usize = 4;

/// Relative increase of the duration of an engine step by each running request. Without
/// it, engines with many requests look slow; a larger one makes them look fast.
const PER_RUNNING_SHARE: f64 = 0.0022;

/// Interval at which the mean of a service is computed.
pub(crate) const REFRESH_MS: u64 = 500;

/// Number of engines of known speed from which their mean is used.
const MIN_ENGINES: usize = 3;

/// Relative deviation from the mean that isn't told apart from the errors of
/// measurement: such engines count as equal.
const DEAD_BAND: f64 = 1.15;

/// Share of the engines, as a divisor of their number, that is left out at each end when the
/// slowest and the fastest are compared. A few engines of equal speed look slow while they
/// prefill long prompts.
const OUTLIERS_DIVISOR: usize = 6;

/// Ratio of the times of the slowest and the fastest of the other engines from which the
/// engines of a service count as uneven. Below it, all count as equally fast: where
/// engines are equal, busy ones only seem to be slower, because more of their steps
/// prefill prompts.
const UNEVEN_RATIO: f64 = 1.5;

/// Accepted factors. Values outside come from errors of measurement.
const MIN_FACTOR: f64 = 0.2;
const MAX_FACTOR: f64 = 5.0;

/// Number of other entries whose values are kept. Their median doesn't get better with
/// more.
const MAX_PEERS: usize = 16;

/// Number of other entries from which on their values are used as they are. Of fewer, one
/// wrong value moves the median.
const MIN_PEERS: usize = 3;

/// Maximum factor, and the inverse of the minimum one, that fewer other entries are
/// believed. A lower bound hides engines that are slow in truth; with a higher one, a
/// single wrong value keeps requests away from an engine.
const MAX_UNCONFIRMED_FACTOR: f64 = 2.0;

/// Weight of another entry's value relative to one sample of this entry.
const PEER_WEIGHT: f64 = 4.0;

/// Time between two events of the streams of a service's engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct ServicePace {
    /// When it was computed.
    at: Instant,
    /// Mean over the engines, for a step without prefill.
    event_ms: f64,
    is_uneven: bool,
}

impl ServicePace {
    /// Computes the pace of a service from the times of its engines; `None` if too few
    /// are known.
    pub(crate) fn from_engines(now: Instant, mut event_ms: Vec<f64>) -> Option<Self> {
        if event_ms.len() < MIN_ENGINES {
            return None;
        }
        event_ms.sort_by(f64::total_cmp);
        let left_out = event_ms.len() / OUTLIERS_DIVISOR;
        let (fastest, slowest) =
            (event_ms[left_out], event_ms[event_ms.len() - 1 - left_out]);
        Some(Self {
            at: now,
            event_ms: event_ms.iter().sum::<f64>() / event_ms.len() as f64,
            is_uneven: slowest > fastest * UNEVEN_RATIO,
        })
    }
}

/// Time between two events of a stream.
#[derive(Debug, Clone, Copy)]
struct Sample {
    at: Instant,
    event_ms: f64,
    /// Whether no prompt was known to be waiting for prefill.
    without_prefill: bool,
}

/// Another entry's value.
#[derive(Debug, Clone, Copy)]
struct PeerFactor {
    /// Hash of the entry's name.
    peer: u64,
    received_at: Instant,
    factor: f64,
}

/// The speed of one incarnation of an engine.
#[derive(Debug, Default)]
pub(crate) struct Pace {
    samples: VecDeque<Sample>,
    slot: u64,
    samples_in_slot: u32,
    /// Low quantile of the samples, and when it was computed.
    event_ms: Option<(Instant, f64)>,
    service: Option<ServicePace>,
    peers: Vec<PeerFactor>,
}

impl Pace {
    /// Whether another sample is collected now.
    pub(crate) const fn accepts_sample(&self, now: Instant) -> bool {
        now.as_ms() / SLOT_MS != self.slot || self.samples_in_slot < SAMPLES_PER_SLOT
    }

    /// Records the time between two events of a stream, while `running` requests ran and
    /// `unread_tokens` prompt tokens waited for prefill.
    pub(crate) fn record(
        &mut self,
        now: Instant,
        event_ms: f64,
        running: u32,
        unread_tokens: u64,
    ) {
        if !self.accepts_sample(now) {
            return;
        }
        let slot = now.as_ms() / SLOT_MS;
        if slot != self.slot {
            self.slot = slot;
            self.samples_in_slot = 0;
        }
        self.samples_in_slot += 1;
        while let Some(oldest) = self.samples.front()
            && now.ms_since(oldest.at) > WINDOW_MS
        {
            self.samples.pop_front();
        }
        self.samples.push_back(Sample {
            at: now,
            event_ms: event_ms / (1.0 + f64::from(running) * PER_RUNNING_SHARE),
            without_prefill: unread_tokens == 0,
        });
        self.update_event_ms(now);
    }

    /// Updates the quantile, from the samples without prefill if there are enough.
    fn update_event_ms(&mut self, now: Instant) {
        let span_ms = match (self.samples.front(), self.samples.back()) {
            (Some(oldest), Some(newest)) => newest.at.ms_since(oldest.at),
            _ => 0,
        };
        if span_ms < MIN_SPAN_MS {
            // A value from earlier samples is kept until it ages out.
            return;
        }
        let times = |all: bool| {
            let samples = self.samples.iter();
            let counted = samples.filter(move |sample| all || sample.without_prefill);
            counted.map(|sample| sample.event_ms).collect::<Vec<_>>()
        };
        let mut event_ms = times(false);
        if event_ms.len() < MIN_SAMPLES {
            event_ms = times(true);
        }
        if event_ms.len() >= MIN_SAMPLES {
            let rank = event_ms.len() / QUANTILE_DIVISOR;
            let (_, quantile, _) =
                event_ms.select_nth_unstable_by(rank, f64::total_cmp);
            self.event_ms = Some((now, *quantile));
        }
    }

    /// Time between two events, by this entry's streams.
    pub(crate) fn event_ms(&self, now: Instant) -> Option<f64> {
        let (computed_at, event_ms) = self.event_ms?;
        (now.ms_since(computed_at) < MAX_AGE_MS).then_some(event_ms)
    }

    /// Sets the pace of the engine's service.
    pub(crate) const fn set_service(&mut self, service: Option<ServicePace>) {
        self.service = service;
    }

    /// The pace of the service, if it is current.
    fn service(&self, now: Instant) -> Option<&ServicePace> {
        let service = self.service.as_ref();
        service.filter(|service| now.ms_since(service.at) < MAX_AGE_MS)
    }

    /// Sets another entry's factor, named by a hash of the entry's name.
    pub(crate) fn set_peer(&mut self, now: Instant, peer: u64, factor: f64) {
        if !(MIN_FACTOR..=MAX_FACTOR).contains(&factor) {
            return;
        }
        let value = PeerFactor {
            peer,
            received_at: now,
            factor,
        };
        if let Some(known) = self.peers.iter_mut().find(|known| known.peer == peer) {
            *known = value;
        } else if self.peers.len() < MAX_PEERS {
            self.peers.push(value);
        } else if let Some(oldest) =
            self.peers.iter_mut().min_by_key(|known| known.received_at)
        {
            *oldest = value;
        }
    }

    /// The factor by this entry's streams; `None` also where the engines of the service
    /// are about equally fast.
    pub(crate) fn own_factor(&self, now: Instant) -> Option<f64> {
        let service = self.service(now).filter(|service| service.is_uneven)?;
        let mean_ms = service.event_ms;
        let factor = self.event_ms(now)? / mean_ms;
        factor
            .is_finite()
            .then(|| factor.clamp(MIN_FACTOR, MAX_FACTOR))
    }

    /// Time that this engine takes relative to the mean of its service; 1 if unknown.
    pub(crate) fn factor(&self, now: Instant) -> f64 {
        let is_even = self.service(now).is_some_and(|service| !service.is_uneven);
        if is_even && self.event_ms(now).is_some() {
            return 1.0;
        }
        let own = self.own_factor(now);
        let own_weight = own.map_or(0.0, |_| self.samples.len() as f64);
        let (peers, peer_count) = self.peer_median(now);
        let peer_weight = peer_count as f64 * PEER_WEIGHT;
        let weight = own_weight + peer_weight;
        if weight <= 0.0 {
            return 1.0;
        }
        let sum = own.unwrap_or(0.0) * own_weight + peers * peer_weight;
        let factor = sum / weight;
        if (1.0 / DEAD_BAND..=DEAD_BAND).contains(&factor) {
            1.0
        } else {
            factor
        }
    }

    /// Median of other entries' current factors, and their number. Of three or more, one
    /// wrong value doesn't change it much; fewer are bounded.
    fn peer_median(&self, now: Instant) -> (f64, usize) {
        let mut factors = [0.0; MAX_PEERS];
        let mut count = 0;
        let current = self
            .peers
            .iter()
            .filter(|peer| now.ms_since(peer.received_at) < MAX_AGE_MS);
        for (slot, peer) in factors.iter_mut().zip(current) {
            *slot = peer.factor;
            count += 1;
        }
        let factors = &mut factors[..count];
        if count < MIN_PEERS {
            for factor in &mut *factors {
                *factor =
                    factor.clamp(1.0 / MAX_UNCONFIRMED_FACTOR, MAX_UNCONFIRMED_FACTOR);
            }
        }
        factors.sort_unstable_by(f64::total_cmp);
        let median = match factors {
            [] => 1.0,
            factors if count % 2 == 1 => factors[count / 2],
            factors => f64::midpoint(factors[count / 2 - 1], factors[count / 2]),
        };
        (median, count)
    }
}
