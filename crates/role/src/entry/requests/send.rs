//! Sending an attempt.

use base::prelude::*;
use route::RouteReason;
use schema::link::{self, Run};
use schema::timeline::EventKind;

use super::super::EntryAction;
use super::super::counters::Counts;
use super::super::shared::Ctx;
use super::super::trace::Note;
use super::Requests;
use super::place::Placed;
use super::state::{Attempt, Request, State};
use super::timers::Timer;

/// Time within which an agent has to say that an attempt started or is refused.
pub(super) const START_WAIT_MS: u64 = 3_000;

/// The same for a suspect, which waits until nothing else is in flight.
pub(super) const START_ALONE_WAIT_MS: u64 = 20_000;

/// Where an attempt goes.
#[derive(Debug)]
pub(super) struct Route {
    pub(super) agent: AgentId,
    pub(super) incarnation: Incarnation,
    pub(super) version: u32,
    pub(super) alone: bool,
    pub(super) probe: bool,
    pub(super) reason: u32,
    /// Why there, for the time line.
    pub(super) detail: String,
}

/// An attempt as links carry it.
pub(super) const fn wire_id(id: AttemptId) -> link::Attempt {
    link::Attempt {
        origin: id.origin,
        sequence: id.sequence,
    }
}

impl Requests {
    pub(super) fn send(
        &mut self,
        ctx: &mut Ctx<'_>,
        sequence: u64,
        route: &Route,
    ) -> Placed {
        let id = self.attempt_id();
        let Some(request) = self.live.get_mut(&sequence) else {
            return Placed::Ended;
        };
        if let State::Waiting(place) = request.state {
            ctx.shared.waiting.lock().remove(place);
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
            heard_at: ctx.now,
            revoked_at: None,
            alone: route.alone,
            probe: route.probe,
        };
        let wait_ms = match route.alone {
            true => START_ALONE_WAIT_MS,
            false => START_WAIT_MS,
        };
        trace_sent(ctx, request, route);
        let run = run(ctx, request, &attempt);
        request.state = State::Running(attempt);
        request.sent += 1;
        self.attempts.insert(id.sequence, sequence);
        let at = ctx.now.plus_ms(wait_ms);
        self.timers.set(at, Timer::Answer { attempt: id });
        Counts::add(&ctx.shared.counts.sent);
        ctx.out.push(EntryAction::SendRun {
            request: request.id(),
            agent: route.agent.clone(),
            run: Box::new(run),
        });
        Placed::Sent
    }
}

fn trace_sent(ctx: &mut Ctx<'_>, request: &Request, route: &Route) {
    let (kind, counter) = match (request.failed, request.delivered) {
        (0, _) => (EventKind::RequestSent, None),
        (_, 0) => (EventKind::RequestRetried, Some(&ctx.shared.counts.retried)),
        _ => (EventKind::RequestResumed, Some(&ctx.shared.counts.resumed)),
    };
    if let Some(counter) = counter {
        Counts::add(counter);
    }
    if let Some(reason) = RouteReason::from_number(route.reason) {
        ctx.shared.tally.lock().decided("route", reason.as_str());
    }
    let alone = if route.alone { ", alone" } else { "" };
    let from = match request.delivered {
        0 => String::new(),
        units => format!(", from offset {units}"),
    };
    let probe = if route.probe { ", a probe" } else { "" };
    let detail = format!("to {}: {}{from}{alone}{probe}", route.agent, route.detail);
    Note::new(kind, detail)
        .request(request.id())
        .model(request.resolved.wanted.as_str())
        .peer(&route.agent)
        .reason(route.reason)
        .put(ctx.out);
}

fn run(ctx: &Ctx<'_>, request: &Request, attempt: &Attempt) -> Run {
    let arrival = &request.arrival;
    let resolved = &request.resolved;
    let service = match resolved.wanted.model() {
        Some(_) => String::new(),
        None => resolved.wanted.as_str().to_owned(),
    };
    let waited_ms = ctx.now.ms_since(request.arrived_at);
    let first_token_ms = u64::from(resolved.first_token_ms).saturating_sub(waited_ms);
    Run {
        attempt: Some(wire_id(attempt.id)),
        agent_incarnation: attempt.incarnation.0,
        revision: ctx.control.log.revision().0,
        remaining_ms: request.remaining_ms(ctx.now),
        caller: request.caller.to_string(),
        profile: resolved.profile.clone(),
        model: resolved.wanted.model_text().to_owned(),
        version: attempt.version,
        service,
        idempotent: resolved.idempotent,
        idempotency_key: arrival.idempotency_key.clone().unwrap_or_default(),
        body_hash: arrival.body_hash,
        fingerprint: resolved.fingerprint,
        prefix_hash: arrival.prefix_hash,
        priority: resolved.priority,
        resume_offset: request.delivered,
        prompt_tokens: arrival.prompt_tokens,
        tokens_max: arrival.tokens_max,
        method: arrival.method.clone(),
        path: arrival.path.clone(),
        content_type: arrival.content_type.clone(),
        alone: attempt.alone,
        // 0 means no expectation, so one that has passed is still told.
        first_token_ms: match resolved.first_token_ms {
            0 => 0,
            _ => u32::try_from(first_token_ms.max(1)).unwrap_or(u32::MAX),
        },
        body: Vec::new(),
    }
}
