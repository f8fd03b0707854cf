//! Requests of simulated callers.

use super::{KEY, Rig};
use access::Credential;
use base::prelude::*;
use role::entry::{EntryEvent, IncomingRequest, RequestedResource};

impl Rig {
    pub fn incoming(&self, resource: RequestedResource) -> IncomingRequest {
        let request = self.role.next_request_id();
        IncomingRequest {
            request,
            credential: Credential::of(KEY),
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

    pub fn submit(&mut self, arrival: IncomingRequest) -> RequestId {
        let request = arrival.request;
        self.handle(EntryEvent::RequestReceived(Box::new(arrival)));
        request
    }

    pub fn request_model(&mut self, model: &str) -> RequestId {
        let arrival =
            self.incoming(RequestedResource::Model(Some(ModelId::new(model))));
        self.submit(arrival)
    }

    /// Submits a call of a service that is not idempotent, with an idempotency key.
    pub fn call_orders(&mut self) -> RequestId {
        let mut arrival =
            self.incoming(RequestedResource::Service(ServiceId::new("orders")));
        arrival.idempotency_key = Some("k1".to_owned());
        self.submit(arrival)
    }
}
