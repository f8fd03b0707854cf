//! Log of the non-idempotent requests with an idempotency key that were passed to agents
//! and may have run.
//!
//! A restore of the platform from an older copy may lose the claim of such a request.
//! Usually its agent writes the claim again. This log is for the case that the agent has
//! ended or doesn't reach the platform: the log is reported to the agents of the pool,
//! so that none of them runs the request a second time.

use base::prelude::*;
use schema::link::KeyedRun;
use std::collections::BTreeMap;

/// Time for which a request is kept after its last change. A platform is restored from a
/// copy that is some seconds old.
const REMEMBER_MS: u64 = 60_000;

/// Largest number of requests kept, those with the latest changes. At this number a report
/// of all of them fits into the send queue of a link.
const RUNS_MAX: usize = 8_192;

/// The requests of the last minute, in the order of their last changes.
#[derive(Debug, Default)]
pub(crate) struct KeyedRunLog {
    last_sequence: u64,
    runs: BTreeMap<u64, (Instant, KeyedRun)>,
    sequence_by_key: BTreeMap<(String, String), u64>,
}

impl KeyedRunLog {
    /// Replaces what is known of a request. One that was not run is not kept. An attempt
    /// without a known claim says nothing of an earlier one that had claimed the key.
    pub(crate) fn record(&mut self, now: Instant, run: KeyedRun) {
        if !run.claimed && self.claimed(now, &run.caller, &run.key).is_some() {
            return;
        }
        self.expire(now, RUNS_MAX - 1);
        let key = (run.caller.clone(), run.key.clone());
        if let Some(sequence) = self.sequence_by_key.remove(&key) {
            self.runs.remove(&sequence);
        }
        if RunStatus::from_number(run.ran) == RunStatus::NotRun {
            return;
        }
        self.last_sequence += 1;
        self.sequence_by_key.insert(key, self.last_sequence);
        self.runs.insert(self.last_sequence, (now, run));
    }

    /// The requests of a pool that changed after the one with this sequence number, and
    /// the sequence number of the last one.
    pub(crate) fn changes_after(
        &mut self,
        now: Instant,
        pool: &str,
        sequence: u64,
    ) -> (Vec<KeyedRun>, u64) {
        self.expire(now, RUNS_MAX);
        let changed = self.runs.range(sequence + 1..);
        let of_pool = changed.filter(|(_, (_, run))| run.pool == pool);
        let runs = of_pool.map(|(_, (_, run))| run.clone()).collect();
        (runs, self.last_sequence)
    }

    /// What is known of a request whose claim the platform has to show.
    pub(crate) fn claimed(
        &mut self,
        now: Instant,
        caller: &str,
        key: &str,
    ) -> Option<KeyedRun> {
        self.expire(now, RUNS_MAX);
        let key = (caller.to_owned(), key.to_owned());
        let (_, run) = self.runs.get(self.sequence_by_key.get(&key)?)?;
        run.claimed.then(|| run.clone())
    }

    /// Removes requests that are too old, and the oldest if there are more than `max`.
    fn expire(&mut self, now: Instant, max: usize) {
        while let Some((_, (at, run))) = self.runs.first_key_value() {
            let is_kept = now.ms_since(*at) < REMEMBER_MS && self.runs.len() <= max;
            if is_kept {
                return;
            }
            let key = (run.caller.clone(), run.key.clone());
            self.sequence_by_key.remove(&key);
            self.runs.pop_first();
        }
    }
}
