//! The machine itself: who is told of an event, under which lock.

use base::prelude::*;
use conf::Config;
use parking_lot::{Mutex, RwLock};
use schema::link::frame;
use schema::timeline::EventKind;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use super::control::{Control, Effects};
use super::counters::Counts;
use super::requests::{Part, PartOutcome, Placed, Requests, attempt_of};
use super::shared::{Ctx, Later, Shared};
use super::trace::Note;
use super::wanted::Wanted;
use super::{Arrival, EntryAction, EntryEvent, EntryOptions};
use crate::Peer;

/// Shards at most, so that sequences keep room for counting.
const SHARDS_MAX: usize = 256;

/// Requests of one queue looked at when something wakes it.
const WAKE_MAX: usize = 256;

/// Requests of one queue that can't be sent before the rest is left alone.
const STUCK_MAX: usize = 16;

/// Rounds in which what follows from an event is carried out; the rest waits
/// for the next heartbeat.
const ROUNDS_MAX: usize = 8;

/// The entry's machine.
///
/// [`EntryRole::handle`] may be called from any thread. Locks are taken in the
/// order control part, shard, shared state; no two shards are locked at once.
#[derive(Debug)]
pub struct EntryRole {
    pub(super) shared: Shared,
    pub(super) control: RwLock<Control>,
    pub(super) shards: Vec<Mutex<Requests>>,
    next: AtomicU64,
}

impl EntryRole {
    /// Starts the machine; its first actions ask the platform for the
    /// configuration and connect to peers.
    pub fn new(
        options: EntryOptions,
        now: Instant,
        out: &mut Vec<EntryAction>,
    ) -> Self {
        let count = options.shards.clamp(1, SHARDS_MAX).next_power_of_two();
        let bits = count.trailing_zeros();
        let (origin, seed) = (options.incarnation.0, options.seed);
        let shards = (0..count as u64)
            .map(|shard| Mutex::new(Requests::new(shard, bits, origin, seed)))
            .collect();
        Self {
            control: RwLock::new(Control::new(&options, now, out)),
            shared: Shared::new(options),
            shards,
            next: AtomicU64::new(1),
        }
    }

    /// Takes an event and adds the actions it calls for.
    pub fn handle(&self, now: Instant, event: EntryEvent, out: &mut Vec<EntryAction>) {
        match event {
            EntryEvent::Tick => self.tick(now, out),
            EntryEvent::Arrive(arrival) => self.arrive(now, arrival, out),
            EntryEvent::CallerGone { request } => {
                self.in_shard(now, request.sequence, out, |shard, ctx| {
                    shard.caller_gone(ctx, request);
                });
            }
            EntryEvent::LinkUp { peer, incarnation } => {
                self.in_control(now, out, |control, out, effects| {
                    control.link_up(now, peer, incarnation, out, effects);
                });
            }
            EntryEvent::LinkDown { peer } => {
                self.in_control(now, out, |control, out, effects| {
                    control.link_down(now, &peer, out, effects);
                });
            }
            EntryEvent::Frame {
                peer,
                revision,
                body,
            } => self.frame(now, &peer, revision, body, out),
            EntryEvent::Part {
                agent,
                attempt,
                offset,
                units,
            } => {
                let part = Part {
                    agent: &agent,
                    attempt,
                    offset,
                    units,
                };
                self.part(now, &part, out);
            }
            EntryEvent::Platform(answer) => {
                self.in_control(now, out, |control, out, effects| {
                    control.answered(now, &self.shared, answer, out, effects);
                });
            }
            EntryEvent::Drain => {
                self.control.write().drain(now, &self.shared, out);
            }
        }
        self.leave_if_empty(now, out);
    }

    /// When the machine wants its next `Tick`.
    pub fn due(&self) -> Option<Instant> {
        let control = self.control.read().due();
        let shards = self.shards.iter().map(|shard| shard.lock().due());
        shards.chain([control]).flatten().min()
    }

    /// A name for the next request.
    pub fn next_request(&self) -> RequestId {
        RequestId {
            origin: self.shared.options.incarnation.0,
            sequence: self.next.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// Configuration in force.
    pub fn config(&self) -> Option<Arc<Config>> {
        self.control.read().config().cloned()
    }

    /// Revision in force; 0 for none.
    pub fn revision(&self) -> Revision {
        self.control.read().log.revision()
    }

    fn shard(&self, sequence: u64) -> &Mutex<Requests> {
        let mask = self.shards.len() as u64 - 1;
        let index = usize::try_from(sequence & mask);
        &self.shards[index.expect("shards number at most 256")]
    }

    /// Does something in the shard of a sequence, then what follows from it.
    fn in_shard<T>(
        &self,
        now: Instant,
        sequence: u64,
        out: &mut Vec<EntryAction>,
        work: impl FnOnce(&mut Requests, &mut Ctx<'_>) -> T,
    ) -> T {
        let mut later = Later::default();
        let done = self.in_shard_only(now, sequence, out, &mut later, work);
        self.follow(now, later, out);
        done
    }

    fn in_shard_only<T>(
        &self,
        now: Instant,
        sequence: u64,
        out: &mut Vec<EntryAction>,
        later: &mut Later,
        work: impl FnOnce(&mut Requests, &mut Ctx<'_>) -> T,
    ) -> T {
        let control = self.control.read();
        let mut shard = self.shard(sequence).lock();
        let mut ctx = Ctx {
            now,
            shared: &self.shared,
            control: &control,
            out,
            later,
        };
        work(&mut shard, &mut ctx)
    }

    /// Does something in the control part, then what follows from it.
    fn in_control(
        &self,
        now: Instant,
        out: &mut Vec<EntryAction>,
        work: impl FnOnce(&mut Control, &mut Vec<EntryAction>, &mut Effects),
    ) {
        let mut effects = Effects::default();
        {
            let mut control = self.control.write();
            work(&mut control, out, &mut effects);
        }
        self.carry_out(now, effects, out);
    }

    fn carry_out(&self, now: Instant, effects: Effects, out: &mut Vec<EntryAction>) {
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
        }
        self.follow(now, later, out);
    }

    /// Carries out what could not be done under a shard's lock.
    fn follow(&self, now: Instant, mut later: Later, out: &mut Vec<EntryAction>) {
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
                self.wake(now, &wanted, out, &mut later);
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
        let mut control = self.control.write();
        if work.plan {
            control.plan_soon(now, &self.shared, out);
        }
        // The planner of the model's cell may be another entry.
        control.gossip_now(now, &self.shared, out);
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
    fn wake(
        &self,
        now: Instant,
        wanted: &Wanted,
        out: &mut Vec<EntryAction>,
        later: &mut Later,
    ) {
        let places = self.shared.waiting.lock().first(wanted, WAKE_MAX);
        let mut stuck = 0;
        for place in places {
            let sequence = place.request.sequence;
            let placed = self.in_shard_only(now, sequence, out, later, |shard, ctx| {
                shard.try_waiting(ctx, place.request)
            });
            stuck += usize::from(placed == Placed::Waits);
            if stuck >= STUCK_MAX {
                break;
            }
        }
    }

    fn tick(&self, now: Instant, out: &mut Vec<EntryAction>) {
        let control_due = self.control.read().due();
        if control_due.is_some_and(|at| at <= now) {
            self.in_control(now, out, |control, out, effects| {
                control.tick(now, &self.shared, out, effects);
            });
        }
        let mut later = Later::default();
        for index in 0..self.shards.len() as u64 {
            self.in_shard_only(now, index, out, &mut later, |shard, ctx| {
                shard.tick(ctx);
            });
        }
        self.follow(now, later, out);
    }

    fn arrive(&self, now: Instant, arrival: Box<Arrival>, out: &mut Vec<EntryAction>) {
        Counts::add(&self.shared.counts.arrived);
        let id = arrival.request;
        let mut later = Later::default();
        {
            let control = self.control.read();
            let mut ctx = Ctx {
                now,
                shared: &self.shared,
                control: &control,
                out,
                later: &mut later,
            };
            match super::accept::accept(&mut ctx, arrival) {
                Ok(request) => self.shard(id.sequence).lock().start(&mut ctx, request),
                Err(refusal) => self.turn_away(id, refusal, out),
            }
        }
        self.follow(now, later, out);
    }

    /// Refuses a request that was never in progress.
    fn turn_away(&self, id: RequestId, refusal: Refusal, out: &mut Vec<EntryAction>) {
        self.shared.counts.refused(refusal.code);
        Note::new(
            EventKind::RequestFailed,
            format!("turned away: {}", refusal.code),
        )
        .request(id)
        .code(refusal.code)
        .put(out);
        out.push(EntryAction::Refuse {
            request: id,
            refusal,
        });
    }

    fn part(&self, now: Instant, part: &Part<'_>, out: &mut Vec<EntryAction>) {
        let sequence = part.attempt.sequence;
        let outcome = {
            let mut shard = self.shard(sequence).lock();
            shard.part(now, &self.shared, part, out)
        };
        if outcome == PartOutcome::Gap {
            self.in_shard(now, sequence, out, |shard, ctx| {
                shard.gap(ctx, part.agent, part.attempt);
            });
        }
    }

    fn frame(
        &self,
        now: Instant,
        peer: &Peer,
        revision: Revision,
        body: frame::Body,
        out: &mut Vec<EntryAction>,
    ) {
        let behind = revision > self.control.read().log.revision();
        if behind {
            let mut control = self.control.write();
            control.heard_revision(now, peer, revision, out);
        }
        match (peer, body) {
            (Peer::Agent(agent), frame::Body::Started(started)) => {
                let attempt = attempt_of(started.attempt.as_ref());
                self.in_shard(now, attempt.sequence, out, |shard, ctx| {
                    shard.started(ctx, agent, attempt, started.load.as_ref());
                });
            }
            (Peer::Agent(agent), frame::Body::Refused(refused)) => {
                let sequence = attempt_of(refused.attempt.as_ref()).sequence;
                self.in_shard(now, sequence, out, |shard, ctx| {
                    shard.refused(ctx, agent, &refused);
                });
            }
            (Peer::Agent(agent), frame::Body::End(end)) => {
                let sequence = attempt_of(end.attempt.as_ref()).sequence;
                self.in_shard(now, sequence, out, |shard, ctx| {
                    shard.ended(ctx, agent, end);
                });
            }
            (Peer::Agent(agent), frame::Body::Revoked(revoked)) => {
                let sequence = attempt_of(revoked.attempt.as_ref()).sequence;
                self.in_shard(now, sequence, out, |shard, ctx| {
                    shard.revoked(ctx, agent, &revoked);
                });
            }
            (peer, body) => self.in_control(now, out, |control, out, effects| {
                control.frame(now, &self.shared, peer, body, out, effects);
            }),
        }
    }

    /// Ends a drained process once its last request has ended.
    fn leave_if_empty(&self, now: Instant, out: &mut Vec<EntryAction>) {
        if !self.control.read().leaving {
            return;
        }
        if self.shards.iter().all(|shard| shard.lock().len() == 0) {
            self.control.write().leave(now, &self.shared, out);
        }
    }
}
