//! Resident memory per item that a process holds.
//!
//! Each value is measured in its own child process: this program starts itself,
//! the child allocates the items and prints by how much its resident memory
//! grew. In a single process, memory that the allocator kept from an earlier
//! measurement could hide the growth.

use super::agent_harness::AgentHarness;
use super::entry_harness::EntryHarness;
use super::messages::{self, Fleet};
use super::sampling::{measure_at_sizes, resident_bytes};
use super::timeline;
use crate::fit::{Growth, Series};
use line::EventRecorder;
use std::hint::black_box;
use std::process::Command;
use std::str::FromStr;

/// Models in the document, if the size counts other items.
const FLEET_MODELS: usize = 200;
/// Models for which each entry reports demand.
const DEMANDS_PER_ENTRY: usize = 1_600;

/// Kinds of items whose memory is measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemoryItem {
    /// Agents with four resident models, known to an entry.
    Agents,
    /// Requests that wait at an entry.
    Waiting,
    /// Requests in flight at an entry.
    Running,
    /// Entries known to an entry, each with demand for 1,600 models.
    Entries,
    /// Models in the document of an entry.
    Models,
    /// Attempts that an agent remembers.
    Attempts,
    /// Timeline events.
    Events,
}

impl MemoryItem {
    const ALL: [(Self, &'static str, &'static str, [usize; 4]); 7] = [
        (
            Self::Agents,
            "agents",
            "agent known",
            [64, 512, 2_048, 4_096],
        ),
        (
            Self::Waiting,
            "waiting",
            "request waiting",
            [500, 4_000, 16_000, 32_000],
        ),
        (
            Self::Running,
            "running",
            "request in flight",
            [500, 4_000, 16_000, 32_000],
        ),
        (Self::Entries, "entries", "entry known", [4, 16, 64, 256]),
        (Self::Models, "models", "model", [50, 200, 800, 3_200]),
        (
            Self::Attempts,
            "attempts",
            "attempt kept",
            [1_000, 8_000, 32_000, 64_000],
        ),
        (
            Self::Events,
            "events",
            "event kept",
            [1_000, 8_000, 32_000, 64_000],
        ),
    ];

    fn name(self) -> &'static str {
        let all = Self::ALL.iter();
        all.filter(|(item, ..)| *item == self)
            .map(|(_, name, ..)| *name)
            .next()
            .unwrap_or("")
    }
}

impl FromStr for MemoryItem {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut all = Self::ALL.iter();
        all.find(|(_, name, ..)| *name == text)
            .map(|(item, ..)| *item)
            .ok_or_else(|| format!("unknown kind of item `{text}`"))
    }
}

/// Measures all memory series, each value in a child process.
pub fn run() -> Vec<Series> {
    let series =
        |(item, _, size_of, sizes): &(MemoryItem, _, &'static str, [usize; 4])| {
            Series {
                name: "memory",
                size_of,
                unit: "B",
                growth: Growth::Linear,
                samples: measure_at_sizes(sizes, |size| measure_in_child(*item, size)),
            }
        };
    MemoryItem::ALL.iter().map(series).collect()
}

fn measure_in_child(item: MemoryItem, size: usize) -> f64 {
    let program = std::env::current_exe().expect("a running program has a file");
    let output = Command::new(program)
        .args(["--memory", item.name(), "--size", &size.to_string()])
        .output()
        .expect("this program can be started again");
    let text = String::from_utf8_lossy(&output.stdout);
    text.trim().parse().unwrap_or(0.0)
}

/// Growth of the resident memory of this process when it allocates a number of
/// items, in bytes.
pub fn memory_growth_bytes(item: MemoryItem, size: usize) -> u64 {
    match item {
        MemoryItem::Agents => {
            entry_growth(&Fleet::with_models(FLEET_MODELS), |harness| {
                harness.add_agents(size, 4, FLEET_MODELS);
            })
        }
        MemoryItem::Waiting => {
            entry_growth(&Fleet::with_models(FLEET_MODELS), |harness| {
                for index in 0..size {
                    harness.receive_request(&messages::model(index % FLEET_MODELS));
                }
            })
        }
        MemoryItem::Running => requests_in_flight(size),
        MemoryItem::Entries => {
            entry_growth(&Fleet::with_models(DEMANDS_PER_ENTRY), |harness| {
                for index in 0..size {
                    harness.add_entry(index + 1);
                    let demands =
                        (0..DEMANDS_PER_ENTRY).map(messages::demand).collect();
                    let entry_name = messages::entry(index + 1);
                    harness.receive_gossip(messages::gossip(
                        &entry_name,
                        2,
                        Vec::new(),
                        demands,
                    ));
                }
            })
        }
        MemoryItem::Models => document_models(size),
        MemoryItem::Attempts => agent_attempts(size),
        MemoryItem::Events => timeline_events(size),
    }
}

fn entry_growth(fleet: &Fleet, fill: impl FnOnce(&mut EntryHarness)) -> u64 {
    let mut harness = EntryHarness::new(fleet);
    let before = resident_bytes("self");
    fill(&mut harness);
    let after = resident_bytes("self");
    black_box(&harness);
    after.saturating_sub(before)
}

fn requests_in_flight(size: usize) -> u64 {
    let fleet = Fleet {
        models: 4,
        concurrent_max: 64,
    };
    let mut harness = EntryHarness::new(&fleet);
    harness.add_agents(1_024, 4, 4);
    let before = resident_bytes("self");
    let sent = (0..size).filter(|index| {
        harness
            .receive_request(&messages::model(index % 4))
            .1
            .is_some()
    });
    let sent = sent.count();
    let after = resident_bytes("self");
    black_box(&harness);
    assert!(sent * 10 > size * 9, "only {sent} of {size} were sent");
    after.saturating_sub(before)
}

fn document_models(size: usize) -> u64 {
    let before = resident_bytes("self");
    let harness = EntryHarness::new(&Fleet::with_models(size));
    let after = resident_bytes("self");
    black_box(&harness);
    after.saturating_sub(before)
}

fn agent_attempts(size: usize) -> u64 {
    let mut harness = AgentHarness::new(&Fleet::with_models(FLEET_MODELS), 4, 4);
    let before = resident_bytes("self");
    for _ in 0..size {
        harness.complete_run();
    }
    let after = resident_bytes("self");
    black_box(&harness);
    after.saturating_sub(before)
}

fn timeline_events(size: usize) -> u64 {
    let recorder = EventRecorder::new("entry-0000", size);
    let before = resident_bytes("self");
    (0..size).for_each(|_| recorder.record(timeline::event()));
    let after = resident_bytes("self");
    black_box(&recorder);
    after.saturating_sub(before)
}
