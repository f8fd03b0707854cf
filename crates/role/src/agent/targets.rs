//! The targets of planners, and which of them is followed.

use base::{Instant, ModelId};
use mem::Placement;
use schema::link::Target;
use std::collections::BTreeMap;

/// Planners whose targets are kept; a cell has a few entries.
const PLANNERS_MAX: usize = 64;

/// Heartbeats for which a target is followed after it was heard.
const FOLLOWED_HEARTBEATS: u64 = 10;

#[derive(Debug)]
struct Heard {
    rank: u64,
    sequence: u64,
    at: Instant,
    wanted: Vec<Placement>,
}

/// The targets heard.
///
/// Two planners may both believe to be the one of the cell. Following the
/// highest rank, for as long as it is heard, keeps the agent from swinging
/// between their plans; one that falls silent is forgotten.
#[derive(Debug, Default)]
pub(super) struct Targets {
    heard: BTreeMap<String, Heard>,
    followed: String,
}

impl Targets {
    /// Takes in a target; an older one of the same planner is dropped.
    pub(super) fn hear(&mut self, now: Instant, target: &Target, heartbeat_ms: u64) {
        self.forget(now, heartbeat_ms);
        if self
            .heard
            .get(&target.planner)
            .is_some_and(|held| held.sequence > target.sequence)
        {
            return;
        }
        let full = self.heard.len() >= PLANNERS_MAX;
        if full && !self.heard.contains_key(&target.planner) {
            return;
        }
        let wanted = target.models.iter().map(|model| Placement {
            accelerator: model.accelerator,
            model: ModelId::new(&model.model),
            version: model.version,
        });
        let heard = Heard {
            rank: target.rank,
            sequence: target.sequence,
            at: now,
            wanted: wanted.collect(),
        };
        self.heard.insert(target.planner.clone(), heard);
        self.choose();
    }

    /// What the followed planner wants; `None` if none has been heard lately.
    pub(super) fn wanted(
        &mut self,
        now: Instant,
        beat_ms: u64,
    ) -> Option<&[Placement]> {
        self.forget(now, beat_ms);
        let followed = self.heard.get(&self.followed)?;
        Some(&followed.wanted)
    }

    /// Planner that is followed; empty for none.
    pub(super) fn planner(&self) -> &str {
        &self.followed
    }

    /// Sequence of the target that is followed.
    pub(super) fn sequence(&self) -> u64 {
        let followed = self.heard.get(&self.followed);
        followed.map_or(0, |heard| heard.sequence)
    }

    fn forget(&mut self, now: Instant, heartbeat_ms: u64) {
        let life_ms = heartbeat_ms * FOLLOWED_HEARTBEATS;
        self.heard
            .retain(|_, held| now.ms_since(held.at) <= life_ms);
        self.choose();
    }

    fn choose(&mut self) {
        let best = self.heard.iter().max_by_key(|(_, held)| held.rank);
        self.followed = best.map_or_else(String::new, |(name, _)| name.clone());
    }
}
