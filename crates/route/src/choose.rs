//! Choice of the agent that a request is sent to.

use base::prelude::*;
use rand_core::Rng;
use rand_pcg::Pcg64Mcg;

use crate::rendezvous::rendezvous_weight;

/// Load per slot, in percent of the mean, up to which a holder is chosen by prompt
/// prefix. Holders slower than the fastest one get a proportionally lower bound.
const LOAD_BOUND_PERCENT: u64 = 200;

/// Number of requests below which the load bound does not apply, so that prefixes
/// stay with their holders when the fleet is nearly idle.
const LOAD_BOUND_FLOOR: u64 = 2;

/// Age at which a load report and the mean of all reports have equal weight.
const REPORT_HALF_LIFE_MS: u64 = 100;

/// Divisor of `running_max` that gives the number of requests an agent may hold
/// beyond it; at least one.
///
/// A short queue at the upstream keeps its batch full while the next request is on
/// its way. Requests in a longer one would wait where they can't be sent elsewhere.
const QUEUE_DIVISOR: u32 = 8;

/// Upper bounds for report ages and slots, so that out-of-range reports do not
/// overflow a product.
const REPORT_AGE_MAX_MS: u64 = 60_000;
const SLOTS_MAX: u32 = 4_096;

/// One request in the fixed-point representation of loads.
const ONE_REQUEST: u64 = 1 << 10;

/// An agent that holds the model, as this entry sees it.
#[derive(Debug, Clone, Copy)]
pub struct Holder<'a> {
    /// Name of the agent.
    pub agent: &'a AgentId,
    /// Failure domain of the agent.
    pub domain: &'a FailureDomainId,
    /// Number of requests running at the time of the last load report.
    pub running: u32,
    /// Number of requests waiting at the upstream at the time of the last load
    /// report.
    pub waiting: u32,
    /// Number of requests that the upstream runs at once.
    pub running_max: u32,
    /// Smoothed duration of one engine step; 0 if unknown.
    pub step_time_us: u32,
    /// Age of the last load report.
    pub report_age_ms: u64,
    /// Number of attempts that this entry has sent since the last load report.
    pub sent_since_report: u32,
    /// Whether the failure detector suspects the agent, because it has been silent
    /// for too long.
    pub suspected: bool,
}

/// Input of the choice besides the holders.
#[derive(Debug, Clone, Copy)]
pub struct RoutingInput<'a> {
    /// Hash of the prompt's prefix; 0 for none.
    pub prefix_hash: u64,
    /// Failure domain of this entry.
    pub domain: &'a FailureDomainId,
    /// Agents that the request has already been sent to.
    pub excluded: &'a [AgentId],
}

/// Why a holder was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteReason {
    /// It ranks first for the prompt's prefix.
    Prefix,
    /// It ranks first for the prefix among the holders within the load bound.
    PrefixBounded,
    /// It is the better of two random holders.
    TwoChoices,
    /// No other holder can accept the request.
    OnlyHolder,
}

impl RouteReason {
    /// Number used in timeline events.
    pub const fn number(self) -> u32 {
        match self {
            Self::Prefix => 1,
            Self::PrefixBounded => 2,
            Self::TwoChoices => 3,
            Self::OnlyHolder => 4,
        }
    }

    /// Returns the reason with this number.
    pub fn from_number(number: u32) -> Option<Self> {
        const ALL: [RouteReason; 4] = [
            RouteReason::Prefix,
            RouteReason::PrefixBounded,
            RouteReason::TwoChoices,
            RouteReason::OnlyHolder,
        ];
        ALL.into_iter().find(|reason| reason.number() == number)
    }

    /// Word shown to operators.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Prefix => "prefix",
            Self::PrefixBounded => "prefix_bounded",
            Self::TwoChoices => "two_choices",
            Self::OnlyHolder => "only_holder",
        }
    }
}

/// The holder that was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChosenHolder {
    /// Index into the given holders.
    pub index: usize,
    /// Why it was chosen.
    pub reason: RouteReason,
}

/// Whether one more request can be sent to a holder.
pub fn has_capacity(holder: &Holder<'_>) -> bool {
    let slots = slots(holder);
    let margin = (slots / u64::from(QUEUE_DIVISOR)).max(1);
    slots > 0 && known_load(holder) < slots + margin
}

/// Chooses the holder that a request is sent to.
///
/// Returns `None` if no holder that is not excluded has capacity. A suspected
/// holder is chosen only if no other has capacity: it may be alive after all, and a
/// request sent to a dead one is retried. Does not allocate.
pub fn choose_holder(
    holders: &[Holder<'_>],
    input: &RoutingInput<'_>,
    rng: &mut Pcg64Mcg,
) -> Option<ChosenHolder> {
    let eligible = EligibleHolders::new(holders, input)?;
    if eligible.count == 1 {
        let index = eligible.nth_eligible(0);
        return Some(ChosenHolder {
            index,
            reason: RouteReason::OnlyHolder,
        });
    }
    if input.prefix_hash != 0 {
        return Some(eligible.choose_by_prefix(input.prefix_hash));
    }
    Some(eligible.choose_by_two_choices(rng))
}

/// Number of requests that the upstream runs at once.
fn slots(holder: &Holder<'_>) -> u64 {
    u64::from(holder.running_max.min(SLOTS_MAX))
}

/// Number of requests at the holder as far as this entry knows.
fn known_load(holder: &Holder<'_>) -> u64 {
    u64::from(holder.running)
        + u64::from(holder.waiting)
        + u64::from(holder.sent_since_report)
}

/// The holders that may be chosen, and their mean load.
#[derive(Debug)]
struct EligibleHolders<'v, 'a> {
    holders: &'v [Holder<'a>],
    input: &'v RoutingInput<'v>,
    /// Whether suspected holders are chosen from, because no other has capacity.
    suspected: bool,
    count: usize,
    /// Mean load per slot, times `ONE_REQUEST`.
    mean_load: u64,
    /// Least step time of the eligible holders.
    min_step_time_us: u64,
}

impl<'v, 'a> EligibleHolders<'v, 'a> {
    fn new(holders: &'v [Holder<'a>], input: &'v RoutingInput<'v>) -> Option<Self> {
        let mut eligible = Self {
            holders,
            input,
            suspected: false,
            count: 0,
            mean_load: 0,
            min_step_time_us: 1,
        };
        eligible.update_totals();
        if eligible.count == 0 {
            eligible.suspected = true;
            eligible.update_totals();
        }
        (eligible.count > 0).then_some(eligible)
    }

    /// Whether a holder may be chosen.
    fn is_eligible(&self, holder: &Holder<'_>) -> bool {
        holder.suspected == self.suspected
            && has_capacity(holder)
            && !self.input.excluded.contains(holder.agent)
    }

    /// Recomputes the totals over the eligible holders.
    fn update_totals(&mut self) {
        let (mut count, mut load, mut all_slots) = (0, 0, 0);
        let mut min_step_time_us = u64::MAX;
        for holder in self
            .holders
            .iter()
            .filter(|holder| self.is_eligible(holder))
        {
            count += 1;
            load += known_load(holder);
            all_slots += slots(holder);
            min_step_time_us = min_step_time_us.min(step_time_us(holder));
        }
        self.count = count;
        self.mean_load = load * ONE_REQUEST / all_slots.max(1);
        self.min_step_time_us = min_step_time_us;
    }

    /// Returns the index of the `n`th eligible holder.
    fn nth_eligible(&self, n: usize) -> usize {
        let mut eligible = self.holders.iter().enumerate();
        let found = eligible
            .by_ref()
            .filter(|(_, holder)| self.is_eligible(holder))
            .nth(n);
        found.map_or(0, |(index, _)| index)
    }

    /// Estimated load of a holder, times `ONE_REQUEST`. The reported load
    /// approaches the mean with the age of the report.
    ///
    /// Attempts that this entry has sent since the report are known and do not age.
    fn estimated_load(&self, holder: &Holder<'_>) -> u64 {
        let reported =
            (u64::from(holder.running) + u64::from(holder.waiting)) * ONE_REQUEST;
        let mean = self.mean_load * slots(holder);
        let age_ms = holder.report_age_ms.min(REPORT_AGE_MAX_MS);
        let estimate = (reported * REPORT_HALF_LIFE_MS + mean * age_ms)
            / (REPORT_HALF_LIFE_MS + age_ms).max(1);
        estimate + u64::from(holder.sent_since_report) * ONE_REQUEST
    }

    /// Estimated slowness: load per slot including the new request, times the step
    /// time.
    fn cost(&self, holder: &Holder<'_>) -> u64 {
        let load = self.estimated_load(holder) + ONE_REQUEST;
        load * step_time_us(holder) / slots(holder).max(1)
    }

    /// Whether a holder's estimated load permits choosing it by prompt prefix.
    fn within_bound(&self, holder: &Holder<'_>) -> bool {
        let slowness = step_time_us(holder).max(1);
        let bound = self.mean_load * slots(holder) * LOAD_BOUND_PERCENT / 100;
        let bound = bound * self.min_step_time_us / slowness;
        self.estimated_load(holder) < bound.max(LOAD_BOUND_FLOOR * ONE_REQUEST)
    }

    /// Chooses the holder that ranks first for the prefix among those within the
    /// load bound.
    fn choose_by_prefix(&self, prefix_hash: u64) -> ChosenHolder {
        let mut first = (0, 0);
        let mut bounded = None;
        for (index, holder) in self.holders.iter().enumerate() {
            if !self.is_eligible(holder) {
                continue;
            }
            let weight = rendezvous_weight(prefix_hash, holder.agent.as_str());
            first = first.max((weight, index));
            let candidate = Some((weight, index));
            if candidate > bounded && self.within_bound(holder) {
                bounded = candidate;
            }
        }
        // All holders can exceed the bound only because of old reports; the first
        // is then as good as any.
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

    /// Chooses the less loaded of two random holders.
    fn choose_by_two_choices(&self, rng: &mut Pcg64Mcg) -> ChosenHolder {
        let first = random_below(rng, self.count);
        let second = (first + 1 + random_below(rng, self.count - 1)) % self.count;
        let (a, b) = (self.nth_eligible(first), self.nth_eligible(second));
        ChosenHolder {
            index: self.less_loaded(a, b),
            reason: RouteReason::TwoChoices,
        }
    }

    /// Returns the holder with the lower cost; of equals, the one in this failure
    /// domain.
    fn less_loaded(&self, a: usize, b: usize) -> usize {
        let key = |index: usize| {
            let holder = &self.holders[index];
            (self.cost(holder), holder.domain != self.input.domain)
        };
        if key(b) < key(a) { b } else { a }
    }
}

/// Step time of a holder; one millisecond if it has never reported one.
fn step_time_us(holder: &Holder<'_>) -> u64 {
    match holder.step_time_us {
        0 => 1_000,
        us => u64::from(us),
    }
}

/// Random number below `bound`, which must not be 0.
fn random_below(rng: &mut Pcg64Mcg, bound: usize) -> usize {
    // Multiplying by the bound and dividing by 2^32 is uniform enough for this
    // choice and needs no division instruction.
    let scaled = u64::from(rng.next_u32()) * bound as u64;
    (scaled >> 32) as usize
}
