//! Reports the keyed requests that this entry knows of to agents that wait for lost claims.

use base::prelude::*;
use live::rendezvous_rank;
use schema::link::{Heartbeat, KeyedRun, KeyedRuns, frame};

use super::super::EntryAction;
use super::super::shared::Shared;
use super::Control;
use crate::Peer;

/// Largest number of requests in one frame, far below the maximum size of a frame.
const RUNS_PER_FRAME: usize = 1_024;

/// What was reported to an agent.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RunsReported {
    incarnation: u64,
    generation: u64,
    /// Sequence number in the log of the last request.
    last_sequence: u64,
}

impl Control {
    /// Reports requests to an agent, if its heartbeat says that it waits for lost claims.
    /// The first report is sent even without requests, since the agent waits for it.
    pub(super) fn report_keyed_runs(
        &mut self,
        now: Instant,
        heartbeat: &Heartbeat,
        shared: &Shared,
        out: &mut Vec<EntryAction>,
    ) {
        let agent = AgentId::new(&heartbeat.agent);
        let generation = heartbeat.restored_generation;
        if generation == 0 {
            self.reported_runs.remove(&agent);
            return;
        }
        let incarnation = heartbeat.incarnation;
        let reported = self.reported_runs.get(&agent).filter(|reported| {
            reported.incarnation == incarnation && reported.generation == generation
        });
        let sequence = reported.map_or(0, |reported| reported.last_sequence);
        let is_first = reported.is_none();
        let mut log = shared.keyed_runs.lock();
        let (runs, last_sequence) = log.changes_after(now, &heartbeat.pool, sequence);
        drop(log);
        if is_first || !runs.is_empty() {
            let known_ms = self.platform.known_for_ms(now, generation);
            send_report(&agent, generation, known_ms, &runs, out);
        }
        let reported = RunsReported {
            incarnation,
            generation,
            last_sequence,
        };
        self.reported_runs.insert(agent, reported);
    }

    /// Logs the requests that another entry passed to agents.
    pub(super) fn keyed_runs_received(now: Instant, runs: KeyedRuns, shared: &Shared) {
        let mut log = shared.keyed_runs.lock();
        for run in runs.runs {
            log.record(now, run);
        }
    }

    /// The entry that keeps a copy of this entry's log: among those with a link, a live one
    /// in another failure domain if there is any.
    pub(crate) fn backup_entry(&self, now: Instant) -> Option<&EntryId> {
        let linked = self.links.keys().filter_map(|peer| match peer {
            Peer::Entry(entry) => Some(entry),
            Peer::Agent(_) => None,
        });
        linked.max_by_key(|entry| {
            let known = self.entries.get(entry).filter(|known| !known.leaving);
            let is_alive = known.is_some() && self.entries.is_alive(now, entry);
            let is_elsewhere =
                known.is_some_and(|known| known.failure_domain != self.failure_domain);
            let rank = rendezvous_rank(self.own_id.as_str(), entry.as_str());
            (is_alive, is_elsewhere, rank)
        })
    }
}

/// Sends a report in as many frames as it takes. Only the last one names the generation,
/// by which the agent knows that the report is complete.
fn send_report(
    agent: &AgentId,
    generation: u64,
    known_ms: u64,
    runs: &[KeyedRun],
    out: &mut Vec<EntryAction>,
) {
    let (before, last) = runs.split_at(runs.len() - runs.len() % RUNS_PER_FRAME);
    let before = before.chunks(RUNS_PER_FRAME).map(|runs| KeyedRuns {
        runs: runs.to_vec(),
        ..KeyedRuns::default()
    });
    let last = KeyedRuns {
        generation,
        runs: last.to_vec(),
        known_ms,
    };
    out.extend(before.chain([last]).map(|report| EntryAction::SendFrame {
        peer: Peer::Agent(agent.clone()),
        body: frame::Body::KeyedRuns(report),
    }));
}
