//! Receives messages from other entries.

use base::ObjectVersion;
use direct::{
    Activity, DemandEstimate, DemandPressure, LeaseRecord, PrefillQueue, ResidentModel,
    SoftwareVersion, UpstreamIncarnation, Usage,
};
use prost::Message;
use schema::peer::{HeldModel, PeerNews, RelayStep, Tokens};
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::UdpSocket;
use xxhash_rust::xxh3::xxh3_64;

use super::{introduction, relay};
use crate::lease_relay::{receive_confirmation, receive_request};
use crate::quota::{self, Scope};
use crate::shared_watch;
use crate::start_state;
use crate::state::Node;
use crate::state::peers::{PeerDemand, PeerState, Peers};
use crate::state::wanted_adapters::WantedAdapter;
use crate::stream_origins;
use crate::upstream_changes::log_changes;
use crate::upstream_rate;

/// Largest datagram that is accepted.
const DATAGRAM_MAX_BYTES: usize = 60 << 10;

/// Receives messages from other entries, forever.
pub(crate) async fn receive(node: Arc<Node>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; DATAGRAM_MAX_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            // An ICMP error because a peer's port is closed; no message was
            // lost.
            continue;
        };
        node.metrics
            .count_peer_messages("received", "any", 1, length);
        match PeerNews::decode(&buffer[..length]) {
            Ok(message) if start_state::receive(&node, from, &message).await => {}
            Ok(message) if stream_origins::receive(&node, from, &message) => {}
            Ok(message) if relay::receive_confirmation(&node, &message) => {}
            Ok(message) if shared_watch::receive_part(&node, &message) => {}
            Ok(message) => match token_message(&message) {
                Some(tokens) if message.entry != node.peers.own_name => {
                    quota::receive(&node, &socket, from, &message, tokens).await;
                }
                _ => {
                    let bytes = &buffer[..length];
                    receive_state(&node, &socket, from, message, bytes).await;
                }
            },
            Err(error) => {
                let why = error.to_string();
                node.log
                    .line("datagram_unread", json!({ "from": from, "why": why }));
            }
        }
    }
}

/// Handles the state of another entry, which may be passed on.
async fn receive_state(
    node: &Arc<Node>,
    socket: &UdpSocket,
    from: SocketAddr,
    message: PeerNews,
    bytes: &[u8],
) {
    let Some(sender_address) = relay::sender_address(&message, from) else {
        return;
    };
    let domain = message.domain.clone();
    let (sequence, step) = (message.sequence, message.relay());
    let sender = apply_message(node, sender_address, message);
    if sender != Sender::Outdated && step == RelayStep::Requested {
        relay::pass_on(node, socket, from, (sequence, bytes));
    }
    if sender == Sender::NewProcess {
        introduction::answer(node, &domain, sender_address).await;
    }
}

/// Returns the tokens that a message carries, if any.
fn token_message(message: &PeerNews) -> Option<(Scope, &Tokens)> {
    let with_scope = |scope| move |tokens| (scope, tokens);
    let workspaces = message.tokens.as_ref().map(with_scope(Scope::Workspaces));
    let upstreams = message.upstream_tokens.as_ref();
    workspaces.or(upstreams.map(with_scope(Scope::Upstreams)))
}

/// The sender of a message, as known before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Sender {
    /// A later message of it was handled already, or it is this entry.
    Outdated,
    /// An entry of which no message was received, or only of an earlier process.
    NewProcess,
    Known,
}

/// Applies the sender's state, unless a later message from it was handled
/// already.
fn apply_message(node: &Arc<Node>, from: SocketAddr, mut message: PeerNews) -> Sender {
    if message.entry == node.peers.own_name {
        return Sender::Outdated;
    }
    let sender = node.peers.record_sender(node, from, &message);
    if sender == Sender::Outdated {
        return sender;
    }
    shared_watch::receive(node, &message);
    if let Some(packed) = message.packed_uses.take() {
        let uses = node.peers.incarnations.lock().unpack(&packed);
        if uses.len() < packed.upstreams.len() {
            node.peers.table.lock().unknown_use_at = Some(node.now());
        }
        message.uses.extend(uses);
    }
    let now = node.now();
    node.fair_shares.receive(now, &message);
    let uses = message.uses.iter().map(|upstream_use| {
        let usage = Usage {
            running: upstream_use.running,
            prefill: PrefillQueue::from_priorities(&upstream_use.reading_tokens),
            kv_tokens: upstream_use.kept_tokens,
        };
        (
            incarnation(&upstream_use.upstream, upstream_use.born_ms),
            usage,
        )
    });
    let mut fleet = node.fleet.lock();
    fleet.set_peer_usage(now, &message.entry, uses);
    let activity = message.uses.iter().map(|upstream_use| {
        let activity = Activity {
            answering: upstream_use.begun,
            silent_ms: upstream_use.silent_ms,
        };
        (
            incarnation(&upstream_use.upstream, upstream_use.born_ms),
            activity,
        )
    });
    fleet.set_peer_activity(now, &message.entry, activity);
    let peer = xxh3_64(message.entry.as_bytes());
    for upstream_use in &message.uses {
        if let Some(pace_percent) = upstream_use.pace_percent {
            let incarnation = incarnation(&upstream_use.upstream, upstream_use.born_ms);
            fleet.set_peer_pace(now, peer, incarnation, pace_percent);
        }
    }
    for leaving in &message.leaving {
        let incarnation = incarnation(&leaving.upstream, leaving.born_ms);
        let version = ObjectVersion::new(leaving.generation, leaving.version);
        fleet.peer_reported_leaving(incarnation, version.0, leaving.vanished);
    }
    for holding in &message.holdings {
        let residents = holding.models.iter().map(decode_resident).collect();
        let loading = holding.coming.iter().map(|model| {
            let ready_at = now.plus_ms(model.ready_in_ms);
            (Arc::from(model.model.as_str()), ready_at)
        });
        let incarnation = incarnation(&holding.upstream, holding.born_ms);
        fleet.set_coordinator_holdings(now, incarnation, residents, loading.collect());
    }
    if message.giver_token > 0 {
        fleet.record_coordinator_message(now, message.giver_token);
    }
    drop(fleet);
    upstream_rate::receive(node, &message.entry, &message.rates);
    log_changes(node, &message.entry);
    if message.lease_renewal > 0 {
        let record = LeaseRecord {
            holder: message.entry.clone(),
            start: message.start,
            token: message.giver_token,
            renewal: message.lease_renewal,
            ..LeaseRecord::default()
        };
        node.lease.lock().on_holder_message(now, record);
    }
    if !message.holdings.is_empty() {
        node.holdings_changed.notify_waiters();
    }
    for wanted in message.wants {
        let wanted = WantedAdapter {
            service: wanted.service.into(),
            model: wanted.model.into(),
            adapter: wanted.adapter.into(),
            software: wanted.software.map(SoftwareVersion),
        };
        node.coordinator.request_adapter(now, wanted);
    }
    if let Some(request) = &message.lease_ask {
        receive_request(node, request);
    }
    if let Some(confirmation) = &message.lease_told {
        receive_confirmation(node, confirmation);
    }
    let mut suspects = node.suspects.lock();
    for suspect in &message.suspects {
        suspects.merge(now, suspect);
    }
    drop(suspects);
    node.merge_suspect_parts(&message.entry, &message.suspect_parts);
    sender
}

const fn incarnation(id: &str, started_unix_ms: u64) -> UpstreamIncarnation<'_> {
    let started_unix_ms = if started_unix_ms == 0 {
        None
    } else {
        Some(started_unix_ms)
    };
    UpstreamIncarnation {
        id,
        started_unix_ms,
    }
}

fn decode_resident(held: &HeldModel) -> ResidentModel {
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
    /// Records the sender of a message.
    fn record_sender(
        &self,
        node: &Node,
        from: SocketAddr,
        message: &PeerNews,
    ) -> Sender {
        let now = node.now();
        let mut table = self.table.lock();
        table.addresses.insert(from);
        if table.domains.get(&from) != Some(&message.domain) {
            table.domains.insert(from, message.domain.clone());
        }
        if message.giver_token > 0 {
            table.coordinator_message_at = Some(now);
        }
        let known = table.peers.get(&message.entry);
        let newest = known.map(|peer| (peer.started_unix_ms, peer.sequence));
        if newest.is_some_and(|newest| (message.start, message.sequence) <= newest) {
            return Sender::Outdated;
        }
        if known.is_none_or(|peer| peer.reported_lost) {
            node.log.line(
                "peer_heard",
                json!({ "peer": message.entry, "from": from, "setup": message.setup_version }),
            );
        }
        let estimates = message.demands.iter().map(|demand| {
            let estimate = DemandEstimate {
                recent_ms_per_s: demand.newest_us_per_s as f64 / 1_000.0,
                sustained_ms_per_s: demand.lasting_us_per_s as f64 / 1_000.0,
                waiting: demand.waiting,
                oldest_wait_ms: demand.oldest_wait_ms,
                request_ms: 0.0,
            };
            let pressure = DemandPressure {
                refused_ms_per_s: demand.refused_us_per_s as f64 / 1_000.0,
                shortest_target_ms: demand.shortest_target_ms,
                longest_run_ms: demand.longest_run_ms,
            };
            PeerDemand {
                service: demand.service.as_str().into(),
                model: demand.model.as_str().into(),
                estimate,
                pressure,
            }
        });
        let is_new_process =
            newest.is_none_or(|(started_unix_ms, _)| started_unix_ms != message.start);
        let timeout_ms = table.peer_timeout_ms();
        let before = known.filter(|peer| {
            // One that was cut off may lack as much as one that starts.
            !is_new_process && now.ms_since(peer.last_message_at) < timeout_ms
        });
        let differs = message.digests != table.own_digests;
        let different_since = before.and_then(|peer| peer.different_since);
        let state = PeerState {
            address: from,
            started_unix_ms: message.start,
            sequence: message.sequence,
            last_message_at: now,
            reported_lost: false,
            coordinator_token: message.giver_token,
            domain: message.domain.clone(),
            watch_works: message.watches,
            keeps_tokens: message.keeps_tokens,
            shutting_down: message.stopping,
            is_ready: message.ready.unwrap_or(message.keeps_tokens),
            first_heard_at: before.map_or(now, |peer| peer.first_heard_at),
            format: message.format,
            needs_full_uses: message.needs_full_uses,
            different_since: differs.then(|| different_since.unwrap_or(now)),
            // Demand is sent to the coordinator only, and never relayed.
            demand: match message.relay() {
                RelayStep::Done => {
                    before.map_or_else(Vec::new, |peer| peer.demand.clone())
                }
                _ => estimates.collect(),
            },
        };
        let is_new = table.peers.insert(message.entry.clone(), state).is_none();
        drop(table);
        if is_new {
            self.new_peer.notify_one();
        }
        if is_new_process {
            Sender::NewProcess
        } else {
            Sender::Known
        }
    }
}
