//! Giving processes their events, and keeping those of frozen ones.

use base::PlatformResponse;
use base::prelude::*;
use role::agent::{AgentAction, AgentEvent, AgentRole};
use role::entry::{EntryAction, EntryEvent, EntryRole};

use super::super::World;
use super::super::queue::{Happening, Start};
use super::{POLL_MS, Running};

impl World<'_> {
    pub(crate) fn tick(&mut self, process: &str, start: Start) {
        let process = &self.current_name(process, start);
        match self.runs(process, start) {
            Running::Gone => return,
            Running::Frozen => {
                let happening = Happening::Tick {
                    process: process.clone(),
                    start,
                };
                self.hold(process, happening);
                return;
            }
            Running::Yes => {}
        }
        if let Some(node) = self.entries.get_mut(process) {
            node.tick_at = None;
            self.entry_handle(process, EntryEvent::Tick, None);
        } else if let Some(node) = self.agents.get_mut(process) {
            node.tick_at = None;
            self.agent_handle(process, AgentEvent::Tick, "");
        }
    }

    /// Plans the next tick that a machine wants.
    pub(crate) fn set_tick(&mut self, name: &str) {
        let now = self.now;
        let (due, tick_at, start) = if let Some(node) = self.entries.get_mut(name) {
            let due = node.role.as_ref().and_then(EntryRole::due);
            (due, &mut node.tick_at, node.start)
        } else if let Some(node) = self.agents.get_mut(name) {
            let due = node.role.as_ref().and_then(AgentRole::due);
            (due, &mut node.tick_at, node.start)
        } else {
            return;
        };
        let Some(due) = due else {
            return;
        };
        // A tick already planned for an earlier time will plan the next.
        if tick_at.is_some_and(|planned| planned <= due) {
            return;
        }
        // A machine that is late still gets its tick after, not within, now.
        let at = due.max(now + Duration::from_micros(1));
        *tick_at = Some(at);
        let process = name.to_owned();
        self.queue.add(at, Happening::Tick { process, start });
    }

    pub(crate) fn entry_handle(
        &mut self,
        name: &str,
        event: EntryEvent,
        payload: Option<&str>,
    ) {
        let mut out: Vec<EntryAction> = Vec::new();
        let now = self.now;
        let Some(node) = self.entries.get_mut(name) else {
            return;
        };
        let Some(role) = &node.role else {
            return;
        };
        role.handle(now, event, &mut out);
        let revision = role.revision();
        let fell = revision < node.revision;
        node.revision = revision;
        if fell {
            self.fail(&format!("the revision of {name} fell to {revision}"));
        }
        self.entry_actions(name, out, payload);
        self.set_tick(name);
    }

    pub(crate) fn agent_handle(
        &mut self,
        name: &str,
        event: AgentEvent,
        payload: &str,
    ) {
        let mut out: Vec<AgentAction> = Vec::new();
        let now = self.now;
        let Some(node) = self.agents.get_mut(name) else {
            return;
        };
        let Some(role) = &mut node.role else {
            return;
        };
        role.handle(now, event, &mut out);
        let revision = role.revision();
        let fell = revision < node.revision;
        node.revision = revision;
        if fell {
            self.fail(&format!("the revision of {name} fell to {revision}"));
        }
        self.agent_actions(name, out, payload);
        self.set_tick(name);
    }

    pub(crate) fn agent_event(
        &mut self,
        process: &str,
        start: Start,
        event: AgentEvent,
        payload: String,
    ) {
        let process = self.current_name(process, start);
        match self.runs(&process, start) {
            Running::Gone => {}
            Running::Frozen => {
                let happening = Happening::Agent {
                    process: process.clone(),
                    start,
                    event: Box::new(event),
                    payload,
                };
                self.hold(&process, happening);
            }
            Running::Yes => self.agent_handle(&process, event, &payload),
        }
    }

    pub(crate) fn poll(&mut self, process: &str, start: Start) {
        let process = self.current_name(process, start);
        match self.runs(&process, start) {
            Running::Gone => return,
            Running::Frozen => {}
            Running::Yes => {
                let instance = self.agents[&process].instance.clone();
                let event = self.upstreams[&instance].report();
                self.agent_handle(&process, AgentEvent::Upstream(event), "");
            }
        }
        let next = self.now.plus_ms(POLL_MS);
        self.queue.add(next, Happening::Poll { process, start });
    }

    pub(crate) fn platform_answer(
        &mut self,
        process: &str,
        start: Start,
        answer: PlatformResponse,
    ) {
        let process = &self.current_name(process, start);
        match self.runs(process, start) {
            Running::Gone => {}
            Running::Frozen => {
                let happening = Happening::PlatformResponse {
                    process: process.clone(),
                    start,
                    answer,
                };
                self.hold(process, happening);
            }
            Running::Yes if self.entries.contains_key(process) => {
                self.entry_handle(process, EntryEvent::PlatformAnswered(answer), None);
            }
            Running::Yes => {
                self.agent_handle(process, AgentEvent::PlatformAnswered(answer), "");
            }
        }
    }
}
