//! Orders to an engine.

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
use crate::driver::Node;

/// Longest wait for the answer to an order.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Largest answer to an order that is read.
const ANSWER_MAX_BYTES: usize = 64 << 10;

/// An order as the engine reads it.
#[derive(Debug, Serialize)]
struct OrderJson<'a> {
    order: u64,
    fence: u64,
    kind: &'static str,
    model: &'a str,
    version: u32,
    base: Option<&'a str>,
    accelerator: u32,
    size_mib: u32,
}

/// What an engine says besides the status.
#[derive(Debug, Deserialize)]
struct ErrorJson {
    error: String,
}

/// Gives an order that the machine decided on at a time, and tells the machine
/// what was answered.
pub(crate) async fn order(node: Arc<Node>, order: Order, decided: Instant) {
    let exit = node.exit().clone();
    let answer = tokio::select! {
        () = exit.cancelled() => return,
        answer = give(&node, &order, decided) => answer.unwrap_or(OrderAnswer::Unanswered),
    };
    let event = UpstreamEvent::OrderAnswered {
        order: order.id,
        answer,
    };
    node.tell(AgentEvent::Upstream(event));
}

/// The engine's answer; `None` if there is none that can be read.
async fn give(node: &Node, order: &Order, decided: Instant) -> Option<OrderAnswer> {
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
    let address = node.upstream().address;
    let request = Request::builder()
        .method(Method::POST)
        .uri("/admin/orders")
        .header(HOST, address.to_string())
        .header(CONTENT_TYPE, "application/json")
        .body(Full::from(body))
        .ok()?;
    let connection = Connection::open(address).await.ok()?;
    // As late as can be: nothing but the write itself follows.
    if is_late(node, decided) {
        return None;
    }
    let answer = async {
        let answering = connection.send(request, || {}).await.ok()?;
        let (head, body) = answering.response.into_parts();
        let body = Limited::new(body, ANSWER_MAX_BYTES).collect().await;
        Some(meaning(head.status, &body.ok()?.to_bytes()))
    };
    timeout(ANSWER_TIMEOUT, answer).await.ok()?
}

/// Whether an order may no longer be sent.
///
/// The process can stand still between the machine's decision and the socket,
/// for longer than an order is ever under way. By then the agent may have been
/// replaced, and the memory that the order needs given away. The machine gives
/// an order anew under the same number as long as it still holds.
fn is_late(node: &Node, decided: Instant) -> bool {
    let age_ms = node.clock().now().ms_since(decided);
    node.order_delay_max_ms()
        .is_none_or(|max_ms| age_ms > max_ms)
}

/// Only what the protocol names shows that an order has no effect.
fn meaning(status: StatusCode, body: &[u8]) -> OrderAnswer {
    match status {
        StatusCode::ACCEPTED => OrderAnswer::Accepted,
        StatusCode::BAD_REQUEST => OrderAnswer::Refused,
        StatusCode::CONFLICT if is_fenced(body) => OrderAnswer::Fenced,
        _ => OrderAnswer::Unanswered,
    }
}

fn is_fenced(body: &[u8]) -> bool {
    serde_json::from_slice::<ErrorJson>(body).is_ok_and(|said| said.error == "fenced")
}
