//! Names that a step uses must be those of something.
//!
//! A misspelt name would make a statement that never can fail, or a fault that
//! never happens: the scenario would pass and prove nothing.

use std::collections::BTreeSet;

use super::{ScriptError, verb};
use crate::script::{Expect, RequestDecl, Script, Verb};

/// Mistakes in the names that steps use.
pub(super) fn check(script: &Script) -> Vec<ScriptError> {
    let names = Names::of(script);
    let mut errors = Vec::new();
    let mut sent = BTreeSet::new();
    for step in &script.steps {
        let mut wrong = names.wrong_in(&step.verb);
        if let Verb::Request(request) = &step.verb
            && !sent.insert(request.name.as_str())
        {
            wrong.push(format!("there are two requests `{}`", request.name));
        }
        let told = wrong
            .iter()
            .map(|text| ScriptError::new(step.line, 1, text));
        errors.extend(told);
    }
    errors
}

struct Names<'s> {
    entries: BTreeSet<&'s str>,
    processes: BTreeSet<&'s str>,
    requests: BTreeSet<&'s str>,
    bodies: BTreeSet<&'s str>,
}

impl<'s> Names<'s> {
    fn of(script: &'s Script) -> Self {
        let entries = script.entries.iter().map(|entry| entry.name.as_str());
        let entries: BTreeSet<&str> = entries.collect();
        let instances = script.instances.iter().map(|held| held.name.as_str());
        let requests = || script.steps.iter().filter_map(|step| request(&step.verb));
        Self {
            processes: entries.iter().copied().chain(instances).collect(),
            entries,
            requests: requests().map(|sent| sent.name.as_str()).collect(),
            bodies: requests().map(|sent| sent.body.as_str()).collect(),
        }
    }

    fn wrong_in(&self, verb: &Verb) -> Vec<String> {
        let mut wrong = Vec::new();
        for name in verb::processes(verb) {
            let plain = name.strip_suffix(".old").unwrap_or(name);
            if plain != "platform" && !self.processes.contains(plain) {
                wrong.push(format!("no process is called `{name}`"));
            }
        }
        if let Some(sent) = request(verb)
            && self.processes.contains(sent.entry.as_str())
            && !self.entries.contains(sent.entry.as_str())
        {
            wrong.push(format!("`{}` is no entry", sent.entry));
        }
        if let Some(name) = named_request(verb)
            && !self.requests.contains(name)
        {
            wrong.push(format!("no request is called `{name}`"));
        }
        if let Some(body) = named_body(verb)
            && !self.bodies.contains(body)
        {
            wrong.push(format!("no request has the body `{body}`"));
        }
        wrong
    }
}

const fn request(verb: &Verb) -> Option<&RequestDecl> {
    match verb {
        Verb::Request(request) => Some(request),
        _ => None,
    }
}

fn named_request(verb: &Verb) -> Option<&str> {
    match verb {
        Verb::Gone { request }
        | Verb::Expect(
            Expect::Whole { request }
            | Expect::Failed { request, .. }
            | Expect::Final { request }
            | Expect::Pending { request }
            | Expect::FirstUnit { request, .. },
        ) => Some(request),
        _ => None,
    }
}

fn named_body(verb: &Verb) -> Option<&str> {
    match verb {
        Verb::CrashOn { body } | Verb::Expect(Expect::Runs { body, .. }) => Some(body),
        _ => None,
    }
}
