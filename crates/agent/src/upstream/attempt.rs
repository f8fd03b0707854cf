//! Running one attempt at the upstream.

use base::AttemptId;
use hyper::StatusCode;
use role::agent::{AgentEvent, UpstreamEvent};
use schema::link::Run;
use std::sync::Arc;

use super::answer_reader::AnswerReader;
use super::connection::{Connection, ConnectionError, UpstreamResponse};
use super::outcome::AttemptOutcome;
use super::{engine_answer, request, service_answer};
use crate::attempts::AttemptGuard;
use crate::driver::AgentDriver;

/// Header with which an upstream states that it refused a request without running it.
const NOT_RUN_HEADER: &str = "x-not-run";

/// Runs an attempt and reports its outcome to the state machine.
///
/// When the attempt is stopped or the process exits, the connection is closed, which
/// tells the upstream to cancel the request, and no outcome is reported.
pub(crate) async fn run_attempt(
    driver: Arc<AgentDriver>,
    guard: AttemptGuard,
    run: Box<Run>,
) {
    let exit = driver.exit().clone();
    let outcome = tokio::select! {
        biased;
        () = exit.cancelled() => return,
        () = guard.stopped() => return,
        outcome = send_request(&driver, guard.attempt(), run) => outcome,
    };
    if matches!(outcome, AttemptOutcome::Failed { broken: true, .. }) {
        driver.upstream().poll_now();
    }
    let event = outcome.into_event(guard.attempt());
    // The attempt is unregistered before the state machine handles its end, so that
    // it is no longer counted as running afterwards.
    drop(guard);
    driver.handle_event(AgentEvent::Upstream(event));
}

async fn send_request(
    driver: &Arc<AgentDriver>,
    attempt: AttemptId,
    mut run: Box<Run>,
) -> AttemptOutcome {
    let address = driver.upstream().address;
    let Some(request) = request::build_request(address, attempt, &mut run) else {
        return AttemptOutcome::not_run(StatusCode::BAD_REQUEST.as_u16());
    };
    let on_started = || {
        let event = UpstreamEvent::Started { attempt };
        driver.handle_event(AgentEvent::Upstream(event));
    };
    let result = match Connection::open(address).await {
        Ok(connection) => connection.send(request, on_started).await,
        Err(error) => Err(error),
    };
    match result {
        Ok(response) => read_response(driver, attempt, &run, response).await,
        Err(ConnectionError { ran, broken }) => AttemptOutcome::Failed {
            ran,
            status: 0,
            broken,
        },
    }
}

async fn read_response(
    driver: &Arc<AgentDriver>,
    attempt: AttemptId,
    run: &Run,
    response: UpstreamResponse,
) -> AttemptOutcome {
    let status = response.inner.status();
    let headers = response.inner.headers();
    let states_not_run = headers
        .get(NOT_RUN_HEADER)
        .is_some_and(|value| value == "1");
    if states_not_run && status == StatusCode::SERVICE_UNAVAILABLE {
        return AttemptOutcome::not_run(status.as_u16());
    }
    let answer = AnswerReader::new(driver, attempt, run, response);
    if run.service.is_empty() {
        engine_answer::forward_all(answer, run.resume_offset).await
    } else {
        service_answer::forward_all(answer).await
    }
}
