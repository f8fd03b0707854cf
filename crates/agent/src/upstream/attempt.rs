//! One attempt at the upstream, from its connection to its end.

use base::AttemptId;
use hyper::StatusCode;
use role::agent::{AgentEvent, UpstreamEvent};
use schema::link::Run;
use std::sync::Arc;

use super::answer_reader::Answer;
use super::connection::{Answering, Connection, NoAnswer};
use super::outcome::Ending;
use super::{engine_answer, request, service_answer};
use crate::attempts::Running;
use crate::driver::Node;

/// Header by which an upstream says that a refused request was not run.
const NOT_RUN_HEADER: &str = "x-not-run";

/// Runs an attempt. When it is stopped or the process ends, the connection is
/// closed, which is the upstream's sign to cancel, and nothing more is told.
pub(crate) async fn run(node: Arc<Node>, running: Running, run: Box<Run>) {
    let exit = node.exit().clone();
    let ending = tokio::select! {
        biased;
        () = exit.cancelled() => return,
        () = running.stopped() => return,
        ending = exchange(&node, running.attempt(), run) => ending,
    };
    if matches!(ending, Ending::Failed { broken: true, .. }) {
        node.upstream().ask_now();
    }
    let event = ending.event(running.attempt());
    // Out of the table first: once the machine has heard of the end, nothing
    // of the attempt is left here.
    drop(running);
    node.tell(AgentEvent::Upstream(event));
}

async fn exchange(node: &Arc<Node>, attempt: AttemptId, mut run: Box<Run>) -> Ending {
    let address = node.upstream().address;
    let Some(request) = request::request(address, attempt, &mut run) else {
        return Ending::not_run(StatusCode::BAD_REQUEST.as_u16());
    };
    let started = || {
        let event = UpstreamEvent::Started { attempt };
        node.tell(AgentEvent::Upstream(event));
    };
    let sent = match Connection::open(address).await {
        Ok(connection) => connection.send(request, started).await,
        Err(fault) => Err(fault),
    };
    match sent {
        Ok(answering) => read(node, attempt, &run, answering).await,
        Err(NoAnswer { ran, broken }) => Ending::Failed {
            ran,
            status: 0,
            broken,
        },
    }
}

async fn read(
    node: &Arc<Node>,
    attempt: AttemptId,
    run: &Run,
    answering: Answering,
) -> Ending {
    let status = answering.response.status();
    let headers = answering.response.headers();
    let refused = headers
        .get(NOT_RUN_HEADER)
        .is_some_and(|value| value == "1");
    if refused && status == StatusCode::SERVICE_UNAVAILABLE {
        return Ending::not_run(status.as_u16());
    }
    let answer = Answer::new(node, attempt, run, answering);
    if run.service.is_empty() {
        engine_answer::read(answer, run.resume_offset).await
    } else {
        service_answer::read(answer).await
    }
}
