//! Reports the outcomes of attempts to the circuit breakers of their upstreams.

use base::prelude::*;

use super::super::shared::Ctx;
use super::Requests;

impl Requests {
    /// Records the outcome of the attempt in flight in the circuit breaker of its
    /// upstream. Returns whether the attempt was a probe.
    pub(super) fn record_upstream_outcome(
        &mut self,
        ctx: &mut Ctx<'_>,
        sequence: u64,
        ok: bool,
    ) -> bool {
        let request = self.requests.get_mut(&sequence);
        let Some(attempt) = request.and_then(|request| request.attempt_mut()) else {
            return false;
        };
        let probe = std::mem::take(&mut attempt.probe);
        record_outcome(ctx, &attempt.agent, ok, probe);
        probe
    }
}

/// Records the outcome of an attempt in the circuit breaker of its upstream.
pub(super) fn record_outcome(
    ctx: &mut Ctx<'_>,
    agent: &AgentId,
    ok: bool,
    probe: bool,
) {
    let change = {
        let mut breakers = ctx.shared.breakers.lock();
        breakers.record_outcome(ctx.now, agent, ok, probe)
    };
    if let Some(change) = change {
        change.record(agent, "observed by this entry", ctx.out);
        ctx.follow_ups.agents_with_capacity.insert(agent.clone());
        ctx.follow_ups.gossip = true;
    }
}
