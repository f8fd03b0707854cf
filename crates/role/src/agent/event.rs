//! What an agent's machine is told and what it asks of its driver.

use base::prelude::*;
use base::{PlatformAnswer, PlatformCall};
use schema::link::{Run, frame};
use schema::timeline;

/// Something that happened to an agent.
#[derive(Debug)]
#[expect(
    clippy::large_enum_variant,
    reason = "one event exists at a time, on the stack of its driver"
)]
pub enum AgentEvent {
    /// The time given by `due` has come.
    Tick,
    /// An entry connected and said hello.
    LinkUp {
        /// Entry.
        entry: EntryId,
    },
    /// The connection to an entry ended.
    LinkDown {
        /// Entry.
        entry: EntryId,
    },
    /// A frame came from an entry.
    Frame {
        /// Entry.
        entry: EntryId,
        /// Revision that the sender has in force.
        revision: Revision,
        /// Content.
        body: frame::Body,
    },
    /// Something happened at the upstream.
    Upstream(UpstreamEvent),
    /// The platform answered a call.
    PlatformAnswered(PlatformAnswer),
    /// Whether a predecessor's listen address could be bound: if so, the
    /// predecessor is dead, since a frozen process still holds its socket. The
    /// driver answers each `ProbePredecessor` once; the next comes after that.
    PredecessorProbed {
        /// The address could be bound.
        dead: bool,
    },
    /// The operator or the platform asks the process to stop.
    Drain,
}

/// Something that happened at the upstream.
#[derive(Debug)]
pub enum UpstreamEvent {
    /// The upstream's own report, some time old.
    Report(UpstreamReport),
    /// The upstream can't be reached or has died.
    Down,
    /// An attempt was handed over: its first bytes were sent.
    Started {
        /// Attempt.
        attempt: AttemptId,
    },
    /// A part of an answer came; the driver holds its payload until the call
    /// returns.
    AnswerPart {
        /// Attempt.
        attempt: AttemptId,
        /// Units in the part.
        units: u32,
    },
    /// A part of the answer to a non-idempotent call with a key, in place of
    /// `Part`: the answer is kept for a resend. Such a call is known by its
    /// `Start`, whose run is not idempotent and has a key.
    KeyedAnswerPart {
        /// Attempt.
        attempt: AttemptId,
        /// Units in the part.
        units: u32,
        /// Content, which the driver holds as well until the call returns.
        payload: Vec<u8>,
    },
    /// The upstream ended an answer in good order.
    Done {
        /// Attempt.
        attempt: AttemptId,
        /// HTTP status.
        status: u16,
        /// Content type of the answer.
        content_type: String,
    },
    /// The attempt failed at the upstream.
    Failed {
        /// Attempt.
        attempt: AttemptId,
        /// Whether it was run: `NotRun` only if not one byte of it was sent, or
        /// the upstream itself said that it refused it.
        ran: Ran,
        /// HTTP status, if one came.
        status: u16,
        /// The connection broke, as it does when the upstream dies.
        broken: bool,
    },
    /// The upstream answered an order.
    OrderAnswered {
        /// Number of the order.
        order: u64,
        /// What it said.
        answer: OrderAnswer,
    },
}

/// What the upstream said to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// It will carry the order out; its report shows the end.
    Accepted,
    /// It refused the order, which has had no effect and will have none.
    Refused,
    /// It refused the order because its fencing number is old.
    Fenced,
    /// No answer came; the order may still take effect.
    Unanswered,
}

/// The upstream's own report of its state.
#[derive(Debug, Clone, Default)]
pub struct UpstreamReport {
    /// Identifies one run of the upstream; another value means it restarted.
    pub incarnation: u64,
    /// What is on its accelerators, including what is being loaded or unloaded.
    pub residents: Vec<UpstreamResident>,
    /// Orders that are carried out, or were, with their state.
    pub orders: Vec<UpstreamOrder>,
    /// Highest fencing number seen.
    pub highest_fencing_token: u64,
    /// Requests in the batch.
    pub running: u32,
    /// Requests waiting for the batch.
    pub waiting: u32,
    /// Duration of a step.
    pub step_time_us: u32,
    /// Age of the report.
    pub age_ms: u32,
}

/// One model or adapter as the upstream reports it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamResident {
    /// Model or adapter.
    pub model: ModelId,
    /// Version.
    pub version: u32,
    /// Index of the accelerator.
    pub accelerator: u32,
    /// Memory it takes.
    pub size_mib: u32,
    /// It can serve.
    pub loaded: bool,
}

/// One order as the upstream reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamOrder {
    /// Number of the order.
    pub order: u64,
    /// Fencing number it came with.
    pub fencing_token: u64,
    /// How it stands.
    pub state: UpstreamOrderState,
}

/// How an order stands at the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamOrderState {
    /// It is being carried out.
    InProgress,
    /// It took effect.
    Done,
    /// It failed and left nothing behind.
    Failed,
}

/// An order to the upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Number, unique over all epochs of the agent.
    pub id: u64,
    /// Fencing number.
    pub fencing_token: Epoch,
    /// True for a load, false for an unload.
    pub load: bool,
    /// Model or adapter.
    pub model: ModelId,
    /// Version.
    pub version: u32,
    /// Base model, if it is an adapter.
    pub base: Option<ModelId>,
    /// Index of the accelerator.
    pub accelerator: u32,
    /// Memory it takes.
    pub size_mib: u32,
}

/// Something an agent's machine asks of its driver.
#[derive(Debug)]
pub enum AgentAction {
    /// Send a frame to an entry.
    SendFrame {
        /// Entry.
        entry: EntryId,
        /// Content.
        body: frame::Body,
    },
    /// Send the part of an answer that the driver holds.
    ForwardPart {
        /// Entry.
        entry: EntryId,
        /// Attempt.
        attempt: AttemptId,
        /// Units before the part.
        offset: u64,
        /// Units in the part.
        units: u32,
    },
    /// Hand an attempt to the upstream.
    StartAttempt {
        /// Attempt.
        attempt: AttemptId,
        /// The request, with its body.
        run: Box<Run>,
    },
    /// Stop an attempt at the upstream.
    StopAttempt {
        /// Attempt.
        attempt: AttemptId,
    },
    /// Give the upstream an order.
    SendOrder(Order),
    /// Call the platform.
    CallPlatform(PlatformCall),
    /// Try to bind a predecessor's listen address and report whether it could
    /// be.
    ProbePredecessor {
        /// `ip:port`.
        address: String,
    },
    /// Whether the process takes work.
    SetReady(bool),
    /// Record an event of the time line; clock and process are the driver's.
    RecordEvent(timeline::Event),
    /// The process has drained and may end.
    Exit,
}
