//! Logs the requests whose claims a restore of the platform could lose, at this entry and
//! at another one.

use base::prelude::*;
use schema::link::{KeyedRun, KeyedRuns, frame};

use super::super::EntryAction;
use super::super::shared::Ctx;
use super::state::{Attempt, Request};
use crate::Peer;

/// Progress of a logged attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Running,
    Ended,
}

/// Reports an earlier run with the same key to an agent, before it gets a request. If the
/// platform doesn't show that run's claim, it has lost it.
pub(super) fn report_earlier_run(
    ctx: &mut Ctx<'_>,
    request: &Request,
    agent: &AgentId,
) {
    let Some(key) = claimed_key(request) else {
        return;
    };
    let mut log = ctx.shared.keyed_runs.lock();
    let earlier = log.claimed(ctx.now, request.caller.as_str(), key);
    drop(log);
    if let Some(run) = earlier {
        send_run(ctx, Peer::Agent(agent.clone()), run);
    }
}

/// Logs that the attempt in flight was passed to its upstream.
pub(super) fn log_started(ctx: &mut Ctx<'_>, request: &Request) {
    if let Some(attempt) = request.attempt() {
        log(ctx, request, attempt, RunStatus::Unknown, Phase::Running);
    }
}

/// Logs how an attempt ended. One that its agent ended without having started it has no
/// claim of its own.
pub(super) fn log_ended(
    ctx: &mut Ctx<'_>,
    request: &Request,
    attempt: &Attempt,
    reported: Option<RunStatus>,
    ran: RunStatus,
) {
    let is_lost = reported.is_none() || attempt.revoked_at.is_some();
    if attempt.started || (is_lost && ran != RunStatus::NotRun) {
        log(ctx, request, attempt, ran, Phase::Ended);
    }
}

/// Logs what is known of an attempt, unless its request needs no claim.
fn log(
    ctx: &mut Ctx<'_>,
    request: &Request,
    attempt: &Attempt,
    ran: RunStatus,
    phase: Phase,
) {
    let Some(key) = claimed_key(request) else {
        return;
    };
    let service = request.resolved.resource.as_str();
    let config = ctx.control.config();
    let Some(spec) = config.and_then(|config| config.service(service)) else {
        return;
    };
    let run = KeyedRun {
        caller: request.caller.to_string(),
        key: key.to_owned(),
        body_hash: request.incoming.body_hash,
        agent: attempt.agent.to_string(),
        ran: ran.number(),
        pool: spec.pool.to_string(),
        // A running one may still turn out not to run, and its key be released.
        claimed: attempt.started && phase == Phase::Ended,
    };
    // This entry and the agent may be lost together.
    if let Some(entry) = ctx.control.backup_entry(ctx.now) {
        let peer = Peer::Entry(entry.clone());
        send_run(ctx, peer, run.clone());
    }
    ctx.shared.keyed_runs.lock().record(ctx.now, run);
}

fn send_run(ctx: &mut Ctx<'_>, peer: Peer, run: KeyedRun) {
    let body = frame::Body::KeyedRuns(KeyedRuns {
        runs: vec![run],
        ..KeyedRuns::default()
    });
    ctx.out.push(EntryAction::SendFrame { peer, body });
}

/// The key that the request's agent claims, if it has to.
fn claimed_key(request: &Request) -> Option<&str> {
    let key = request.incoming.idempotency_key.as_deref();
    key.filter(|_| !request.resolved.idempotent)
}
