//! Shares of workspaces in the scarce upstreams of one service.

use base::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Time constant of the decay of recorded costs. Shorter, the few requests of a small
/// workspace would say little about its load; longer, a workspace would still be
/// refused first seconds after its load is back to the usual.
const DECAY_MS: u64 = 3_000;

/// Interval at which the decay is applied. It is short against its time constant, so
/// that the sums are exact within a few percent.
const DECAY_STEP_MS: u64 = 100;

/// Decayed cost that is forgotten, in seconds of the workspace's rate. It is less than
/// any request costs.
const FORGOTTEN_S: f64 = 0.000_1;

/// Most that the decayed costs which peers report add up to, in seconds of a workspace's
/// rate. Its quota admits less: the rate for the time constant, and a burst.
const REPORTED_MAX_S: f64 = 8.0;

/// Time constant of the mean cost of a request.
const MEAN_DECAY_MS: u64 = 30_000;

/// Number of requests from which on the mean cost of a request is known, and with it by
/// how much costs differ by chance.
const REQUESTS_MIN: f64 = 20.0;

/// Mean square of a request's cost over the square of its mean. Most prompts are short
/// and a few are several times as long.
const COST_DISPERSION: f64 = 2.0;

/// Most rounds in which workspaces that send clearly more than the others are found. Each
/// takes the time of one look at all workspaces, and few differ in load so much that
/// another round finds more.
const EXCESS_ROUNDS_MAX: usize = 4;

/// Time for which a refusal for lack of capacity counts as scarcity. At hundreds of
/// entries, the reports of peers renew it each second or two.
const SCARCITY_MS: u64 = 3_000;

/// By how much a workspace must exceed the others, for its weight.
#[derive(Debug, Clone, Copy)]
struct Margin {
    ratio: f64,
    /// Standard deviations of the cost of Poisson arrivals. Decayed sums deviate by 0.7
    /// of them.
    deviations: f64,
    /// Requests, for workspaces that send only a few within the time constant.
    requests: f64,
}

/// Margin of what a workspace sends. Together the three are more than five deviations of
/// the decayed sum, so that a usual load isn't mistaken for a larger one.
const SENT_MARGIN: Margin = Margin {
    ratio: 1.15,
    deviations: 2.0,
    requests: 4.0,
};

/// Margin of what a workspace that sends too much was served. Without one, its last
/// request would be refused where the next one is admitted.
const SERVED_MARGIN: Margin = Margin {
    ratio: 1.0,
    deviations: 0.25,
    requests: 1.0,
};

/// Ranks and uses of the workspaces of one service.
///
/// Ranks are the start tags of start-time fair queueing: a request starts at the finish
/// tag of its workspace's last one or at the virtual time, whichever is later, and
/// finishes by its cost over the workspace's weight later. The weight is the rate of
/// the workspace's quota, so tags are in seconds of that rate. No entry knows which
/// request is served anywhere in the fleet, so the virtual time is not the start tag of
/// that request: it advances by what is served over the weights of the workspaces that
/// send requests.
#[derive(Debug, Default)]
pub(crate) struct FairShare {
    workspaces: BTreeMap<Arc<str>, WorkspaceUse>,
    /// Sum of their weights. It is kept, as each peer's report would sum them up for each
    /// workspace that it names.
    weight: f64,
    virtual_time_s: f64,
    /// Until when the decay was applied.
    decayed_until: Instant,
    /// Decayed number and cost of requests that were sent to upstreams.
    requests: f64,
    cost: f64,
    unreported_requests: u64,
}

/// What one workspace uses of the service.
#[derive(Debug)]
struct WorkspaceUse {
    weight: f64,
    /// Virtual time at which its last request finishes, in seconds of its rate.
    finish_s: f64,
    /// Decayed cost of what was sent to upstreams, by all entries.
    served: f64,
    /// Decayed cost of what was refused, by all entries.
    refused: f64,
    /// When a request was last refused for lack of capacity, at any entry.
    refused_at: Option<Instant>,
    /// When a request was last refused because its workspace is over its share, at any
    /// entry.
    held_back_at: Option<Instant>,
    unreported: Costs,
}

/// Costs of a workspace's requests.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Costs {
    /// Of those sent to an upstream.
    pub(crate) served: f64,
    /// Of those refused for lack of capacity.
    pub(crate) refused: f64,
    /// Of those refused because their workspace is over its share.
    pub(crate) held_back: f64,
}

impl Costs {
    fn is_zero(&self) -> bool {
        self.served + self.refused + self.held_back <= 0.0
    }
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// No workspace's request would be admitted.
    NoCapacity,
    /// Its workspace is over its share.
    OverShare,
}

/// Sums over workspaces that send requests.
#[derive(Debug, Clone, Copy, Default)]
struct Loads {
    weight: f64,
    served: f64,
    sent: f64,
}

impl Loads {
    fn add(&mut self, share: &WorkspaceUse) {
        self.weight += share.weight;
        self.served += share.served;
        self.sent += share.sent();
    }

    /// The sums without a workspace that they include.
    fn without(&self, share: &WorkspaceUse) -> Self {
        Self {
            weight: self.weight - share.weight,
            served: self.served - share.served,
            sent: self.sent - share.sent(),
        }
    }
}

impl WorkspaceUse {
    const fn new(weight: f64) -> Self {
        Self {
            weight,
            finish_s: 0.0,
            served: 0.0,
            refused: 0.0,
            refused_at: None,
            held_back_at: None,
            unreported: Costs {
                served: 0.0,
                refused: 0.0,
                held_back: 0.0,
            },
        }
    }

    fn sent(&self) -> f64 {
        self.served + self.refused
    }

    /// Limits what peers reported to what the quota can have admitted.
    fn limit(&self, reported: f64, known: f64) -> f64 {
        reported.min((REPORTED_MAX_S * self.weight - known).max(0.0))
    }
}

fn is_recent(now: Instant, at: Option<Instant>) -> bool {
    at.is_some_and(|at| now.ms_since(at) < SCARCITY_MS)
}

impl FairShare {
    /// Virtual start of a workspace's next request, in microseconds of its rate; lower
    /// goes first.
    pub(crate) fn rank(&self, workspace: &str) -> u64 {
        let share = self.workspaces.get(workspace);
        let finish_s = share.map_or(0.0, |share| share.finish_s);
        (finish_s.max(self.virtual_time_s) * 1e6) as u64
    }

    /// Records that a request was sent to an upstream.
    pub(crate) fn charge(
        &mut self,
        now: Instant,
        (workspace, weight): (&Arc<str>, f64),
        cost: f64,
    ) {
        let share = self.workspace(now, workspace, weight);
        share.unreported.served += cost;
        self.unreported_requests += 1;
        self.add_requests(1, cost);
        self.add_served(workspace, cost);
    }

    /// Records that a request was refused.
    pub(crate) fn record_refused(
        &mut self,
        now: Instant,
        (workspace, weight): (&Arc<str>, f64),
        cost: f64,
        refusal: Refusal,
    ) {
        let share = self.workspace(now, workspace, weight);
        share.refused += cost;
        match refusal {
            Refusal::NoCapacity => {
                share.refused_at = Some(now);
                share.unreported.refused += cost;
            }
            Refusal::OverShare => {
                share.held_back_at = Some(now);
                share.unreported.held_back += cost;
            }
        }
    }

    /// Adds what a peer reported of a workspace.
    pub(crate) fn add_reported(
        &mut self,
        now: Instant,
        (workspace, weight): (&Arc<str>, f64),
        costs: Costs,
    ) {
        let share = self.workspace(now, workspace, weight);
        if costs.refused > 0.0 {
            share.refused_at = Some(now);
        }
        if costs.held_back > 0.0 {
            share.held_back_at = Some(now);
        }
        share.refused += share.limit(costs.refused + costs.held_back, share.refused);
        let served = share.limit(costs.served, share.served);
        self.add_served(workspace, served);
    }

    /// Adds the number and cost of requests that were sent to upstreams.
    pub(crate) fn add_requests(&mut self, requests: u64, cost: f64) {
        self.requests += requests as f64;
        self.cost += cost;
    }

    fn add_served(&mut self, workspace: &str, cost: f64) {
        let virtual_time_s = self.virtual_time_s;
        if let Some(share) = self.workspaces.get_mut(workspace) {
            share.served += cost;
            let start_s = share.finish_s.max(virtual_time_s);
            share.finish_s = start_s + cost / share.weight;
        }
        if self.weight > 0.0 {
            self.virtual_time_s += cost / self.weight;
        }
    }

    /// Whether a workspace sent clearly more for its weight than the others and was served
    /// more, while requests of others were refused.
    ///
    /// It is compared with the others and not with the mean over all: the mean follows
    /// a workspace that takes most of the capacity. For the same reason, others that send
    /// too much themselves don't count. A larger load shows within a second in what it
    /// sent; what it is served grows only by what the others lose.
    pub(crate) fn is_over_share(&mut self, now: Instant, workspace: &str) -> bool {
        self.decay(now);
        let Some(own) = self.workspaces.get(workspace) else {
            return false;
        };
        if self.requests < REQUESTS_MIN {
            return false;
        }
        let others = self.usual_loads_beside(workspace);
        // Refusing its requests keeps the queue short for the others. It isn't let back
        // in as soon as no one else is refused.
        let is_scarce =
            self.is_another_refused(now, workspace) || is_recent(now, own.held_back_at);
        is_scarce
            && self.exceeds(own.weight, (own.sent(), others.sent), &others, SENT_MARGIN)
            && self.exceeds(
                own.weight,
                (own.served, others.served),
                &others,
                SERVED_MARGIN,
            )
    }

    /// Whether a request of another workspace was refused for lack of capacity.
    fn is_another_refused(&self, now: Instant, workspace: &str) -> bool {
        let mut others = self.workspaces.iter();
        others.any(|(name, share)| {
            **name != *workspace && is_recent(now, share.refused_at)
        })
    }

    /// Sums over the workspaces other than this one that don't send clearly more than the
    /// rest.
    ///
    /// Those that send most are left out first: as long as they count, they make smaller
    /// excesses look usual.
    fn usual_loads_beside(&self, workspace: &str) -> Loads {
        let mut usual = Loads::default();
        let mut counted: Vec<(&str, &WorkspaceUse)> = Vec::new();
        let senders = self
            .workspaces
            .iter()
            .filter(|(_, share)| share.sent() > 0.0);
        for (name, share) in senders {
            usual.add(share);
            counted.push((name, share));
        }
        for _ in 0..EXCESS_ROUNDS_MAX {
            let before = counted.len();
            let of_round = usual;
            counted.retain(|(_, share)| {
                let others = of_round.without(share);
                let costs = (share.sent(), others.sent);
                let is_excessive =
                    self.exceeds(share.weight, costs, &others, SENT_MARGIN);
                if is_excessive {
                    usual = usual.without(share);
                }
                !is_excessive
            });
            if counted.len() == before {
                break;
            }
        }
        let own = counted.iter().find(|(name, _)| *name == workspace);
        own.map_or(usual, |(_, share)| usual.without(share))
    }

    /// Whether the cost of a workspace with this weight exceeds its share of the cost of
    /// the others by a margin.
    fn exceeds(
        &self,
        weight: f64,
        (cost, cost_of_others): (f64, f64),
        others: &Loads,
        margin: Margin,
    ) -> bool {
        if others.weight <= 0.0 {
            return false;
        }
        let ratio = weight / others.weight;
        let share = cost_of_others * ratio;
        let request_cost = self.cost / self.requests;
        let variance = share * request_cost * COST_DISPERSION * (1.0 + ratio);
        let noise =
            margin.deviations * variance.sqrt() + margin.requests * request_cost;
        cost > margin.ratio * share + noise
    }

    /// Returns the costs that were not reported to peers and the number of requests sent
    /// to upstreams, and counts them as reported.
    pub(crate) fn take_unreported(&mut self) -> (Vec<(Arc<str>, Costs)>, u64) {
        let unreported = self.workspaces.iter_mut().map(|(name, share)| {
            (Arc::clone(name), std::mem::take(&mut share.unreported))
        });
        let unreported = unreported.filter(|(_, costs)| !costs.is_zero());
        let requests = std::mem::take(&mut self.unreported_requests);
        (unreported.collect(), requests)
    }

    /// Sets the weights of all workspaces; those without one are removed.
    pub(crate) fn set_weights(&mut self, weight_of: impl Fn(&str) -> Option<f64>) {
        self.workspaces.retain(|name, share| {
            let weight = weight_of(name);
            share.weight = weight.unwrap_or(share.weight);
            weight.is_some()
        });
        self.sum_weights();
    }

    fn sum_weights(&mut self) {
        self.weight = self.workspaces.values().map(|share| share.weight).sum();
    }

    fn workspace(
        &mut self,
        now: Instant,
        workspace: &Arc<str>,
        weight: f64,
    ) -> &mut WorkspaceUse {
        self.decay(now);
        let total_weight = &mut self.weight;
        self.workspaces
            .entry(Arc::clone(workspace))
            .or_insert_with(|| {
                *total_weight += weight;
                WorkspaceUse::new(weight)
            })
    }

    /// Applies the decay since the last call, and removes workspaces about which there
    /// is nothing left to know.
    ///
    /// The lead of a workspace over the virtual time decays alike. Otherwise, one that
    /// used more than the others while nothing was scarce would pay for that later.
    fn decay(&mut self, now: Instant) {
        let steps = now.ms_since(self.decayed_until) / DECAY_STEP_MS;
        if steps == 0 {
            return;
        }
        self.decayed_until = self.decayed_until.plus_ms(steps * DECAY_STEP_MS);
        let decayed_ms = (steps * DECAY_STEP_MS) as f64;
        let mean_factor = (-decayed_ms / MEAN_DECAY_MS as f64).exp();
        self.requests *= mean_factor;
        self.cost *= mean_factor;
        let factor = (-decayed_ms / DECAY_MS as f64).exp();
        let virtual_time_s = self.virtual_time_s;
        self.workspaces.retain(|_, share| {
            let lead_s = (share.finish_s - virtual_time_s).max(0.0);
            share.finish_s = virtual_time_s + lead_s * factor;
            let forgotten = FORGOTTEN_S * share.weight;
            for cost in [&mut share.served, &mut share.refused] {
                *cost *= factor;
                if *cost < forgotten {
                    *cost = 0.0;
                }
            }
            share.sent() > 0.0 || !share.unreported.is_zero()
        });
        self.sum_weights();
    }
}
