//! Events that the driver feeds into the agent's state machine, and actions
//! that it carries out.

use base::prelude::*;
use base::{PlatformCall, PlatformResponse};
use schema::link::{Run, frame};
use schema::timeline;

/// An input of the agent's state machine.
#[derive(Debug)]
#[expect(
    clippy::large_enum_variant,
    reason = "one event exists at a time, on the stack of its driver"
)]
pub enum AgentEvent {
    /// The time returned by `due` has come.
    Tick,
    /// An entry connected and sent its `Hello`.
    LinkUp {
        /// The entry.
        entry: EntryId,
    },
    /// The connection to an entry ended.
    LinkDown {
        /// The entry.
        entry: EntryId,
    },
    /// A frame arrived from an entry.
    Frame {
        /// The sender.
        entry: EntryId,
        /// Configuration revision that the sender has in force.
        revision: Revision,
        /// Content of the frame.
        body: frame::Body,
    },
    /// An event at the upstream.
    Upstream(UpstreamEvent),
    /// The platform answered a call, or the call failed.
    PlatformAnswered(PlatformResponse),
    /// Latest generation that the platform named, which rises each time it was restored
    /// from an older copy. Sent before each answer, under the same lock, so that no
    /// answer is handled as one of an earlier generation.
    PlatformGeneration(u64),
    /// Result of a `ProbePredecessor` action. If the predecessor's listen
    /// address can be bound, the predecessor is dead: a frozen process still
    /// holds its socket. The driver answers each probe once, and the next probe
    /// is issued only after that.
    PredecessorProbed {
        /// The address could be bound.
        dead: bool,
    },
    /// The operator or the platform asks the process to stop.
    Drain,
}

/// An event at the upstream.
#[derive(Debug)]
pub enum UpstreamEvent {
    /// The upstream's own report; its age is in `age_ms`.
    Report(UpstreamReport),
    /// The upstream is unreachable or has died.
    Down,
    /// The first bytes of an attempt were sent to the upstream.
    Started {
        /// The attempt.
        attempt: AttemptId,
    },
    /// A part of an answer arrived; the driver holds its payload until `handle`
    /// returns.
    AnswerPart {
        /// The attempt.
        attempt: AttemptId,
        /// Units in the part: tokens for an engine, bytes for a plain service.
        units: u32,
    },
    /// A part of the answer to a non-idempotent request with an idempotency
    /// key, reported instead of `AnswerPart`; the answer is stored for later
    /// requests with the same key. The driver recognizes such a request by its
    /// `StartAttempt`, whose `run` is not idempotent and has a key.
    KeyedAnswerPart {
        /// The attempt.
        attempt: AttemptId,
        /// Units in the part: tokens for an engine, bytes for a plain service.
        units: u32,
        /// Payload, of which the driver keeps its own copy until `handle`
        /// returns.
        payload: Vec<u8>,
    },
    /// The upstream completed an answer.
    Done {
        /// The attempt.
        attempt: AttemptId,
        /// HTTP status.
        status: u16,
        /// Content type of the answer.
        content_type: String,
    },
    /// The attempt failed at the upstream.
    Failed {
        /// The attempt.
        attempt: AttemptId,
        /// Whether the attempt ran: `NotRun` only if none of its bytes were
        /// sent or the upstream itself stated that it refused it.
        ran: RunStatus,
        /// HTTP status; 0 if none was received.
        status: u16,
        /// The connection broke, as it does when the upstream dies.
        broken: bool,
    },
    /// The upstream answered an order, or no answer came.
    OrderAnswered {
        /// Number of the order.
        order: u64,
        /// The answer.
        answer: OrderAnswer,
    },
}

/// The upstream's answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The order will be carried out; the upstream's report shows its end.
    Accepted,
    /// The order was refused; it has had no effect and will have none.
    Refused,
    /// The order was refused because its fencing epoch is too old.
    Fenced,
    /// No answer came; the order may still take effect.
    Unanswered,
}

/// The upstream's own report of its state.
#[derive(Debug, Clone, Default)]
pub struct UpstreamReport {
    /// Identifies one run of the upstream; a different value means that it
    /// restarted.
    pub incarnation: u64,
    /// Models and adapters on its accelerators, including those being loaded or
    /// unloaded.
    pub residents: Vec<UpstreamResident>,
    /// Orders in progress and finished, with their state.
    pub orders: Vec<UpstreamOrder>,
    /// Highest fencing epoch that the upstream has seen.
    pub highest_fencing_epoch: u64,
    /// Requests in the current batch.
    pub running: u32,
    /// Requests waiting to join the batch.
    pub waiting: u32,
    /// Duration of one decoding step, in microseconds.
    pub step_time_us: u32,
    /// Age of the report when it was received, in milliseconds.
    pub age_ms: u32,
}

/// One model or adapter in the upstream's report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamResident {
    /// Model or adapter.
    pub model: ModelId,
    /// Version of the model.
    pub version: u32,
    /// Index of the accelerator.
    pub accelerator: u32,
    /// Accelerator memory that it occupies, in MiB.
    pub size_mib: u32,
    /// Loading has finished and requests can be served.
    pub loaded: bool,
}

/// One order in the upstream's report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamOrder {
    /// Number of the order.
    pub order: u64,
    /// Fencing epoch that the order carried.
    pub fencing_epoch: u64,
    /// Progress of the order.
    pub state: UpstreamOrderState,
}

/// Progress of an order at the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamOrderState {
    /// The order is being carried out.
    InProgress,
    /// The order took effect.
    Done,
    /// The order failed and left nothing behind.
    Failed,
}

/// An order to the upstream to load or unload a model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Number, unique over all epochs of the agent.
    pub id: u64,
    /// Fencing epoch: the epoch of the agent that sends the order. An upstream
    /// that checks fencing refuses epochs lower than the highest it has seen.
    pub fencing_epoch: FencingEpoch,
    /// True for a load, false for an unload.
    pub load: bool,
    /// Model or adapter.
    pub model: ModelId,
    /// Version of the model.
    pub version: u32,
    /// Base model, if the order is for an adapter.
    pub base: Option<ModelId>,
    /// Index of the accelerator.
    pub accelerator: u32,
    /// Accelerator memory that it occupies, in MiB.
    pub size_mib: u32,
}

/// An action that the state machine asks of its driver.
#[derive(Debug)]
pub enum AgentAction {
    /// Send a frame to an entry.
    SendFrame {
        /// The recipient.
        entry: EntryId,
        /// Content of the frame.
        body: frame::Body,
    },
    /// Send an entry the answer part whose payload the driver holds.
    ForwardPart {
        /// The recipient.
        entry: EntryId,
        /// The attempt.
        attempt: AttemptId,
        /// Units of the answer before the part.
        offset: u64,
        /// Units in the part: tokens for an engine, bytes for a plain service.
        units: u32,
    },
    /// Hand an attempt to the upstream.
    StartAttempt {
        /// The attempt.
        attempt: AttemptId,
        /// The request, with its body.
        run: Box<Run>,
    },
    /// Stop an attempt at the upstream.
    StopAttempt {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Send an order to the upstream.
    SendOrder(Order),
    /// Call the platform.
    CallPlatform(PlatformCall),
    /// Try to bind a predecessor's listen address and report the result as
    /// `PredecessorProbed`.
    ProbePredecessor {
        /// `ip:port` to bind.
        address: String,
    },
    /// Set whether the process accepts work.
    SetReady(bool),
    /// Record a timeline event; the driver adds the time and the process.
    RecordEvent(timeline::Event),
    /// The process has drained and may exit.
    Exit,
}
