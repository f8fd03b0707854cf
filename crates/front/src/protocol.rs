//! The interface to a platform's wire format: header names, object encodings
//! and the HTTP requests that control upstreams.

use access::Credential;
use bytes::Bytes;
use direct::{Config, Order, OrderAnswer, UpstreamRecord, UpstreamReport};
use hyper::header::HeaderMap;
use hyper::{Method, StatusCode};
use snafu::Snafu;
use std::fmt::Debug;
use std::sync::Arc;

/// The headers of a caller's request.
#[derive(Debug, Clone, Default)]
pub struct RequestHead {
    /// Request id. It identifies one attempt of the caller.
    pub id: String,
    /// API key of the caller.
    pub credential: Credential,
    /// Prompt tokens plus the largest number of output tokens; `None` if the
    /// caller doesn't state them.
    pub tokens: Option<u64>,
    /// Time within which the caller wants the complete response, in
    /// milliseconds.
    pub deadline_ms: Option<u64>,
    /// Model, and the adapter if the request names one.
    pub model: Option<(Arc<str>, Option<Arc<str>>)>,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Largest number of output tokens.
    pub output_tokens_max: u64,
    /// Number of output tokens that the caller expects.
    pub output_tokens_hint: Option<u64>,
    /// Parts of the prompt in order, each with a hash of its id and its number of
    /// tokens.
    pub prompt_parts: Vec<(u64, u64)>,
    /// Id of the last stream event that the caller has received.
    pub last_event_id: Option<String>,
    /// Id of the request whose response brought the first event of the stream that
    /// this one resumes.
    pub began_as: Option<String>,
}

/// The headers that this entry sets on a request to an upstream.
#[derive(Debug, Clone)]
pub struct UpstreamRequestHead<'a> {
    /// Id of the intended upstream. Any other upstream at this address refuses
    /// the request.
    pub upstream: &'a str,
    /// Time that is left until the deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Urgency from 0 to 9; 0 is the most urgent.
    pub urgency: u32,
    /// Id of the last event that was forwarded, if a stream is resumed.
    pub last_event_id: Option<&'a str>,
    /// Workspace of the caller; `None` where callers need no key.
    pub workspace: Option<&'a str>,
}

/// The request rate that an upstream's response says it accepts.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum AdvertisedRate {
    /// The upstream sets no limit.
    #[default]
    Unlimited,
    /// Requests per second from all entries together.
    PerSecond(f64),
    /// The header can't be parsed.
    Invalid,
}

/// The status and headers of an upstream's response.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ResponseHead {
    /// Id of the request that this responds to.
    pub id: Option<String>,
    /// Whether the upstream has not run the request and never will.
    pub not_run: bool,
    /// Whether a different upstream now has the address.
    pub wrong_upstream: bool,
    /// Whether the response has the upstream's signature.
    pub signed: bool,
    /// Time for which the upstream keeps an idle connection open, in seconds.
    pub keep_alive_s: Option<u64>,
    /// Request rate that the upstream accepts.
    pub rate: AdvertisedRate,
    /// Whether the upstream is about to leave.
    pub leaving: bool,
    /// Time for which this entry should send the upstream no request, given
    /// when it refuses one.
    pub retry_after_ms: Option<u64>,
}

/// An HTTP request that this entry itself sends to an upstream: an order, or a
/// request for a report.
#[derive(Debug, Clone)]
pub struct ControlRequest {
    /// HTTP method.
    pub method: Method,
    /// Request path.
    pub path: String,
    /// Request headers.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
}

/// An object or a message of the platform that can't be decoded.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub), display("{what}: {reason}"))]
pub struct DecodeError {
    /// Name of the object or message.
    pub what: String,
    /// Why it can't be decoded.
    pub reason: String,
}

/// A platform's wire format.
pub trait PlatformProtocol: Debug + Send + Sync {
    /// Decodes the configuration.
    ///
    /// # Errors
    ///
    /// The value is not a valid configuration.
    fn parse_config(&self, value: &[u8]) -> Result<Config, DecodeError>;

    /// Decodes the platform's record of an upstream.
    ///
    /// # Errors
    ///
    /// The value is not a valid record.
    fn parse_upstream(
        &self,
        key: &str,
        value: &[u8],
    ) -> Result<UpstreamRecord, DecodeError>;

    /// Reads the headers of a caller's request.
    fn parse_request_head(&self, headers: &HeaderMap) -> RequestHead;

    /// Removes the caller's key and any workspace that the caller names itself.
    /// No upstream may see the key, and only this entry tells upstreams the
    /// workspace.
    fn strip_credentials(&self, headers: &mut HeaderMap);

    /// Removes the headers that only this system may set, and sets them to its
    /// own values.
    fn set_upstream_headers(
        &self,
        headers: &mut HeaderMap,
        head: &UpstreamRequestHead<'_>,
    );

    /// Reads the status and headers of an upstream's response.
    fn parse_response_head(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> ResponseHead;

    /// Sets the request id on a response that this entry produces itself.
    fn set_response_id(&self, headers: &mut HeaderMap, id: &str);

    /// Returns the HTTP request that sends an order to an upstream.
    /// `coordinator` is the name of the sending entry, and `token` the fencing
    /// token of its lease.
    fn order_request(
        &self,
        upstream: &str,
        order: &Order,
        coordinator: &str,
        token: u64,
    ) -> ControlRequest;

    /// Interprets the response status of an order.
    fn parse_order_status(&self, status: StatusCode) -> OrderAnswer;

    /// Returns the HTTP request that asks an upstream for a report.
    fn report_request(&self, upstream: &str) -> ControlRequest;

    /// Decodes an upstream's report.
    ///
    /// # Errors
    ///
    /// The value is not a valid report.
    fn parse_report(&self, value: &[u8]) -> Result<UpstreamReport, DecodeError>;

    /// Returns the path of the load balancer's readiness check.
    fn readiness_path(&self) -> &'static str;
}
