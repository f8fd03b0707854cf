//! Connections between processes.

use base::prelude::*;
use role::Peer;
use role::agent::AgentEvent;
use role::entry::EntryEvent;
use schema::link::frame;
use std::collections::{BTreeMap, BTreeSet};

use super::World;
use super::process::Running;
use super::queue::{Happening, Passage, Start};

/// One way between any two processes.
const LATENCY: Duration = Duration::from_micros(500);

/// Time after which an entry dials again.
const REDIAL_MS: u64 = 200;

/// Connections and cuts.
#[derive(Debug, Default)]
pub(crate) struct Links {
    next: u64,
    all: BTreeMap<u64, Link>,
    cuts: BTreeSet<(String, String)>,
    held: Vec<(u64, String, Passage)>,
}

/// One connection, dialled by an entry.
#[derive(Debug, Clone)]
pub(crate) struct Link {
    entry: String,
    entry_start: Start,
    far: String,
    far_start: Start,
    peer: Peer,
    /// Nothing more is sent over it.
    closed: bool,
    /// What was on its way when it closed is lost.
    lossy: bool,
}

impl Links {
    fn open(&self, which: impl Fn(&Link) -> bool) -> Vec<u64> {
        let links = self.all.iter();
        let open = links.filter(|(_, link)| !link.closed && which(link));
        open.map(|(id, _)| *id).collect()
    }

    /// The connection an entry dialled to a peer.
    pub(crate) fn to_peer(&self, entry: &str, peer: &Peer) -> Option<u64> {
        let found = self.open(|link| link.entry == entry && link.peer == *peer);
        found.first().copied()
    }

    /// The connection an entry dialled to an agent process.
    pub(crate) fn to_entry(&self, agent: &str, entry: &str) -> Option<u64> {
        let found = self.open(|link| link.entry == entry && link.far == agent);
        found.first().copied()
    }

    pub(crate) fn rename(&mut self, from: &str, to: &str) {
        for link in self.all.values_mut().filter(|link| link.far == from) {
            link.far = to.to_owned();
        }
        for (_, end, _) in self.held.iter_mut().filter(|(_, end, _)| end == from) {
            *end = to.to_owned();
        }
    }

    pub(crate) fn is_cut(&self, a: &str, b: &str) -> bool {
        self.cuts.contains(&pair(a, b))
    }
}

fn pair(a: &str, b: &str) -> (String, String) {
    let (low, high) = if a < b { (a, b) } else { (b, a) };
    (low.to_owned(), high.to_owned())
}

impl World<'_> {
    pub(crate) fn dial(&mut self, entry: &str, start: Start, peer: &Peer) {
        if self.runs(entry, start) == Running::Gone {
            return;
        }
        let Some(address) = self.entries[entry].wanted.get(peer).cloned() else {
            return;
        };
        if self.links.to_peer(entry, peer).is_some() {
            return;
        }
        let far = self.process_at(&address);
        let reachable = far.filter(|(far, far_start)| {
            self.runs(far, *far_start) == Running::Yes && !self.links.is_cut(entry, far)
        });
        let frozen = self.entries[entry].frozen;
        let Some((far, far_start)) = reachable.filter(|_| !frozen) else {
            self.redial(entry, start, peer);
            return;
        };
        let id = self.links.next;
        self.links.next += 1;
        let link = Link {
            entry: entry.to_owned(),
            entry_start: start,
            far: far.clone(),
            far_start,
            peer: peer.clone(),
            closed: false,
            lossy: false,
        };
        self.links.all.insert(id, link);
        self.send_passage(id, entry, Passage::Hello);
        self.send_passage(id, &far, Passage::Hello);
    }

    fn redial(&mut self, entry: &str, start: Start, peer: &Peer) {
        let at = self.now.plus_ms(REDIAL_MS);
        let dial = Happening::Dial {
            entry: entry.to_owned(),
            start,
            peer: peer.clone(),
        };
        self.queue.add(at, dial);
    }

    fn process_at(&mut self, address: &str) -> Option<(String, Start)> {
        let entries = self.entries.iter();
        let mut entries = entries.filter(|(name, node)| {
            node.role.is_some() && (node.address == address || *name == address)
        });
        if let Some((name, node)) = entries.next() {
            return Some((name.clone(), node.start));
        }
        let mut agents = self.agents.iter();
        let found =
            agents.find(|(_, node)| node.role.is_some() && node.address == address);
        found.map(|(name, node)| (name.clone(), node.start))
    }

    /// Sends something to one end of a link.
    fn send_passage(&mut self, link: u64, to: &str, passage: Passage) {
        let happening = Happening::Passage {
            link,
            to: to.to_owned(),
            passage,
        };
        self.queue.add(self.now + LATENCY, happening);
    }

    /// Sends a frame from an entry to a peer; without a connection it is lost.
    pub(crate) fn send_from_entry(
        &mut self,
        entry: &str,
        peer: &Peer,
        body: frame::Body,
    ) {
        let Some(id) = self.links.to_peer(entry, peer) else {
            return;
        };
        let to = self.links.all[&id].far.clone();
        let revision = self.entries[entry].revision;
        let body = Box::new(body);
        self.send_passage(id, &to, Passage::Frame { revision, body });
    }

    /// Sends a frame from an agent to an entry.
    pub(crate) fn send_from_agent(
        &mut self,
        agent: &str,
        entry: &str,
        body: frame::Body,
    ) {
        let Some(id) = self.links.to_entry(agent, entry) else {
            return;
        };
        let revision = self.agents[agent].revision;
        let body = Box::new(body);
        self.send_passage(id, entry, Passage::Frame { revision, body });
    }

    /// Something reaches one end of a link.
    pub(crate) fn pass(&mut self, id: u64, to: &str, passage: Passage) {
        let Some(link) = self.links.all.get(&id).cloned() else {
            return;
        };
        if link.lossy && matches!(passage, Passage::Frame { .. }) {
            return;
        }
        let at_entry = to == link.entry;
        let to = if at_entry { &link.entry } else { &link.far };
        if self.links.is_cut(&link.entry, &link.far) {
            self.links.held.push((id, to.clone(), passage));
            return;
        }
        let start = if at_entry {
            link.entry_start
        } else {
            link.far_start
        };
        match self.runs(to, start) {
            Running::Gone => {}
            Running::Frozen => {
                let happening = Happening::Passage {
                    link: id,
                    to: to.clone(),
                    passage,
                };
                self.hold(to, happening);
            }
            Running::Yes if at_entry => self.reach_entry(&link, passage),
            Running::Yes => self.reach_far(&link, passage),
        }
    }

    fn reach_entry(&mut self, link: &Link, passage: Passage) {
        let peer = link.peer.clone();
        match passage {
            Passage::Hello => {
                let incarnation = Incarnation(link.far_start.0);
                let event = EntryEvent::LinkUp { peer, incarnation };
                self.entry_handle(&link.entry, event, None);
            }
            Passage::Down => {
                let event = EntryEvent::LinkDown { peer: peer.clone() };
                self.entry_handle(&link.entry, event, None);
                self.redial(&link.entry, link.entry_start, &peer);
            }
            Passage::Frame { revision, body } => {
                self.frame_to_entry(&link.entry, peer, revision, *body);
            }
        }
    }

    fn frame_to_entry(
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
            self.entry_handle(entry, event, None);
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
        self.entry_handle(entry, event, Some(&payload));
    }

    fn reach_far(&mut self, link: &Link, passage: Passage) {
        let entry = EntryId::new(&link.entry);
        if matches!(link.peer, Peer::Entry(_)) {
            if let Passage::Frame { revision, body } = passage {
                let event = EntryEvent::Frame {
                    peer: Peer::Entry(entry),
                    revision,
                    body: *body,
                };
                self.entry_handle(&link.far, event, None);
            }
            return;
        }
        let event = match passage {
            Passage::Hello => AgentEvent::LinkUp { entry },
            Passage::Down => AgentEvent::LinkDown { entry },
            Passage::Frame { revision, body } => AgentEvent::Frame {
                entry,
                revision,
                body: *body,
            },
        };
        self.agent_handle(&link.far, event, "");
    }

    pub(crate) fn cut(&mut self, a: &str, b: &str) {
        self.log(a, &format!("is cut off from {b}"));
        self.links.cuts.insert(pair(a, b));
    }

    pub(crate) fn heal(&mut self, a: &str, b: &str) {
        self.log(a, &format!("is no more cut off from {b}"));
        if !self.links.cuts.remove(&pair(a, b)) {
            self.fail(&format!("{a} and {b} are healed and were not cut"));
        }
        for (link, to, passage) in std::mem::take(&mut self.links.held) {
            let happening = Happening::Passage { link, to, passage };
            self.queue.add(self.now + LATENCY, happening);
        }
    }

    /// Ends the connections between two processes; what is on its way is lost.
    pub(crate) fn break_link(&mut self, a: &str, b: &str) {
        self.log(a, &format!("loses its connection to {b}"));
        let ends = pair(a, b);
        let between = |link: &Link| pair(&link.entry, &link.far) == ends;
        for id in self.links.open(between) {
            self.close(id, true);
        }
    }

    /// Ends all connections of a process that is gone; what it sent before
    /// still arrives.
    pub(crate) fn links_end(&mut self, name: &str) {
        let of_process = |link: &Link| link.entry == name || link.far == name;
        for id in self.links.open(of_process) {
            self.close(id, false);
        }
    }

    /// Ends the connection an entry dialled to a peer.
    pub(crate) fn disconnect(&mut self, entry: &str, peer: &Peer) {
        if let Some(id) = self.links.to_peer(entry, peer) {
            self.close(id, false);
        }
    }

    fn close(&mut self, id: u64, lossy: bool) {
        let Some(link) = self.links.all.get_mut(&id) else {
            return;
        };
        link.closed = true;
        link.lossy = lossy;
        let ends = [link.entry.clone(), link.far.clone()];
        for end in &ends {
            self.send_passage(id, end, Passage::Down);
        }
    }
}
