//! A caller's request.

use access::Workspace;
use base::prelude::*;
use bytes::Bytes;
use direct::{Route, ServiceSpec, StreamOrigin};
use hyper::header::HeaderMap;
use hyper::{Method, Uri};
use route::PromptPart;
use std::sync::Arc;

use super::quota::Charge;
use crate::{BootClock, RequestHead};

/// A caller's request with everything that determines how it is handled.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    pub(crate) arrived_at: Instant,
    /// Latest time for the complete response.
    pub(crate) deadline: Instant,
    /// Latest time at which the first part of the response is useful.
    pub(crate) first_response_by: Instant,
    pub(crate) head: RequestHead,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Arc<str>,
    /// Where the stream began whose rest is requested.
    pub(crate) origin: Option<StreamOrigin>,
    pub(crate) service_spec: Arc<ServiceSpec>,
    /// Shortest target latency of the service if its requests wait for capacity in the
    /// order of urgency.
    pub(crate) urgent_target_ms: Option<u64>,
    pub(crate) config_version: u64,
    /// Workspace of the caller; `None` where callers need no key.
    pub(crate) workspace: Option<Arc<Workspace>>,
    /// Tokens taken from the workspace's quota.
    pub(crate) charge: Option<Charge>,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    /// Headers without hop-by-hop headers and without the caller's key.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Hash of path and body. It identifies a request that crashes upstreams
    /// when it is sent again.
    pub(crate) fingerprint: u64,
    /// The prompt's parts that other requests may share: all but the last, which is the
    /// caller's own.
    pub(crate) shared_parts: Arc<[PromptPart]>,
    /// Parts of the prompt: hash of all parts up to and including this one, and
    /// its number of tokens.
    pub(crate) prompt_parts: Vec<(u64, u64)>,
}

impl CallerRequest {
    /// Returns whether the deadline has passed. Upstreams are told the
    /// remaining time in whole milliseconds; when none are left, the request
    /// isn't sent and waits for nothing.
    pub(crate) fn is_expired(&self, clock: BootClock) -> bool {
        self.remaining_ms(clock) == 0
    }

    /// Sets whether the tokens taken from the workspace's quota are used, as
    /// the request is running or may have run.
    pub(crate) fn set_charge_used(&mut self, is_used: bool) {
        if let Some(charge) = &mut self.charge {
            charge.is_used = is_used;
        }
    }

    /// Priority; 0 is the highest. That of the workspace overrides that of the
    /// route.
    pub(crate) fn priority(&self) -> u32 {
        let own = self.workspace.as_ref();
        let own = own.and_then(|workspace| workspace.priority);
        own.unwrap_or(self.route.priority)
    }

    /// Time from the arrival within which the first part of the response must be expected.
    /// The rest of a stream that has begun is of use for as long as its caller waits.
    pub(crate) fn first_response_target_ms(&self) -> u64 {
        match self.origin {
            Some(_) => self.first_response_by.ms_since(self.arrived_at),
            None => self.route.latency_target_ms,
        }
    }

    /// Time until the deadline.
    pub(crate) fn remaining_ms(&self, clock: BootClock) -> u64 {
        self.deadline.ms_since(clock.now())
    }
}
