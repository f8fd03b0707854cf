//! Cost of events in the state machine of the entry.

use super::entry_harness::{EntryHarness, encode_frame};
use super::messages::{self, Fleet, PEER};
use super::sampling::{measure_at_sizes, median_batch_ns, median_ns};
use crate::fit::{Growth, Series};
use base::prelude::*;
use role::Peer;
use role::entry::{EntryAction, EntryEvent};
use schema::link::{Demand, Heartbeat, frame};
use std::hint::black_box;

/// Numbers of agents; the directory holds 4,096 at most.
const AGENT_COUNTS: [usize; 5] = [16, 128, 512, 1_024, 4_096];
const PLAN_AGENTS: [usize; 4] = [16, 128, 512, 1_024];
const MODEL_COUNTS: [usize; 4] = [25, 100, 400, 1_600];
/// Numbers of entries; the table of entries holds 256 at most.
const ENTRY_COUNTS: [usize; 4] = [4, 16, 64, 256];
const HOLDER_COUNTS: [usize; 5] = [1, 8, 64, 256, 512];
const LOST_COUNTS: [usize; 4] = [16, 64, 256, 1_024];
const LOST_OUT_OF: usize = 2_048;

fn series(
    name: &'static str,
    size_of: &'static str,
    sizes: &[usize],
    cost: impl FnMut(usize) -> f64,
) -> Series {
    Series {
        name,
        size_of,
        unit: "ns",
        growth: Growth::PowerLaw,
        samples: measure_at_sizes(sizes, cost),
    }
}

/// Duration of handling one heartbeat of a known agent, from its bytes.
pub fn heartbeat() -> Series {
    let cost = |agents: usize| {
        let mut harness = EntryHarness::new(&Fleet::with_models(200));
        harness.add_agents(agents, 4, 200);
        let heartbeats: Vec<_> = (0..201)
            .map(|index| {
                messages::heartbeat(index * 7 % agents, 2 + index as u64, 4, 200)
            })
            .map(|heartbeat| {
                (
                    agent_peer(&heartbeat),
                    encode_frame(frame::Body::Heartbeat(heartbeat)),
                )
            })
            .collect();
        median_ns(heartbeats.len(), |index| {
            let (peer, bytes) = &heartbeats[index];
            black_box(harness.receive_frame_bytes(peer, bytes));
        })
    };
    Series {
        // Each heartbeat checks the liveness of every agent, so the cost is
        // linear.
        growth: Growth::Linear,
        ..series("entry: heartbeat", "agents known", &AGENT_COUNTS, cost)
    }
}

fn agent_peer(heartbeat: &Heartbeat) -> Peer {
    Peer::Agent(AgentId::new(&heartbeat.agent))
}

/// Median duration of handling one gossip message of a peer, from its bytes.
fn gossip_ns(
    harness: &mut EntryHarness,
    rounds: usize,
    build: impl Fn(u64) -> (Vec<Heartbeat>, Vec<Demand>),
) -> f64 {
    harness.add_entry(2);
    let peer = Peer::Entry(EntryId::new(PEER));
    let gossips: Vec<Vec<u8>> = (0..rounds as u64)
        .map(|round| {
            let (heartbeats, demands) = build(round + 2);
            let gossip = messages::gossip(PEER, round + 2, heartbeats, demands);
            encode_frame(frame::Body::Gossip(gossip))
        })
        .collect();
    median_ns(rounds, |round| {
        black_box(harness.receive_frame_bytes(&peer, &gossips[round]));
    })
}

/// Duration of handling a gossip message with a new heartbeat of each known
/// agent.
pub fn gossip_agents() -> Series {
    series(
        "entry: gossip of heartbeats",
        "heartbeats",
        &AGENT_COUNTS,
        |agents| {
            let mut harness = EntryHarness::new(&Fleet::with_models(200));
            harness.add_agents(agents, 4, 200);
            let heartbeat =
                |index, sequence| messages::heartbeat(index, sequence, 4, 200);
            gossip_ns(&mut harness, 5, |sequence| {
                let heartbeats = (0..agents).map(|index| heartbeat(index, sequence));
                (heartbeats.collect(), Vec::new())
            })
        },
    )
}

/// The same if all heartbeats are already known, as most are when every entry
/// sends gossip to every other.
pub fn gossip_known() -> Series {
    series(
        "entry: gossip of known heartbeats",
        "heartbeats",
        &AGENT_COUNTS,
        |agents| {
            let mut harness = EntryHarness::new(&Fleet::with_models(200));
            harness.add_agents(agents, 4, 200);
            gossip_ns(&mut harness, 15, |_| {
                let heartbeats =
                    (0..agents).map(|index| messages::heartbeat(index, 1, 4, 200));
                (heartbeats.collect(), Vec::new())
            })
        },
    )
}

/// Duration of handling a gossip message with the demand for each model.
pub fn gossip_demands() -> Series {
    series(
        "entry: gossip of demands",
        "models",
        &MODEL_COUNTS,
        |models| {
            let mut harness = EntryHarness::new(&Fleet::with_models(models));
            gossip_ns(&mut harness, 51, |_| {
                (Vec::new(), (0..models).map(messages::demand).collect())
            })
        },
    )
}

/// Duration of a heartbeat tick that sends one peer a new heartbeat of each
/// agent.
pub fn tick_by_agents() -> Series {
    series(
        "entry: own tick, one peer",
        "agents known",
        &AGENT_COUNTS,
        |agents| own_tick(agents, 1),
    )
}

/// The same with 64 agents, against the number of peers.
pub fn tick_by_entries() -> Series {
    series(
        "entry: own tick, 64 agents",
        "entries",
        &ENTRY_COUNTS,
        |entries| own_tick(TICK_AGENTS, entries),
    )
}

/// Agents in the measurement of the tick against entries.
pub const TICK_AGENTS: usize = 64;

/// Duration of a heartbeat tick: the liveness of all agents is checked, and
/// gossip with one heartbeat of each is built, copied and encoded for each
/// peer. The tick also makes a plan, without any demand.
fn own_tick(agents: usize, entries: usize) -> f64 {
    let mut harness = EntryHarness::new(&Fleet::with_models(200));
    harness.add_agents(agents, 4, 200);
    (0..entries).for_each(|index| harness.add_entry(index + 1));
    let mut times_ns = Vec::new();
    for round in 0..3 {
        harness.now = harness.now.plus_ms(500);
        for index in 0..agents {
            harness.receive_heartbeat(messages::heartbeat(index, round + 2, 4, 200));
        }
        times_ns.push(median_ns(1, |_| {
            for action in harness.handle(EntryEvent::Tick) {
                if let EntryAction::SendFrame { body, .. } = action {
                    black_box(encode_frame(body));
                }
            }
        }));
    }
    times_ns.sort_by(f64::total_cmp);
    times_ns[1]
}

/// Duration of planning at an entry that shares the cells with one other entry,
/// against agents.
pub fn plan_by_agents() -> Series {
    series(
        "entry: plan, 200 models",
        "agents known",
        &PLAN_AGENTS,
        |agents| plan_ns(agents, 200),
    )
}

/// The same against the models with demand.
pub fn plan_by_models() -> Series {
    series(
        "entry: plan, 512 agents",
        "models",
        &MODEL_COUNTS,
        |models| plan_ns(512, models),
    )
}

/// Duration of a tick that makes a plan. It includes the liveness check of all
/// agents, which is small in comparison.
fn plan_ns(agents: usize, models: usize) -> f64 {
    median_tick_ns(3, || {
        let mut harness = EntryHarness::new(&Fleet::with_models(models));
        harness.add_agents(agents, 4, models);
        let demands = (0..models).map(messages::demand).collect();
        harness.add_entry(2);
        harness.receive_gossip(messages::gossip(PEER, 2, Vec::new(), demands));
        harness.now = harness.now.plus_ms(600);
        harness
    })
}

fn median_tick_ns(rounds: usize, build: impl Fn() -> EntryHarness) -> f64 {
    let mut harnesses: Vec<EntryHarness> = (0..rounds).map(|_| build()).collect();
    median_ns(rounds, |index| {
        black_box(harnesses[index].handle(EntryEvent::Tick));
    })
}

/// Duration of a request from its arrival to its end, without answer parts.
pub fn request() -> Series {
    series("entry: request", "holders", &HOLDER_COUNTS, |holders| {
        let mut harness = EntryHarness::new(&Fleet::with_models(4));
        harness.add_agents(holders, 4, 4);
        median_batch_ns(11, 200, |_| {
            let (_, run, agent) = harness.receive_request(&messages::model(0));
            let (run, agent) = (
                run.expect("a slot is free"),
                agent.expect("the model has a holder"),
            );
            black_box(harness.complete_run(&agent, &run, 0));
        })
    })
}

/// Duration of handling one answer part, against the requests in progress.
pub fn part() -> Series {
    series(
        "entry: part of an answer",
        "requests running",
        &LOST_COUNTS,
        |running| {
            let mut harness = EntryHarness::new(&Fleet::with_models(4));
            harness.add_agents(64, 4, 4);
            let runs: Vec<_> = (0..running)
                .map(|_| harness.receive_request(&messages::model(0)))
                .filter_map(|(_, run, agent)| Some((run?, agent?)))
                .collect();
            median_batch_ns(11, 500, |index| {
                let (run, agent) = &runs[index % runs.len()];
                black_box(harness.receive_part(
                    agent,
                    run,
                    (index / runs.len()) as u64,
                ));
            })
        },
    )
}

/// Number of timeline events that a request with 100 answer parts records.
pub fn events_per_request() -> usize {
    let mut harness = EntryHarness::new(&Fleet::with_models(4));
    harness.add_agents(8, 4, 4);
    let (events, run, agent) = harness.receive_request(&messages::model(0));
    let (run, agent) = (
        run.expect("a slot is free"),
        agent.expect("the model has a holder"),
    );
    events + harness.complete_run(&agent, &run, 100)
}

/// Duration of the tick at which many of 2,048 agents count as lost at once,
/// with as many requests in flight as there are agents.
pub fn agents_lost() -> Series {
    series(
        "entry: agents lost at once",
        "agents lost",
        &LOST_COUNTS,
        |lost| {
            let mut harnesses: Vec<EntryHarness> =
                (0..3).map(|_| harness_with_lost_agents(lost)).collect();
            let cost = median_ns(3, |index| {
                black_box(harnesses[index].handle(EntryEvent::Tick));
            });
            let counters = harnesses[0].role.counters();
            let up = usize::try_from(counters.agents_up).unwrap_or(0);
            assert!(up <= LOST_OUT_OF - lost, "{up} agents count as up");
            cost
        },
    )
}

/// Models in the document for the measurement of lost agents.
const LOST_MODELS: usize = 200;
/// The other agents send a heartbeat this long after the lost ones did; the
/// lost ones count as lost a moment later, after ten heartbeat intervals.
const OTHERS_HEARTBEAT_MS: u64 = 4_900;
const LOST_TICK_DELAY_MS: u64 = 200;

fn harness_with_lost_agents(lost: usize) -> EntryHarness {
    let mut harness = EntryHarness::new(&Fleet::with_models(LOST_MODELS));
    harness.add_agents(LOST_OUT_OF, 4, LOST_MODELS);
    for index in 0..LOST_OUT_OF {
        harness.receive_request(&messages::model(index % LOST_MODELS));
    }
    harness.advance(OTHERS_HEARTBEAT_MS);
    for index in lost..LOST_OUT_OF {
        harness.receive_heartbeat(messages::heartbeat(index, 2, 4, LOST_MODELS));
    }
    harness.now = harness.now.plus_ms(LOST_TICK_DELAY_MS);
    harness
}

/// Duration of applying a configuration change of one model, against the models
/// of the document.
pub fn config_change() -> Series {
    series(
        "entry: change in force",
        "models",
        &MODEL_COUNTS,
        |models| {
            let mut harness = EntryHarness::new(&Fleet::with_models(models));
            median_ns(15, |index| {
                let changes = super::config::change(index as u64 + 2, index % models);
                let body = frame::Body::ConfigChanges(changes);
                let peer = Peer::Entry(EntryId::new(PEER));
                black_box(harness.receive_frame(peer, body));
            })
        },
    )
}
