//! Claims that a restore of the platform may have lost, as entries report them.

use base::prelude::*;
use once::ReportedRun;
use schema::link::{KeyedRun, KeyedRuns};
use schema::timeline::EventKind;
use std::collections::BTreeSet;

use super::{AgentAction, AgentRole, timeline};

/// Entries that have reported their requests since the latest restore.
#[derive(Debug, Default)]
pub(super) struct EntryReports {
    generation: u64,
    entries: BTreeSet<EntryId>,
}

impl AgentRole {
    /// Handles the platform's generation. A later one than the known one means that it
    /// was restored, and may have lost claims.
    pub(super) fn on_platform_generation(
        &mut self,
        now: Instant,
        generation: u64,
        out: &mut Vec<AgentAction>,
    ) {
        if generation > self.entry_reports.generation {
            self.entry_reports = EntryReports {
                generation,
                entries: BTreeSet::new(),
            };
            self.update_awaited_entries();
            let detail = format!("generation {generation}: claims may be lost");
            timeline::process_event(EventKind::PlatformBack, detail, out);
        }
        self.with_claims(now, out, |claims, actions| {
            claims.observe_generation(now, generation, actions);
        });
    }

    /// Handles an entry's requests whose claims may be lost.
    pub(super) fn on_keyed_runs(
        &mut self,
        now: Instant,
        entry: &EntryId,
        frame: KeyedRuns,
        out: &mut Vec<AgentAction>,
    ) {
        match frame.generation {
            // An earlier run of a request that follows, or a part of a report.
            0 => {}
            generation if generation == self.entry_reports.generation => {
                self.entry_reports.entries.insert(entry.clone());
                self.update_awaited_entries();
                self.claims.observe_known_for(now, frame.known_ms);
            }
            _ => {
                self.counters.frames_dropped += 1;
                return;
            }
        }
        let runs = frame.runs.into_iter().map(decode_run);
        self.with_claims(now, out, |claims, actions| {
            claims.add_reported_runs(now, runs, actions);
        });
    }

    /// Updates whether the claims wait for an entry, after a change of the links or of
    /// what entries have reported.
    pub(super) fn update_awaited_entries(&mut self) {
        let reported = &self.entry_reports.entries;
        let awaits_entries = !self.connected_entries.is_subset(reported);
        self.claims.set_awaits_entries(awaits_entries);
    }
}

fn decode_run(run: KeyedRun) -> ReportedRun {
    ReportedRun {
        caller: run.caller,
        key: run.key,
        body_hash: run.body_hash,
        agent: run.agent,
        ran: RunStatus::from_number(run.ran),
    }
}
