//! Requests of one service that wait at this entry for a place at an engine.
//!
//! A request that waits at the entry delays nobody. One that waits at an engine is
//! counted in front of all that come later, also of more urgent ones: their engines
//! finish a chunk of it first, and their entries learn of it up to 300 ms late. So only
//! requests that begin in time if they are sent now, and can't wait longer, join an
//! engine's queue. All others wait here, those that can be in time and are more urgent
//! first, until an engine has little left to prefill.

use base::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;

use crate::admission::{AdmissionInput, admit, in_time_until};
use crate::is_patient;

/// Prefill time that an engine may have left when it gets a patient request: one chunk in
/// progress and one that keeps the engine busy until other entries know that it has
/// little left.
const PATIENT_UNREAD_MS: u64 = 160;

/// Share of a patient request's target, in percent, for which it waits for an engine with
/// little left to prefill. Afterwards it joins the queue of an engine where it is in time:
/// engines prefill urgent prompts before it, so that it delays them by one chunk at most.
const PATIENT_WAIT_PERCENT: u64 = 25;

/// Maximum number of requests that wait. Each selects an engine up to 25 times per
/// second: more would take processor time from the requests that are being answered.
/// With fewer, requests are refused that an engine would have had time for.
const WAITERS_MAX: usize = 64;

/// Maximum size of the bodies of waiting requests. They take memory for as long as they
/// wait, and an entry may have little; with less, a few long prompts displace all others.
const WAITING_MAX_BYTES: usize = 8 << 20;

/// Share of the time to its target, in percent, for which a request waits. A caller that
/// is refused then can come back.
const MAX_WAIT_PERCENT: u64 = 50;

/// Latest starts that differ by less are similar: estimates are not more accurate.
const SIMILAR_START_MS: u64 = 100;

/// Interval between two checks of a request that isn't patient.
const PRESSING_CHECK_MS: u64 = 40;

/// Interval between two checks of a patient request. Usage by other entries is known with
/// about this delay.
const CHECK_MS: u64 = 150;

/// Time per entry over which entries spread what they send to a free place, in percent of
/// the mean prefill time. With less, they fill it at once; with more, it stays idle.
const SPREAD_PER_ENTRY_PERCENT: u64 = 50;

/// Maximum time over which they spread it. With more entries, few of them have a request
/// for the same engine.
const SPREAD_MAX_MS: u64 = 800;

/// Number of requests that are woken when an engine has less left to prefill. Its next
/// answer wakes others.
const WAKE_MAX: usize = 2;

/// Maximum share of its remaining time, in percent, after which a refused caller should
/// come back, before the spread. Callers wait for a third of that time at most.
const MAX_RETRY_PERCENT: u64 = 20;

/// Minimum time after which a refused caller should come back.
const MIN_RETRY_AFTER_MS: u64 = 250;

/// A request that waits or may have to.
#[derive(Debug, Clone, Copy)]
pub struct WaitingRequest {
    /// When the request arrived.
    pub arrived_at: Instant,
    /// When it began to wait for a place. It may have waited for its model before.
    pub since: Instant,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Time within which the answer earns its full value.
    pub latency_target_ms: u64,
    /// Time within which it must be expected to be admitted; shorter than the target if
    /// its workspace is over its share. It has no effect on the order.
    pub admitted_target_ms: u64,
    /// Shortest target latency of the service's routes.
    pub urgent_target_ms: u64,
    /// Latest time at which the first part of the answer is of any use.
    pub first_answer_deadline: Instant,
    /// Time that an engine takes to prefill the prompt.
    pub engine_ms: u64,
    /// Rank of the caller among those of one priority and a similar latest start; lower
    /// goes first.
    pub share_rank: u64,
    /// Size of the body.
    pub body_bytes: usize,
}

/// The place at the engine that selection found best for a request.
#[derive(Debug, Clone, Copy)]
pub struct Place<'a> {
    /// The engine.
    pub upstream: &'a Arc<str>,
    /// Expected time for which the prompt waits behind others there.
    pub queue_ms: u64,
    /// Expected time to prefill the prompt.
    pub prefill_ms: u64,
    /// Mean time to prefill a prompt of the route.
    pub mean_prefill_ms: u64,
    /// Time to prefill the prompts there that the request must not delay. Those of the
    /// least urgent priority wait for all others anyway.
    pub unread_ms: u64,
}

/// What a waiting request finds when it checks.
#[derive(Debug, Clone, Copy)]
pub struct WaitCheck<'a> {
    /// The place that selection found best; `None` if all engines are full.
    pub place: Option<Place<'a>>,
    /// Number of entries that send requests to the same engines.
    pub entries: u64,
    /// Rank of its workspace now, as in [`WaitingRequest::share_rank`].
    pub share_rank: u64,
    /// A random number.
    pub random: u64,
}

/// What a request does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlaceDecision {
    /// It is sent to the place.
    Take,
    /// It waits, and checks again after this time unless it is woken earlier.
    Wait(u64),
    /// It is refused, and its caller should come back after this time.
    Refuse(u64),
}

/// Order in which the requests of one priority wait.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum WaitOrder {
    /// By the latest time at which they can begin and be in time.
    #[default]
    LatestStart,
    /// By arrival. For comparison in tests.
    Arrival,
}

/// Identifies a waiting request within its queue.
pub type WaiterId = u64;

/// The requests of one service that wait at this entry.
#[derive(Debug, Default)]
pub struct WaitQueue {
    order: WaitOrder,
    waiters: BTreeMap<WaiterId, Waiter>,
    next_id: WaiterId,
}

#[derive(Debug)]
struct Waiter {
    request: WaitingRequest,
    /// The engine that was best for it at its last check.
    upstream: Option<Arc<str>>,
    /// When it may take the place that it found free, so that not all entries take it at
    /// once.
    take_at: Option<Instant>,
    /// Whether it is to leave because the queue is full of requests before it.
    is_displaced: bool,
}

/// Position in the queue; lower is earlier.
type Rank = (bool, u32, u64, u64, u64);

impl WaitingRequest {
    /// Whether it belongs to a route that waits for the service's urgent ones.
    const fn is_patient(&self) -> bool {
        is_patient(self.latency_target_ms, self.urgent_target_ms)
    }

    /// Latest time at which it can be sent to an idle engine and be in time.
    fn latest_start(&self) -> Instant {
        in_time_until(self.arrived_at, self.latency_target_ms, self.engine_ms)
    }

    /// When it is refused if it found no place.
    fn give_up_at(&self) -> Instant {
        let target_at = self.arrived_at.plus_ms(self.latency_target_ms);
        let end = target_at.min(self.first_answer_deadline);
        let wait_ms = end.ms_since(self.since) * MAX_WAIT_PERCENT / 100;
        self.since.plus_ms(wait_ms)
    }

    /// Position among the waiting requests.
    ///
    /// First come those that are in time only if they are sent within the shortest
    /// target, then the others. Within each, a more urgent priority goes first, and then
    /// the earliest latest start. So none that can wait longer passes a more urgent one.
    fn rank(&self, now: Instant, order: WaitOrder, id: WaiterId) -> Rank {
        let latest_start = self.latest_start();
        let is_pressing = latest_start.ms_since(now) <= self.urgent_target_ms;
        let (start, share) = match order {
            WaitOrder::LatestStart => {
                let start_ms = latest_start.ms_since(Instant::ZERO);
                (start_ms / SIMILAR_START_MS, self.share_rank)
            }
            WaitOrder::Arrival => (self.arrived_at.ms_since(Instant::ZERO), 0),
        };
        (!is_pressing, self.priority, start, share, id)
    }

    /// Whether it can take a place regardless of those that wait: it is admitted there,
    /// and waited long enough if it is patient.
    fn joins_engine_queue(&self, now: Instant, place: &Place<'_>) -> bool {
        let wait_ms = if self.is_patient() {
            self.latency_target_ms * PATIENT_WAIT_PERCENT / 100
        } else {
            0
        };
        let joins_at = self.since.plus_ms(wait_ms).min(self.give_up_at());
        now >= joins_at && self.late_ms(now, place) == 0
    }

    /// Whether it would be too late at the place, whatever the share of its workspace.
    pub fn is_too_late(&self, now: Instant, place: &Place<'_>) -> bool {
        admit(&self.admission(now, place)).is_err()
    }

    /// By how much it would be too late at the place.
    fn late_ms(&self, now: Instant, place: &Place<'_>) -> u64 {
        let admission = self.admission(now, place);
        let within_share = AdmissionInput {
            latency_target_ms: self.admitted_target_ms,
            ..admission
        };
        let admitted = admit(&admission).and_then(|()| admit(&within_share));
        admitted.err().unwrap_or(0)
    }

    /// When its caller should come back if it is refused: when it would no longer be too
    /// late, within the time that the caller would wait, and spread over half as long
    /// again, so that callers don't all return at once.
    fn retry_after_ms(&self, now: Instant, late_ms: u64, random: u64) -> u64 {
        let left_ms = self.first_answer_deadline.ms_since(now);
        let retry_max_ms = left_ms * MAX_RETRY_PERCENT / 100;
        let retry_ms = late_ms.min(retry_max_ms).max(MIN_RETRY_AFTER_MS);
        retry_ms + random % (retry_ms / 2 + 1)
    }

    /// Whether the place is free for a patient request.
    fn finds_free(&self, now: Instant, place: &Place<'_>) -> bool {
        self.is_patient()
            && place.unread_ms <= PATIENT_UNREAD_MS
            && self.late_ms(now, place) == 0
    }

    fn admission(&self, now: Instant, place: &Place<'_>) -> AdmissionInput {
        AdmissionInput {
            now,
            arrived_at: self.arrived_at,
            latency_target_ms: self.latency_target_ms,
            first_answer_deadline: self.first_answer_deadline,
            queue_ms: place.queue_ms,
            prefill_ms: place.prefill_ms,
            mean_prefill_ms: place.mean_prefill_ms,
            is_corrected: true,
            at_engine: true,
        }
    }
}

impl WaitQueue {
    /// Creates an empty queue.
    pub fn new(order: WaitOrder) -> Self {
        Self {
            order,
            ..Self::default()
        }
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Decides whether a request that has not waited here takes a place at once.
    pub fn takes_at_once(
        &self,
        now: Instant,
        request: &WaitingRequest,
        place: &Place<'_>,
    ) -> bool {
        request.joins_engine_queue(now, place)
            || (request.finds_free(now, place)
                && self.is_first(now, request, self.next_id, place.upstream))
    }

    /// Adds a request. If the queue is full, the last in order has to leave.
    ///
    /// # Errors
    ///
    /// The request itself would be the last; its caller should come back after the
    /// returned time.
    pub fn join(
        &mut self,
        now: Instant,
        request: WaitingRequest,
        random: u64,
    ) -> Result<WaiterId, u64> {
        let id = self.next_id;
        let Some(displaced) = self.displaced_by(now, &request, id) else {
            return Err(request.retry_after_ms(now, 0, random));
        };
        for id in displaced {
            if let Some(waiter) = self.waiters.get_mut(&id) {
                waiter.is_displaced = true;
            }
        }
        self.next_id += 1;
        let waiter = Waiter {
            request,
            upstream: None,
            take_at: None,
            is_displaced: false,
        };
        self.waiters.insert(id, waiter);
        Ok(id)
    }

    /// Removes a request, which was sent or refused or whose caller left.
    pub fn leave(&mut self, id: WaiterId) {
        self.waiters.remove(&id);
    }

    /// Decides what a waiting request does.
    pub fn decide(
        &mut self,
        now: Instant,
        id: WaiterId,
        check: &WaitCheck<'_>,
    ) -> PlaceDecision {
        let Some(waiter) = self.waiters.get_mut(&id) else {
            return PlaceDecision::Refuse(MIN_RETRY_AFTER_MS);
        };
        let request = waiter.request;
        let place = check.place.as_ref();
        let upstream = place.map(|place| Arc::clone(place.upstream));
        if waiter.upstream != upstream {
            waiter.take_at = None;
        }
        waiter.upstream = upstream;
        waiter.request.share_rank = check.share_rank;
        let is_displaced = waiter.is_displaced;
        let left_ms = request.give_up_at().ms_since(now);
        if let Some(place) = place.filter(|_| !is_displaced)
            && (request.joins_engine_queue(now, place)
                || self.takes_free_place(now, id, place, check, left_ms))
        {
            return PlaceDecision::Take;
        }
        let late_ms = place.map_or(0, |place| request.late_ms(now, place));
        // The time left shrinks as fast as the queue, so waiting only helps if the engine
        // is ahead of the estimate, or another one has a shorter queue.
        if is_displaced || late_ms >= left_ms {
            let retry_after_ms = request.retry_after_ms(now, late_ms, check.random);
            return PlaceDecision::Refuse(retry_after_ms);
        }
        let check_after_ms = self.check_after_ms(now, id, check.random);
        PlaceDecision::Wait(check_after_ms.min(left_ms))
    }

    /// The requests that should check again at once, as an engine has less left to
    /// prefill.
    pub fn to_wake(&self, now: Instant, upstream: &str) -> Vec<WaiterId> {
        let mut waiting: Vec<_> = self
            .waiters
            .iter()
            .filter(|(_, waiter)| waiter.take_at.is_none() && !waiter.is_displaced)
            .filter(|(_, waiter)| {
                let wanted = waiter.upstream.as_deref();
                wanted.is_none_or(|wanted| wanted == upstream)
            })
            .map(|(id, waiter)| (waiter.request.rank(now, self.order, *id), *id))
            .collect();
        waiting.sort_unstable();
        waiting
            .into_iter()
            .map(|(_, id)| id)
            .take(WAKE_MAX)
            .collect()
    }

    /// The requests that have to leave because the queue is full.
    pub fn displaced(&self) -> impl Iterator<Item = WaiterId> {
        let displaced = self.waiters.iter().filter(|(_, other)| other.is_displaced);
        displaced.map(|(id, _)| *id)
    }

    /// Whether a patient request takes the place now. It does if no request before it
    /// waits for the same engine, and after a random time, so that the entries don't all
    /// send to an engine before they know of one another's requests.
    fn takes_free_place(
        &mut self,
        now: Instant,
        id: WaiterId,
        place: &Place<'_>,
        check: &WaitCheck<'_>,
        left_ms: u64,
    ) -> bool {
        let Some(request) = self.waiters.get(&id).map(|waiter| waiter.request) else {
            return false;
        };
        let is_free = request.finds_free(now, place)
            && self.is_first(now, &request, id, place.upstream);
        let Some(waiter) = self.waiters.get_mut(&id) else {
            return false;
        };
        if !is_free {
            waiter.take_at = None;
            return false;
        }
        let per_entry_ms = place.mean_prefill_ms * SPREAD_PER_ENTRY_PERCENT / 100;
        let spread_ms = (check.entries.saturating_sub(1) * per_entry_ms)
            .min(SPREAD_MAX_MS)
            .min(left_ms / 2);
        let take_at = *waiter
            .take_at
            .get_or_insert_with(|| now.plus_ms(check.random % (spread_ms + 1)));
        now >= take_at
    }

    /// Whether no other request that waits for the engine is before this one.
    fn is_first(
        &self,
        now: Instant,
        request: &WaitingRequest,
        id: WaiterId,
        upstream: &Arc<str>,
    ) -> bool {
        let rank = request.rank(now, self.order, id);
        !self.waiters.iter().any(|(other_id, other)| {
            *other_id != id
                && !other.is_displaced
                && other.upstream.as_ref() == Some(upstream)
                && other.request.rank(now, self.order, *other_id) < rank
        })
    }

    /// The requests after a new one that have to leave so that it fits; `None` if it
    /// doesn't fit even then.
    fn displaced_by(
        &self,
        now: Instant,
        request: &WaitingRequest,
        id: WaiterId,
    ) -> Option<Vec<WaiterId>> {
        let rank = request.rank(now, self.order, id);
        let staying = self.waiters.iter().filter(|(_, other)| !other.is_displaced);
        let mut staying: Vec<_> = staying
            .map(|(id, other)| {
                let other = &other.request;
                (other.rank(now, self.order, *id), *id, other.body_bytes)
            })
            .collect();
        staying.sort_unstable();
        let mut bytes: usize = staying.iter().map(|(.., bytes)| bytes).sum();
        let mut displaced = Vec::new();
        while staying.len() + 1 > WAITERS_MAX
            || bytes + request.body_bytes > WAITING_MAX_BYTES
        {
            let (last_rank, last_id, last_bytes) = staying.pop()?;
            if last_rank < rank {
                return None;
            }
            bytes -= last_bytes;
            displaced.push(last_id);
        }
        Some(displaced)
    }

    /// Time until the next check, with a random part so that entries don't check at the
    /// same moment.
    fn check_after_ms(&self, now: Instant, id: WaiterId, random: u64) -> u64 {
        let Some(waiter) = self.waiters.get(&id) else {
            return 0;
        };
        if let Some(take_at) = waiter.take_at {
            return take_at.ms_since(now).max(1);
        }
        let request = &waiter.request;
        let interval_ms = if request.is_patient() {
            CHECK_MS
        } else {
            PRESSING_CHECK_MS
        };
        interval_ms / 2 + random % interval_ms
    }
}
