//! Dispatches events to the parts of the state machine, with their locking.

use base::prelude::*;
use conf::Config;
use parking_lot::{Mutex, RwLock};
use schema::link::frame;
use schema::timeline::EventKind;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use super::control::{Control, Effects};
use super::counters::Counts;
use super::requests::{AnswerPart, PartOutcome, Requests, decode_attempt_id};
use super::shared::{Ctx, FollowUps, Shared};
use super::timeline::TimelineEvent;
use super::{EntryAction, EntryEvent, EntryOptions, IncomingRequest};
use crate::Peer;

/// Bounds the shard bits in an attempt's sequence number, so that enough bits
/// remain for the counter.
const SHARDS_MAX: usize = 256;

/// The entry's state machine.
///
/// [`EntryRole::handle`] may be called from any thread. Locks are taken in the
/// order control state, shard, shared state; no two shards are locked at once.
#[derive(Debug)]
pub struct EntryRole {
    pub(super) shared: Shared,
    pub(super) control: RwLock<Control>,
    pub(super) shards: Vec<Mutex<Requests>>,
    next_sequence: AtomicU64,
    /// Next timer of the control state (index 0) and of each shard, in
    /// microseconds.
    ///
    /// The driver reads the earliest after each event. Without these copies that
    /// would take every lock for each received frame.
    due_times: Vec<AtomicU64>,
    /// Time, in microseconds, from which an event shows that the process was
    /// frozen; see `control::freeze`.
    freeze_threshold: AtomicU64,
}

/// No timer is set.
const NEVER_US: u64 = u64::MAX;

fn store_due(slot: &AtomicU64, due: Option<Instant>) {
    let us = due.map_or(NEVER_US, Instant::as_us);
    slot.store(us, Ordering::Release);
}

impl EntryRole {
    /// Creates the state machine. The first actions read the configuration from
    /// the platform, register the process there and connect to peers.
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
        let due_times: Vec<AtomicU64> =
            (0..=count).map(|_| AtomicU64::new(NEVER_US)).collect();
        let freeze_threshold = AtomicU64::new(NEVER_US);
        store_due(&due_times[0], control.due());
        store_due(&freeze_threshold, control.freeze_threshold());
        Self {
            control: RwLock::new(control),
            shared: Shared::new(options),
            shards,
            next_sequence: AtomicU64::new(1),
            due_times,
            freeze_threshold,
        }
    }

    /// Handles an event and appends the resulting actions to `out`.
    pub fn handle(&self, now: Instant, event: EntryEvent, out: &mut Vec<EntryAction>) {
        if self.freeze_threshold.load(Ordering::Acquire) <= now.as_us() {
            self.with_control(|control| control.detect_freeze(now));
        }
        match event {
            EntryEvent::Tick => self.tick(now, out),
            EntryEvent::RequestReceived(incoming) => {
                self.request_received(now, incoming, out);
            }
            EntryEvent::CallerDisconnected { request } => {
                self.run_in_shard(now, request.sequence, out, |shard, ctx| {
                    shard.caller_disconnected(ctx, request);
                });
            }
            EntryEvent::LinkUp { peer, incarnation } => {
                self.run_in_control(now, out, |control, out, effects| {
                    control.link_up(now, peer, incarnation, out, effects);
                });
            }
            EntryEvent::LinkDown { peer } => {
                self.run_in_control(now, out, |control, out, effects| {
                    control.link_down(now, &peer, out, effects);
                });
            }
            EntryEvent::Frame {
                peer,
                revision,
                body,
            } => self.frame_received(now, &peer, revision, body, out),
            EntryEvent::AnswerPart {
                agent,
                attempt,
                offset,
                units,
            } => {
                let part = AnswerPart {
                    agent: &agent,
                    attempt,
                    offset,
                    units,
                };
                self.answer_part_received(now, &part, out);
            }
            EntryEvent::PlatformAnswered(answer) => {
                self.run_in_control(now, out, |control, out, effects| {
                    control.platform_call_answered(
                        now,
                        &self.shared,
                        answer,
                        out,
                        effects,
                    );
                });
            }
            EntryEvent::Drain => {
                self.with_control(|control| control.drain(now, &self.shared, out));
            }
        }
        self.exit_if_drained(now, out);
    }

    /// When the driver has to send the next [`EntryEvent::Tick`].
    pub fn due(&self) -> Option<Instant> {
        let due_times = self.due_times.iter().map(|due| due.load(Ordering::Acquire));
        let first = due_times.min().filter(|us| *us != NEVER_US);
        first.map(Instant::from_us)
    }

    /// Allocates the id of the next request.
    pub fn next_request_id(&self) -> RequestId {
        RequestId {
            origin: self.shared.options.incarnation.0,
            sequence: self.next_sequence.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// The configuration in force.
    pub fn config(&self) -> Option<Arc<Config>> {
        self.control.read().config().cloned()
    }

    /// Revision of the configuration in force; 0 if there is none.
    pub fn revision(&self) -> Revision {
        self.control.read().config_log.revision()
    }

    /// Index of the shard of a request or attempt, by its sequence number.
    fn shard_index(&self, sequence: u64) -> usize {
        let mask = self.shards.len() as u64 - 1;
        let index = usize::try_from(sequence & mask);
        index.expect("shards number at most 256")
    }

    /// Locks the shard of a sequence number, and stores its next timer afterwards.
    fn with_shard<T>(&self, sequence: u64, work: impl FnOnce(&mut Requests) -> T) -> T {
        let index = self.shard_index(sequence);
        let mut shard = self.shards[index].lock();
        let done = work(&mut shard);
        // Stored under the lock, so that an older value can't replace a newer one.
        store_due(&self.due_times[index + 1], shard.due());
        done
    }

    /// Locks the control state for writing, and stores its next timer afterwards.
    pub(super) fn with_control<T>(&self, work: impl FnOnce(&mut Control) -> T) -> T {
        let mut control = self.control.write();
        let done = work(&mut control);
        store_due(&self.due_times[0], control.due());
        store_due(&self.freeze_threshold, control.freeze_threshold());
        done
    }

    /// Runs `work` in the shard of a sequence number, then its follow-ups.
    fn run_in_shard<T>(
        &self,
        now: Instant,
        sequence: u64,
        out: &mut Vec<EntryAction>,
        work: impl FnOnce(&mut Requests, &mut Ctx<'_>) -> T,
    ) -> T {
        let mut follow_ups = FollowUps::default();
        let done =
            self.run_in_shard_deferring(now, sequence, out, &mut follow_ups, work);
        self.run_follow_ups(now, follow_ups, out);
        done
    }

    /// Runs `work` in the shard of a sequence number, and collects its follow-ups.
    pub(super) fn run_in_shard_deferring<T>(
        &self,
        now: Instant,
        sequence: u64,
        out: &mut Vec<EntryAction>,
        follow_ups: &mut FollowUps,
        work: impl FnOnce(&mut Requests, &mut Ctx<'_>) -> T,
    ) -> T {
        let control = self.control.read();
        let mut ctx = Ctx {
            now,
            shared: &self.shared,
            control: &control,
            out,
            follow_ups,
        };
        self.with_shard(sequence, |shard| work(shard, &mut ctx))
    }

    /// Runs `work` on the control state, then applies its effects on requests.
    fn run_in_control(
        &self,
        now: Instant,
        out: &mut Vec<EntryAction>,
        work: impl FnOnce(&mut Control, &mut Vec<EntryAction>, &mut Effects),
    ) {
        let mut effects = Effects::default();
        self.with_control(|control| work(control, out, &mut effects));
        self.apply_effects(now, effects, out);
    }

    fn tick(&self, now: Instant, out: &mut Vec<EntryAction>) {
        if self.due_times[0].load(Ordering::Acquire) <= now.as_us() {
            self.run_in_control(now, out, |control, out, effects| {
                control.tick(now, &self.shared, out, effects);
            });
        }
        let mut follow_ups = FollowUps::default();
        for index in 0..self.shards.len() {
            if self.due_times[index + 1].load(Ordering::Acquire) > now.as_us() {
                continue;
            }
            self.run_in_shard_deferring(
                now,
                index as u64,
                out,
                &mut follow_ups,
                |shard, ctx| {
                    shard.tick(ctx);
                },
            );
        }
        self.run_follow_ups(now, follow_ups, out);
    }

    fn request_received(
        &self,
        now: Instant,
        incoming: Box<IncomingRequest>,
        out: &mut Vec<EntryAction>,
    ) {
        Counts::increment(&self.shared.counts.arrived);
        let id = incoming.request;
        let mut follow_ups = FollowUps::default();
        {
            let control = self.control.read();
            let mut ctx = Ctx {
                now,
                shared: &self.shared,
                control: &control,
                out,
                follow_ups: &mut follow_ups,
            };
            match super::accept::accept(&mut ctx, incoming) {
                Ok(request) => {
                    self.with_shard(id.sequence, |shard| {
                        shard.start(&mut ctx, request);
                    });
                }
                Err(error) => self.refuse_on_arrival(id, error, out),
            }
        }
        self.run_follow_ups(now, follow_ups, out);
    }

    /// Refuses a request that was not accepted into a shard.
    fn refuse_on_arrival(
        &self,
        id: RequestId,
        error: RequestError,
        out: &mut Vec<EntryAction>,
    ) {
        self.shared.counts.record_refused(error.code);
        TimelineEvent::new(
            EventKind::RequestFailed,
            format!("refused on arrival: {}", error.code),
        )
        .request(id)
        .code(error.code)
        .record(out);
        out.push(EntryAction::Fail { request: id, error });
    }

    fn answer_part_received(
        &self,
        now: Instant,
        part: &AnswerPart<'_>,
        out: &mut Vec<EntryAction>,
    ) {
        let sequence = part.attempt.sequence;
        // An answer part sets no timer, so `with_shard` is not needed.
        let outcome = {
            let mut shard = self.shards[self.shard_index(sequence)].lock();
            shard.answer_part_received(now, &self.shared, part, out)
        };
        if outcome == PartOutcome::Gap {
            self.run_in_shard(now, sequence, out, |shard, ctx| {
                shard.answer_gap_found(ctx, part.agent, part.attempt);
            });
        }
    }

    /// Handles a frame: those about attempts in their request's shard, all others
    /// in the control state.
    fn frame_received(
        &self,
        now: Instant,
        peer: &Peer,
        revision: Revision,
        body: frame::Body,
        out: &mut Vec<EntryAction>,
    ) {
        let behind = revision > self.control.read().config_log.revision();
        if behind {
            self.with_control(|control| {
                control.peer_revision_received(now, peer, revision, out);
            });
        }
        match (peer, body) {
            (Peer::Agent(agent), frame::Body::Started(started)) => {
                let attempt = decode_attempt_id(started.attempt.as_ref());
                self.run_in_shard(now, attempt.sequence, out, |shard, ctx| {
                    shard.attempt_started(ctx, agent, attempt, started.load.as_ref());
                });
            }
            (Peer::Agent(agent), frame::Body::Refused(refused)) => {
                let sequence = decode_attempt_id(refused.attempt.as_ref()).sequence;
                self.run_in_shard(now, sequence, out, |shard, ctx| {
                    shard.attempt_refused(ctx, agent, &refused);
                });
            }
            (Peer::Agent(agent), frame::Body::End(end)) => {
                let sequence = decode_attempt_id(end.attempt.as_ref()).sequence;
                self.run_in_shard(now, sequence, out, |shard, ctx| {
                    shard.attempt_ended(ctx, agent, end);
                });
            }
            (Peer::Agent(agent), frame::Body::Revoked(revoked)) => {
                let sequence = decode_attempt_id(revoked.attempt.as_ref()).sequence;
                self.run_in_shard(now, sequence, out, |shard, ctx| {
                    shard.revoke_answered(ctx, agent, &revoked);
                });
            }
            (peer, body) => self.run_in_control(now, out, |control, out, effects| {
                control.frame_received(now, &self.shared, peer, body, out, effects);
            }),
        }
    }

    /// Ends a draining process once its last request has ended.
    fn exit_if_drained(&self, now: Instant, out: &mut Vec<EntryAction>) {
        if !self.control.read().leaving {
            return;
        }
        if self.shards.iter().all(|shard| shard.lock().len() == 0) {
            self.with_control(|control| control.shut_down(now, &self.shared, out));
        }
    }
}
