//! The gate: whether an attempt may be handed to the upstream.

use super::AgentRole;
use base::prelude::*;
use schema::link::{Load, Run};

/// When to come back to a full gate before any service time is known.
const FULL_RETRY_MS: u64 = 100;

/// When to come back to an agent that is not ready.
const READY_RETRY_MS: u64 = 1_000;

impl AgentRole {
    /// Refuses what must not be run here and now. A refusal is a promise that
    /// the attempt was not run.
    pub(super) fn check(&self, now: Instant, run: &Run) -> Result<(), Refusal> {
        self.check_self(now, run)?;
        self.check_held(run)?;
        self.check_place(run)?;
        self.check_time(run)
    }

    fn check_self(&self, now: Instant, run: &Run) -> Result<(), Refusal> {
        if run.agent_incarnation != self.options.incarnation.0 {
            return Err(Refusal::not_run(Code::WrongIncarnation));
        }
        if self.drain.is_some() {
            return Err(Refusal::not_run(Code::Leaving));
        }
        self.check_able()?;
        // A frame heard just after a freeze may have waited for all of it; its
        // time left is not known, and its caller may have been answered.
        if now < self.stale_until {
            let retry_ms = self.heartbeat_ms();
            return Err(Refusal::not_run(Code::NotReady).retry_after_ms(retry_ms));
        }
        Ok(())
    }

    /// Whether the agent can run anything.
    pub(super) fn check_able(&self) -> Result<(), Refusal> {
        let able =
            self.pool().is_some() && self.upstream.is_up() && !self.record.is_fenced();
        if able {
            return Ok(());
        }
        Err(Refusal::not_run(Code::NotReady).retry_after_ms(READY_RETRY_MS))
    }

    fn check_held(&self, run: &Run) -> Result<(), Refusal> {
        if !run.service.is_empty() {
            return self.check_service(&run.service);
        }
        let held = self.is_engine() && self.serves(&run.model, run.version);
        if held {
            return Ok(());
        }
        Err(Refusal::not_run(Code::NotHeld))
    }

    fn check_service(&self, service: &str) -> Result<(), Refusal> {
        let spec = self.config().and_then(|config| config.service(service));
        if spec.is_some_and(|spec| spec.pool == self.options.pool) {
            return Ok(());
        }
        Err(Refusal::not_run(Code::UnknownService))
    }

    /// A version of a model is loaded and not about to go.
    ///
    /// The upstream chooses among its accelerators, so while one of several
    /// copies is to be unloaded no new work is taken for any: else the unload
    /// would wait for as long as work comes.
    fn serves(&self, model: &str, version: u32) -> bool {
        if self.orders.is_retiring(model, version) {
            return false;
        }
        self.ledger.residents().any(|resident| {
            let placement = &resident.placement;
            resident.loaded
                && placement.model.as_str() == model
                && placement.version == version
                && !self.is_being_unloaded(placement)
        })
    }

    /// Most attempts in progress at once.
    pub(super) fn running_max(&self) -> u32 {
        let Some(pool) = self.pool() else { return 0 };
        let accelerators = if pool.engine {
            u32::try_from(pool.accelerators_mib.len()).unwrap_or(u32::MAX)
        } else {
            1
        };
        pool.concurrent_max.max(1).saturating_mul(accelerators)
    }

    fn check_place(&self, run: &Run) -> Result<(), Refusal> {
        let in_flight = self.attempts.in_flight();
        // A request that may have crashed an upstream runs alone, so that the
        // next crash shows whether it was the cause.
        let crowded = run.alone && in_flight > 0;
        let full = in_flight >= self.running_max();
        if !full && !crowded && !self.attempts.any_alone() {
            return Ok(());
        }
        let places = u64::from(self.running_max().max(1));
        let retry_ms = match self.upstream.service_ms() {
            0 => FULL_RETRY_MS,
            service_ms => (service_ms / places).max(1),
        };
        Err(Refusal::not_run(Code::GateFull).retry_after_ms(retry_ms))
    }

    fn check_time(&self, run: &Run) -> Result<(), Refusal> {
        if run.remaining_ms > self.predicted_wait_ms() {
            return Ok(());
        }
        Err(Refusal::not_run(Code::DeadlineBeforeRun))
    }

    /// Time until the upstream has worked off what already waits there.
    fn predicted_wait_ms(&self) -> u64 {
        let places = u64::from(self.running_max().max(1));
        u64::from(self.upstream.waiting()) * self.upstream.service_ms() / places
    }

    /// The load hint that goes out with answers and heartbeats.
    pub(super) fn load(&self, now: Instant) -> Load {
        Load {
            running: self.attempts.in_flight(),
            waiting: self.upstream.waiting(),
            running_max: self.running_max(),
            step_time_us: self.upstream.step_time_us(),
            report_age_ms: self.upstream.report_age_ms(now),
        }
    }
}
