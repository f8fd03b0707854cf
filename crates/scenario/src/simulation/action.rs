//! Executes the actions that the state machines return.

use base::prelude::*;
use role::Peer;
use role::agent::AgentAction;
use role::entry::EntryAction;
use schema::link::{Answer, Attempt, Run, frame};
use schema::timeline::{Event, EventKind};

use super::Simulation;
use super::caller::RequestEnd;
use super::event_queue::{AttemptStart, SimEvent};

/// Latency between an agent and its upstream. Also the delay before an entry
/// dials a peer and before an agent learns the result of a predecessor probe.
const LOCAL_LATENCY: Duration = Duration::from_micros(200);

impl Simulation<'_> {
    pub(crate) fn run_entry_actions(
        &mut self,
        name: &str,
        actions: Vec<EntryAction>,
        payload: Option<&str>,
    ) {
        for action in actions {
            self.run_entry_action(name, action, payload.unwrap_or(""));
        }
    }

    fn run_entry_action(&mut self, name: &str, action: EntryAction, payload: &str) {
        match action {
            EntryAction::SendFrame { peer, body } => {
                self.send_from_entry(name, &peer, body);
            }
            EntryAction::SendRun {
                request,
                agent,
                run,
            } => self.send_run(name, request, agent, run),
            EntryAction::DeliverPart {
                request,
                skip_units,
            } => self.receive_part(request, payload, skip_units),
            EntryAction::Finish { request, .. } => {
                self.finish_request(request, RequestEnd::Whole);
            }
            EntryAction::Fail { request, error } => {
                self.finish_request(request, RequestEnd::Refused(error));
            }
            EntryAction::Connect { peer, address } => {
                self.connect(name, peer, &address);
            }
            EntryAction::Disconnect { peer } => {
                if let Some(proc) = self.entries.get_mut(name) {
                    proc.desired_peers.remove(&peer);
                }
                self.disconnect(name, &peer);
            }
            EntryAction::CallPlatform(call) => self.call_platform(name, call),
            EntryAction::SetReady(ready) => {
                self.log(name, if ready { "is ready" } else { "is not ready" });
                if let Some(proc) = self.entries.get_mut(name) {
                    proc.ready = ready;
                }
            }
            EntryAction::RecordEvent(event) => self.record_event(name, &event),
            EntryAction::Exit => self.exit_process(name),
        }
    }

    pub(crate) fn run_agent_actions(
        &mut self,
        name: &str,
        actions: Vec<AgentAction>,
        payload: &str,
    ) {
        for action in actions {
            self.run_agent_action(name, action, payload);
        }
    }

    fn run_agent_action(&mut self, name: &str, action: AgentAction, payload: &str) {
        match action {
            AgentAction::SendFrame { entry, body } => {
                self.send_from_agent(name, entry.as_str(), body);
            }
            AgentAction::ForwardPart {
                entry,
                attempt,
                offset,
                units,
            } => {
                let answer = Answer {
                    attempt: Some(to_wire(attempt)),
                    offset,
                    units,
                    payload: payload.as_bytes().to_vec(),
                };
                self.send_from_agent(name, entry.as_str(), frame::Body::Answer(answer));
            }
            AgentAction::StartAttempt { attempt, run } => {
                self.hand_to_upstream(name, attempt, run);
            }
            AgentAction::StopAttempt { attempt } => self.stop_attempt(name, attempt),
            AgentAction::SendOrder(order) => self.send_order(name, order),
            AgentAction::CallPlatform(call) => self.call_platform(name, call),
            AgentAction::ProbePredecessor { address } => {
                self.probe_predecessor(name, &address);
            }
            AgentAction::SetReady(ready) => {
                self.log(name, if ready { "is ready" } else { "is not ready" });
                if let Some(proc) = self.agents.get_mut(name) {
                    proc.ready = ready;
                }
            }
            AgentAction::RecordEvent(event) => self.record_event(name, &event),
            AgentAction::Exit => self.exit_process(name),
        }
    }

    fn send_run(
        &mut self,
        name: &str,
        request: RequestId,
        agent: AgentId,
        run: Box<Run>,
    ) {
        let attempt = run.attempt.unwrap_or_default();
        let attempt = AttemptId {
            origin: attempt.origin,
            sequence: attempt.sequence,
        };
        self.callers.add_attempt(request, attempt);
        let body = self.callers.name_of(request).and_then(|name| {
            let sent = self.callers.requests.get(&name)?;
            Some(sent.decl.body.clone())
        });
        let mut run = run;
        run.body = body.unwrap_or_default().into_bytes();
        let peer = Peer::Agent(agent);
        self.send_from_entry(name, &peer, frame::Body::Run(*run));
    }

    fn connect(&mut self, name: &str, peer: Peer, address: &str) {
        let Some(proc) = self.entries.get_mut(name) else {
            return;
        };
        let incarnation = proc.incarnation;
        let known = proc.desired_peers.insert(peer.clone(), address.to_owned());
        if known.is_some_and(|known| known != address) {
            self.disconnect(name, &peer);
        }
        let dial = SimEvent::Dial {
            entry: name.to_owned(),
            incarnation,
            peer,
        };
        self.events.schedule(self.now + LOCAL_LATENCY, dial);
    }

    fn hand_to_upstream(&mut self, name: &str, attempt: AttemptId, run: Box<Run>) {
        let Some(proc) = self.agents.get(name) else {
            return;
        };
        let attempt_start = AttemptStart {
            process: name.to_owned(),
            incarnation: proc.incarnation,
            instance: proc.instance.clone(),
            attempt,
            run,
        };
        let at = self.now + LOCAL_LATENCY;
        self.events
            .schedule(at, SimEvent::AttemptArrives(attempt_start));
    }

    fn probe_predecessor(&mut self, name: &str, address: &str) {
        let dead = !self.is_address_in_use(address);
        let Some(proc) = self.agents.get(name) else {
            return;
        };
        let sim_event = SimEvent::AgentEvent {
            process: name.to_owned(),
            incarnation: proc.incarnation,
            event: Box::new(role::agent::AgentEvent::PredecessorProbed { dead }),
            payload: String::new(),
        };
        self.events.schedule(self.now + LOCAL_LATENCY, sim_event);
    }

    fn exit_process(&mut self, name: &str) {
        self.log(name, "process exits");
        if let Some(proc) = self.entries.get_mut(name) {
            proc.exited = true;
        }
        if let Some(proc) = self.agents.get_mut(name) {
            proc.exited = true;
        }
        self.end_process(name);
    }

    fn record_event(&mut self, name: &str, event: &Event) {
        let kind = EventKind::try_from(event.kind).unwrap_or_default();
        let kind = kind.as_str_name().trim_start_matches("EVENT_KIND_");
        let mut line = format!("[{kind}]");
        for part in [&event.request, &event.model, &event.peer, &event.detail] {
            if !part.is_empty() {
                line.push(' ');
                line.push_str(part);
            }
        }
        *self.event_counts.entry(kind.to_owned()).or_default() += 1;
        self.log(name, &line);
    }
}

fn to_wire(attempt: AttemptId) -> Attempt {
    Attempt {
        origin: attempt.origin,
        sequence: attempt.sequence,
    }
}
