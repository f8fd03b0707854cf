//! Gossip between entries.

use base::prelude::*;
use live::{HeartbeatSource, Liveness, MemberKind};
use schema::link::{Demand, Gossip, Silence, Suspect, UpstreamVerdict, frame};
use std::collections::BTreeMap;

use super::super::EntryAction;
use super::super::resolve::Resource;
use super::super::shared::Shared;
use super::super::suspect_events::apply_and_diff;
use super::{Control, Effects, Timer};
use crate::Peer;

/// Limit of models whose demand is accepted from one entry.
const DEMANDS_MAX: usize = 4_096;

/// Limit, for each kind of item, of the heartbeats, silences, suspect requests and
/// circuit breaker states accepted from one gossip message.
const ITEMS_MAX: usize = 4_096;

/// Minimum interval between gossip messages sent ahead of the next heartbeat.
const GOSSIP_MIN_INTERVAL_MS: u64 = 20;

/// State of this entry's gossip: messages to the other entries with heartbeats, demand,
/// suspect requests and circuit breaker states.
#[derive(Debug)]
pub(crate) struct GossipState {
    sequence: u64,
    sent_at: Option<Instant>,
    /// A timer is set to send gossip that was requested too soon after the last.
    pub(super) send_scheduled: bool,
    /// Newest heartbeat of each agent that was relayed: incarnation and sequence.
    relayed: BTreeMap<AgentId, (Incarnation, u64)>,
    /// Demand reported by each other entry.
    pub(crate) demands: BTreeMap<EntryId, Vec<Demand>>,
}

impl GossipState {
    pub(super) const fn new() -> Self {
        Self {
            sequence: 0,
            sent_at: None,
            send_scheduled: false,
            relayed: BTreeMap::new(),
            demands: BTreeMap::new(),
        }
    }
}

impl Control {
    /// Sends gossip without waiting for the next heartbeat: now, or as soon as
    /// `GOSSIP_MIN_INTERVAL_MS` has passed since the last.
    pub(crate) fn request_gossip(
        &mut self,
        now: Instant,
        shared: &Shared,
        out: &mut Vec<EntryAction>,
    ) {
        let next = self
            .gossip
            .sent_at
            .map(|at| at.plus_ms(GOSSIP_MIN_INTERVAL_MS));
        match next.filter(|next| *next > now) {
            None => self.send_gossip(now, shared, out),
            Some(_) if self.gossip.send_scheduled => {}
            Some(next) => {
                self.gossip.send_scheduled = true;
                self.timers.schedule(next, Timer::GossipSoon);
            }
        }
    }

    /// Sends gossip to all connected entries.
    pub(super) fn send_gossip(
        &mut self,
        now: Instant,
        shared: &Shared,
        out: &mut Vec<EntryAction>,
    ) {
        let peers: Vec<Peer> = self
            .links
            .keys()
            .filter(|peer| matches!(peer, Peer::Entry(_)))
            .cloned()
            .collect();
        if peers.is_empty() {
            return;
        }
        self.gossip.sent_at = Some(now);
        self.gossip.send_scheduled = false;
        let gossip = self.build_gossip(now, shared);
        for peer in peers {
            let body = frame::Body::Gossip(gossip.clone());
            out.push(EntryAction::SendFrame { peer, body });
        }
    }

    fn build_gossip(&mut self, now: Instant, shared: &Shared) -> Gossip {
        self.gossip.sequence += 1;
        let options = &shared.options;
        Gossip {
            verdicts: shared.breakers.lock().export(now),
            entry: options.id.to_string(),
            incarnation: options.incarnation.0,
            sequence: self.gossip.sequence,
            agents: self.heartbeats_to_relay(now),
            demands: own_demands(now, shared),
            suspects: shared.suspects.lock().export(now),
            silences: self.silences(now),
            leaving: self.leaving,
            link_address: options.link_address.clone(),
            operator_address: options.operator_address.clone(),
            failure_domain: options.failure_domain.to_string(),
        }
    }

    /// Heartbeats received directly from agents since the last gossip. Relayed ones are
    /// not passed on: two entries that relay to each other would keep a dead agent
    /// alive.
    fn heartbeats_to_relay(&mut self, now: Instant) -> Vec<schema::link::Heartbeat> {
        let suspect_ms = self.directory.silence_limits().suspect_ms();
        let mut heartbeats = Vec::new();
        for agent in self.directory.agents() {
            let heard_at = agent.last_heard_directly_at;
            let heard_recently =
                heard_at.is_some_and(|at| now.ms_since(at) < suspect_ms);
            let newest = (agent.incarnation, agent.sequence);
            if heard_recently && self.gossip.relayed.get(&agent.id) != Some(&newest) {
                self.gossip.relayed.insert(agent.id.clone(), newest);
                heartbeats.push(agent.last_heartbeat.clone());
            }
        }
        let directory = &self.directory;
        self.gossip
            .relayed
            .retain(|id, _| directory.get(id).is_some());
        heartbeats
    }

    /// Agents from which this entry has received no heartbeat for the suspicion limit.
    fn silences(&self, now: Instant) -> Vec<Silence> {
        let suspect_ms = self.directory.silence_limits().suspect_ms();
        let agents = self.directory.agents();
        let silent = agents.filter(|agent| {
            agent.liveness != Liveness::Up
                && now.ms_since(agent.last_heard_at) >= suspect_ms
        });
        silent
            .map(|agent| Silence {
                agent: agent.id.to_string(),
                incarnation: agent.incarnation.0,
                silent_ms: now.ms_since(agent.last_heard_at),
            })
            .collect()
    }

    /// Handles another entry's gossip; outdated messages are dropped.
    pub(super) fn receive_gossip(
        &mut self,
        now: Instant,
        gossip: Gossip,
        shared: &Shared,
        out: &mut Vec<EntryAction>,
        effects: &mut Effects,
    ) {
        if !self.entries.record_gossip(now, &gossip) {
            return;
        }
        let from = EntryId::new(&gossip.entry);
        let incarnation = Incarnation(gossip.incarnation);
        let address = &gossip.link_address;
        self.connect_if_new(
            MemberKind::Entry,
            &gossip.entry,
            incarnation,
            address,
            out,
        );
        for heartbeat in gossip.agents.into_iter().take(ITEMS_MAX) {
            self.heartbeat_received(
                now,
                heartbeat,
                HeartbeatSource::Relayed,
                out,
                effects,
            );
        }
        let silences: Vec<_> = gossip
            .silences
            .iter()
            .take(ITEMS_MAX)
            .map(|silence| {
                (
                    AgentId::new(&silence.agent),
                    Incarnation(silence.incarnation),
                )
            })
            .collect();
        self.directory.record_silences(now, &from, &silences);
        for suspect in gossip.suspects.iter().take(ITEMS_MAX) {
            merge_suspect(now, suspect, shared, out, effects);
        }
        for state in gossip.verdicts.iter().take(ITEMS_MAX) {
            self.merge_breaker_state(now, &from, state, shared, out, effects);
        }
        let mut demands = gossip.demands;
        demands.truncate(DEMANDS_MAX);
        let awaits_unheld_model = demands.iter().any(|demand| {
            demand.waiting > 0 && self.directory.holders(&demand.model).next().is_none()
        });
        self.gossip.demands.insert(from, demands);
        if awaits_unheld_model {
            effects.set_plan_job(self.plan_soon(now, shared));
        }
    }
}

impl Control {
    /// Merges another entry's circuit breaker state of an upstream.
    fn merge_breaker_state(
        &self,
        now: Instant,
        from: &EntryId,
        state: &UpstreamVerdict,
        shared: &Shared,
        out: &mut Vec<EntryAction>,
        effects: &mut Effects,
    ) {
        let agent = AgentId::new(&state.agent);
        if self.directory.get(&agent).is_none() {
            return;
        }
        let change = shared.breakers.lock().merge(now, state);
        if let Some(change) = change {
            change.record(&agent, &format!("reported by {from}"), out);
            effects.agents_with_capacity.insert(agent);
        }
    }
}

/// Merges another entry's record of a suspect request. If it adds something, all wait
/// queues are tried again, as waiting requests may become runnable or convicted.
fn merge_suspect(
    now: Instant,
    suspect: &Suspect,
    shared: &Shared,
    out: &mut Vec<EntryAction>,
    effects: &mut Effects,
) {
    let mut updated = false;
    let worsened = {
        let mut suspects = shared.suspects.lock();
        apply_and_diff(&mut suspects, now, &[suspect.fingerprint], |suspects| {
            updated = suspects.merge(now, suspect);
        })
    };
    for change in worsened {
        change.record(None, out);
    }
    effects.wake_all |= updated;
}

/// Demand by model at this entry.
pub(super) fn own_demands(now: Instant, shared: &Shared) -> Vec<Demand> {
    let stats = stats_by_model(now, shared);
    let wait_queue = shared.wait_queue.lock();
    let demands = stats.into_iter().map(|(model, stats)| {
        let resource = Resource::Model(model);
        let (count, since) = wait_queue.depth_and_oldest(&resource);
        Demand {
            model: resource.as_str().to_owned(),
            rate_milli: milli(stats.rate_per_s),
            waiting: count,
            oldest_wait_ms: since.map_or(0, |at| now.ms_since(at)),
            service_time_ms: stats.service_time_ms.unwrap_or(0),
            value_milli: milli(stats.value),
        }
    });
    let nonzero = demands.filter(|demand| demand.rate_milli > 0 || demand.waiting > 0);
    nonzero.collect()
}

fn stats_by_model(
    now: Instant,
    shared: &Shared,
) -> Vec<(ModelId, super::super::workload::WorkloadSnapshot)> {
    let workload = shared.workload.lock();
    let models = workload.models();
    models
        .map(|model| {
            let stats = workload.snapshot(now, &Resource::Model(model.clone()));
            (model.clone(), stats)
        })
        .collect()
}

/// Converts to thousandths; a value out of range saturates.
fn milli(value: f64) -> u32 {
    (value * 1_000.0).round() as u32
}
