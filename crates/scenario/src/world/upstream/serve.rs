//! What upstreams do with the requests they are given.

use base::prelude::*;
use role::agent::UpstreamEvent;

use super::super::World;
use super::super::caller::{service_answer, token};
use super::super::queue::{HandOver, Happening, Start};
use super::Running;

/// Time a plain service works on a call.
const SERVICE_MS: u64 = 50;

/// Time until an engine that a request killed is back.
const CRASH_RESTART_MS: u64 = 1_000;

impl World<'_> {
    /// A request reaches an upstream.
    pub(crate) fn hand_over(&mut self, hand_over: HandOver) {
        let HandOver {
            process,
            start,
            instance,
            attempt,
            run,
        } = hand_over;
        let Some(upstream) = self.upstreams.get_mut(&instance) else {
            return;
        };
        if !upstream.up || !upstream.serves(&run) {
            let event = UpstreamEvent::Failed {
                attempt,
                ran: RunStatus::NotRun,
                status: 503,
                broken: false,
            };
            self.tell_agent(&process, start, event, String::new());
            return;
        }
        let body = String::from_utf8_lossy(&run.body).into_owned();
        upstream.handed += 1;
        *upstream.runs.entry(body.clone()).or_default() += 1;
        if !run.idempotent && !run.idempotency_key.is_empty() {
            let key = (run.caller.clone(), run.idempotency_key.clone());
            *upstream.keyed.entry(key).or_default() += 1;
        }
        if upstream.failures > 0 {
            if upstream.failures < u32::MAX {
                upstream.failures -= 1;
            }
            self.callers.ran(attempt);
            self.log(&instance, &format!("upstream fails attempt {attempt}"));
            let event = UpstreamEvent::Failed {
                attempt,
                ran: RunStatus::Ran,
                status: 500,
                broken: false,
            };
            self.tell_agent(&process, start, event, String::new());
            return;
        }
        let engine = upstream.engine;
        let produced = run.resume_offset;
        upstream.attempts.push(Running {
            process: process.clone(),
            start,
            attempt,
            run,
            body: body.clone(),
            produced,
        });
        self.callers.ran(attempt);
        self.log(
            &instance,
            &format!("upstream runs {body} as attempt {attempt}"),
        );
        let started = UpstreamEvent::Started { attempt };
        self.tell_agent(&process, start, started, String::new());
        if engine {
            self.plan_step(&instance);
        } else {
            let done = Happening::ServiceDone { instance, attempt };
            self.queue.add(self.now.plus_ms(SERVICE_MS), done);
        }
    }

    fn plan_step(&mut self, instance: &str) {
        let Some(upstream) = self.upstreams.get_mut(instance) else {
            return;
        };
        if upstream.stepping || upstream.attempts.is_empty() {
            return;
        }
        upstream.stepping = true;
        let step = Duration::from_micros(upstream.step_us * upstream.slow);
        let happening = Happening::EngineStep {
            instance: instance.to_owned(),
            run: upstream.run,
        };
        self.queue.add(self.now + step, happening);
    }

    /// One step of an engine: each request in the batch gets a token.
    pub(crate) fn engine_step(&mut self, instance: &str, run: u64) {
        let bodies = std::mem::take(&mut self.crash_bodies);
        let Some(upstream) = self.upstreams.get_mut(instance) else {
            return;
        };
        if upstream.run != run || !upstream.up {
            self.crash_bodies = bodies;
            return;
        }
        upstream.stepping = false;
        let places = upstream.places;
        let batch = upstream.attempts.iter().take(places);
        let kills = batch.into_iter().any(|r| bodies.contains(&r.body));
        self.crash_bodies = bodies;
        if kills {
            self.crash(instance, CRASH_RESTART_MS);
            return;
        }
        let mut told = Vec::new();
        for running in upstream.attempts.iter_mut().take(places) {
            let total = u64::from(running.run.tokens_max);
            let to = (running.process.clone(), running.start);
            let attempt = running.attempt;
            if running.produced < total {
                let version = running.run.version;
                let payload = token(&running.body, version, running.produced);
                running.produced += 1;
                told.push((to.clone(), part(attempt, 1), payload));
            }
            if running.produced >= total {
                told.push((to, done(attempt), String::new()));
            }
        }
        upstream
            .attempts
            .retain(|r| r.produced < u64::from(r.run.tokens_max));
        for ((process, start), event, payload) in told {
            self.tell_agent(&process, start, event, payload);
        }
        self.plan_step(instance);
    }

    pub(crate) fn service_done(&mut self, instance: &str, attempt: AttemptId) {
        let Some(upstream) = self.upstreams.get_mut(instance) else {
            return;
        };
        let at = upstream.attempts.iter().position(|r| r.attempt == attempt);
        let Some(at) = at else {
            return;
        };
        let running = upstream.attempts.remove(at);
        let answer = service_answer(&running.body);
        let units = answer.len() as u32;
        let (process, start) = (running.process, running.start);
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
        self.tell_agent(&process, start, event, answer);
        self.tell_agent(&process, start, done(attempt), String::new());
    }

    /// An agent closes its connection for an attempt.
    pub(crate) fn stop_attempt(&mut self, process: &str, attempt: AttemptId) {
        let Some(node) = self.agents.get(process) else {
            return;
        };
        let upstream = self.upstreams.get_mut(&node.instance);
        if let Some(upstream) = upstream.filter(|upstream| upstream.engine) {
            upstream.attempts.retain(|r| r.attempt != attempt);
        }
    }

    /// An agent is gone: an engine stops what it ran for it, while a plain
    /// service finishes its calls and finds nobody to answer.
    pub(crate) fn agent_connections_end(&mut self, instance: &str, start: Start) {
        let upstream = self.upstreams.get_mut(instance);
        if let Some(upstream) = upstream.filter(|upstream| upstream.engine) {
            upstream.attempts.retain(|r| r.start != start);
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
