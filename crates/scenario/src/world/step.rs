//! Carries out the steps of a script.

use super::World;
use crate::script::{Expect, Verb};

impl World<'_> {
    pub(crate) fn step(&mut self, index: usize) {
        let script = self.script;
        let step = &script.steps[index];
        match &step.verb {
            Verb::Request(decl) => self.send_request(decl),
            Verb::Gone { request } => self.caller_gone(request),
            Verb::Kill { process } => self.kill(process),
            Verb::Start { process } => self.start_again(process),
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
            Verb::Expect(expect) => self.expect(step.line, expect),
        }
    }

    fn start_again(&mut self, process: &str) {
        let entry = self.entries.get(process).map(|node| node.role.is_some());
        let agent = self.agents.get(process).map(|node| node.role.is_some());
        if entry.or(agent) == Some(true) {
            self.fail(&format!("{process} starts and was running"));
        }
        let instances = &self.script.instances;
        if instances.iter().any(|instance| instance.name == process) {
            self.start_agent(process, process);
        } else {
            self.start_entry(process);
        }
    }

    fn drain(&mut self, process: &str) {
        self.log(process, "is asked to stop");
        if self.entries.contains_key(process) {
            self.entry_handle(process, role::entry::EntryEvent::Drain, None);
        } else {
            self.agent_handle(process, role::agent::AgentEvent::Drain, "");
        }
    }

    fn expect(&mut self, line: usize, expect: &Expect) {
        if let Err(found) = self.holds(expect) {
            self.fail(&format!("line {line}: {expect:?} does not hold: {found}"));
        }
    }
}
