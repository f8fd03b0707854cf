//! Delivery of events to processes; events for frozen ones are deferred.

use base::PlatformResponse;
use base::prelude::*;
use role::agent::{AgentAction, AgentEvent, AgentRole};
use role::entry::{EntryAction, EntryEvent, EntryRole};

use super::super::Simulation;
use super::super::event_queue::{ProcessIncarnation, SimEvent};
use super::{POLL_MS, ProcessState};

impl Simulation<'_> {
    pub(crate) fn run_tick(&mut self, process: &str, incarnation: ProcessIncarnation) {
        let process = &self.current_process_name(process, incarnation);
        match self.process_state(process, incarnation) {
            ProcessState::Gone => return,
            ProcessState::Frozen => {
                let sim_event = SimEvent::Tick {
                    process: process.clone(),
                    incarnation,
                };
                self.defer_event(process, sim_event);
                return;
            }
            ProcessState::Running => {}
        }
        if let Some(proc) = self.entries.get_mut(process) {
            proc.next_tick = None;
            self.handle_entry_event(process, EntryEvent::Tick, None);
        } else if let Some(proc) = self.agents.get_mut(process) {
            proc.next_tick = None;
            self.handle_agent_event(process, AgentEvent::Tick, "");
        }
    }

    /// Schedules the next tick that a state machine requests.
    pub(crate) fn schedule_tick(&mut self, name: &str) {
        let now = self.now;
        let (due, next_tick, incarnation) =
            if let Some(proc) = self.entries.get_mut(name) {
                let due = proc.role.as_ref().and_then(EntryRole::due);
                (due, &mut proc.next_tick, proc.incarnation)
            } else if let Some(proc) = self.agents.get_mut(name) {
                let due = proc.role.as_ref().and_then(AgentRole::due);
                (due, &mut proc.next_tick, proc.incarnation)
            } else {
                return;
            };
        let Some(due) = due else {
            return;
        };
        // An earlier tick is already scheduled and will schedule the next one.
        if next_tick.is_some_and(|scheduled| scheduled <= due) {
            return;
        }
        // An overdue tick is scheduled after the current instant, never within it.
        let at = due.max(now + Duration::from_micros(1));
        *next_tick = Some(at);
        let process = name.to_owned();
        self.events.schedule(
            at,
            SimEvent::Tick {
                process,
                incarnation,
            },
        );
    }

    pub(crate) fn handle_entry_event(
        &mut self,
        name: &str,
        event: EntryEvent,
        payload: Option<&str>,
    ) {
        let mut out: Vec<EntryAction> = Vec::new();
        let now = self.now;
        let Some(proc) = self.entries.get_mut(name) else {
            return;
        };
        let Some(role) = &proc.role else {
            return;
        };
        role.handle(now, event, &mut out);
        let revision = role.revision();
        let decreased = revision < proc.revision;
        proc.revision = revision;
        if decreased {
            self.record_failure(&format!(
                "the revision of {name} decreased to {revision}"
            ));
        }
        self.run_entry_actions(name, out, payload);
        self.schedule_tick(name);
    }

    pub(crate) fn handle_agent_event(
        &mut self,
        name: &str,
        event: AgentEvent,
        payload: &str,
    ) {
        let mut out: Vec<AgentAction> = Vec::new();
        let now = self.now;
        let Some(proc) = self.agents.get_mut(name) else {
            return;
        };
        let Some(role) = &mut proc.role else {
            return;
        };
        role.handle(now, event, &mut out);
        let revision = role.revision();
        let decreased = revision < proc.revision;
        proc.revision = revision;
        if decreased {
            self.record_failure(&format!(
                "the revision of {name} decreased to {revision}"
            ));
        }
        self.run_agent_actions(name, out, payload);
        self.schedule_tick(name);
    }

    pub(crate) fn deliver_agent_event(
        &mut self,
        process: &str,
        incarnation: ProcessIncarnation,
        event: AgentEvent,
        payload: String,
    ) {
        let process = self.current_process_name(process, incarnation);
        match self.process_state(&process, incarnation) {
            ProcessState::Gone => {}
            ProcessState::Frozen => {
                let sim_event = SimEvent::AgentEvent {
                    process: process.clone(),
                    incarnation,
                    event: Box::new(event),
                    payload,
                };
                self.defer_event(&process, sim_event);
            }
            ProcessState::Running => self.handle_agent_event(&process, event, &payload),
        }
    }

    pub(crate) fn poll_upstream(
        &mut self,
        process: &str,
        incarnation: ProcessIncarnation,
    ) {
        let process = self.current_process_name(process, incarnation);
        match self.process_state(&process, incarnation) {
            ProcessState::Gone => return,
            ProcessState::Frozen => {}
            ProcessState::Running => {
                let instance = self.agents[&process].instance.clone();
                let event = self.upstreams[&instance].report();
                self.handle_agent_event(&process, AgentEvent::Upstream(event), "");
            }
        }
        let next = self.now.plus_ms(POLL_MS);
        self.events.schedule(
            next,
            SimEvent::PollUpstream {
                process,
                incarnation,
            },
        );
    }

    pub(crate) fn platform_response_arrives(
        &mut self,
        process: &str,
        incarnation: ProcessIncarnation,
        response: PlatformResponse,
    ) {
        let process = &self.current_process_name(process, incarnation);
        match self.process_state(process, incarnation) {
            ProcessState::Gone => {}
            ProcessState::Frozen => {
                let sim_event = SimEvent::PlatformResponseArrives {
                    process: process.clone(),
                    incarnation,
                    response,
                };
                self.defer_event(process, sim_event);
            }
            ProcessState::Running if self.entries.contains_key(process) => {
                self.handle_entry_event(
                    process,
                    EntryEvent::PlatformAnswered(response),
                    None,
                );
            }
            ProcessState::Running => {
                self.handle_agent_event(
                    process,
                    AgentEvent::PlatformAnswered(response),
                    "",
                );
            }
        }
    }
}
