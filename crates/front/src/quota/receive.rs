//! Handles messages in which other entries send tokens, request tokens, or
//! respond to a request.

use base::prelude::*;
use prost::Message;
use quota::{Feed, TakeOutcome};
use schema::peer::{
    PeerNews, TokenAnswer, TokenAsk, TokenFeed, TokenLevel, TokenVerdict, Tokens,
};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::UdpSocket;

use super::{Scope, build_message};
use crate::state::Node;
use crate::state::peers::incarnation_name;
use crate::state::quota::Quotas;

/// Handles a message in which another entry sends tokens, requests some, or
/// responds to a request.
pub(crate) async fn receive(
    node: &Node,
    socket: &UdpSocket,
    from: SocketAddr,
    message: &PeerNews,
    (scope, tokens): (Scope, &Tokens),
) {
    let now = node.now();
    let quotas = node.quotas(scope);
    let sender: Arc<str> = message.entry.as_str().into();
    let mut reply = Tokens::default();
    if tokens.feed > 0 && quotas.is_new_feed(&sender, message.start, tokens.feed) {
        reply.fed = tokens.feed;
        reply.levels = accept_feeds(quotas, now, &sender, &tokens.feeds);
    }
    if tokens.fed > 0 {
        quotas.note_response(&message.entry);
        let mut pools = quotas.pools.lock();
        let keeper = incarnation_name(&message.entry, message.start);
        for level in &tokens.levels {
            pools.set_keeper_level(&keeper, &level.workspace, level.tokens);
        }
    }
    if let Some(request) = &tokens.ask {
        reply.answer =
            Some(answer_request(quotas, now, &sender, message.start, request));
    }
    if let Some(answer) = &tokens.answer {
        quotas.note_response(&message.entry);
        quotas.complete(answer.id, decode_verdict(answer));
    }
    if reply != Tokens::default() {
        let reply = build_message(node, scope, reply).encode_to_vec();
        // If the reply is lost, the sender asks again.
        let _ = socket.send_to(&reply, from).await;
    }
}

/// Adds the tokens that another entry sent, and returns the levels of the
/// pools.
fn accept_feeds(
    quotas: &Quotas,
    now: Instant,
    from: &Arc<str>,
    feeds: &[TokenFeed],
) -> Vec<TokenLevel> {
    let mut pools = quotas.pools.lock();
    let levels = feeds.iter().filter_map(|fed| {
        let feed = Feed {
            workspace: fed.workspace.as_str().into(),
            tokens: fed.tokens,
            previous_keeper_level: (fed.owed < 0.0).then_some(fed.owed),
        };
        let tokens = pools.receive(now, from, &feed)?;
        Some(TokenLevel {
            workspace: fed.workspace.clone(),
            tokens,
        })
    });
    levels.collect()
}

/// Takes the tokens that another entry requests. A repeated request gets the
/// same result and is charged once.
fn answer_request(
    quotas: &Quotas,
    now: Instant,
    sender: &Arc<str>,
    started_unix_ms: u64,
    request: &TokenAsk,
) -> TokenAnswer {
    let request_id = (Arc::clone(sender), started_unix_ms, request.id);
    let mut answered = quotas.answered_requests.lock();
    let outcome = answered.get_or_decide(now, request_id, || {
        let mut pools = quotas.pools.lock();
        pools.take(now, &request.workspace, request.cost)
    });
    let (verdict, retry_after_ms) = match outcome {
        TakeOutcome::Taken => (TokenVerdict::Taken, 0),
        TakeOutcome::Insufficient { retry_after_ms } => {
            (TokenVerdict::Short, retry_after_ms)
        }
        TakeOutcome::ExceedsLimit => (TokenVerdict::Never, 0),
        TakeOutcome::Unlimited => (TokenVerdict::Unbounded, 0),
    };
    TokenAnswer {
        id: request.id,
        verdict: verdict.into(),
        return_ms: retry_after_ms,
    }
}

fn decode_verdict(answer: &TokenAnswer) -> TakeOutcome {
    match answer.verdict() {
        TokenVerdict::Taken => TakeOutcome::Taken,
        TokenVerdict::Short => TakeOutcome::Insufficient {
            retry_after_ms: answer.return_ms,
        },
        TokenVerdict::Never => TakeOutcome::ExceedsLimit,
        TokenVerdict::Unbounded => TakeOutcome::Unlimited,
    }
}
