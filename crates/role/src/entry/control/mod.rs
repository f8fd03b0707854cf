//! The control part: directory, configuration, other entries and planning.
//!
//! Everything here changes a few times a second, while requests only read it,
//! so it stands under a read-write lock. What its changes mean for requests in
//! flight or waiting is returned as [`Effects`] and carried out once the lock
//! is given back.

mod cells;
mod config;
mod forecast;
mod frames;
mod freeze;
mod gossip;
mod instances;
mod links;
mod plan;
mod platform;
mod spread;
mod wishes;

use base::prelude::*;
use base::{Timers, Version};
use conf::{Config, ConfigLog};
use live::{Agent, Directory, EntryTable, Life, Members, Timing};
use rand_pcg::Pcg64Mcg;
use schema::timeline::EventKind;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::shared::Shared;
use super::trace::Note;
use super::{EntryAction, EntryOptions};
use crate::Peer;
use forecast::Forecast;
pub(crate) use forecast::back_ms;
use freeze::Freeze;
use gossip::Gossiping;
pub(crate) use plan::PlanJob;
use plan::Planning;
use platform::Platform;
pub(crate) use wishes::sentence;

/// Interval of heartbeats until a configuration says so.
const HEARTBEAT_DEFAULT_MS: u32 = 500;

/// Length of one entry's turn to run suspects alone.
const TURN_MS: u64 = 3_000;

/// Start of a turn in which nobody starts a suspect. It covers the difference
/// between two entries' wall clocks and the way of the last turn's word.
const TURN_GUARD_MS: u64 = 1_000;

/// Why attempts at an agent can't be waited for any longer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Gone {
    /// The link broke: frames may be lost, and nothing can be asked.
    LinkDown,
    /// A new run of the agent knows nothing of them.
    Restarted,
    /// The agent is silent.
    Lost,
}

/// Times in a heartbeat interval that all agents are judged.
const JUDGED_PER_HEARTBEAT: u64 = 5;

/// What a change means for requests.
#[derive(Debug, Default)]
pub(crate) struct Effects {
    /// Agents whose attempts have to be settled.
    pub(crate) gone: BTreeMap<AgentId, Gone>,
    /// Agents that may have room or hold something new.
    pub(crate) room: BTreeSet<AgentId>,
    /// All queues have to be looked at.
    pub(crate) wake_all: bool,
    /// A round of planning to run.
    pub(crate) plan: Option<PlanJob>,
}

impl Effects {
    fn plan_with(&mut self, job: Option<PlanJob>) {
        // A second job is not made while one is out.
        self.plan = self.plan.take().or(job);
    }
}

/// Timers of the control part.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Timer {
    Heartbeat,
    Judge,
    Plan,
    PlanSoon,
    GossipSoon,
    Call(platform::Call),
    Exit,
}

/// The control part.
#[derive(Debug)]
pub(crate) struct Control {
    pub(crate) directory: Directory,
    pub(crate) entries: EntryTable,
    pub(crate) log: ConfigLog,
    pub(crate) leaving: bool,
    pub(crate) ready: bool,
    pub(crate) links: BTreeMap<Peer, Incarnation>,
    pub(crate) planning: Planning,
    pub(crate) gossip: Gossiping,
    me: EntryId,
    domain: DomainId,
    instances_version: Version,
    /// Watches that are left to other entries, until they are asked for again.
    put_off: BTreeSet<platform::Call>,
    unix_ms_at_zero: u64,
    started_at: Instant,
    members: Members,
    platform: Platform,
    forecast: Forecast,
    freeze: Freeze,
    timers: Timers<Timer>,
    rng: Pcg64Mcg,
    asked_at: Option<Instant>,
    live_version: Version,
    exited: bool,
    seen_at: Instant,
}

impl Control {
    pub(crate) fn new(
        options: &EntryOptions,
        now: Instant,
        out: &mut Vec<EntryAction>,
    ) -> Self {
        let timing = Timing::new(HEARTBEAT_DEFAULT_MS);
        let mut control = Self {
            directory: Directory::new(timing),
            entries: EntryTable::new(timing),
            log: ConfigLog::new(),
            leaving: false,
            ready: false,
            links: BTreeMap::new(),
            planning: Planning::new(),
            gossip: Gossiping::new(),
            me: options.id.clone(),
            domain: options.failure_domain.clone(),
            instances_version: Version(0),
            put_off: BTreeSet::new(),
            unix_ms_at_zero: options.unix_ms_at_zero,
            started_at: now,
            members: Members::new(),
            platform: Platform::new(),
            forecast: Forecast::default(),
            freeze: Freeze::none(now),
            timers: Timers::new(),
            rng: Pcg64Mcg::new(u128::from(options.seed) << 1 | 1),
            asked_at: None,
            live_version: Version(0),
            exited: false,
            seen_at: now,
        };
        let detail = format!("incarnation {:x}", options.incarnation.0);
        Note::new(EventKind::ProcessStarted, detail).put(out);
        control.start_platform(options, out);
        control.dial_peers(options, out);
        control.timers.set(now, Timer::Judge);
        control.timers.set(now, Timer::Heartbeat);
        control.timers.set(now, Timer::Plan);
        control.look_later(now);
        control
    }

    /// Configuration in force.
    pub(crate) fn config(&self) -> Option<&Arc<Config>> {
        self.log.current()
    }

    /// When the control part wants its next tick.
    pub(crate) fn due(&self) -> Option<Instant> {
        self.timers.due()
    }

    /// Time of the last tick: the present, as far as reports need it.
    pub(crate) const fn seen_at(&self) -> Instant {
        self.seen_at
    }

    /// Whether the platform answers.
    pub(crate) const fn platform_up(&self) -> bool {
        self.platform.up()
    }

    /// Whether this process has just started and may not have heard of agents.
    pub(crate) fn just_started(&self, now: Instant) -> bool {
        now.ms_since(self.started_at) < self.directory.timing().lost_ms()
    }

    /// Whether an agent may be sent work.
    pub(crate) fn usable(&self, now: Instant, agent: &Agent) -> bool {
        agent.life == Life::Up && self.directory.usable(now, agent)
    }

    /// Whether this entry probes an upstream for the fleet.
    pub(crate) fn probes(&self, now: Instant, agent: &AgentId) -> bool {
        let others = self.entries.all().filter(|held| !held.leaving);
        let alive = others.filter(|held| self.entries.alive(now, &held.id));
        let names = alive.map(|held| &held.id).chain([&self.me]);
        route::probing_entry(agent, names) == Some(&self.me)
    }

    /// Time until this entry may start a suspect alone; 0 if it may now.
    ///
    /// A request that crashes upstreams may come through every entry at once.
    /// If two started it alone at the same time, it would crash three upstreams
    /// and not two. So the live entries take turns by the wall clock, and each
    /// tells the others at once what it started. Nobody starts anything in the
    /// first part of a turn: within it the last word of the turn before has
    /// arrived, even if the two clocks differ a little.
    pub(crate) fn alone_turn_in_ms(&self, now: Instant) -> u64 {
        let others = self.entries.all();
        let judged_at = self.judged_at(now);
        let alive = others.filter(|held| self.entries.alive(judged_at, &held.id));
        let (mut count, mut before) = (1, 0);
        for held in alive {
            count += 1;
            before += u64::from(held.id < self.me);
        }
        if count == 1 {
            return 0;
        }
        let round_ms = count * TURN_MS;
        let unix_ms = self.unix_ms_at_zero.saturating_add(now.as_ms());
        let passed_ms = unix_ms % round_ms;
        let start_ms = before * TURN_MS + TURN_GUARD_MS;
        let end_ms = (before + 1) * TURN_MS;
        match passed_ms {
            passed if passed < start_ms => start_ms - passed,
            passed if passed < end_ms => 0,
            passed => round_ms - passed + start_ms,
        }
    }

    /// Does what is due.
    pub(crate) fn tick(
        &mut self,
        now: Instant,
        shared: &Shared,
        out: &mut Vec<EntryAction>,
        effects: &mut Effects,
    ) {
        self.seen_at = now;
        while let Some(timer) = self.timers.take(now) {
            match timer {
                Timer::Heartbeat => self.beat(now, shared, out, effects),
                Timer::Judge => self.judge_due(now, out, effects),
                Timer::Plan => effects.plan_with(self.plan_due(now, shared)),
                Timer::PlanSoon => effects.plan_with(self.plan_now(now, shared)),
                Timer::GossipSoon if self.gossip.soon => {
                    self.send_gossip(now, shared, out);
                }
                Timer::GossipSoon => {}
                Timer::Call(call) => self.call_due(call, shared, out),
                Timer::Exit => self.exit(out),
            }
        }
    }

    fn beat(
        &mut self,
        now: Instant,
        shared: &Shared,
        out: &mut Vec<EntryAction>,
        effects: &mut Effects,
    ) {
        self.entries.tick(now);
        self.foresee(now, shared);
        shared.health.lock().forget_unknown(&self.directory);
        self.send_gossip(now, shared, out);
        let interval = self.directory.timing().heartbeat_ms();
        self.timers.set(now.plus_ms(interval), Timer::Heartbeat);
        effects.wake_all = true;
    }

    /// Judges all agents, several times in a heartbeat interval.
    ///
    /// Silence has to end work in flight soon after its bound, but nothing says
    /// so by itself. A fixed interval costs the same whatever is heard; judging
    /// all of them with each heartbeat costs the square of their number.
    fn judge_due(
        &mut self,
        now: Instant,
        out: &mut Vec<EntryAction>,
        effects: &mut Effects,
    ) {
        self.judge(now, out, effects);
        let interval = self.directory.timing().heartbeat_ms() / JUDGED_PER_HEARTBEAT;
        self.timers.set(now.plus_ms(interval.max(1)), Timer::Judge);
    }

    /// Starts to stop.
    pub(crate) fn drain(
        &mut self,
        now: Instant,
        shared: &Shared,
        out: &mut Vec<EntryAction>,
    ) {
        if self.leaving {
            return;
        }
        self.leaving = true;
        let detail = "takes no new work, finishes what it has";
        Note::new(EventKind::ProcessDraining, detail).put(out);
        self.set_ready(out);
        self.register(shared, out);
        self.send_gossip(now, shared, out);
        self.planning.stop();
    }

    fn set_ready(&mut self, out: &mut Vec<EntryAction>) {
        let ready = self.config().is_some() && !self.leaving;
        if ready == self.ready {
            return;
        }
        self.ready = ready;
        out.push(EntryAction::SetReady(ready));
        if ready {
            let detail = format!("revision {}", self.log.revision());
            Note::new(EventKind::ProcessReady, detail).put(out);
        }
    }

    /// Says goodbye, once the last request has ended.
    pub(crate) fn leave(
        &mut self,
        now: Instant,
        shared: &Shared,
        out: &mut Vec<EntryAction>,
    ) {
        if self.platform.unregistering() || self.exited {
            return;
        }
        self.say_goodbye(shared, out);
        self.unregister(shared, out);
        // The record is a help to others, not a promise: an outage of the
        // platform must not keep a drained process from ending.
        self.timers
            .set(now.plus_ms(platform::UNREGISTER_WAIT_MS), Timer::Exit);
    }

    fn exit(&mut self, out: &mut Vec<EntryAction>) {
        if self.exited {
            return;
        }
        self.exited = true;
        Note::new(EventKind::ProcessStopped, "drained").put(out);
        out.push(EntryAction::Exit);
    }
}
