//! State of a plan while it is made, and the choice of replicas by expected gain.

use crate::budget::LoadAllowance;
pub(crate) use crate::candidates::Candidate;
use crate::catalog::Catalog;
use crate::cell::{Accelerator, CellState, PlannedModel, Replica};
use crate::costs::CostModel;
use crate::types::{PlacementReason, PlanInput, PlanNote};

/// Which replicas a new replica may displace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Displacement {
    /// Loaded replicas whose minimum residence has passed.
    AfterMinResidence,
    /// Any loaded replica.
    AnyLoaded,
}

/// A plan while it is made.
#[derive(Debug)]
pub(crate) struct PlanBuilder<'a, 'b> {
    /// Input of the plan.
    pub(crate) input: &'b PlanInput<'a>,
    /// Models and their demand.
    pub(crate) catalog: &'b Catalog<'a>,
    /// Accelerators of the cell and the models wanted on them so far.
    pub(crate) cell: CellState<'a>,
    /// Loads that the plan may still start.
    pub(crate) allowance: &'b mut LoadAllowance,
    /// Computes the value of gains and losses.
    pub(crate) costs: CostModel,
    /// Explanations for operators.
    pub(crate) notes: Vec<PlanNote>,
    /// Number of replicas per group, without outdated ones and those on instances
    /// that are shutting down.
    pub(crate) replica_counts: Vec<u32>,
    /// Batch slots that the counted replicas of each group have for it.
    pub(crate) slots: Vec<f64>,
    /// Groups that justify a replica but wait for the weight store's budget.
    pub(crate) awaiting_budget: Vec<bool>,
    /// Per group, whether it has replicas that are about to be removed.
    retiring: Vec<Retiring>,
}

/// Kinds of replicas of a group that receive no new requests.
#[derive(Debug, Clone, Copy, Default)]
struct Retiring {
    leaving: bool,
    outdated: bool,
}

impl<'a, 'b> PlanBuilder<'a, 'b> {
    /// Starts from the models that are already wanted.
    pub(crate) fn new(
        input: &'b PlanInput<'a>,
        catalog: &'b Catalog<'a>,
        cell: CellState<'a>,
        allowance: &'b mut LoadAllowance,
    ) -> Self {
        let load_s = f64::from(input.config.store().load_time_ms) / 1_000.0;
        let groups = catalog.groups.len();
        let mut builder = Self {
            costs: CostModel::new(input.config.weights(), load_s),
            input,
            catalog,
            cell,
            allowance,
            notes: Vec::new(),
            replica_counts: vec![0; groups],
            slots: vec![0.0; groups],
            awaiting_budget: vec![false; groups],
            retiring: vec![Retiring::default(); groups],
        };
        for accelerator in &builder.cell.accelerators {
            for replica in &accelerator.replicas {
                let retiring = &mut builder.retiring[replica.group];
                retiring.leaving |= accelerator.leaving;
                retiring.outdated |= replica.outdated;
                if !accelerator.leaving && !replica.outdated {
                    builder.replica_counts[replica.group] += 1;
                }
            }
        }
        for accelerator in builder
            .cell
            .accelerators
            .iter()
            .filter(|accelerator| !accelerator.leaving)
        {
            for replica in accelerator
                .replicas
                .iter()
                .filter(|replica| !replica.outdated)
            {
                builder.slots[replica.group] +=
                    builder.slots_on(accelerator, replica.group, &[]);
            }
        }
        builder
    }

    /// Returns the batch slots that an accelerator has for a group beside its other
    /// groups, ignoring the replicas at the indices `displaced`.
    ///
    /// The groups on an accelerator share its batch slots. Each other group is
    /// assumed to take its demand divided by its number of replicas, but this group
    /// gets at least an even share.
    pub(crate) fn slots_on(
        &self,
        accelerator: &Accelerator,
        group: usize,
        displaced: &[usize],
    ) -> f64 {
        let slots = self.catalog.groups[group].slots;
        let mut replicas = 1.0;
        let mut busy_slots = 0.0;
        for (index, replica) in accelerator.replicas.iter().enumerate() {
            if replica.group == group || replica.outdated || displaced.contains(&index)
            {
                continue;
            }
            replicas += 1.0;
            let replica_count = f64::from(self.replica_counts[replica.group].max(1));
            busy_slots +=
                self.catalog.groups[replica.group].needed_slots() / replica_count;
        }
        (slots - busy_slots).max(slots / replicas)
    }

    /// Returns the planned state of the cell and the notes.
    pub(crate) fn finish(self) -> (CellState<'a>, Vec<PlanNote>) {
        (self.cell, self.notes)
    }

    /// Adds replicas in decreasing order of gain as long as a move is justified.
    ///
    /// A group scans all accelerators only if its gain exceeds the least loss of
    /// any displacement and the weight store's budget allows a load. The cost is
    /// therefore that of sorting the groups, plus one pass over the accelerators
    /// for each load of the plan and for each group tried in between.
    pub(crate) fn add_by_gain(&mut self) {
        let mut gains: Vec<(f64, usize)> = (0..self.catalog.groups.len())
            .filter(|group| self.catalog.groups[*group].demand.is_active())
            .map(|group| (self.dedicated_gain(group), group))
            .filter(|(gain, _)| *gain > 0.0)
            .collect();
        gains.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        let largest_mib = self.largest_mib();
        let mut least_loss = self.least_loss();
        for (_, group) in gains {
            if self.base_size_mib(group) > largest_mib {
                self.note_missing(group, PlacementReason::NoRoom);
                continue;
            }
            while self.try_add_replica(group, least_loss) {
                least_loss = self.least_loss();
            }
        }
    }

    /// Gain of one more replica that has an accelerator to itself.
    fn dedicated_gain(&self, group: usize) -> f64 {
        let model_group = &self.catalog.groups[group];
        self.costs
            .gain(model_group, self.slots[group], model_group.slots)
    }

    /// Gain of one more replica on a given accelerator.
    fn gain_at(&self, group: usize, candidate: &Candidate) -> f64 {
        let accelerator = &self.cell.accelerators[candidate.accelerator];
        let added = self.slots_on(accelerator, group, &candidate.displaced);
        let model_group = &self.catalog.groups[group];
        self.costs.gain(model_group, self.slots[group], added)
    }

    /// Adds one replica of the group if it is justified; returns whether it did.
    fn try_add_replica(&mut self, group: usize, least_loss: f64) -> bool {
        let gain = self.dedicated_gain(group);
        if gain <= 0.0 {
            return false;
        }
        if !self.is_justified(group, gain, least_loss) {
            return self.skip(group, PlacementReason::NotWorthMove);
        }
        if !self.allowance.can_start() {
            self.awaiting_budget[group] = true;
            return self.skip(group, PlacementReason::StoreBudget);
        }
        let Some(candidate) =
            self.best_candidate(group, Displacement::AfterMinResidence)
        else {
            return self.skip(group, PlacementReason::NoRoom);
        };
        if !self.is_justified(group, self.gain_at(group, &candidate), candidate.loss) {
            return self.skip(group, PlacementReason::NotWorthMove);
        }
        let reason = self.placement_reason(group, &candidate);
        self.add_replica(group, &candidate, reason);
        true
    }

    /// Whether a gain justifies a loss, plus the cost of the move unless the group
    /// must move.
    fn is_justified(&self, group: usize, gain: f64, loss: f64) -> bool {
        if self.must_move(group) {
            self.costs.justifies_loss(gain, loss)
        } else {
            self.costs.justifies_move(gain, loss)
        }
    }

    /// Notes why the group gets no further replica; returns false.
    fn skip(&mut self, group: usize, reason: PlacementReason) -> bool {
        self.note_missing(group, reason);
        false
    }

    /// Whether the group is held only by replicas that receive no new requests.
    ///
    /// The cost of a move is then ignored: an operator has already caused the move
    /// by publishing a version or stopping an instance, and without it a model that
    /// was being served would have to wait.
    fn must_move(&self, group: usize) -> bool {
        let retiring = self.retiring[group];
        self.replica_counts[group] == 0 && (retiring.leaving || retiring.outdated)
    }

    /// Reason shown to operators for a new replica of the group.
    fn placement_reason(&self, group: usize, candidate: &Candidate) -> PlacementReason {
        let retiring = self.retiring[group];
        if self.replica_counts[group] == 0 && retiring.outdated {
            return PlacementReason::NewVersion;
        }
        if self.replica_counts[group] == 0 && retiring.leaving {
            return PlacementReason::Leaving;
        }
        if self.replica_counts[group] > 0 {
            let domain =
                |accelerator: &Accelerator| &self.cell.agents[accelerator.agent].domain;
            let candidate_domain =
                domain(&self.cell.accelerators[candidate.accelerator]);
            let mut holders = self.cell.accelerators.iter();
            let same_domain = holders.any(|accelerator| {
                !accelerator.leaving
                    && accelerator.current_replica(group).is_some()
                    && domain(accelerator) == candidate_domain
            });
            return if same_domain {
                PlacementReason::Replica
            } else {
                PlacementReason::Spread
            };
        }
        let base = &self.catalog.models[self.catalog.groups[group].base];
        if base.demand.is_active() {
            PlacementReason::Demand
        } else {
            PlacementReason::BaseOfAdapter
        }
    }

    /// Whether a model is still loading or within its minimum residence.
    pub(crate) fn within_min_residence(&self, planned: &PlannedModel) -> bool {
        let min_residence_ms = self.input.config.weights().min_residence_ms;
        !planned.is_loaded()
            || self.input.now.ms_since(planned.since) < u64::from(min_residence_ms)
    }

    /// Whether a replica is protected from displacement because its base or one of
    /// its adapters is within its minimum residence.
    ///
    /// A newly loaded adapter protects its base as well. Otherwise a base that was
    /// placed because of the wait bound would be displaced while its adapters
    /// arrive, and requests for the adapters would wait forever while the base is
    /// loaded over and over.
    pub(crate) fn is_protected(&self, replica: &Replica) -> bool {
        let mut adapters = replica.adapters.iter();
        self.within_min_residence(&replica.base)
            || adapters.any(|planned| self.within_min_residence(planned))
    }

    /// Whether an instance that is not shutting down holds, or is to load, an
    /// adapter.
    pub(crate) fn holds_adapter(&self, adapter: usize) -> bool {
        let group = self.catalog.models[adapter].group;
        let accelerators = self
            .cell
            .accelerators
            .iter()
            .filter(|accelerator| !accelerator.leaving);
        let mut replicas =
            accelerators.filter_map(|accelerator| accelerator.current_replica(group));
        replicas.any(|replica| {
            replica
                .adapters
                .iter()
                .any(|planned| planned.model == adapter)
        })
    }

    /// Adds a replica on the candidate's accelerator and removes the replicas that
    /// it displaces.
    pub(crate) fn add_replica(
        &mut self,
        group: usize,
        candidate: &Candidate,
        reason: PlacementReason,
    ) {
        for replica in &candidate.displaced {
            self.remove_replica(candidate.accelerator, *replica);
        }
        let added =
            self.slots_on(&self.cell.accelerators[candidate.accelerator], group, &[]);
        self.slots[group] += added;
        let base = self.catalog.groups[group].base;
        let spec = self.catalog.models[base].spec;
        self.cell.accelerators[candidate.accelerator]
            .replicas
            .push(Replica {
                group,
                base: PlannedModel {
                    model: base,
                    version: spec.version,
                    size_mib: spec.size_mib,
                    state: None,
                    since: self.input.now,
                    reason,
                },
                adapters: Vec::new(),
                outdated: false,
            });
        self.replica_counts[group] += 1;
        self.allowance.record_start();
    }

    /// Removes a replica.
    pub(crate) fn remove_replica(&mut self, accelerator: usize, replica: usize) {
        let replica = self.cell.accelerators[accelerator].replicas.remove(replica);
        if replica.outdated {
            return;
        }
        if !self.cell.accelerators[accelerator].leaving {
            let removed =
                self.slots_on(&self.cell.accelerators[accelerator], replica.group, &[]);
            self.slots[replica.group] = (self.slots[replica.group] - removed).max(0.0);
            self.replica_counts[replica.group] -= 1;
        }
        self.note_base(replica.group, PlacementReason::Displaced);
    }

    /// Memory of a group's base model.
    pub(crate) fn base_size_mib(&self, group: usize) -> u64 {
        let base = self.catalog.groups[group].base;
        u64::from(self.catalog.models[base].spec.size_mib)
    }

    /// Adds a note about a model.
    pub(crate) fn note(&mut self, model: usize, reason: PlacementReason) {
        self.notes.push(PlanNote {
            model: self.catalog.models[model].spec.id.clone(),
            reason,
        });
    }

    /// Adds a note about a group's base model.
    pub(crate) fn note_base(&mut self, group: usize, reason: PlacementReason) {
        self.note(self.catalog.groups[group].base, reason);
    }

    /// Adds a note about a group if it has no replica.
    fn note_missing(&mut self, group: usize, reason: PlacementReason) {
        if self.replica_counts[group] == 0 {
            self.note_base(group, reason);
        }
    }
}
