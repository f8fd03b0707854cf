//! Renewals of the lease on orders that one entry writes for another.

use base::prelude::*;
use direct::LeaseRecord;
use parking_lot::Mutex;
use schema::peer::{LeaseAsk, LeaseState, LeaseTold};

/// Time for which a renewal written for another entry is told.
const TELL_MS: u64 = 1_500;

/// Time after which another entry is asked.
const ASK_AGAIN_MS: u64 = 700;

/// Renewals under way for this entry and for others.
#[derive(Debug, Default)]
pub(crate) struct Relay {
    asked: Mutex<Option<Asked>>,
    told: Mutex<Option<Told>>,
}

#[derive(Debug, Clone)]
struct Asked {
    at: Instant,
    by: String,
    record: LeaseRecord,
    version: u64,
}

#[derive(Debug)]
struct Told {
    at: Instant,
    record: LeaseRecord,
    /// Version that was written; `None` while the call is under way.
    version: Option<u64>,
}

impl Relay {
    /// Whether another entry was asked lately.
    pub(crate) fn asked_lately(&self, now: Instant) -> bool {
        let asked = self.asked.lock();
        let at = asked.as_ref().map(|asked| asked.at);
        at.is_some_and(|at| now.ms_since(at) < ASK_AGAIN_MS)
    }

    /// Asks the next one of the other entries for a renewal; true if there is one.
    pub(crate) fn ask(
        &self,
        now: Instant,
        others: &[String],
        renewal: Option<(LeaseRecord, u64)>,
    ) -> bool {
        let mut asked = self.asked.lock();
        let last = asked.take().map(|asked| asked.by);
        let (Some((record, version)), false) = (renewal, others.is_empty()) else {
            return false;
        };
        let after = others.iter().position(|other| Some(other) == last.as_ref());
        let next = after.map_or(0, |index| (index + 1) % others.len());
        *asked = Some(Asked {
            at: now,
            by: others[next].clone(),
            record,
            version,
        });
        true
    }

    /// Another entry has written this renewal: when it was asked for, if it was.
    pub(crate) fn written(&self, record: &LeaseRecord) -> Option<Instant> {
        let mut asked = self.asked.lock();
        let asked_at = asked
            .as_ref()
            .filter(|asked| asked.record == *record)
            .map(|asked| asked.at)?;
        *asked = None;
        Some(asked_at)
    }

    /// What is asked of another entry now.
    pub(crate) fn asking(&self, now: Instant) -> Option<LeaseAsk> {
        let asked = self.asked.lock();
        let asked = asked.as_ref()?;
        (now.ms_since(asked.at) < ASK_AGAIN_MS).then(|| LeaseAsk {
            by: asked.by.clone(),
            state: Some(state(&asked.record)),
            version: asked.version,
        })
    }

    /// What was written for another entry lately.
    pub(crate) fn telling(&self, now: Instant) -> Option<LeaseTold> {
        let told = self.told.lock();
        let told = told.as_ref()?;
        let version = told.version?;
        (now.ms_since(told.at) < TELL_MS).then(|| LeaseTold {
            state: Some(state(&told.record)),
            version,
        })
    }

    /// Another entry asks this one to write its renewal; true if that is new.
    pub(crate) fn take(&self, now: Instant, record: &LeaseRecord) -> bool {
        let mut told = self.told.lock();
        if told.as_ref().is_some_and(|told| told.record == *record) {
            return false;
        }
        *told = Some(Told {
            at: now,
            record: record.clone(),
            version: None,
        });
        true
    }

    /// A renewal that was asked of this entry is written.
    pub(crate) fn took(&self, now: Instant, record: &LeaseRecord, version: u64) {
        if let Some(told) = &mut *self.told.lock()
            && told.record == *record
        {
            told.version = Some(version);
            told.at = now;
        }
    }
}

fn state(record: &LeaseRecord) -> LeaseState {
    LeaseState {
        holder: record.holder.clone(),
        start: record.start,
        token: record.token,
        renewal: record.renewal,
    }
}

/// The record of a lease that is told.
pub(crate) fn record(state: &LeaseState) -> LeaseRecord {
    LeaseRecord {
        holder: state.holder.clone(),
        start: state.start,
        token: state.token,
        renewal: state.renewal,
        idle_ms: 0,
    }
}
