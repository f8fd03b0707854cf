//! One agent as the directory knows it.

use base::prelude::*;
use schema::link::{Heartbeat, Resident, ResidentState};
use std::collections::BTreeMap;

use crate::{LoadTracker, SilenceLimits};

/// Residents taken from one heartbeat; more than any instance can hold.
const RESIDENTS_MAX: usize = 512;

/// What the silence of an agent means.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Liveness {
    /// It is heard.
    Up,
    /// It has been silent, or its link is down: it gets no new work.
    Suspected,
    /// It is given up: what it ran has to be run elsewhere.
    Lost,
}

/// Where a resident is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResidencyState {
    /// Being loaded.
    Loading,
    /// Able to serve.
    Loaded,
    /// Being unloaded.
    Unloading,
}

/// One model or adapter on one accelerator of an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Residency {
    /// Model or adapter.
    pub model: ModelId,
    /// Version.
    pub version: u32,
    /// Index of the accelerator.
    pub accelerator: u32,
    /// Memory it takes.
    pub size_mib: u32,
    /// Where it is in its life.
    pub state: ResidencyState,
    /// When the state was entered.
    pub since: Instant,
}

/// What another entry said about an agent's silence.
#[derive(Debug, Clone, Copy)]
struct SilenceReport {
    incarnation: Incarnation,
    reported_at: Instant,
}

/// One agent.
#[derive(Debug)]
pub struct Agent {
    /// Name.
    pub id: AgentId,
    /// Its run, by heartbeat or hello.
    pub incarnation: Incarnation,
    /// Sequence of the newest heartbeat.
    pub sequence: u64,
    /// Pool of its upstream.
    pub pool: PoolId,
    /// Failure domain.
    pub failure_domain: DomainId,
    /// Memory of each accelerator.
    pub accelerators_mib: Vec<u32>,
    /// What is on the accelerators.
    pub residents: Vec<Residency>,
    /// Its upstream answers.
    pub upstream_up: bool,
    /// Since when it does, or does not.
    pub upstream_since: Instant,
    /// This entry has a connection to it.
    pub connected: bool,
    /// When it was last heard, directly or through another entry.
    pub last_heard_at: Instant,
    /// When it was last heard directly.
    pub last_heard_directly_at: Option<Instant>,
    /// Load.
    pub load: LoadTracker,
    /// Planner whose target it follows.
    pub target_planner: String,
    /// The newest heartbeat as it came, for relaying.
    pub last_heartbeat: Heartbeat,
    /// Verdict at the last tick.
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
            failure_domain: DomainId::new(""),
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

    /// It is stopping, by its own word or the platform's.
    pub const fn leaving(&self) -> bool {
        self.announced_leaving || self.platform_leaving
    }

    /// It may be sent work: its link is up, it is heard over that link, its
    /// upstream answers and it is not stopping.
    pub fn usable(&self, now: Instant, silence_limits: SilenceLimits) -> bool {
        let heard = self
            .last_heard_directly_at
            .is_some_and(|at| now.ms_since(at) < silence_limits.suspect_ms());
        self.connected && heard && self.upstream_up && !self.leaving()
    }

    /// Version of a model it can serve now, if any; the highest if several.
    pub fn loaded_version(&self, model: &str) -> Option<u32> {
        self.residents
            .iter()
            .filter(|resident| resident.model.as_str() == model)
            .filter(|resident| resident.state == ResidencyState::Loaded)
            .map(|resident| resident.version)
            .max()
    }

    /// Whether it can serve one version of a model now.
    pub fn has_loaded_version(&self, model: &str, version: u32) -> bool {
        self.residents.iter().any(|resident| {
            resident.model.as_str() == model
                && resident.version == version
                && resident.state == ResidencyState::Loaded
        })
    }

    /// Since when it has been loading a model, if it is.
    pub fn loading_since(&self, model: &str) -> Option<Instant> {
        self.residents
            .iter()
            .filter(|resident| resident.state == ResidencyState::Loading)
            .find(|resident| resident.model.as_str() == model)
            .map(|resident| resident.since)
    }

    /// The verdict at a time, given whether another entry is alive to ask.
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
        let silent = silent_ms >= silence_limits.suspect_ms();
        if silent
            && !self.connected
            && (only_entry || self.reported_silent_by_others(now, silence_limits))
        {
            return Liveness::Lost;
        }
        if silent || !self.connected {
            return Liveness::Suspected;
        }
        Liveness::Up
    }

    /// When the verdict may change if nothing more is heard.
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

    pub(crate) fn remove_silence_report_of(&mut self, by: &EntryId) {
        self.silence_reports.remove(by);
    }

    pub(crate) const fn announce_leaving(&mut self) {
        self.announced_leaving = true;
    }

    /// A new run of the agent: nothing of the old one holds any more.
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

    /// Takes over a heartbeat that was found newer.
    pub(crate) fn apply_heartbeat(&mut self, now: Instant, heartbeat: Heartbeat) {
        self.sequence = heartbeat.sequence;
        self.pool = PoolId::new(&heartbeat.pool);
        self.failure_domain = DomainId::new(&heartbeat.failure_domain);
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
