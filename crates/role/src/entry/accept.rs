//! Checks a received request before it is assigned to a shard.

use base::prelude::*;
use route::CrashVerdict;
use schema::timeline::EventKind;

use super::IncomingRequest;
use super::requests::{AttemptHistory, Request, State};
use super::resolve::resolve;
use super::shared::Ctx;
use super::timeline::TimelineEvent;

/// Retry delay sent to the caller by an entry that is draining or not ready. Short,
/// since another entry can take the request.
const RETRY_ELSEWHERE_MS: u64 = 500;

/// Retry delay sent to a caller that exceeds its limit of concurrent requests.
const CALLER_LIMIT_RETRY_MS: u64 = 1_000;

/// Authenticates the caller, resolves the model or service and checks the caller's
/// limit.
///
/// # Errors
///
/// The error to send to the caller; the request was not run.
pub(super) fn accept(
    ctx: &mut Ctx<'_>,
    incoming: Box<IncomingRequest>,
) -> Result<Request, RequestError> {
    let refuse = RequestError::not_run;
    let name = match &incoming.resource {
        super::RequestedResource::Model(model) => {
            model.as_ref().map_or("", ModelId::as_str)
        }
        super::RequestedResource::Service(service) => service.as_str(),
    };
    TimelineEvent::new(EventKind::RequestArrived, "")
        .request(incoming.request)
        .model(name)
        .record(ctx.out);
    if ctx.control.leaving {
        return Err(refuse(ErrorCode::Leaving).retry_after_ms(RETRY_ELSEWHERE_MS));
    }
    let Some(config) = ctx.control.config().cloned() else {
        return Err(refuse(ErrorCode::NotReady).retry_after_ms(RETRY_ELSEWHERE_MS));
    };
    let caller = config.caller(&incoming.credential);
    let caller = caller.ok_or_else(|| refuse(ErrorCode::UnknownCaller))?;
    let resolved = resolve(&config, &incoming).map_err(refuse)?;
    let verdict = {
        let mut suspects = ctx.shared.suspects.lock();
        suspects.verdict(ctx.now, resolved.fingerprint)
    };
    if let CrashVerdict::Convicted { remaining_ms } = verdict {
        return Err(
            refuse(ErrorCode::RequestCrashedUpstreams).retry_after_ms(remaining_ms)
        );
    }
    let max = match caller.concurrent_max {
        0 => u32::MAX,
        max => max,
    };
    if !ctx.shared.callers.lock().try_start_request(&caller.id, max) {
        return Err(
            refuse(ErrorCode::CallerLimit).retry_after_ms(CALLER_LIMIT_RETRY_MS)
        );
    }
    let retry_percent = config.limits().retry_percent;
    ctx.shared.workload.lock().record_arrival(
        ctx.now,
        &resolved.resource,
        resolved.value,
        retry_percent,
    );
    Ok(Request {
        caller: caller.id.clone(),
        arrived_at: ctx.now,
        deadline: ctx.now.plus_ms(resolved.deadline_ms),
        delivered: 0,
        version: None,
        history: AttemptHistory::default(),
        excluded_agents: Vec::new(),
        attempts_sent: 0,
        admission_refusals: 0,
        failures: 0,
        last_failure_code: None,
        first_unit_at: None,
        not_before: ctx.now,
        state: State::New,
        resolved,
        incoming,
    })
}
