//! What requests that are running take of their upstreams.

use base::prelude::*;
use direct::{SelectedUpstream, Upstream, UpstreamIncarnation, Usage};
use std::sync::Arc;

use crate::state::Node;
use crate::state::call::Call;
use crate::{ResponseHead, answer_news};

/// A request's use of an upstream. Dropped, it ends.
#[derive(Debug)]
pub(crate) struct InFlight {
    pub(crate) node: Arc<Node>,
    pub(crate) upstream: Arc<str>,
    /// Start of the upstream that it was sent to.
    born_ms: Option<u64>,
    /// When it began, before the request was sent.
    begun_at: Instant,
    usage: Usage,
    begun: bool,
}

impl InFlight {
    pub(crate) fn begin(
        node: &Arc<Node>,
        call: &Call,
        picked: &SelectedUpstream,
        born_ms: Option<u64>,
    ) -> Self {
        let now = node.now();
        let in_flight = Self {
            node: Arc::clone(node),
            upstream: Arc::clone(&picked.id),
            born_ms,
            begun_at: now,
            usage: picked.usage,
            begun: false,
        };
        in_flight.with_upstream(|upstream| {
            upstream.request_sent(now, &picked.usage);
            upstream.remember_prompt_parts(now, &call.parts);
        });
        in_flight
    }

    /// Start of the upstream that it was sent to.
    pub(crate) fn start(&self) -> UpstreamIncarnation<'_> {
        UpstreamIncarnation {
            id: &self.upstream,
            started_unix_ms: self.born_ms,
        }
    }

    /// The upstream's answer began.
    pub(crate) fn answered(&self, head: &ResponseHead) {
        answer_news::learn(&self.node, self.start(), head, self.begun_at);
    }

    /// Books something of the upstream, unless it has started again since.
    fn with_upstream(&self, change: impl FnOnce(&mut Upstream)) {
        if let Some(upstream) = self.node.fleet.lock().incarnation_mut(self.start()) {
            change(upstream);
        }
    }

    /// Whether the upstream has started again, and with its earlier start the
    /// request has ended.
    ///
    /// Its connection need not show that: it may have been lost without a word, or
    /// lead to a process that hangs. Nobody would answer, up to the deadline.
    pub(crate) fn is_over(&self) -> bool {
        self.node.fleet.lock().is_superseded(self.start())
    }

    /// Bytes of an answer came.
    pub(crate) fn heard(&mut self) {
        let now = self.node.now();
        self.with_upstream(|upstream| {
            upstream.bytes_received(now);
            if !self.begun {
                upstream.first_answer_received(&self.usage.prefill);
            }
        });
        self.begun = true;
    }

    /// Whether the upstream has fallen silent towards all requests here.
    ///
    /// Other doubts don't count: a connection that could not be made, or an entry
    /// that the platform lost, says nothing of an answer that is coming. Given up
    /// for it, a caller's answer broke off in the middle though its upstream was
    /// well.
    pub(crate) fn is_silent(&self) -> bool {
        let now = self.node.now();
        let fleet = self.node.fleet.lock();
        let upstream = fleet.get(&self.upstream);
        upstream.is_none_or(|upstream| upstream.is_silent(now))
    }

    /// The upstream says that it does not hold what the request asks for.
    pub(crate) fn deny(&self, call: &Call) {
        let now = self.node.now();
        let Some((model, adapter)) = &call.ask.model else {
            return;
        };
        self.with_upstream(|upstream| {
            upstream.note_not_held(now, model, adapter.as_ref());
        });
    }

    /// The upstream refuses what the request asks for; it has not run.
    pub(crate) fn refused(&self, call: &Call) {
        let now = self.node.now();
        let Some((model, _)) = &call.ask.model else {
            return;
        };
        self.with_upstream(|upstream| upstream.request_refused(now, model));
    }

    /// The upstream takes what the request asks for.
    pub(crate) fn took(&self, call: &Call) {
        if let Some((model, _)) = &call.ask.model {
            self.with_upstream(|upstream| upstream.request_accepted(model));
        }
    }

    pub(crate) fn observe(&self, ok: bool) {
        self.with_upstream(|upstream| upstream.record_answer(ok));
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.with_upstream(|upstream| {
            if !self.begun {
                upstream.first_answer_received(&self.usage.prefill);
            }
            upstream.requests_ended(self.usage.running, self.usage.kv_tokens);
        });
        self.node.room.notify_waiters();
    }
}
