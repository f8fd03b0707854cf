//! Carries out what the machines ask of their drivers.

use base::prelude::*;
use role::Peer;
use role::agent::AgentAction;
use role::entry::EntryAction;
use schema::link::{Answer, Attempt, Run, frame};
use schema::timeline::{Event, EventKind};

use super::World;
use super::caller::End;
use super::queue::{HandOver, Happening};

/// Time in which an agent's call reaches its upstream.
const LOCAL: Duration = Duration::from_micros(200);

impl World<'_> {
    pub(crate) fn entry_actions(
        &mut self,
        name: &str,
        actions: Vec<EntryAction>,
        payload: Option<&str>,
    ) {
        for action in actions {
            self.entry_action(name, action, payload.unwrap_or(""));
        }
    }

    fn entry_action(&mut self, name: &str, action: EntryAction, payload: &str) {
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
            } => self.delivered(request, payload, skip_units),
            EntryAction::Finish { request, .. } => self.ended(request, End::Whole),
            EntryAction::Fail { request, error } => {
                self.ended(request, End::Refused(error));
            }
            EntryAction::Connect { peer, address } => {
                self.connect(name, peer, &address);
            }
            EntryAction::Disconnect { peer } => {
                if let Some(node) = self.entries.get_mut(name) {
                    node.wanted.remove(&peer);
                }
                self.disconnect(name, &peer);
            }
            EntryAction::CallPlatform(call) => self.call_platform(name, call),
            EntryAction::SetReady(ready) => {
                self.log(name, if ready { "is ready" } else { "is not ready" });
                if let Some(node) = self.entries.get_mut(name) {
                    node.ready = ready;
                }
            }
            EntryAction::RecordEvent(event) => self.trace(name, &event),
            EntryAction::Exit => self.exit(name),
        }
    }

    pub(crate) fn agent_actions(
        &mut self,
        name: &str,
        actions: Vec<AgentAction>,
        payload: &str,
    ) {
        for action in actions {
            self.agent_action(name, action, payload);
        }
    }

    fn agent_action(&mut self, name: &str, action: AgentAction, payload: &str) {
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
            AgentAction::StartAttempt { attempt, run } => self.give(name, attempt, run),
            AgentAction::StopAttempt { attempt } => self.stop_attempt(name, attempt),
            AgentAction::SendOrder(order) => self.send_order(name, order),
            AgentAction::CallPlatform(call) => self.call_platform(name, call),
            AgentAction::ProbePredecessor { address } => self.probe(name, &address),
            AgentAction::SetReady(ready) => {
                self.log(name, if ready { "is ready" } else { "is not ready" });
                if let Some(node) = self.agents.get_mut(name) {
                    node.ready = ready;
                }
            }
            AgentAction::RecordEvent(event) => self.trace(name, &event),
            AgentAction::Exit => self.exit(name),
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
        let body = self.callers.name(request).and_then(|name| {
            let sent = self.callers.requests.get(&name)?;
            Some(sent.decl.body.clone())
        });
        let mut run = run;
        run.body = body.unwrap_or_default().into_bytes();
        let peer = Peer::Agent(agent);
        self.send_from_entry(name, &peer, frame::Body::Run(*run));
    }

    fn connect(&mut self, name: &str, peer: Peer, address: &str) {
        let Some(node) = self.entries.get_mut(name) else {
            return;
        };
        let start = node.start;
        let known = node.wanted.insert(peer.clone(), address.to_owned());
        if known.is_some_and(|known| known != address) {
            self.disconnect(name, &peer);
        }
        let dial = Happening::Dial {
            entry: name.to_owned(),
            start,
            peer,
        };
        self.queue.add(self.now + LOCAL, dial);
    }

    fn give(&mut self, name: &str, attempt: AttemptId, run: Box<Run>) {
        let Some(node) = self.agents.get(name) else {
            return;
        };
        let hand_over = HandOver {
            process: name.to_owned(),
            start: node.start,
            instance: node.instance.clone(),
            attempt,
            run,
        };
        let at = self.now + LOCAL;
        self.queue.add(at, Happening::HandOver(hand_over));
    }

    fn probe(&mut self, name: &str, address: &str) {
        let dead = !self.address_taken(address);
        let Some(node) = self.agents.get(name) else {
            return;
        };
        let happening = Happening::Agent {
            process: name.to_owned(),
            start: node.start,
            event: Box::new(role::agent::AgentEvent::PredecessorProbed { dead }),
            payload: String::new(),
        };
        self.queue.add(self.now + LOCAL, happening);
    }

    fn exit(&mut self, name: &str) {
        self.log(name, "process ends by itself");
        if let Some(node) = self.entries.get_mut(name) {
            node.ended = true;
        }
        if let Some(node) = self.agents.get_mut(name) {
            node.ended = true;
        }
        self.end_process(name);
    }

    fn trace(&mut self, name: &str, event: &Event) {
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
