//! Targets received from planners, and the choice of the one to follow.

use base::{Instant, ModelId};
use mem::Placement;
use schema::link::Target;
use std::collections::BTreeMap;

/// Maximum number of planners whose targets are kept; a planning cell has only
/// a few entries.
const MAX_PLANNERS: usize = 64;

/// Heartbeat intervals for which a target is followed after it was received.
const TARGET_LIFETIME_HEARTBEATS: u64 = 10;

#[derive(Debug)]
struct PlannerTarget {
    /// Rank of the planner; the highest is followed.
    rank: u64,
    sequence: u64,
    received_at: Instant,
    wanted: Vec<Placement>,
}

/// Last target of each planner.
///
/// Two entries may both believe that they plan the cell. Following the one with
/// the highest rank for as long as its targets arrive keeps the agent from
/// alternating between their plans; a planner that falls silent is dropped.
#[derive(Debug, Default)]
pub(super) struct Targets {
    by_planner: BTreeMap<String, PlannerTarget>,
    followed: String,
}

impl Targets {
    /// Stores a target, unless a newer one of the same planner is known or the
    /// maximum number of planners is reached.
    pub(super) fn accept(&mut self, now: Instant, target: &Target, heartbeat_ms: u64) {
        self.drop_expired(now, heartbeat_ms);
        if self
            .by_planner
            .get(&target.planner)
            .is_some_and(|last| last.sequence > target.sequence)
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
        let planner_target = PlannerTarget {
            rank: target.rank,
            sequence: target.sequence,
            received_at: now,
            wanted: wanted.collect(),
        };
        self.by_planner
            .insert(target.planner.clone(), planner_target);
        self.select_planner();
    }

    /// Placements that the followed planner wants; `None` if no recent target
    /// is known.
    pub(super) fn wanted(
        &mut self,
        now: Instant,
        heartbeat_ms: u64,
    ) -> Option<&[Placement]> {
        self.drop_expired(now, heartbeat_ms);
        let followed = self.by_planner.get(&self.followed)?;
        Some(&followed.wanted)
    }

    /// The followed planner; empty for none.
    pub(super) fn planner(&self) -> &str {
        &self.followed
    }

    /// Sequence number of the followed target; 0 for none.
    pub(super) fn sequence(&self) -> u64 {
        let followed = self.by_planner.get(&self.followed);
        followed.map_or(0, |target| target.sequence)
    }

    fn drop_expired(&mut self, now: Instant, heartbeat_ms: u64) {
        let lifetime_ms = heartbeat_ms * TARGET_LIFETIME_HEARTBEATS;
        self.by_planner
            .retain(|_, last| now.ms_since(last.received_at) <= lifetime_ms);
        self.select_planner();
    }

    fn select_planner(&mut self) {
        let best = self.by_planner.iter().max_by_key(|(_, last)| last.rank);
        self.followed = best.map_or_else(String::new, |(name, _)| name.clone());
    }
}
