//! Requests of the rig's callers.

use super::{KEY, Rig};
use access::Credential;
use base::prelude::*;
use role::entry::{EntryEvent, IncomingRequest, RequestedResource};

impl Rig {
    pub fn arrival(&self, resource: RequestedResource) -> IncomingRequest {
        let request = self.role.next_request_id();
        IncomingRequest {
            request,
            credential: Credential::from_key(KEY),
            profile: None,
            deadline_ms: None,
            resource,
            idempotency_key: None,
            method: "POST".to_owned(),
            path: "/v1/completions".to_owned(),
            content_type: "application/json".to_owned(),
            body_hash: request.sequence,
            prefix_hash: 0,
            prompt_tokens: 10,
            tokens_max: 10,
        }
    }

    pub fn arrive(&mut self, arrival: IncomingRequest) -> RequestId {
        let request = arrival.request;
        self.handle(EntryEvent::RequestReceived(Box::new(arrival)));
        request
    }

    pub fn ask(&mut self, model: &str) -> RequestId {
        let arrival = self.arrival(RequestedResource::Model(Some(ModelId::new(model))));
        self.arrive(arrival)
    }

    /// A call that must not run twice.
    pub fn order(&mut self) -> RequestId {
        let mut arrival =
            self.arrival(RequestedResource::Service(ServiceId::new("orders")));
        arrival.idempotency_key = Some("k1".to_owned());
        self.arrive(arrival)
    }
}
