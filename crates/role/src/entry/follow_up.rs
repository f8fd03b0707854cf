//! Work that an event causes outside the lock under which it was handled.

use base::prelude::*;
use std::collections::BTreeSet;

use super::EntryAction;
use super::control::{Effects, PlanJob};
use super::requests::Dispatched;
use super::resolve::Resource;
use super::role::EntryRole;
use super::shared::FollowUps;

/// Number of requests at the head of a queue that are dispatched again when an agent
/// may have capacity for them.
const WAKE_SCAN_MAX: usize = 256;

/// Number of requests that still can't be sent after which the rest of the queue is
/// skipped.
const BLOCKED_MAX: usize = 16;

/// Number of requests at the head of a queue that are dispatched again at each
/// heartbeat.
const FULL_SCAN_MAX: usize = 4_096;

/// Rounds of follow-ups after one event. Whatever remains is done at the next
/// heartbeat.
const FOLLOW_UP_ROUNDS_MAX: usize = 8;

impl EntryRole {
    /// Applies the effects of a change of the control state on requests.
    pub(super) fn apply_effects(
        &self,
        now: Instant,
        effects: Effects,
        out: &mut Vec<EntryAction>,
    ) {
        self.plan(effects.plan, out);
        let mut follow_ups = FollowUps {
            agents_with_capacity: effects.agents_with_capacity,
            ..FollowUps::default()
        };
        for (agent, reason) in &effects.gone_agents {
            for index in 0..self.shards.len() as u64 {
                self.run_in_shard_deferring(
                    now,
                    index,
                    out,
                    &mut follow_ups,
                    |shard, ctx| {
                        shard.agent_gone(ctx, agent, *reason);
                    },
                );
            }
        }
        if effects.wake_all {
            follow_ups
                .wake
                .extend(self.shared.wait_queue.lock().resources());
            follow_ups.full_scan = true;
        }
        self.run_follow_ups(now, follow_ups, out);
    }

    /// Does the work that was deferred while a shard was locked.
    pub(super) fn run_follow_ups(
        &self,
        now: Instant,
        mut follow_ups: FollowUps,
        out: &mut Vec<EntryAction>,
    ) {
        for _ in 0..FOLLOW_UP_ROUNDS_MAX {
            let work = std::mem::take(&mut follow_ups);
            self.follow_up_in_control(now, &work, out);
            for request in &work.evicted {
                let sequence = request.sequence;
                self.run_in_shard_deferring(
                    now,
                    sequence,
                    out,
                    &mut follow_ups,
                    |shard, ctx| {
                        shard.evicted(ctx, *request);
                    },
                );
            }
            for resource in self.queues_to_wake(&work) {
                self.wake(now, &resource, work.full_scan, out, &mut follow_ups);
            }
            if follow_ups.is_empty() {
                break;
            }
        }
    }

    /// Sends gossip and plans, as far as the deferred work calls for it.
    fn follow_up_in_control(
        &self,
        now: Instant,
        work: &FollowUps,
        out: &mut Vec<EntryAction>,
    ) {
        if !work.plan && !work.gossip {
            return;
        }
        let job = self.with_control(|control| {
            // Also if only a plan is due: the entry that plans the model's cell may
            // be another one.
            control.request_gossip(now, &self.shared, out);
            work.plan
                .then(|| control.plan_soon(now, &self.shared))
                .flatten()
        });
        self.plan(job, out);
    }

    /// Runs a round of planning; no lock is held while the plan is computed.
    fn plan(&self, job: Option<PlanJob>, out: &mut Vec<EntryAction>) {
        if let Some(job) = job {
            let result = job.run();
            self.with_control(|control| control.apply_plan(result, &self.shared, out));
        }
    }

    /// Queues whose requests are dispatched again: those in `work.wake` and, if any
    /// agents have capacity, those of the models that they have loaded and of all
    /// services.
    fn queues_to_wake(&self, work: &FollowUps) -> BTreeSet<Resource> {
        let mut queues = work.wake.clone();
        if work.agents_with_capacity.is_empty() {
            return queues;
        }
        let awaited = self.shared.wait_queue.lock().resources();
        if awaited.is_empty() {
            return queues;
        }
        let control = self.control.read();
        let served = awaited.into_iter().filter(|resource| match resource {
            Resource::Service(_) => true,
            Resource::Model(model) => work.agents_with_capacity.iter().any(|id| {
                let agent = control.directory.get(id);
                agent
                    .is_some_and(|agent| agent.loaded_version(model.as_str()).is_some())
            }),
        });
        queues.extend(served);
        queues
    }

    /// Dispatches the first requests of a queue again, in order.
    ///
    /// At each heartbeat the queue is scanned beyond a head that can't be sent: a
    /// request behind it that can no longer meet its deadline is refused now, and not
    /// only when the deadline passes.
    fn wake(
        &self,
        now: Instant,
        resource: &Resource,
        full_scan: bool,
        out: &mut Vec<EntryAction>,
        follow_ups: &mut FollowUps,
    ) {
        let count = if full_scan {
            FULL_SCAN_MAX
        } else {
            WAKE_SCAN_MAX
        };
        let positions = self.shared.wait_queue.lock().head(resource, count);
        let mut blocked = 0;
        for position in positions {
            let sequence = position.request.sequence;
            let dispatched = self.run_in_shard_deferring(
                now,
                sequence,
                out,
                follow_ups,
                |shard, ctx| {
                    let ahead = u32::try_from(blocked).unwrap_or(u32::MAX);
                    shard.dispatch_waiting(ctx, position.request, ahead)
                },
            );
            blocked += usize::from(dispatched == Dispatched::Waiting);
            if blocked >= BLOCKED_MAX && !full_scan {
                break;
            }
        }
    }
}
