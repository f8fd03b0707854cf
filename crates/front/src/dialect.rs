//! The border to the names that a platform uses on the wire.

use access::Credential;
use bytes::Bytes;
use direct::{Order, OrderAnswer, Setup, UpstreamRecord, UpstreamReport};
use hyper::header::HeaderMap;
use hyper::{Method, StatusCode};
use snafu::Snafu;
use std::fmt::Debug;
use std::sync::Arc;

/// What a caller's headers say.
#[derive(Debug, Clone, Default)]
pub struct AskHead {
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
    pub answer_tokens_max: u64,
    /// Tokens of the answer that the caller expects.
    pub answer_tokens_hint: Option<u64>,
    /// Prompt parts in order: name and tokens.
    pub parts: Vec<(u64, u64)>,
    /// Last event that the caller has of the stream.
    pub last_event: Option<String>,
}

/// What the system sets on a request to an upstream.
#[derive(Debug, Clone)]
pub struct SendHead<'a> {
    /// Upstream that is meant; another one at the address refuses.
    pub upstream: &'a str,
    /// Time that is left.
    pub deadline_ms: u64,
    /// Urgency, from 0 to 9; 0 is the most urgent.
    pub urgency: u32,
    /// Last event that was given on, where a stream is continued.
    pub last_event: Option<&'a str>,
    /// Workspace of the caller, where callers have one.
    pub workspace: Option<&'a str>,
}

/// What an answer says of the rate of requests that its upstream takes.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum AskedRate {
    /// It asks for no bound.
    #[default]
    Unbounded,
    /// Requests a second from all entries together.
    PerS(f64),
    /// It asks for what can't be read.
    Unreadable,
}

/// What an upstream's answer says by its status and headers.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AnswerHead {
    /// Id of the request that it answers.
    pub id: Option<String>,
    /// Whether the upstream did not run the request and never will.
    pub not_run: bool,
    /// Whether another upstream has the address.
    pub other_upstream: bool,
    /// Whether it bears the upstream's signature.
    pub signed: bool,
    /// Time for which the upstream keeps the connection open.
    pub keep_alive_s: Option<u64>,
    /// Rate of requests that it takes.
    pub rate: AskedRate,
    /// Whether it leaves.
    pub leaving: bool,
    /// Time for which it asks for no request of this entry, after it turned one away.
    pub retry_after_ms: Option<u64>,
}

/// A call to an upstream that is not a caller's.
#[derive(Debug, Clone)]
pub struct OrderCall {
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
pub struct DialectError {
    /// What was read.
    pub what: String,
    /// Why it can't be.
    pub reason: String,
}

/// The names that a platform uses on the wire.
pub trait Dialect: Debug + Send + Sync {
    /// Reads the configuration.
    ///
    /// # Errors
    ///
    /// It is not one.
    fn setup(&self, value: &[u8]) -> Result<Setup, DialectError>;

    /// Reads the platform's entry of an upstream.
    ///
    /// # Errors
    ///
    /// It is not one.
    fn upstream(&self, key: &str, value: &[u8])
    -> Result<UpstreamRecord, DialectError>;

    /// Reads a caller's headers.
    fn ask(&self, headers: &HeaderMap) -> AskHead;

    /// Takes a caller's key out of its headers, and what it says of its workspace;
    /// no upstream may see the one or be told the other by a caller.
    fn conceal(&self, headers: &mut HeaderMap);

    /// Takes out of a caller's headers what only the system may set, and sets
    /// it.
    fn dress(&self, headers: &mut HeaderMap, send: &SendHead<'_>);

    /// Reads the head of an upstream's answer.
    fn answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerHead;

    /// Writes the id of a request into an answer of the system's own.
    fn name_answer(&self, headers: &mut HeaderMap, id: &str);

    /// The call that gives an order.
    fn order(
        &self,
        upstream: &str,
        order: &Order,
        giver: &str,
        token: u64,
    ) -> OrderCall;

    /// Reads the answer to an order.
    fn order_answer(&self, status: StatusCode) -> OrderAnswer;

    /// The call that asks for a report.
    fn report_call(&self, upstream: &str) -> OrderCall;

    /// Reads a report.
    ///
    /// # Errors
    ///
    /// It is not one.
    fn report(&self, value: &[u8]) -> Result<UpstreamReport, DialectError>;

    /// Path of the balancer's question whether the entry takes callers.
    fn ready_path(&self) -> &'static str;
}
