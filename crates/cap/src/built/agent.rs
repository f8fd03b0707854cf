//! The agent and the operator's tool.

use super::{BYTES_S, CORE, MEMORY, Row, row};
use crate::measured::Measured;
use crate::target::{Budget, Target, core_percent};

/// Time for which an agent remembers an attempt, with a deadline of a minute.
const ATTEMPT_LIFE_S: f64 = 600.0;
/// An agent asks for changes at each fourth heartbeat.
const ASKS_PER_BEAT: f64 = 0.25;
/// Longest time until an agent that nobody sends anything asks for changes.
const ASK_S: f64 = 2.0;
/// Reports of the upstream a second.
const REPORTS_PER_S: f64 = 1.0 / 0.15;

/// The agent.
pub(super) fn agent(m: &Measured, t: &Target, b: &Budget) -> Vec<Row> {
    let beats = t.beats_per_s();
    let heartbeat = m.heartbeat_bytes.at(t.residents);
    let beat_ns = m.agent_beat_entries.at(t.entries);
    let asks = beats * ASKS_PER_BEAT;
    let resting = m.by_entries(|rest| rest.agent_percent);
    let resident = m.by_entries(|rest| rest.agent_bytes as f64);
    let kept = m.memory_of("attempt kept") * t.agent_requests_per_s() * ATTEMPT_LIFE_S;
    vec![
        row(
            "agent",
            "heartbeats sent to every entry",
            format!("{:.0} × {beats:.0}/s × {heartbeat:.0} B", t.entries),
            t.entries * beats * heartbeat / 1e3,
            BYTES_S,
            Some(b.bytes_per_s / 1e3),
        ),
        row(
            "agent",
            "heartbeats made and copied for every entry, in the machine",
            format!("{beats:.0}/s × {:.2} ms", beat_ns / 1e6),
            core_percent(beats, beat_ns),
            CORE,
            Some(b.core_percent),
        ),
        row(
            "agent",
            "process at rest, links to every entry",
            format!(
                "{:.2} % + {:.0} × {:.4} %",
                resting.start, t.entries, resting.slope
            ),
            resting.start + resting.slope * t.entries,
            CORE,
            Some(b.core_percent),
        ),
        row(
            "agent",
            "machine: reports, changes, questions",
            format!(
                "{REPORTS_PER_S:.1}/s × {:.0} µs + {:.2}/s × {:.1} ms; {asks} asks/s",
                m.agent_report.at(t.residents) / 1e3,
                t.changes_per_s(),
                m.agent_change.at(t.models) / 1e6
            ),
            core_percent(REPORTS_PER_S, m.agent_report.at(t.residents))
                + core_percent(t.changes_per_s(), m.agent_change.at(t.models)),
            CORE,
            Some(b.core_percent),
        ),
        row(
            "agent",
            "memory: process, attempts kept, a link to every entry",
            format!(
                "{:.1} MB + {:.1} MB + {:.0} × {:.1} kB",
                resident.start / 1e6,
                kept / 1e6,
                t.entries,
                resident.slope / 1e3
            ),
            (resident.start + kept + resident.slope * t.entries) / 1e6,
            MEMORY,
            Some(b.memory_bytes / 1e6),
        ),
    ]
}

/// The operator's tool.
pub(super) fn operator(m: &Measured, t: &Target) -> Vec<Row> {
    let worst_ms = m
        .links
        .iter()
        .map(|rest| rest.change_ms)
        .fold(0.0, f64::max);
    let status = m.by_agents(|rest| rest.status_ms);
    vec![
        row(
            "operator's tool",
            "check of the document",
            format!("exponent {:.2}", m.check.tail_exponent()),
            m.check.at(t.models) / 1e6,
            "ms",
            None,
        ),
        row(
            "operator's tool",
            "size of the document",
            format!("{:.0} B a model", m.document_bytes.per_item()),
            m.document_bytes.at(t.models) / 1e3,
            "kB",
            Some(900.0),
        ),
        row(
            "operator's tool",
            "change in force everywhere",
            format!("worst of 1 to 256 agents, {worst_ms:.0} ms, and {ASK_S} s"),
            worst_ms / 1e3 + ASK_S,
            "s",
            Some(t.change_s),
        ),
        row(
            "operator's tool",
            "question to every process",
            format!("{:.0} ms + {:.3} ms a process", status.start, status.slope),
            (status.start + status.slope * (t.agents + t.entries)) / 1e3,
            "s",
            None,
        ),
    ]
}
