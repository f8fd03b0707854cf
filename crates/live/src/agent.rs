//! One agent as the directory knows it.

use base::prelude::*;
use schema::link::{Heartbeat, Resident, ResidentState};
use std::collections::BTreeMap;

use crate::{Hint, Timing};

/// Residents taken from one heartbeat; more than any instance can hold.
const RESIDENTS_MAX: usize = 512;

/// What the silence of an agent means.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Life {
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
struct SilenceWord {
    incarnation: Incarnation,
    said_at: Instant,
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
    pub domain: FailureDomainId,
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
    pub heard_at: Instant,
    /// When it was last heard directly.
    pub direct_at: Option<Instant>,
    /// Load.
    pub hint: Hint,
    /// Planner whose target it follows.
    pub target_planner: String,
    /// The newest heartbeat as it came, for relaying.
    pub last: Heartbeat,
    /// Verdict at the last tick.
    pub life: Life,
    said_leaving: bool,
    pub(crate) platform_leaving: bool,
    silences: BTreeMap<EntryId, SilenceWord>,
}

impl Agent {
    pub(crate) fn new(id: AgentId, now: Instant) -> Self {
        Self {
            id,
            incarnation: Incarnation(0),
            sequence: 0,
            pool: PoolId::new(""),
            domain: FailureDomainId::new(""),
            accelerators_mib: Vec::new(),
            residents: Vec::new(),
            upstream_up: false,
            upstream_since: now,
            connected: false,
            heard_at: now,
            direct_at: None,
            hint: Hint::default(),
            target_planner: String::new(),
            last: Heartbeat::default(),
            life: Life::Suspected,
            said_leaving: false,
            platform_leaving: false,
            silences: BTreeMap::new(),
        }
    }

    /// It is stopping, by its own word or the platform's.
    pub const fn leaving(&self) -> bool {
        self.said_leaving || self.platform_leaving
    }

    /// It may be sent work: its link is up, it is heard over that link, its
    /// upstream answers and it is not stopping.
    pub fn usable(&self, now: Instant, timing: Timing) -> bool {
        let heard = self
            .direct_at
            .is_some_and(|at| now.ms_since(at) < timing.suspect_ms());
        self.connected && heard && self.upstream_up && !self.leaving()
    }

    /// Version of a model it can serve now, if any; the highest if several.
    pub fn serves(&self, model: &str) -> Option<u32> {
        self.residents
            .iter()
            .filter(|held| held.model.as_str() == model)
            .filter(|held| held.state == ResidencyState::Loaded)
            .map(|held| held.version)
            .max()
    }

    /// Whether it can serve one version of a model now.
    pub fn serves_version(&self, model: &str, version: u32) -> bool {
        self.residents.iter().any(|held| {
            held.model.as_str() == model
                && held.version == version
                && held.state == ResidencyState::Loaded
        })
    }

    /// Since when it has been loading a model, if it is.
    pub fn loading_since(&self, model: &str) -> Option<Instant> {
        self.residents
            .iter()
            .filter(|held| held.state == ResidencyState::Loading)
            .find(|held| held.model.as_str() == model)
            .map(|held| held.since)
    }

    /// The verdict at a time, given whether another entry is alive to ask.
    pub(crate) fn judge(&self, now: Instant, timing: Timing, alone: bool) -> Life {
        let silent_ms = now.ms_since(self.heard_at);
        if silent_ms >= timing.lost_ms() {
            return Life::Lost;
        }
        let silent = silent_ms >= timing.suspect_ms();
        if silent && !self.connected && (alone || self.missed_by_others(now, timing)) {
            return Life::Lost;
        }
        if silent || !self.connected {
            return Life::Suspected;
        }
        Life::Up
    }

    /// When the verdict may change if nothing more is heard.
    pub(crate) fn next_verdict(&self, now: Instant, timing: Timing) -> Option<Instant> {
        [timing.suspect_ms(), timing.lost_ms(), timing.forget_ms()]
            .into_iter()
            .map(|ms| self.heard_at.plus_ms(ms))
            .find(|at| *at > now)
    }

    pub(crate) fn note_silence(
        &mut self,
        now: Instant,
        by: &EntryId,
        incarnation: Incarnation,
    ) {
        let word = SilenceWord {
            incarnation,
            said_at: now,
        };
        self.silences.insert(by.clone(), word);
    }

    pub(crate) fn forget_silences_of(&mut self, by: &EntryId) {
        self.silences.remove(by);
    }

    pub(crate) const fn say_leaving(&mut self) {
        self.said_leaving = true;
    }

    /// A new run of the agent: nothing of the old one holds any more.
    pub(crate) fn restart(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
        self.sequence = 0;
        self.said_leaving = false;
        self.upstream_up = false;
        self.connected = false;
        self.residents.clear();
        self.silences.clear();
        self.direct_at = None;
    }

    /// Takes over a heartbeat that was found newer.
    pub(crate) fn take(&mut self, now: Instant, beat: Heartbeat) {
        self.sequence = beat.sequence;
        self.pool = PoolId::new(&beat.pool);
        self.domain = FailureDomainId::new(&beat.failure_domain);
        self.accelerators_mib.clone_from(&beat.accelerators_mib);
        if self.upstream_up != beat.upstream_up {
            self.upstream_up = beat.upstream_up;
            self.upstream_since = now;
        }
        self.said_leaving |= beat.leaving;
        self.target_planner.clone_from(&beat.target_planner);
        self.heard_at = now;
        self.silences.clear();
        let residents = beat.residents.iter().take(RESIDENTS_MAX);
        self.residents = residents.filter_map(|held| residency(now, held)).collect();
        if let Some(load) = &beat.load {
            self.hint.note(now, load);
        }
        self.last = beat;
    }

    fn missed_by_others(&self, now: Instant, timing: Timing) -> bool {
        self.silences.values().any(|word| {
            word.incarnation == self.incarnation
                && now.ms_since(word.said_at) < timing.suspect_ms()
        })
    }
}

fn residency(now: Instant, held: &Resident) -> Option<Residency> {
    let state = match ResidentState::try_from(held.state).ok()? {
        ResidentState::Loading => ResidencyState::Loading,
        ResidentState::Loaded => ResidencyState::Loaded,
        ResidentState::Unloading => ResidencyState::Unloading,
        ResidentState::Unspecified => return None,
    };
    Some(Residency {
        model: ModelId::new(&held.model),
        version: held.version,
        accelerator: held.accelerator,
        size_mib: held.size_mib,
        state,
        since: now - Duration::from_millis(held.age_ms),
    })
}
