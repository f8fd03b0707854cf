//! What entries tell one another.

use base::prelude::*;
use live::{Heard, Life, MemberKind};
use schema::link::{Demand, Gossip, Silence, Suspect, UpstreamVerdict, frame};
use std::collections::BTreeMap;

use super::super::EntryAction;
use super::super::shared::Shared;
use super::super::suspicion::charged_by;
use super::super::wanted::Wanted;
use super::{Control, Effects, Timer};
use crate::Peer;

/// Models whose demand is taken from one entry.
const DEMANDS_MAX: usize = 4_096;

/// Suspects, heartbeats and silences taken from one gossip.
const ITEMS_MAX: usize = 4_096;

/// Least time between two gossips that can't wait for the next heartbeat.
const GOSSIP_MIN_MS: u64 = 20;

/// State of gossip.
#[derive(Debug)]
pub(crate) struct Gossiping {
    sequence: u64,
    sent_at: Option<Instant>,
    /// A timer is set for what came too soon after the last.
    pub(super) soon: bool,
    /// Newest heartbeat told of each agent.
    told: BTreeMap<AgentId, (Incarnation, u64)>,
    /// Demand as the other entries see it.
    pub(crate) demands: BTreeMap<EntryId, Vec<Demand>>,
}

impl Gossiping {
    pub(super) const fn new() -> Self {
        Self {
            sequence: 0,
            sent_at: None,
            soon: false,
            told: BTreeMap::new(),
            demands: BTreeMap::new(),
        }
    }
}

impl Control {
    /// Tells the other entries now; if they were told a moment ago, a moment
    /// later. What must not wait for the next heartbeat is not lost by that.
    pub(crate) fn gossip_now(
        &mut self,
        now: Instant,
        shared: &Shared,
        out: &mut Vec<EntryAction>,
    ) {
        let next = self.gossip.sent_at.map(|at| at.plus_ms(GOSSIP_MIN_MS));
        match next.filter(|next| *next > now) {
            None => self.send_gossip(now, shared, out),
            Some(_) if self.gossip.soon => {}
            Some(next) => {
                self.gossip.soon = true;
                self.timers.set(next, Timer::GossipSoon);
            }
        }
    }

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
        self.gossip.soon = false;
        let gossip = self.compose(now, shared);
        for peer in peers {
            let body = frame::Body::Gossip(gossip.clone());
            out.push(EntryAction::SendFrame { peer, body });
        }
    }

    fn compose(&mut self, now: Instant, shared: &Shared) -> Gossip {
        self.gossip.sequence += 1;
        let options = &shared.options;
        Gossip {
            verdicts: shared.health.lock().export(now),
            entry: options.id.to_string(),
            incarnation: options.incarnation.0,
            sequence: self.gossip.sequence,
            agents: self.news_of_agents(now),
            demands: own_demands(now, shared),
            suspects: shared.suspects.lock().export(now),
            silences: self.silences(now),
            leaving: self.leaving,
            link_address: options.link_address.clone(),
            operator_address: options.operator_address.clone(),
            failure_domain: options.failure_domain.to_string(),
        }
    }

    /// Heartbeats heard over this entry's own links since the last gossip. Only
    /// these: two entries that relay what they were told would keep a dead
    /// agent alive between them.
    fn news_of_agents(&mut self, now: Instant) -> Vec<schema::link::Heartbeat> {
        let suspect_ms = self.directory.timing().suspect_ms();
        let mut news = Vec::new();
        for agent in self.directory.agents() {
            let direct = agent.direct_at;
            let heard = direct.is_some_and(|at| now.ms_since(at) < suspect_ms);
            let newest = (agent.incarnation, agent.sequence);
            if heard && self.gossip.told.get(&agent.id) != Some(&newest) {
                self.gossip.told.insert(agent.id.clone(), newest);
                news.push(agent.last.clone());
            }
        }
        let directory = &self.directory;
        self.gossip.told.retain(|id, _| directory.get(id).is_some());
        news
    }

    fn silences(&self, now: Instant) -> Vec<Silence> {
        let suspect_ms = self.directory.timing().suspect_ms();
        let agents = self.directory.agents();
        let silent = agents.filter(|agent| {
            agent.life != Life::Up && now.ms_since(agent.heard_at) >= suspect_ms
        });
        silent
            .map(|agent| Silence {
                agent: agent.id.to_string(),
                incarnation: agent.incarnation.0,
                silent_ms: now.ms_since(agent.heard_at),
            })
            .collect()
    }

    pub(super) fn hear_gossip(
        &mut self,
        now: Instant,
        gossip: Gossip,
        shared: &Shared,
        out: &mut Vec<EntryAction>,
        effects: &mut Effects,
    ) {
        if !self.entries.hear(now, &gossip) {
            return;
        }
        let from = EntryId::new(&gossip.entry);
        let incarnation = Incarnation(gossip.incarnation);
        let address = &gossip.link_address;
        self.reach(MemberKind::Entry, &gossip.entry, incarnation, address, out);
        for beat in gossip.agents.into_iter().take(ITEMS_MAX) {
            self.heartbeat(now, beat, Heard::Relayed, out, effects);
        }
        let said: Vec<_> = gossip
            .silences
            .iter()
            .take(ITEMS_MAX)
            .map(|held| (AgentId::new(&held.agent), Incarnation(held.incarnation)))
            .collect();
        self.directory.silences(now, &from, &said);
        for suspect in gossip.suspects.iter().take(ITEMS_MAX) {
            take_suspect(now, suspect, shared, out, effects);
        }
        for verdict in gossip.verdicts.iter().take(ITEMS_MAX) {
            self.take_verdict(now, &from, verdict, shared, out, effects);
        }
        let mut demands = gossip.demands;
        demands.truncate(DEMANDS_MAX);
        let unheld = demands.iter().any(|demand| {
            demand.waiting > 0 && self.directory.holders(&demand.model).next().is_none()
        });
        self.gossip.demands.insert(from, demands);
        if unheld {
            effects.plan_with(self.plan_soon(now, shared));
        }
    }
}

impl Control {
    /// Takes another entry's verdict on an upstream.
    fn take_verdict(
        &self,
        now: Instant,
        from: &EntryId,
        verdict: &UpstreamVerdict,
        shared: &Shared,
        out: &mut Vec<EntryAction>,
        effects: &mut Effects,
    ) {
        let agent = AgentId::new(&verdict.agent);
        if self.directory.get(&agent).is_none() {
            return;
        }
        let change = shared.health.lock().merge(now, verdict);
        if let Some(change) = change {
            change.trace(&agent, &format!("says {from}"), out);
            effects.room.insert(agent);
        }
    }
}

/// Takes another entry's word on a request. What waits here may be free by it,
/// or may not run any more.
fn take_suspect(
    now: Instant,
    suspect: &Suspect,
    shared: &Shared,
    out: &mut Vec<EntryAction>,
    effects: &mut Effects,
) {
    let mut news = false;
    let charged = {
        let mut suspects = shared.suspects.lock();
        charged_by(&mut suspects, now, &[suspect.fingerprint], |suspects| {
            news = suspects.merge(now, suspect);
        })
    };
    for held in charged {
        held.trace(None, out);
    }
    effects.wake_all |= news;
}

/// Demand by model as this entry sees it.
pub(super) fn own_demands(now: Instant, shared: &Shared) -> Vec<Demand> {
    let stats = stats_by_model(now, shared);
    let waiting = shared.waiting.lock();
    let demands = stats.into_iter().map(|(model, stats)| {
        let wanted = Wanted::Model(model);
        let (count, since) = waiting.queue(&wanted);
        Demand {
            model: wanted.as_str().to_owned(),
            rate_milli: milli(stats.rate_per_s),
            waiting: count,
            oldest_wait_ms: since.map_or(0, |at| now.ms_since(at)),
            service_time_ms: stats.service_time_ms.unwrap_or(0),
            value_milli: milli(stats.value),
        }
    });
    let told = demands.filter(|demand| demand.rate_milli > 0 || demand.waiting > 0);
    told.collect()
}

fn stats_by_model(
    now: Instant,
    shared: &Shared,
) -> Vec<(ModelId, super::super::book::WorkStats)> {
    let book = shared.book.lock();
    let models = book.models();
    models
        .map(|model| {
            let stats = book.stats(now, &Wanted::Model(model.clone()));
            (model.clone(), stats)
        })
        .collect()
}

/// A number in thousandths; one out of range is cut.
fn milli(value: f64) -> u32 {
    (value * 1_000.0).round() as u32
}
