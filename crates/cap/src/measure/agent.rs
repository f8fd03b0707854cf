//! Cost of events in the state machine of the agent.

use super::agent_harness::AgentHarness;
use super::bytes;
use super::messages::Fleet;
use super::sampling::{measure_at_sizes, median_ns};
use crate::fit::{Growth, Series};
use role::agent::AgentEvent;
use schema::link::frame;
use std::hint::black_box;

const RESIDENT_COUNTS: [usize; 4] = [1, 4, 16, 64];
const ENTRY_COUNTS: [usize; 5] = [1, 8, 64, 256, 1_024];
const MODEL_COUNTS: [usize; 4] = [25, 100, 400, 1_600];
const FLEET_MODELS: usize = 200;

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

/// Duration of one attempt, from its frame to its end.
pub fn complete_run() -> Series {
    series(
        "agent: run to end",
        "residents",
        &RESIDENT_COUNTS,
        |residents| {
            let mut harness =
                AgentHarness::new(&Fleet::with_models(FLEET_MODELS), residents, 4);
            assert!(
                harness.complete_run() > 0,
                "admission control accepts the run"
            );
            median_ns(501, |_| {
                black_box(harness.complete_run());
            })
        },
    )
}

/// Duration of handling one report of the upstream.
pub fn upstream_report() -> Series {
    series(
        "agent: upstream's report",
        "residents",
        &RESIDENT_COUNTS,
        |residents| {
            let mut harness =
                AgentHarness::new(&Fleet::with_models(FLEET_MODELS), residents, 4);
            median_ns(501, |_| {
                black_box(harness.report_upstream_state());
            })
        },
    )
}

/// Duration of building and sending one heartbeat to four entries, against
/// resident models.
pub fn heartbeat_by_residents() -> Series {
    series(
        "agent: heartbeat, 4 entries",
        "residents",
        &RESIDENT_COUNTS,
        |residents| {
            let mut harness =
                AgentHarness::new(&Fleet::with_models(FLEET_MODELS), residents, 4);
            heartbeat_ns(&mut harness)
        },
    )
}

/// The same with four resident models, against connected entries.
pub fn heartbeat_by_entries() -> Series {
    series(
        "agent: heartbeat, 4 residents",
        "entries",
        &ENTRY_COUNTS,
        |entries| {
            let mut harness =
                AgentHarness::new(&Fleet::with_models(FLEET_MODELS), 4, entries);
            heartbeat_ns(&mut harness)
        },
    )
}

fn heartbeat_ns(harness: &mut AgentHarness) -> f64 {
    median_ns(101, |_| {
        harness.now = harness.now.plus_ms(500);
        black_box(harness.handle(AgentEvent::Tick));
    })
}

/// Duration of handling a target message that names only resident models.
pub fn target() -> Series {
    series("agent: target", "models", &RESIDENT_COUNTS, |models| {
        let mut harness =
            AgentHarness::new(&Fleet::with_models(FLEET_MODELS), models, 4);
        let mut sequence = 1;
        median_ns(501, |_| {
            sequence += 1;
            let mut target = bytes::target_message(models);
            target.sequence = sequence;
            black_box(harness.receive_frame(frame::Body::Target(target)));
        })
    })
}

/// Duration of applying a configuration change of one model, against the models
/// of the document.
pub fn config_change() -> Series {
    series(
        "agent: change in force",
        "models",
        &MODEL_COUNTS,
        |models| {
            let mut harness = AgentHarness::new(&Fleet::with_models(models), 4, 4);
            median_ns(15, |index| {
                let changes = super::config::change(index as u64 + 2, index % models);
                black_box(harness.receive_frame(frame::Body::ConfigChanges(changes)));
            })
        },
    )
}

/// Numbers of platform calls of an agent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlatformCalls {
    /// Number of writes.
    pub writes: u64,
    /// Number of reads and lists.
    pub reads: u64,
}

/// Platform calls from the start until the agent is ready.
pub fn calls_per_start() -> PlatformCalls {
    let harness = AgentHarness::new(&Fleet::with_models(FLEET_MODELS), 4, 4);
    PlatformCalls {
        writes: harness.writes,
        reads: harness.reads,
    }
}

/// Platform calls of one load, from the target message until the agent's record
/// no longer lists the load.
pub fn calls_per_load() -> PlatformCalls {
    let mut harness = AgentHarness::new(&Fleet::with_models(FLEET_MODELS), 0, 4);
    let calls_before = (harness.writes, harness.reads);
    harness.receive_frame(frame::Body::Target(bytes::target_message(1)));
    for _ in 0..40 {
        harness.now = harness.now.plus_ms(150);
        harness.handle(AgentEvent::Tick);
        harness.report_upstream_state();
    }
    PlatformCalls {
        writes: harness.writes - calls_before.0,
        reads: harness.reads - calls_before.1,
    }
}
