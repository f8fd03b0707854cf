//! Upper bound on the fraction of requests attained, given the demand in advance.
//!
//! The bound is a Lagrangian relaxation. Residency on an accelerator and its batch
//! slots have a price per block of time, and loads have one price for the whole
//! run. Dynamic programming then chooses for each base model when to be resident.
//! For any prices, the total is an upper bound on what any schedule attains under
//! these constraints; a subgradient search looks for prices that make it small.
//! Adapters, running requests that delay an unload, and the batch slots that serve
//! a backlog are ignored, which only raises the bound. Arrivals are averaged over
//! the deadline, because waiting evens them out.

use super::cell::Cell;
use super::setup::Setup;
use super::traffic::{Request, Workload, generate};

/// Length of a block of time with one price.
const BLOCK_S: usize = 10;

/// Iterations of the subgradient search.
const ROUNDS: usize = 250;

/// Prices of the relaxed constraints, the first two per block of time.
struct Prices {
    residency: Vec<f64>,
    batch_slot: Vec<f64>,
    load: f64,
}

/// Use of the priced resources by the schedules of all models.
#[derive(Clone)]
struct Usage {
    residency: Vec<f64>,
    batch_slots: Vec<f64>,
    loads: f64,
}

/// Interactive or batch requests for one base model and its adapters.
struct Demand {
    /// Requests that arrive in each second.
    arrivals: Vec<f64>,
    /// Arrivals averaged over `max_wait_s`.
    smooth: Vec<f64>,
    /// Seconds that a request can wait for the model and still meet its deadline.
    max_wait_s: usize,
}

/// Returns the upper bound on the fraction of requests attained.
pub fn share(setup: &Setup, workload: Workload) -> f64 {
    let requests = generate(setup, workload);
    let seconds = (setup.duration_ms / 1_000) as usize;
    let blocks = seconds.div_ceil(BLOCK_S);
    let demands = demands(setup, &requests, seconds);
    let servers_up = servers_up(setup, workload, seconds);
    let mut prices = Prices {
        residency: vec![0.5; blocks],
        batch_slot: vec![0.0; blocks],
        load: 0.0,
    };
    let mut best = f64::INFINITY;
    for round in 0..ROUNDS {
        let mut used = Usage {
            residency: vec![0.0; blocks],
            batch_slots: vec![0.0; blocks],
            loads: 0.0,
        };
        let mut total: f64 = demands
            .iter()
            .map(|demand| best_schedule(setup, demand, &prices, &mut used))
            .sum();
        let mut server_s = vec![0.0; blocks];
        for (second, count) in servers_up.iter().enumerate() {
            server_s[second / BLOCK_S] += count;
        }
        let bases_per_accelerator = setup.bases_per_accelerator() as f64;
        let batch_slots = setup.slots as f64;
        let loads = setup.loads_per_s * seconds as f64;
        for (block, up_s) in server_s.iter().enumerate() {
            total += prices.residency[block] * up_s * bases_per_accelerator;
            total += prices.batch_slot[block] * up_s * batch_slots;
        }
        total += prices.load * loads;
        best = best.min(total);
        let step = 0.6 / (1.0 + round as f64 / 12.0);
        for (block, up_s) in server_s.iter().enumerate() {
            let excess = used.residency[block] / (up_s * bases_per_accelerator) - 1.0;
            prices.residency[block] =
                (prices.residency[block] + step * excess).max(0.0);
            let excess = used.batch_slots[block] / (up_s * batch_slots) - 1.0;
            prices.batch_slot[block] =
                (prices.batch_slot[block] + step * 0.2 * excess).max(0.0);
        }
        let excess = used.loads / loads - 1.0;
        prices.load = (prices.load + step * excess).max(0.0);
    }
    (best / requests.len() as f64).min(1.0)
}

fn demands(setup: &Setup, requests: &[Request], seconds: usize) -> Vec<Demand> {
    let mut demands = Vec::new();
    for base in 0..setup.bases {
        for batch in [false, true] {
            let mut arrivals = vec![0.0; seconds];
            let base_requests = requests.iter().filter(|request| {
                request.batch == batch && setup.base(request.model) == base
            });
            for request in base_requests {
                arrivals[(request.arrival_ms / 1_000) as usize] += 1.0;
            }
            if arrivals.iter().sum::<f64>() == 0.0 {
                continue;
            }
            let max_wait_ms = if batch {
                setup.batch_ms
            } else {
                setup.interactive_ms
            };
            let shortest_ms = 50 * setup.step_us / 1_000;
            let max_wait_s = max_wait_ms.saturating_sub(shortest_ms).div_ceil(1_000);
            let max_wait_s = max_wait_s as usize;
            demands.push(Demand {
                smooth: smooth(&arrivals, max_wait_s),
                arrivals,
                max_wait_s,
            });
        }
    }
    demands
}

fn smooth(arrivals: &[f64], window_s: usize) -> Vec<f64> {
    (0..arrivals.len())
        .map(|second| {
            let first = second.saturating_sub(window_s.max(1) - 1);
            let window = &arrivals[first..=second];
            window.iter().sum::<f64>() / window.len() as f64
        })
        .collect()
}

/// Number of servers that are up in each second.
fn servers_up(setup: &Setup, workload: Workload, seconds: usize) -> Vec<f64> {
    let mut cell = Cell::new(setup, workload);
    (0..seconds)
        .map(|second| {
            cell.step(second as u64 * 1_000, &[]);
            let servers = cell.servers.iter();
            servers.filter(|s| s.failed_at_ms.is_none()).count() as f64
        })
        .collect()
}

/// Predecessor of a state in the dynamic program: its second and its state.
type Origin = (usize, usize);

/// Returns the value of the best schedule of one model at these prices, and adds
/// the resources that it uses.
fn best_schedule(
    setup: &Setup,
    demand: &Demand,
    prices: &Prices,
    used: &mut Usage,
) -> f64 {
    let seconds = demand.arrivals.len();
    let load_s = (setup.load_ms / 1_000) as usize;
    let resident = demand.max_wait_s + 1;
    let unreachable = f64::NEG_INFINITY;
    // States 0..=max_wait_s count the seconds without the model, up to the longest that
    // matters; the last state, `resident`, means that the model is resident.
    let mut values = vec![vec![unreachable; resident + 1]; seconds + 1];
    let mut origins: Vec<Vec<Origin>> = vec![vec![(0, 0); resident + 1]; seconds + 1];
    values[0][resident] = 0.0;
    values[0][demand.max_wait_s] = 0.0;
    let mut cumulative_arrivals = vec![0.0; seconds + 1];
    for second in 0..seconds {
        cumulative_arrivals[second + 1] =
            cumulative_arrivals[second] + demand.arrivals[second];
    }
    for second in 0..seconds {
        for state in 0..=resident {
            let value = values[second][state];
            if value == unreachable {
                continue;
            }
            let mut update = |at: usize, to: usize, gain: f64| {
                if value + gain > values[at][to] {
                    values[at][to] = value + gain;
                    origins[at][to] = (second, state);
                }
            };
            if state == resident {
                let (gain, _, _) = resident_second(setup, demand, prices, second);
                update(second + 1, resident, gain);
                update(second + 1, 1.min(demand.max_wait_s), 0.0);
                continue;
            }
            update(second + 1, (state + 1).min(demand.max_wait_s), 0.0);
            let ready = second + load_s;
            if ready <= seconds {
                let backlog_s = (state + load_s).min(demand.max_wait_s).min(ready);
                let backlog =
                    cumulative_arrivals[ready] - cumulative_arrivals[ready - backlog_s];
                let slot_price = prices.batch_slot[(ready.min(seconds - 1)) / BLOCK_S];
                let service_s = service_s(setup);
                let gain = backlog * (1.0 - slot_price * service_s).max(0.0);
                let residency_cost: f64 = (second..ready)
                    .map(|second| prices.residency[second / BLOCK_S])
                    .sum();
                update(ready, resident, gain - residency_cost - prices.load);
            }
        }
    }
    let mut state = (0..=resident)
        .max_by(|a, b| values[seconds][*a].total_cmp(&values[seconds][*b]))
        .unwrap_or(0);
    let total = values[seconds][state];
    let mut at = seconds;
    while at > 0 {
        let (second, before) = origins[at][state];
        if state == resident && before == resident {
            let (_, residencies, batch_slots) =
                resident_second(setup, demand, prices, second);
            used.residency[second / BLOCK_S] += residencies;
            used.batch_slots[second / BLOCK_S] += batch_slots;
        } else if state == resident {
            used.loads += 1.0;
            for loading in second..at {
                used.residency[loading / BLOCK_S] += 1.0;
            }
        }
        (at, state) = (second, before);
    }
    total
}

/// Mean time for which a request occupies a batch slot.
fn service_s(setup: &Setup) -> f64 {
    100.0 * setup.step_us as f64 / 1e6
}

/// Returns the value, the accelerators and the batch slots of one second in which
/// the model is resident.
fn resident_second(
    setup: &Setup,
    demand: &Demand,
    prices: &Prices,
    second: usize,
) -> (f64, f64, f64) {
    let residency_price = prices.residency[second / BLOCK_S];
    let slot_price = prices.batch_slot[second / BLOCK_S];
    let service_s = service_s(setup);
    let capacity_per_s = setup.slots as f64 / service_s;
    let arrivals = demand.smooth[second];
    let net_value = 1.0 - slot_price * service_s;
    let served = arrivals.min(capacity_per_s);
    let beyond_capacity = arrivals - served;
    let mut gain = -residency_price;
    let mut batch_slots = 0.0;
    let mut residencies = 1.0;
    if net_value > 0.0 {
        gain += served * net_value;
        batch_slots += served * service_s;
    }
    // Arrivals beyond one accelerator's capacity are served by fractions of further
    // accelerators, if that is worth their price.
    if net_value > residency_price / capacity_per_s {
        gain += beyond_capacity * (net_value - residency_price / capacity_per_s);
        batch_slots += beyond_capacity * service_s;
        residencies += beyond_capacity / capacity_per_s;
    }
    (gain, residencies, batch_slots)
}
