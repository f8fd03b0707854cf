//! What the directory knows about one agent.

use base::prelude::*;
use schema::link::{Heartbeat, Resident, ResidentState};
use std::collections::BTreeMap;

use crate::{LoadTracker, SilenceLimits};

/// Most residents read from one heartbeat; no instance can hold this many.
const RESIDENTS_MAX: usize = 512;

/// Liveness of an agent, judged by its silence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Liveness {
    /// Its heartbeats arrive.
    Up,
    /// It is silent or its link is down. It gets no new work.
    Suspected,
    /// It is considered dead. Its requests have to be retried elsewhere.
    Lost,
}

/// State of a resident.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResidencyState {
    /// Being loaded.
    Loading,
    /// Loaded and able to serve.
    Loaded,
    /// Being unloaded.
    Unloading,
}

/// A model or adapter on one accelerator of an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Residency {
    /// Model or adapter.
    pub model: ModelId,
    /// Version of the model or adapter.
    pub version: u32,
    /// Index of the accelerator.
    pub accelerator: u32,
    /// Memory that it takes, in MiB.
    pub size_mib: u32,
    /// State of the resident.
    pub state: ResidencyState,
    /// When the state was entered.
    pub since: Instant,
}

/// Another entry's report that an incarnation of an agent is silent.
#[derive(Debug, Clone, Copy)]
struct SilenceReport {
    incarnation: Incarnation,
    reported_at: Instant,
}

/// State of an agent as seen by this entry.
#[derive(Debug)]
pub struct Agent {
    /// Name of the agent.
    pub id: AgentId,
    /// Incarnation of its process, from a heartbeat or a hello.
    pub incarnation: Incarnation,
    /// Sequence number of its newest heartbeat.
    pub sequence: u64,
    /// Pool of its upstream.
    pub pool: PoolId,
    /// Failure domain of its instance.
    pub failure_domain: FailureDomainId,
    /// Memory of each accelerator, in MiB.
    pub accelerators_mib: Vec<u32>,
    /// Models and adapters on its accelerators.
    pub residents: Vec<Residency>,
    /// Whether its upstream responds.
    pub upstream_up: bool,
    /// When `upstream_up` last changed.
    pub upstream_since: Instant,
    /// Whether this entry has a link to it.
    pub connected: bool,
    /// When it was last heard, directly or through another entry.
    pub last_heard_at: Instant,
    /// When it was last heard over this entry's own link.
    pub last_heard_directly_at: Option<Instant>,
    /// Its last reported load.
    pub load: LoadTracker,
    /// Planner whose target it follows.
    pub target_planner: String,
    /// Its newest heartbeat as received, for relaying.
    pub last_heartbeat: Heartbeat,
    /// Liveness at the last update.
    pub liveness: Liveness,
    announced_leaving: bool,
    pub(crate) platform_leaving: bool,
    silence_reports: BTreeMap<EntryId, SilenceReport>,
}

impl Agent {
    pub(crate) fn new(id: AgentId, now: Instant) -> Self {
        Self {
            id,
            incarnation: Incarnation(0),
            sequence: 0,
            pool: PoolId::new(""),
            failure_domain: FailureDomainId::new(""),
            accelerators_mib: Vec::new(),
            residents: Vec::new(),
            upstream_up: false,
            upstream_since: now,
            connected: false,
            last_heard_at: now,
            last_heard_directly_at: None,
            load: LoadTracker::default(),
            target_planner: String::new(),
            last_heartbeat: Heartbeat::default(),
            liveness: Liveness::Suspected,
            announced_leaving: false,
            platform_leaving: false,
            silence_reports: BTreeMap::new(),
        }
    }

    /// Whether it is stopping, according to itself or the platform.
    pub const fn leaving(&self) -> bool {
        self.announced_leaving || self.platform_leaving
    }

    /// Whether it may be sent work: its link is up, its heartbeats arrive over
    /// that link, its upstream responds, and it is not stopping.
    pub fn usable(&self, now: Instant, silence_limits: SilenceLimits) -> bool {
        let is_heard = self
            .last_heard_directly_at
            .is_some_and(|at| now.ms_since(at) < silence_limits.suspect_ms());
        self.connected && is_heard && self.upstream_up && !self.leaving()
    }

    /// Highest version of a model that it has loaded, if any.
    pub fn loaded_version(&self, model: &str) -> Option<u32> {
        self.residents
            .iter()
            .filter(|resident| resident.model.as_str() == model)
            .filter(|resident| resident.state == ResidencyState::Loaded)
            .map(|resident| resident.version)
            .max()
    }

    /// Whether it has loaded one version of a model.
    pub fn has_loaded_version(&self, model: &str, version: u32) -> bool {
        self.residents.iter().any(|resident| {
            resident.model.as_str() == model
                && resident.version == version
                && resident.state == ResidencyState::Loaded
        })
    }

    /// When it began to load a model that it is loading now.
    pub fn loading_since(&self, model: &str) -> Option<Instant> {
        self.residents
            .iter()
            .filter(|resident| resident.state == ResidencyState::Loading)
            .find(|resident| resident.model.as_str() == model)
            .map(|resident| resident.since)
    }

    /// Liveness at `now`. `only_entry` is true if no other entry is alive that
    /// could report on the agent.
    pub(crate) fn assess_liveness(
        &self,
        now: Instant,
        silence_limits: SilenceLimits,
        only_entry: bool,
    ) -> Liveness {
        let silent_ms = now.ms_since(self.last_heard_at);
        if silent_ms >= silence_limits.lost_ms() {
            return Liveness::Lost;
        }
        let is_silent = silent_ms >= silence_limits.suspect_ms();
        if is_silent
            && !self.connected
            && (only_entry || self.reported_silent_by_others(now, silence_limits))
        {
            return Liveness::Lost;
        }
        if is_silent || !self.connected {
            return Liveness::Suspected;
        }
        Liveness::Up
    }

    /// When the liveness may change if nothing more is heard.
    pub(crate) fn next_liveness_change(
        &self,
        now: Instant,
        silence_limits: SilenceLimits,
    ) -> Option<Instant> {
        [
            silence_limits.suspect_ms(),
            silence_limits.lost_ms(),
            silence_limits.forget_ms(),
        ]
        .into_iter()
        .map(|ms| self.last_heard_at.plus_ms(ms))
        .find(|at| *at > now)
    }

    pub(crate) fn add_silence_report(
        &mut self,
        now: Instant,
        by: &EntryId,
        incarnation: Incarnation,
    ) {
        let report = SilenceReport {
            incarnation,
            reported_at: now,
        };
        self.silence_reports.insert(by.clone(), report);
    }

    pub(crate) fn remove_silence_report_by(&mut self, by: &EntryId) {
        self.silence_reports.remove(by);
    }

    pub(crate) const fn announce_leaving(&mut self) {
        self.announced_leaving = true;
    }

    /// Resets the state for a new incarnation of the agent.
    pub(crate) fn restart(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
        self.sequence = 0;
        self.announced_leaving = false;
        self.upstream_up = false;
        self.connected = false;
        self.residents.clear();
        self.silence_reports.clear();
        self.last_heard_directly_at = None;
    }

    /// Applies a heartbeat that is newer than the last one.
    pub(crate) fn apply_heartbeat(&mut self, now: Instant, heartbeat: Heartbeat) {
        self.sequence = heartbeat.sequence;
        self.pool = PoolId::new(&heartbeat.pool);
        self.failure_domain = FailureDomainId::new(&heartbeat.failure_domain);
        self.accelerators_mib
            .clone_from(&heartbeat.accelerators_mib);
        if self.upstream_up != heartbeat.upstream_up {
            self.upstream_up = heartbeat.upstream_up;
            self.upstream_since = now;
        }
        self.announced_leaving |= heartbeat.leaving;
        self.target_planner.clone_from(&heartbeat.target_planner);
        self.last_heard_at = now;
        self.silence_reports.clear();
        let residents = heartbeat.residents.iter().take(RESIDENTS_MAX);
        self.residents = residents
            .filter_map(|resident| parse_resident(now, resident))
            .collect();
        if let Some(load) = &heartbeat.load {
            self.load.record_report(now, load);
        }
        self.last_heartbeat = heartbeat;
    }

    fn reported_silent_by_others(
        &self,
        now: Instant,
        silence_limits: SilenceLimits,
    ) -> bool {
        self.silence_reports.values().any(|report| {
            report.incarnation == self.incarnation
                && now.ms_since(report.reported_at) < silence_limits.suspect_ms()
        })
    }
}

fn parse_resident(now: Instant, resident: &Resident) -> Option<Residency> {
    let state = match ResidentState::try_from(resident.state).ok()? {
        ResidentState::Loading => ResidencyState::Loading,
        ResidentState::Loaded => ResidencyState::Loaded,
        ResidentState::Unloading => ResidencyState::Unloading,
        ResidentState::Unspecified => return None,
    };
    Some(Residency {
        model: ModelId::new(&resident.model),
        version: resident.version,
        accelerator: resident.accelerator,
        size_mib: resident.size_mib,
        state,
        since: now - Duration::from_millis(resident.age_ms),
    })
}
