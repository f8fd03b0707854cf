//! Builds messages to other entries from this entry's state.

use base::ObjectVersion;
use base::prelude::*;
use direct::{
    Fleet, MessageDetail, PEER_FORMAT, ResidentModel, Upstream, holdings_message_count,
    rotation_number, suspects_per_message, upstreams_per_message,
};
use schema::link::Suspect;
use schema::peer::{
    AdapterWant, ComingModel, HeldModel, Holding, LeavingUpstream, ModelDemand,
    PeerNews, RelayStep, SuspectPart, UpstreamUse,
};
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

use super::contents::{Audience, Contents, Trigger};
use crate::platform_watch::Collection;
use crate::quota::can_keep_tokens;
use crate::shared_watch::outgoing_claim;
use crate::state::Node;
use crate::upstream_rate;

/// Time for which other entries are asked for uses in full after packed ones named an
/// upstream that is not known here. It spans a message in large fleets.
const UNKNOWN_USE_MS: u64 = 2_000;

/// Builds a message with these contents.
pub(super) fn build_message(
    node: &Node,
    contents: &Contents<'_>,
    trigger: Trigger,
) -> PeerNews {
    let now = node.now();
    let (sequence, round, periodic_round, digests, unknown_use_at) = {
        let mut table = node.peers.table.lock();
        table.sequence += 1;
        (
            table.sequence,
            table.message_rounds.number(),
            table.periodic_rounds,
            table.own_digests.clone(),
            table.unknown_use_at,
        )
    };
    let (coordinator_token, lease_renewal) = {
        let lease = node.lease.lock();
        let renewal = lease.held_renewal(now).unwrap_or(0);
        (lease.token(now).unwrap_or(0), renewal)
    };
    let fleet = node.fleet.lock();
    let mut uses = uses(&fleet, now);
    let packed_uses = (contents.detail == MessageDetail::Changes).then(|| {
        let (packed, others) = node
            .peers
            .incarnations
            .lock()
            .pack(now, std::mem::take(&mut uses));
        uses = others;
        packed
    });
    let packed_uses = packed_uses.filter(|packed| !packed.upstreams.is_empty());
    let peers = node.peers.address_count();
    // Entries that start together count their messages alike.
    let own_hash = xxh3_64(node.options.entry.as_bytes());
    let turn = sequence.wrapping_add(own_hash);
    let limit = upstreams_per_message(peers);
    let has_records = contents.detail != MessageDetail::Changes;
    let leaving = if has_records {
        leaving(&fleet, now, turn, limit)
    } else {
        contents.changes.leaving.clone()
    };
    let rates = upstream_rate::to_announce(&fleet, now, turn, limit);
    drop(fleet);
    let watched = |collection| {
        let (observed, watched) = contents.changes.watched.as_ref()?;
        (*observed == collection).then(|| watched.clone())
    };
    let (suspects, suspect_parts) = if has_records {
        let round = match contents.detail {
            MessageDetail::OlderFormat => round,
            _ => rotation_number(periodic_round, own_hash, peers),
        };
        let (mut suspects, mut suspect_parts) = records(node, now, round);
        // Records are chosen in turn, and what changed now may not be among them.
        suspects.extend(contents.changes.suspects.iter().cloned());
        suspect_parts.extend(contents.changes.suspect_parts.iter().cloned());
        (suspects, suspect_parts)
    } else {
        let changes = contents.changes;
        (changes.suspects.clone(), changes.suspect_parts.clone())
    };
    let (demands, wants) = match contents.audience {
        Audience::Coordinator => (demands(node, now), wants(node, now)),
        Audience::Entry => (Vec::new(), Vec::new()),
    };
    let (service_shares, shares_number) = match trigger {
        Trigger::Periodic => node.fair_shares.report(now, periodic_round),
        Trigger::Change | Trigger::PlatformWatch(_) => (Vec::new(), 0),
    };
    PeerNews {
        entry: node.options.entry.clone(),
        start: node.started_unix_ms,
        sequence,
        setup_version: node.config().map_or(0, |config| config.version),
        uses,
        demands,
        wants,
        leaving,
        giver_token: coordinator_token,
        holdings: holdings(node, trigger, periodic_round, coordinator_token),
        suspects,
        lease_ask: node.lease_relay.renewal_request(now),
        lease_told: node.lease_relay.renewal_confirmation(now),
        domain: node.options.failure_domain.clone(),
        watches: node.shared_watches.are_working() && !node.shutdown.is_stopping(),
        setup: watched(Collection::Config),
        upstreams: watched(Collection::Upstreams),
        tokens: None,
        keeps_tokens: can_keep_tokens(node),
        lease_renewal,
        stopping: node.shutdown.is_stopping(),
        rates,
        upstream_tokens: None,
        setup_claim: outgoing_claim(node, Collection::Config),
        upstreams_claim: outgoing_claim(node, Collection::Upstreams),
        state_ask: None,
        state_part: None,
        stream_origins: Vec::new(),
        origin_asks: Vec::new(),
        origins_unknown: Vec::new(),
        suspect_parts,
        format: PEER_FORMAT,
        digests,
        packed_uses,
        relay: RelayStep::None.into(),
        relayed_from: String::new(),
        relay_confirmation: None,
        needs_full_uses: unknown_use_at
            .is_some_and(|at| now.ms_since(at) < UNKNOWN_USE_MS),
        service_shares,
        shares_number,
        ready: Some(node.is_ready()),
    }
}

/// Returns recent suspects and parts of prompts, and some of the others in turn.
fn records(node: &Node, now: Instant, round: u64) -> (Vec<Suspect>, Vec<SuspectPart>) {
    let max = suspects_per_message(node.peers.address_count());
    let suspects = node.suspects.lock().export_batch(now, round, max);
    let suspect_parts = node.suspect_parts.lock().export_batch(now, round, max);
    (suspects, suspect_parts)
}

/// Returns some of the upstreams that are leaving or whose records have vanished, in
/// turn by the number of the message.
pub(super) fn leaving(
    fleet: &Fleet,
    now: Instant,
    message: u64,
    limit: usize,
) -> Vec<LeavingUpstream> {
    let leaving = fleet.leaving_to_announce(now, message, limit).into_iter();
    leaving.map(leaving_message).collect()
}

pub(super) fn leaving_message(
    (upstream, version, vanished): (&Upstream, u64, bool),
) -> LeavingUpstream {
    LeavingUpstream {
        upstream: upstream.record.id.to_string(),
        version: ObjectVersion(version).revision(),
        generation: ObjectVersion(version).generation(),
        vanished,
        born_ms: upstream.record.started_unix_ms.unwrap_or(0),
    }
}

/// Returns this entry's usage of upstreams, and their activity towards it.
fn uses(fleet: &Fleet, now: Instant) -> Vec<UpstreamUse> {
    let used = fleet
        .all()
        .filter(|upstream| upstream.own_usage.running > 0);
    let uses = used.map(|upstream| {
        let activity = upstream.activity(now);
        UpstreamUse {
            upstream: upstream.record.id.to_string(),
            running: upstream.own_usage.running,
            reading_tokens: upstream.own_usage.prefill.by_priority().to_vec(),
            kept_tokens: upstream.own_usage.kv_tokens,
            born_ms: upstream.record.started_unix_ms.unwrap_or(0),
            begun: activity.answering,
            silent_ms: activity.silent_ms,
            pace_percent: upstream
                .own_pace_factor(now)
                .map(|factor| (factor * 100.0) as u32),
        }
    });
    uses.collect()
}

/// Returns the demand for models that this entry measured.
fn demands(node: &Node, now: Instant) -> Vec<ModelDemand> {
    let demand = node.demand.lock();
    let demands = demand.iter().flat_map(|(service, demand)| {
        demand.estimates(now).zip(demand.pressures()).map(
            move |((model, estimate), (_, pressure))| ModelDemand {
                service: service.to_string(),
                model: model.to_string(),
                newest_us_per_s: (estimate.recent_ms_per_s * 1_000.0) as u64,
                lasting_us_per_s: (estimate.sustained_ms_per_s * 1_000.0) as u64,
                waiting: estimate.waiting,
                oldest_wait_ms: estimate.oldest_wait_ms,
                refused_us_per_s: (pressure.refused_ms_per_s * 1_000.0) as u64,
                shortest_target_ms: pressure.shortest_target_ms,
                longest_run_ms: pressure.longest_run_ms,
            },
        )
    });
    demands.collect()
}

/// Returns the adapters that requests at this entry wait for.
fn wants(node: &Node, now: Instant) -> Vec<AdapterWant> {
    let wants = node.wanted_adapters.current(now).into_iter();
    let wants = wants.map(|wanted| AdapterWant {
        service: wanted.service.to_string(),
        model: wanted.model.to_string(),
        adapter: wanted.adapter.to_string(),
        software: wanted.software.map(|version| version.0),
    });
    wants.collect()
}

/// Returns the holdings that changed recently, and in periodic messages a part
/// of the others.
fn holdings(
    node: &Node,
    trigger: Trigger,
    periodic_round: u64,
    coordinator_token: u64,
) -> Vec<Holding> {
    if coordinator_token == 0 {
        return Vec::new();
    }
    let rounds = holdings_message_count(node.peers.address_count());
    let due_part = periodic_round as usize % rounds;
    let announced = node.coordinator.holdings_to_announce(node.now(), |index| {
        trigger == Trigger::Periodic && index % rounds == due_part
    });
    let now = node.now();
    let announced = announced.into_iter().map(|upstream| Holding {
        upstream: upstream.id.to_string(),
        born_ms: upstream.started_unix_ms.unwrap_or(0),
        models: upstream.residents.iter().map(held_model).collect(),
        coming: upstream
            .loading
            .iter()
            .map(|model| coming_model(now, model))
            .collect(),
    });
    announced.collect()
}

fn coming_model(now: Instant, model: &(Arc<str>, Instant)) -> ComingModel {
    ComingModel {
        model: model.0.to_string(),
        ready_in_ms: model.1.ms_since(now),
    }
}

fn held_model(resident: &ResidentModel) -> HeldModel {
    HeldModel {
        model: resident.model.to_string(),
        version: resident.version,
        adapters: resident.adapters.iter().map(ToString::to_string).collect(),
    }
}
