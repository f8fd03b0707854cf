//! Circuit breakers for upstreams that are reported up but fail their requests.
//!
//! Entries share the state of the breakers, as each sees only some of the failures.
//! One entry, chosen by rendezvous hashing over the live entries, sends the probes:
//! probes of every entry could overload a failing upstream.

use base::prelude::*;
use live::AgentDirectory;
use route::{BreakerState, CircuitBreaker, Permission};
use schema::link::UpstreamVerdict;
use schema::timeline::EventKind;
use std::collections::BTreeMap;

use super::EntryAction;
use super::timeline::TimelineEvent;

/// Time without a probe or a change of the breaker after which every entry may probe,
/// with any request. The entry chosen to probe may receive no request for this
/// upstream.
const PROBER_TIMEOUT_MS: u64 = 10_000;

/// How long a closed breaker is still sent in gossip.
const RECOVERY_GOSSIP_MS: u64 = 60_000;

#[derive(Debug)]
struct TrackedBreaker {
    breaker: CircuitBreaker,
    /// When the breaker opened or closed, or this entry last sent a probe.
    changed_at: Instant,
}

/// Circuit breakers by agent. An agent whose upstream never failed has none.
#[derive(Debug, Default)]
pub(crate) struct CircuitBreakers {
    upstreams: BTreeMap<AgentId, TrackedBreaker>,
    open_count: usize,
}

/// A breaker opened or closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BreakerChange {
    /// It opened: the upstream gets only probes.
    Failing,
    /// It closed: the upstream gets requests again.
    Recovered,
}

impl CircuitBreakers {
    /// Whether any breaker is open.
    pub(crate) const fn any_failing(&self) -> bool {
        self.open_count > 0
    }

    /// Whether the breaker is open, so that the upstream gets only probes.
    pub(crate) fn is_failing(&self, agent: &AgentId) -> bool {
        let tracked = self.upstreams.get(agent);
        tracked.is_some_and(|tracked| tracked.breaker.is_open())
    }

    /// Reserves the next probe for a request; if it returns true, the request has to
    /// be sent.
    ///
    /// A request that is not idempotent is used only after `PROBER_TIMEOUT_MS`, since
    /// its outcome would be unknown if the probe failed.
    pub(crate) fn try_probe(
        &mut self,
        now: Instant,
        agent: &AgentId,
        is_prober: bool,
        idempotent: bool,
    ) -> bool {
        let Some(tracked) = self.upstreams.get_mut(agent) else {
            return false;
        };
        let prober_timed_out = now.ms_since(tracked.changed_at) >= PROBER_TIMEOUT_MS;
        let may_probe = prober_timed_out || is_prober && idempotent;
        let probe =
            tracked.breaker.acquire_permission(now, may_probe) == Permission::Probe;
        if probe {
            tracked.changed_at = now;
        }
        probe
    }

    /// Records the outcome of an attempt.
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
        self.update(now, agent, |breaker| breaker.record_outcome(now, ok, probe))
    }

    /// Adopts another entry's state of a breaker if it is newer.
    pub(crate) fn merge(
        &mut self,
        now: Instant,
        remote: &UpstreamVerdict,
    ) -> Option<BreakerChange> {
        let state = BreakerState {
            version: remote.version,
            open: remote.open,
        };
        let agent = AgentId::new(&remote.agent);
        self.update(now, &agent, |breaker| breaker.merge(now, state))
    }

    /// States to send in gossip: all open breakers and those closed recently. They
    /// are repeated, so that a lost message delays them by one heartbeat only.
    pub(crate) fn export(&self, now: Instant) -> Vec<UpstreamVerdict> {
        let to_send = self.upstreams.iter().filter(|(_, tracked)| {
            let recent = now.ms_since(tracked.changed_at) < RECOVERY_GOSSIP_MS;
            tracked.breaker.is_open() || tracked.breaker.state().version > 0 && recent
        });
        to_send
            .map(|(agent, tracked)| {
                let state = tracked.breaker.state();
                UpstreamVerdict {
                    agent: agent.to_string(),
                    version: state.version,
                    open: state.open,
                }
            })
            .collect()
    }

    /// Removes breakers whose agents are no longer in the directory.
    pub(crate) fn forget_unknown(&mut self, directory: &AgentDirectory) {
        self.upstreams.retain(|id, _| directory.get(id).is_some());
        self.recount_open();
    }

    /// Applies `work` to an agent's breaker, which is created if there is none;
    /// returns whether it opened or closed.
    fn update(
        &mut self,
        now: Instant,
        agent: &AgentId,
        work: impl FnOnce(&mut CircuitBreaker),
    ) -> Option<BreakerChange> {
        let tracked = self.upstreams.entry(agent.clone());
        let tracked = tracked.or_insert_with(|| TrackedBreaker {
            breaker: CircuitBreaker::new(),
            changed_at: now,
        });
        let before = tracked.breaker.is_open();
        work(&mut tracked.breaker);
        let after = tracked.breaker.is_open();
        if before == after {
            return None;
        }
        tracked.changed_at = now;
        self.recount_open();
        Some(match after {
            true => BreakerChange::Failing,
            false => BreakerChange::Recovered,
        })
    }

    fn recount_open(&mut self) {
        let tracked = self.upstreams.values();
        self.open_count = tracked.filter(|tracked| tracked.breaker.is_open()).count();
    }
}

impl BreakerChange {
    /// Records the change in the timeline; `by` names the source of the state.
    pub(crate) fn record(self, agent: &AgentId, by: &str, out: &mut Vec<EntryAction>) {
        let (kind, what) = match self {
            Self::Failing => (
                EventKind::UpstreamFailing,
                "requests to it fail; it gets only probes",
            ),
            Self::Recovered => (EventKind::UpstreamRecovered, "a probe succeeded"),
        };
        TimelineEvent::new(kind, format!("{what}, {by}"))
            .peer(agent)
            .record(out);
    }
}
