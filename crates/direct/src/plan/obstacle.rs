//! What keeps a model whose requests are refused from getting one more copy.

use super::{MAX_PLANNED_LOADS, PlanBuilder};
use crate::MoveObstacle;

impl PlanBuilder<'_> {
    /// What kept a model from getting one more copy, or `None` if the plan has one.
    pub(crate) fn obstacle_of(&self, model: &str) -> Option<MoveObstacle> {
        if self.planned.iter().any(|load| *load.load == *model) {
            return None;
        }
        let model = self.models.index_of(model)?;
        let size_mb = self.model_facts[model].spec?.weights_mb;
        let accepting = (0..self.upstreams.len()).filter(|index| {
            let upstream = &self.upstreams[*index];
            upstream.idle && !upstream.holds(model)
        });
        let accepting: Vec<usize> = accepting.collect();
        if accepting.is_empty() {
            return Some(MoveObstacle::UpstreamsBusy);
        }
        let loadable = accepting.into_iter().filter(|index| {
            let local = self.upstreams[*index].local_weights.contains(model);
            local || self.store_loads_left > 0
        });
        let loadable: Vec<usize> = loadable.collect();
        if loadable.is_empty() {
            return Some(MoveObstacle::StoreRate);
        }
        let has_room = |index: &usize| {
            let room = self.find_room(model, *index, size_mb, true);
            room.is_some()
        };
        if loadable.iter().any(has_room) {
            let full = self.planned.len() >= MAX_PLANNED_LOADS;
            return Some(if full {
                MoveObstacle::PlanFull
            } else {
                MoveObstacle::Cost
            });
        }
        let held = loadable
            .iter()
            .flat_map(|index| &self.upstreams[*index].models);
        let mut settled = held.filter(|held| !held.unloading && !self.is_recent(held));
        Some(if settled.any(|held| self.is_protected(held, model)) {
            MoveObstacle::LastCopies
        } else {
            MoveObstacle::Residence
        })
    }
}
