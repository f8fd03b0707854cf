//! The agent's machine against what it holds and who listens.

use super::agent_rig::AgentRig;
use super::bytes;
use super::clock::{median_ns, samples};
use super::messages::Fleet;
use crate::fit::{Growth, Series};
use role::agent::AgentEvent;
use schema::link::frame;
use std::hint::black_box;

const RESIDENTS: [usize; 4] = [1, 4, 16, 64];
const ENTRIES: [usize; 5] = [1, 8, 64, 256, 1_024];
const MODELS: [usize; 4] = [25, 100, 400, 1_600];
const FLEET: usize = 200;

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

/// One run from its frame to its end.
pub fn run() -> Series {
    series("agent: run to end", "residents", &RESIDENTS, |residents| {
        let mut rig = AgentRig::new(&Fleet::of(FLEET), residents, 4);
        assert!(rig.run() > 0, "the gate lets the run in");
        median_ns(501, |_| {
            black_box(rig.run());
        })
    })
}

/// One report of the upstream.
pub fn report() -> Series {
    series(
        "agent: upstream's report",
        "residents",
        &RESIDENTS,
        |residents| {
            let mut rig = AgentRig::new(&Fleet::of(FLEET), residents, 4);
            median_ns(501, |_| {
                black_box(rig.tell_report());
            })
        },
    )
}

/// One heartbeat to four entries, against models resident.
pub fn beat_by_residents() -> Series {
    series(
        "agent: heartbeat, 4 entries",
        "residents",
        &RESIDENTS,
        |residents| {
            let mut rig = AgentRig::new(&Fleet::of(FLEET), residents, 4);
            beat(&mut rig)
        },
    )
}

/// One heartbeat with four models, against entries connected.
pub fn beat_by_entries() -> Series {
    series(
        "agent: heartbeat, 4 residents",
        "entries",
        &ENTRIES,
        |entries| {
            let mut rig = AgentRig::new(&Fleet::of(FLEET), 4, entries);
            beat(&mut rig)
        },
    )
}

fn beat(rig: &mut AgentRig) -> f64 {
    median_ns(101, |_| {
        rig.now = rig.now.plus_ms(500);
        black_box(rig.handle(AgentEvent::Tick));
    })
}

/// One target of what is resident already.
pub fn target() -> Series {
    series("agent: target", "models", &RESIDENTS, |models| {
        let mut rig = AgentRig::new(&Fleet::of(FLEET), models, 4);
        let mut sequence = 1;
        median_ns(501, |_| {
            sequence += 1;
            let mut target = bytes::target_of(models);
            target.sequence = sequence;
            black_box(rig.frame(frame::Body::Target(target)));
        })
    })
}

/// A configuration change of one model, against the models of the document.
pub fn config_change() -> Series {
    series("agent: change in force", "models", &MODELS, |models| {
        let mut rig = AgentRig::new(&Fleet::of(models), 4, 4);
        median_ns(15, |nth| {
            let changes = super::config::change(nth as u64 + 2, nth % models);
            black_box(rig.frame(frame::Body::ConfigChanges(changes)));
        })
    })
}

/// Calls of an agent to the platform.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Calls {
    /// Writes.
    pub writes: u64,
    /// Reads and lists.
    pub reads: u64,
}

/// Calls from the start to being ready.
pub fn calls_of_start() -> Calls {
    let rig = AgentRig::new(&Fleet::of(FLEET), 4, 4);
    Calls {
        writes: rig.writes,
        reads: rig.reads,
    }
}

/// Calls of one load, from the target to the record's rest.
pub fn calls_of_load() -> Calls {
    let mut rig = AgentRig::new(&Fleet::of(FLEET), 0, 4);
    let before = (rig.writes, rig.reads);
    rig.frame(frame::Body::Target(bytes::target_of(1)));
    for _ in 0..40 {
        rig.now = rig.now.plus_ms(150);
        rig.handle(AgentEvent::Tick);
        rig.tell_report();
    }
    Calls {
        writes: rig.writes - before.0,
        reads: rig.reads - before.1,
    }
}
