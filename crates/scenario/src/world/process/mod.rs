//! Processes: starting, killing, freezing and giving them events.

mod deliver;

use base::PlatformOp;
use base::prelude::*;
use role::Peer;
use role::agent::{AgentOptions, AgentRole};
use role::entry::{EntryOptions, EntryRole};
use std::collections::BTreeMap;

use super::queue::{Happening, Start};
use super::{UNIX_MS_AT_ZERO, World};

/// Time between an agent's questions for its upstream's report.
const POLL_MS: u64 = 100;

/// An entry process.
#[derive(Debug)]
pub(crate) struct EntryNode {
    pub(crate) start: Start,
    pub(crate) role: Option<EntryRole>,
    pub(crate) address: String,
    pub(crate) frozen: bool,
    pub(crate) held: Vec<Happening>,
    pub(crate) ended: bool,
    pub(crate) ready: bool,
    pub(crate) revision: Revision,
    pub(crate) tick_at: Option<Instant>,
    /// Processes the entry wants to be connected to.
    pub(crate) wanted: BTreeMap<Peer, String>,
}

/// An agent process.
#[derive(Debug)]
pub(crate) struct AgentNode {
    pub(crate) start: Start,
    pub(crate) role: Option<AgentRole>,
    pub(crate) instance: String,
    pub(crate) address: String,
    pub(crate) frozen: bool,
    pub(crate) held: Vec<Happening>,
    pub(crate) ended: bool,
    pub(crate) ready: bool,
    pub(crate) revision: Revision,
    pub(crate) tick_at: Option<Instant>,
}

impl World<'_> {
    pub(crate) fn start_entry(&mut self, name: &str) {
        let Some(decl) = self.script.entries.iter().find(|decl| decl.name == name)
        else {
            return;
        };
        self.starts += 1;
        let start = Start(self.starts);
        let address = format!("{name}:{}", start.0);
        let peers = self.script.entries.iter().filter(|peer| peer.name != name);
        let peers = peers.map(|peer| {
            let address = self.entries.get(&peer.name).map(|node| &node.address);
            let address = address.cloned().unwrap_or_else(|| peer.name.clone());
            (EntryId::new(&peer.name), address)
        });
        let options = EntryOptions {
            id: EntryId::new(name),
            incarnation: Incarnation(start.0),
            failure_domain: FailureDomainId::new(&decl.domain),
            link_address: address.clone(),
            operator_address: format!("{address}/op"),
            peers: peers.collect(),
            shards: 2,
            seed: self.script.seed ^ start.0,
            unix_ms_at_zero: UNIX_MS_AT_ZERO,
        };
        let mut out = Vec::new();
        let role = EntryRole::new(options, self.now, &mut out);
        let node = EntryNode {
            start,
            role: Some(role),
            address,
            frozen: false,
            held: Vec::new(),
            ended: false,
            ready: false,
            revision: Revision(0),
            tick_at: None,
            wanted: BTreeMap::new(),
        };
        self.entries.insert(name.to_owned(), node);
        self.log(name, "process starts");
        self.entry_actions(name, out, None);
        self.set_tick(name);
    }

    /// Starts an agent under a process name, beside an instance's upstream.
    pub(crate) fn start_agent(&mut self, name: &str, instance: &str) {
        let decls = &self.script.instances;
        let Some(decl) = decls.iter().find(|decl| decl.name == instance) else {
            return;
        };
        self.starts += 1;
        let start = Start(self.starts);
        let address = format!("{name}:{}", start.0);
        let options = AgentOptions {
            id: AgentId::new(instance),
            incarnation: Incarnation(start.0),
            failure_domain: FailureDomainId::new(&decl.domain),
            pool: PoolId::new(&decl.pool),
            link_address: address.clone(),
            operator_address: format!("{address}/op"),
            seed: self.script.seed ^ start.0,
            unix_ms_at_zero: UNIX_MS_AT_ZERO,
        };
        let mut out = Vec::new();
        let role = AgentRole::new(options, self.now, &mut out);
        let node = AgentNode {
            start,
            role: Some(role),
            instance: instance.to_owned(),
            address,
            frozen: false,
            held: Vec::new(),
            ended: false,
            ready: false,
            revision: Revision(0),
            tick_at: None,
        };
        self.agents.insert(name.to_owned(), node);
        self.log(name, "process starts");
        self.agent_actions(name, out, "");
        self.set_tick(name);
        let poll = Happening::Poll {
            process: name.to_owned(),
            start,
        };
        self.queue.add(self.now.plus_ms(1), poll);
    }

    pub(crate) fn kill(&mut self, name: &str) {
        self.log(name, "process is killed");
        self.end_process(name);
        if self.entries.contains_key(name) {
            let callers = self.callers.entry_gone(name, self.now);
            for request in callers {
                self.log(
                    name,
                    &format!("caller of {request} sees a broken connection"),
                );
            }
        }
    }

    /// Ends a process: its connections end, its memory is gone.
    pub(crate) fn end_process(&mut self, name: &str) {
        if let Some(node) = self.entries.get_mut(name) {
            node.role = None;
            node.wanted.clear();
            node.held.clear();
            node.frozen = false;
            node.ready = false;
        }
        if let Some(node) = self.agents.get_mut(name) {
            node.role = None;
            node.held.clear();
            node.frozen = false;
            node.ready = false;
            let (instance, start) = (node.instance.clone(), node.start);
            self.agent_connections_end(&instance, start);
        }
        self.links_end(name);
    }

    /// A second agent is started while the first is frozen.
    pub(crate) fn replace(&mut self, name: &str) {
        if !self.agents.get(name).is_some_and(|node| node.frozen) {
            self.fail(&format!("{name} is replaced and not frozen"));
        }
        let Some(node) = self.agents.remove(name) else {
            return;
        };
        let old = format!("{name}.old");
        let instance = node.instance.clone();
        self.links.rename(name, &old);
        self.agents.insert(old, node);
        self.start_agent(name, &instance);
    }

    pub(crate) fn freeze(&mut self, name: &str) {
        self.log(name, "process freezes");
        if let Some(node) = self.entries.get_mut(name) {
            node.frozen = true;
        }
        if let Some(node) = self.agents.get_mut(name) {
            node.frozen = true;
        }
    }

    pub(crate) fn thaw(&mut self, name: &str) {
        let entry = self.entries.get(name).map(|node| node.frozen);
        let agent = self.agents.get(name).map(|node| node.frozen);
        if entry.or(agent) != Some(true) {
            self.fail(&format!("{name} thaws and was not frozen"));
        }
        self.log(name, "process thaws");
        let mut held = Vec::new();
        if let Some(node) = self.entries.get_mut(name) {
            node.frozen = false;
            held.append(&mut node.held);
        }
        if let Some(node) = self.agents.get_mut(name) {
            node.frozen = false;
            held.append(&mut node.held);
        }
        for happening in held {
            self.queue.add(self.now, renamed(happening, name));
        }
    }

    /// Whether a process runs; a frozen one keeps what reaches it for later.
    pub(crate) fn runs(&mut self, name: &str, start: Start) -> Running {
        let (alive, frozen, current) =
            match (self.entries.get(name), self.agents.get(name)) {
                (Some(node), _) => (node.role.is_some(), node.frozen, node.start),
                (None, Some(node)) => (node.role.is_some(), node.frozen, node.start),
                (None, None) => return Running::Gone,
            };
        if !alive || current != start {
            Running::Gone
        } else if frozen {
            Running::Frozen
        } else {
            Running::Yes
        }
    }

    pub(crate) fn hold(&mut self, name: &str, happening: Happening) {
        if let Some(node) = self.entries.get_mut(name) {
            node.held.push(happening);
        } else if let Some(node) = self.agents.get_mut(name) {
            node.held.push(happening);
        }
    }

    /// Name under which a start of a process now goes: `replace` renames it.
    pub(crate) fn current_name(&self, name: &str, start: Start) -> String {
        let old = format!("{name}.old");
        let renamed = self
            .agents
            .get(&old)
            .is_some_and(|node| node.start == start);
        if renamed { old } else { name.to_owned() }
    }

    /// Whether any process, also a frozen one, has an address.
    pub(crate) fn address_taken(&self, address: &str) -> bool {
        let agents = self.agents.values();
        let mut taken = agents.filter(|node| node.role.is_some());
        taken.any(|node| node.address == address)
    }

    pub(crate) fn is_write(op: &PlatformOp) -> bool {
        matches!(op, PlatformOp::Write { .. } | PlatformOp::Delete { .. })
    }
}

/// Whether a start of a process runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Running {
    Yes,
    Frozen,
    Gone,
}

/// A held happening addressed to the name that its process now has.
fn renamed(mut happening: Happening, name: &str) -> Happening {
    match &mut happening {
        Happening::Tick { process, .. }
        | Happening::PlatformResponse { process, .. }
        | Happening::Agent { process, .. } => *process = name.to_owned(),
        Happening::Passage { to, .. } => *to = name.to_owned(),
        _ => {}
    }
    happening
}
