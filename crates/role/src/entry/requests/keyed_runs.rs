//! Logs the requests whose claims a restore of the platform could lose, at this entry and
//! at another one.

use base::prelude::*;
use schema::link::{KeyedRun, KeyedRuns, frame};

use super::super::EntryAction;
use super::super::shared::Ctx;
use super::state::{Attempt, Request};
use crate::Peer;

/// Logs that the attempt in flight was passed to its upstream.
pub(super) fn log_started(ctx: &mut Ctx<'_>, request: &Request) {
    if let Some(attempt) = request.attempt() {
        log(ctx, request, attempt, RunStatus::Unknown);
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
        log(ctx, request, attempt, ran);
    }
}

/// Logs what is known of an attempt, unless its request needs no claim.
fn log(ctx: &mut Ctx<'_>, request: &Request, attempt: &Attempt, ran: RunStatus) {
    let key = request.incoming.idempotency_key.as_deref();
    let Some(key) = key.filter(|_| !request.resolved.idempotent) else {
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
    };
    // This entry and the agent may be lost together.
    if let Some(entry) = ctx.control.backup_entry(ctx.now) {
        let runs = KeyedRuns {
            runs: vec![run.clone()],
            ..KeyedRuns::default()
        };
        ctx.out.push(EntryAction::SendFrame {
            peer: Peer::Entry(entry.clone()),
            body: frame::Body::KeyedRuns(runs),
        });
    }
    ctx.shared.keyed_runs.lock().record(ctx.now, run);
}
