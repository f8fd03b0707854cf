//! The targets of planners, and which of them is followed.

use base::{Instant, ModelId};
use mem::Placement;
use schema::link::Target;
use std::collections::BTreeMap;

/// Planners whose targets are kept; a cell has a few entries.
const MAX_PLANNERS: usize = 64;

/// Heartbeats for which a target is followed after it was heard.
const TARGET_LIFETIME_HEARTBEATS: u64 = 10;

#[derive(Debug)]
struct PlannerTarget {
    rank: u64,
    sequence: u64,
    received_at: Instant,
    wanted: Vec<Placement>,
}

/// The targets heard.
///
/// Two planners may both believe to be the one of the cell. Following the
/// highest rank, for as long as it is heard, keeps the agent from swinging
/// between their plans; one that falls silent is forgotten.
#[derive(Debug, Default)]
pub(super) struct Targets {
    by_planner: BTreeMap<String, PlannerTarget>,
    followed: String,
}

impl Targets {
    /// Takes in a target; an older one of the same planner is dropped.
    pub(super) fn accept(&mut self, now: Instant, target: &Target, heartbeat_ms: u64) {
        self.drop_expired(now, heartbeat_ms);
        if self
            .by_planner
            .get(&target.planner)
            .is_some_and(|held| held.sequence > target.sequence)
        {
            return;
        }
        let full = self.by_planner.len() >= MAX_PLANNERS;
        if full && !self.by_planner.contains_key(&target.planner) {
            return;
        }
        let wanted = target.models.iter().map(|model| Placement {
            accelerator: model.accelerator,
            model: ModelId::new(&model.model),
            version: model.version,
        });
        let by_planner = PlannerTarget {
            rank: target.rank,
            sequence: target.sequence,
            received_at: now,
            wanted: wanted.collect(),
        };
        self.by_planner.insert(target.planner.clone(), by_planner);
        self.select_planner();
    }

    /// What the followed planner wants; `None` if none has been heard lately.
    pub(super) fn wanted(
        &mut self,
        now: Instant,
        heartbeat_ms: u64,
    ) -> Option<&[Placement]> {
        self.drop_expired(now, heartbeat_ms);
        let followed = self.by_planner.get(&self.followed)?;
        Some(&followed.wanted)
    }

    /// Planner that is followed; empty for none.
    pub(super) fn planner(&self) -> &str {
        &self.followed
    }

    /// Sequence of the target that is followed.
    pub(super) fn sequence(&self) -> u64 {
        let followed = self.by_planner.get(&self.followed);
        followed.map_or(0, |by_planner| by_planner.sequence)
    }

    fn drop_expired(&mut self, now: Instant, heartbeat_ms: u64) {
        let life_ms = heartbeat_ms * TARGET_LIFETIME_HEARTBEATS;
        self.by_planner
            .retain(|_, held| now.ms_since(held.received_at) <= life_ms);
        self.select_planner();
    }

    fn select_planner(&mut self) {
        let best = self.by_planner.iter().max_by_key(|(_, held)| held.rank);
        self.followed = best.map_or_else(String::new, |(name, _)| name.clone());
    }
}
