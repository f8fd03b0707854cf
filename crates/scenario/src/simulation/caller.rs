//! Callers: the requests they sent and the answers they received.

use access::Credential;
use base::prelude::*;
use role::entry::{EntryEvent, IncomingRequest, RequestedResource};
use std::collections::BTreeMap;

use super::Simulation;
use crate::script::RequestDecl;

/// Default version of a model.
const FIRST_VERSION: u32 = 1;

/// Highest model version for which answers are checked.
const LAST_VERSION: u32 = 32;

/// All requests sent so far.
#[derive(Debug, Default)]
pub(crate) struct Callers {
    /// Requests by their name in the script.
    pub(crate) requests: BTreeMap<String, SentRequest>,
    /// Names of requests in the script, by the id that the entry assigned.
    names: BTreeMap<RequestId, String>,
    /// Names of requests, by the id of each of their attempts.
    attempts: BTreeMap<AttemptId, String>,
}

/// A request sent by a caller.
#[derive(Debug)]
pub(crate) struct SentRequest {
    pub(crate) decl: RequestDecl,
    pub(crate) id: RequestId,
    pub(crate) arrived: Instant,
    pub(crate) first_unit: Option<Instant>,
    pub(crate) received: String,
    pub(crate) end: Option<RequestEnd>,
    /// Number of attempts of the request that upstreams ran.
    pub(crate) runs: u32,
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestEnd {
    /// The response ended cleanly.
    Whole,
    /// The entry reported an error.
    Refused(RequestError),
    /// The caller's connection to the entry broke.
    Broken,
    /// The caller disconnected.
    Gone,
}

impl Callers {
    pub(crate) fn name_of(&self, id: RequestId) -> Option<String> {
        self.names.get(&id).cloned()
    }

    pub(crate) fn add_attempt(&mut self, id: RequestId, attempt: AttemptId) {
        if let Some(name) = self.names.get(&id) {
            self.attempts.insert(attempt, name.clone());
        }
    }

    /// Counts a run of an attempt by an upstream.
    pub(crate) fn count_run(&mut self, attempt: AttemptId) {
        let name = self.attempts.get(&attempt);
        if let Some(sent) = name.and_then(|name| self.requests.get_mut(name)) {
            sent.runs += 1;
        }
    }

    /// Breaks the connections of all pending requests of a killed entry and returns
    /// the requests' names.
    pub(crate) fn disconnect_callers_of(
        &mut self,
        entry: &str,
        _now: Instant,
    ) -> Vec<String> {
        let mut disconnected = Vec::new();
        for (name, sent) in &mut self.requests {
            if sent.decl.entry == entry && sent.end.is_none() {
                sent.end = Some(RequestEnd::Broken);
                disconnected.push(name.clone());
            }
        }
        disconnected
    }
}

/// One token of an engine's answer. It depends on the version of the model, so
/// that an answer assembled from two versions is detected.
pub(crate) fn token(body: &str, version: u32, index: u64) -> String {
    if version == FIRST_VERSION {
        return format!("{body}:{index} ");
    }
    format!("{body}@{version}:{index} ")
}

/// The answer of a plain service.
pub(crate) fn service_response(body: &str) -> String {
    format!("done {body}")
}

/// The complete answers that a request may receive: one for each version of its
/// model.
pub(crate) fn complete_answers(decl: &RequestDecl) -> Vec<String> {
    if decl.service.is_some() {
        return vec![service_response(&decl.body)];
    }
    let of_version = |version| {
        let units = 0..u64::from(decl.units);
        units
            .map(|index| token(&decl.body, version, index))
            .collect()
    };
    (FIRST_VERSION..=LAST_VERSION).map(of_version).collect()
}

/// Returns a part of an answer without its first `units` tokens, or bytes for a
/// plain service.
fn without_first_units(decl: &RequestDecl, payload: &str, units: u32) -> String {
    if decl.service.is_some() {
        return payload.get(units as usize..).unwrap_or("").to_owned();
    }
    let mut rest = payload;
    for _ in 0..units {
        let end = rest.find(' ').map_or(rest.len(), |space| space + 1);
        rest = &rest[end..];
    }
    rest.to_owned()
}

impl Simulation<'_> {
    pub(crate) fn send_request(&mut self, decl: &RequestDecl) {
        let Some(proc) = self.entries.get(&decl.entry) else {
            return;
        };
        let Some(role) = proc.role.as_ref().filter(|_| !proc.frozen) else {
            self.log(&decl.name, "is not sent: the entry is not running");
            return;
        };
        let id = role.next_request_id();
        let incoming_request = incoming_request(decl, id);
        let sent = SentRequest {
            decl: decl.clone(),
            id,
            arrived: self.now,
            first_unit: None,
            received: String::new(),
            end: None,
            runs: 0,
        };
        self.log(&decl.name, &format!("is sent to {} as {id}", decl.entry));
        self.callers.names.insert(id, decl.name.clone());
        self.callers.requests.insert(decl.name.clone(), sent);
        let event = EntryEvent::RequestReceived(Box::new(incoming_request));
        self.handle_entry_event(&decl.entry, event, None);
    }

    pub(crate) fn disconnect_caller(&mut self, name: &str) {
        let Some(sent) = self.callers.requests.get_mut(name) else {
            return;
        };
        if sent.end.is_some() {
            return;
        }
        sent.end = Some(RequestEnd::Gone);
        let request = sent.id;
        let entry = sent.decl.entry.clone();
        self.log(name, "caller disconnects");
        self.handle_entry_event(
            &entry,
            EntryEvent::CallerDisconnected { request },
            None,
        );
    }

    pub(crate) fn receive_part(
        &mut self,
        id: RequestId,
        payload: &str,
        skip_units: u32,
    ) {
        let now = self.now;
        let Some(name) = self.callers.name_of(id) else {
            return;
        };
        let Some(sent) = self.callers.requests.get_mut(&name) else {
            return;
        };
        let text = without_first_units(&sent.decl, payload, skip_units);
        let late = sent
            .end
            .is_some_and(|end| end != RequestEnd::Gone && end != RequestEnd::Broken);
        sent.first_unit.get_or_insert(now);
        sent.received.push_str(&text);
        if late {
            self.record_failure(&format!(
                "{name} received an answer part after its end"
            ));
        }
    }

    pub(crate) fn finish_request(&mut self, id: RequestId, end: RequestEnd) {
        let Some(name) = self.callers.name_of(id) else {
            return;
        };
        self.log(&name, &format!("ends: {end:?}"));
        let Some(sent) = self.callers.requests.get_mut(&name) else {
            return;
        };
        match sent.end {
            None => sent.end = Some(end),
            Some(RequestEnd::Gone | RequestEnd::Broken) => {}
            Some(_) => self.record_failure(&format!("{name} ended twice")),
        }
    }
}

fn incoming_request(decl: &RequestDecl, request: RequestId) -> IncomingRequest {
    let resource = match &decl.service {
        Some(service) => RequestedResource::Service(ServiceId::new(service)),
        None => RequestedResource::Model(decl.model.as_deref().map(ModelId::new)),
    };
    let hash = conf::sha256_hex(&decl.body);
    let hash = u64::from_str_radix(&hash[..16], 16).unwrap_or_default();
    IncomingRequest {
        request,
        credential: Credential::from_key(&format!("key-{}", decl.caller)),
        profile: decl.profile.as_deref().map(ProfileId::new),
        deadline_ms: decl.deadline_ms,
        resource,
        idempotency_key: decl.key.clone(),
        method: "POST".into(),
        path: "/v1/completions".into(),
        content_type: "application/json".into(),
        body_hash: hash,
        prefix_hash: 0,
        prompt_tokens: 16,
        tokens_max: decl.units,
    }
}
