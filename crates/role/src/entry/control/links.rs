//! Links to other processes, member records, and the effects of changes in the
//! agent directory.

use base::prelude::*;
use live::{AgentChange, MemberKind};
use schema::link::{Goodbye, frame};
use schema::store::Member;
use schema::timeline::EventKind;

use super::super::shared::Shared;
use super::super::timeline::TimelineEvent;
use super::super::{EntryAction, EntryOptions};
use super::{Control, Effects, GoneReason};
use crate::Peer;

impl Control {
    /// Connects to the entries named in the settings, which can be reached without the
    /// platform.
    pub(super) fn dial_peers(
        &mut self,
        options: &EntryOptions,
        out: &mut Vec<EntryAction>,
    ) {
        for (id, address) in &options.peers {
            let incarnation = Incarnation(0);
            self.connect_if_new(
                MemberKind::Entry,
                id.as_str(),
                incarnation,
                address,
                out,
            );
        }
    }

    /// Connects to the process that a member record names.
    pub(super) fn apply_member(&mut self, member: &Member, out: &mut Vec<EntryAction>) {
        let kind = match member.kind.as_str() {
            "entry" => MemberKind::Entry,
            "agent" => MemberKind::Agent,
            _ => return,
        };
        let incarnation = Incarnation(member.incarnation);
        self.connect_if_new(kind, &member.id, incarnation, &member.link_address, out);
    }

    /// Connects to a process if its address is new.
    pub(super) fn connect_if_new(
        &mut self,
        kind: MemberKind,
        id: &str,
        incarnation: Incarnation,
        address: &str,
        out: &mut Vec<EntryAction>,
    ) {
        if kind == MemberKind::Entry && id == self.own_id.as_str() {
            return;
        }
        if !self.members.record_address(kind, id, incarnation, address) {
            return;
        }
        let peer = match kind {
            MemberKind::Entry => Peer::Entry(EntryId::new(id)),
            MemberKind::Agent => Peer::Agent(AgentId::new(id)),
        };
        out.push(EntryAction::Connect {
            peer,
            address: address.to_owned(),
        });
    }

    pub(crate) fn link_up(
        &mut self,
        now: Instant,
        peer: Peer,
        incarnation: Incarnation,
        out: &mut Vec<EntryAction>,
        effects: &mut Effects,
    ) {
        TimelineEvent::new(EventKind::LinkUp, "")
            .peer(&peer)
            .record(out);
        match &peer {
            Peer::Agent(id) => {
                let mut changes = Vec::new();
                self.directory.link_up(now, id, incarnation, &mut changes);
                self.apply_changes(&changes, out, effects);
                self.check_liveness(now, out, effects);
            }
            Peer::Entry(_) if self.config().is_none() => {
                self.request_config(&peer, out);
            }
            Peer::Entry(_) => {}
        }
        self.links.insert(peer, incarnation);
    }

    pub(crate) fn link_down(
        &mut self,
        now: Instant,
        peer: &Peer,
        out: &mut Vec<EntryAction>,
        effects: &mut Effects,
    ) {
        if self.links.remove(peer).is_none() {
            return;
        }
        TimelineEvent::new(EventKind::LinkDown, "")
            .peer(peer)
            .record(out);
        if let Peer::Agent(id) = peer {
            // Frames of the report may be lost.
            self.reported_runs.remove(id);
            self.directory.link_down(id);
            effects.gone_agents.insert(id.clone(), GoneReason::LinkDown);
            self.check_liveness(now, out, effects);
        }
    }

    /// Checks the liveness of all agents.
    pub(super) fn check_liveness(
        &mut self,
        now: Instant,
        out: &mut Vec<EntryAction>,
        effects: &mut Effects,
    ) {
        let silence_clock = self.silence_clock(now);
        let only_entry = !self.entries.any_alive(now);
        let mut changes = Vec::new();
        self.directory.tick(silence_clock, only_entry, &mut changes);
        self.apply_changes(&changes, out, effects);
    }

    /// Applies the effects of changes in the agent directory.
    pub(super) fn apply_changes(
        &mut self,
        changes: &[AgentChange],
        out: &mut Vec<EntryAction>,
        effects: &mut Effects,
    ) {
        for change in changes {
            self.apply_change(change, out, effects);
        }
    }

    /// Records a change in the timeline and collects its effects on requests.
    fn apply_change(
        &mut self,
        change: &AgentChange,
        out: &mut Vec<EntryAction>,
        effects: &mut Effects,
    ) {
        let (kind, id, detail) = match change {
            AgentChange::Suspected(id) => (
                EventKind::AgentSuspected,
                id,
                "silent or its link is down; gets no new requests",
            ),
            AgentChange::Lost(id) => {
                effects
                    .gone_agents
                    .entry(id.clone())
                    .or_insert(GoneReason::Lost);
                (
                    EventKind::AgentLost,
                    id,
                    "silent for too long; its attempts are given up",
                )
            }
            AgentChange::Recovered(id) => {
                effects.agents_with_capacity.insert(id.clone());
                (EventKind::AgentBack, id, "sends heartbeats again")
            }
            AgentChange::Leaving(id) => (
                EventKind::AgentLeaving,
                id,
                "draining; gets no new requests",
            ),
            AgentChange::Restarted(id) => {
                effects
                    .gone_agents
                    .insert(id.clone(), GoneReason::Restarted);
                (EventKind::AgentBack, id, "restarted")
            }
            AgentChange::UpstreamUp(id) => {
                effects.agents_with_capacity.insert(id.clone());
                (EventKind::UpstreamUp, id, "")
            }
            AgentChange::UpstreamDown(id) => (EventKind::UpstreamDown, id, ""),
            AgentChange::ResidentsChanged(id) => {
                effects.agents_with_capacity.insert(id.clone());
                return;
            }
            AgentChange::Removed(id) => {
                self.reported_runs.remove(id);
                self.members.remove(MemberKind::Agent, id.as_str());
                let peer = Peer::Agent(id.clone());
                out.push(EntryAction::Disconnect { peer });
                return;
            }
        };
        TimelineEvent::new(kind, detail).peer(id).record(out);
    }

    /// Tells all connected peers that this process is leaving.
    pub(super) fn send_goodbye(&self, shared: &Shared, out: &mut Vec<EntryAction>) {
        for peer in self.links.keys() {
            out.push(EntryAction::SendFrame {
                peer: peer.clone(),
                body: frame::Body::Goodbye(Goodbye {
                    id: self.own_id.to_string(),
                    incarnation: shared.options.incarnation.0,
                }),
            });
        }
    }
}
