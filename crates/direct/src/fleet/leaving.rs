//! Upstreams that are leaving or gone, as entries tell one another.

use base::prelude::*;

use super::{ChangeKind, Fleet, Upstream, UpstreamChange};
use crate::UpstreamIncarnation;

/// Time for which entries tell one another that an upstream is leaving. It is longer
/// than the time in which a leaving upstream may still get requests, and than most
/// connection losses between entries.
const LEAVING_RESEND_MS: u64 = 8_000;

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

    /// Records that a response of this incarnation announced that it is leaving. The
    /// platform's record may say so late or never. Returns whether this is new.
    pub fn note_leaving(&mut self, incarnation: UpstreamIncarnation<'_>) -> bool {
        self.incarnation_mut(incarnation)
            .is_some_and(Upstream::mark_leaving)
    }

    /// Handles another entry's report that an upstream is leaving, or that its record
    /// had vanished at a version.
    pub fn peer_reported_leaving(
        &mut self,
        incarnation: UpstreamIncarnation<'_>,
        version: u64,
        vanished: bool,
    ) {
        let Some(upstream) = self.note_incarnation(incarnation) else {
            return;
        };
        let change = if !vanished {
            let is_new = upstream.mark_leaving();
            is_new.then(|| UpstreamChange::new(upstream, ChangeKind::Leaving))
        } else if version >= upstream.version && upstream.vanished_at.is_none() {
            let is_new = upstream.gone_version.replace(version).is_none();
            is_new.then(|| UpstreamChange::new(upstream, ChangeKind::Gone))
        } else {
            None
        };
        self.changes.extend(change);
    }
}
