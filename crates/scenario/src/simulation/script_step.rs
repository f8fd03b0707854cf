//! Executes the steps of a script.

use super::Simulation;
use crate::script::{Expectation, Verb};

impl Simulation<'_> {
    pub(crate) fn run_step(&mut self, index: usize) {
        let script = self.script;
        let step = &script.steps[index];
        match &step.verb {
            Verb::Request(decl) => self.send_request(decl),
            Verb::Gone { request } => self.disconnect_caller(request),
            Verb::Kill { process } => self.kill(process),
            Verb::Start { process } => self.restart_process(process),
            Verb::Freeze { process } => self.freeze(process),
            Verb::Thaw { process } => self.thaw(process),
            Verb::Replace { process } => self.replace(process),
            Verb::Drain { process } => self.drain(process),
            Verb::Cut { a, b } => self.cut(a, b),
            Verb::Heal { a, b } => self.heal(a, b),
            Verb::Break { a, b } => self.break_link(a, b),
            Verb::Platform(fault) => self.platform_fault(*fault),
            Verb::Upstream { instance, fault } => self.upstream_fault(instance, *fault),
            Verb::CrashOn { body } => self.crash_bodies.push(body.clone()),
            Verb::Publish { revision, patch } => self.publish(*revision, patch),
            Verb::ListLeaving { instance } => self.list_leaving(instance),
            Verb::Expect(expect) => self.check_expectation(step.line, expect),
        }
    }

    fn restart_process(&mut self, process: &str) {
        let entry = self.entries.get(process).map(|proc| proc.role.is_some());
        let agent = self.agents.get(process).map(|proc| proc.role.is_some());
        if entry.or(agent) == Some(true) {
            self.record_failure(&format!(
                "{process} is started but was already running"
            ));
        }
        let instances = &self.script.instances;
        if instances.iter().any(|instance| instance.name == process) {
            self.start_agent(process, process);
        } else {
            self.start_entry(process);
        }
    }

    fn drain(&mut self, process: &str) {
        self.log(process, "is asked to shut down");
        if self.entries.contains_key(process) {
            self.handle_entry_event(process, role::entry::EntryEvent::Drain, None);
        } else {
            self.handle_agent_event(process, role::agent::AgentEvent::Drain, "");
        }
    }

    fn check_expectation(&mut self, line: usize, expect: &Expectation) {
        if let Err(found) = self.evaluate(expect) {
            self.record_failure(&format!(
                "line {line}: {expect:?} does not hold: {found}"
            ));
        }
    }
}
