//! Events that the driver feeds into the entry's state machine, and the actions it
//! requests in return.

use access::Credential;
use base::prelude::*;
use base::{PlatformCall, PlatformResponse};
use schema::link::{Run, frame};
use schema::timeline;

use crate::Peer;

/// An input of the entry's state machine.
#[derive(Debug)]
// An event is passed on once and never stored, so its size does not matter.
#[allow(clippy::large_enum_variant)]
pub enum EntryEvent {
    /// The time returned by `EntryRole::due` has passed.
    Tick,
    /// A caller sent a request.
    RequestReceived(Box<IncomingRequest>),
    /// The caller closed its connection before the answer was complete.
    CallerDisconnected {
        /// The request.
        request: RequestId,
    },
    /// A link is established: the peer's `Hello` was received.
    LinkUp {
        /// Peer at the other end of the link.
        peer: Peer,
        /// Incarnation in its `Hello`.
        incarnation: Incarnation,
    },
    /// A link ended or could not be established.
    LinkDown {
        /// Peer at the other end of the link.
        peer: Peer,
    },
    /// A frame was received that is not a part of an answer.
    Frame {
        /// Peer at the other end of the link.
        peer: Peer,
        /// Configuration revision in force at the sender.
        revision: Revision,
        /// Body of the frame.
        body: frame::Body,
    },
    /// A part of an answer was received. The driver keeps its payload until the
    /// call of `handle` returns.
    AnswerPart {
        /// Sender.
        agent: AgentId,
        /// Attempt that the part belongs to.
        attempt: AttemptId,
        /// Units of the answer before this part: tokens of a model, bytes of a
        /// plain service.
        offset: u64,
        /// Units in the part.
        units: u32,
    },
    /// The platform answered a call, or the call failed.
    PlatformAnswered(PlatformResponse),
    /// The process is to shut down: it accepts no new requests and exits once
    /// those in progress have ended.
    Drain,
}

/// A request as received from a caller.
#[derive(Debug, Clone)]
pub struct IncomingRequest {
    /// Id from `EntryRole::next_request_id`.
    pub request: RequestId,
    /// Credential by which the caller is identified.
    pub credential: Credential,
    /// Profile named in the request, if any.
    pub profile: Option<ProfileId>,
    /// Deadline named in the request, from its arrival, if any.
    pub deadline_ms: Option<u64>,
    /// Model or service that the request is for.
    pub resource: RequestedResource,
    /// Idempotency key, if any.
    pub idempotency_key: Option<String>,
    /// HTTP method.
    pub method: String,
    /// Path of the API endpoint, or the path within a plain service.
    pub path: String,
    /// Content type of the body.
    pub content_type: String,
    /// Hash of method, path and body.
    pub body_hash: u64,
    /// Hash of the beginning of the prompt, for routing to an upstream that has
    /// this prefix cached.
    pub prefix_hash: u64,
    /// Estimated number of prompt tokens.
    pub prompt_tokens: u32,
    /// Limit of tokens in the answer.
    pub tokens_max: u32,
}

/// The model or service named by a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestedResource {
    /// A model or adapter; `None` selects the profile's default.
    Model(Option<ModelId>),
    /// A plain service.
    Service(ServiceId),
}

/// An output of the entry's state machine, to be carried out by the driver.
#[derive(Debug)]
pub enum EntryAction {
    /// Send a frame on the link to a peer.
    SendFrame {
        /// Peer at the other end of the link.
        peer: Peer,
        /// Body of the frame.
        body: frame::Body,
    },
    /// Send a request to an agent; the driver adds the request's body.
    SendRun {
        /// The request.
        request: RequestId,
        /// Destination.
        agent: AgentId,
        /// The message without the request's body.
        run: Box<Run>,
    },
    /// Send the caller the answer part that the driver keeps, without its first
    /// `skip_units` units.
    DeliverPart {
        /// The request.
        request: RequestId,
        /// Units at the start of the part that were delivered before.
        skip_units: u32,
    },
    /// End the answer: all of it has been delivered.
    Finish {
        /// The request.
        request: RequestId,
        /// HTTP status.
        status: u16,
        /// Content type of a plain service's answer.
        content_type: String,
        /// Units in the complete answer.
        total_units: u64,
    },
    /// End the request with an error: as an error response, or as an error event
    /// if the answer's stream has begun.
    Fail {
        /// The request.
        request: RequestId,
        /// Error code, whether the request ran, and when to retry.
        error: RequestError,
    },
    /// Establish a link to a process and keep it up.
    Connect {
        /// Peer at the other end of the link.
        peer: Peer,
        /// `ip:port` of its link listener.
        address: String,
    },
    /// Close the link to a process.
    Disconnect {
        /// Peer at the other end of the link.
        peer: Peer,
    },
    /// Call the platform.
    CallPlatform(PlatformCall),
    /// Set whether the process reports itself ready for requests.
    SetReady(bool),
    /// Record an event in the timeline; the driver adds the time and the process.
    RecordEvent(timeline::Event),
    /// End the process: it is drained.
    Exit,
}
