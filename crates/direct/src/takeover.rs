//! Decision whether a request in flight leaves its upstream.
//!
//! Silence of an upstream is a suspicion, not a proof. Steering new requests away costs
//! little if it is wrong. Ending a request that no other upstream can run costs the
//! whole response if it is wrong, and gains nothing if it is right: without it, the
//! caller would wait until the connection breaks, the upstream is known to have
//! restarted, or its own deadline has passed. So a request leaves a silent upstream only
//! if another one can run it.

use crate::RouteKind;

/// A request in flight and what is known about its upstream.
#[derive(Debug, Clone, Copy)]
pub struct InFlightRequest {
    /// Kind of the request's route.
    pub kind: RouteKind,
    /// Whether the incarnation of the upstream that runs the request has ended.
    pub incarnation_ended: bool,
    /// Whether the upstream has been silent for longer than is allowed.
    pub upstream_silent: bool,
    /// Number of upstreams that the request was sent to, including this one.
    pub upstreams: u32,
    /// Maximum number of upstreams that the request may be sent to.
    pub upstreams_max: u32,
}

/// What a request needs to be run by another upstream.
pub trait TakeoverResources {
    /// Whether another upstream could run the request now.
    fn has_alternative(&self) -> bool;

    /// Takes one retry from the budget; returns false if the budget is used up.
    fn take_retry(&mut self) -> bool;
}

/// What happens to a request in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InFlightDecision {
    /// It stays at its upstream.
    Wait,
    /// Its upstream can't complete it any more.
    Ended,
    /// Another upstream runs it. The retry for that was taken from the budget.
    TakeOver,
}

/// Decides whether a request that waits for its upstream stays there.
pub fn decide_in_flight(
    request: &InFlightRequest,
    resources: &mut dyn TakeoverResources,
) -> InFlightDecision {
    if request.incarnation_ended {
        return InFlightDecision::Ended;
    }
    let may_leave = request.upstream_silent
        && request.kind.may_rerun()
        && request.upstreams < request.upstreams_max;
    // The retry is taken last: it can't be returned.
    if may_leave && resources.has_alternative() && resources.take_retry() {
        return InFlightDecision::TakeOver;
    }
    InFlightDecision::Wait
}
