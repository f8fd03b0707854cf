//! Connections between processes.

use base::prelude::*;
use role::Peer;
use role::agent::AgentEvent;
use role::entry::EntryEvent;
use schema::link::frame;
use std::collections::{BTreeMap, BTreeSet};

use super::Simulation;
use super::event_queue::{LinkMessage, ProcessIncarnation, SimEvent};
use super::process::ProcessState;

/// One-way latency between any two processes.
const LINK_LATENCY: Duration = Duration::from_micros(500);

/// Delay before an entry dials again.
const REDIAL_DELAY_MS: u64 = 200;

/// Connections between processes, and the cuts in force.
#[derive(Debug, Default)]
pub(crate) struct Links {
    next_id: u64,
    by_id: BTreeMap<u64, Link>,
    cuts: BTreeSet<(String, String)>,
    /// Messages held back by cuts: link, receiving process and message.
    blocked: Vec<(u64, String, LinkMessage)>,
}

/// A connection dialed by an entry.
#[derive(Debug, Clone)]
pub(crate) struct Link {
    entry: String,
    entry_incarnation: ProcessIncarnation,
    peer_process: String,
    peer_incarnation: ProcessIncarnation,
    peer: Peer,
    /// The connection has ended and carries no new frames.
    closed: bool,
    /// Frames that were in flight when the connection ended are dropped.
    loses_in_flight: bool,
}

impl Links {
    fn open_links(&self, matches_link: impl Fn(&Link) -> bool) -> Vec<u64> {
        let links = self.by_id.iter();
        let open = links.filter(|(_, link)| !link.closed && matches_link(link));
        open.map(|(id, _)| *id).collect()
    }

    /// Returns the open connection that an entry dialed to a peer.
    pub(crate) fn link_to_peer(&self, entry: &str, peer: &Peer) -> Option<u64> {
        let matching =
            self.open_links(|link| link.entry == entry && link.peer == *peer);
        matching.first().copied()
    }

    /// Returns the open connection that an entry dialed to an agent process.
    pub(crate) fn link_from_entry(&self, agent: &str, entry: &str) -> Option<u64> {
        let matching =
            self.open_links(|link| link.entry == entry && link.peer_process == agent);
        matching.first().copied()
    }

    pub(crate) fn rename_process(&mut self, from: &str, to: &str) {
        for link in self
            .by_id
            .values_mut()
            .filter(|link| link.peer_process == from)
        {
            link.peer_process = to.to_owned();
        }
        for (_, endpoint, _) in self
            .blocked
            .iter_mut()
            .filter(|(_, endpoint, _)| endpoint == from)
        {
            *endpoint = to.to_owned();
        }
    }

    pub(crate) fn is_cut(&self, a: &str, b: &str) -> bool {
        self.cuts.contains(&unordered_pair(a, b))
    }
}

fn unordered_pair(a: &str, b: &str) -> (String, String) {
    let (low, high) = if a < b { (a, b) } else { (b, a) };
    (low.to_owned(), high.to_owned())
}

impl Simulation<'_> {
    pub(crate) fn dial(
        &mut self,
        entry: &str,
        incarnation: ProcessIncarnation,
        peer: &Peer,
    ) {
        if self.process_state(entry, incarnation) == ProcessState::Gone {
            return;
        }
        let Some(address) = self.entries[entry].desired_peers.get(peer).cloned() else {
            return;
        };
        if self.links.link_to_peer(entry, peer).is_some() {
            return;
        }
        let peer_process = self.process_at_address(&address);
        let reachable = peer_process.filter(|(peer_process, peer_incarnation)| {
            self.process_state(peer_process, *peer_incarnation) == ProcessState::Running
                && !self.links.is_cut(entry, peer_process)
        });
        let frozen = self.entries[entry].frozen;
        let Some((peer_process, peer_incarnation)) = reachable.filter(|_| !frozen)
        else {
            self.redial(entry, incarnation, peer);
            return;
        };
        let id = self.links.next_id;
        self.links.next_id += 1;
        let link = Link {
            entry: entry.to_owned(),
            entry_incarnation: incarnation,
            peer_process: peer_process.clone(),
            peer_incarnation,
            peer: peer.clone(),
            closed: false,
            loses_in_flight: false,
        };
        self.links.by_id.insert(id, link);
        self.send_link_message(id, entry, LinkMessage::Hello);
        self.send_link_message(id, &peer_process, LinkMessage::Hello);
    }

    fn redial(&mut self, entry: &str, incarnation: ProcessIncarnation, peer: &Peer) {
        let at = self.now.plus_ms(REDIAL_DELAY_MS);
        let dial = SimEvent::Dial {
            entry: entry.to_owned(),
            incarnation,
            peer: peer.clone(),
        };
        self.events.schedule(at, dial);
    }

    fn process_at_address(
        &mut self,
        address: &str,
    ) -> Option<(String, ProcessIncarnation)> {
        let entries = self.entries.iter();
        let mut entries = entries.filter(|(name, proc)| {
            proc.role.is_some() && (proc.address == address || *name == address)
        });
        if let Some((name, proc)) = entries.next() {
            return Some((name.clone(), proc.incarnation));
        }
        let mut agents = self.agents.iter();
        let matching =
            agents.find(|(_, proc)| proc.role.is_some() && proc.address == address);
        matching.map(|(name, proc)| (name.clone(), proc.incarnation))
    }

    /// Schedules the arrival of a message at one endpoint of a link.
    fn send_link_message(&mut self, link: u64, to: &str, message: LinkMessage) {
        let sim_event = SimEvent::LinkMessage {
            link,
            to: to.to_owned(),
            message,
        };
        self.events.schedule(self.now + LINK_LATENCY, sim_event);
    }

    /// Sends a frame from an entry to a peer. Without a connection it is dropped.
    pub(crate) fn send_from_entry(
        &mut self,
        entry: &str,
        peer: &Peer,
        body: frame::Body,
    ) {
        let Some(id) = self.links.link_to_peer(entry, peer) else {
            return;
        };
        let to = self.links.by_id[&id].peer_process.clone();
        let revision = self.entries[entry].revision;
        let body = Box::new(body);
        self.send_link_message(id, &to, LinkMessage::Frame { revision, body });
    }

    /// Sends a frame from an agent to an entry. Without a connection it is dropped.
    pub(crate) fn send_from_agent(
        &mut self,
        agent: &str,
        entry: &str,
        body: frame::Body,
    ) {
        let Some(id) = self.links.link_from_entry(agent, entry) else {
            return;
        };
        let revision = self.agents[agent].revision;
        let body = Box::new(body);
        self.send_link_message(id, entry, LinkMessage::Frame { revision, body });
    }

    /// Handles the arrival of a message at one endpoint of a link.
    pub(crate) fn deliver_link_message(
        &mut self,
        id: u64,
        to: &str,
        message: LinkMessage,
    ) {
        let Some(link) = self.links.by_id.get(&id).cloned() else {
            return;
        };
        if link.loses_in_flight && matches!(message, LinkMessage::Frame { .. }) {
            return;
        }
        let at_entry = to == link.entry;
        let to = if at_entry {
            &link.entry
        } else {
            &link.peer_process
        };
        if self.links.is_cut(&link.entry, &link.peer_process) {
            self.links.blocked.push((id, to.clone(), message));
            return;
        }
        let incarnation = if at_entry {
            link.entry_incarnation
        } else {
            link.peer_incarnation
        };
        match self.process_state(to, incarnation) {
            ProcessState::Gone => {}
            ProcessState::Frozen => {
                let sim_event = SimEvent::LinkMessage {
                    link: id,
                    to: to.clone(),
                    message,
                };
                self.defer_event(to, sim_event);
            }
            ProcessState::Running if at_entry => self.deliver_to_entry(&link, message),
            ProcessState::Running => self.deliver_to_peer(&link, message),
        }
    }

    fn deliver_to_entry(&mut self, link: &Link, message: LinkMessage) {
        let peer = link.peer.clone();
        match message {
            LinkMessage::Hello => {
                let incarnation = Incarnation(link.peer_incarnation.0);
                let event = EntryEvent::LinkUp { peer, incarnation };
                self.handle_entry_event(&link.entry, event, None);
            }
            LinkMessage::Down => {
                let event = EntryEvent::LinkDown { peer: peer.clone() };
                self.handle_entry_event(&link.entry, event, None);
                self.redial(&link.entry, link.entry_incarnation, &peer);
            }
            LinkMessage::Frame { revision, body } => {
                self.deliver_frame_to_entry(&link.entry, peer, revision, *body);
            }
        }
    }

    fn deliver_frame_to_entry(
        &mut self,
        entry: &str,
        peer: Peer,
        revision: Revision,
        body: frame::Body,
    ) {
        let (frame::Body::Answer(answer), Peer::Agent(agent)) = (&body, &peer) else {
            let event = EntryEvent::Frame {
                peer,
                revision,
                body,
            };
            self.handle_entry_event(entry, event, None);
            return;
        };
        let attempt = answer.attempt.unwrap_or_default();
        let event = EntryEvent::AnswerPart {
            agent: agent.clone(),
            attempt: AttemptId {
                origin: attempt.origin,
                sequence: attempt.sequence,
            },
            offset: answer.offset,
            units: answer.units,
        };
        let payload = String::from_utf8_lossy(&answer.payload).into_owned();
        self.handle_entry_event(entry, event, Some(&payload));
    }

    fn deliver_to_peer(&mut self, link: &Link, message: LinkMessage) {
        let entry = EntryId::new(&link.entry);
        if matches!(link.peer, Peer::Entry(_)) {
            if let LinkMessage::Frame { revision, body } = message {
                let event = EntryEvent::Frame {
                    peer: Peer::Entry(entry),
                    revision,
                    body: *body,
                };
                self.handle_entry_event(&link.peer_process, event, None);
            }
            return;
        }
        let event = match message {
            LinkMessage::Hello => AgentEvent::LinkUp { entry },
            LinkMessage::Down => AgentEvent::LinkDown { entry },
            LinkMessage::Frame { revision, body } => AgentEvent::Frame {
                entry,
                revision,
                body: *body,
            },
        };
        self.handle_agent_event(&link.peer_process, event, "");
    }

    pub(crate) fn cut(&mut self, a: &str, b: &str) {
        self.log(a, &format!("is cut off from {b}"));
        self.links.cuts.insert(unordered_pair(a, b));
    }

    pub(crate) fn heal(&mut self, a: &str, b: &str) {
        self.log(a, &format!("is reconnected to {b}"));
        if !self.links.cuts.remove(&unordered_pair(a, b)) {
            self.record_failure(&format!("{a} and {b} are healed but were not cut"));
        }
        for (link, to, message) in std::mem::take(&mut self.links.blocked) {
            let sim_event = SimEvent::LinkMessage { link, to, message };
            self.events.schedule(self.now + LINK_LATENCY, sim_event);
        }
    }

    /// Breaks the connections between two processes; frames in flight are lost.
    pub(crate) fn break_link(&mut self, a: &str, b: &str) {
        self.log(a, &format!("loses its connection to {b}"));
        let endpoints = unordered_pair(a, b);
        let between =
            |link: &Link| unordered_pair(&link.entry, &link.peer_process) == endpoints;
        for id in self.links.open_links(between) {
            self.close_link(id, true);
        }
    }

    /// Closes all connections of a process that has ended. Frames that it sent
    /// before still arrive.
    pub(crate) fn close_links(&mut self, name: &str) {
        let of_process = |link: &Link| link.entry == name || link.peer_process == name;
        for id in self.links.open_links(of_process) {
            self.close_link(id, false);
        }
    }

    /// Closes the connection that an entry dialed to a peer.
    pub(crate) fn disconnect(&mut self, entry: &str, peer: &Peer) {
        if let Some(id) = self.links.link_to_peer(entry, peer) {
            self.close_link(id, false);
        }
    }

    fn close_link(&mut self, id: u64, loses_in_flight: bool) {
        let Some(link) = self.links.by_id.get_mut(&id) else {
            return;
        };
        link.closed = true;
        link.loses_in_flight = loses_in_flight;
        let endpoints = [link.entry.clone(), link.peer_process.clone()];
        for endpoint in &endpoints {
            self.send_link_message(id, endpoint, LinkMessage::Down);
        }
    }
}
