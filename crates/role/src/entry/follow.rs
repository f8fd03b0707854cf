//! What follows from an event beyond the lock under which it was taken in.

use base::prelude::*;
use std::collections::BTreeSet;

use super::EntryAction;
use super::control::{Effects, PlanJob};
use super::requests::Placed;
use super::role::EntryRole;
use super::shared::Later;
use super::wanted::Wanted;

/// Requests of one queue looked at when something wakes it.
const WAKE_MAX: usize = 256;

/// Requests of one queue that can't be sent before the rest is left alone.
const STUCK_MAX: usize = 16;

/// Requests of one queue looked at with each heartbeat.
const LOOK_MAX: usize = 4_096;

/// Rounds in which what follows from an event is carried out; the rest waits
/// for the next heartbeat.
const ROUNDS_MAX: usize = 8;

impl EntryRole {
    pub(super) fn carry_out(
        &self,
        now: Instant,
        effects: Effects,
        out: &mut Vec<EntryAction>,
    ) {
        self.plan(effects.plan, out);
        let mut later = Later {
            room: effects.room,
            ..Later::default()
        };
        for (agent, why) in &effects.gone {
            for index in 0..self.shards.len() as u64 {
                self.in_shard_only(now, index, out, &mut later, |shard, ctx| {
                    shard.agent_gone(ctx, agent, *why);
                });
            }
        }
        if effects.wake_all {
            later.wake.extend(self.shared.waiting.lock().wanted());
            later.whole = true;
        }
        self.follow(now, later, out);
    }

    /// Carries out what could not be done under a shard's lock.
    pub(super) fn follow(
        &self,
        now: Instant,
        mut later: Later,
        out: &mut Vec<EntryAction>,
    ) {
        for _ in 0..ROUNDS_MAX {
            let work = std::mem::take(&mut later);
            self.follow_in_control(now, &work, out);
            for request in &work.evicted {
                let sequence = request.sequence;
                self.in_shard_only(now, sequence, out, &mut later, |shard, ctx| {
                    shard.evicted(ctx, *request);
                });
            }
            for wanted in self.queues_to_wake(&work) {
                self.wake(now, &wanted, work.whole, out, &mut later);
            }
            if later.is_empty() {
                break;
            }
        }
    }

    fn follow_in_control(
        &self,
        now: Instant,
        work: &Later,
        out: &mut Vec<EntryAction>,
    ) {
        if !work.plan && !work.gossip {
            return;
        }
        let job = self.with_control(|control| {
            // The planner of the model's cell may be another entry.
            control.gossip_now(now, &self.shared, out);
            work.plan
                .then(|| control.plan_soon(now, &self.shared))
                .flatten()
        });
        self.plan(job, out);
    }

    /// Runs a round of planning; nobody waits for a lock meanwhile.
    fn plan(&self, job: Option<PlanJob>, out: &mut Vec<EntryAction>) {
        if let Some(job) = job {
            let done = job.run();
            self.with_control(|control| control.planned(done, &self.shared, out));
        }
    }

    /// Queues that may go on: those named, and those of what the agents with
    /// room can serve.
    fn queues_to_wake(&self, work: &Later) -> BTreeSet<Wanted> {
        let mut queues = work.wake.clone();
        if work.room.is_empty() {
            return queues;
        }
        let waited_for = self.shared.waiting.lock().wanted();
        if waited_for.is_empty() {
            return queues;
        }
        let control = self.control.read();
        let served = waited_for.into_iter().filter(|wanted| match wanted {
            Wanted::Service(_) => true,
            Wanted::Model(model) => work.room.iter().any(|id| {
                let agent = control.directory.get(id);
                agent.is_some_and(|agent| agent.serves(model.as_str()).is_some())
            }),
        });
        queues.extend(served);
        queues
    }

    /// Sends what waits in a queue, from its head, as long as it can be sent.
    ///
    /// With each heartbeat the whole queue is looked at, since what stands
    /// behind others that can't be sent may not be in time any more: it would
    /// be held to its deadline, and is to be refused now.
    fn wake(
        &self,
        now: Instant,
        wanted: &Wanted,
        whole: bool,
        out: &mut Vec<EntryAction>,
        later: &mut Later,
    ) {
        let count = if whole { LOOK_MAX } else { WAKE_MAX };
        let places = self.shared.waiting.lock().first(wanted, count);
        let mut stuck = 0;
        for place in places {
            let sequence = place.request.sequence;
            let placed = self.in_shard_only(now, sequence, out, later, |shard, ctx| {
                let ahead = u32::try_from(stuck).unwrap_or(u32::MAX);
                shard.try_waiting(ctx, place.request, ahead)
            });
            stuck += usize::from(placed == Placed::Waits);
            if stuck >= STUCK_MAX && !whole {
                break;
            }
        }
    }
}
