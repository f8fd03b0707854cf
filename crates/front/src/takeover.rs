//! Takes over a request from an upstream that has fallen silent.
//!
//! The silent upstream is kept until another one has responded, so that one that
//! refuses the request does not end it. [`direct::decide_in_flight`] decides when
//! another upstream is asked at all.

use base::prelude::*;
use direct::{
    AttemptOutcome, InFlightDecision, InFlightRequest, SelectedUpstream,
    TakeoverResources, decide_in_flight,
};
use futures::FutureExt;
use futures::future::BoxFuture;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::attempt::{AttemptResult, attempt};
use crate::dispatch::Dispatch;
use crate::in_flight::InFlight;
use crate::state::quota::Charge;
use crate::state_monitor::log_avoidance_if_changed;
use crate::upstream_rate;

/// Longest time for which a request is with a second upstream while the first one
/// may still run it. An upstream that refuses a request does so within
/// milliseconds; after this time, running it twice is a waste.
pub(crate) const MAX_OVERLAP: Duration = Duration::from_millis(250);

/// Signals the dispatch that another upstream should run a request. The retry for that
/// was taken from the budget.
#[derive(Debug, Default)]
pub(crate) struct TakeoverSignal {
    is_pending: AtomicBool,
    requested: Notify,
}

impl TakeoverSignal {
    /// Returns whether another upstream is being asked.
    pub(crate) fn is_pending(&self) -> bool {
        self.is_pending.load(Ordering::Relaxed)
    }

    /// Requests a takeover.
    pub(crate) fn request(&self) {
        self.is_pending.store(true, Ordering::Relaxed);
        self.requested.notify_one();
    }

    /// Allows another request, after the last one came to nothing.
    fn reset(&self) {
        self.is_pending.store(false, Ordering::Relaxed);
    }
}

/// An attempt in progress.
struct RunningAttempt<'a> {
    selected: SelectedUpstream,
    started_at: Instant,
    signal: Arc<TakeoverSignal>,
    /// What it takes from its upstream's advertised rate.
    charge: Option<Charge>,
    result: BoxFuture<'a, AttemptResult>,
}

/// An attempt that has ended, with its result; or one that ended before it, of which
/// the result is `None` if it was withdrawn because the silent upstream responded.
#[derive(Debug)]
pub(crate) struct EndedAttempt<R> {
    pub(crate) selected: SelectedUpstream,
    pub(crate) started_at: Instant,
    pub(crate) result: R,
}

impl EndedAttempt<AttemptResult> {
    /// Returns the attempt as one that ended before another.
    fn earlier(self) -> EndedAttempt<Option<AttemptResult>> {
        EndedAttempt {
            selected: self.selected,
            started_at: self.started_at,
            result: Some(self.result),
        }
    }
}

impl<'a> RunningAttempt<'a> {
    fn start(
        dispatch: &'a Dispatch,
        selected: SelectedUpstream,
        mut charge: Option<Charge>,
    ) -> Self {
        // The upstream's rate counts what was sent, whatever came of it.
        if let Some(charge) = &mut charge {
            charge.is_used = true;
        }
        let signal = Arc::<TakeoverSignal>::default();
        let (upstream, attempt_signal) = (selected.clone(), Arc::clone(&signal));
        Self {
            selected,
            started_at: dispatch.node.now(),
            signal,
            charge,
            result: async move { attempt(dispatch, &upstream, &attempt_signal).await }
                .boxed(),
        }
    }

    /// Starts an attempt at an upstream other than `upstream`, which runs the
    /// request; `None` if none may be used now.
    async fn start_elsewhere(
        dispatch: &'a Dispatch,
        upstream: &Arc<str>,
    ) -> Option<Self> {
        let selected = dispatch.alternative_to(upstream).ok()?;
        let charge = upstream_rate::acquire(&dispatch.node, &selected.id).await;
        Some(Self::start(dispatch, selected, charge.ok()?))
    }

    /// Ends the attempt with its result.
    fn end(
        mut self,
        dispatch: &Dispatch,
        result: AttemptResult,
    ) -> EndedAttempt<AttemptResult> {
        if let Some(outcome) = result.failure() {
            dispatch.record_sent_to(&self.selected.id, outcome);
            if let Some(charge) = &mut self.charge {
                charge.is_used = outcome != AttemptOutcome::NotSent;
            }
        }
        EndedAttempt {
            selected: self.selected,
            started_at: self.started_at,
            result,
        }
    }

    fn withdraw(self) -> EndedAttempt<Option<AttemptResult>> {
        EndedAttempt {
            selected: self.selected,
            started_at: self.started_at,
            result: None,
        }
    }
}

/// What happened first while two upstreams have a request.
enum RaceStep {
    /// The attempt at the silent upstream ended.
    Silent(AttemptResult),
    /// The attempt at the other upstream ended.
    Other(AttemptResult),
    /// Neither ended in time.
    OverlapOver,
}

/// Attempts a request at one upstream, and at others for as long as it stays silent.
/// Returns the attempt that ended last, after those that ended before it.
pub(crate) async fn attempt_with_takeover(
    dispatch: &Dispatch,
    selected: SelectedUpstream,
    charge: Option<Charge>,
) -> (
    Vec<EndedAttempt<Option<AttemptResult>>>,
    EndedAttempt<AttemptResult>,
) {
    let mut ended = Vec::new();
    let mut current = RunningAttempt::start(dispatch, selected, charge);
    loop {
        let signal = Arc::clone(&current.signal);
        tokio::select! {
            biased;
            result = &mut current.result => {
                return (ended, current.end(dispatch, result));
            }
            () = signal.requested.notified() => {}
        }
        let running_at = Arc::clone(&current.selected.id);
        let other = RunningAttempt::start_elsewhere(dispatch, &running_at).await;
        let Some(mut other) = other else {
            signal.reset();
            continue;
        };
        let step = tokio::select! {
            biased;
            result = &mut current.result => RaceStep::Silent(result),
            result = &mut other.result => RaceStep::Other(result),
            () = sleep(MAX_OVERLAP) => RaceStep::OverlapOver,
        };
        match step {
            RaceStep::Silent(result) if result.failure().is_none() => {
                ended.push(other.withdraw());
                return (ended, current.end(dispatch, result));
            }
            RaceStep::Silent(result) => {
                ended.push(current.end(dispatch, result).earlier());
                current = other;
            }
            RaceStep::Other(result) if result.failure().is_none() => {
                ended.push(current.end(dispatch, AttemptResult::left()).earlier());
                return (ended, other.end(dispatch, result));
            }
            RaceStep::Other(result) => {
                ended.push(other.end(dispatch, result).earlier());
                signal.reset();
            }
            RaceStep::OverlapOver => {
                ended.push(current.end(dispatch, AttemptResult::left()).earlier());
                current = other;
            }
        }
    }
}

impl Dispatch {
    /// Decides whether a request that waits for its upstream stays there. One that may
    /// crash the upstream as soon as its answer begins doesn't. `is_overdue` tells
    /// whether the request itself has waited long enough for the upstream's silence to
    /// count.
    pub(crate) fn decide_in_flight(
        &self,
        in_flight: &InFlight,
        is_overdue: bool,
    ) -> InFlightDecision {
        if !in_flight.is_answering() && self.refused_part().is_some() {
            return InFlightDecision::Ended;
        }
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
        let attempted = self.attempted.lock();
        let others = attempted.sent_to.iter().filter(|id| *id != upstream);
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
