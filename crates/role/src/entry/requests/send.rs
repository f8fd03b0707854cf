//! Sends attempts to agents.

use base::prelude::*;
use route::RouteReason;
use schema::link::{self, Run};
use schema::timeline::EventKind;

use super::super::EntryAction;
use super::super::counters::Counts;
use super::super::shared::Ctx;
use super::super::timeline::TimelineEvent;
use super::Requests;
use super::dispatch::Dispatched;
use super::keyed_runs;
use super::state::{Attempt, Request, State};
use super::timers::Timer;

/// Time within which an agent has to report that an attempt started or was refused.
pub(super) const START_WAIT_MS: u64 = 3_000;

/// Time within which an agent has to report that an exclusive run started or was
/// refused. Such a run waits until nothing else is in flight at the upstream.
pub(super) const EXCLUSIVE_START_WAIT_MS: u64 = 20_000;

/// Destination and parameters of an attempt.
#[derive(Debug)]
pub(super) struct Route {
    pub(super) agent: AgentId,
    pub(super) incarnation: Incarnation,
    pub(super) version: u32,
    pub(super) exclusive: bool,
    pub(super) probe: bool,
    pub(super) reason: u32,
    /// Why this agent was chosen, for the timeline.
    pub(super) detail: String,
}

/// Encodes an attempt id for a frame.
pub(super) const fn encode_attempt_id(id: AttemptId) -> link::Attempt {
    link::Attempt {
        origin: id.origin,
        sequence: id.sequence,
    }
}

impl Requests {
    /// Sends an attempt of a request to the chosen agent.
    pub(super) fn send(
        &mut self,
        ctx: &mut Ctx<'_>,
        sequence: u64,
        route: &Route,
    ) -> Dispatched {
        let id = self.next_attempt_id();
        let Some(request) = self.requests.get_mut(&sequence) else {
            return Dispatched::Ended;
        };
        if let State::Waiting(position) = request.state {
            ctx.shared.wait_queue.lock().remove(position);
            ctx.shared.callers.lock().dequeue(&request.caller);
        }
        let attempt = Attempt {
            id,
            agent: route.agent.clone(),
            incarnation: route.incarnation,
            version: route.version,
            sent_at: ctx.now,
            started: false,
            answered: false,
            last_frame_at: ctx.now,
            revoked_at: None,
            exclusive: route.exclusive,
            probe: route.probe,
        };
        let wait_ms = match route.exclusive {
            true => EXCLUSIVE_START_WAIT_MS,
            false => START_WAIT_MS,
        };
        record_sent(ctx, request, route);
        keyed_runs::report_earlier_run(ctx, request, &route.agent);
        let run = run_frame(ctx, request, &attempt);
        request.state = State::Running(attempt);
        request.attempts_sent += 1;
        self.attempts.insert(id.sequence, sequence);
        let at = ctx.now.plus_ms(wait_ms);
        self.timers.schedule(at, Timer::Silence { attempt: id });
        Counts::increment(&ctx.shared.counts.sent);
        ctx.out.push(EntryAction::SendRun {
            request: request.id(),
            agent: route.agent.clone(),
            run: Box::new(run),
        });
        Dispatched::Sent
    }
}

/// Records in the timeline and the counters that an attempt is sent.
fn record_sent(ctx: &mut Ctx<'_>, request: &Request, route: &Route) {
    let (kind, counter) = match (request.failures, request.delivered) {
        (0, _) => (EventKind::RequestSent, None),
        (_, 0) => (EventKind::RequestRetried, Some(&ctx.shared.counts.retried)),
        _ => (EventKind::RequestResumed, Some(&ctx.shared.counts.resumed)),
    };
    if let Some(counter) = counter {
        Counts::increment(counter);
    }
    if let Some(reason) = RouteReason::from_number(route.reason) {
        ctx.shared
            .outcomes
            .lock()
            .record_decision("route", reason.as_str());
    }
    let exclusive = if route.exclusive {
        ", exclusive run"
    } else {
        ""
    };
    let from = match request.delivered {
        0 => String::new(),
        units => format!(", from offset {units}"),
    };
    let probe = if route.probe { ", probe" } else { "" };
    let detail = format!(
        "to {}: {}{from}{exclusive}{probe}",
        route.agent, route.detail
    );
    TimelineEvent::new(kind, detail)
        .request(request.id())
        .model(request.resolved.resource.as_str())
        .peer(&route.agent)
        .reason(route.reason)
        .record(ctx.out);
}

fn run_frame(ctx: &Ctx<'_>, request: &Request, attempt: &Attempt) -> Run {
    let incoming = &request.incoming;
    let resolved = &request.resolved;
    let service = match resolved.resource.model() {
        Some(_) => String::new(),
        None => resolved.resource.as_str().to_owned(),
    };
    let waited_ms = ctx.now.ms_since(request.arrived_at);
    let first_token_ms = u64::from(resolved.first_token_ms).saturating_sub(waited_ms);
    Run {
        attempt: Some(encode_attempt_id(attempt.id)),
        agent_incarnation: attempt.incarnation.0,
        revision: ctx.control.config_log.revision().0,
        remaining_ms: request.remaining_ms(ctx.now),
        caller: request.caller.to_string(),
        profile: resolved.profile.clone(),
        model: resolved.resource.wire_model().to_owned(),
        version: attempt.version,
        service,
        idempotent: resolved.idempotent,
        idempotency_key: incoming.idempotency_key.clone().unwrap_or_default(),
        body_hash: incoming.body_hash,
        fingerprint: resolved.fingerprint,
        prefix_hash: incoming.prefix_hash,
        priority: resolved.priority,
        resume_offset: request.delivered,
        prompt_tokens: incoming.prompt_tokens,
        tokens_max: incoming.tokens_max,
        method: incoming.method.clone(),
        path: incoming.path.clone(),
        content_type: incoming.content_type.clone(),
        alone: attempt.exclusive,
        // 0 means no target, so an expired one is sent as 1.
        first_token_ms: match resolved.first_token_ms {
            0 => 0,
            _ => u32::try_from(first_token_ms.max(1)).unwrap_or(u32::MAX),
        },
        body: Vec::new(),
    }
}
