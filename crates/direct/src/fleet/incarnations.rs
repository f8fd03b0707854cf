//! Incarnations of upstreams under one name.

use std::sync::Arc;

use super::{ChangeKind, Fleet, Upstream, UpstreamChange};
use crate::{LocalWeights, UpstreamIncarnation, UpstreamRecord};

impl Upstream {
    /// What is known of an upstream that has restarted and whose new record hasn't been
    /// read yet: its address, service, local weights on disk, and whether its record is
    /// missing. Its software may be another version. It holds no models and has no requests.
    fn restarted(&self, started_unix_ms: Option<u64>) -> Self {
        let record = UpstreamRecord {
            started_unix_ms,
            software_version: None,
            leaving: false,
            gone_in_ms: None,
            residents: Vec::new(),
            local_weights: LocalWeights {
                in_memory: Vec::new(),
                on_disk: self.record.local_weights.on_disk.clone(),
            },
            ..self.record.clone()
        };
        Self {
            vanished_at: self.vanished_at,
            gone_version: self.gone_version,
            reported_gone_version: self.reported_gone_version,
            last_active_at: self.last_active_at,
            ..Self::new(record, self.version)
        }
    }
}

impl Fleet {
    /// The upstream, if this is its latest known incarnation.
    pub fn incarnation_mut(
        &mut self,
        incarnation: UpstreamIncarnation<'_>,
    ) -> Option<&mut Upstream> {
        let known = self.upstreams.get_mut(incarnation.id)?;
        (known.record.started_unix_ms == incarnation.started_unix_ms).then_some(known)
    }

    /// Whether the upstream has restarted after this incarnation. Everything that ran
    /// there has ended.
    pub fn is_superseded(&self, incarnation: UpstreamIncarnation<'_>) -> bool {
        let known = self.upstreams.get(incarnation.id);
        known.is_some_and(|known| {
            known.record.started_unix_ms > incarnation.started_unix_ms
        })
    }

    /// Handles the start time in an upstream's report.
    ///
    /// If the platform's records have no start times, the report changes nothing:
    /// otherwise every later record would count as one of an earlier incarnation.
    pub fn observe_report(&mut self, incarnation: UpstreamIncarnation<'_>) {
        let known = self.upstreams.get(incarnation.id);
        if known.is_some_and(|known| known.record.started_unix_ms.is_some()) {
            self.note_incarnation(incarnation);
        }
    }

    /// Handles an incarnation named by a source other than the platform. Returns the
    /// upstream unless a later incarnation is known. If this one is later than the
    /// known one, it replaces it.
    pub(super) fn note_incarnation(
        &mut self,
        incarnation: UpstreamIncarnation<'_>,
    ) -> Option<&mut Upstream> {
        let known = self.upstreams.get(incarnation.id)?;
        if incarnation.started_unix_ms > known.record.started_unix_ms {
            let restarted = known.restarted(incarnation.started_unix_ms);
            self.note_software_change(&restarted.record);
            let change = UpstreamChange::new(&restarted, ChangeKind::Restarted);
            self.changes.push(change);
            let id = Arc::clone(&restarted.record.id);
            self.upstreams.insert(id, restarted);
            self.update_missing_start_times();
        }
        self.incarnation_mut(incarnation)
    }

    /// Finds records without a start time where most records have one. They come from
    /// another writer and describe no usable upstream.
    ///
    /// If upstreams don't provide start times, a single foreign record with one must
    /// not make all others unusable, so the majority decides. In a tie all are used: a
    /// request to something that isn't an upstream is merely sent elsewhere.
    pub(super) fn update_missing_start_times(&mut self) {
        let all = self.upstreams.values();
        let with_start_time = all
            .filter(|known| known.record.started_unix_ms.is_some())
            .count();
        let most_have_start_time = with_start_time * 2 > self.upstreams.len();
        for known in self.upstreams.values_mut() {
            known.lacks_start_time =
                most_have_start_time && known.record.started_unix_ms.is_none();
        }
    }
}
