//! Work that an event causes outside the lock under which it was handled.

use base::prelude::*;
use std::collections::BTreeSet;

use super::EntryAction;
use super::control::{Effects, PlanJob};
use super::requests::Dispatched;
use super::resolve::Resource;
use super::role::EntryRole;
use super::shared::FollowUps;

/// Requests of one queue tried when an agent may have capacity for it.
const WAKE_SCAN_MAX: usize = 256;

/// Requests of one queue that can't be sent before a wake-up gives up on the rest.
const BLOCKED_MAX: usize = 16;

/// Requests of one queue tried at each heartbeat.
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
            // Another entry may be the one that plans the model's cell.
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
            let done = job.run();
            self.with_control(|control| control.planned(done, &self.shared, out));
        }
    }

    /// Queues to try: those named, and those of models that the agents with
    /// capacity can serve. Services are always included.
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

    /// Tries to send the requests of a queue in order.
    ///
    /// At each heartbeat the queue is tried beyond its blocked head: a request behind
    /// it that can no longer meet its deadline is refused now, and not only when the
    /// deadline passes.
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
