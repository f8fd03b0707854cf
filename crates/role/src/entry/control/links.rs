//! Links, members, and what changes in the directory mean.

use base::prelude::*;
use live::{Change, MemberKind};
use schema::link::{Goodbye, frame};
use schema::store::Member;
use schema::timeline::EventKind;

use super::super::shared::Shared;
use super::super::trace::Note;
use super::super::{EntryAction, EntryOptions};
use super::{Control, Effects, Gone};
use crate::Peer;

impl Control {
    /// Connects to the entries named in the settings, which are there also when
    /// the platform is not.
    pub(super) fn dial_peers(
        &mut self,
        options: &EntryOptions,
        out: &mut Vec<EntryAction>,
    ) {
        for (id, address) in &options.peers {
            let incarnation = Incarnation(0);
            self.reach(MemberKind::Entry, id.as_str(), incarnation, address, out);
        }
    }

    pub(super) fn take_member(&mut self, member: &Member, out: &mut Vec<EntryAction>) {
        let kind = match member.kind.as_str() {
            "entry" => MemberKind::Entry,
            "agent" => MemberKind::Agent,
            _ => return,
        };
        let incarnation = Incarnation(member.incarnation);
        self.reach(kind, &member.id, incarnation, &member.link_address, out);
    }

    /// Connects to a process whose address is new.
    pub(super) fn reach(
        &mut self,
        kind: MemberKind,
        id: &str,
        incarnation: Incarnation,
        address: &str,
        out: &mut Vec<EntryAction>,
    ) {
        if kind == MemberKind::Entry && id == self.me.as_str() {
            return;
        }
        if !self.members.note(kind, id, incarnation, address) {
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
        Note::new(EventKind::LinkUp, "").peer(&peer).put(out);
        match &peer {
            Peer::Agent(id) => {
                let mut changes = Vec::new();
                self.directory.link_up(now, id, incarnation, &mut changes);
                self.apply(&changes, out, effects);
                self.judge(now, out, effects);
            }
            Peer::Entry(_) if self.config().is_none() => self.ask(&peer, out),
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
        Note::new(EventKind::LinkDown, "").peer(peer).put(out);
        if let Peer::Agent(id) = peer {
            self.directory.link_down(id);
            effects.gone.insert(id.clone(), Gone::LinkDown);
            self.judge(now, out, effects);
        }
    }

    /// Judges every agent anew.
    pub(super) fn judge(
        &mut self,
        now: Instant,
        out: &mut Vec<EntryAction>,
        effects: &mut Effects,
    ) {
        let judged_at = self.judged_at(now);
        let alone = !self.entries.any_alive(now);
        let mut changes = Vec::new();
        self.directory.tick(judged_at, alone, &mut changes);
        self.apply(&changes, out, effects);
    }

    /// Carries out what changes in the directory mean.
    pub(super) fn apply(
        &mut self,
        changes: &[Change],
        out: &mut Vec<EntryAction>,
        effects: &mut Effects,
    ) {
        for change in changes {
            self.apply_one(change, out, effects);
        }
    }

    fn apply_one(
        &mut self,
        change: &Change,
        out: &mut Vec<EntryAction>,
        effects: &mut Effects,
    ) {
        let (kind, id, detail) = match change {
            Change::Suspected(id) => (
                EventKind::AgentSuspected,
                id,
                "silent or its link is down: no new work",
            ),
            Change::Lost(id) => {
                effects.gone.entry(id.clone()).or_insert(Gone::Lost);
                (EventKind::AgentLost, id, "given up")
            }
            Change::Back(id) => {
                effects.room.insert(id.clone());
                (EventKind::AgentBack, id, "heard")
            }
            Change::Leaving(id) => (EventKind::AgentLeaving, id, "no new work"),
            Change::Restarted(id) => {
                effects.gone.insert(id.clone(), Gone::Restarted);
                (EventKind::AgentBack, id, "a new run of it")
            }
            Change::UpstreamUp(id) => {
                effects.room.insert(id.clone());
                (EventKind::UpstreamUp, id, "")
            }
            Change::UpstreamDown(id) => (EventKind::UpstreamDown, id, ""),
            Change::Residency(id) => {
                effects.room.insert(id.clone());
                return;
            }
            Change::Forgotten(id) => {
                self.members.forget(MemberKind::Agent, id.as_str());
                let peer = Peer::Agent(id.clone());
                out.push(EntryAction::Disconnect { peer });
                return;
            }
        };
        Note::new(kind, detail).peer(id).put(out);
    }

    pub(super) fn say_goodbye(&self, shared: &Shared, out: &mut Vec<EntryAction>) {
        for peer in self.links.keys() {
            out.push(EntryAction::SendFrame {
                peer: peer.clone(),
                body: frame::Body::Goodbye(Goodbye {
                    id: self.me.to_string(),
                    incarnation: shared.options.incarnation.0,
                }),
            });
        }
    }
}
