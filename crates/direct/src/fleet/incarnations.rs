//! Starts of upstreams under one name.

use super::{Fleet, Upstream};
use crate::{LocalWeights, UpstreamIncarnation, UpstreamRecord};

impl Upstream {
    /// What is left of what was known once it has started again, as long as its
    /// new entry was not read: where it is reached, what it serves, its disk, and
    /// whether its entry is missing. It holds nothing and has no requests.
    fn restarted(&self, born_ms: Option<u64>) -> Self {
        let news = UpstreamRecord {
            started_unix_ms: born_ms,
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
            last_active_at: self.last_active_at,
            ..Self::new(news, self.version)
        }
    }
}

impl Fleet {
    /// The upstream, if this start of it is the latest that is known.
    pub fn incarnation_mut(
        &mut self,
        start: UpstreamIncarnation<'_>,
    ) -> Option<&mut Upstream> {
        let known = self.upstreams.get_mut(start.id)?;
        (known.record.started_unix_ms == start.started_unix_ms).then_some(known)
    }

    /// Whether an upstream has started again after this start of it. What ran
    /// there has ended.
    pub fn is_superseded(&self, start: UpstreamIncarnation<'_>) -> bool {
        let known = self.upstreams.get(start.id);
        known.is_some_and(|known| known.record.started_unix_ms > start.started_unix_ms)
    }

    /// An upstream's report names its start.
    ///
    /// Where entries say nothing of starts, the report changes nothing here: each
    /// entry that comes after it would be taken for an earlier start's.
    pub fn observe_report(&mut self, start: UpstreamIncarnation<'_>) {
        let known = self.upstreams.get(start.id);
        if known.is_some_and(|known| known.record.started_unix_ms.is_some()) {
            self.note_incarnation(start);
        }
    }

    /// Another than the platform speaks of a start: the upstream, unless a later
    /// start is known. A later one than is known begins here.
    pub(super) fn note_incarnation(
        &mut self,
        start: UpstreamIncarnation<'_>,
    ) -> Option<&mut Upstream> {
        let known = self.upstreams.get_mut(start.id)?;
        if start.started_unix_ms > known.record.started_unix_ms {
            *known = known.restarted(start.started_unix_ms);
            self.update_undated();
        }
        self.incarnation_mut(start)
    }

    /// Finds the entries that do not say when their upstream started though most
    /// entries do. They are another writer's, and name no upstream to use.
    ///
    /// Where upstreams do not say it, one entry of another writer that names a
    /// time must not take out all others, so the most decide; at a draw all are
    /// used, since a request to what is no upstream only goes elsewhere.
    pub(super) fn update_undated(&mut self) {
        let all = self.upstreams.values();
        let dated = all
            .filter(|known| known.record.started_unix_ms.is_some())
            .count();
        let most_are_dated = dated * 2 > self.upstreams.len();
        for known in self.upstreams.values_mut() {
            known.lacks_start_time =
                most_are_dated && known.record.started_unix_ms.is_none();
        }
    }
}
