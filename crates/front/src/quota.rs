//! Whether a request's workspace has something left, and the tokens that entries hand
//! one another for it.

use access::Workspace;
use base::prelude::*;
use prost::Message;
use quota::{Feed, Take, feed_every_ms, keeper};
use schema::peer::{
    PeerNews, TokenAnswer, TokenAsk, TokenFeed, TokenLevel, TokenVerdict, Tokens,
};
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};

use crate::state::Node;
use crate::state::peers::start_name;
use crate::state::quota::Charge;

/// Time for which each question is waited for; each is sent to whoever keeps the
/// tokens then. Entries answer within a millisecond, and a lost datagram is made good
/// before callers notice.
const ASK_WAITS_MS: [u64; 4] = [20, 40, 60, 80];

/// When a caller should come back of whose workspace nobody knows: another entry keeps
/// its tokens by then.
const UNKNOWN_RETRY_MS: u64 = 300;

/// Time over which callers come back that are refused without asking the keeper, who
/// tells each another moment.
const RETURN_SPREAD_MS: u64 = 500;

/// Time between two looks where no workspace has a bound. A process that has just
/// started makes nothing before the first look that finds one.
const IDLE_EVERY: Duration = Duration::from_millis(50);

/// Who keeps a workspace's tokens.
#[derive(Debug, Clone)]
enum Keeper {
    This,
    Other(String, SocketAddr),
}

/// Takes what a request costs its workspace, before anything waits for it.
///
/// # Errors
///
/// The workspace has used what it may, or nobody could say.
pub(crate) async fn charge(
    node: &Arc<Node>,
    id: &str,
    workspace: &Workspace,
    tokens: Option<u64>,
) -> Result<Option<Charge>, Refusal> {
    let Some(allowance) = &workspace.allowance else {
        return Ok(None);
    };
    let name = &workspace.name;
    let cost = allowance.cost.of(tokens);
    let (take, asked) = take(node, name, cost).await;
    let refusal = match take {
        Some(Take::Unbounded) => return Ok(None),
        Some(Take::Taken) => {
            let charge = Charge::new(Arc::clone(node), Arc::clone(name), cost);
            return Ok(Some(charge));
        }
        Some(Take::Short { return_ms }) => {
            if asked.is_some() {
                node.quota.note_short(node.now(), name, return_ms);
            }
            Refusal::not_run(Code::QuotaSpent).retry_after_ms(return_ms)
        }
        Some(Take::Never) => Refusal::not_run(Code::QuotaSpent),
        None => Refusal::not_run(Code::QuotaUnknown).retry_after_ms(UNKNOWN_RETRY_MS),
    };
    let labels = [&**name, refusal.code.name()];
    node.meters.quota_refused.with_label_values(&labels).inc();
    node.log.line(
        "quota_refused",
        json!({ "id": id, "workspace": &**name, "cost": cost, "asked": asked,
            "why": refusal.code.name(), "return_ms": refusal.retry_after_ms }),
    );
    Err(refusal)
}

/// Takes tokens from what is here or from their keeper, and who that is; `None` if no
/// keeper answered.
async fn take(
    node: &Arc<Node>,
    workspace: &Arc<str>,
    cost: f64,
) -> (Option<Take>, Option<String>) {
    let own = {
        let mut pools = node.quota.pools.lock();
        pools.take_own(node.now(), workspace, cost)
    };
    if matches!(own, Take::Taken | Take::Unbounded) {
        return (Some(own), None);
    }
    if let Some(short_ms) = node.quota.short_ms(node.now(), workspace) {
        let return_ms = short_ms + node.random() % RETURN_SPREAD_MS;
        return (Some(Take::Short { return_ms }), None);
    }
    let mut asked = None;
    let mut question = None;
    for wait_ms in ASK_WAITS_MS {
        let now = node.now();
        match keeper_of(node, workspace) {
            Keeper::This => {
                let take = node.quota.pools.lock().take(now, workspace, cost);
                return (Some(take), Some(node.options.entry.clone()));
            }
            Keeper::Other(name, address) => {
                let is_other =
                    asked.replace(name.clone()).is_none_or(|was| was != name);
                if is_other {
                    question = Some(node.quota.open(now, workspace, cost));
                }
                let Some((id, answer)) = &mut question else {
                    continue;
                };
                let ask = TokenAsk {
                    id: *id,
                    workspace: workspace.to_string(),
                    cost,
                };
                ask_keeper(node, &name, address, ask).await;
                let wait = Duration::from_millis(wait_ms);
                if let Ok(Ok(take)) = timeout(wait, answer).await {
                    return (Some(take), asked);
                }
            }
        }
    }
    (None, asked)
}

async fn ask_keeper(node: &Node, keeper: &str, address: SocketAddr, ask: TokenAsk) {
    node.quota.sent(node.now(), keeper);
    let tokens = Tokens {
        ask: Some(ask),
        ..Tokens::default()
    };
    send(node, address, tokens).await;
}

/// Who keeps a workspace's tokens, by whom this entry hears.
fn keeper_of(node: &Node, workspace: &str) -> Keeper {
    let now = node.now();
    let candidates = node.peers.keepers(now);
    let others = candidates
        .iter()
        .filter(|(name, _)| !node.quota.is_away(now, name))
        .map(|(name, _)| name.as_str());
    let own = keeps(node).then_some(node.options.entry.as_str());
    let kept_by = keeper(workspace, others.chain(own));
    let other = candidates
        .iter()
        .find(|(name, _)| Some(name.as_str()) == kept_by);
    other.map_or(Keeper::This, |(name, address)| {
        Keeper::Other(name.clone(), *address)
    })
}

/// Whether others may hand this entry their tokens.
pub(crate) fn keeps(node: &Node) -> bool {
    !node.stop.is_stopping() && node.setup().is_some()
}

/// Hands tokens to those who keep them, for ever.
pub(crate) async fn feed_keepers(node: Arc<Node>) {
    let mut told = None;
    loop {
        if node.quota.pools.lock().is_empty() {
            sleep(IDLE_EVERY).await;
            continue;
        }
        let entries = node.peers.entries();
        let makes = node.quota.is_settled.load(Ordering::Relaxed);
        if told.replace((entries, makes)) != Some((entries, makes)) {
            node.log
                .line("quota_share", json!({ "entries": entries, "makes": makes }));
        }
        let now = node.now();
        node.quota.pools.lock().set_entries(now, entries, makes);
        feed_once(&node).await;
        sleep(Duration::from_millis(feed_every_ms(entries))).await;
    }
}

async fn feed_once(node: &Node) {
    for (name, (address, workspaces)) in by_keeper(node) {
        let now = node.now();
        let kept = |workspace: &str| workspaces.iter().any(|of| **of == *workspace);
        let is_gone = |keeper: &str| !node.peers.is_running(now, keeper);
        let feeds = node.quota.pools.lock().feed(now, kept, is_gone);
        let feeds = feeds.into_iter().map(|feed| TokenFeed {
            workspace: feed.workspace.to_string(),
            tokens: feed.tokens,
            owed: feed.owed.unwrap_or(0.0),
        });
        let tokens = Tokens {
            feed: node.quota.next_number(),
            feeds: feeds.collect(),
            ..Tokens::default()
        };
        node.quota.sent(now, &name);
        send(node, address, tokens).await;
    }
}

/// Workspaces that other entries keep, by entry.
fn by_keeper(node: &Node) -> BTreeMap<String, (SocketAddr, Vec<Arc<str>>)> {
    let pools = node.quota.pools.lock();
    let workspaces: Vec<Arc<str>> = pools.workspaces().cloned().collect();
    drop(pools);
    let mut keepers: BTreeMap<String, (SocketAddr, Vec<Arc<str>>)> = BTreeMap::new();
    for workspace in workspaces {
        if let Keeper::Other(name, address) = keeper_of(node, &workspace) {
            let kept = keepers.entry(name);
            kept.or_insert((address, Vec::new())).1.push(workspace);
        }
    }
    keepers
}

/// Another entry hands tokens here, asks for some, or answers.
pub(crate) async fn hear(
    node: &Node,
    socket: &UdpSocket,
    from: SocketAddr,
    news: &PeerNews,
    tokens: &Tokens,
) {
    let now = node.now();
    let sender: Arc<str> = news.entry.as_str().into();
    let mut reply = Tokens::default();
    if tokens.feed > 0 && node.quota.is_new_feed(&sender, news.start, tokens.feed) {
        reply.fed = tokens.feed;
        reply.levels = receive(node, now, &sender, &tokens.feeds);
    }
    if tokens.fed > 0 {
        node.quota.heard(&news.entry);
        let mut pools = node.quota.pools.lock();
        let keeper = start_name(&news.entry, news.start);
        for level in &tokens.levels {
            pools.told(&keeper, &level.workspace, level.tokens);
        }
    }
    if let Some(ask) = &tokens.ask {
        reply.answer = Some(answer(node, now, &sender, news.start, ask));
    }
    if let Some(answer) = &tokens.answer {
        node.quota.heard(&news.entry);
        node.quota.answered(answer.id, taken(answer));
    }
    if reply != Tokens::default() {
        let message = message(node, reply).encode_to_vec();
        // A lost one is asked for again.
        let _ = socket.send_to(&message, from).await;
    }
}

fn receive(
    node: &Node,
    now: Instant,
    from: &Arc<str>,
    feeds: &[TokenFeed],
) -> Vec<TokenLevel> {
    let mut pools = node.quota.pools.lock();
    let levels = feeds.iter().filter_map(|fed| {
        let feed = Feed {
            workspace: fed.workspace.as_str().into(),
            tokens: fed.tokens,
            owed: (fed.owed < 0.0).then_some(fed.owed),
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
    node: &Node,
    now: Instant,
    sender: &Arc<str>,
    start: u64,
    ask: &TokenAsk,
) -> TokenAnswer {
    let question = (Arc::clone(sender), start, ask.id);
    let mut asked = node.quota.asked.lock();
    let take = asked.answer(now, question, || {
        let mut pools = node.quota.pools.lock();
        pools.take(now, &ask.workspace, ask.cost)
    });
    let (verdict, return_ms) = match take {
        Take::Taken => (TokenVerdict::Taken, 0),
        Take::Short { return_ms } => (TokenVerdict::Short, return_ms),
        Take::Never => (TokenVerdict::Never, 0),
        Take::Unbounded => (TokenVerdict::Unbounded, 0),
    };
    TokenAnswer {
        id: ask.id,
        verdict: verdict.into(),
        return_ms,
    }
}

fn taken(answer: &TokenAnswer) -> Take {
    match answer.verdict() {
        TokenVerdict::Taken => Take::Taken,
        TokenVerdict::Short => Take::Short {
            return_ms: answer.return_ms,
        },
        TokenVerdict::Never => Take::Never,
        TokenVerdict::Unbounded => Take::Unbounded,
    }
}

async fn send(node: &Node, address: SocketAddr, tokens: Tokens) {
    let message = message(node, tokens).encode_to_vec();
    if let Some(socket) = node.peers.socket.get() {
        // A lost one is sent again, or taken for spent.
        let _ = socket.send_to(&message, address).await;
    }
}

fn message(node: &Node, tokens: Tokens) -> PeerNews {
    PeerNews {
        entry: node.options.entry.clone(),
        start: node.start,
        tokens: Some(tokens),
        ..PeerNews::default()
    }
}
