//! Why callers' connections end, for metrics and the log.

use serde_json::json;
use std::sync::Arc;

use crate::framing::{RequestFraming, RequestPhase};
use crate::state::Node;

/// Why a caller's connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectionEnd {
    /// The caller closed it, or a response announced the close.
    Closed,
    /// No request began within the idle timeout.
    Idle,
    /// The head of a request was not complete within the timeout.
    HeadTimeout,
    /// It rested, and gave way to a new one.
    Evicted,
    /// The entry is stopping, and no complete request had arrived on it.
    Stopping,
    /// The process exits.
    Exit,
    /// The connection broke, its bytes were not valid, or a response was aborted.
    Error,
    /// The task that served it panicked.
    Panicked,
}

impl ConnectionEnd {
    /// Returns the reason for which the HTTP library ended a connection.
    pub(crate) const fn of(result: &hyper::Result<()>) -> Self {
        match result {
            Ok(()) => Self::Closed,
            Err(_) => Self::Error,
        }
    }

    /// Returns the reason for closing a connection whose time in this phase is up.
    pub(crate) const fn timed_out_in(phase: RequestPhase) -> Self {
        match phase {
            RequestPhase::ReadingHead => Self::HeadTimeout,
            _ => Self::Idle,
        }
    }

    /// Returns the name used in metrics and log lines.
    const fn as_str(self) -> &'static str {
        match self {
            Self::Closed => "closed",
            Self::Idle => "idle",
            Self::HeadTimeout => "head_timeout",
            Self::Evicted => "evicted",
            Self::Stopping => "stopping",
            Self::Exit => "exit",
            Self::Error => "error",
            Self::Panicked => "panicked",
        }
    }
}

/// Counts a connection's end when dropped, and logs one that cut off a request.
#[derive(Debug)]
pub(crate) struct ConnectionGuard {
    node: Arc<Node>,
    framing: RequestFraming,
    /// Why it ended, and the phase of its last request. Dropping a response that is cut
    /// off ends that phase.
    end: Option<(ConnectionEnd, RequestPhase)>,
}

impl ConnectionGuard {
    pub(crate) const fn new(node: Arc<Node>, framing: RequestFraming) -> Self {
        Self {
            node,
            framing,
            end: None,
        }
    }

    /// Records why the connection ends, before anything of it is dropped.
    pub(crate) fn record(&mut self, end: ConnectionEnd) {
        self.end = Some((end, self.framing.phase()));
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let unfinished = (ConnectionEnd::Panicked, self.framing.phase());
        let (end, phase) = self.end.unwrap_or(unfinished);
        let labels = [end.as_str(), phase.as_str()];
        let ended = &self.node.metrics.connections_ended;
        ended.with_label_values(&labels).inc();
        let has_request =
            matches!(phase, RequestPhase::ReadingHead | RequestPhase::Responding);
        let is_expected = end == ConnectionEnd::Closed || !has_request;
        if end == ConnectionEnd::Panicked || !is_expected {
            self.node.log.caller_line(
                "connection_cut",
                json!({ "why": end.as_str(), "phase": phase.as_str(),
                    "stopping": self.node.shutdown.is_stopping() }),
            );
        }
    }
}
