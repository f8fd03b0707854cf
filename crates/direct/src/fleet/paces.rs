//! Speeds of the engines of each service.

use base::prelude::*;
use std::sync::Arc;

use super::{Fleet, Upstream};
use crate::UpstreamIncarnation;
use crate::pace::{REFRESH_MS, ServicePace};

impl Upstream {
    /// Time that the engine takes relative to the mean of its service: 1 if it is
    /// unknown, and higher if the engine is slower.
    pub fn pace_factor(&self, now: Instant) -> f64 {
        self.pace.factor(now)
    }

    /// This entry's share in the pace factor, for messages to other entries.
    pub fn own_pace_factor(&self, now: Instant) -> Option<f64> {
        self.pace.own_factor(now)
    }
}

impl Fleet {
    /// Records the time between two events of a stream, unless the upstream has
    /// restarted since.
    pub fn record_event(
        &mut self,
        now: Instant,
        incarnation: UpstreamIncarnation<'_>,
        event_ms: f64,
    ) {
        let Some(upstream) = self.incarnation_mut(incarnation) else {
            return;
        };
        if !upstream.pace.accepts_sample(now) {
            return;
        }
        // This sums over all entries, so it is only computed for events that count.
        let usage = upstream.usage(now);
        let unread_tokens = usage.prefill.total_tokens();
        upstream
            .pace
            .record(now, event_ms, usage.running, unread_tokens);
        let service = Arc::clone(&upstream.record.service);
        self.refresh_service_pace(now, &service);
    }

    /// Sets another entry's pace factor of an upstream, in percent. The entry is named
    /// by a hash of its name.
    pub fn set_peer_pace(
        &mut self,
        now: Instant,
        peer: u64,
        incarnation: UpstreamIncarnation<'_>,
        pace_percent: u32,
    ) {
        if let Some(upstream) = self.incarnation_mut(incarnation) {
            upstream
                .pace
                .set_peer(now, peer, f64::from(pace_percent) / 100.0);
        }
    }

    /// Computes the mean pace of a service, if that wasn't done lately.
    fn refresh_service_pace(&mut self, now: Instant, service: &Arc<str>) {
        let refreshed_at = self.paces_refreshed_at.get(service);
        if refreshed_at.is_some_and(|at| now.ms_since(*at) < REFRESH_MS) {
            return;
        }
        self.paces_refreshed_at.insert(Arc::clone(service), now);
        let event_ms = self
            .of_service(service)
            .filter_map(|upstream| upstream.pace.event_ms(now));
        let pace = ServicePace::from_engines(now, event_ms.collect());
        let upstreams = self.upstreams.values_mut();
        for upstream in upstreams.filter(|known| known.record.service == *service) {
            upstream.pace.set_service(pace);
        }
    }
}
