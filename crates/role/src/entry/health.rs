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
use super::trace::Note;

/// Time without a probe or a word of one after which any request of any entry
/// may be the probe: the entry that should probe may get no work to do it with.
const ORPHANED_MS: u64 = 10_000;

/// Time for which a verdict that was lifted is still told.
const TOLD_MS: u64 = 60_000;

#[derive(Debug)]
struct Upstream {
    health: CircuitBreaker,
    /// When the verdict changed, or a probe was sent here.
    touched_at: Instant,
}

/// Verdicts by agent; one that was never failing has none.
#[derive(Debug, Default)]
pub(crate) struct Health {
    upstreams: BTreeMap<AgentId, Upstream>,
    open: usize,
}

/// A verdict that changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Change {
    /// The upstream gets no work but probes.
    Failing,
    /// It gets work again.
    Recovered,
}

impl Health {
    /// Whether any upstream is failing.
    pub(crate) const fn any_failing(&self) -> bool {
        self.open > 0
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
        prober: bool,
        idempotent: bool,
    ) -> bool {
        let Some(held) = self.upstreams.get_mut(agent) else {
            return false;
        };
        let orphaned = now.ms_since(held.touched_at) >= ORPHANED_MS;
        let probes = orphaned || prober && idempotent;
        let probe = held.health.acquire_permission(now, probes) == Permission::Probe;
        if probe {
            held.touched_at = now;
        }
        probe
    }

    /// Takes the outcome of an attempt into account.
    pub(crate) fn observe(
        &mut self,
        now: Instant,
        agent: &AgentId,
        ok: bool,
        probe: bool,
    ) -> Option<Change> {
        if ok && !self.upstreams.contains_key(agent) {
            return None;
        }
        self.change(now, agent, |health| health.record_outcome(now, ok, probe))
    }

    /// Takes over another entry's verdict if it is newer.
    pub(crate) fn merge(
        &mut self,
        now: Instant,
        from: &UpstreamVerdict,
    ) -> Option<Change> {
        let view = BreakerState {
            version: from.version,
            open: from.open,
        };
        let agent = AgentId::new(&from.agent);
        self.change(now, &agent, |health| health.merge(now, view))
    }

    /// What to tell other entries: all that stands and what was lifted lately,
    /// so that one lost message costs a heartbeat only.
    pub(crate) fn export(&self, now: Instant) -> Vec<UpstreamVerdict> {
        let told = self.upstreams.iter().filter(|(_, held)| {
            let lately = now.ms_since(held.touched_at) < TOLD_MS;
            held.health.is_open() || held.health.state().version > 0 && lately
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
        self.count();
    }

    fn change(
        &mut self,
        now: Instant,
        agent: &AgentId,
        work: impl FnOnce(&mut CircuitBreaker),
    ) -> Option<Change> {
        let held = self.upstreams.entry(agent.clone());
        let held = held.or_insert_with(|| Upstream {
            health: CircuitBreaker::new(),
            touched_at: now,
        });
        let before = held.health.is_open();
        work(&mut held.health);
        let after = held.health.is_open();
        if before == after {
            return None;
        }
        held.touched_at = now;
        self.count();
        Some(match after {
            true => Change::Failing,
            false => Change::Recovered,
        })
    }

    fn count(&mut self) {
        let held = self.upstreams.values();
        self.open = held.filter(|held| held.health.is_open()).count();
    }
}

impl Change {
    /// Records it.
    pub(crate) fn trace(self, agent: &AgentId, by: &str, out: &mut Vec<EntryAction>) {
        let (kind, what) = match self {
            Self::Failing => (
                EventKind::UpstreamFailing,
                "fails the work given to it and gets only probes",
            ),
            Self::Recovered => (EventKind::UpstreamRecovered, "a probe ended well"),
        };
        Note::new(kind, format!("{what}, {by}"))
            .peer(agent)
            .put(out);
    }
}
