//! The border to the names that a platform uses on the wire.

use access::Credential;
use bytes::Bytes;
use direct::{Config, Order, OrderAnswer, UpstreamRecord, UpstreamReport};
use hyper::header::HeaderMap;
use hyper::{Method, StatusCode};
use snafu::Snafu;
use std::fmt::Debug;
use std::sync::Arc;

/// What a caller's headers say.
#[derive(Debug, Clone, Default)]
pub struct RequestHead {
    /// Id of the caller's attempt.
    pub id: String,
    /// Who the caller says it is.
    pub credential: Credential,
    /// Prompt tokens and the most of the answer together; `None` if not said.
    pub tokens: Option<u64>,
    /// Time that the caller will wait.
    pub deadline_ms: Option<u64>,
    /// Model, and the adapter if one is asked for.
    pub model: Option<(Arc<str>, Option<Arc<str>>)>,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Most tokens of the answer.
    pub output_tokens_max: u64,
    /// Tokens of the answer that the caller expects.
    pub output_tokens_hint: Option<u64>,
    /// Prompt parts in order: name and tokens.
    pub prompt_parts: Vec<(u64, u64)>,
    /// Last event that the caller has of the stream.
    pub last_event_id: Option<String>,
}

/// What the system sets on a request to an upstream.
#[derive(Debug, Clone)]
pub struct UpstreamRequestHead<'a> {
    /// Upstream that is meant; another one at the address refuses.
    pub upstream: &'a str,
    /// Time that is left.
    pub deadline_ms: u64,
    /// Urgency, from 0 to 9; 0 is the most urgent.
    pub urgency: u32,
    /// Last event that was given on, where a stream is continued.
    pub last_event_id: Option<&'a str>,
    /// Workspace of the caller, where callers have one.
    pub workspace: Option<&'a str>,
}

/// What an answer says of the rate of requests that its upstream takes.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum AdvertisedRate {
    /// It asks for no bound.
    #[default]
    Unlimited,
    /// Requests a second from all entries together.
    PerSecond(f64),
    /// It asks for what can't be read.
    Invalid,
}

/// What an upstream's answer says by its status and headers.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ResponseHead {
    /// Id of the request that it answers.
    pub id: Option<String>,
    /// Whether the upstream did not run the request and never will.
    pub not_run: bool,
    /// Whether another upstream has the address.
    pub wrong_upstream: bool,
    /// Whether it bears the upstream's signature.
    pub signed: bool,
    /// Time for which the upstream keeps the connection open.
    pub keep_alive_s: Option<u64>,
    /// Rate of requests that it takes.
    pub rate: AdvertisedRate,
    /// Whether it leaves.
    pub leaving: bool,
    /// Time for which it asks for no request of this entry, after it turned one away.
    pub retry_after_ms: Option<u64>,
}

/// A call to an upstream that is not a caller's.
#[derive(Debug, Clone)]
pub struct ControlRequest {
    /// Method.
    pub method: Method,
    /// Path.
    pub path: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Something of the platform that can't be read.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub), display("{what}: {reason}"))]
pub struct DecodeError {
    /// What was read.
    pub what: String,
    /// Why it can't be.
    pub reason: String,
}

/// The names that a platform uses on the wire.
pub trait PlatformProtocol: Debug + Send + Sync {
    /// Reads the configuration.
    ///
    /// # Errors
    ///
    /// It is not one.
    fn parse_config(&self, value: &[u8]) -> Result<Config, DecodeError>;

    /// Reads the platform's entry of an upstream.
    ///
    /// # Errors
    ///
    /// It is not one.
    fn parse_upstream(
        &self,
        key: &str,
        value: &[u8],
    ) -> Result<UpstreamRecord, DecodeError>;

    /// Reads a caller's headers.
    fn parse_request_head(&self, headers: &HeaderMap) -> RequestHead;

    /// Takes a caller's key out of its headers, and what it says of its workspace;
    /// no upstream may see the one or be told the other by a caller.
    fn strip_credentials(&self, headers: &mut HeaderMap);

    /// Takes out of a caller's headers what only the system may set, and sets
    /// it.
    fn set_upstream_headers(
        &self,
        headers: &mut HeaderMap,
        head: &UpstreamRequestHead<'_>,
    );

    /// Reads the head of an upstream's answer.
    fn parse_response_head(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> ResponseHead;

    /// Writes the id of a request into an answer of the system's own.
    fn set_response_id(&self, headers: &mut HeaderMap, id: &str);

    /// The call that gives an order.
    fn order_request(
        &self,
        upstream: &str,
        order: &Order,
        coordinator: &str,
        token: u64,
    ) -> ControlRequest;

    /// Reads the answer to an order.
    fn parse_order_status(&self, status: StatusCode) -> OrderAnswer;

    /// The call that asks for a report.
    fn report_request(&self, upstream: &str) -> ControlRequest;

    /// Reads a report.
    ///
    /// # Errors
    ///
    /// It is not one.
    fn parse_report(&self, value: &[u8]) -> Result<UpstreamReport, DecodeError>;

    /// Path of the balancer's question whether the entry takes callers.
    fn readiness_path(&self) -> &'static str;
}
