//! What an entry's machine is told and what it asks of its driver.

use access::Credential;
use base::prelude::*;
use base::{PlatformAnswer, PlatformCall};
use schema::link::{Run, frame};
use schema::timeline;

use crate::Peer;

/// Something that happened to an entry.
#[derive(Debug)]
// An event is handed over once and never stored, so its size costs nothing.
#[allow(clippy::large_enum_variant)]
pub enum EntryEvent {
    /// The time given by `due` has come.
    Tick,
    /// A caller sent a request.
    RequestReceived(Box<IncomingRequest>),
    /// The caller of a request is gone.
    CallerDisconnected {
        /// Request.
        request: RequestId,
    },
    /// A connection was made and the far end said hello.
    LinkUp {
        /// Far end.
        peer: Peer,
        /// Incarnation it said hello with.
        incarnation: Incarnation,
    },
    /// A connection ended or could not be made.
    LinkDown {
        /// Far end.
        peer: Peer,
    },
    /// A frame came, other than a part of an answer.
    Frame {
        /// Far end.
        peer: Peer,
        /// Revision that the sender has in force.
        revision: Revision,
        /// Content.
        body: frame::Body,
    },
    /// A part of an answer came; the driver holds its payload until the call
    /// returns.
    AnswerPart {
        /// Agent that sent it.
        agent: AgentId,
        /// Attempt.
        attempt: AttemptId,
        /// Units before the part.
        offset: u64,
        /// Units in the part.
        units: u32,
    },
    /// The platform answered a call.
    PlatformAnswered(PlatformAnswer),
    /// The operator or the platform asks the process to stop.
    Drain,
}

/// A request as it comes from a caller.
#[derive(Debug, Clone)]
pub struct IncomingRequest {
    /// Name the driver gave the request, by `EntryRole::next_request_id`.
    pub request: RequestId,
    /// Who the caller says it is.
    pub credential: Credential,
    /// Profile named, if any.
    pub profile: Option<ProfileId>,
    /// Deadline named, from now, if any.
    pub deadline_ms: Option<u64>,
    /// What is asked for.
    pub resource: RequestedResource,
    /// Idempotency key, if any.
    pub idempotency_key: Option<String>,
    /// HTTP method.
    pub method: String,
    /// Path of the API called, or the service's own path.
    pub path: String,
    /// Content type of the body.
    pub content_type: String,
    /// Hash of method, path and body.
    pub body_hash: u64,
    /// Hash of the prompt's start, by which cached prefixes are found.
    pub prefix_hash: u64,
    /// Estimated tokens in the prompt.
    pub prompt_tokens: u32,
    /// Most tokens in the answer.
    pub tokens_max: u32,
}

/// What a request asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestedResource {
    /// Tokens of a model or adapter; `None` takes the profile's default.
    Model(Option<ModelId>),
    /// A call of a plain service.
    Service(ServiceId),
}

/// Something an entry's machine asks of its driver.
#[derive(Debug)]
pub enum EntryAction {
    /// Send a frame.
    SendFrame {
        /// Far end.
        peer: Peer,
        /// Content.
        body: frame::Body,
    },
    /// Send a request to an agent; the driver adds the request's body.
    SendRun {
        /// Request.
        request: RequestId,
        /// Agent.
        agent: AgentId,
        /// The message without the body.
        run: Box<Run>,
    },
    /// Give the part of an answer that the driver holds to the caller, less
    /// its first units.
    DeliverPart {
        /// Request.
        request: RequestId,
        /// Units at the start of the part that the caller already has.
        skip_units: u32,
    },
    /// The answer is whole.
    Finish {
        /// Request.
        request: RequestId,
        /// HTTP status.
        status: u16,
        /// Content type of a plain service's answer.
        content_type: String,
        /// Units in the whole answer.
        total_units: u64,
    },
    /// There is no whole answer; the driver sends an error, or ends a stream
    /// that has begun with an error event.
    Refuse {
        /// Request.
        request: RequestId,
        /// What to say.
        refusal: Refusal,
    },
    /// Keep a connection to a process.
    Connect {
        /// Far end.
        peer: Peer,
        /// `ip:port` of its link listener.
        address: String,
    },
    /// End the connection to a process.
    Disconnect {
        /// Far end.
        peer: Peer,
    },
    /// Call the platform.
    CallPlatform(PlatformCall),
    /// Whether the process takes work.
    SetReady(bool),
    /// Record an event of the time line; clock and process are the driver's.
    RecordEvent(timeline::Event),
    /// The process has drained and may end.
    Exit,
}
