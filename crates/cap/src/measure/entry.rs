//! The entry's machine against what it knows.

use super::clock::{batch_ns, median_ns, samples};
use super::entry_rig::{EntryRig, encoded};
use super::messages::{self, Fleet, PEER};
use crate::fit::{Growth, Series};
use base::prelude::*;
use role::Peer;
use role::entry::{EntryAction, EntryEvent};
use schema::link::{Demand, Heartbeat, frame};
use std::hint::black_box;

/// Agents; the directory keeps 4,096 at most.
const AGENTS: [usize; 5] = [16, 128, 512, 1_024, 4_096];
const PLAN_AGENTS: [usize; 4] = [16, 128, 512, 1_024];
const MODELS: [usize; 4] = [25, 100, 400, 1_600];
/// Entries; the table keeps 256 at most.
const ENTRIES: [usize; 4] = [4, 16, 64, 256];
const HOLDERS: [usize; 5] = [1, 8, 64, 256, 512];
const GONE: [usize; 4] = [16, 64, 256, 1_024];
const GONE_OF: usize = 2_048;

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
        growth: Growth::Power,
        samples: samples(sizes, cost),
    }
}

/// One heartbeat of a known agent, from its bytes.
pub fn heartbeat() -> Series {
    let cost = |agents: usize| {
        let mut rig = EntryRig::new(&Fleet::of(200));
        rig.add_agents(agents, 4, 200);
        let beats: Vec<_> = (0..201)
            .map(|nth| messages::heartbeat(nth * 7 % agents, 2 + nth as u64, 4, 200))
            .map(|beat| (agent_peer(&beat), encoded(frame::Body::Heartbeat(beat))))
            .collect();
        median_ns(beats.len(), |nth| {
            let (peer, bytes) = &beats[nth];
            black_box(rig.frame_bytes(peer, bytes));
        })
    };
    Series {
        // Each heartbeat judges every agent: a straight line.
        growth: Growth::Line,
        ..series("entry: heartbeat", "agents known", &AGENTS, cost)
    }
}

fn agent_peer(beat: &Heartbeat) -> Peer {
    Peer::Agent(AgentId::new(&beat.agent))
}

/// Gossips of one peer, from their bytes.
fn gossips(
    rig: &mut EntryRig,
    rounds: usize,
    make: impl Fn(u64) -> (Vec<Heartbeat>, Vec<Demand>),
) -> f64 {
    rig.add_entry(2);
    let peer = Peer::Entry(EntryId::new(PEER));
    let gossips: Vec<Vec<u8>> = (0..rounds as u64)
        .map(|round| {
            let (beats, demands) = make(round + 2);
            let gossip = messages::gossip(PEER, round + 2, beats, demands);
            encoded(frame::Body::Gossip(gossip))
        })
        .collect();
    median_ns(rounds, |round| {
        black_box(rig.frame_bytes(&peer, &gossips[round]));
    })
}

/// One gossip with a new heartbeat of each agent known.
pub fn gossip_agents() -> Series {
    series(
        "entry: gossip of heartbeats",
        "heartbeats",
        &AGENTS,
        |agents| {
            let mut rig = EntryRig::new(&Fleet::of(200));
            rig.add_agents(agents, 4, 200);
            let beat = |nth, sequence| messages::heartbeat(nth, sequence, 4, 200);
            gossips(&mut rig, 5, |sequence| {
                let beats = (0..agents).map(|nth| beat(nth, sequence));
                (beats.collect(), Vec::new())
            })
        },
    )
}

/// One gossip whose heartbeats are already known, as most are in a full mesh.
pub fn gossip_known() -> Series {
    series(
        "entry: gossip of known heartbeats",
        "heartbeats",
        &AGENTS,
        |agents| {
            let mut rig = EntryRig::new(&Fleet::of(200));
            rig.add_agents(agents, 4, 200);
            gossips(&mut rig, 15, |_| {
                let beats = (0..agents).map(|nth| messages::heartbeat(nth, 1, 4, 200));
                (beats.collect(), Vec::new())
            })
        },
    )
}

/// One gossip with the demand for each model.
pub fn gossip_demands() -> Series {
    series("entry: gossip of demands", "models", &MODELS, |models| {
        let mut rig = EntryRig::new(&Fleet::of(models));
        gossips(&mut rig, 51, |_| {
            (Vec::new(), (0..models).map(messages::demand).collect())
        })
    })
}

/// One beat that tells one peer of a new heartbeat of each agent.
pub fn beat_by_agents() -> Series {
    series(
        "entry: own beat, one peer",
        "agents known",
        &AGENTS,
        |agents| beat(agents, 1),
    )
}

/// The same with 64 agents, against the number of peers.
pub fn beat_by_entries() -> Series {
    series(
        "entry: own beat, 64 agents",
        "entries",
        &ENTRIES,
        |entries| beat(BEAT_AGENTS, entries),
    )
}

/// Agents with which the beat is measured against entries.
pub const BEAT_AGENTS: usize = 64;

/// The tick of a beat: all agents are judged, and gossip with one heartbeat of
/// each is composed, copied and encoded for each peer. A plan without demand
/// falls on the same tick.
fn beat(agents: usize, entries: usize) -> f64 {
    let mut rig = EntryRig::new(&Fleet::of(200));
    rig.add_agents(agents, 4, 200);
    (0..entries).for_each(|nth| rig.add_entry(nth + 1));
    let mut times_ns = Vec::new();
    for round in 0..3 {
        rig.now = rig.now.plus_ms(500);
        for nth in 0..agents {
            rig.heartbeat(messages::heartbeat(nth, round + 2, 4, 200));
        }
        times_ns.push(median_ns(1, |_| {
            for action in rig.handle(EntryEvent::Tick) {
                if let EntryAction::SendFrame { body, .. } = action {
                    black_box(encoded(body));
                }
            }
        }));
    }
    times_ns.sort_by(f64::total_cmp);
    times_ns[1]
}

/// All planning of an entry that shares the cells with one other, against
/// agents.
pub fn plan_by_agents() -> Series {
    series(
        "entry: plan, 200 models",
        "agents known",
        &PLAN_AGENTS,
        |agents| plan(agents, 200),
    )
}

/// The same against the models with demand.
pub fn plan_by_models() -> Series {
    series("entry: plan, 512 agents", "models", &MODELS, |models| {
        plan(512, models)
    })
}

/// Duration of a tick that plans, less that of one that does not is left in:
/// the judgement of all agents, small against it.
fn plan(agents: usize, models: usize) -> f64 {
    median_ns_fresh(3, || {
        let mut rig = EntryRig::new(&Fleet::of(models));
        rig.add_agents(agents, 4, models);
        let demands = (0..models).map(messages::demand).collect();
        rig.add_entry(2);
        rig.gossip(messages::gossip(PEER, 2, Vec::new(), demands));
        rig.now = rig.now.plus_ms(600);
        rig
    })
}

fn median_ns_fresh(rounds: usize, make: impl Fn() -> EntryRig) -> f64 {
    let mut rigs: Vec<EntryRig> = (0..rounds).map(|_| make()).collect();
    median_ns(rounds, |nth| {
        black_box(rigs[nth].handle(EntryEvent::Tick));
    })
}

/// A request from its arrival to its end without parts.
pub fn request() -> Series {
    series("entry: request", "holders", &HOLDERS, |holders| {
        let mut rig = EntryRig::new(&Fleet::of(4));
        rig.add_agents(holders, 4, 4);
        batch_ns(11, 200, |_| {
            let (_, run, agent) = rig.arrive(&messages::model(0));
            let (run, agent) = (run.expect("there is room"), agent.expect("held"));
            black_box(rig.finish(&agent, &run, 0));
        })
    })
}

/// One part of an answer, against the requests in progress.
pub fn part() -> Series {
    series(
        "entry: part of an answer",
        "requests running",
        &GONE,
        |running| {
            let mut rig = EntryRig::new(&Fleet::of(4));
            rig.add_agents(64, 4, 4);
            let runs: Vec<_> = (0..running)
                .map(|_| rig.arrive(&messages::model(0)))
                .filter_map(|(_, run, agent)| Some((run?, agent?)))
                .collect();
            batch_ns(11, 500, |nth| {
                let (run, agent) = &runs[nth % runs.len()];
                black_box(rig.part(agent, run, (nth / runs.len()) as u64));
            })
        },
    )
}

/// Events of the time line that one request with 100 parts leaves behind.
pub fn notes_per_request() -> usize {
    let mut rig = EntryRig::new(&Fleet::of(4));
    rig.add_agents(8, 4, 4);
    let (notes, run, agent) = rig.arrive(&messages::model(0));
    let (run, agent) = (run.expect("there is room"), agent.expect("held"));
    notes + rig.finish(&agent, &run, 100)
}

/// What an entry does when many agents of 2,048 are given up at once, with as
/// many requests in flight as there are agents: the first tick after their time
/// is over, by which all are judged.
pub fn lost() -> Series {
    series(
        "entry: agents given up at once",
        "agents lost",
        &GONE,
        |gone| {
            let mut rigs: Vec<EntryRig> = (0..3).map(|_| lost_rig(gone)).collect();
            let cost = median_ns(3, |nth| {
                black_box(rigs[nth].handle(EntryEvent::Tick));
            });
            let counters = rigs[0].role.counters();
            let up = usize::try_from(counters.agents_up).unwrap_or(0);
            assert!(up <= GONE_OF - gone, "{up} agents count as up");
            cost
        },
    )
}

/// Models of the fleet in which agents are lost.
const LOST_MODELS: usize = 200;
/// The others are heard this long after the silent ones, and the silent ones
/// are given up a moment later, after ten heartbeats.
const OTHERS_MS: u64 = 4_900;
const GIVEN_UP_MS: u64 = 200;

fn lost_rig(gone: usize) -> EntryRig {
    let mut rig = EntryRig::new(&Fleet::of(LOST_MODELS));
    rig.add_agents(GONE_OF, 4, LOST_MODELS);
    for nth in 0..GONE_OF {
        rig.arrive(&messages::model(nth % LOST_MODELS));
    }
    rig.pass(OTHERS_MS);
    for nth in gone..GONE_OF {
        rig.heartbeat(messages::heartbeat(nth, 2, 4, LOST_MODELS));
    }
    rig.now = rig.now.plus_ms(GIVEN_UP_MS);
    rig
}

/// A configuration change of one model, against the models of the document.
pub fn config_change() -> Series {
    series("entry: change in force", "models", &MODELS, |models| {
        let mut rig = EntryRig::new(&Fleet::of(models));
        median_ns(15, |nth| {
            let changes = super::config::change(nth as u64 + 2, nth % models);
            let body = frame::Body::ConfigChanges(changes);
            let peer = Peer::Entry(EntryId::new(PEER));
            black_box(rig.frame(peer, body));
        })
    })
}
