//! The configuration: from the platform, or from peers while it is away.

use base::Version;
use base::prelude::*;
use conf::REVISION_PREFIX;
use live::Timing;
use prost::Message;
use schema::link::{ConfigAsk, ConfigChange, ConfigChanges, frame};
use schema::timeline::EventKind;
use std::fmt::Display;

use super::super::EntryAction;
use super::super::counters::Counts;
use super::super::shared::Shared;
use super::super::trace::Note;
use super::{Control, Effects};
use crate::Peer;

/// Least time between two questions for missing changes.
const ASK_EVERY_MS: u64 = 200;

impl Control {
    /// Takes the platform's snapshot.
    pub(super) fn take_snapshot(
        &mut self,
        value: &[u8],
        shared: &Shared,
        out: &mut Vec<EntryAction>,
        effects: &mut Effects,
    ) {
        match ConfigChanges::decode(value) {
            Ok(offered) => self.offer(&offered, shared, out, effects),
            Err(error) => reject(shared, &error, out),
        }
    }

    /// Takes changes from the platform. Returns whether some are missing
    /// between what is in force and the newest.
    pub(super) fn take_changes(
        &mut self,
        objects: &[(String, Version, Vec<u8>)],
        shared: &Shared,
        out: &mut Vec<EntryAction>,
        effects: &mut Effects,
    ) -> bool {
        let mut changes: Vec<ConfigChange> = objects
            .iter()
            .filter_map(|(key, _, value)| change(key, value))
            .collect();
        changes.sort_by_key(|change| change.revision);
        let next = self.log.revision().0 + 1;
        let first_new = changes.iter().map(|change| change.revision);
        let gap = first_new
            .filter(|revision| *revision >= next)
            .min()
            .is_some_and(|revision| revision > next);
        let offered = ConfigChanges {
            changes,
            ..ConfigChanges::default()
        };
        self.offer(&offered, shared, out, effects);
        gap
    }

    /// Puts newer changes in force; whatever is older or broken leaves all as
    /// it was.
    pub(super) fn offer(
        &mut self,
        offered: &ConfigChanges,
        shared: &Shared,
        out: &mut Vec<EntryAction>,
        effects: &mut Effects,
    ) {
        let before = self.log.revision();
        if let Err(error) = self.log.offer(offered) {
            reject(shared, &error, out);
        }
        if self.log.revision() == before {
            return;
        }
        self.in_force(before, shared, out);
        effects.wake_all = true;
    }

    fn in_force(
        &mut self,
        before: Revision,
        shared: &Shared,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(config) = self.log.current() else {
            return;
        };
        let timing = Timing::new(config.limits().heartbeat_ms);
        self.directory.set_timing(timing);
        self.entries.set_timing(timing);
        let verdict_ms = u64::from(config.limits().verdict_ms);
        shared.suspects.lock().set_verdict_ms(verdict_ms);
        let detail = format!("revision {} in place of {before}", self.log.revision());
        Note::new(EventKind::ConfigApplied, detail).put(out);
        self.set_ready(out);
    }

    /// A peer shows a revision: asks for what is missing if it is higher.
    pub(super) fn hear_revision(
        &mut self,
        now: Instant,
        peer: &Peer,
        revision: Revision,
        out: &mut Vec<EntryAction>,
    ) {
        let lately = self
            .asked_at
            .is_some_and(|at| now.ms_since(at) < ASK_EVERY_MS);
        if revision <= self.log.revision() || lately {
            return;
        }
        self.asked_at = Some(now);
        self.ask(peer, out);
    }

    /// Asks a peer for the changes after the revision in force.
    pub(super) fn ask(&self, peer: &Peer, out: &mut Vec<EntryAction>) {
        out.push(EntryAction::SendFrame {
            peer: peer.clone(),
            body: frame::Body::ConfigAsk(ConfigAsk {
                after_revision: self.log.revision().0,
            }),
        });
    }

    /// Answers a peer's question.
    pub(super) fn tell(&self, peer: &Peer, ask: ConfigAsk, out: &mut Vec<EntryAction>) {
        if self.log.current().is_none() {
            return;
        }
        let missing = self.log.changes_after(Revision(ask.after_revision));
        out.push(EntryAction::SendFrame {
            peer: peer.clone(),
            body: frame::Body::ConfigChanges(missing),
        });
    }
}

fn reject(shared: &Shared, error: &impl Display, out: &mut Vec<EntryAction>) {
    Counts::add(&shared.counts.config_rejected);
    let detail = format!("change not taken: {error}");
    Note::new(EventKind::ConfigRejected, detail)
        .code(Code::BadSyntax)
        .put(out);
}

fn change(key: &str, value: &[u8]) -> Option<ConfigChange> {
    let revision = key.strip_prefix(REVISION_PREFIX)?.parse().ok()?;
    Some(ConfigChange {
        revision,
        patch: value.to_vec(),
    })
}
