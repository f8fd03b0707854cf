//! Resident memory of what a process keeps.
//!
//! Each figure comes from a child of its own: this program starts itself, the
//! child builds the thing, and tells by how much its resident memory grew. What
//! an earlier measurement left to the allocator can't hide the growth so.

use super::agent_rig::AgentRig;
use super::clock::{resident_bytes, samples};
use super::entry_rig::EntryRig;
use super::messages::{self, Fleet};
use super::timeline;
use crate::fit::{Growth, Series};
use line::EventRecorder;
use std::hint::black_box;
use std::process::Command;
use std::str::FromStr;

/// Models of an entry's document, where the size is something else.
const FLEET: usize = 200;
/// Demands that each entry tells of.
const DEMANDS: usize = 1_600;

/// What memory is measured for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kept {
    /// Agents with four models, known to an entry.
    Agents,
    /// Requests that wait at an entry.
    Waiting,
    /// Requests in flight at an entry.
    Running,
    /// Entries known to an entry, each with demand for 1,600 models.
    Entries,
    /// Models of an entry's document.
    Models,
    /// Attempts that an agent remembers.
    Attempts,
    /// Events of the time line.
    Events,
}

impl Kept {
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

    fn word(self) -> &'static str {
        let all = Self::ALL.iter();
        all.filter(|(kept, ..)| *kept == self)
            .map(|(_, word, ..)| *word)
            .next()
            .unwrap_or("")
    }
}

impl FromStr for Kept {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut all = Self::ALL.iter();
        all.find(|(_, word, ..)| *word == text)
            .map(|(kept, ..)| *kept)
            .ok_or_else(|| format!("nothing is kept by the name `{text}`"))
    }
}

/// All memory series, each figure from a child process.
pub fn run() -> Vec<Series> {
    let of = |(kept, _, size_of, sizes): &(Kept, _, &'static str, [usize; 4])| Series {
        name: "memory",
        size_of,
        unit: "B",
        growth: Growth::Line,
        samples: samples(sizes, |size| in_child(*kept, size)),
    };
    Kept::ALL.iter().map(of).collect()
}

fn in_child(kept: Kept, size: usize) -> f64 {
    let own = std::env::current_exe().expect("a running program has a file");
    let done = Command::new(own)
        .args(["--memory", kept.word(), "--size", &size.to_string()])
        .output()
        .expect("this program can be started again");
    let text = String::from_utf8_lossy(&done.stdout);
    text.trim().parse().unwrap_or(0.0)
}

/// Growth of this process by a number of things kept, in bytes.
pub fn grown_bytes(kept: Kept, size: usize) -> u64 {
    match kept {
        Kept::Agents => by_entry(&Fleet::of(FLEET), |rig| {
            rig.add_agents(size, 4, FLEET);
        }),
        Kept::Waiting => by_entry(&Fleet::of(FLEET), |rig| {
            for nth in 0..size {
                rig.arrive(&messages::model(nth % FLEET));
            }
        }),
        Kept::Running => running(size),
        Kept::Entries => by_entry(&Fleet::of(DEMANDS), |rig| {
            for nth in 0..size {
                rig.add_entry(nth + 1);
                let demands = (0..DEMANDS).map(messages::demand).collect();
                let name = messages::entry(nth + 1);
                rig.gossip(messages::gossip(&name, 2, Vec::new(), demands));
            }
        }),
        Kept::Models => models(size),
        Kept::Attempts => attempts(size),
        Kept::Events => events(size),
    }
}

fn by_entry(fleet: &Fleet, fill: impl FnOnce(&mut EntryRig)) -> u64 {
    let mut rig = EntryRig::new(fleet);
    let before = resident_bytes("self");
    fill(&mut rig);
    let after = resident_bytes("self");
    black_box(&rig);
    after.saturating_sub(before)
}

fn running(size: usize) -> u64 {
    let fleet = Fleet {
        models: 4,
        concurrent_max: 64,
    };
    let mut rig = EntryRig::new(&fleet);
    rig.add_agents(1_024, 4, 4);
    let before = resident_bytes("self");
    let sent =
        (0..size).filter(|nth| rig.arrive(&messages::model(nth % 4)).1.is_some());
    let sent = sent.count();
    let after = resident_bytes("self");
    black_box(&rig);
    assert!(sent * 10 > size * 9, "only {sent} of {size} were sent");
    after.saturating_sub(before)
}

fn models(size: usize) -> u64 {
    let before = resident_bytes("self");
    let rig = EntryRig::new(&Fleet::of(size));
    let after = resident_bytes("self");
    black_box(&rig);
    after.saturating_sub(before)
}

fn attempts(size: usize) -> u64 {
    let mut rig = AgentRig::new(&Fleet::of(FLEET), 4, 4);
    let before = resident_bytes("self");
    for _ in 0..size {
        rig.run();
    }
    let after = resident_bytes("self");
    black_box(&rig);
    after.saturating_sub(before)
}

fn events(size: usize) -> u64 {
    let recorder = EventRecorder::new("entry-0000", size);
    let before = resident_bytes("self");
    (0..size).for_each(|_| recorder.record(timeline::event()));
    let after = resident_bytes("self");
    black_box(&recorder);
    after.saturating_sub(before)
}
