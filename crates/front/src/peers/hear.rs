//! Hearing other entries.

use direct::{
    Activity, DemandEstimate, LeaseRecord, PrefillQueue, ResidentModel,
    UpstreamIncarnation, Usage,
};
use prost::Message;
use schema::peer::{HeldModel, PeerNews, Tokens};
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::UdpSocket;

use crate::quota::{self, Scope};
use crate::relay::{hear_ask, hear_told};
use crate::shared_watch;
use crate::state::Node;
use crate::state::peers::{PeerState, Peers};
use crate::state::wants::Want;
use crate::upstream_rate;

/// Largest datagram taken.
const DATAGRAM_MAX_BYTES: usize = 60 << 10;

/// Hears other entries, for ever.
pub(crate) async fn hear(node: Arc<Node>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; DATAGRAM_MAX_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            // An answer that a peer's port is closed; nothing was lost.
            continue;
        };
        match PeerNews::decode(&buffer[..length]) {
            Ok(news) => match tokens(&news) {
                Some(tokens) if news.entry != node.peers.me => {
                    quota::hear(&node, &socket, from, &news, tokens).await;
                }
                _ => take(&node, from, news),
            },
            Err(fault) => {
                let why = fault.to_string();
                node.log
                    .line("datagram_unread", json!({ "from": from, "why": why }));
            }
        }
    }
}

/// The tokens that a message is about, if it is about any.
fn tokens(news: &PeerNews) -> Option<(Scope, &Tokens)> {
    let of = |scope| move |tokens| (scope, tokens);
    let workspaces = news.tokens.as_ref().map(of(Scope::Workspaces));
    let upstreams = news.upstream_tokens.as_ref();
    workspaces.or(upstreams.map(of(Scope::Upstreams)))
}

fn take(node: &Arc<Node>, from: SocketAddr, news: PeerNews) {
    if news.entry == node.peers.me || !node.peers.note(node, from, &news) {
        return;
    }
    shared_watch::hear(node, &news);
    let now = node.now();
    let uses = news.uses.iter().map(|used| {
        let usage = Usage {
            running: used.running,
            prefill: PrefillQueue::from_priorities(&used.reading_tokens),
            kv_tokens: used.kept_tokens,
        };
        (start(&used.upstream, used.born_ms), usage)
    });
    let mut fleet = node.fleet.lock();
    fleet.set_peer_usage(now, &news.entry, uses);
    let activity = news.uses.iter().map(|used| {
        let activity = Activity {
            answering: used.begun,
            silent_ms: used.silent_ms,
        };
        (start(&used.upstream, used.born_ms), activity)
    });
    fleet.set_peer_activity(now, &news.entry, activity);
    for leaving in &news.leaving {
        let start = start(&leaving.upstream, leaving.born_ms);
        fleet.peer_reported_leaving(start, leaving.version, leaving.vanished);
    }
    for holding in &news.holdings {
        let residents = holding.models.iter().map(resident).collect();
        let coming = holding.coming.iter().map(|coming| {
            let ready_at = now.plus_ms(coming.ready_in_ms);
            (Arc::from(coming.model.as_str()), ready_at)
        });
        let start = start(&holding.upstream, holding.born_ms);
        fleet.set_coordinator_holdings(now, start, residents, coming.collect());
    }
    if news.giver_token > 0 {
        fleet.coordinator_heard(now, news.giver_token);
    }
    drop(fleet);
    upstream_rate::hear(node, &news.entry, &news.rates);
    if news.lease_renewal > 0 {
        let record = LeaseRecord {
            holder: news.entry.clone(),
            start: news.start,
            token: news.giver_token,
            renewal: news.lease_renewal,
            idle_ms: 0,
        };
        node.lease.lock().on_holder_message(now, record);
    }
    if !news.holdings.is_empty() {
        node.holdings.notify_waiters();
    }
    for want in news.wants {
        let want = Want {
            service: want.service.into(),
            model: want.model.into(),
            adapter: want.adapter.into(),
        };
        node.giver.want(now, want);
    }
    if let Some(ask) = &news.lease_ask {
        hear_ask(node, ask);
    }
    if let Some(told) = &news.lease_told {
        hear_told(node, told);
    }
    let mut suspects = node.suspects.lock();
    for suspect in &news.suspects {
        suspects.merge(now, suspect);
    }
}

const fn start(id: &str, born_ms: u64) -> UpstreamIncarnation<'_> {
    let born_ms = if born_ms == 0 { None } else { Some(born_ms) };
    UpstreamIncarnation {
        id,
        started_unix_ms: born_ms,
    }
}

fn resident(held: &HeldModel) -> ResidentModel {
    ResidentModel {
        model: held.model.as_str().into(),
        version: held.version,
        adapters: held
            .adapters
            .iter()
            .map(|name| name.as_str().into())
            .collect(),
    }
}

impl Peers {
    /// Takes over who sent a message; false for one that is older than what is
    /// known.
    fn note(&self, node: &Node, from: SocketAddr, news: &PeerNews) -> bool {
        let now = node.now();
        let mut table = self.table.lock();
        table.addresses.insert(from);
        let known = table.peers.get(&news.entry);
        let newest = known.map(|peer| (peer.start, peer.sequence));
        if newest.is_some_and(|newest| (news.start, news.sequence) <= newest) {
            return false;
        }
        if known.is_none_or(|peer| peer.lost) {
            node.log.line(
                "peer_heard",
                json!({ "peer": news.entry, "from": from, "setup": news.setup_version }),
            );
        }
        let loads = news.demands.iter().map(|demand| {
            let load = DemandEstimate {
                recent_ms_per_s: demand.newest_us_per_s as f64 / 1_000.0,
                sustained_ms_per_s: demand.lasting_us_per_s as f64 / 1_000.0,
                waiting: demand.waiting,
                oldest_wait_ms: demand.oldest_wait_ms,
                request_ms: 0.0,
            };
            (
                demand.service.as_str().into(),
                demand.model.as_str().into(),
                load,
            )
        });
        let state = PeerState {
            address: from,
            start: news.start,
            sequence: news.sequence,
            heard_at: now,
            lost: false,
            giver_token: news.giver_token,
            domain: news.domain.clone(),
            watches: news.watches,
            keeps_tokens: news.keeps_tokens,
            stopping: news.stopping,
            loads: loads.collect(),
        };
        table.peers.insert(news.entry.clone(), state);
        true
    }
}
