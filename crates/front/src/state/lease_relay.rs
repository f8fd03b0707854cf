//! State of lease renewals that one entry writes for another.

use base::ObjectVersion;
use base::prelude::*;
use direct::LeaseRecord;
use parking_lot::Mutex;
use schema::peer::{LeaseAsk, LeaseState, LeaseTold};

/// Time for which a renewal written for another entry is announced.
const ANNOUNCE_MS: u64 = 1_500;

/// Time after which the next entry is asked.
const REQUEST_TIMEOUT_MS: u64 = 700;

/// Renewals in progress, for this entry and for others.
#[derive(Debug, Default)]
pub(crate) struct LeaseRelay {
    requested: Mutex<Option<RequestedRenewal>>,
    written: Mutex<Option<WrittenRenewal>>,
}

#[derive(Debug, Clone)]
struct RequestedRenewal {
    at: Instant,
    by: String,
    record: LeaseRecord,
    version: u64,
}

#[derive(Debug)]
struct WrittenRenewal {
    at: Instant,
    record: LeaseRecord,
    /// Version that was written; `None` while the call is in progress.
    version: Option<u64>,
}

impl LeaseRelay {
    /// Returns whether another entry was asked recently.
    pub(crate) fn has_recent_request(&self, now: Instant) -> bool {
        let requested = self.requested.lock();
        let at = requested.as_ref().map(|requested| requested.at);
        at.is_some_and(|at| now.ms_since(at) < REQUEST_TIMEOUT_MS)
    }

    /// Selects the next of the other entries to ask for a renewal. Returns
    /// whether there is one.
    pub(crate) fn request_renewal(
        &self,
        now: Instant,
        others: &[String],
        renewal: Option<(LeaseRecord, u64)>,
    ) -> bool {
        let mut requested = self.requested.lock();
        let last = requested.take().map(|requested| requested.by);
        let (Some((record, version)), false) = (renewal, others.is_empty()) else {
            return false;
        };
        let after = others.iter().position(|other| Some(other) == last.as_ref());
        let next = after.map_or(0, |index| (index + 1) % others.len());
        *requested = Some(RequestedRenewal {
            at: now,
            by: others[next].clone(),
            record,
            version,
        });
        true
    }

    /// Returns when this renewal was requested, if another entry has written
    /// the one that this entry asked for.
    pub(crate) fn confirm(&self, record: &LeaseRecord) -> Option<Instant> {
        let mut requested = self.requested.lock();
        let requested_at = requested
            .as_ref()
            .filter(|requested| requested.record == *record)
            .map(|requested| requested.at)?;
        *requested = None;
        Some(requested_at)
    }

    /// Returns the request to send to another entry now.
    pub(crate) fn renewal_request(&self, now: Instant) -> Option<LeaseAsk> {
        let requested = self.requested.lock();
        let requested = requested.as_ref()?;
        (now.ms_since(requested.at) < REQUEST_TIMEOUT_MS).then(|| LeaseAsk {
            by: requested.by.clone(),
            state: Some(encode_record(&requested.record)),
            version: ObjectVersion(requested.version).revision(),
            generation: ObjectVersion(requested.version).generation(),
        })
    }

    /// Returns the confirmation of a renewal that was recently written for
    /// another entry.
    pub(crate) fn renewal_confirmation(&self, now: Instant) -> Option<LeaseTold> {
        let written = self.written.lock();
        let written = written.as_ref()?;
        let version = written.version?;
        (now.ms_since(written.at) < ANNOUNCE_MS).then(|| LeaseTold {
            state: Some(encode_record(&written.record)),
            version: ObjectVersion(version).revision(),
            generation: ObjectVersion(version).generation(),
        })
    }

    /// Accepts another entry's request to write its renewal. Returns whether it
    /// is new.
    pub(crate) fn accept(&self, now: Instant, record: &LeaseRecord) -> bool {
        let mut written = self.written.lock();
        if written
            .as_ref()
            .is_some_and(|written| written.record == *record)
        {
            return false;
        }
        *written = Some(WrittenRenewal {
            at: now,
            record: record.clone(),
            version: None,
        });
        true
    }

    /// Records that the renewal requested by another entry was written.
    pub(crate) fn record_written(
        &self,
        now: Instant,
        record: &LeaseRecord,
        version: u64,
    ) {
        if let Some(written) = &mut *self.written.lock()
            && written.record == *record
        {
            written.version = Some(version);
            written.at = now;
        }
    }
}

fn encode_record(record: &LeaseRecord) -> LeaseState {
    LeaseState {
        holder: record.holder.clone(),
        start: record.start,
        token: record.token,
        renewal: record.renewal,
        generation: record.generation,
    }
}

/// Decodes the lease record of a message.
pub(crate) fn decode_record(state: &LeaseState) -> LeaseRecord {
    LeaseRecord {
        holder: state.holder.clone(),
        start: state.start,
        token: state.token,
        renewal: state.renewal,
        idle_ms: 0,
        generation: state.generation,
    }
}
