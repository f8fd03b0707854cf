//! Takes the tokens that a request costs from its workspace's quota.

use access::Workspace;
use base::prelude::*;
use quota::TakeOutcome;
use schema::peer::{TokenAsk, Tokens};
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot::Receiver;
use tokio::time::timeout;

use super::{Keeper, Scope, keeper_of, send};
use crate::state::Node;
use crate::state::quota::Charge;

/// Timeout of each request to the keeper. Each is sent to whichever entry keeps
/// the tokens at that time. Entries respond within a millisecond, and a lost
/// datagram is made up for before callers notice.
const REQUEST_TIMEOUTS_MS: [u64; 4] = [20, 40, 60, 80];

/// When a caller should come back if no keeper responded. Another entry keeps
/// the workspace's tokens by then.
const UNKNOWN_RETRY_MS: u64 = 300;

/// Interval over which the retry times are spread of requests that are refused
/// without asking the keeper. The keeper itself gives each request a different
/// time.
const RETRY_JITTER_MS: u64 = 500;

/// Result of taking tokens.
pub(crate) struct TakeResult {
    /// The decision; `None` if no keeper responded.
    pub(crate) outcome: Option<TakeOutcome>,
    /// The entry that was asked, if any.
    pub(crate) asked_keeper: Option<String>,
}

/// Takes the tokens that a request costs its workspace, before the request
/// waits for anything.
///
/// # Errors
///
/// The workspace's quota is used up, or no keeper could tell.
pub(crate) async fn charge(
    node: &Arc<Node>,
    id: &str,
    workspace: &Workspace,
    tokens: Option<u64>,
) -> Result<Option<Charge>, RequestError> {
    let Some(allowance) = &workspace.allowance else {
        return Ok(None);
    };
    let name = &workspace.name;
    let cost = allowance.cost.of(tokens);
    let scope = Scope::Workspaces;
    let TakeResult {
        outcome,
        asked_keeper,
    } = take(node, scope, name, cost).await;
    let refusal = match outcome {
        Some(TakeOutcome::Unlimited) => return Ok(None),
        Some(TakeOutcome::Taken) => {
            let charge = Charge::new(Arc::clone(node), scope, Arc::clone(name), cost);
            return Ok(Some(charge));
        }
        Some(TakeOutcome::Insufficient { retry_after_ms }) => {
            if asked_keeper.is_some() {
                node.workspace_quotas
                    .cache_shortage(node.now(), name, retry_after_ms);
            }
            RequestError::not_run(ErrorCode::QuotaSpent).retry_after_ms(retry_after_ms)
        }
        Some(TakeOutcome::ExceedsLimit) => RequestError::not_run(ErrorCode::QuotaSpent),
        None => RequestError::not_run(ErrorCode::QuotaUnknown)
            .retry_after_ms(UNKNOWN_RETRY_MS),
    };
    let labels = [&**name, refusal.code.name()];
    node.metrics.quota_refused.with_label_values(&labels).inc();
    node.log.line(
        "quota_refused",
        json!({ "id": id, "workspace": &**name, "cost": cost, "asked": asked_keeper,
            "why": refusal.code.name(), "return_ms": refusal.retry_after_ms }),
    );
    Err(refusal)
}

/// Takes tokens from those that this entry itself has or, if they don't
/// suffice, from their keeper.
pub(crate) async fn take(
    node: &Node,
    scope: Scope,
    pool: &Arc<str>,
    cost: f64,
) -> TakeResult {
    let now = node.now();
    let quotas = node.quotas(scope);
    let own = quotas.pools.lock().take_local(now, pool, cost);
    if matches!(own, TakeOutcome::Taken | TakeOutcome::Unlimited) {
        return TakeResult {
            outcome: Some(own),
            asked_keeper: None,
        };
    }
    if let Some(cached_shortage_ms) = quotas.cached_shortage_ms(now, pool) {
        let retry_after_ms = cached_shortage_ms + node.random() % RETRY_JITTER_MS;
        return TakeResult {
            outcome: Some(TakeOutcome::Insufficient { retry_after_ms }),
            asked_keeper: None,
        };
    }
    take_from_keeper(node, scope, pool, cost).await
}

/// Takes tokens from their keeper, which may change in the meantime.
async fn take_from_keeper(
    node: &Node,
    scope: Scope,
    pool: &Arc<str>,
    cost: f64,
) -> TakeResult {
    let quotas = node.quotas(scope);
    let mut request: Option<KeeperRequest> = None;
    for wait_ms in REQUEST_TIMEOUTS_MS {
        let now = node.now();
        let (name, address) = match keeper_of(node, scope, pool) {
            Keeper::Other(name, address) => (name, address),
            Keeper::This => {
                return TakeResult {
                    outcome: Some(quotas.pools.lock().take(now, pool, cost)),
                    asked_keeper: Some(node.options.entry.clone()),
                };
            }
        };
        // A repeated request to the same keeper has the same id and gets the
        // same response.
        let mut pending = request
            .take()
            .filter(|request| request.keeper == name)
            .unwrap_or_else(|| KeeperRequest::open(node, scope, name, pool, cost));
        pending.send(node, scope, address).await;
        let wait = Duration::from_millis(wait_ms);
        if let Ok(Ok(outcome)) = timeout(wait, &mut pending.response).await {
            return TakeResult {
                outcome: Some(outcome),
                asked_keeper: Some(pending.keeper),
            };
        }
        request = Some(pending);
    }
    TakeResult {
        outcome: None,
        asked_keeper: request.map(|request| request.keeper),
    }
}

/// A request for tokens to a keeper. Tokens of a response that arrives when
/// nobody waits for it anymore are returned to the pool.
struct KeeperRequest {
    keeper: String,
    message: TokenAsk,
    response: Receiver<TakeOutcome>,
}

impl KeeperRequest {
    fn open(
        node: &Node,
        scope: Scope,
        keeper: String,
        pool: &Arc<str>,
        cost: f64,
    ) -> Self {
        let (id, response) = node.quotas(scope).open_request(node.now(), pool, cost);
        let message = TokenAsk {
            id,
            workspace: pool.to_string(),
            cost,
        };
        Self {
            keeper,
            message,
            response,
        }
    }

    async fn send(&self, node: &Node, scope: Scope, address: SocketAddr) {
        node.quotas(scope).note_sent(node.now(), &self.keeper);
        let tokens = Tokens {
            ask: Some(self.message.clone()),
            ..Tokens::default()
        };
        send(node, scope, address, tokens).await;
    }
}
