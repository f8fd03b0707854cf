//! What must have been seen: statements of a script, and the promises that
//! hold in every run.
//!
//! The promises checked after each run:
//!
//! - what a caller received is the start of its own whole answer, by one version
//!   of its model, and a clean end means all of it;
//! - a request refused as not run was run by no upstream, not even later;
//! - a call that may not be repeated ran at most once, and so did each key;
//! - every request got its final answer by its deadline and a margin.
//!
//! Overcommitted memory, a falling revision and a second final answer are
//! noticed when they happen.

use base::prelude::*;
use std::collections::BTreeMap;

use super::World;
use super::caller::{End, Sent, whole_answers};
use crate::script::{Bounds, Expect};

/// Time after its deadline within which a request has its final answer.
const DEADLINE_MARGIN_MS: u64 = 500;

/// Longest deadline a profile gives unless the script says otherwise.
const DEFAULT_DEADLINE_MS: u64 = 20_000;

impl World<'_> {
    /// Whether a statement holds now; else what was found.
    pub(crate) fn holds(&mut self, expect: &Expect) -> Result<(), String> {
        match expect {
            Expect::Whole { request } => {
                self.expect_end(request, |end| end == End::Whole)
            }
            Expect::Failed { request, code, ran } => self.expect_end(request, |end| {
                let End::Refused(refusal) = end else {
                    return false;
                };
                let code_holds = code.as_ref().is_none_or(|c| c == refusal.code.name());
                code_holds && ran.is_none_or(|ran| ran == refusal.ran)
            }),
            Expect::Final { request } => self.expect_end(request, |_| true),
            Expect::Pending { request } => match self.sent(request)?.end {
                None => Ok(()),
                Some(end) => Err(format!("{end:?}")),
            },
            Expect::Runs { body, bounds } => {
                let upstreams = self.upstreams.values();
                let runs = upstreams.filter_map(|u| u.runs.get(body)).sum();
                within(runs, *bounds)
            }
            Expect::Handed { instance, bounds } => {
                within(self.upstreams[instance.as_str()].handed, *bounds)
            }
            Expect::Crashes { bounds } => {
                within(self.upstreams.values().map(|u| u.crashes).sum(), *bounds)
            }
            Expect::Event { kind, bounds } => {
                let count = self.event_counts.get(kind).copied();
                within(count.unwrap_or(0), *bounds)
            }
            Expect::Revision { revision } => self.expect_revision(*revision),
            Expect::FirstUnit { request, max_ms } => {
                let sent = self.sent(request)?;
                let first = sent.first_unit.ok_or("no unit came")?;
                let took_ms = first.ms_since(sent.arrived);
                check(took_ms <= *max_ms, || format!("{took_ms} ms"))
            }
            Expect::Ended { process } => {
                let entry = self.entries.get(process).map(|node| node.ended);
                let agent = self.agents.get(process).map(|node| node.ended);
                let ended = entry.or(agent) == Some(true);
                check(ended, || "it has not ended".into())
            }
            Expect::Ready { process, ready } => {
                let entry = self.entries.get(process).map(|node| node.ready);
                let agent = self.agents.get(process).map(|node| node.ready);
                let found = entry.or(agent) == Some(true);
                check(found == *ready, || format!("ready: {found}"))
            }
            Expect::Holds {
                instance,
                model,
                held,
            } => {
                let found = self.upstreams[instance.as_str()].holds(model);
                check(found == *held, || format!("held: {found}"))
            }
        }
    }

    fn sent(&self, request: &str) -> Result<&Sent, String> {
        let found = self.callers.requests.get(request);
        found.ok_or_else(|| "no such request was sent".into())
    }

    fn expect_end(
        &self,
        request: &str,
        holds: impl Fn(End) -> bool,
    ) -> Result<(), String> {
        match self.sent(request)?.end {
            Some(end) if holds(end) => Ok(()),
            Some(end) => Err(format!("{end:?}")),
            None => Err("it is still pending".into()),
        }
    }

    fn expect_revision(&self, revision: u64) -> Result<(), String> {
        let entries = self.entries.iter().filter(|(_, node)| node.role.is_some());
        let entries = entries.map(|(name, node)| (name, node.revision));
        let agents = self.agents.iter().filter(|(_, node)| node.role.is_some());
        let agents = agents.map(|(name, node)| (name, node.revision));
        let mut behind = entries.chain(agents).filter(|(_, r)| r.0 != revision);
        match behind.next() {
            None => Ok(()),
            Some((name, found)) => Err(format!("{name} has {found}")),
        }
    }

    /// Checks what must hold in every run.
    pub(crate) fn check_promises(&mut self) {
        let mut broken = Vec::new();
        for (name, sent) in &self.callers.requests {
            check_answer(name, sent, &mut broken);
            let once = self.may_run_once(sent);
            if once && sent.runs > 1 {
                broken.push(format!("{name} may run once and ran {} times", sent.runs));
            }
            let deadline = self.deadline(sent).plus_ms(DEADLINE_MARGIN_MS);
            if sent.end.is_none() && deadline < self.now {
                broken.push(format!("{name} has no final answer by its deadline"));
            }
        }
        let mut keyed: BTreeMap<&(String, String), u64> = BTreeMap::new();
        for upstream in self.upstreams.values() {
            for (key, count) in &upstream.keyed {
                *keyed.entry(key).or_default() += count;
            }
        }
        for ((caller, key), count) in keyed.iter().filter(|(_, count)| **count > 1) {
            broken.push(format!("key {key} of {caller} ran {count} times"));
        }
        for text in broken {
            self.fail(&text);
        }
    }

    fn may_run_once(&self, sent: &Sent) -> bool {
        let service = sent.decl.service.as_ref();
        let service = service.and_then(|name| self.script.fleet.services.get(name));
        service.is_some_and(|service| !service.idempotent)
    }

    fn deadline(&self, sent: &Sent) -> Instant {
        let named = sent.decl.profile.as_ref();
        let profile = named.and_then(|name| self.script.fleet.profiles.get(name));
        let profile_ms = profile.map(|profile| u64::from(profile.deadline_ms));
        let ms = sent.decl.deadline_ms.or(profile_ms);
        sent.arrived.plus_ms(ms.unwrap_or(DEFAULT_DEADLINE_MS))
    }
}

fn check_answer(name: &str, sent: &Sent, broken: &mut Vec<String>) {
    let answers = whole_answers(&sent.decl);
    if !answers
        .iter()
        .any(|whole| whole.starts_with(&sent.received))
    {
        broken.push(format!("{name} received `{}`, not its own", sent.received));
    }
    if sent.end == Some(End::Whole) && !answers.contains(&sent.received) {
        broken.push(format!("{name} ended cleanly with `{}`", sent.received));
    }
    if let Some(End::Refused(refusal)) = sent.end
        && refusal.ran == RunStatus::NotRun
        && sent.runs > 0
    {
        broken.push(format!("{name} was refused as not run and ran"));
    }
}

fn within(count: u64, bounds: Bounds) -> Result<(), String> {
    check(bounds.hold(count), || format!("{count}"))
}

fn check(holds: bool, found: impl Fn() -> String) -> Result<(), String> {
    if holds { Ok(()) } else { Err(found()) }
}
