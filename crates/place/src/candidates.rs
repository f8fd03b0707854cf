//! Finds the accelerator on which one more replica of a group costs least.

use std::cmp::Ordering;

use crate::cell::{Accelerator, Replica};
use crate::plan_builder::{Displacement, PlanBuilder};

/// An accelerator for a new replica, and what placing it there costs.
#[derive(Debug)]
pub(crate) struct Candidate {
    /// Index of the accelerator.
    pub(crate) accelerator: usize,
    /// Value lost by removing the displaced replicas.
    pub(crate) loss: f64,
    /// Indices of the replicas to remove, in decreasing order.
    pub(crate) displaced: Vec<usize>,
}

impl Candidate {
    /// A candidate that replaces one replica, regardless of its value.
    pub(crate) fn replacing(accelerator: usize, replica: usize) -> Self {
        Self {
            accelerator,
            loss: 0.0,
            displaced: vec![replica],
        }
    }
}

/// Sort key of candidates; the least is preferred.
#[derive(Debug)]
struct Rank {
    loss: f64,
    /// Whether the accelerator holds no older version of the group.
    lacks_old_version: bool,
    /// Replicas of the group in the same failure domain, and on the same instance.
    /// Spreading them keeps one failure from taking all replicas.
    colocated: [u32; 2],
    /// Batch slots that the accelerator has for the group.
    slots: f64,
    free_mib: u64,
}

impl Rank {
    fn cmp(&self, other: &Self) -> Ordering {
        self.loss
            .total_cmp(&other.loss)
            .then(self.lacks_old_version.cmp(&other.lacks_old_version))
            .then(self.colocated.cmp(&other.colocated))
            .then(other.slots.total_cmp(&self.slots))
            .then(other.free_mib.cmp(&self.free_mib))
    }
}

impl PlanBuilder<'_, '_> {
    /// Returns the least costly accelerator for one more replica of a group.
    pub(crate) fn best_candidate(
        &self,
        group: usize,
        displacement: Displacement,
    ) -> Option<Candidate> {
        let holding_agents = self.holding_agents(group);
        let mut best: Option<(Rank, Candidate)> = None;
        for index in 0..self.cell.accelerators.len() {
            let Some(candidate) = self.candidate_on(group, index, displacement) else {
                continue;
            };
            let rank = self.rank(group, &candidate, &holding_agents);
            if best.as_ref().is_none_or(|(best, _)| rank.cmp(best).is_lt()) {
                best = Some((rank, candidate));
            }
        }
        best.map(|(_, candidate)| candidate)
    }

    /// Returns the agent of each current replica of the group on instances that are
    /// not shutting down.
    fn holding_agents(&self, group: usize) -> Vec<usize> {
        if self.replica_counts[group] == 0 {
            return Vec::new();
        }
        let accelerators = self.cell.accelerators.iter();
        accelerators
            .filter(|accelerator| {
                !accelerator.leaving && accelerator.current_replica(group).is_some()
            })
            .map(|accelerator| accelerator.agent)
            .collect()
    }

    /// Returns a lower bound for the loss of placing any group on any accelerator.
    pub(crate) fn least_loss(&self) -> f64 {
        let groups = 0..self.catalog.groups.len();
        let smallest = groups
            .map(|group| self.base_size_mib(group))
            .min()
            .unwrap_or(0);
        let accelerators = self
            .cell
            .accelerators
            .iter()
            .filter(|accelerator| !accelerator.leaving);
        let losses = accelerators.map(|accelerator| {
            if accelerator.free_mib() >= smallest {
                return 0.0;
            }
            let displaceable =
                self.displaceable(accelerator, Displacement::AfterMinResidence);
            displaceable
                .first()
                .map_or(f64::INFINITY, |(loss, _)| *loss)
        });
        losses.fold(f64::INFINITY, f64::min)
    }

    /// Memory of the largest accelerator on an instance that is not shutting down.
    pub(crate) fn largest_mib(&self) -> u64 {
        let accelerators = self
            .cell
            .accelerators
            .iter()
            .filter(|accelerator| !accelerator.leaving);
        accelerators
            .map(|accelerator| accelerator.capacity_mib)
            .max()
            .unwrap_or(0)
    }

    /// Returns the replicas to displace for the group on an accelerator; `None` if
    /// it can't be placed there.
    fn candidate_on(
        &self,
        group: usize,
        index: usize,
        displacement: Displacement,
    ) -> Option<Candidate> {
        let accelerator = &self.cell.accelerators[index];
        let size = self.base_size_mib(group);
        if !self.is_eligible(accelerator, group) || size > accelerator.capacity_mib {
            return None;
        }
        let mut free = accelerator.free_mib();
        let mut candidate = Candidate {
            accelerator: index,
            loss: 0.0,
            displaced: Vec::new(),
        };
        if free >= size {
            return Some(candidate);
        }
        for (loss, replica) in self.displaceable(accelerator, displacement) {
            free += accelerator.replicas[replica].size_mib();
            candidate.loss += loss;
            candidate.displaced.push(replica);
            if free >= size {
                candidate.displaced.sort_unstable_by(|a, b| b.cmp(a));
                return Some(candidate);
            }
        }
        None
    }

    /// Whether a replica of the group is allowed on the accelerator at all.
    fn is_eligible(&self, accelerator: &Accelerator, group: usize) -> bool {
        let base = &self.catalog.models[self.catalog.groups[group].base];
        let agent = &self.cell.agents[accelerator.agent];
        !accelerator.leaving
            && agent.pool == base.spec.pool
            && accelerator.current_replica(group).is_none()
    }

    /// Returns the replicas that may be removed as (loss, index), the least loss
    /// first.
    fn displaceable(
        &self,
        accelerator: &Accelerator,
        displacement: Displacement,
    ) -> Vec<(f64, usize)> {
        let replicas = accelerator.replicas.iter().enumerate();
        let mut displaceable: Vec<(f64, usize)> = replicas
            .filter(|(_, replica)| self.may_displace(replica, displacement))
            .map(|(index, replica)| (self.loss(replica), index))
            .collect();
        displaceable.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        displaceable
    }

    /// Whether a replica may be displaced.
    fn may_displace(&self, replica: &Replica, displacement: Displacement) -> bool {
        if replica.outdated {
            return true;
        }
        // Aborting a load in progress would waste the weight store's budget.
        replica.base.is_loaded()
            && (displacement == Displacement::AnyLoaded || !self.is_protected(replica))
    }

    /// Value lost by removing a replica, with the group's slots split evenly among
    /// its replicas.
    fn loss(&self, replica: &Replica) -> f64 {
        if replica.outdated {
            return 0.0;
        }
        let group = &self.catalog.groups[replica.group];
        let slots = self.slots[replica.group];
        let removed = slots / f64::from(self.replica_counts[replica.group].max(1));
        self.costs.loss(group, slots, removed)
    }

    /// Computes the sort key of a candidate.
    fn rank(
        &self,
        group: usize,
        candidate: &Candidate,
        holding_agents: &[usize],
    ) -> Rank {
        let accelerator = &self.cell.accelerators[candidate.accelerator];
        let agent = &self.cell.agents[accelerator.agent];
        let mut colocated = [0u32; 2];
        for holder in holding_agents {
            let other = &self.cell.agents[*holder];
            colocated[0] += u32::from(other.domain == agent.domain);
            colocated[1] += u32::from(*holder == accelerator.agent);
        }
        Rank {
            loss: candidate.loss,
            lacks_old_version: !accelerator
                .replicas
                .iter()
                .any(|replica| replica.group == group),
            colocated,
            slots: self.slots_on(accelerator, group, &candidate.displaced),
            free_mib: accelerator.free_mib(),
        }
    }
}
