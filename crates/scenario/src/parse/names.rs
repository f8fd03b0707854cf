//! Checks that every name used by a step is declared.
//!
//! A misspelt name would yield an expectation that cannot fail or a fault that is
//! never injected, so the scenario would pass without testing anything.

use std::collections::BTreeSet;

use super::{ScriptError, verb};
use crate::script::{Expectation, RequestDecl, Script, Verb};

/// Returns an error for each undeclared or duplicate name.
pub(super) fn check_names(script: &Script) -> Vec<ScriptError> {
    let names = DeclaredNames::of(script);
    let mut errors = Vec::new();
    let mut sent = BTreeSet::new();
    for step in &script.steps {
        let mut messages = names.errors_in(&step.verb);
        if let Verb::Request(request) = &step.verb
            && !sent.insert(request.name.as_str())
        {
            messages.push(format!("there are two requests `{}`", request.name));
        }
        let found = messages
            .iter()
            .map(|text| ScriptError::new(step.line, 1, text));
        errors.extend(found);
    }
    errors
}

struct DeclaredNames<'s> {
    entries: BTreeSet<&'s str>,
    processes: BTreeSet<&'s str>,
    requests: BTreeSet<&'s str>,
    bodies: BTreeSet<&'s str>,
}

impl<'s> DeclaredNames<'s> {
    fn of(script: &'s Script) -> Self {
        let entries = script.entries.iter().map(|entry| entry.name.as_str());
        let entries: BTreeSet<&str> = entries.collect();
        let instances = script
            .instances
            .iter()
            .map(|instance| instance.name.as_str());
        let requests = || {
            script
                .steps
                .iter()
                .filter_map(|step| sent_request(&step.verb))
        };
        Self {
            processes: entries.iter().copied().chain(instances).collect(),
            entries,
            requests: requests().map(|sent| sent.name.as_str()).collect(),
            bodies: requests().map(|sent| sent.body.as_str()).collect(),
        }
    }

    fn errors_in(&self, verb: &Verb) -> Vec<String> {
        let mut messages = Vec::new();
        for name in verb::referenced_processes(verb) {
            let base_name = name.strip_suffix(".old").unwrap_or(name);
            if base_name != "platform" && !self.processes.contains(base_name) {
                messages.push(format!("no process is called `{name}`"));
            }
        }
        if let Some(sent) = sent_request(verb)
            && self.processes.contains(sent.entry.as_str())
            && !self.entries.contains(sent.entry.as_str())
        {
            messages.push(format!("`{}` is no entry", sent.entry));
        }
        if let Some(name) = referenced_request(verb)
            && !self.requests.contains(name)
        {
            messages.push(format!("no request is called `{name}`"));
        }
        if let Some(body) = referenced_body(verb)
            && !self.bodies.contains(body)
        {
            messages.push(format!("no request has the body `{body}`"));
        }
        messages
    }
}

const fn sent_request(verb: &Verb) -> Option<&RequestDecl> {
    match verb {
        Verb::Request(request) => Some(request),
        _ => None,
    }
}

fn referenced_request(verb: &Verb) -> Option<&str> {
    match verb {
        Verb::Gone { request }
        | Verb::Expect(
            Expectation::Whole { request }
            | Expectation::Failed { request, .. }
            | Expectation::Final { request }
            | Expectation::Pending { request }
            | Expectation::FirstUnit { request, .. },
        ) => Some(request),
        _ => None,
    }
}

fn referenced_body(verb: &Verb) -> Option<&str> {
    match verb {
        Verb::CrashOn { body } | Verb::Expect(Expectation::Runs { body, .. }) => {
            Some(body)
        }
        _ => None,
    }
}
