//! The machine itself: who is told of an event, under which lock.

use base::prelude::*;
use conf::Config;
use parking_lot::{Mutex, RwLock};
use schema::link::frame;
use schema::timeline::EventKind;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use super::control::{Control, Effects};
use super::counters::Counts;
use super::requests::{Part, PartOutcome, Requests, attempt_of};
use super::shared::{Ctx, Later, Shared};
use super::trace::Note;
use super::{EntryAction, EntryEvent, EntryOptions, IncomingRequest};
use crate::Peer;

/// Shards at most, so that sequences keep room for counting.
const SHARDS_MAX: usize = 256;

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
    /// When the control part, and then each shard, is due, in microseconds.
    ///
    /// The driver asks after each event. Asking the parts themselves would take
    /// every lock for each frame that comes.
    dues: Vec<AtomicU64>,
    /// When an event means that the process stood still, in microseconds.
    freeze_at: AtomicU64,
}

/// A part that is never due.
const NEVER_US: u64 = u64::MAX;

fn store_due(held: &AtomicU64, due: Option<Instant>) {
    let us = due.map_or(NEVER_US, Instant::as_us);
    held.store(us, Ordering::Release);
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
        let control = Control::new(&options, now, out);
        let dues: Vec<AtomicU64> =
            (0..=count).map(|_| AtomicU64::new(NEVER_US)).collect();
        let freeze_at = AtomicU64::new(NEVER_US);
        store_due(&dues[0], control.due());
        store_due(&freeze_at, control.freeze_at());
        Self {
            control: RwLock::new(control),
            shared: Shared::new(options),
            shards,
            next: AtomicU64::new(1),
            dues,
            freeze_at,
        }
    }

    /// Takes an event and adds the actions it calls for.
    pub fn handle(&self, now: Instant, event: EntryEvent, out: &mut Vec<EntryAction>) {
        if self.freeze_at.load(Ordering::Acquire) <= now.as_us() {
            self.with_control(|control| control.wake(now));
        }
        match event {
            EntryEvent::Tick => self.tick(now, out),
            EntryEvent::RequestReceived(arrival) => self.arrive(now, arrival, out),
            EntryEvent::CallerDisconnected { request } => {
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
            EntryEvent::AnswerPart {
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
            EntryEvent::PlatformAnswered(answer) => {
                self.in_control(now, out, |control, out, effects| {
                    control.answered(now, &self.shared, answer, out, effects);
                });
            }
            EntryEvent::Drain => {
                self.with_control(|control| control.drain(now, &self.shared, out));
            }
        }
        self.leave_if_empty(now, out);
    }

    /// When the machine wants its next `Tick`.
    pub fn due(&self) -> Option<Instant> {
        let dues = self.dues.iter().map(|held| held.load(Ordering::Acquire));
        let first = dues.min().filter(|us| *us != NEVER_US);
        first.map(Instant::from_us)
    }

    /// A name for the next request.
    pub fn next_request_id(&self) -> RequestId {
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

    fn index(&self, sequence: u64) -> usize {
        let mask = self.shards.len() as u64 - 1;
        let index = usize::try_from(sequence & mask);
        index.expect("shards number at most 256")
    }

    /// Locks the shard of a sequence; what it is due for is kept afterwards.
    fn with_shard<T>(&self, sequence: u64, work: impl FnOnce(&mut Requests) -> T) -> T {
        let index = self.index(sequence);
        let mut shard = self.shards[index].lock();
        let done = work(&mut shard);
        // Under the lock, so that an older word never replaces a newer.
        store_due(&self.dues[index + 1], shard.due());
        done
    }

    /// Changes the control part; what it is due for is kept afterwards.
    pub(super) fn with_control<T>(&self, work: impl FnOnce(&mut Control) -> T) -> T {
        let mut control = self.control.write();
        let done = work(&mut control);
        store_due(&self.dues[0], control.due());
        store_due(&self.freeze_at, control.freeze_at());
        done
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

    pub(super) fn in_shard_only<T>(
        &self,
        now: Instant,
        sequence: u64,
        out: &mut Vec<EntryAction>,
        later: &mut Later,
        work: impl FnOnce(&mut Requests, &mut Ctx<'_>) -> T,
    ) -> T {
        let control = self.control.read();
        let mut ctx = Ctx {
            now,
            shared: &self.shared,
            control: &control,
            out,
            later,
        };
        self.with_shard(sequence, |shard| work(shard, &mut ctx))
    }

    /// Does something in the control part, then what follows from it.
    fn in_control(
        &self,
        now: Instant,
        out: &mut Vec<EntryAction>,
        work: impl FnOnce(&mut Control, &mut Vec<EntryAction>, &mut Effects),
    ) {
        let mut effects = Effects::default();
        self.with_control(|control| work(control, out, &mut effects));
        self.carry_out(now, effects, out);
    }

    fn tick(&self, now: Instant, out: &mut Vec<EntryAction>) {
        if self.dues[0].load(Ordering::Acquire) <= now.as_us() {
            self.in_control(now, out, |control, out, effects| {
                control.tick(now, &self.shared, out, effects);
            });
        }
        let mut later = Later::default();
        for index in 0..self.shards.len() {
            if self.dues[index + 1].load(Ordering::Acquire) > now.as_us() {
                continue;
            }
            self.in_shard_only(now, index as u64, out, &mut later, |shard, ctx| {
                shard.tick(ctx);
            });
        }
        self.follow(now, later, out);
    }

    fn arrive(
        &self,
        now: Instant,
        arrival: Box<IncomingRequest>,
        out: &mut Vec<EntryAction>,
    ) {
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
                Ok(request) => {
                    self.with_shard(id.sequence, |shard| {
                        shard.start(&mut ctx, request);
                    });
                }
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
        // A part sets no timer.
        let outcome = {
            let mut shard = self.shards[self.index(sequence)].lock();
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
            self.with_control(|control| {
                control.heard_revision(now, peer, revision, out);
            });
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
            self.with_control(|control| control.leave(now, &self.shared, out));
        }
    }
}
