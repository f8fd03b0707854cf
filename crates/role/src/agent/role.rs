//! The state machine's fields, event dispatch and order of processing.

use super::attempt_history::AttemptHistory;
use super::attempts::Attempts;
use super::concurrency_limit::ConcurrencyLimit;
use super::config_sync::{ConfigSync, ConfigUpdate};
use super::drain::Drain;
use super::epoch_record::EpochRecord;
use super::heartbeat::HeartbeatState;
use super::orders::Orders;
use super::platform_client::PlatformClient;
use super::probe::PredecessorProbe;
use super::registration::{self, Registration};
use super::restored_claims::EntryReports;
use super::targets::Targets;
use super::timeline;
use super::upstream::Upstream;
use super::{AgentAction, AgentCounters, AgentEvent, AgentOptions, UpstreamEvent};
use base::prelude::*;
use base::{PlatformResponse, PlatformResult};
use conf::{Config, PoolSpec};
use mem::Ledger;
use once::{Claims, ClaimsOptions};
use schema::link::{ConfigAsk, ConfigChanges, End, frame};
use schema::timeline::EventKind;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// First call number of the claims' platform calls, far above the numbers that
/// [`PlatformClient`] assigns, so that the two ranges never meet.
const FIRST_CLAIM_CALL_ID: u64 = 1 << 62;

/// Heartbeat intervals by which a tick must be late for the process to count as
/// frozen.
const FREEZE_THRESHOLD_HEARTBEATS: u64 = 10;

/// Shortest time for which an ended attempt is remembered. Retention is at
/// least the longest deadline plus the margin, after which no entry can still
/// ask about the attempt.
const HISTORY_RETENTION_MIN_MS: u64 = 600_000;
const HISTORY_RETENTION_MARGIN_MS: u64 = 60_000;

/// Heartbeat interval until a configuration is known.
const DEFAULT_HEARTBEAT_MS: u64 = 500;

/// State machine of the agent process beside one upstream.
#[derive(Debug)]
pub struct AgentRole {
    pub(super) options: AgentOptions,
    pub(super) client: PlatformClient,
    pub(super) config_sync: ConfigSync,
    pub(super) record: EpochRecord,
    pub(super) registration: Registration,
    pub(super) predecessor_probe: PredecessorProbe,
    pub(super) ledger: Ledger,
    pub(super) claims: Claims,
    pub(super) entry_reports: EntryReports,
    pub(super) attempts: Attempts,
    /// Ends of responses that wait for the write that stores them.
    pub(super) delayed_ends: BTreeMap<AttemptId, (EntryId, End)>,
    /// Attempts that must never start, because an entry was told `not_run`.
    pub(super) revoked: AttemptHistory,
    /// Attempts that have ended.
    pub(super) ended: AttemptHistory,
    pub(super) upstream: Upstream,
    pub(super) concurrency_limit: ConcurrencyLimit,
    pub(super) targets: Targets,
    pub(super) orders: Orders,
    pub(super) heartbeat_state: HeartbeatState,
    pub(super) connected_entries: BTreeSet<EntryId>,
    pub(super) drain: Option<Drain>,
    pub(super) counters: AgentCounters,
    pub(super) ready: bool,
    /// Until this time a received `Run` may have waited in a socket buffer
    /// while the process was frozen.
    pub(super) frames_stale_until: Instant,
    /// Time of the last call of `advance_all`.
    last_advanced_at: Instant,
}

impl AgentRole {
    /// Creates the state machine. Its first actions read the configuration,
    /// register the process and take the epoch.
    pub fn new(
        options: AgentOptions,
        now: Instant,
        out: &mut Vec<AgentAction>,
    ) -> Self {
        let mut role = Self {
            client: PlatformClient::new(options.seed),
            config_sync: ConfigSync::default(),
            record: EpochRecord::new(
                options.id.as_str(),
                options.incarnation,
                &options.link_address,
            ),
            registration: Registration::new(registration::member_from_options(
                &options,
            )),
            predecessor_probe: PredecessorProbe::default(),
            ledger: Ledger::new(),
            claims: Claims::new(ClaimsOptions {
                agent: options.id.clone(),
                incarnation: options.incarnation,
                first_call_id: FIRST_CLAIM_CALL_ID,
                unix_ms_at_zero: options.unix_ms_at_zero,
            }),
            entry_reports: EntryReports::default(),
            attempts: Attempts::default(),
            delayed_ends: BTreeMap::new(),
            revoked: AttemptHistory::default(),
            ended: AttemptHistory::default(),
            upstream: Upstream::default(),
            concurrency_limit: ConcurrencyLimit::default(),
            targets: Targets::default(),
            orders: Orders::default(),
            heartbeat_state: HeartbeatState::new(now.plus_ms(DEFAULT_HEARTBEAT_MS)),
            connected_entries: BTreeSet::new(),
            drain: None,
            counters: AgentCounters::default(),
            ready: false,
            frames_stale_until: Instant::ZERO,
            last_advanced_at: now,
            options,
        };
        timeline::process_event(EventKind::ProcessStarted, String::new(), out);
        out.push(AgentAction::SetReady(false));
        role.advance_all(now, out);
        role
    }

    /// Processes one event and appends the resulting actions to `out`.
    pub fn handle(
        &mut self,
        now: Instant,
        event: AgentEvent,
        out: &mut Vec<AgentAction>,
    ) {
        self.detect_freeze(now);
        let is_answer_part = is_answer_part(&event);
        match event {
            AgentEvent::Tick => {}
            AgentEvent::LinkUp { entry } => self.on_link_up(now, &entry, out),
            AgentEvent::LinkDown { entry } => self.on_link_down(now, &entry, out),
            AgentEvent::Frame {
                entry,
                revision,
                body,
            } => self.on_frame(now, &entry, revision, body, out),
            AgentEvent::Upstream(event) => self.on_upstream_event(now, event, out),
            AgentEvent::PlatformGeneration(generation) => {
                self.on_platform_generation(now, generation, out);
            }
            AgentEvent::PlatformAnswered(answer) => {
                self.on_platform_answer(now, answer, out);
            }
            AgentEvent::PredecessorProbed { dead } => {
                self.on_predecessor_probed(now, dead);
            }
            AgentEvent::Drain => self.begin_drain(now, out),
        }
        if !is_answer_part {
            self.advance_all(now, out);
        }
    }

    /// When the driver must deliver the next `Tick`.
    pub fn due(&self) -> Option<Instant> {
        let times = [
            Some(self.heartbeat_state.next_at()),
            self.config_sync.due(),
            self.record.due(),
            self.registration.due(),
            self.predecessor_probe.due(),
            self.claims.next_deadline(),
            self.attempts.due(),
            self.orders.due(),
            self.drain_due(),
        ];
        let is_later = |at: &Instant| *at > self.last_advanced_at;
        times.into_iter().flatten().filter(is_later).min()
    }

    /// Revision of the configuration in force; 0 before the first.
    pub fn revision(&self) -> Revision {
        self.config_sync.revision()
    }

    /// Configuration in force; `None` before the first.
    pub const fn config(&self) -> Option<&Arc<Config>> {
        self.config_sync.current()
    }

    /// Counters since the start of the process.
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
        self.pool().is_some_and(|pool| pool.is_engine)
    }

    pub(super) fn heartbeat_ms(&self) -> u64 {
        let config = self.config();
        config.map_or(DEFAULT_HEARTBEAT_MS, |config| {
            u64::from(config.limits().heartbeat_ms)
        })
    }

    /// How long an ended attempt is remembered: longer than the longest
    /// deadline, so that no late `Run` or `Revoke` arrives after it was
    /// forgotten.
    pub(super) fn history_retention_ms(&self) -> u64 {
        let Some(config) = self.config() else {
            return HISTORY_RETENTION_MIN_MS;
        };
        let deadlines = config.profiles().map(|profile| profile.deadline_ms);
        let longest = u64::from(deadlines.max().unwrap_or(0));
        HISTORY_RETENTION_MIN_MS.max(longest + HISTORY_RETENTION_MARGIN_MS)
    }

    /// Sends a frame if the entry is known and connected.
    pub(super) fn send(
        &self,
        entry: Option<&EntryId>,
        body: frame::Body,
        out: &mut Vec<AgentAction>,
    ) {
        if let Some(entry) =
            entry.filter(|entry| self.connected_entries.contains(*entry))
        {
            let entry = entry.clone();
            out.push(AgentAction::SendFrame { entry, body });
        }
    }

    /// Detects that the process was frozen: its tick is many heartbeats late.
    ///
    /// A successor may have taken over during the freeze, so the record is read
    /// before any further order. Frames may have waited in socket buffers, so
    /// the remaining time they state can't be trusted.
    fn detect_freeze(&mut self, now: Instant) {
        let heartbeat_ms = self.heartbeat_ms();
        let late_ms = now.ms_since(self.heartbeat_state.next_at());
        if late_ms <= heartbeat_ms * FREEZE_THRESHOLD_HEARTBEATS {
            return;
        }
        self.counters.freezes += 1;
        self.record.require_read();
        self.frames_stale_until = now.plus_ms(heartbeat_ms);
        self.heartbeat_state.set_next_at(now);
    }

    /// Advances every part of the state machine to the current time.
    fn advance_all(&mut self, now: Instant, out: &mut Vec<AgentAction>) {
        self.last_advanced_at = now;
        self.config_sync.advance(now, &mut self.client, out);
        self.record.advance(now, &mut self.client, out);
        self.registration.advance(now, &mut self.client, out);
        self.predecessor_probe.advance(now, &self.ledger, out);
        self.tick_claims(now, out);
        self.end_overdue_attempts(now, out);
        self.advance_waiting_exclusive(now, out);
        self.advance_orders(now, out);
        self.advance_drain(now, out);
        self.update_ready(out);
        self.advance_heartbeat(now, out);
    }

    /// Tells the driver whether the process accepts work, if that has changed.
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
            timeline::process_event(EventKind::ProcessReady, String::new(), out);
        }
    }

    fn on_link_up(
        &mut self,
        now: Instant,
        entry: &EntryId,
        out: &mut Vec<AgentAction>,
    ) {
        self.connected_entries.insert(entry.clone());
        self.update_awaited_entries();
        if !self.record.is_fenced() {
            let heartbeat = self.build_heartbeat(now);
            let body = frame::Body::Heartbeat(heartbeat);
            self.send(Some(entry), body, out);
        }
        if self.config().is_none() && self.config_sync.try_begin_ask(now) {
            self.send_config_ask(entry, out);
        }
    }

    pub(super) fn send_config_ask(&self, entry: &EntryId, out: &mut Vec<AgentAction>) {
        let after_revision = self.revision().0;
        let body = frame::Body::ConfigAsk(ConfigAsk { after_revision });
        self.send(Some(entry), body, out);
    }

    fn on_frame(
        &mut self,
        now: Instant,
        entry: &EntryId,
        revision: Revision,
        body: frame::Body,
        out: &mut Vec<AgentAction>,
    ) {
        match body {
            frame::Body::Run(run) => self.on_run(now, entry, run, out),
            frame::Body::Cancel(cancel) => self.on_cancel(now, cancel.attempt, out),
            frame::Body::Revoke(revoke) => self.on_revoke(now, entry, &revoke, out),
            frame::Body::Target(target) => self.on_target(now, &target),
            frame::Body::ConfigAsk(ask) => {
                let after = Revision(ask.after_revision);
                let changes = self.config_sync.changes_after(after);
                self.send(Some(entry), frame::Body::ConfigChanges(changes), out);
            }
            frame::Body::ConfigChanges(changes) => {
                self.on_config_changes(&changes, out);
            }
            frame::Body::KeyedRuns(runs) => {
                self.on_keyed_runs(now, entry, runs, out);
            }
            frame::Body::Hello(_) | frame::Body::Goodbye(_) => {}
            _ => self.counters.frames_dropped += 1,
        }
        if self.config_sync.try_begin_ask_if_behind(now, revision) {
            self.send_config_ask(entry, out);
        }
    }

    fn on_config_changes(
        &mut self,
        changes: &ConfigChanges,
        out: &mut Vec<AgentAction>,
    ) {
        let update = self.config_sync.apply(changes);
        self.on_config_update(update, out);
    }

    /// Puts a new configuration into effect, if the update contains one.
    fn on_config_update(&mut self, update: ConfigUpdate, out: &mut Vec<AgentAction>) {
        if update.undecodable {
            self.counters.undecodable += 1;
        }
        let Some(config) = update.applied else {
            return;
        };
        let limits = config.limits();
        self.claims
            .configure(limits.claim_retention_ms, limits.stored_answer_max_bytes);
        let base_of_adapter = config.models().filter_map(|model| {
            let base = model.base.clone()?;
            Some((model.id.clone(), base))
        });
        let base_of_adapter = base_of_adapter.collect();
        if let Some(pool) = config.pool(self.options.pool.as_str()) {
            let accelerators = u32::try_from(pool.accelerators_mib.len());
            let slots = pool.concurrent_max.max(1);
            self.concurrency_limit
                .configure(slots.saturating_mul(accelerators.unwrap_or(u32::MAX)));
            let order_delay_max_ms = pool.order_delay_max_ms;
            self.ledger.configure(
                &pool.accelerators_mib,
                base_of_adapter,
                order_delay_max_ms,
            );
        }
        let detail = format!("revision {}", config.revision());
        timeline::process_event(EventKind::ConfigApplied, detail, out);
    }

    fn on_platform_answer(
        &mut self,
        now: Instant,
        answer: PlatformResponse,
        out: &mut Vec<AgentAction>,
    ) {
        let PlatformResponse { id, result } = answer;
        if self.claims.owns_call(id) {
            self.on_claims_answer(now, id, result, out);
        } else if self.config_sync.owns(id) {
            let client = &mut self.client;
            let update = self.config_sync.on_answer(now, &result, client, out);
            self.on_config_update(update, out);
        } else if self.registration.owns(id) {
            self.registration.on_answer(now, &result, &mut self.client);
        } else if self.record.owns(id) {
            self.on_record_answer(now, &result, out);
        }
    }

    fn on_record_answer(
        &mut self,
        now: Instant,
        result: &PlatformResult,
        out: &mut Vec<AgentAction>,
    ) {
        let outcome = self.record.on_answer(now, result, &mut self.client, out);
        self.on_record_outcome(now, outcome, out);
    }
}

/// Answer parts arrive at the token rate and affect nothing that `advance_all`
/// processes, so they skip it.
const fn is_answer_part(event: &AgentEvent) -> bool {
    matches!(
        event,
        AgentEvent::Upstream(
            UpstreamEvent::AnswerPart { .. } | UpstreamEvent::KeyedAnswerPart { .. }
        )
    )
}
