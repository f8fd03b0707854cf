//! Heartbeats to the entries.

use super::{AgentAction, AgentRole};
use base::prelude::*;
use mem::Placement;
use schema::link::{Goodbye, Heartbeat, Resident, ResidentState, frame};
use std::collections::BTreeMap;

/// Heartbeats after which an entry is asked for configuration changes, so that
/// an agent that gets no work hears of them as well.
const ASK_EVERY: u64 = 4;

/// What entries must hear of at once when it changes.
#[derive(Debug, Default, PartialEq, Eq)]
struct Shown {
    residents: BTreeMap<Placement, (ResidentState, u32)>,
    up: bool,
    leaving: bool,
    epoch: u64,
    /// A run has the upstream to itself, or waits for it.
    alone: bool,
}

/// When the next heartbeat goes out, and what the last one showed.
#[derive(Debug)]
pub(super) struct Beat {
    next: Instant,
    sequence: u64,
    shown: Shown,
    since: BTreeMap<Placement, (ResidentState, Instant)>,
}

impl Beat {
    pub(super) fn new(next: Instant) -> Self {
        Self {
            next,
            sequence: 0,
            shown: Shown::default(),
            since: BTreeMap::new(),
        }
    }

    pub(super) const fn next(&self) -> Instant {
        self.next
    }

    pub(super) fn set_next(&mut self, next: Instant) {
        self.next = next;
    }
}

impl AgentRole {
    /// Sends a heartbeat if it is time, or if something has changed that
    /// entries route by.
    pub(super) fn advance_beat(&mut self, now: Instant, out: &mut Vec<AgentAction>) {
        let shown = self.shown();
        let changed = shown != self.beat.shown;
        if !changed && now < self.beat.next {
            return;
        }
        self.beat.next = now.plus_ms(self.heartbeat_ms());
        self.beat.shown = shown;
        if self.record.is_fenced() {
            return;
        }
        let heartbeat = self.make_heartbeat(now);
        let entries: Vec<EntryId> = self.links.iter().cloned().collect();
        for entry in &entries {
            self.counters.heartbeats += 1;
            let body = frame::Body::Heartbeat(heartbeat.clone());
            self.send(Some(entry), body, out);
        }
        self.ask_in_turn(now, &entries, out);
    }

    fn ask_in_turn(
        &mut self,
        now: Instant,
        entries: &[EntryId],
        out: &mut Vec<AgentAction>,
    ) {
        let turn = self.beat.sequence / ASK_EVERY;
        let is_turn = self.beat.sequence.is_multiple_of(ASK_EVERY);
        if entries.is_empty() || !is_turn || !self.settings.may_ask(now) {
            return;
        }
        let count = u64::try_from(entries.len()).unwrap_or(1);
        let place = usize::try_from(turn % count).unwrap_or(0);
        self.ask(&entries[place], out);
    }

    pub(super) fn make_heartbeat(&mut self, now: Instant) -> Heartbeat {
        self.beat.sequence += 1;
        let residents = self.heartbeat_residents(now);
        let pool = self.pool().filter(|pool| pool.engine);
        Heartbeat {
            agent: self.options.id.as_str().to_owned(),
            incarnation: self.options.incarnation.0,
            epoch: self.record.epoch().0,
            pool: self.options.pool.as_str().to_owned(),
            failure_domain: self.options.failure_domain.as_str().to_owned(),
            load: Some(self.load(now)),
            leaving: self.drain.is_some(),
            upstream_up: self.upstream.is_up(),
            accelerators_mib: pool
                .map_or_else(Vec::new, |p| p.accelerators_mib.clone()),
            sequence: self.beat.sequence,
            target_planner: self.targets.planner().to_owned(),
            target_sequence: self.targets.sequence(),
            link_address: self.options.link_address.clone(),
            operator_address: self.options.operator_address.clone(),
            residents,
        }
    }

    fn heartbeat_residents(&mut self, now: Instant) -> Vec<Resident> {
        let shown = self.shown().residents;
        let since = &mut self.beat.since;
        since.retain(|placement, _| shown.contains_key(placement));
        let residents = shown.into_iter().map(|(placement, (state, size_mib))| {
            let entered = since.entry(placement.clone()).or_insert((state, now));
            if entered.0 != state {
                *entered = (state, now);
            }
            Resident {
                model: placement.model.as_str().to_owned(),
                version: placement.version,
                accelerator: placement.accelerator,
                state: state.into(),
                size_mib,
                age_ms: now.ms_since(entered.1),
            }
        });
        residents.collect()
    }

    fn shown(&self) -> Shown {
        Shown {
            residents: self.shown_residents(),
            up: self.upstream.is_up(),
            leaving: self.drain.is_some(),
            epoch: self.record.epoch().0,
            alone: self.attempts.any_alone(),
        }
    }

    /// What takes memory, or may: residents, and loads that may still come.
    fn shown_residents(&self) -> BTreeMap<Placement, (ResidentState, u32)> {
        let mut shown = BTreeMap::new();
        for order in self.ledger.orders().filter(|order| order.load) {
            let value = (ResidentState::Loading, order.size_mib);
            shown.insert(order.placement.clone(), value);
        }
        for resident in self.ledger.residents() {
            let placement = &resident.placement;
            let going = self.orders.is_retiring_at(placement)
                || self.is_being_unloaded(placement);
            let state = match (going, resident.loaded) {
                (true, _) => ResidentState::Unloading,
                (false, true) => ResidentState::Loaded,
                (false, false) => ResidentState::Loading,
            };
            shown.insert(placement.clone(), (state, resident.size_mib));
        }
        shown
    }

    pub(super) fn say_goodbye(&self, out: &mut Vec<AgentAction>) {
        for entry in &self.links {
            let goodbye = Goodbye {
                id: self.options.id.as_str().to_owned(),
                incarnation: self.options.incarnation.0,
            };
            self.send(Some(entry), frame::Body::Goodbye(goodbye), out);
        }
    }
}
