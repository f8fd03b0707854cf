//! Checks the expectations of a script and the invariants of every run.
//!
//! The following invariants are checked at the end of each run:
//!
//! - The bytes that a caller received are a prefix of the answer to its own
//!   request by a single version of the model. If the response ended cleanly,
//!   they are the complete answer.
//! - A request that was refused as not run was run by no upstream, not even after
//!   the refusal.
//! - A call to a service that is not idempotent ran at most once, as did each
//!   idempotency key of a caller.
//! - Every request ended by its deadline plus a margin.
//!
//! Overcommitted accelerator memory, a decreasing configuration revision, a
//! second end of a request and an answer part after its end are reported when
//! they occur.

use base::prelude::*;
use std::collections::BTreeMap;

use super::Simulation;
use super::caller::{RequestEnd, SentRequest, complete_answers};
use crate::script::{Bounds, Expectation};

/// Time after its deadline by which a request must have ended.
const DEADLINE_MARGIN_MS: u64 = 500;

/// Deadline of a request if neither it nor its profile states one.
const DEFAULT_DEADLINE_MS: u64 = 20_000;

impl Simulation<'_> {
    /// Checks an expectation now; the error describes what was found instead.
    pub(crate) fn evaluate(&mut self, expect: &Expectation) -> Result<(), String> {
        match expect {
            Expectation::Whole { request } => {
                self.check_request_end(request, |end| end == RequestEnd::Whole)
            }
            Expectation::Failed { request, code, ran } => {
                self.check_request_end(request, |end| {
                    let RequestEnd::Refused(refusal) = end else {
                        return false;
                    };
                    let code_holds =
                        code.as_ref().is_none_or(|c| c == refusal.code.name());
                    code_holds && ran.is_none_or(|ran| ran == refusal.ran)
                })
            }
            Expectation::Final { request } => self.check_request_end(request, |_| true),
            Expectation::Pending { request } => match self.sent(request)?.end {
                None => Ok(()),
                Some(end) => Err(format!("{end:?}")),
            },
            Expectation::Runs { body, bounds } => {
                let upstreams = self.upstreams.values();
                let runs = upstreams.filter_map(|u| u.runs_by_body.get(body)).sum();
                check_count(runs, *bounds)
            }
            Expectation::Handed { instance, bounds } => check_count(
                self.upstreams[instance.as_str()].requests_received,
                *bounds,
            ),
            Expectation::Crashes { bounds } => {
                check_count(self.upstreams.values().map(|u| u.crashes).sum(), *bounds)
            }
            Expectation::Event { kind, bounds } => {
                let count = self.event_counts.get(kind).copied();
                check_count(count.unwrap_or(0), *bounds)
            }
            Expectation::Revision { revision } => self.check_revision(*revision),
            Expectation::FirstUnit { request, max_ms } => {
                let sent = self.sent(request)?;
                let first = sent.first_unit.ok_or("no part of the answer arrived")?;
                let latency_ms = first.ms_since(sent.arrived);
                check(latency_ms <= *max_ms, || format!("{latency_ms} ms"))
            }
            Expectation::Ended { process } => {
                let entry = self.entries.get(process).map(|proc| proc.exited);
                let agent = self.agents.get(process).map(|proc| proc.exited);
                let ended = entry.or(agent) == Some(true);
                check(ended, || "it has not exited".into())
            }
            Expectation::Ready { process, ready } => {
                let entry = self.entries.get(process).map(|proc| proc.ready);
                let agent = self.agents.get(process).map(|proc| proc.ready);
                let found = entry.or(agent) == Some(true);
                check(found == *ready, || format!("ready: {found}"))
            }
            Expectation::Holds {
                instance,
                model,
                held,
            } => {
                let found = self.upstreams[instance.as_str()].has_loaded(model);
                check(found == *held, || format!("loaded: {found}"))
            }
        }
    }

    fn sent(&self, request: &str) -> Result<&SentRequest, String> {
        let found = self.callers.requests.get(request);
        found.ok_or_else(|| "the request was not sent".into())
    }

    fn check_request_end(
        &self,
        request: &str,
        holds: impl Fn(RequestEnd) -> bool,
    ) -> Result<(), String> {
        match self.sent(request)?.end {
            Some(end) if holds(end) => Ok(()),
            Some(end) => Err(format!("{end:?}")),
            None => Err("it is still pending".into()),
        }
    }

    fn check_revision(&self, revision: u64) -> Result<(), String> {
        let entries = self.entries.iter().filter(|(_, proc)| proc.role.is_some());
        let entries = entries.map(|(name, proc)| (name, proc.revision));
        let agents = self.agents.iter().filter(|(_, proc)| proc.role.is_some());
        let agents = agents.map(|(name, proc)| (name, proc.revision));
        let mut behind = entries.chain(agents).filter(|(_, r)| r.0 != revision);
        match behind.next() {
            None => Ok(()),
            Some((name, found)) => Err(format!("{name} has revision {found}")),
        }
    }

    /// Checks the invariants that must hold at the end of every run.
    pub(crate) fn check_invariants(&mut self) {
        let mut violations = Vec::new();
        for (name, sent) in &self.callers.requests {
            check_received(name, sent, &mut violations);
            let once = self.runs_at_most_once(sent);
            if once && sent.runs > 1 {
                violations.push(format!(
                    "{name} must run at most once but ran {} times",
                    sent.runs
                ));
            }
            let deadline = self.deadline(sent).plus_ms(DEADLINE_MARGIN_MS);
            if sent.end.is_none() && deadline < self.now {
                violations.push(format!("{name} did not end by its deadline"));
            }
        }
        let mut runs_by_key: BTreeMap<&(String, String), u64> = BTreeMap::new();
        for upstream in self.upstreams.values() {
            for (key, count) in &upstream.runs_by_key {
                *runs_by_key.entry(key).or_default() += count;
            }
        }
        for ((caller, key), count) in
            runs_by_key.iter().filter(|(_, count)| **count > 1)
        {
            violations.push(format!(
                "idempotency key {key} of {caller} ran {count} times"
            ));
        }
        for text in violations {
            self.record_failure(&text);
        }
    }

    fn runs_at_most_once(&self, sent: &SentRequest) -> bool {
        let service = sent.decl.service.as_ref();
        let service = service.and_then(|name| self.script.fleet.services.get(name));
        service.is_some_and(|service| !service.idempotent)
    }

    fn deadline(&self, sent: &SentRequest) -> Instant {
        let named = sent.decl.profile.as_ref();
        let profile = named.and_then(|name| self.script.fleet.profiles.get(name));
        let profile_ms = profile.map(|profile| u64::from(profile.deadline_ms));
        let ms = sent.decl.deadline_ms.or(profile_ms);
        sent.arrived.plus_ms(ms.unwrap_or(DEFAULT_DEADLINE_MS))
    }
}

fn check_received(name: &str, sent: &SentRequest, violations: &mut Vec<String>) {
    let answers = complete_answers(&sent.decl);
    if !answers
        .iter()
        .any(|whole| whole.starts_with(&sent.received))
    {
        violations.push(format!(
            "{name} received `{}`, which is not its answer",
            sent.received
        ));
    }
    if sent.end == Some(RequestEnd::Whole) && !answers.contains(&sent.received) {
        violations.push(format!(
            "{name} ended cleanly with the incomplete answer `{}`",
            sent.received
        ));
    }
    if let Some(RequestEnd::Refused(refusal)) = sent.end
        && refusal.ran == RunStatus::NotRun
        && sent.runs > 0
    {
        violations.push(format!("{name} was refused as not run but ran"));
    }
}

fn check_count(count: u64, bounds: Bounds) -> Result<(), String> {
    check(bounds.contains(count), || format!("{count}"))
}

fn check(holds: bool, found: impl Fn() -> String) -> Result<(), String> {
    if holds { Ok(()) } else { Err(found()) }
}
