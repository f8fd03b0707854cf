//! Checks whether a request in flight should leave its upstream.

use direct::{InFlightDecision, InFlightRequest, TakeoverResources, decide_in_flight};
use std::sync::Arc;

use crate::dispatch::Dispatch;
use crate::in_flight::InFlight;
use crate::state_monitor::log_avoidance_if_changed;

impl Dispatch {
    /// Decides whether a request that waits for its upstream stays there.
    /// `is_overdue` tells whether the request itself has waited long enough for
    /// the upstream's silence to count.
    pub(crate) fn decide_in_flight(
        &self,
        in_flight: &InFlight,
        is_overdue: bool,
    ) -> InFlightDecision {
        let upstream_silent = is_overdue && in_flight.is_silent();
        if upstream_silent {
            log_avoidance_if_changed(&self.node, &in_flight.upstream);
        }
        let route = &self.request.route;
        let request = InFlightRequest {
            kind: route.kind,
            incarnation_ended: in_flight.is_superseded(),
            upstream_silent,
            upstreams: self.upstreams_including(&in_flight.upstream),
            upstreams_max: route.upstreams_max,
        };
        let mut resources = DispatchResources {
            dispatch: self,
            upstream: &in_flight.upstream,
        };
        decide_in_flight(&request, &mut resources)
    }

    /// Returns the number of upstreams that the request was sent to, including
    /// the one that runs it.
    fn upstreams_including(&self, upstream: &Arc<str>) -> u32 {
        let others = self.sent_to.iter().filter(|id| *id != upstream);
        u32::try_from(others.count() + 1).unwrap_or(u32::MAX)
    }
}

/// The alternatives and retries of one dispatch.
struct DispatchResources<'a> {
    dispatch: &'a Dispatch,
    /// Upstream that runs the request.
    upstream: &'a Arc<str>,
}

impl TakeoverResources for DispatchResources<'_> {
    fn has_alternative(&self) -> bool {
        self.dispatch.alternative_to(self.upstream).is_ok()
    }

    fn take_retry(&mut self) -> bool {
        self.dispatch.take_retry(self.dispatch.node.now())
    }
}
