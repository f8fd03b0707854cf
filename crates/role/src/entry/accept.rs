//! What is checked of a request before it is in progress.

use base::prelude::*;
use route::CrashVerdict;
use schema::timeline::EventKind;

use super::IncomingRequest;
use super::requests::{Request, State, Trail};
use super::shared::Ctx;
use super::trace::Note;
use super::wanted::resolve;

/// When to come back to a process that is stopping or not ready: another one
/// takes the request in the meantime.
const ELSEWHERE_MS: u64 = 500;

/// When to come back with one request more than the caller may have.
const CALLER_LIMIT_MS: u64 = 1_000;

/// Identifies the caller and resolves what is asked for.
///
/// # Errors
///
/// A refusal; the request was not run.
pub(super) fn accept(
    ctx: &mut Ctx<'_>,
    arrival: Box<IncomingRequest>,
) -> Result<Request, Refusal> {
    let refuse = Refusal::not_run;
    let named = match &arrival.resource {
        super::RequestedResource::Model(model) => {
            model.as_ref().map_or("", ModelId::as_str)
        }
        super::RequestedResource::Service(service) => service.as_str(),
    };
    Note::new(EventKind::RequestArrived, "")
        .request(arrival.request)
        .model(named)
        .put(ctx.out);
    if ctx.control.leaving {
        return Err(refuse(Code::Leaving).retry_after_ms(ELSEWHERE_MS));
    }
    let Some(config) = ctx.control.config().cloned() else {
        return Err(refuse(Code::NotReady).retry_after_ms(ELSEWHERE_MS));
    };
    let caller = config.caller(&arrival.credential);
    let caller = caller.ok_or_else(|| refuse(Code::UnknownCaller))?;
    let resolved = resolve(&config, &arrival).map_err(refuse)?;
    let verdict = {
        let mut suspects = ctx.shared.suspects.lock();
        suspects.verdict(ctx.now, resolved.fingerprint)
    };
    if let CrashVerdict::Convicted { remaining_ms } = verdict {
        return Err(refuse(Code::Convicted).retry_after_ms(remaining_ms));
    }
    let max = match caller.concurrent_max {
        0 => u32::MAX,
        max => max,
    };
    if !ctx.shared.callers.lock().try_start_request(&caller.id, max) {
        return Err(refuse(Code::CallerLimit).retry_after_ms(CALLER_LIMIT_MS));
    }
    let percent = config.limits().retry_percent;
    ctx.shared
        .book
        .lock()
        .arrived(ctx.now, &resolved.wanted, resolved.value, percent);
    Ok(Request {
        caller: caller.id.clone(),
        arrived_at: ctx.now,
        deadline: ctx.now.plus_ms(resolved.deadline_ms),
        delivered: 0,
        version: None,
        trail: Trail::default(),
        excluded: Vec::new(),
        sent: 0,
        refused: 0,
        failed: 0,
        last_code: None,
        first_unit_at: None,
        not_before: ctx.now,
        state: State::New,
        resolved,
        arrival,
    })
}
