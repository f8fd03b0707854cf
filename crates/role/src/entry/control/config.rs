//! The configuration, read from the platform, or from peers during its outages.

use base::ObjectVersion;
use base::prelude::*;
use conf::REVISION_KEY_PREFIX;
use live::SilenceLimits;
use prost::Message;
use schema::link::{ConfigAsk, ConfigChange, ConfigChanges, frame};
use schema::timeline::EventKind;
use std::fmt::Display;

use super::super::EntryAction;
use super::super::counters::Counts;
use super::super::shared::Shared;
use super::super::timeline::TimelineEvent;
use super::{Control, Effects};
use crate::Peer;

/// Minimum interval between requests to peers for missing changes.
const CONFIG_REQUEST_MIN_INTERVAL_MS: u64 = 200;

impl Control {
    /// Applies the snapshot stored by the platform.
    pub(super) fn apply_snapshot(
        &mut self,
        value: &[u8],
        shared: &Shared,
        out: &mut Vec<EntryAction>,
        effects: &mut Effects,
    ) {
        match ConfigChanges::decode(value) {
            Ok(snapshot) => self.merge_config(&snapshot, shared, out, effects),
            Err(error) => record_rejected(shared, &error, out),
        }
    }

    /// Applies changes read from the platform. Returns whether changes are missing
    /// between the revision in force and the oldest newer one.
    pub(super) fn apply_config_changes(
        &mut self,
        objects: &[(String, ObjectVersion, Vec<u8>)],
        shared: &Shared,
        out: &mut Vec<EntryAction>,
        effects: &mut Effects,
    ) -> bool {
        let mut changes: Vec<ConfigChange> = objects
            .iter()
            .filter_map(|(key, _, value)| parse_change(key, value))
            .collect();
        changes.sort_by_key(|change| change.revision);
        let next = self.config_log.revision().0 + 1;
        let revisions = changes.iter().map(|change| change.revision);
        let gap = revisions
            .filter(|revision| *revision >= next)
            .min()
            .is_some_and(|revision| revision > next);
        let received = ConfigChanges {
            changes,
            ..ConfigChanges::default()
        };
        self.merge_config(&received, shared, out, effects);
        gap
    }

    /// Applies newer changes. Older or invalid ones leave the configuration in force
    /// unchanged.
    pub(super) fn merge_config(
        &mut self,
        changes: &ConfigChanges,
        shared: &Shared,
        out: &mut Vec<EntryAction>,
        effects: &mut Effects,
    ) {
        let before = self.config_log.revision();
        if let Err(error) = self.config_log.apply_newer(changes) {
            record_rejected(shared, &error, out);
        }
        if self.config_log.revision() == before {
            return;
        }
        self.config_applied(before, shared, out);
        effects.wake_all = true;
    }

    /// Puts a new configuration into effect here.
    fn config_applied(
        &mut self,
        before: Revision,
        shared: &Shared,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(config) = self.config_log.current() else {
            return;
        };
        let silence_limits = SilenceLimits::new(config.limits().heartbeat_ms);
        self.directory.set_silence_limits(silence_limits);
        self.entries.set_silence_limits(silence_limits);
        let verdict_ms = u64::from(config.limits().verdict_ms);
        shared.suspects.lock().set_verdict_ms(verdict_ms);
        let detail =
            format!("revision {} replaces {before}", self.config_log.revision());
        TimelineEvent::new(EventKind::ConfigApplied, detail).record(out);
        self.update_ready(out);
    }

    /// Requests the missing changes from a peer that has a higher revision in force.
    pub(super) fn request_newer_config(
        &mut self,
        now: Instant,
        peer: &Peer,
        revision: Revision,
        out: &mut Vec<EntryAction>,
    ) {
        let requested_recently = self
            .config_requested_at
            .is_some_and(|at| now.ms_since(at) < CONFIG_REQUEST_MIN_INTERVAL_MS);
        if revision <= self.config_log.revision() || requested_recently {
            return;
        }
        self.config_requested_at = Some(now);
        self.request_config(peer, out);
    }

    /// Requests the changes after the revision in force from a peer.
    pub(super) fn request_config(&self, peer: &Peer, out: &mut Vec<EntryAction>) {
        out.push(EntryAction::SendFrame {
            peer: peer.clone(),
            body: frame::Body::ConfigAsk(ConfigAsk {
                after_revision: self.config_log.revision().0,
            }),
        });
    }

    /// Answers a peer's request for changes.
    pub(super) fn send_config(
        &self,
        peer: &Peer,
        ask: ConfigAsk,
        out: &mut Vec<EntryAction>,
    ) {
        if self.config_log.current().is_none() {
            return;
        }
        let missing = self.config_log.changes_after(Revision(ask.after_revision));
        out.push(EntryAction::SendFrame {
            peer: peer.clone(),
            body: frame::Body::ConfigChanges(missing),
        });
    }
}

fn record_rejected(shared: &Shared, error: &impl Display, out: &mut Vec<EntryAction>) {
    Counts::increment(&shared.counts.config_rejected);
    let detail = format!("configuration change rejected: {error}");
    TimelineEvent::new(EventKind::ConfigRejected, detail)
        .code(ErrorCode::BadSyntax)
        .record(out);
}

fn parse_change(key: &str, value: &[u8]) -> Option<ConfigChange> {
    let revision = key.strip_prefix(REVISION_KEY_PREFIX)?.parse().ok()?;
    Some(ConfigChange {
        revision,
        patch: value.to_vec(),
    })
}
