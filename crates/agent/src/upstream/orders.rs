//! Sending orders to an engine.

use base::Instant;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Request, StatusCode};
use role::agent::{AgentEvent, Order, OrderAnswer, UpstreamEvent};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

use super::connection::Connection;
use crate::driver::AgentDriver;

/// Maximum wait for the response to an order.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum size of the body of a response to an order.
const RESPONSE_MAX_BYTES: usize = 64 << 10;

/// Body of the request that carries an order.
#[derive(Debug, Serialize)]
struct OrderJson<'a> {
    order: u64,
    /// Fencing epoch of the agent.
    fence: u64,
    kind: &'static str,
    model: &'a str,
    version: u32,
    base: Option<&'a str>,
    accelerator: u32,
    size_mib: u32,
}

/// Body of an error response.
#[derive(Debug, Deserialize)]
struct ErrorJson {
    error: String,
}

/// Sends an order and reports the answer to the state machine.
///
/// `decided_at` is the time at which the state machine decided on the order.
pub(crate) async fn execute_order(
    driver: Arc<AgentDriver>,
    order: Order,
    decided_at: Instant,
) {
    let exit = driver.exit().clone();
    let answer = tokio::select! {
        () = exit.cancelled() => return,
        answer = send_order(&driver, &order, decided_at) => answer.unwrap_or(OrderAnswer::Unanswered),
    };
    let event = UpstreamEvent::OrderAnswered {
        order: order.id,
        answer,
    };
    driver.handle_event(AgentEvent::Upstream(event));
}

/// Sends an order and returns the engine's answer; `None` if the order was not sent or
/// there is no valid response.
async fn send_order(
    driver: &AgentDriver,
    order: &Order,
    decided_at: Instant,
) -> Option<OrderAnswer> {
    let json = OrderJson {
        order: order.id,
        fence: order.fencing_epoch.0,
        kind: if order.load { "load" } else { "unload" },
        model: order.model.as_str(),
        version: order.version,
        base: order.base.as_ref().map(|base| base.as_str()),
        accelerator: order.accelerator,
        size_mib: order.size_mib,
    };
    let body = serde_json::to_vec(&json).expect("numbers and texts always encode");
    let address = driver.upstream().address;
    let request = Request::builder()
        .method(Method::POST)
        .uri("/admin/orders")
        .header(HOST, address.to_string())
        .header(CONTENT_TYPE, "application/json")
        .body(Full::from(body))
        .ok()?;
    let connection = Connection::open(address).await.ok()?;
    // This check is the last step before the write.
    if is_expired(driver, decided_at) {
        return None;
    }
    let answer = async {
        let response = connection.send(request, || {}).await.ok()?;
        let (head, body) = response.inner.into_parts();
        let body = Limited::new(body, RESPONSE_MAX_BYTES).collect().await;
        Some(interpret_response(head.status, &body.ok()?.to_bytes()))
    };
    timeout(RESPONSE_TIMEOUT, answer).await.ok()?
}

/// Returns whether an order is too old to be sent.
///
/// The process may freeze between the decision and the write for longer than an order
/// can take to reach the upstream. Meanwhile the agent may have been replaced, and the
/// memory for the order may have been reassigned. As long as the order is still
/// valid, the state machine sends it again under the same number.
fn is_expired(driver: &AgentDriver, decided_at: Instant) -> bool {
    let age_ms = driver.clock().now().ms_since(decided_at);
    driver
        .order_delay_max_ms()
        .is_none_or(|max_ms| age_ms > max_ms)
}

/// Interprets the response to an order. Only the responses defined by the protocol show
/// that the order has no effect.
fn interpret_response(status: StatusCode, body: &[u8]) -> OrderAnswer {
    match status {
        StatusCode::ACCEPTED => OrderAnswer::Accepted,
        StatusCode::BAD_REQUEST => OrderAnswer::Refused,
        StatusCode::CONFLICT if states_fenced(body) => OrderAnswer::Fenced,
        _ => OrderAnswer::Unanswered,
    }
}

fn states_fenced(body: &[u8]) -> bool {
    serde_json::from_slice::<ErrorJson>(body).is_ok_and(|body| body.error == "fenced")
}
