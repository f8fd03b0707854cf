//! Frames that concern the control part.

use base::prelude::*;
use live::{Heard, MemberKind};
use schema::link::{Goodbye, Heartbeat, frame};

use super::super::EntryAction;
use super::super::shared::Shared;
use super::{Control, Effects};
use crate::Peer;

impl Control {
    /// Takes a frame that concerns the control part; others are dropped.
    pub(crate) fn frame(
        &mut self,
        now: Instant,
        shared: &Shared,
        peer: &Peer,
        body: frame::Body,
        out: &mut Vec<EntryAction>,
        effects: &mut Effects,
    ) {
        match (body, peer) {
            // A process speaks for itself only.
            (frame::Body::Heartbeat(beat), Peer::Agent(id))
                if beat.agent == id.as_str() =>
            {
                self.heartbeat(now, beat, Heard::Direct, out, effects);
            }
            (frame::Body::Gossip(gossip), Peer::Entry(id))
                if gossip.entry == id.as_str() =>
            {
                self.receive_gossip(now, gossip, shared, out, effects);
            }
            (frame::Body::ConfigAsk(ask), _) => self.send_config(peer, ask, out),
            (frame::Body::ConfigChanges(offered), _) => {
                self.config_requested_at = None;
                self.merge_config(&offered, shared, out, effects);
            }
            (frame::Body::Goodbye(goodbye), _) => {
                self.goodbye(peer, &goodbye, out, effects);
            }
            _ => {}
        }
    }

    /// Takes a heartbeat, its sender's own or one relayed.
    pub(super) fn heartbeat(
        &mut self,
        now: Instant,
        beat: Heartbeat,
        heard: Heard,
        out: &mut Vec<EntryAction>,
        effects: &mut Effects,
    ) {
        let incarnation = Incarnation(beat.incarnation);
        let id = AgentId::new(&beat.agent);
        let address = beat.link_address.clone();
        let mut changes = Vec::new();
        if !self.directory.hear(now, beat, heard, &mut changes) {
            return;
        }
        self.connect_if_new(MemberKind::Agent, id.as_str(), incarnation, &address, out);
        let alone = !self.entries.any_alive(now);
        self.directory.judge(now, &id, alone, &mut changes);
        self.apply_changes(&changes, out, effects);
        effects.agents_with_capacity.insert(id);
    }

    /// TimelineEvent that a revision was heard with a frame.
    pub(crate) fn heard_revision(
        &mut self,
        now: Instant,
        peer: &Peer,
        revision: Revision,
        out: &mut Vec<EntryAction>,
    ) {
        self.request_newer_config(now, peer, revision, out);
    }

    fn goodbye(
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
                self.directory.goodbye(id, incarnation, &mut changes);
                self.apply_changes(&changes, out, effects);
            }
            Peer::Entry(id) => self.entries.goodbye(id, incarnation),
        }
    }
}
