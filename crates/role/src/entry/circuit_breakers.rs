//! Verdicts on upstreams that answer heartbeats and fail the work given to them.
//!
//! The verdict is shared: each entry sees only its part of the failures, and
//! probes of every entry would be load for an upstream that can bear none. One
//! entry probes, by rendezvous over the live entries.

use base::prelude::*;
use live::Directory;
use route::{BreakerState, CircuitBreaker, Permission};
use schema::link::UpstreamVerdict;
use schema::timeline::EventKind;
use std::collections::BTreeMap;

use super::EntryAction;
use super::timeline::TimelineEvent;

/// Time without a probe or a word of one after which any request of any entry
/// may be the probe: the entry that should probe may get no work to do it with.
const PROBER_TIMEOUT_MS: u64 = 10_000;

/// Time for which a verdict that was lifted is still told.
const RECOVERY_GOSSIP_MS: u64 = 60_000;

#[derive(Debug)]
struct BreakerEntry {
    health: UpstreamHealth,
    /// When the verdict changed, or a probe was sent here.
    changed_at: Instant,
}

/// Verdicts by agent; one that was never failing has none.
#[derive(Debug, Default)]
pub(crate) struct CircuitBreakers {
    upstreams: BTreeMap<AgentId, BreakerEntry>,
    open_count: usize,
}

/// A verdict that changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BreakerChange {
    /// The upstream gets no work but probes.
    Failing,
    /// It gets work again.
    Recovered,
}

impl CircuitBreakers {
    /// Whether any upstream is failing.
    pub(crate) const fn any_failing(&self) -> bool {
        self.open_count > 0
    }

    /// Whether an upstream gets no work but probes.
    pub(crate) fn is_failing(&self, agent: &AgentId) -> bool {
        let held = self.upstreams.get(agent);
        held.is_some_and(|held| held.health.is_open())
    }

    /// Whether a request may be sent as a probe now; it must be sent then.
    ///
    /// A call that must not run twice is spared as long as others can probe,
    /// since its outcome would be unknown if the probe failed.
    pub(crate) fn try_probe(
        &mut self,
        now: Instant,
        agent: &AgentId,
        is_prober: bool,
        idempotent: bool,
    ) -> bool {
        let Some(held) = self.upstreams.get_mut(agent) else {
            return false;
        };
        let orphaned = now.ms_since(held.changed_at) >= PROBER_TIMEOUT_MS;
        let probes = orphaned || is_prober && idempotent;
        let probe = held.health.allow(now, probes) == Allow::Probe;
        if probe {
            held.changed_at = now;
        }
        probe
    }

    /// Takes the outcome of an attempt into account.
    pub(crate) fn record_outcome(
        &mut self,
        now: Instant,
        agent: &AgentId,
        ok: bool,
        probe: bool,
    ) -> Option<BreakerChange> {
        if ok && !self.upstreams.contains_key(agent) {
            return None;
        }
        self.update(now, agent, |health| health.observe(now, ok, probe))
    }

    /// Takes over another entry's verdict if it is newer.
    pub(crate) fn merge(
        &mut self,
        now: Instant,
        from: &UpstreamVerdict,
    ) -> Option<BreakerChange> {
        let view = HealthView {
            version: from.version,
            open: from.open,
        };
        let agent = AgentId::new(&from.agent);
        self.update(now, &agent, |health| health.merge(now, view))
    }

    /// What to tell other entries: all that stands and what was lifted lately,
    /// so that one lost message costs a heartbeat only.
    pub(crate) fn export(&self, now: Instant) -> Vec<UpstreamVerdict> {
        let told = self.upstreams.iter().filter(|(_, held)| {
            let lately = now.ms_since(held.changed_at) < RECOVERY_GOSSIP_MS;
            held.health.is_open() || held.health.view().version > 0 && lately
        });
        told.map(|(agent, held)| {
            let view = held.health.state();
            UpstreamVerdict {
                agent: agent.to_string(),
                version: view.version,
                open: view.open,
            }
        })
        .collect()
    }

    /// Forgets upstreams whose agents are not known any more.
    pub(crate) fn forget_unknown(&mut self, directory: &Directory) {
        self.upstreams.retain(|id, _| directory.get(id).is_some());
        self.recount_open();
    }

    fn update(
        &mut self,
        now: Instant,
        agent: &AgentId,
        work: impl FnOnce(&mut UpstreamHealth),
    ) -> Option<BreakerChange> {
        let held = self.upstreams.entry(agent.clone());
        let held = held.or_insert_with(|| BreakerEntry {
            health: UpstreamHealth::new(),
            changed_at: now,
        });
        let before = held.health.is_open();
        work(&mut held.health);
        let after = held.health.is_open();
        if before == after {
            return None;
        }
        held.changed_at = now;
        self.recount_open();
        Some(match after {
            true => BreakerChange::Failing,
            false => BreakerChange::Recovered,
        })
    }

    fn recount_open(&mut self) {
        let held = self.upstreams.values();
        self.open_count = held.filter(|held| held.health.is_open()).count();
    }
}

impl BreakerChange {
    /// Records it.
    pub(crate) fn record(self, agent: &AgentId, by: &str, out: &mut Vec<EntryAction>) {
        let (kind, what) = match self {
            Self::Failing => (
                EventKind::UpstreamFailing,
                "fails the work given to it and gets only probes",
            ),
            Self::Recovered => (EventKind::UpstreamRecovered, "a probe ended well"),
        };
        TimelineEvent::new(kind, format!("{what}, {by}"))
            .peer(agent)
            .record(out);
    }
}
