//! A caller's request on its way.

use access::Workspace;
use base::prelude::*;
use bytes::Bytes;
use direct::{Route, ServiceSpec};
use hyper::header::HeaderMap;
use hyper::{Method, Uri};
use std::sync::Arc;

use super::quota::Charge;
use crate::{BootClock, RequestHead};

/// A caller's request with all that decides what becomes of it.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) arrived: Instant,
    /// When the caller gets its final answer at the latest.
    pub(crate) give_up_at: Instant,
    /// When the first part of the answer is of use at the latest.
    pub(crate) first_by: Instant,
    pub(crate) ask: RequestHead,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Arc<str>,
    pub(crate) spec: Arc<ServiceSpec>,
    pub(crate) setup_version: u64,
    /// Workspace of the caller; `None` where callers need no key.
    pub(crate) workspace: Option<Arc<Workspace>>,
    /// What the request took of its workspace's quota.
    pub(crate) charge: Option<Charge>,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    /// Headers without those of the connection and without the caller's key.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Hash of path and body, by which a request that crashes upstreams is known
    /// when it comes again.
    pub(crate) fingerprint: u64,
    /// Prompt parts: hash of all parts up to it, and its tokens.
    pub(crate) parts: Vec<(u64, u64)>,
}

impl Call {
    /// Whether the caller's time is over: what is left is told to upstreams in whole
    /// milliseconds, and with none left nothing is sent or waited for.
    pub(crate) fn is_over(&self, clock: BootClock) -> bool {
        self.left_ms(clock) == 0
    }

    /// Whether what the request took of its workspace's quota is used: it runs, or may
    /// have run.
    pub(crate) fn set_used(&mut self, is_used: bool) {
        if let Some(charge) = &mut self.charge {
            charge.is_used = is_used;
        }
    }

    /// Rank, 0 the highest. That of a workspace goes before that of a route.
    pub(crate) fn priority(&self) -> u32 {
        let own = self.workspace.as_ref();
        let own = own.and_then(|workspace| workspace.priority);
        own.unwrap_or(self.route.priority)
    }

    /// Time until the final answer.
    pub(crate) fn left_ms(&self, clock: BootClock) -> u64 {
        self.give_up_at.ms_since(clock.now())
    }
}
