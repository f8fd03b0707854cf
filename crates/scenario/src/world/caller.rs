//! Callers: what they sent and what they got.

use access::Credential;
use base::prelude::*;
use role::entry::{EntryEvent, IncomingRequest, RequestedResource};
use std::collections::BTreeMap;

use super::World;
use crate::script::RequestDecl;

/// Version of a model unless a script says otherwise.
const FIRST_VERSION: u32 = 1;

/// Highest version of a model that a script may use.
const LAST_VERSION: u32 = 32;

/// Requests by their name in the script.
#[derive(Debug, Default)]
pub(crate) struct Callers {
    pub(crate) requests: BTreeMap<String, Sent>,
    names: BTreeMap<RequestId, String>,
    attempts: BTreeMap<AttemptId, String>,
}

/// One request of a caller.
#[derive(Debug)]
pub(crate) struct Sent {
    pub(crate) decl: RequestDecl,
    pub(crate) id: RequestId,
    pub(crate) arrived: Instant,
    pub(crate) first_unit: Option<Instant>,
    pub(crate) received: String,
    pub(crate) end: Option<End>,
    /// Times that an upstream ran it.
    pub(crate) runs: u32,
}

/// The final answer of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum End {
    Whole,
    Refused(RequestError),
    /// The connection to the entry broke.
    Broken,
    /// The caller went away itself.
    Gone,
}

impl Callers {
    pub(crate) fn name(&self, id: RequestId) -> Option<String> {
        self.names.get(&id).cloned()
    }

    pub(crate) fn add_attempt(&mut self, id: RequestId, attempt: AttemptId) {
        if let Some(name) = self.names.get(&id) {
            self.attempts.insert(attempt, name.clone());
        }
    }

    /// Counts a run by an upstream.
    pub(crate) fn ran(&mut self, attempt: AttemptId) {
        let name = self.attempts.get(&attempt);
        if let Some(sent) = name.and_then(|name| self.requests.get_mut(name)) {
            sent.runs += 1;
        }
    }

    /// The entry is killed: its callers see their connections break.
    pub(crate) fn entry_gone(&mut self, entry: &str, _now: Instant) -> Vec<String> {
        let mut broken = Vec::new();
        for (name, sent) in &mut self.requests {
            if sent.decl.entry == entry && sent.end.is_none() {
                sent.end = Some(End::Broken);
                broken.push(name.clone());
            }
        }
        broken
    }
}

/// One unit of the answer of an engine; each version of a model has its own, so
/// that an answer put together from two of them shows.
pub(crate) fn token(body: &str, version: u32, index: u64) -> String {
    if version == FIRST_VERSION {
        return format!("{body}:{index} ");
    }
    format!("{body}@{version}:{index} ")
}

/// The answer of a plain service.
pub(crate) fn service_answer(body: &str) -> String {
    format!("done {body}")
}

/// The whole answers, any one of which a request must get: one for each version
/// of its model.
pub(crate) fn whole_answers(decl: &RequestDecl) -> Vec<String> {
    if decl.service.is_some() {
        return vec![service_answer(&decl.body)];
    }
    let of_version = |version| {
        let units = 0..u64::from(decl.units);
        units
            .map(|index| token(&decl.body, version, index))
            .collect()
    };
    (FIRST_VERSION..=LAST_VERSION).map(of_version).collect()
}

/// A part of an answer less its first units.
fn skipped(decl: &RequestDecl, payload: &str, units: u32) -> String {
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

impl World<'_> {
    pub(crate) fn send_request(&mut self, decl: &RequestDecl) {
        let Some(node) = self.entries.get(&decl.entry) else {
            return;
        };
        let Some(role) = node.role.as_ref().filter(|_| !node.frozen) else {
            self.log(&decl.name, "finds no entry");
            return;
        };
        let id = role.next_request_id();
        let arrival = arrival(decl, id);
        let sent = Sent {
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
        let event = EntryEvent::RequestReceived(Box::new(arrival));
        self.entry_handle(&decl.entry, event, None);
    }

    pub(crate) fn caller_gone(&mut self, name: &str) {
        let Some(sent) = self.callers.requests.get_mut(name) else {
            return;
        };
        if sent.end.is_some() {
            return;
        }
        sent.end = Some(End::Gone);
        let request = sent.id;
        let entry = sent.decl.entry.clone();
        self.log(name, "caller goes away");
        self.entry_handle(&entry, EntryEvent::CallerDisconnected { request }, None);
    }

    pub(crate) fn delivered(&mut self, id: RequestId, payload: &str, skip_units: u32) {
        let now = self.now;
        let Some(name) = self.callers.name(id) else {
            return;
        };
        let Some(sent) = self.callers.requests.get_mut(&name) else {
            return;
        };
        let text = skipped(&sent.decl, payload, skip_units);
        let late = sent
            .end
            .is_some_and(|end| end != End::Gone && end != End::Broken);
        sent.first_unit.get_or_insert(now);
        sent.received.push_str(&text);
        if late {
            self.fail(&format!("{name} got a part after its final answer"));
        }
    }

    pub(crate) fn ended(&mut self, id: RequestId, end: End) {
        let Some(name) = self.callers.name(id) else {
            return;
        };
        self.log(&name, &format!("ends: {end:?}"));
        let Some(sent) = self.callers.requests.get_mut(&name) else {
            return;
        };
        match sent.end {
            None => sent.end = Some(end),
            Some(End::Gone | End::Broken) => {}
            Some(_) => self.fail(&format!("{name} got two final answers")),
        }
    }
}

fn arrival(decl: &RequestDecl, request: RequestId) -> IncomingRequest {
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
