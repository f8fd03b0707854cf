//! Handles frames that concern the control state.

use base::prelude::*;
use live::{HeartbeatSource, MemberKind};
use schema::link::{Goodbye, Heartbeat, frame};

use super::super::EntryAction;
use super::super::shared::Shared;
use super::{Control, Effects};
use crate::Peer;

impl Control {
    /// Handles a frame that concerns the control state; any other is dropped.
    pub(crate) fn frame_received(
        &mut self,
        now: Instant,
        shared: &Shared,
        peer: &Peer,
        body: frame::Body,
        out: &mut Vec<EntryAction>,
        effects: &mut Effects,
    ) {
        match (body, peer) {
            // A process may send only its own heartbeats and gossip.
            (frame::Body::Heartbeat(heartbeat), Peer::Agent(id))
                if heartbeat.agent == id.as_str() =>
            {
                self.report_keyed_runs(now, &heartbeat, shared, out);
                self.heartbeat_received(
                    now,
                    heartbeat,
                    HeartbeatSource::Direct,
                    out,
                    effects,
                );
            }
            (frame::Body::Gossip(gossip), Peer::Entry(id))
                if gossip.entry == id.as_str() =>
            {
                self.receive_gossip(now, gossip, shared, out, effects);
            }
            (frame::Body::KeyedRuns(runs), Peer::Entry(_)) => {
                Self::keyed_runs_received(now, runs, shared);
            }
            (frame::Body::ConfigAsk(ask), _) => self.send_config(peer, ask, out),
            (frame::Body::ConfigChanges(changes), _) => {
                self.config_requested_at = None;
                self.merge_config(&changes, shared, out, effects);
            }
            (frame::Body::Goodbye(goodbye), _) => {
                self.goodbye_received(peer, &goodbye, out, effects);
            }
            _ => {}
        }
    }

    /// Handles an agent's heartbeat, received directly or relayed in gossip.
    pub(super) fn heartbeat_received(
        &mut self,
        now: Instant,
        heartbeat: Heartbeat,
        source: HeartbeatSource,
        out: &mut Vec<EntryAction>,
        effects: &mut Effects,
    ) {
        let incarnation = Incarnation(heartbeat.incarnation);
        let id = AgentId::new(&heartbeat.agent);
        let address = heartbeat.link_address.clone();
        let mut changes = Vec::new();
        if !self
            .directory
            .record_heartbeat(now, heartbeat, source, &mut changes)
        {
            return;
        }
        self.connect_if_new(MemberKind::Agent, id.as_str(), incarnation, &address, out);
        let only_entry = !self.entries.any_alive(now);
        self.directory
            .update_liveness(now, &id, only_entry, &mut changes);
        self.apply_changes(&changes, out, effects);
        effects.agents_with_capacity.insert(id);
    }

    /// Requests newer configuration changes from a peer whose frame named a
    /// higher revision than the one in force here.
    pub(crate) fn peer_revision_received(
        &mut self,
        now: Instant,
        peer: &Peer,
        revision: Revision,
        out: &mut Vec<EntryAction>,
    ) {
        self.request_newer_config(now, peer, revision, out);
    }

    fn goodbye_received(
        &mut self,
        peer: &Peer,
        goodbye: &Goodbye,
        out: &mut Vec<EntryAction>,
        effects: &mut Effects,
    ) {
        let incarnation = Incarnation(goodbye.incarnation);
        match peer {
            Peer::Agent(id) => {
                let mut changes = Vec::new();
                self.directory.mark_leaving(id, incarnation, &mut changes);
                self.apply_changes(&changes, out, effects);
            }
            Peer::Entry(id) => self.entries.mark_leaving(id, incarnation),
        }
    }
}
