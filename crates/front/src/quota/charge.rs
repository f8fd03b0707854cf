//! Takes what a request costs its workspace.

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

/// What became of a request's wish for tokens.
pub(crate) struct Taken {
    /// Whether it has them; `None` if no keeper answered.
    pub(crate) take: Option<TakeOutcome>,
    /// Entry that was asked, if one was.
    pub(crate) asked: Option<String>,
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
    let scope = Scope::Workspaces;
    let Taken { take, asked } = take(node, scope, name, cost).await;
    let refusal = match take {
        Some(TakeOutcome::Unlimited) => return Ok(None),
        Some(TakeOutcome::Taken) => {
            let charge = Charge::new(Arc::clone(node), scope, Arc::clone(name), cost);
            return Ok(Some(charge));
        }
        Some(TakeOutcome::Insufficient {
            retry_after_ms: return_ms,
        }) => {
            if asked.is_some() {
                node.quota.note_short(node.now(), name, return_ms);
            }
            Refusal::not_run(Code::QuotaSpent).retry_after_ms(return_ms)
        }
        Some(TakeOutcome::ExceedsLimit) => Refusal::not_run(Code::QuotaSpent),
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

/// Takes tokens from what is here, or from their keeper.
pub(crate) async fn take(
    node: &Node,
    scope: Scope,
    pool: &Arc<str>,
    cost: f64,
) -> Taken {
    let now = node.now();
    let quotas = node.quotas(scope);
    let own = quotas.pools.lock().take_local(now, pool, cost);
    if matches!(own, TakeOutcome::Taken | TakeOutcome::Unlimited) {
        return Taken {
            take: Some(own),
            asked: None,
        };
    }
    if let Some(short_ms) = quotas.short_ms(now, pool) {
        let return_ms = short_ms + node.random() % RETURN_SPREAD_MS;
        return Taken {
            take: Some(TakeOutcome::Insufficient {
                retry_after_ms: return_ms,
            }),
            asked: None,
        };
    }
    take_from_keeper(node, scope, pool, cost).await
}

/// Takes tokens from whoever keeps them, which may change while it is asked.
async fn take_from_keeper(
    node: &Node,
    scope: Scope,
    pool: &Arc<str>,
    cost: f64,
) -> Taken {
    let quotas = node.quotas(scope);
    let mut question: Option<Question> = None;
    for wait_ms in ASK_WAITS_MS {
        let now = node.now();
        let (name, address) = match keeper_of(node, scope, pool) {
            Keeper::Other(name, address) => (name, address),
            Keeper::This => {
                return Taken {
                    take: Some(quotas.pools.lock().take(now, pool, cost)),
                    asked: Some(node.options.entry.clone()),
                };
            }
        };
        // The same question to the same keeper: it gives the answer that it gave.
        let mut asking = question
            .take()
            .filter(|question| question.keeper == name)
            .unwrap_or_else(|| Question::open(node, scope, name, pool, cost));
        asking.send(node, scope, address).await;
        let wait = Duration::from_millis(wait_ms);
        if let Ok(Ok(take)) = timeout(wait, &mut asking.answer).await {
            return Taken {
                take: Some(take),
                asked: Some(asking.keeper),
            };
        }
        question = Some(asking);
    }
    Taken {
        take: None,
        asked: question.map(|question| question.keeper),
    }
}

/// A question to a keeper. Its answer may come when nobody waits any more; what that
/// brings is put back.
struct Question {
    keeper: String,
    ask: TokenAsk,
    answer: Receiver<TakeOutcome>,
}

impl Question {
    fn open(
        node: &Node,
        scope: Scope,
        keeper: String,
        pool: &Arc<str>,
        cost: f64,
    ) -> Self {
        let (id, answer) = node.quotas(scope).open(node.now(), pool, cost);
        let ask = TokenAsk {
            id,
            workspace: pool.to_string(),
            cost,
        };
        Self {
            keeper,
            ask,
            answer,
        }
    }

    async fn send(&self, node: &Node, scope: Scope, address: SocketAddr) {
        node.quotas(scope).sent(node.now(), &self.keeper);
        let tokens = Tokens {
            ask: Some(self.ask.clone()),
            ..Tokens::default()
        };
        send(node, scope, address, tokens).await;
    }
}
