//! How long a connection to an upstream must have been open to be known to lead to the
//! incarnation in the upstream's record.

use base::prelude::*;

use super::Fleet;
use crate::{OriginProof, StreamOrigin, UpstreamIncarnation};

/// Time after which the record of an upstream that has started is known to anyone who
/// reads the platform's records. An upstream that is alive writes its record at least
/// every two seconds, and a list of all records takes up to a second.
const RECORD_LAG_MS: u64 = 3_000;

/// Up to when incarnations of upstreams have records, as far as news of them tells.
#[derive(Debug, Default)]
pub(super) struct SettledRecords {
    /// When news began to arrive without a gap in which upstreams may have been unable to
    /// write their records.
    news_since: Option<Instant>,
    /// Upstreams that accepted connections at this time have a record.
    until: Option<Instant>,
}

impl SettledRecords {
    /// Handles news that includes all records written until `read_at`.
    fn news_read(&mut self, read_at: Instant) {
        let since = *self.news_since.get_or_insert(read_at);
        if read_at.ms_since(since) >= RECORD_LAG_MS {
            let until = read_at - Duration::from_millis(RECORD_LAG_MS);
            self.until = self.until.max(Some(until));
        }
    }

    /// Handles the end of a time in which records may not have been written, or were lost.
    pub(super) fn interrupted(&mut self, now: Instant) {
        self.news_since = self.news_since.max(Some(now));
    }

    fn includes(&self, connected_at: Instant) -> bool {
        self.until.is_some_and(|until| connected_at <= until)
    }
}

impl Fleet {
    /// Records that the known records include all that were written until `read_at`.
    pub fn records_read(&mut self, read_at: Instant) {
        self.settled_records.news_read(read_at);
    }

    /// Records that an upstream itself, asked at `asked_at`, stated its incarnation.
    pub fn incarnation_stated(
        &mut self,
        asked_at: Instant,
        incarnation: UpstreamIncarnation<'_>,
    ) {
        if incarnation.started_unix_ms.is_none() {
            return;
        }
        if let Some(upstream) = self.incarnation_mut(incarnation) {
            upstream.stated_at = upstream.stated_at.max(Some(asked_at));
        }
    }

    /// Whether it is certain that a stream began at the version that `origin` names.
    ///
    /// An upstream may start again under its name with another version. Until its new
    /// record was read, streams that begin there are taken for ones of the old version.
    /// That can't be where each start has a name of its own: the stream is the answer to a
    /// request for that name. Elsewhere, a connection leads to one incarnation. It is not
    /// later than that of the record if the upstream states that one after the connection
    /// was opened, or if a later one would have a record by now. So a stream began at the
    /// version that both its record and a settled one name.
    pub fn confirms_origin(&self, origin: &StreamOrigin) -> bool {
        let OriginProof::Recorded {
            started_unix_ms,
            connected_at,
        } = origin.proof
        else {
            return true;
        };
        let Some(known) = self.upstreams.get(&origin.upstream) else {
            return false;
        };
        if started_unix_ms.is_none() && known.record.started_unix_ms.is_none() {
            return known.software() == origin.software;
        }
        let is_stated = known.stated_at.is_some_and(|at| at >= connected_at);
        let is_settled = is_stated || self.settled_records.includes(connected_at);
        let is_behind = known.record.started_unix_ms < started_unix_ms;
        is_settled && !is_behind && known.software() == origin.software
    }

    /// Whether the upstream of an origin has started again with another version, so that it
    /// will not be known at which one the stream began.
    pub fn refutes_origin(&self, origin: &StreamOrigin) -> bool {
        let OriginProof::Recorded {
            started_unix_ms, ..
        } = origin.proof
        else {
            return false;
        };
        let Some(known) = self.upstreams.get(&origin.upstream) else {
            return false;
        };
        let has_other_version = known.software() != origin.software;
        if started_unix_ms.is_none() {
            return has_other_version;
        }
        // The record that the origin names may be on its way, or that of a later
        // incarnation of which only the start is known.
        let is_behind = known.record.started_unix_ms < started_unix_ms;
        !is_behind && known.software().is_some() && has_other_version
    }
}
