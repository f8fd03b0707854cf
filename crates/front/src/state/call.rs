//! A caller's request on its way.

use base::prelude::*;
use bytes::Bytes;
use direct::{Route, ServiceSpec};
use hyper::header::HeaderMap;
use hyper::{Method, Uri};
use std::sync::Arc;

use crate::{AskHead, BootClock};

/// A caller's request with all that decides what becomes of it.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) arrived: Instant,
    /// When the caller gets its final answer at the latest.
    pub(crate) give_up_at: Instant,
    /// When the first part of the answer is of use at the latest.
    pub(crate) first_by: Instant,
    pub(crate) ask: AskHead,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Arc<str>,
    pub(crate) spec: Arc<ServiceSpec>,
    pub(crate) setup_version: u64,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    /// Headers without those of the connection.
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

    /// Time until the final answer.
    pub(crate) fn left_ms(&self, clock: BootClock) -> u64 {
        self.give_up_at.ms_since(clock.now())
    }
}
