//! The machine: what it is made of and how an event passes through it.

use super::attempts::Attempts;
use super::drain::Drain;
use super::heartbeat::Beat;
use super::limit::ConcurrencyLimit;
use super::member::{self, Registration};
use super::orders::Orders;
use super::past::Past;
use super::probe::Probe;
use super::record::Record;
use super::retry::Caller;
use super::settings::{Offered, Settings};
use super::targets::Targets;
use super::trace;
use super::upstream::Upstream;
use super::{AgentAction, AgentCounters, AgentEvent, AgentOptions, UpstreamEvent};
use base::prelude::*;
use base::{PlatformAnswer, PlatformResult};
use conf::{Config, PoolSpec};
use mem::Ledger;
use once::{Claims, ClaimsOptions};
use schema::link::{ConfigAsk, ConfigChanges, frame};
use schema::timeline::EventKind;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Numbers of the claims' calls to the platform start here, far above those of
/// the rest of the machine.
const CLAIM_CALLS: u64 = 1 << 62;

/// Heartbeats by which a wake-up is late before the process counts as frozen.
const FREEZE_HEARTBEATS: u64 = 10;

/// Shortest time for which an attempt that is over is remembered; with the
/// longest deadline and this margin none can still be asked about.
const PAST_MIN_MS: u64 = 600_000;
const PAST_MARGIN_MS: u64 = 60_000;

/// Interval of heartbeats while no configuration says another.
const DEFAULT_HEARTBEAT_MS: u64 = 500;

/// The agent beside one upstream.
#[derive(Debug)]
pub struct AgentRole {
    pub(super) options: AgentOptions,
    pub(super) caller: Caller,
    pub(super) settings: Settings,
    pub(super) record: Record,
    pub(super) registration: Registration,
    pub(super) probe: Probe,
    pub(super) ledger: Ledger,
    pub(super) claims: Claims,
    pub(super) attempts: Attempts,
    /// Attempts that must never begin.
    pub(super) revoked: Past,
    /// Attempts that are over.
    pub(super) ended: Past,
    pub(super) upstream: Upstream,
    pub(super) limit: ConcurrencyLimit,
    pub(super) targets: Targets,
    pub(super) orders: Orders,
    pub(super) beat: Beat,
    pub(super) links: BTreeSet<EntryId>,
    pub(super) drain: Option<Drain>,
    pub(super) counters: AgentCounters,
    pub(super) ready: bool,
    /// Until then a `Run` may have waited in a socket while the process was
    /// frozen.
    pub(super) stale_until: Instant,
    /// When everything that is due was last looked at.
    looked_at: Instant,
}

impl AgentRole {
    /// Starts the machine; the first actions read the configuration, register
    /// the process and take the epoch.
    pub fn new(
        options: AgentOptions,
        now: Instant,
        out: &mut Vec<AgentAction>,
    ) -> Self {
        let mut role = Self {
            caller: Caller::new(options.seed),
            settings: Settings::default(),
            record: Record::new(
                options.id.as_str(),
                options.incarnation,
                &options.link_address,
            ),
            registration: Registration::new(member::member(&options)),
            probe: Probe::default(),
            ledger: Ledger::new(),
            claims: Claims::new(ClaimsOptions {
                agent: options.id.clone(),
                incarnation: options.incarnation,
                first_call: CLAIM_CALLS,
                unix_ms_at_zero: options.unix_ms_at_zero,
            }),
            attempts: Attempts::default(),
            revoked: Past::default(),
            ended: Past::default(),
            upstream: Upstream::default(),
            limit: ConcurrencyLimit::default(),
            targets: Targets::default(),
            orders: Orders::default(),
            beat: Beat::new(now.plus_ms(DEFAULT_HEARTBEAT_MS)),
            links: BTreeSet::new(),
            drain: None,
            counters: AgentCounters::default(),
            ready: false,
            stale_until: Instant::ZERO,
            looked_at: now,
            options,
        };
        trace::note(EventKind::ProcessStarted, String::new(), out);
        out.push(AgentAction::SetReady(false));
        role.follow_up(now, out);
        role
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(
        &mut self,
        now: Instant,
        event: AgentEvent,
        out: &mut Vec<AgentAction>,
    ) {
        self.notice_freeze(now);
        let is_part = is_part(&event);
        match event {
            AgentEvent::Tick => {}
            AgentEvent::LinkUp { entry } => self.link_up(now, &entry, out),
            AgentEvent::LinkDown { entry } => self.link_down(now, &entry, out),
            AgentEvent::Frame {
                entry,
                revision,
                body,
            } => self.frame(now, &entry, revision, body, out),
            AgentEvent::Upstream(event) => self.upstream_event(now, event, out),
            AgentEvent::PlatformAnswered(answer) => self.platform(now, answer, out),
            AgentEvent::PredecessorProbed { dead } => self.probed(now, dead),
            AgentEvent::Drain => self.begin_drain(now, out),
        }
        if !is_part {
            self.follow_up(now, out);
        }
    }

    /// When the machine wants its next `Tick`.
    pub fn due(&self) -> Option<Instant> {
        let times = [
            Some(self.beat.next()),
            self.settings.due(),
            self.record.due(),
            self.registration.due(),
            self.probe.due(),
            self.claims.due(),
            self.attempts.due(),
            self.orders.due(),
            self.drain_due(),
        ];
        let later = |at: &Instant| *at > self.looked_at;
        times.into_iter().flatten().filter(later).min()
    }

    /// Revision in force; 0 before the first.
    pub fn revision(&self) -> Revision {
        self.settings.revision()
    }

    /// Configuration in force.
    pub const fn config(&self) -> Option<&Arc<Config>> {
        self.settings.current()
    }

    /// Counts since the start.
    pub const fn counters(&self) -> AgentCounters {
        self.counters
    }

    /// The memory ledger, for status pages and tests.
    pub const fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    pub(super) fn pool(&self) -> Option<&PoolSpec> {
        self.config()?.pool(self.options.pool.as_str())
    }

    pub(super) fn is_engine(&self) -> bool {
        self.pool().is_some_and(|pool| pool.engine)
    }

    pub(super) fn heartbeat_ms(&self) -> u64 {
        let config = self.config();
        config.map_or(DEFAULT_HEARTBEAT_MS, |config| {
            u64::from(config.limits().heartbeat_ms)
        })
    }

    /// Time for which an attempt that is over is remembered: longer than the
    /// longest deadline, so that no late `Run` or `Revoke` outlives it.
    pub(super) fn past_life_ms(&self) -> u64 {
        let Some(config) = self.config() else {
            return PAST_MIN_MS;
        };
        let deadlines = config.profiles().map(|profile| profile.deadline_ms);
        let longest = u64::from(deadlines.max().unwrap_or(0));
        PAST_MIN_MS.max(longest + PAST_MARGIN_MS)
    }

    /// Sends a frame, if there is an entry to send it to.
    pub(super) fn send(
        &self,
        entry: Option<&EntryId>,
        body: frame::Body,
        out: &mut Vec<AgentAction>,
    ) {
        if let Some(entry) = entry.filter(|entry| self.links.contains(*entry)) {
            let entry = entry.clone();
            out.push(AgentAction::SendFrame { entry, body });
        }
    }

    /// A wake-up that is late by many heartbeats means that the process stood
    /// still. A successor may have taken over meanwhile, so the record is read
    /// before any further order; and frames may have waited in the sockets, so
    /// the time they say is left can't be relied on.
    fn notice_freeze(&mut self, now: Instant) {
        let heartbeat_ms = self.heartbeat_ms();
        let late_ms = now.ms_since(self.beat.next());
        if late_ms <= heartbeat_ms * FREEZE_HEARTBEATS {
            return;
        }
        self.counters.freezes += 1;
        self.record.doubt();
        self.stale_until = now.plus_ms(heartbeat_ms);
        self.beat.set_next(now);
    }

    fn follow_up(&mut self, now: Instant, out: &mut Vec<AgentAction>) {
        self.looked_at = now;
        self.settings.advance(now, &mut self.caller, out);
        self.record.advance(now, &mut self.caller, out);
        self.registration.advance(now, &mut self.caller, out);
        self.probe.advance(now, &self.ledger, out);
        self.tick_claims(now, out);
        self.check_attempts(now, out);
        self.advance_held(now, out);
        self.advance_orders(now, out);
        self.advance_drain(now, out);
        self.update_ready(out);
        self.advance_beat(now, out);
    }

    fn update_ready(&mut self, out: &mut Vec<AgentAction>) {
        let ready = self.pool().is_some()
            && self.upstream.is_up()
            && !self.record.is_fenced()
            && self.drain.is_none();
        if ready == self.ready {
            return;
        }
        self.ready = ready;
        out.push(AgentAction::SetReady(ready));
        if ready {
            trace::note(EventKind::ProcessReady, String::new(), out);
        }
    }

    fn link_up(&mut self, now: Instant, entry: &EntryId, out: &mut Vec<AgentAction>) {
        self.links.insert(entry.clone());
        if !self.record.is_fenced() {
            let heartbeat = self.make_heartbeat(now);
            let body = frame::Body::Heartbeat(heartbeat);
            self.send(Some(entry), body, out);
        }
        if self.config().is_none() && self.settings.may_ask(now) {
            self.ask(entry, out);
        }
    }

    pub(super) fn ask(&self, entry: &EntryId, out: &mut Vec<AgentAction>) {
        let after_revision = self.revision().0;
        let body = frame::Body::ConfigAsk(ConfigAsk { after_revision });
        self.send(Some(entry), body, out);
    }

    fn frame(
        &mut self,
        now: Instant,
        entry: &EntryId,
        revision: Revision,
        body: frame::Body,
        out: &mut Vec<AgentAction>,
    ) {
        match body {
            frame::Body::Run(run) => self.run(now, entry, run, out),
            frame::Body::Cancel(cancel) => self.cancel(now, cancel.attempt, out),
            frame::Body::Revoke(revoke) => self.revoke(now, entry, &revoke, out),
            frame::Body::Target(target) => self.target(now, &target),
            frame::Body::ConfigAsk(ask) => {
                let after = Revision(ask.after_revision);
                let changes = self.settings.changes_after(after);
                self.send(Some(entry), frame::Body::ConfigChanges(changes), out);
            }
            frame::Body::ConfigChanges(changes) => self.changes(&changes, out),
            frame::Body::Hello(_) | frame::Body::Goodbye(_) => {}
            _ => self.counters.frames_dropped += 1,
        }
        if self.settings.should_ask(now, revision) {
            self.ask(entry, out);
        }
    }

    fn changes(&mut self, changes: &ConfigChanges, out: &mut Vec<AgentAction>) {
        let offered = self.settings.offer(changes);
        self.offered(offered, out);
    }

    fn offered(&mut self, offered: Offered, out: &mut Vec<AgentAction>) {
        if offered.undecodable {
            self.counters.undecodable += 1;
        }
        let Some(config) = offered.applied else {
            return;
        };
        let limits = config.limits();
        self.claims
            .configure(limits.claim_retention_ms, limits.stored_answer_max_bytes);
        let bases = config.models().filter_map(|model| {
            let base = model.base.clone()?;
            Some((model.id.clone(), base))
        });
        let bases = bases.collect();
        if let Some(pool) = config.pool(self.options.pool.as_str()) {
            let accelerators = u32::try_from(pool.accelerators_mib.len());
            let places = pool.concurrent_max.max(1);
            self.limit
                .configure(places.saturating_mul(accelerators.unwrap_or(u32::MAX)));
            let delay_ms = pool.order_delay_max_ms;
            self.ledger
                .configure(&pool.accelerators_mib, bases, delay_ms);
        }
        let detail = format!("revision {}", config.revision());
        trace::note(EventKind::ConfigApplied, detail, out);
    }

    fn platform(
        &mut self,
        now: Instant,
        answer: PlatformAnswer,
        out: &mut Vec<AgentAction>,
    ) {
        let PlatformAnswer { id, result } = answer;
        if self.claims.owns(id) {
            self.claims_answered(now, id, result, out);
        } else if self.settings.owns(id) {
            let caller = &mut self.caller;
            let offered = self.settings.answered(now, &result, caller, out);
            self.offered(offered, out);
        } else if self.registration.owns(id) {
            self.registration.answered(now, &result, &mut self.caller);
        } else if self.record.owns(id) {
            self.record_answered(now, &result, out);
        }
    }

    fn record_answered(
        &mut self,
        now: Instant,
        result: &PlatformResult,
        out: &mut Vec<AgentAction>,
    ) {
        let news = self.record.answered(now, result, &mut self.caller, out);
        self.record_news(now, news, out);
    }
}

/// Parts come at the rate of tokens and change nothing that others wait for.
const fn is_part(event: &AgentEvent) -> bool {
    matches!(
        event,
        AgentEvent::Upstream(
            UpstreamEvent::AnswerPart { .. } | UpstreamEvent::KeyedAnswerPart { .. }
        )
    )
}
