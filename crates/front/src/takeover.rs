//! Takes over a request from an upstream that has fallen silent.
//!
//! Silence is a suspicion: a sound upstream may send nothing for a second and go on. So
//! the silent upstream is kept until another one has responded, however long that takes.
//! If it were closed earlier, one that refuses the request late, or is as silent, would
//! end it. [`direct::decide_in_flight`] decides when another upstream is asked at all.

use base::prelude::*;
use direct::{
    AttemptOutcome, InFlightDecision, InFlightRequest, SelectedUpstream,
    TakeoverResources, decide_in_flight,
};
use futures::FutureExt;
use futures::future::{BoxFuture, select_all};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::attempt::{AttemptResult, UpstreamStream, attempt};
use crate::dispatch::Dispatch;
use crate::in_flight::InFlight;
use crate::state::quota::Charge;
use crate::state_monitor::log_avoidance_if_changed;
use crate::upstream_rate;

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
    /// Whether its upstream has sent the head of a stream.
    has_stream: bool,
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
            has_stream: false,
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

/// What happened first to the attempts of a request.
enum RaceStep {
    /// The attempt at this position ended.
    Ended(usize, AttemptResult),
    /// The upstream of the newest attempt is silent.
    Silent,
}

/// The attempts of a request that are in progress, oldest first. There is at least one;
/// the upstreams of all but the newest are silent.
struct AttemptRace<'a> {
    dispatch: &'a Dispatch,
    running: Vec<RunningAttempt<'a>>,
    ended: Vec<EndedAttempt<Option<AttemptResult>>>,
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
    let mut race = AttemptRace {
        dispatch,
        running: vec![RunningAttempt::start(dispatch, selected, charge)],
        ended: Vec::new(),
    };
    loop {
        match race.next_step().await {
            RaceStep::Silent => race.start_elsewhere().await,
            RaceStep::Ended(position, AttemptResult::Stream(stream))
                if race.running.len() > 1 && !race.running[position].has_stream =>
            {
                race.await_first_event(position, stream);
            }
            RaceStep::Ended(position, result) => {
                let is_last = race.running.len() == 1;
                if is_last || result.failure().is_none() {
                    return race.finish(position, result);
                }
                race.remove_failed(position, result);
            }
        }
    }
}

impl<'a> AttemptRace<'a> {
    /// Waits until an attempt ends or another upstream is to be asked.
    async fn next_step(&mut self) -> RaceStep {
        let newest = self.running.last();
        let signal = newest.map(|newest| Arc::clone(&newest.signal));
        let results = self.running.iter_mut().map(|attempt| &mut attempt.result);
        tokio::select! {
            biased;
            (result, position, _) = select_all(results) => {
                RaceStep::Ended(position, result)
            }
            () = requested(signal.as_deref()) => RaceStep::Silent,
        }
    }

    /// Starts an attempt beside those in progress, if another upstream may be used now.
    async fn start_elsewhere(&mut self) {
        let newest = self.running.last();
        let newest = newest.map(|newest| {
            (Arc::clone(&newest.selected.id), Arc::clone(&newest.signal))
        });
        let Some((silent, signal)) = newest else {
            return;
        };
        // The other attempt may not come back to it.
        self.dispatch
            .record_sent_to(&silent, AttemptOutcome::Unknown);
        match RunningAttempt::start_elsewhere(self.dispatch, &silent).await {
            Some(other) => self.running.push(other),
            None => signal.reset(),
        }
    }

    /// Keeps an attempt whose upstream has sent the head of a stream in the race until
    /// that has begun. The head alone is nothing that a caller could be sent.
    fn await_first_event(&mut self, position: usize, mut stream: Box<UpstreamStream>) {
        let dispatch = self.dispatch;
        let remaining_ms = dispatch.request.remaining_ms(dispatch.node.clock);
        let time_limit = Duration::from_millis(remaining_ms);
        let attempt = &mut self.running[position];
        attempt.has_stream = true;
        attempt.result = async move {
            if matches!(timeout(time_limit, stream.has_begun()).await, Ok(true)) {
                return AttemptResult::Stream(stream);
            }
            // The result of the crash check doesn't matter here.
            drop(stream.broken());
            AttemptResult::left()
        }
        .boxed();
    }

    /// Removes an attempt that failed while others are in progress.
    fn remove_failed(&mut self, position: usize, result: AttemptResult) {
        let failed = self.running.remove(position);
        self.ended.push(failed.end(self.dispatch, result).earlier());
        if let Some(newest) = self.running.last() {
            newest.signal.reset();
        }
    }

    /// Ends the race with the result of one attempt. The upstreams that were asked before
    /// it are left; the attempts after it are withdrawn.
    fn finish(
        mut self,
        position: usize,
        result: AttemptResult,
    ) -> (
        Vec<EndedAttempt<Option<AttemptResult>>>,
        EndedAttempt<AttemptResult>,
    ) {
        let later = self.running.split_off(position + 1);
        let last = self.running.remove(position);
        for silent in std::mem::take(&mut self.running) {
            let left = silent.end(self.dispatch, AttemptResult::left());
            self.ended.push(left.earlier());
        }
        for withdrawn in later {
            self.dispatch
                .record_sent_to(&withdrawn.selected.id, AttemptOutcome::Unknown);
            self.ended.push(withdrawn.withdraw());
        }
        let ended = std::mem::take(&mut self.ended);
        (ended, last.end(self.dispatch, result))
    }
}

impl Drop for AttemptRace<'_> {
    /// Records the upstreams of attempts that are dropped before they ended: they may have
    /// run the request, and count among those that it may be sent to.
    fn drop(&mut self) {
        for attempt in &self.running {
            self.dispatch
                .record_sent_to(&attempt.selected.id, AttemptOutcome::Unknown);
        }
    }
}

/// Waits until an attempt requests that another upstream is asked.
async fn requested(signal: Option<&TakeoverSignal>) {
    match signal {
        Some(signal) => signal.requested.notified().await,
        None => std::future::pending().await,
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
        if !in_flight.is_answering() && self.has_crashing_part() {
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
