//! Orders to an engine.

use hyper::StatusCode;
use plat::http::HttpAnswer;
use role::agent::{AgentEvent, Order, OrderAnswer, UpstreamEvent};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

use crate::node::Node;

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

/// Gives an order and tells the machine what was answered.
pub(crate) async fn order(node: Arc<Node>, order: Order) {
    let exit = node.exit().clone();
    let answer = tokio::select! {
        () = exit.cancelled() => return,
        answer = give(&node, &order) => answer,
    };
    let event = UpstreamEvent::OrderAnswered {
        order: order.id,
        answer,
    };
    node.tell(AgentEvent::Upstream(event));
}

async fn give(node: &Node, order: &Order) -> OrderAnswer {
    let json = OrderJson {
        order: order.id,
        fence: order.fence.0,
        kind: if order.load { "load" } else { "unload" },
        model: order.model.as_str(),
        version: order.version,
        base: order.base.as_ref().map(|base| base.as_str()),
        accelerator: order.accelerator,
        size_mib: order.size_mib,
    };
    let body = serde_json::to_vec(&json).expect("numbers and texts always encode");
    let address = node.upstream().address;
    match plat::http::post(address, "/admin/orders", body.into()).await {
        Ok(answer) => meaning(&answer),
        Err(_) => OrderAnswer::Unanswered,
    }
}

/// Only what the protocol names shows that an order has no effect.
fn meaning(answer: &HttpAnswer) -> OrderAnswer {
    match answer.status {
        StatusCode::ACCEPTED => OrderAnswer::Accepted,
        StatusCode::BAD_REQUEST => OrderAnswer::Refused,
        StatusCode::CONFLICT if is_fenced(answer) => OrderAnswer::Fenced,
        _ => OrderAnswer::Unanswered,
    }
}

fn is_fenced(answer: &HttpAnswer) -> bool {
    serde_json::from_slice::<ErrorJson>(&answer.body)
        .is_ok_and(|said| said.error == "fenced")
}
