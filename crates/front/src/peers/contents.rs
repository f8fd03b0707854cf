//! What a message to other entries holds.

use direct::{
    MessageDetail, Upstream, is_repeat_round, repeat_number, suspects_per_message,
    upstreams_per_message,
};
use schema::link::Suspect;
use schema::peer::{LeavingUpstream, SuspectPart, Watched};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::message::{leaving, leaving_message};
use crate::platform_watch::Collection;
use crate::state::Node;

/// Minimum number of changed suspects, and of parts, that a message may hold. Each takes
/// some 40 B.
const MIN_CHANGES: usize = 16;

/// What a message holds.
#[derive(Debug)]
pub(super) struct Contents<'a> {
    pub(super) audience: Audience,
    pub(super) detail: MessageDetail,
    pub(super) changes: &'a Changes,
}

impl Contents<'_> {
    /// Whether a message with these contents is of use to all entries of a failure
    /// domain.
    ///
    /// One with changes is not passed on: a later direct message may overtake it, and it
    /// would then be dropped with them.
    pub(super) fn may_be_passed_on(&self) -> bool {
        matches!(self.audience, Audience::Entry)
            && matches!(self.detail, MessageDetail::Changes)
            && self.changes.is_empty()
    }
}

impl Contents<'static> {
    /// Contents of a message that not all entries get. What changed is sent with a
    /// message to all.
    pub(super) const fn part_of_round(
        audience: Audience,
        detail: MessageDetail,
    ) -> Self {
        const NONE: &Changes = &Changes::none();
        Self {
            audience,
            detail,
            changes: NONE,
        }
    }
}

/// What changed lately, for the peers that know the rest.
#[derive(Debug, Default)]
pub(super) struct Changes {
    pub(super) suspects: Vec<Suspect>,
    pub(super) suspect_parts: Vec<SuspectPart>,
    pub(super) leaving: Vec<LeavingUpstream>,
    /// What this entry's watch of a collection observed, or the first part of it.
    pub(super) watched: Option<(Collection, Watched)>,
}

impl Changes {
    const fn none() -> Self {
        Self {
            suspects: Vec::new(),
            suspect_parts: Vec::new(),
            leaving: Vec::new(),
            watched: None,
        }
    }

    const fn is_empty(&self) -> bool {
        self.suspects.is_empty()
            && self.suspect_parts.is_empty()
            && self.leaving.is_empty()
            && self.watched.is_none()
    }

    /// Takes what a message to all entries is to hold, and counts that it is sent.
    pub(super) fn take(node: &Node, trigger: Trigger) -> Self {
        let now = node.now();
        let peers = node.peers.address_count();
        // Only the observer of a change sends it, so its number isn't divided by the peers.
        let suspects_max = suspects_per_message(peers).max(MIN_CHANGES);
        let leaving_max = upstreams_per_message(peers);
        let round = node.peers.table.lock().periodic_rounds;
        let offset = xxh3_64(node.options.entry.as_bytes());
        let is_repeat =
            trigger == Trigger::Periodic && is_repeat_round(round, offset, peers);
        let mut parts = node.suspect_parts.lock();
        let mut suspect_parts = parts.export_changes(now, suspects_max);
        if is_repeat {
            let turn = repeat_number(round, peers);
            suspect_parts.extend(parts.export_observed(now, turn, suspects_max));
        }
        drop(parts);
        let fleet = node.fleet.lock();
        let leaving = if is_repeat {
            leaving(&fleet, now, repeat_number(round, peers), leaving_max)
        } else {
            let all: Vec<_> = fleet.leaving_upstreams(now).collect();
            let keys: Vec<u64> = all.iter().map(leaving_key).collect();
            let mut table = node.peers.table.lock();
            let due = table.leaving_changes.take(&keys, leaving_max);
            due.into_iter()
                .map(|position| leaving_message(all[position]))
                .collect()
        };
        drop(fleet);
        Self {
            suspects: node.suspects.lock().export_changes(now, suspects_max),
            suspect_parts,
            leaving,
            watched: None,
        }
    }
}

/// Identifies what is known about a leaving upstream.
fn leaving_key((upstream, version, vanished): &(&Upstream, u64, bool)) -> u64 {
    let started_unix_ms = upstream.record.started_unix_ms.unwrap_or(0);
    let seed =
        started_unix_ms.rotate_left(20) ^ version.rotate_left(1) ^ u64::from(*vanished);
    xxh3_64_with_seed(upstream.record.id.as_bytes(), seed)
}

/// The recipients of a message. What only the coordinator needs makes up most
/// of a message if there are many models, and would be useless to every other
/// entry.
#[derive(Debug, Clone, Copy)]
pub(super) enum Audience {
    Entry,
    Coordinator,
}

/// Why a message is sent. All holdings of upstreams are repeated, part by part,
/// only in periodic messages: they make up most of a message, and changes are
/// sent many times per second.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Trigger {
    /// A periodic message, with a part of the upstreams' holdings.
    Periodic,
    /// Something changed, possibly the upstreams' holdings.
    Change,
    /// The platform reported changes of a collection, for the followers of this
    /// entry's watches.
    PlatformWatch(Collection),
}

impl Trigger {
    /// Value of the trigger in metrics.
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::Periodic => "periodic",
            Self::Change => "change",
            Self::PlatformWatch(_) => "platform_watch",
        }
    }
}
