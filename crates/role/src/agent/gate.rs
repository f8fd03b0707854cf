//! The gate: whether an attempt may be handed to the upstream.

use super::AgentRole;
use base::prelude::*;
use conf::ProfileKind;
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
        self.check_place(now, run)?;
        self.check_time(run)
    }

    fn check_self(&self, now: Instant, run: &Run) -> Result<(), Refusal> {
        if run.agent_incarnation != self.options.incarnation.0 {
            return Err(Refusal::not_run(Code::WrongIncarnation));
        }
        // A fenced agent ends, too, but its instance takes work by another.
        if self.drain.is_some() && !self.record.is_fenced() {
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

    pub(super) fn check_held(&self, run: &Run) -> Result<(), Refusal> {
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
        match self.pool() {
            Some(pool) if pool.engine => self.limit.limit(),
            Some(pool) => pool.concurrent_max.max(1),
            None => 0,
        }
    }

    /// Learns from the engine's step time how many places it has.
    pub(super) fn learn_places(&mut self, step_us: u32) {
        let full = self.attempts.in_flight() >= self.running_max();
        let expected_us = self.expected_between_tokens_us();
        self.limit.observe(step_us, expected_us, full);
    }

    /// Shortest expected time between tokens of the interactive work on what the
    /// engine holds; 0 for none.
    fn expected_between_tokens_us(&self) -> u64 {
        let Some(config) = self.config() else {
            return 0;
        };
        let holds = |model: &ModelId| {
            let mut residents = self.ledger.residents();
            residents.any(|held| held.loaded && held.placement.model == *model)
        };
        let expected = config
            .profiles()
            .filter(|profile| profile.kind == ProfileKind::Interactive)
            .filter(|profile| profile.between_tokens_ms > 0)
            .filter(|profile| profile.models.iter().any(holds))
            .map(|profile| u64::from(profile.between_tokens_ms) * 1_000);
        expected.min().unwrap_or(0)
    }

    fn check_place(&self, now: Instant, run: &Run) -> Result<(), Refusal> {
        if self.attempts.any_alone() {
            return Err(self.gate_full());
        }
        if run.alone {
            return self.check_alone(now, run);
        }
        if self.attempts.in_flight() < self.running_max() {
            return Ok(());
        }
        Err(self.gate_full())
    }

    /// The refusal of what finds no place, with the time until one is free.
    pub(super) fn gate_full(&self) -> Refusal {
        let places = u64::from(self.running_max().max(1));
        let retry_ms = match self.upstream.service_ms() {
            0 => FULL_RETRY_MS,
            service_ms => (service_ms / places).max(1),
        };
        Refusal::not_run(Code::GateFull).retry_after_ms(retry_ms)
    }

    fn check_time(&self, run: &Run) -> Result<(), Refusal> {
        if run.remaining_ms > self.predicted_wait_ms() {
            return Ok(());
        }
        Err(Refusal::not_run(Code::DeadlineBeforeRun))
    }

    /// Time until the upstream has worked off what already waits there.
    pub(super) fn predicted_wait_ms(&self) -> u64 {
        let places = u64::from(self.running_max().max(1));
        u64::from(self.upstream.waiting()) * self.upstream.service_ms() / places
    }

    /// The load hint that goes out with answers and heartbeats.
    ///
    /// Beside a run alone there is no place; entries that knew only the usual
    /// number would go on sending work to be refused.
    pub(super) fn load(&self, now: Instant) -> Load {
        let running_max = match self.attempts.any_alone() {
            true => 0,
            false => self.running_max(),
        };
        Load {
            running: self.attempts.in_flight(),
            waiting: self.upstream.waiting(),
            running_max,
            step_time_us: self.upstream.step_time_us(),
            report_age_ms: self.upstream.report_age_ms(now),
        }
    }
}
