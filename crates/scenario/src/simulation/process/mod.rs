//! Entry and agent processes: start, kill, freeze, thaw and replace.

mod deliver;

use base::PlatformOp;
use base::prelude::*;
use role::Peer;
use role::agent::{AgentOptions, AgentRole};
use role::entry::{EntryOptions, EntryRole};
use std::collections::BTreeMap;

use super::event_queue::{ProcessIncarnation, SimEvent};
use super::{Simulation, UNIX_MS_AT_ZERO};

/// Interval at which an agent polls its upstream for a report.
const POLL_MS: u64 = 100;

/// State of an entry process.
#[derive(Debug)]
pub(crate) struct EntryProcess {
    pub(crate) incarnation: ProcessIncarnation,
    /// State machine; `None` once the process has ended.
    pub(crate) role: Option<EntryRole>,
    pub(crate) address: String,
    pub(crate) frozen: bool,
    /// Events that arrived while the process was frozen.
    pub(crate) deferred: Vec<SimEvent>,
    /// The process ended by itself.
    pub(crate) exited: bool,
    pub(crate) ready: bool,
    pub(crate) revision: Revision,
    /// Time of the earliest scheduled tick.
    pub(crate) next_tick: Option<Instant>,
    /// Addresses of the peers to which the entry keeps a connection.
    pub(crate) desired_peers: BTreeMap<Peer, String>,
}

/// State of an agent process.
#[derive(Debug)]
pub(crate) struct AgentProcess {
    pub(crate) incarnation: ProcessIncarnation,
    /// State machine; `None` once the process has ended.
    pub(crate) role: Option<AgentRole>,
    pub(crate) instance: String,
    pub(crate) address: String,
    pub(crate) frozen: bool,
    /// Events that arrived while the process was frozen.
    pub(crate) deferred: Vec<SimEvent>,
    /// The process ended by itself.
    pub(crate) exited: bool,
    pub(crate) ready: bool,
    pub(crate) revision: Revision,
    /// Time of the earliest scheduled tick.
    pub(crate) next_tick: Option<Instant>,
}

impl Simulation<'_> {
    pub(crate) fn start_entry(&mut self, name: &str) {
        let Some(decl) = self.script.entries.iter().find(|decl| decl.name == name)
        else {
            return;
        };
        self.last_incarnation += 1;
        let incarnation = ProcessIncarnation(self.last_incarnation);
        let address = format!("{name}:{}", incarnation.0);
        let peers = self.script.entries.iter().filter(|peer| peer.name != name);
        let peers = peers.map(|peer| {
            let address = self.entries.get(&peer.name).map(|proc| &proc.address);
            let address = address.cloned().unwrap_or_else(|| peer.name.clone());
            (EntryId::new(&peer.name), address)
        });
        let options = EntryOptions {
            id: EntryId::new(name),
            incarnation: Incarnation(incarnation.0),
            failure_domain: FailureDomainId::new(&decl.failure_domain),
            link_address: address.clone(),
            operator_address: format!("{address}/op"),
            peers: peers.collect(),
            shards: 2,
            seed: self.script.seed ^ incarnation.0,
            unix_ms_at_zero: UNIX_MS_AT_ZERO,
        };
        let mut out = Vec::new();
        let role = EntryRole::new(options, self.now, &mut out);
        let proc = EntryProcess {
            incarnation,
            role: Some(role),
            address,
            frozen: false,
            deferred: Vec::new(),
            exited: false,
            ready: false,
            revision: Revision(0),
            next_tick: None,
            desired_peers: BTreeMap::new(),
        };
        self.entries.insert(name.to_owned(), proc);
        self.log(name, "process starts");
        self.run_entry_actions(name, out, None);
        self.schedule_tick(name);
    }

    /// Starts an agent process for an instance's upstream.
    pub(crate) fn start_agent(&mut self, name: &str, instance: &str) {
        let decls = &self.script.instances;
        let Some(decl) = decls.iter().find(|decl| decl.name == instance) else {
            return;
        };
        self.last_incarnation += 1;
        let incarnation = ProcessIncarnation(self.last_incarnation);
        let address = format!("{name}:{}", incarnation.0);
        let options = AgentOptions {
            id: AgentId::new(instance),
            incarnation: Incarnation(incarnation.0),
            failure_domain: FailureDomainId::new(&decl.failure_domain),
            pool: PoolId::new(&decl.pool),
            link_address: address.clone(),
            operator_address: format!("{address}/op"),
            seed: self.script.seed ^ incarnation.0,
            unix_ms_at_zero: UNIX_MS_AT_ZERO,
        };
        let mut out = Vec::new();
        let role = AgentRole::new(options, self.now, &mut out);
        let proc = AgentProcess {
            incarnation,
            role: Some(role),
            instance: instance.to_owned(),
            address,
            frozen: false,
            deferred: Vec::new(),
            exited: false,
            ready: false,
            revision: Revision(0),
            next_tick: None,
        };
        self.agents.insert(name.to_owned(), proc);
        self.log(name, "process starts");
        self.run_agent_actions(name, out, "");
        self.schedule_tick(name);
        let poll = SimEvent::PollUpstream {
            process: name.to_owned(),
            incarnation,
        };
        self.events.schedule(self.now.plus_ms(1), poll);
    }

    pub(crate) fn kill(&mut self, name: &str) {
        self.log(name, "process is killed");
        self.end_process(name);
        if self.entries.contains_key(name) {
            let callers = self.callers.disconnect_callers_of(name, self.now);
            for request in callers {
                self.log(
                    name,
                    &format!("connection of the caller of {request} breaks"),
                );
            }
        }
    }

    /// Ends a process: its connections close and its state is lost.
    pub(crate) fn end_process(&mut self, name: &str) {
        if let Some(proc) = self.entries.get_mut(name) {
            proc.role = None;
            proc.desired_peers.clear();
            proc.deferred.clear();
            proc.frozen = false;
            proc.ready = false;
        }
        if let Some(proc) = self.agents.get_mut(name) {
            proc.role = None;
            proc.deferred.clear();
            proc.frozen = false;
            proc.ready = false;
            let (instance, incarnation) = (proc.instance.clone(), proc.incarnation);
            self.cancel_attempts_of_agent(&instance, incarnation);
        }
        self.close_links(name);
    }

    /// Starts a second agent while the first one is frozen.
    pub(crate) fn replace(&mut self, name: &str) {
        if !self.agents.get(name).is_some_and(|proc| proc.frozen) {
            self.record_failure(&format!("{name} is replaced but was not frozen"));
        }
        let Some(proc) = self.agents.remove(name) else {
            return;
        };
        let old = format!("{name}.old");
        let instance = proc.instance.clone();
        self.links.rename_process(name, &old);
        self.agents.insert(old, proc);
        self.start_agent(name, &instance);
    }

    pub(crate) fn freeze(&mut self, name: &str) {
        self.log(name, "process freezes");
        if let Some(proc) = self.entries.get_mut(name) {
            proc.frozen = true;
        }
        if let Some(proc) = self.agents.get_mut(name) {
            proc.frozen = true;
        }
    }

    pub(crate) fn thaw(&mut self, name: &str) {
        let entry = self.entries.get(name).map(|proc| proc.frozen);
        let agent = self.agents.get(name).map(|proc| proc.frozen);
        if entry.or(agent) != Some(true) {
            self.record_failure(&format!("{name} thaws but was not frozen"));
        }
        self.log(name, "process thaws");
        let mut deferred = Vec::new();
        if let Some(proc) = self.entries.get_mut(name) {
            proc.frozen = false;
            deferred.append(&mut proc.deferred);
        }
        if let Some(proc) = self.agents.get_mut(name) {
            proc.frozen = false;
            deferred.append(&mut proc.deferred);
        }
        for sim_event in deferred {
            self.events
                .schedule(self.now, with_process_name(sim_event, name));
        }
    }

    /// State of one incarnation of a process.
    pub(crate) fn process_state(
        &mut self,
        name: &str,
        incarnation: ProcessIncarnation,
    ) -> ProcessState {
        let (alive, frozen, current) =
            match (self.entries.get(name), self.agents.get(name)) {
                (Some(proc), _) => (proc.role.is_some(), proc.frozen, proc.incarnation),
                (None, Some(proc)) => {
                    (proc.role.is_some(), proc.frozen, proc.incarnation)
                }
                (None, None) => return ProcessState::Gone,
            };
        if !alive || current != incarnation {
            ProcessState::Gone
        } else if frozen {
            ProcessState::Frozen
        } else {
            ProcessState::Running
        }
    }

    /// Keeps an event for a frozen process until it thaws.
    pub(crate) fn defer_event(&mut self, name: &str, sim_event: SimEvent) {
        if let Some(proc) = self.entries.get_mut(name) {
            proc.deferred.push(sim_event);
        } else if let Some(proc) = self.agents.get_mut(name) {
            proc.deferred.push(sim_event);
        }
    }

    /// Current name of an incarnation of a process, which `replace` may have changed.
    pub(crate) fn current_process_name(
        &self,
        name: &str,
        incarnation: ProcessIncarnation,
    ) -> String {
        let old = format!("{name}.old");
        let was_renamed = self
            .agents
            .get(&old)
            .is_some_and(|proc| proc.incarnation == incarnation);
        if was_renamed { old } else { name.to_owned() }
    }

    /// Whether a live agent, running or frozen, has this address.
    pub(crate) fn is_address_in_use(&self, address: &str) -> bool {
        let agents = self.agents.values();
        let mut taken = agents.filter(|proc| proc.role.is_some());
        taken.any(|proc| proc.address == address)
    }

    pub(crate) fn is_write(op: &PlatformOp) -> bool {
        matches!(op, PlatformOp::Write { .. } | PlatformOp::Delete { .. })
    }
}

/// Whether one incarnation of a process is running.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProcessState {
    Running,
    Frozen,
    /// It was killed, has exited or was superseded by a later incarnation.
    Gone,
}

/// Readdresses a deferred event to the current name of its process.
fn with_process_name(mut sim_event: SimEvent, name: &str) -> SimEvent {
    match &mut sim_event {
        SimEvent::Tick { process, .. }
        | SimEvent::PlatformResponseArrives { process, .. }
        | SimEvent::AgentEvent { process, .. } => *process = name.to_owned(),
        SimEvent::LinkMessage { to, .. } => *to = name.to_owned(),
        _ => {}
    }
    sim_event
}
