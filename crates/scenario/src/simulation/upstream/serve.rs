//! Requests at a fake upstream.

use base::prelude::*;
use role::agent::UpstreamEvent;

use super::super::Simulation;
use super::super::caller::{service_response, token};
use super::super::event_queue::{AttemptStart, ProcessIncarnation, SimEvent};
use super::RunningAttempt;

/// Duration of a call to a plain service.
const SERVICE_CALL_MS: u64 = 50;

/// Time until an engine that a request crashed runs again.
const RESTART_AFTER_CRASH_MS: u64 = 1_000;

impl Simulation<'_> {
    /// Handles the arrival of an attempt at an upstream.
    pub(crate) fn attempt_arrives(&mut self, attempt_start: AttemptStart) {
        let AttemptStart {
            process,
            incarnation,
            instance,
            attempt,
            run,
        } = attempt_start;
        let Some(upstream) = self.upstreams.get_mut(&instance) else {
            return;
        };
        if !upstream.up || !upstream.can_serve(&run) {
            let event = UpstreamEvent::Failed {
                attempt,
                ran: RunStatus::NotRun,
                status: 503,
                broken: false,
            };
            self.notify_agent(&process, incarnation, event, String::new());
            return;
        }
        let body = String::from_utf8_lossy(&run.body).into_owned();
        upstream.requests_received += 1;
        *upstream.runs_by_body.entry(body.clone()).or_default() += 1;
        if !run.idempotent && !run.idempotency_key.is_empty() {
            let key = (run.caller.clone(), run.idempotency_key.clone());
            *upstream.runs_by_key.entry(key).or_default() += 1;
        }
        if upstream.requests_to_fail > 0 {
            if upstream.requests_to_fail < u32::MAX {
                upstream.requests_to_fail -= 1;
            }
            self.callers.count_run(attempt);
            self.log(&instance, &format!("upstream fails attempt {attempt}"));
            let event = UpstreamEvent::Failed {
                attempt,
                ran: RunStatus::Ran,
                status: 500,
                broken: false,
            };
            self.notify_agent(&process, incarnation, event, String::new());
            return;
        }
        let is_engine = upstream.is_engine;
        let units_produced = run.resume_offset;
        upstream.attempts.push(RunningAttempt {
            process: process.clone(),
            incarnation,
            attempt,
            run,
            body: body.clone(),
            units_produced,
        });
        self.callers.count_run(attempt);
        self.log(
            &instance,
            &format!("upstream runs {body} as attempt {attempt}"),
        );
        let started = UpstreamEvent::Started { attempt };
        self.notify_agent(&process, incarnation, started, String::new());
        if is_engine {
            self.schedule_step(&instance);
        } else {
            let done = SimEvent::ServiceCallCompletes { instance, attempt };
            self.events
                .schedule(self.now.plus_ms(SERVICE_CALL_MS), done);
        }
    }

    fn schedule_step(&mut self, instance: &str) {
        let Some(upstream) = self.upstreams.get_mut(instance) else {
            return;
        };
        if upstream.step_scheduled || upstream.attempts.is_empty() {
            return;
        }
        upstream.step_scheduled = true;
        let step = Duration::from_micros(upstream.step_us * upstream.step_time_factor);
        let sim_event = SimEvent::EngineStep {
            instance: instance.to_owned(),
            upstream_incarnation: upstream.incarnation,
        };
        self.events.schedule(self.now + step, sim_event);
    }

    /// Finishes a step of an engine: each request in the batch gets one token.
    pub(crate) fn engine_step(&mut self, instance: &str, upstream_incarnation: u64) {
        let bodies = std::mem::take(&mut self.crash_bodies);
        let Some(upstream) = self.upstreams.get_mut(instance) else {
            return;
        };
        if upstream.incarnation != upstream_incarnation || !upstream.up {
            self.crash_bodies = bodies;
            return;
        }
        upstream.step_scheduled = false;
        let slots = upstream.slots;
        let batch = upstream.attempts.iter().take(slots);
        let crashes = batch.into_iter().any(|r| bodies.contains(&r.body));
        self.crash_bodies = bodies;
        if crashes {
            self.crash(instance, RESTART_AFTER_CRASH_MS);
            return;
        }
        let mut notifications = Vec::new();
        for running in upstream.attempts.iter_mut().take(slots) {
            let total = u64::from(running.run.tokens_max);
            let to = (running.process.clone(), running.incarnation);
            let attempt = running.attempt;
            if running.units_produced < total {
                let version = running.run.version;
                let payload = token(&running.body, version, running.units_produced);
                running.units_produced += 1;
                notifications.push((to.clone(), part(attempt, 1), payload));
            }
            if running.units_produced >= total {
                notifications.push((to, done(attempt), String::new()));
            }
        }
        upstream
            .attempts
            .retain(|r| r.units_produced < u64::from(r.run.tokens_max));
        for ((process, incarnation), event, payload) in notifications {
            self.notify_agent(&process, incarnation, event, payload);
        }
        self.schedule_step(instance);
    }

    pub(crate) fn service_call_completes(
        &mut self,
        instance: &str,
        attempt: AttemptId,
    ) {
        let Some(upstream) = self.upstreams.get_mut(instance) else {
            return;
        };
        let at = upstream.attempts.iter().position(|r| r.attempt == attempt);
        let Some(at) = at else {
            return;
        };
        let running = upstream.attempts.remove(at);
        let answer = service_response(&running.body);
        let units = answer.len() as u32;
        let (process, incarnation) = (running.process, running.incarnation);
        let run = &running.run;
        let event = if run.idempotent || run.idempotency_key.is_empty() {
            part(attempt, units)
        } else {
            UpstreamEvent::KeyedAnswerPart {
                attempt,
                units,
                payload: answer.clone().into_bytes(),
            }
        };
        self.notify_agent(&process, incarnation, event, answer);
        self.notify_agent(&process, incarnation, done(attempt), String::new());
    }

    /// Closes an agent's connection for an attempt. An engine cancels the attempt.
    pub(crate) fn stop_attempt(&mut self, process: &str, attempt: AttemptId) {
        let Some(proc) = self.agents.get(process) else {
            return;
        };
        let upstream = self.upstreams.get_mut(&proc.instance);
        if let Some(upstream) = upstream.filter(|upstream| upstream.is_engine) {
            upstream.attempts.retain(|r| r.attempt != attempt);
        }
    }

    /// Closes the connections of an agent that has ended. An engine cancels the
    /// attempts it ran for the agent; a plain service completes its calls, but
    /// their answers reach nobody.
    pub(crate) fn cancel_attempts_of_agent(
        &mut self,
        instance: &str,
        incarnation: ProcessIncarnation,
    ) {
        let upstream = self.upstreams.get_mut(instance);
        if let Some(upstream) = upstream.filter(|upstream| upstream.is_engine) {
            upstream.attempts.retain(|r| r.incarnation != incarnation);
        }
    }
}

fn part(attempt: AttemptId, units: u32) -> UpstreamEvent {
    UpstreamEvent::AnswerPart { attempt, units }
}

fn done(attempt: AttemptId) -> UpstreamEvent {
    UpstreamEvent::Done {
        attempt,
        status: 200,
        content_type: "application/json".into(),
    }
}
