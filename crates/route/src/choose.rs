//! Choice of the holder that a request is sent to.

use base::prelude::*;
use rand_core::Rng;
use rand_pcg::Pcg64Mcg;

use crate::rendezvous::rendezvous_weight;

/// Load bound factor: a holder takes requests of its prefixes up to this
/// multiple of the mean load per place, in percent.
const LOAD_BOUND_PERCENT: u64 = 200;

/// Places below which the load bound does not bite, so that a nearly idle fleet
/// keeps its prefixes together.
const LOAD_BOUND_FLOOR: u64 = 2;

/// Age at which a load hint counts half, the mean of all hints the other half.
const REPORT_HALF_LIFE_MS: u64 = 100;

/// Requests an agent may hold beyond `running_max`, as a divisor of it; one at
/// least.
///
/// A little queue at the upstream keeps its batch full over the time that the
/// next request takes to arrive; more would only wait where it can't be moved.
const QUEUE_DIVISOR: u32 = 8;

/// Ages and places above these count as these, so that no report, however
/// broken, overflows a product of them.
const REPORT_AGE_MAX_MS: u64 = 60_000;
const PLACES_MAX: u32 = 4_096;

/// Fixed point of loads.
const ONE: u64 = 1 << 10;

/// One agent that holds the model, as this entry sees it.
#[derive(Debug, Clone, Copy)]
pub struct Holder<'a> {
    /// Agent beside the upstream.
    pub agent: &'a AgentId,
    /// Failure domain of the agent.
    pub domain: &'a DomainId,
    /// Requests running when the hint was made.
    pub running: u32,
    /// Requests waiting at the upstream when the hint was made.
    pub waiting: u32,
    /// Requests the upstream runs at once.
    pub running_max: u32,
    /// Smoothed duration of one engine step; 0 when not known.
    pub step_time_us: u32,
    /// Age of the hint.
    pub report_age_ms: u64,
    /// This entry's own attempts sent since the hint was made.
    pub sent_since_report: u32,
    /// Whether the agent has been silent for too long.
    pub suspected: bool,
}

/// What the choice depends on besides the holders.
#[derive(Debug, Clone, Copy)]
pub struct RoutingInput<'a> {
    /// Hash of the prompt's prefix; 0 for none.
    pub prefix_hash: u64,
    /// Failure domain of this entry.
    pub domain: &'a DomainId,
    /// Agents the request was sent to already.
    pub excluded: &'a [AgentId],
}

/// Why a holder was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteReason {
    /// It ranks first for the prompt's prefix.
    Prefix,
    /// It ranks first for the prefix among those within the load bound.
    PrefixBounded,
    /// It is the better of two drawn at random.
    TwoChoices,
    /// No other holder has room.
    OnlyHolder,
}

impl RouteReason {
    /// The number used in events.
    pub const fn number(self) -> u32 {
        match self {
            Self::Prefix => 1,
            Self::PrefixBounded => 2,
            Self::TwoChoices => 3,
            Self::OnlyHolder => 4,
        }
    }

    /// Finds a reason by its number.
    pub fn from_number(number: u32) -> Option<Self> {
        const ALL: [RouteReason; 4] = [
            RouteReason::Prefix,
            RouteReason::PrefixBounded,
            RouteReason::TwoChoices,
            RouteReason::OnlyHolder,
        ];
        ALL.into_iter().find(|reason| reason.number() == number)
    }

    /// The word used towards operators.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Prefix => "prefix",
            Self::PrefixBounded => "prefix_bounded",
            Self::TwoChoices => "two_choices",
            Self::OnlyHolder => "only_holder",
        }
    }
}

/// A chosen holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChosenHolder {
    /// Index into the holders given.
    pub index: usize,
    /// Why.
    pub reason: RouteReason,
}

/// Whether a holder can be sent one more request.
pub fn has_capacity(holder: &Holder<'_>) -> bool {
    let places = places(holder);
    let margin = (places / u64::from(QUEUE_DIVISOR)).max(1);
    places > 0 && known_load(holder) < places + margin
}

/// Picks the holder that a request is sent to.
///
/// Returns `None` when no holder that is not excluded has room. A suspected
/// holder is chosen only when no other has room: it may well be alive, and a
/// request sent to a dead one is retried. Nothing is allocated.
pub fn choose_holder(
    holders: &[Holder<'_>],
    input: &RoutingInput<'_>,
    rng: &mut Pcg64Mcg,
) -> Option<ChosenHolder> {
    let view = View::new(holders, input)?;
    if view.count == 1 {
        let index = view.nth(0);
        return Some(ChosenHolder {
            index,
            reason: RouteReason::OnlyHolder,
        });
    }
    if input.prefix_hash != 0 {
        return Some(view.by_prefix(input.prefix_hash));
    }
    Some(view.by_two_choices(rng))
}

/// Requests the upstream runs at once.
fn places(holder: &Holder<'_>) -> u64 {
    u64::from(holder.running_max.min(PLACES_MAX))
}

/// Requests at the holder as far as this entry knows.
fn known_load(holder: &Holder<'_>) -> u64 {
    u64::from(holder.running)
        + u64::from(holder.waiting)
        + u64::from(holder.sent_since_report)
}

/// The holders that may be chosen, and their mean load.
#[derive(Debug)]
struct View<'v, 'a> {
    holders: &'v [Holder<'a>],
    input: &'v RoutingInput<'v>,
    /// Whether only suspected holders are left.
    suspected: bool,
    count: usize,
    /// Mean load per place, times `ONE`.
    mean: u64,
    /// Least step time among the eligible.
    step_floor_us: u64,
}

impl<'v, 'a> View<'v, 'a> {
    fn new(holders: &'v [Holder<'a>], input: &'v RoutingInput<'v>) -> Option<Self> {
        let mut view = Self {
            holders,
            input,
            suspected: false,
            count: 0,
            mean: 0,
            step_floor_us: 1,
        };
        view.measure();
        if view.count == 0 {
            view.suspected = true;
            view.measure();
        }
        (view.count > 0).then_some(view)
    }

    fn eligible(&self, holder: &Holder<'_>) -> bool {
        holder.suspected == self.suspected
            && has_capacity(holder)
            && !self.input.excluded.contains(holder.agent)
    }

    fn measure(&mut self) {
        let (mut count, mut load, mut all_places) = (0, 0, 0);
        let mut step_floor_us = u64::MAX;
        for holder in self.holders.iter().filter(|holder| self.eligible(holder)) {
            count += 1;
            load += known_load(holder);
            all_places += places(holder);
            step_floor_us = step_floor_us.min(step_time_us(holder));
        }
        self.count = count;
        self.mean = load * ONE / all_places.max(1);
        self.step_floor_us = step_floor_us;
    }

    /// Index of the `n`th eligible holder.
    fn nth(&self, n: usize) -> usize {
        let mut eligible = self.holders.iter().enumerate();
        let found = eligible
            .by_ref()
            .filter(|(_, holder)| self.eligible(holder))
            .nth(n);
        found.map_or(0, |(index, _)| index)
    }

    /// Load of a holder, times `ONE`, with an old hint drawn to the mean.
    ///
    /// Own attempts since the hint are known and do not age.
    fn aged_load(&self, holder: &Holder<'_>) -> u64 {
        let hint = (u64::from(holder.running) + u64::from(holder.waiting)) * ONE;
        let mean = self.mean * places(holder);
        let age_ms = holder.report_age_ms.min(REPORT_AGE_MAX_MS);
        let blended = (hint * REPORT_HALF_LIFE_MS + mean * age_ms)
            / (REPORT_HALF_LIFE_MS + age_ms).max(1);
        blended + u64::from(holder.sent_since_report) * ONE
    }

    /// Expected slowness: load per place with one more request, weighted by
    /// step time.
    fn score(&self, holder: &Holder<'_>) -> u64 {
        let load = self.aged_load(holder) + ONE;
        load * step_time_us(holder) / places(holder).max(1)
    }

    fn within_bound(&self, holder: &Holder<'_>) -> bool {
        let slowness = step_time_us(holder).max(1);
        let bound = self.mean * places(holder) * LOAD_BOUND_PERCENT / 100;
        let bound = bound * self.step_floor_us / slowness;
        self.aged_load(holder) < bound.max(LOAD_BOUND_FLOOR * ONE)
    }

    fn by_prefix(&self, prefix_hash: u64) -> ChosenHolder {
        let mut first = (0, 0);
        let mut bounded = None;
        for (index, holder) in self.holders.iter().enumerate() {
            if !self.eligible(holder) {
                continue;
            }
            let weight = rendezvous_weight(prefix_hash, holder.agent.as_str());
            first = first.max((weight, index));
            let candidate = Some((weight, index));
            if candidate > bounded && self.within_bound(holder) {
                bounded = candidate;
            }
        }
        // All can be over the bound only by aged hints; the first is as good.
        let chosen = bounded.unwrap_or(first);
        let reason = if chosen == first {
            RouteReason::Prefix
        } else {
            RouteReason::PrefixBounded
        };
        ChosenHolder {
            index: chosen.1,
            reason,
        }
    }

    fn by_two_choices(&self, rng: &mut Pcg64Mcg) -> ChosenHolder {
        let first = below(rng, self.count);
        let second = (first + 1 + below(rng, self.count - 1)) % self.count;
        let (a, b) = (self.nth(first), self.nth(second));
        ChosenHolder {
            index: self.better(a, b),
            reason: RouteReason::TwoChoices,
        }
    }

    /// The less loaded of two; at equal load the one in this failure domain.
    fn better(&self, a: usize, b: usize) -> usize {
        let key = |index: usize| {
            let holder = &self.holders[index];
            (self.score(holder), holder.domain != self.input.domain)
        };
        if key(b) < key(a) { b } else { a }
    }
}

/// Step time, with one millisecond for a holder that never reported one.
fn step_time_us(holder: &Holder<'_>) -> u64 {
    match holder.step_time_us {
        0 => 1_000,
        us => u64::from(us),
    }
}

/// A number below `bound`, which is above zero.
fn below(rng: &mut Pcg64Mcg, bound: usize) -> usize {
    // The product of a 32-bit number with the bound, divided by 2^32, is spread
    // evenly enough for a choice of holders and needs no division.
    let scaled = u64::from(rng.next_u32()) * bound as u64;
    (scaled >> 32) as usize
}
