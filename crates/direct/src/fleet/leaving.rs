//! Upstreams that are leaving or gone, as entries tell one another.

use base::ObjectVersion;
use base::prelude::*;

use super::turns::in_turn;
use super::{ChangeKind, Fleet, Upstream, UpstreamChange};
use crate::UpstreamIncarnation;

/// Time for which entries tell one another that an upstream is leaving. It is longer
/// than the time in which a leaving upstream may still get requests, and than most
/// connection losses between entries.
const LEAVING_RESEND_MS: u64 = 8_000;

/// Maximum number of upstreams whose reports are kept before their records are known.
const MAX_EARLY_REPORTS: usize = 1_000;

impl Fleet {
    /// Upstreams that are leaving or whose records have vanished, with the version at
    /// which this was seen and whether the record vanished. Each is returned for
    /// `LEAVING_RESEND_MS` after it was last active.
    ///
    /// Other entries learn this from the platform as well, and after a few seconds of
    /// resending all of them know it. When these upstreams were sent for as long as
    /// they are remembered, those of a lost failure domain filled most of each message
    /// for a minute. An upstream that the platform doesn't list as leaving yet is sent
    /// until it does, because an entry that starts can't learn of it elsewhere.
    pub fn leaving_upstreams(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&Upstream, u64, bool)> {
        let recent = self.all().filter(move |upstream| {
            upstream.is_leaving_unlisted
                || now.ms_since(upstream.last_active_at) < LEAVING_RESEND_MS
        });
        recent.filter_map(|upstream| {
            let (version, vanished) = upstream.leaving_version()?;
            Some((upstream, version, vanished))
        })
    }

    /// Those of [`Fleet::leaving_upstreams`] to name in one message: `limit` at most,
    /// chosen in turn by the number of the message.
    ///
    /// Those that the platform doesn't list as leaving yet take half of the places or
    /// more: other entries can't learn of them elsewhere.
    pub fn leaving_to_announce(
        &self,
        now: Instant,
        message: u64,
        limit: usize,
    ) -> Vec<(&Upstream, u64, bool)> {
        let leaving = self.leaving_upstreams(now);
        let (unlisted, listed): (Vec<_>, Vec<_>) =
            leaving.partition(|(upstream, ..)| upstream.is_leaving_unlisted);
        let listed_places = listed.len().min(limit / 2);
        let mut announced = in_turn(&unlisted, message, limit - listed_places);
        let places = limit - announced.len();
        announced.extend(in_turn(&listed, message, places));
        announced
    }

    /// Records that a response of this incarnation announced that it is leaving. The
    /// platform's record may say so late or never. Returns whether this is new.
    pub fn note_leaving(&mut self, incarnation: UpstreamIncarnation<'_>) -> bool {
        self.incarnation_mut(incarnation)
            .is_some_and(Upstream::mark_leaving)
    }

    /// Handles another entry's report that an upstream is leaving, or that its record
    /// had vanished at a version.
    ///
    /// A record that vanished is reported by all entries that heard of it. If one entry
    /// were wrong, all would stop using the upstream, so the report counts only until
    /// this entry knows the platform's state at that version itself.
    pub fn peer_reported_leaving(
        &mut self,
        incarnation: UpstreamIncarnation<'_>,
        version: u64,
        vanished: bool,
    ) {
        let known_version = self.known_version;
        self.note_early_report(incarnation, vanished);
        let Some(upstream) = self.note_incarnation(incarnation) else {
            return;
        };
        let was_listed = upstream.is_listed();
        let change = if !vanished {
            upstream.mark_leaving().then_some(ChangeKind::Leaving)
        } else if upstream.vanished_at.is_none()
            && upstream.can_be_gone_at(version, known_version)
        {
            upstream.reported_gone_version = Some(version);
            was_listed.then_some(ChangeKind::Gone)
        } else {
            None
        };
        let change = change.map(|kind| UpstreamChange::new(upstream, kind));
        self.changes.extend(change);
    }

    /// Whether an upstream is leaving and the platform doesn't list it as such yet.
    pub fn knows_unlisted_leaving(&self) -> bool {
        self.all().any(|upstream| upstream.is_leaving_unlisted)
    }

    /// Keeps the report that an upstream is leaving until the first complete list: an
    /// entry that starts may be told before it knows the upstream.
    fn note_early_report(
        &mut self,
        incarnation: UpstreamIncarnation<'_>,
        vanished: bool,
    ) {
        let is_early = !self.has_complete_list
            && self.get(incarnation.id).is_none()
            && self.early_leaving.len() < MAX_EARLY_REPORTS;
        if is_early && !vanished {
            let started_unix_ms = incarnation.started_unix_ms;
            self.early_leaving
                .insert(incarnation.id.to_owned(), started_unix_ms);
        }
    }

    /// Applies the reports that came before the records of their upstreams.
    pub(super) fn apply_early_reports(&mut self) {
        for (id, started_unix_ms) in &self.early_leaving {
            let upstream = self.upstreams.get_mut(id.as_str());
            let reported = upstream
                .filter(|known| known.record.started_unix_ms == *started_unix_ms);
            if let Some(upstream) = reported
                && upstream.mark_leaving()
            {
                let change = UpstreamChange::new(upstream, ChangeKind::Leaving);
                self.changes.push(change);
            }
        }
    }

    /// Records that all changes of the platform's records up to a version were applied.
    /// Upstreams that other entries reported as gone before and that have a record are
    /// not gone.
    pub fn set_known_version(&mut self, version: u64) {
        self.known_version = self.known_version.max(version);
        for upstream in self.upstreams.values_mut() {
            let reported = upstream.reported_gone_version;
            upstream.reported_gone_version =
                reported.filter(|reported| upstream.can_be_gone_at(*reported, version));
        }
    }
}

impl Upstream {
    /// Handles a record of an upstream whose record was removed. Returns whether it only
    /// shows that the platform was restored from a copy of before the removal.
    ///
    /// A later record of the same generation was written since the restore, so the
    /// upstream is alive.
    pub(super) fn is_only_restored(&mut self, version: u64) -> bool {
        let generation = |version| ObjectVersion(version).generation();
        let removed_before = self
            .gone_version
            .is_some_and(|gone| generation(gone) < generation(version));
        if !self.is_confirmed_gone || !removed_before {
            return false;
        }
        let is_rewritten = self.restored_version.is_some_and(|restored| {
            restored < version && generation(restored) == generation(version)
        });
        if !is_rewritten {
            self.restored_version = Some(version);
        }
        !is_rewritten
    }

    /// Records that the platform has a record of the upstream.
    pub(super) const fn set_listed(&mut self) {
        self.gone_version = None;
        self.restored_version = None;
        self.is_confirmed_gone = false;
    }

    /// Whether the record may have been found missing at a version, given the version
    /// up to which the platform's changes are known here.
    ///
    /// Some platforms report a deletion with the version of the object's last change.
    const fn can_be_gone_at(&self, version: u64, known_version: u64) -> bool {
        let is_last_change = version == self.version;
        is_last_change || (version > self.version && version > known_version)
    }

    /// Forgets the report that the record is missing at a version before that of the
    /// record.
    pub(super) const fn forget_older_report(&mut self) {
        if let Some(reported) = self.reported_gone_version
            && self.version > reported
        {
            self.reported_gone_version = None;
        }
    }
}
