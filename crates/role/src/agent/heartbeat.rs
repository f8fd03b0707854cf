//! Heartbeats to the entries.

use super::{AgentAction, AgentRole};
use base::prelude::*;
use mem::Placement;
use schema::link::{Goodbye, Heartbeat, Resident, ResidentState, frame};
use std::collections::BTreeMap;

/// Every so many heartbeats, the agent sends `ConfigAsk` to one entry, each in
/// turn. By this, an agent that receives no work learns of new revisions as
/// well.
const HEARTBEATS_PER_CONFIG_ASK: u64 = 4;

/// State by which entries choose agents; a change is sent at once and does not
/// wait for the next periodic heartbeat.
#[derive(Debug, Default, PartialEq, Eq)]
struct AdvertisedState {
    /// State and size in MiB of each resident.
    residents: BTreeMap<Placement, (ResidentState, u32)>,
    upstream_up: bool,
    leaving: bool,
    epoch: u64,
    /// An exclusive run occupies the upstream or waits for it.
    exclusive: bool,
    /// Generation of the platform whose lost claims the agent waits for.
    restored_generation: Option<u64>,
}

/// Schedule of the heartbeats and the state that the last one carried.
#[derive(Debug)]
pub(super) struct HeartbeatState {
    next_at: Instant,
    sequence: u64,
    advertised: AdvertisedState,
    /// State of each resident and when it entered that state.
    state_since: BTreeMap<Placement, (ResidentState, Instant)>,
}

impl HeartbeatState {
    pub(super) fn new(next_at: Instant) -> Self {
        Self {
            next_at,
            sequence: 0,
            advertised: AdvertisedState::default(),
            state_since: BTreeMap::new(),
        }
    }

    pub(super) const fn next_at(&self) -> Instant {
        self.next_at
    }

    pub(super) fn set_next_at(&mut self, next_at: Instant) {
        self.next_at = next_at;
    }
}

impl AgentRole {
    /// Sends a heartbeat if one is due or if state that entries route by has
    /// changed.
    pub(super) fn advance_heartbeat(
        &mut self,
        now: Instant,
        out: &mut Vec<AgentAction>,
    ) {
        let advertised = self.state_to_advertise(now);
        let changed = advertised != self.heartbeat_state.advertised;
        if !changed && now < self.heartbeat_state.next_at {
            return;
        }
        self.heartbeat_state.next_at = now.plus_ms(self.heartbeat_ms());
        self.heartbeat_state.advertised = advertised;
        if self.record.is_fenced() {
            return;
        }
        let heartbeat = self.build_heartbeat(now);
        let entries: Vec<EntryId> = self.connected_entries.iter().cloned().collect();
        for entry in &entries {
            self.counters.heartbeats += 1;
            let body = frame::Body::Heartbeat(heartbeat.clone());
            self.send(Some(entry), body, out);
        }
        self.ask_next_entry_for_config(now, &entries, out);
    }

    /// Sends `ConfigAsk` to the entry whose turn it is, if it is due with this
    /// heartbeat.
    fn ask_next_entry_for_config(
        &mut self,
        now: Instant,
        entries: &[EntryId],
        out: &mut Vec<AgentAction>,
    ) {
        let ask_number = self.heartbeat_state.sequence / HEARTBEATS_PER_CONFIG_ASK;
        let is_due = self
            .heartbeat_state
            .sequence
            .is_multiple_of(HEARTBEATS_PER_CONFIG_ASK);
        if entries.is_empty() || !is_due || !self.config_sync.try_begin_ask(now) {
            return;
        }
        let count = u64::try_from(entries.len()).unwrap_or(1);
        let index = usize::try_from(ask_number % count).unwrap_or(0);
        self.send_config_ask(&entries[index], out);
    }

    pub(super) fn build_heartbeat(&mut self, now: Instant) -> Heartbeat {
        self.heartbeat_state.sequence += 1;
        let residents = self.build_residents(now);
        let pool = self.pool().filter(|pool| pool.is_engine);
        Heartbeat {
            agent: self.options.id.as_str().to_owned(),
            incarnation: self.options.incarnation.0,
            epoch: self.record.epoch().0,
            pool: self.options.pool.as_str().to_owned(),
            failure_domain: self.options.failure_domain.as_str().to_owned(),
            load: Some(self.load_report(now)),
            leaving: self.drain.is_some(),
            upstream_up: self.upstream.is_up(),
            accelerators_mib: pool
                .map_or_else(Vec::new, |p| p.accelerators_mib.clone()),
            sequence: self.heartbeat_state.sequence,
            target_planner: self.targets.planner().to_owned(),
            target_sequence: self.targets.sequence(),
            link_address: self.options.link_address.clone(),
            operator_address: self.options.operator_address.clone(),
            residents,
            restored_generation: self.claims.restored_generation(now).unwrap_or(0),
        }
    }

    fn build_residents(&mut self, now: Instant) -> Vec<Resident> {
        let advertised = self.residents_to_advertise();
        let state_since = &mut self.heartbeat_state.state_since;
        state_since.retain(|placement, _| advertised.contains_key(placement));
        let residents = advertised
            .into_iter()
            .map(|(placement, (state, size_mib))| {
                let since =
                    state_since.entry(placement.clone()).or_insert((state, now));
                if since.0 != state {
                    *since = (state, now);
                }
                Resident {
                    model: placement.model.as_str().to_owned(),
                    version: placement.version,
                    accelerator: placement.accelerator,
                    state: state.into(),
                    size_mib,
                    age_ms: now.ms_since(since.1),
                }
            });
        residents.collect()
    }

    fn state_to_advertise(&self, now: Instant) -> AdvertisedState {
        AdvertisedState {
            residents: self.residents_to_advertise(),
            upstream_up: self.upstream.is_up(),
            leaving: self.drain.is_some(),
            epoch: self.record.epoch().0,
            exclusive: self.attempts.any_exclusive(),
            restored_generation: self.claims.restored_generation(now),
        }
    }

    /// Returns everything that occupies accelerator memory or may do so later:
    /// residents, and loads that may still take effect.
    fn residents_to_advertise(&self) -> BTreeMap<Placement, (ResidentState, u32)> {
        let mut advertised = BTreeMap::new();
        for order in self.ledger.orders().filter(|order| order.load) {
            let value = (ResidentState::Loading, order.size_mib);
            advertised.insert(order.placement.clone(), value);
        }
        for resident in self.ledger.residents() {
            let placement = &resident.placement;
            let unloading = self.orders.is_unload_pending_at(placement)
                || self.is_being_unloaded(placement);
            let state = match (unloading, resident.loaded) {
                (true, _) => ResidentState::Unloading,
                (false, true) => ResidentState::Loaded,
                (false, false) => ResidentState::Loading,
            };
            advertised.insert(placement.clone(), (state, resident.size_mib));
        }
        advertised
    }

    /// Tells the connected entries that this process is leaving.
    pub(super) fn send_goodbyes(&self, out: &mut Vec<AgentAction>) {
        for entry in &self.connected_entries {
            let goodbye = Goodbye {
                id: self.options.id.as_str().to_owned(),
                incarnation: self.options.incarnation.0,
            };
            self.send(Some(entry), frame::Body::Goodbye(goodbye), out);
        }
    }
}
