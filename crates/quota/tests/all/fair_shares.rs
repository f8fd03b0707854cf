//! Two workspaces send 4.5 times their usual load for six seconds while capacity is
//! short, and entries each see a part of the requests.
//!
//! The load: 16 workspaces, a few of them large, at 0.55 of their quotas, which are
//! enforced. Capacity is 0.9 of the usual load. Requests wait at their entry until they
//! are served or time out. The entry whose request has waited longest is next, and sends
//! whichever of its requests its order puts first.

use base::prelude::*;
use quota::{FairShares, ServiceReport, ShareReport, WorkspaceReport, share_hash};
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::sync::Arc;

const SERVICE: &str = "engines";
const USUAL_LOAD: f64 = 0.55;
const HOT_FACTOR: f64 = 4.5;
const HOT: [usize; 2] = [12, 14];
const HOT_MS: std::ops::Range<u64> = 8_000..14_000;

/// Tokens that the upstreams serve per millisecond.
const CAPACITY: f64 = 741.0 * 0.9;

/// Time for which a request waits, and the queue at which those over their share are
/// refused.
const WAIT_MS: u64 = 375;
const OVER_SHARE_QUEUE_MS: f64 = 187.0;

/// Tokens of a request, 2,400 on average.
const COSTS: [f64; 4] = [900.0, 900.0, 1_800.0, 6_000.0];
const MEAN_COST: f64 = 2_400.0;

/// Share of what they get without the hot workspaces that the others keep. The target
/// holds for any number of entries.
const KEPT_MIN: f64 = 0.95;

/// What a workspace may send in each turn of deficit round robin, in seconds of its rate.
const QUANTUM_S: f64 = 0.02;

/// One in as many reports between entries is lost.
const LOST_ONE_IN: u64 = 10;

#[derive(Debug, Clone, Copy, PartialEq)]
enum Order {
    Arrival,
    DeficitRoundRobin,
    StartTime,
}

/// Quotas in tokens a second. The usual load is 310 requests a second, of which the
/// smallest workspaces send two each.
fn rates() -> Vec<f64> {
    let small = (0..11).map(|index| 8_400.0 + 3_000.0 * f64::from(index));
    let large = [77_000.0, 84_000.0, 153_000.0, 260_000.0, 520_000.0];
    small.chain(large).collect()
}

fn workspace(index: usize) -> Arc<str> {
    format!("w-{index}").into()
}

fn configured() -> FairShares {
    let names: Vec<_> = (0..16).map(workspace).collect();
    let mut shares = FairShares::new();
    shares.configure([&Arc::from(SERVICE)], names.iter().zip(rates()));
    shares
}

/// A request that waits: time of arrival, workspace, cost.
type Waiting = (u64, usize, f64);

struct Entry {
    shares: FairShares,
    waiting: Vec<Waiting>,
    deficits: [f64; 16],
    turn: usize,
}

impl Entry {
    /// Takes the request that is served next.
    fn next(&mut self, order: Order) -> Waiting {
        let position = match order {
            Order::Arrival => Some(0),
            Order::StartTime => (0..self.waiting.len()).min_by_key(|at| {
                let name = workspace(self.waiting[*at].1);
                self.shares.rank(SERVICE, &name)
            }),
            Order::DeficitRoundRobin => loop {
                let turn = self.turn;
                let of_turn = self.waiting.iter().position(|waits| waits.1 == turn);
                let cost = of_turn.map(|at| self.waiting[at].2);
                if cost.is_some_and(|cost| self.deficits[turn] >= cost) {
                    self.deficits[turn] -= cost.unwrap_or_default();
                    break of_turn;
                }
                if of_turn.is_none() {
                    self.deficits[turn] = 0.0;
                }
                self.turn = (turn + 1) % 16;
                self.deficits[self.turn] += rates()[self.turn] * QUANTUM_S;
            },
        };
        self.waiting.remove(position.expect("a request waits"))
    }
}

/// Tokens served by workspace while the hot ones are, and how often a workspace that
/// isn't hot was refused for its share.
fn play(entries: usize, order: Order, hot: &[usize], seed: u64) -> ([f64; 16], usize) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut arrivals: Vec<_> = (0..16)
        .map(|index| Pcg64Mcg::seed_from_u64(100 * seed + index))
        .collect();
    let new_entry = |_| Entry {
        shares: configured(),
        waiting: Vec::new(),
        deficits: [0.0; 16],
        turn: 0,
    };
    let mut all: Vec<Entry> = (0..entries).map(new_entry).collect();
    let mut tokens = rates();
    let (mut served, mut wrongly_refused) = ([0.0; 16], 0);
    let (mut credit, mut queue) = (0.0_f64, 0.0_f64);
    for ms in 0..HOT_MS.end {
        let now = Instant::from_ms(ms);
        for (index, generator) in arrivals.iter_mut().enumerate() {
            let rate = rates()[index];
            let is_hot = hot.contains(&index) && HOT_MS.contains(&ms);
            let factor = if is_hot { HOT_FACTOR } else { 1.0 };
            tokens[index] = (tokens[index] + rate / 1_000.0).min(rate);
            let per_ms = rate * USUAL_LOAD * factor / MEAN_COST / 1_000.0;
            if unit(generator) >= per_ms {
                continue;
            }
            let cost = COSTS[generator.next_u64() as usize % COSTS.len()];
            let entry = &mut all[generator.next_u64() as usize % entries];
            if tokens[index] <= 0.0 {
                continue;
            }
            tokens[index] -= cost;
            let name = workspace(index);
            if order == Order::StartTime
                && queue > CAPACITY * OVER_SHARE_QUEUE_MS
                && entry.shares.is_over_share(now, SERVICE, &name)
            {
                entry.shares.record_held_back(now, SERVICE, &name, cost);
                wrongly_refused += usize::from(!hot.contains(&index));
                continue;
            }
            entry.waiting.push((ms, index, cost));
            queue += cost;
        }
        for entry in &mut all {
            while let Some((at, index, cost)) = entry.waiting.first().copied()
                && ms - at >= WAIT_MS
            {
                entry.waiting.remove(0);
                queue -= cost;
                let name = workspace(index);
                entry.shares.record_refused(now, SERVICE, &name, cost);
            }
        }
        credit = (credit + CAPACITY).min(CAPACITY);
        while credit > 0.0 {
            let waiting = all.iter_mut().filter(|entry| !entry.waiting.is_empty());
            let Some(entry) = waiting.min_by_key(|entry| entry.waiting[0].0) else {
                break;
            };
            let (_, index, cost) = entry.next(order);
            entry.shares.charge(now, SERVICE, &workspace(index), cost);
            credit -= cost;
            queue -= cost;
            if HOT_MS.contains(&ms) {
                served[index] += cost;
            }
        }
        for from in 0..entries {
            let is_due = ms % 1_000 == (from * 1_000 / entries) as u64;
            if order == Order::StartTime && is_due {
                report(&mut all, now, from, &mut random);
            }
        }
    }
    (served, wrongly_refused)
}

/// Sends the report of an entry to the others.
fn report(all: &mut [Entry], now: Instant, from: usize, random: &mut Pcg64Mcg) {
    let report = all[from].shares.report(now, now.as_ms()).cloned();
    let Some(report) = report else { return };
    for (to, entry) in all.iter_mut().enumerate() {
        if to != from && !random.next_u64().is_multiple_of(LOST_ONE_IN) {
            entry.shares.receive(now, &format!("e-{from}"), 1, &report);
        }
    }
}

fn unit(generator: &mut Pcg64Mcg) -> f64 {
    (generator.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
}

/// What the workspaces that aren't hot get beside the hot ones, as a share of what they
/// get without; and how many of their requests were refused for their share.
fn kept(entries: usize, order: Order, seeds: std::ops::Range<u64>) -> (f64, usize) {
    let (mut sums, mut wrongly_refused) = ([0.0; 2], 0);
    for seed in seeds {
        for (sum, hot) in sums.iter_mut().zip([&[][..], &HOT]) {
            let (served, wrong) = play(entries, order, hot, seed);
            let usual = (0..16).filter(|index| !HOT.contains(index));
            *sum += usual.map(|index| served[index]).sum::<f64>();
            wrongly_refused += wrong;
        }
    }
    (sums[1] / sums[0], wrongly_refused)
}

/// Guards against workspaces that lose requests because others send more, against
/// refusing a workspace for noise in its usual load, and against an order that gives
/// less than the two simpler ones.
fn check_kept(entries: usize) {
    let (start_time, wrongly_refused) = kept(entries, Order::StartTime, 1..3);
    let (round_robin, _) = kept(entries, Order::DeficitRoundRobin, 1..2);
    let (arrival, _) = kept(entries, Order::Arrival, 1..2);
    println!("{entries}: {start_time:.3} {round_robin:.3} {arrival:.3}");
    assert!(start_time >= KEPT_MIN, "{start_time}");
    assert!(
        start_time > round_robin.max(arrival) + 0.05,
        "{round_robin} {arrival}"
    );
    assert_eq!(wrongly_refused, 0);
}

#[test]
fn usual_loads_are_served_beside_hot_ones_at_4_entries() {
    check_kept(4);
}

#[test]
fn usual_loads_are_served_beside_hot_ones_at_24_entries() {
    check_kept(24);
}

/// At 300 entries, hardly two requests wait at the same one. The order has no effect, and
/// what the hot workspaces get until the reports show their load is lost to the others.
#[test]
fn usual_loads_are_served_beside_hot_ones_at_300_entries() {
    check_kept(300);
}

/// Guards against a workspace that takes more than its share unnoticed, because a larger
/// one does so as well and lifts what the others send on average. Both send 1.8 times
/// their usual load: their quotas admit no more.
#[test]
fn a_workspace_is_over_its_share_beside_a_larger_one_that_is() {
    let mut shares = configured();
    for ms in (0..6_000).step_by(50) {
        let now = Instant::from_ms(ms);
        for (index, rate) in rates().into_iter().enumerate() {
            let is_hot = HOT.contains(&index);
            let load = if is_hot { 1.0 } else { USUAL_LOAD };
            shares.charge(now, SERVICE, &workspace(index), rate * load / 20.0);
        }
        shares.record_refused(now, SERVICE, &workspace(15), 100.0);
    }
    let now = Instant::from_ms(6_000);
    for index in 0..16 {
        let is_over = shares.is_over_share(now, SERVICE, &workspace(index));
        assert_eq!(is_over, HOT.contains(&index), "{index}");
    }
}

/// A report of one workspace's costs in seconds of its rate.
fn report_on(number: u64, index: usize, served_s: f64, refused_s: f64) -> ShareReport {
    let cost = |seconds: f64| (rates()[index] * seconds) as u64;
    let costs = WorkspaceReport {
        workspace: share_hash(&workspace(index)),
        served: cost(served_s),
        refused: cost(refused_s),
        held_back: 0,
    };
    ShareReport {
        number,
        services: vec![ServiceReport {
            service: share_hash(SERVICE),
            requests: 100,
            workspaces: vec![costs; 40],
        }],
    }
}

/// Shares at an entry of which all large workspaces used a second of their rate, with
/// one refused.
fn scarce() -> FairShares {
    let mut shares = configured();
    for index in 11..16 {
        for _ in 0..20 {
            let cost = rates()[index] / 20.0;
            shares.charge(Instant::ZERO, SERVICE, &workspace(index), cost);
        }
    }
    shares.record_refused(Instant::ZERO, SERVICE, &workspace(11), 2_400.0);
    shares
}

/// Guards against false values of a peer that outlive it: they count within the bounds of
/// a quota, once for each report, and no longer than seconds.
#[test]
fn false_and_repeated_reports_have_a_bounded_effect() {
    let mut shares = scarce();
    let victim = workspace(15);
    assert!(!shares.is_over_share(Instant::ZERO, SERVICE, &victim));
    let before = shares.rank(SERVICE, &victim);
    let mut false_report = report_on(7, 15, 0.5, 0.0);
    false_report.services[0].workspaces.truncate(1);
    shares.receive(Instant::ZERO, "e-1", 1, &false_report);
    let once = shares.rank(SERVICE, &victim);
    assert!(once > before);
    for number in [7, 3] {
        false_report.number = number;
        shares.receive(Instant::ZERO, "e-1", 1, &false_report);
        assert_eq!(shares.rank(SERVICE, &victim), once, "report {number}");
    }
    for number in 8..200 {
        let mut report = report_on(number, 15, 1e12, 1e12);
        report.services[0].requests = u64::MAX;
        shares.receive(Instant::ZERO, "e-1", 1, &report);
    }
    assert!(shares.is_over_share(Instant::ZERO, SERVICE, &victim));
    // The peer stops, and the usual load goes on.
    let mut over_until_ms = 0;
    for ms in (100..20_000).step_by(100) {
        let now = Instant::from_ms(ms);
        for index in 11..16 {
            shares.charge(now, SERVICE, &workspace(index), rates()[index] / 20.0);
        }
        shares.record_refused(now, SERVICE, &workspace(11), 100.0);
        if shares.is_over_share(now, SERVICE, &victim) {
            over_until_ms = ms;
        }
    }
    assert!(over_until_ms < 10_000, "{over_until_ms}");
}

/// Guards against effects of an entry that has no state, of workspaces without a quota,
/// and of costs that aren't positive numbers.
#[test]
fn without_state_or_quotas_no_request_is_behind_another() {
    let mut shares = FairShares::new();
    let name = workspace(0);
    shares.charge(Instant::ZERO, SERVICE, &name, 1e9);
    assert_eq!(shares.rank(SERVICE, &name), 0);
    assert!(shares.report(Instant::ZERO, 1).is_none());
    let mut shares = configured();
    for cost in [f64::NAN, f64::INFINITY, -1.0, 0.0] {
        shares.charge(Instant::ZERO, SERVICE, &name, cost);
        shares.record_refused(Instant::ZERO, SERVICE, &name, cost);
    }
    for index in 0..16 {
        assert_eq!(shares.rank(SERVICE, &workspace(index)), 0);
        let is_over = shares.is_over_share(Instant::ZERO, SERVICE, &workspace(index));
        assert!(!is_over);
    }
    assert!(shares.report(Instant::ZERO, 1).is_none());
}

/// Guards against use that counts twice where the two messages of a round carry it, and
/// against reports of more workspaces than a message has room for.
#[test]
fn a_round_has_one_report() {
    let mut shares = scarce();
    let first = shares.report(Instant::ZERO, 1).cloned().expect("a report");
    assert_eq!(first.services[0].workspaces.len(), 5);
    assert_eq!(shares.report(Instant::from_ms(5), 1), Some(&first));
    assert_eq!(shares.report(Instant::from_ms(200), 2), None);
    assert_eq!(
        shares.report(Instant::from_ms(1_200), 3),
        None,
        "nothing new"
    );
    shares.charge(Instant::from_ms(1_300), SERVICE, &workspace(3), 500.0);
    let later = shares.report(Instant::from_ms(2_400), 4).expect("a report");
    assert!(later.number > first.number);
    assert_eq!(later.services[0].requests, 1);
}
