//! Control state: agent directory, configuration, other entries and planning.
//!
//! This state changes a few times per second, while requests only read it, so it is
//! guarded by a read-write lock. The effects of a change on running and waiting
//! requests are returned as [`Effects`] and applied after the lock is released.

mod cells;
mod config;
mod demand_shares;
mod forecast;
mod frames;
mod freeze;
mod gossip;
mod instances;
mod keyed_runs;
mod links;
mod placements;
mod plan;
mod platform;

use base::prelude::*;
use base::{ObjectVersion, TimerQueue};
use conf::{Config, ConfigLog};
use live::{
    Agent, AgentDirectory, EntryTable, Liveness, MemberAddresses, SilenceLimits,
};
use rand_pcg::Pcg64Mcg;
use schema::timeline::EventKind;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::shared::Shared;
use super::timeline::TimelineEvent;
use super::{EntryAction, EntryOptions};
use crate::Peer;
use forecast::LoadForecast;
pub(crate) use forecast::predicted_return_ms;
use freeze::Freeze;
use gossip::GossipState;
use keyed_runs::RunsReported;
pub(crate) use placements::reason_text;
pub(crate) use plan::PlanJob;
use plan::Planning;
use platform::PlatformCalls;

/// Heartbeat interval while no configuration is in force.
const HEARTBEAT_DEFAULT_MS: u32 = 500;

/// Length of one entry's turn to start exclusive runs of suspect requests.
const EXCLUSIVE_TURN_MS: u64 = 3_000;

/// Time at the start of a turn in which no entry starts an exclusive run. It covers
/// the skew between the entries' wall clocks and the delivery of the gossip sent at
/// the end of the previous turn.
const EXCLUSIVE_TURN_GUARD_MS: u64 = 1_000;

/// Why the entry gives up the attempts in flight at an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum GoneReason {
    /// The link broke: frames may be lost, and the agent can't be queried.
    LinkDown,
    /// The agent restarted and has no record of them.
    Restarted,
    /// The agent has been silent for so long that it counts as lost.
    Lost,
}

/// Number of times in each heartbeat interval that the liveness of all agents is
/// checked.
const LIVENESS_CHECKS_PER_HEARTBEAT: u64 = 5;

/// Effects of a change of the control state on requests.
#[derive(Debug, Default)]
pub(crate) struct Effects {
    /// Agents whose attempts in flight are to be ended, and why.
    pub(crate) gone_agents: BTreeMap<AgentId, GoneReason>,
    /// Agents that may have capacity again or hold another model.
    pub(crate) agents_with_capacity: BTreeSet<AgentId>,
    /// All wait queues are to be tried.
    pub(crate) wake_all: bool,
    /// A round of planning to run.
    pub(crate) plan: Option<PlanJob>,
}

impl Effects {
    fn set_plan_job(&mut self, job: Option<PlanJob>) {
        // No second job is made while one is running.
        self.plan = self.plan.take().or(job);
    }
}

/// Timers of the control state.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Timer {
    Heartbeat,
    Liveness,
    Plan,
    PlanSoon,
    GossipSoon,
    Call(platform::CallKind),
    Exit,
}

/// The control state.
#[derive(Debug)]
pub(crate) struct Control {
    pub(crate) directory: AgentDirectory,
    pub(crate) entries: EntryTable,
    pub(crate) config_log: ConfigLog,
    pub(crate) leaving: bool,
    pub(crate) ready: bool,
    pub(crate) links: BTreeMap<Peer, Incarnation>,
    pub(crate) planning: Planning,
    pub(crate) gossip: GossipState,
    own_id: EntryId,
    failure_domain: FailureDomainId,
    instances_version: ObjectVersion,
    /// Watches that are currently left to other entries, with a timer set for each
    /// to check again.
    deferred_watches: BTreeSet<platform::CallKind>,
    /// Agents that wait for lost claims.
    reported_runs: BTreeMap<AgentId, RunsReported>,
    unix_ms_at_zero: u64,
    started_at: Instant,
    members: MemberAddresses,
    platform: PlatformCalls,
    forecast: LoadForecast,
    freeze: Freeze,
    timers: TimerQueue<Timer>,
    rng: Pcg64Mcg,
    config_requested_at: Option<Instant>,
    members_version: ObjectVersion,
    exited: bool,
    ticked_at: Instant,
}

impl Control {
    pub(crate) fn new(
        options: &EntryOptions,
        now: Instant,
        out: &mut Vec<EntryAction>,
    ) -> Self {
        let silence_limits = SilenceLimits::new(HEARTBEAT_DEFAULT_MS);
        let mut control = Self {
            directory: AgentDirectory::new(silence_limits),
            entries: EntryTable::new(silence_limits),
            config_log: ConfigLog::new(),
            leaving: false,
            ready: false,
            links: BTreeMap::new(),
            planning: Planning::new(),
            gossip: GossipState::new(),
            own_id: options.id.clone(),
            failure_domain: options.failure_domain.clone(),
            instances_version: ObjectVersion(0),
            deferred_watches: BTreeSet::new(),
            reported_runs: BTreeMap::new(),
            unix_ms_at_zero: options.unix_ms_at_zero,
            started_at: now,
            members: MemberAddresses::new(),
            platform: PlatformCalls::new(),
            forecast: LoadForecast::default(),
            freeze: Freeze::none(now),
            timers: TimerQueue::new(),
            rng: Pcg64Mcg::new(u128::from(options.seed) << 1 | 1),
            config_requested_at: None,
            members_version: ObjectVersion(0),
            exited: false,
            ticked_at: now,
        };
        let detail = format!("incarnation {:x}", options.incarnation.0);
        TimelineEvent::new(EventKind::ProcessStarted, detail).record(out);
        control.start_platform_calls(options, out);
        control.dial_peers(options, out);
        control.timers.schedule(now, Timer::Liveness);
        control.timers.schedule(now, Timer::Heartbeat);
        control.timers.schedule(now, Timer::Plan);
        control.schedule_config_poll(now);
        control
    }

    /// Configuration in force.
    pub(crate) fn config(&self) -> Option<&Arc<Config>> {
        self.config_log.current()
    }

    /// When the next timer of the control state is due.
    pub(crate) fn due(&self) -> Option<Instant> {
        self.timers.next_deadline()
    }

    /// Time of the last tick, which reports use as the current time.
    pub(crate) const fn ticked_at(&self) -> Instant {
        self.ticked_at
    }

    /// Whether the platform answers.
    pub(crate) const fn platform_up(&self) -> bool {
        self.platform.is_up()
    }

    /// Whether this process started so recently that it may not know all agents.
    pub(crate) fn just_started(&self, now: Instant) -> bool {
        now.ms_since(self.started_at) < self.directory.silence_limits().lost_ms()
    }

    /// Whether an agent may be sent requests.
    pub(crate) fn usable(&self, now: Instant, agent: &Agent) -> bool {
        agent.liveness == Liveness::Up && self.directory.usable(now, agent)
    }

    /// Whether this entry is the one that probes a failing upstream for all entries.
    pub(crate) fn is_prober(&self, now: Instant, agent: &AgentId) -> bool {
        let others = self.entries.all().filter(|entry| !entry.leaving);
        let alive = others.filter(|entry| self.entries.is_alive(now, &entry.id));
        let live_ids = alive.map(|entry| &entry.id).chain([&self.own_id]);
        route::probing_entry(agent, live_ids) == Some(&self.own_id)
    }

    /// Time until this entry may start an exclusive run of a suspect request; 0 if it
    /// may now.
    ///
    /// A request that crashes upstreams may arrive at every entry at once. If two
    /// entries started it exclusively at the same time, it would crash three upstreams
    /// instead of two. So the live entries take turns by the wall clock, and each
    /// sends gossip at once when it starts one. No entry starts one in the first part
    /// of a turn, so that the last gossip of the previous turn has arrived by then,
    /// even if the clocks differ slightly.
    pub(crate) fn exclusive_turn_wait_ms(&self, now: Instant) -> u64 {
        let others = self.entries.all();
        let silence_clock = self.silence_clock(now);
        let alive =
            others.filter(|entry| self.entries.is_alive(silence_clock, &entry.id));
        let (mut count, mut rank) = (1, 0);
        for entry in alive {
            count += 1;
            rank += u64::from(entry.id < self.own_id);
        }
        if count == 1 {
            return 0;
        }
        let round_ms = count * EXCLUSIVE_TURN_MS;
        let unix_ms = self.unix_ms_at_zero.saturating_add(now.as_ms());
        let elapsed_ms = unix_ms % round_ms;
        let start_ms = rank * EXCLUSIVE_TURN_MS + EXCLUSIVE_TURN_GUARD_MS;
        let end_ms = (rank + 1) * EXCLUSIVE_TURN_MS;
        match elapsed_ms {
            elapsed if elapsed < start_ms => start_ms - elapsed,
            elapsed if elapsed < end_ms => 0,
            elapsed => round_ms - elapsed + start_ms,
        }
    }

    /// Handles the timers that are due.
    pub(crate) fn tick(
        &mut self,
        now: Instant,
        shared: &Shared,
        out: &mut Vec<EntryAction>,
        effects: &mut Effects,
    ) {
        self.ticked_at = now;
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::Heartbeat => self.heartbeat_due(now, shared, out, effects),
                Timer::Liveness => self.liveness_due(now, out, effects),
                Timer::Plan => effects.set_plan_job(self.plan_due(now, shared)),
                Timer::PlanSoon => effects.set_plan_job(self.plan_now(now, shared)),
                Timer::GossipSoon if self.gossip.send_scheduled => {
                    self.send_gossip(now, shared, out);
                }
                Timer::GossipSoon => {}
                Timer::Call(call) => self.call_due(call, shared, out),
                Timer::Exit => self.exit(out),
            }
        }
    }

    /// Does the periodic work of a heartbeat interval: the forecast, gossip and a scan
    /// of all wait queues.
    fn heartbeat_due(
        &mut self,
        now: Instant,
        shared: &Shared,
        out: &mut Vec<EntryAction>,
        effects: &mut Effects,
    ) {
        self.entries.tick(now);
        self.update_forecast(now, shared);
        shared.breakers.lock().forget_unknown(&self.directory);
        self.send_gossip(now, shared, out);
        let interval = self.directory.silence_limits().heartbeat_ms();
        self.timers
            .schedule(now.plus_ms(interval), Timer::Heartbeat);
        effects.wake_all = true;
    }

    /// Checks the liveness of all agents, several times in a heartbeat interval.
    ///
    /// Attempts at a silent agent have to end soon after the silence limit, and no
    /// event marks that time. A timer has a fixed cost, whereas a check of all agents
    /// at each received heartbeat would cost the square of their number.
    fn liveness_due(
        &mut self,
        now: Instant,
        out: &mut Vec<EntryAction>,
        effects: &mut Effects,
    ) {
        self.check_liveness(now, out, effects);
        let interval = self.directory.silence_limits().heartbeat_ms()
            / LIVENESS_CHECKS_PER_HEARTBEAT;
        self.timers
            .schedule(now.plus_ms(interval.max(1)), Timer::Liveness);
    }

    /// Starts draining.
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
        let detail = "accepts no new requests, finishes those in progress";
        TimelineEvent::new(EventKind::ProcessDraining, detail).record(out);
        self.update_ready(out);
        self.register(shared, out);
        self.send_gossip(now, shared, out);
        self.planning.stop();
    }

    /// Reports whether the process accepts requests, if that has changed.
    fn update_ready(&mut self, out: &mut Vec<EntryAction>) {
        let ready = self.config().is_some() && !self.leaving;
        if ready == self.ready {
            return;
        }
        self.ready = ready;
        out.push(EntryAction::SetReady(ready));
        if ready {
            let detail = format!("revision {}", self.config_log.revision());
            TimelineEvent::new(EventKind::ProcessReady, detail).record(out);
        }
    }

    /// Leaves the fleet after the last request has ended: sends goodbyes and deletes
    /// the member record.
    pub(crate) fn shut_down(
        &mut self,
        now: Instant,
        shared: &Shared,
        out: &mut Vec<EntryAction>,
    ) {
        if self.platform.is_unregistering() || self.exited {
            return;
        }
        self.send_goodbye(shared, out);
        self.unregister(shared, out);
        // Other processes don't depend on the record being deleted, so an outage of
        // the platform must not keep a drained process from ending.
        self.timers
            .schedule(now.plus_ms(platform::UNREGISTER_WAIT_MS), Timer::Exit);
    }

    fn exit(&mut self, out: &mut Vec<EntryAction>) {
        if self.exited {
            return;
        }
        self.exited = true;
        TimelineEvent::new(EventKind::ProcessStopped, "drained").record(out);
        out.push(EntryAction::Exit);
    }
}
