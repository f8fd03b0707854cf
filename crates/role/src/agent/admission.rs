//! Admission control: whether an attempt may be handed to the upstream.

use super::AgentRole;
use base::prelude::*;
use conf::ProfileKind;
use schema::link::{Load, Run};

/// Suggested retry delay when all slots are taken and no service time is known
/// yet.
const SLOTS_FULL_RETRY_MS: u64 = 100;

/// Suggested retry delay while the agent is not ready.
const NOT_READY_RETRY_MS: u64 = 1_000;

impl AgentRole {
    /// Refuses an attempt that must not run here and now. A refusal guarantees
    /// that the attempt was not run.
    pub(super) fn check_admission(
        &self,
        now: Instant,
        run: &Run,
    ) -> Result<(), RequestError> {
        self.check_agent(now, run)?;
        self.check_resource_available(run)?;
        self.check_slot_available(now, run)?;
        self.check_deadline(run)
    }

    fn check_agent(&self, now: Instant, run: &Run) -> Result<(), RequestError> {
        if run.agent_incarnation != self.options.incarnation.0 {
            return Err(RequestError::not_run(ErrorCode::WrongIncarnation));
        }
        // A fenced agent drains as well, but its instance still accepts work
        // through the successor, so it does not refuse with `Leaving`.
        if self.drain.is_some() && !self.record.is_fenced() {
            return Err(RequestError::not_run(ErrorCode::Leaving));
        }
        self.check_can_run()?;
        // A frame received just after a freeze may have waited for the whole
        // freeze: its remaining time is unknown, and its caller may already
        // have been answered.
        if now < self.frames_stale_until {
            let retry_ms = self.heartbeat_ms();
            return Err(
                RequestError::not_run(ErrorCode::NotReady).retry_after_ms(retry_ms)
            );
        }
        Ok(())
    }

    /// Whether the agent can run any attempt at all.
    pub(super) fn check_can_run(&self) -> Result<(), RequestError> {
        let can_run =
            self.pool().is_some() && self.upstream.is_up() && !self.record.is_fenced();
        if can_run {
            return Ok(());
        }
        Err(RequestError::not_run(ErrorCode::NotReady)
            .retry_after_ms(NOT_READY_RETRY_MS))
    }

    /// Refuses an attempt for a model that is not loaded, or for a service that
    /// is not served here.
    pub(super) fn check_resource_available(
        &self,
        run: &Run,
    ) -> Result<(), RequestError> {
        if !run.service.is_empty() {
            return self.check_service(&run.service);
        }
        let available = self.is_engine() && self.serves_model(&run.model, run.version);
        if available {
            return Ok(());
        }
        Err(RequestError::not_run(ErrorCode::NotHeld))
    }

    fn check_service(&self, service: &str) -> Result<(), RequestError> {
        let spec = self.config().and_then(|config| config.service(service));
        if spec.is_some_and(|spec| spec.pool == self.options.pool) {
            return Ok(());
        }
        Err(RequestError::not_run(ErrorCode::UnknownService))
    }

    /// Whether a version of a model is loaded and not about to be unloaded.
    ///
    /// The upstream chooses among its accelerators. While one of several copies
    /// is to be unloaded, no new work is accepted for any of them; otherwise
    /// the unload would wait for as long as work arrives.
    fn serves_model(&self, model: &str, version: u32) -> bool {
        if self.orders.is_unload_pending(model, version) {
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

    /// Maximum number of attempts in progress at once.
    pub(super) fn max_in_flight(&self) -> u32 {
        match self.pool() {
            Some(pool) if pool.is_engine => self.concurrency_limit.limit(),
            Some(pool) => pool.concurrent_max.max(1),
            None => 0,
        }
    }

    /// Adjusts the concurrency limit to the engine's step time.
    pub(super) fn adjust_concurrency_limit(&mut self, step_us: u32) {
        let full = self.attempts.in_flight() >= self.max_in_flight();
        let target_us = self.target_between_tokens_us();
        self.concurrency_limit.observe(step_us, target_us, full);
    }

    /// Shortest target time between tokens, in microseconds, of the interactive
    /// profiles whose models the engine has loaded; 0 if there is none.
    fn target_between_tokens_us(&self) -> u64 {
        let Some(config) = self.config() else {
            return 0;
        };
        let is_loaded = |model: &ModelId| {
            let mut residents = self.ledger.residents();
            residents
                .any(|resident| resident.loaded && resident.placement.model == *model)
        };
        let targets_us = config
            .profiles()
            .filter(|profile| profile.kind == ProfileKind::Interactive)
            .filter(|profile| profile.between_tokens_ms > 0)
            .filter(|profile| profile.models.iter().any(is_loaded))
            .map(|profile| u64::from(profile.between_tokens_ms) * 1_000);
        targets_us.min().unwrap_or(0)
    }

    /// Refuses an attempt while all slots are taken, or while an exclusive run
    /// is in progress or waits.
    fn check_slot_available(
        &self,
        now: Instant,
        run: &Run,
    ) -> Result<(), RequestError> {
        if self.attempts.any_exclusive() {
            return Err(self.gate_full_error());
        }
        if run.alone {
            return self.check_exclusive(now, run);
        }
        if self.attempts.in_flight() < self.max_in_flight() {
            return Ok(());
        }
        Err(self.gate_full_error())
    }

    /// Error for an attempt that finds no free slot; its retry delay is the
    /// predicted time until one is free.
    pub(super) fn gate_full_error(&self) -> RequestError {
        let slots = u64::from(self.max_in_flight().max(1));
        let retry_ms = match self.upstream.service_ms() {
            0 => SLOTS_FULL_RETRY_MS,
            service_ms => (service_ms / slots).max(1),
        };
        RequestError::not_run(ErrorCode::GateFull).retry_after_ms(retry_ms)
    }

    /// Refuses an attempt that is predicted to start only after its deadline.
    fn check_deadline(&self, run: &Run) -> Result<(), RequestError> {
        if run.remaining_ms > self.predicted_wait_ms() {
            return Ok(());
        }
        Err(RequestError::not_run(ErrorCode::DeadlineBeforeRun))
    }

    /// Predicted time until the upstream has processed its current queue.
    pub(super) fn predicted_wait_ms(&self) -> u64 {
        let slots = u64::from(self.max_in_flight().max(1));
        u64::from(self.upstream.waiting()) * self.upstream.service_ms() / slots
    }

    /// Builds the load report that frames to the entries carry.
    ///
    /// During an exclusive run no slot is available. Entries that saw the usual
    /// maximum would keep sending work that is then refused.
    pub(super) fn load_report(&self, now: Instant) -> Load {
        let running_max = match self.attempts.any_exclusive() {
            true => 0,
            false => self.max_in_flight(),
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
