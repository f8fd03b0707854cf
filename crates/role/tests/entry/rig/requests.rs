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

    pub fn submit(&mut self, incoming: IncomingRequest) -> RequestId {
        let request = incoming.request;
        self.handle(EntryEvent::RequestReceived(Box::new(incoming)));
        request
    }

    pub fn request_model(&mut self, model: &str) -> RequestId {
        let incoming =
            self.incoming(RequestedResource::Model(Some(ModelId::new(model))));
        self.submit(incoming)
    }

    /// Submits a request to a service that is not idempotent, with an idempotency
    /// key.
    pub fn request_orders(&mut self) -> RequestId {
        let mut incoming =
            self.incoming(RequestedResource::Service(ServiceId::new("orders")));
        incoming.idempotency_key = Some("k1".to_owned());
        self.submit(incoming)
    }
}
