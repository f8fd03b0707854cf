//! Tokens that other entries hand here, ask for, or send as an answer.

use base::prelude::*;
use prost::Message;
use quota::{Feed, TakeOutcome};
use schema::peer::{
    PeerNews, TokenAnswer, TokenAsk, TokenFeed, TokenLevel, TokenVerdict, Tokens,
};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::UdpSocket;

use super::{Scope, message};
use crate::state::Node;
use crate::state::peers::start_name;
use crate::state::quota::Quotas;

/// Another entry hands tokens here, asks for some, or answers.
pub(crate) async fn hear(
    node: &Node,
    socket: &UdpSocket,
    from: SocketAddr,
    news: &PeerNews,
    (scope, tokens): (Scope, &Tokens),
) {
    let now = node.now();
    let quotas = node.quotas(scope);
    let sender: Arc<str> = news.entry.as_str().into();
    let mut reply = Tokens::default();
    if tokens.feed > 0 && quotas.is_new_feed(&sender, news.start, tokens.feed) {
        reply.fed = tokens.feed;
        reply.levels = receive(quotas, now, &sender, &tokens.feeds);
    }
    if tokens.fed > 0 {
        quotas.heard(&news.entry);
        let mut pools = quotas.pools.lock();
        let keeper = start_name(&news.entry, news.start);
        for level in &tokens.levels {
            pools.set_keeper_level(&keeper, &level.workspace, level.tokens);
        }
    }
    if let Some(ask) = &tokens.ask {
        reply.answer = Some(answer(quotas, now, &sender, news.start, ask));
    }
    if let Some(answer) = &tokens.answer {
        quotas.heard(&news.entry);
        quotas.answered(answer.id, taken(answer));
    }
    if reply != Tokens::default() {
        let message = message(node, scope, reply).encode_to_vec();
        // A lost one is asked for again.
        let _ = socket.send_to(&message, from).await;
    }
}

fn receive(
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

fn answer(
    quotas: &Quotas,
    now: Instant,
    sender: &Arc<str>,
    start: u64,
    ask: &TokenAsk,
) -> TokenAnswer {
    let question = (Arc::clone(sender), start, ask.id);
    let mut asked = quotas.asked.lock();
    let take = asked.get_or_decide(now, question, || {
        let mut pools = quotas.pools.lock();
        pools.take(now, &ask.workspace, ask.cost)
    });
    let (verdict, return_ms) = match take {
        TakeOutcome::Taken => (TokenVerdict::Taken, 0),
        TakeOutcome::Insufficient {
            retry_after_ms: return_ms,
        } => (TokenVerdict::Short, return_ms),
        TakeOutcome::ExceedsLimit => (TokenVerdict::Never, 0),
        TakeOutcome::Unlimited => (TokenVerdict::Unbounded, 0),
    };
    TokenAnswer {
        id: ask.id,
        verdict: verdict.into(),
        return_ms,
    }
}

fn taken(answer: &TokenAnswer) -> TakeOutcome {
    match answer.verdict() {
        TokenVerdict::Taken => TakeOutcome::Taken,
        TokenVerdict::Short => TakeOutcome::Insufficient {
            retry_after_ms: answer.return_ms,
        },
        TokenVerdict::Never => TakeOutcome::ExceedsLimit,
        TokenVerdict::Unbounded => TakeOutcome::Unlimited,
    }
}
