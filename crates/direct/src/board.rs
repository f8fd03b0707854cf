//! The plan while it is made.

use base::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;

use crate::outlook::{Outlook, outlooks};
use crate::unserved::{Unserved, turn_ms};
use crate::{Choice, Engine, Group, Load, Reason, Spot};

/// What a move costs, in relief. Relief is the fall of the sum of the squares of
/// all upstreams' loads: how long requests wait grows faster than the load that
/// they meet. A load keeps an upstream's memory busy while it lasts, and demand
/// moves on meanwhile, so a long one has to bring more.
const MOVE_COST: f64 = 0.12;
const MOVE_COST_PER_S: f64 = 0.08;

/// What an unload costs for each part of the upstream's time that the model
/// took there: it waits for what runs, and what comes meanwhile goes elsewhere.
const UNLOAD_COST: f64 = 1.0;

/// What a load from the weight store costs beside its time.
const STORE_COST: f64 = 0.03;

/// Time for which a model stays where it was loaded.
const STAY_MS: u64 = 3_000;

/// Loss of the last copy of a model without demand, against any relief.
const LAST_COPY_LOSS: f64 = 0.5;

/// Advantage of a failure domain in which no other copy is, as relief.
const SPREAD_BONUS: f64 = 0.01;

/// Work, as a part of one upstream's time, below which a model gets no further
/// copy.
const WORK_MIN: f64 = 0.02;

/// Moves decided at once.
const CHOICES_MAX: usize = 8;

/// The plan while it is made: what each upstream will hold after the moves
/// chosen so far.
#[derive(Debug)]
pub(crate) struct Board<'a> {
    now: Instant,
    engine: &'a Engine,
    spots: Vec<Spot>,
    /// How demand may go on.
    outlooks: Vec<Outlook>,
    loads: &'a BTreeMap<Arc<str>, Load>,
    unserved: &'a Unserved,
    /// Upstreams that hold a model or will.
    holders: BTreeMap<Arc<str>, Vec<usize>>,
    store_left: usize,
    pub(crate) choices: Vec<Choice>,
}

/// A place for one more copy of a model.
#[derive(Debug)]
struct Place {
    spot: usize,
    victim: Option<usize>,
    from_store: bool,
    relief: f64,
    /// Relief less what the move costs.
    net: f64,
}

impl<'a> Board<'a> {
    pub(crate) fn new(
        now: Instant,
        engine: &'a Engine,
        spots: &[Spot],
        loads: &'a BTreeMap<Arc<str>, Load>,
        unserved: &'a Unserved,
        store_left: usize,
    ) -> Self {
        let mut holders: BTreeMap<Arc<str>, Vec<usize>> = BTreeMap::new();
        for (index, spot) in spots.iter().enumerate() {
            for group in spot.groups.iter().filter(|group| !group.unloading) {
                let model = Arc::clone(&group.model);
                holders.entry(model).or_default().push(index);
            }
        }
        let mut board = Self {
            now,
            engine,
            spots: spots.to_vec(),
            outlooks: outlooks(loads, spots.len()),
            loads,
            unserved,
            holders,
            store_left,
            choices: Vec::new(),
        };
        board.weigh();
        board
    }

    /// Models that requests wait for and nothing holds: those that are overdue,
    /// and then the longest wait first.
    pub(crate) fn serve_waiting(&mut self) {
        let waiting = self.loads.iter();
        let waiting =
            waiting.filter(|(model, load)| load.waiting > 0 && self.copies(model) == 0);
        let mut waiting: Vec<(u64, u64, Arc<str>)> = waiting
            .map(|(model, load)| {
                let overdue_ms = self.unserved.overdue_ms(self.now, model);
                (overdue_ms, load.oldest_wait_ms, Arc::clone(model))
            })
            .collect();
        waiting.sort_by(|a, b| b.cmp(a));
        for (_, _, model) in waiting {
            if let Some(place) = self.place(&model, true) {
                self.choose(&model, &place, Reason::Waited);
            }
        }
    }

    /// Further copies for models whose requests meet busy upstreams.
    pub(crate) fn spread_busy(&mut self) {
        while self.choices.len() < CHOICES_MAX {
            let Some((model, place)) = self.best_copy() else {
                return;
            };
            self.choose(&model, &place, Reason::Busy);
        }
    }

    /// Models that nothing holds, where there is room anyway.
    pub(crate) fn keep_reachable(&mut self) {
        let missing: Vec<Arc<str>> = self
            .engine
            .models
            .keys()
            .filter(|model| self.copies(model) == 0)
            .cloned()
            .collect();
        for model in missing {
            if self.choices.len() >= CHOICES_MAX {
                return;
            }
            if let Some(place) = self.place(&model, false) {
                self.choose(&model, &place, Reason::Reachable);
            }
        }
    }

    fn best_copy(&self) -> Option<(Arc<str>, Place)> {
        let mut best: Option<(Arc<str>, Place)> = None;
        for model in self.loads.keys() {
            let work = self.weighed(|outlook| outlook.load_of(model, 1));
            if self.copies(model) == 0 || work < WORK_MIN {
                continue;
            }
            let Some(place) = self.place(model, true) else {
                continue;
            };
            let most = best.as_ref().map_or(0.0, |(_, best)| best.net);
            if place.net > most {
                best = Some((Arc::clone(model), place));
            }
        }
        best
    }

    /// The best place for one more copy; with `evict`, also where another model
    /// has to go.
    fn place(&self, model: &Arc<str>, evict: bool) -> Option<Place> {
        let size_mb = self.engine.models.get(model)?.weights_mb;
        let mut best: Option<Place> = None;
        for (index, spot) in self.spots.iter().enumerate() {
            let holds = spot.groups.iter().any(|group| group.model == *model);
            if !spot.idle || holds {
                continue;
            }
            let from_store = !spot.copies.contains(model);
            if from_store && self.store_left == 0 {
                continue;
            }
            let found = self.room(model, index, size_mb, evict);
            let Some((victim, relief)) = found else {
                continue;
            };
            let net = relief - self.cost(model, spot);
            if best.as_ref().is_none_or(|place| net > place.net) {
                best = Some(Place {
                    spot: index,
                    victim,
                    from_store,
                    relief,
                    net,
                });
            }
        }
        best
    }

    fn cost(&self, model: &Arc<str>, spot: &Spot) -> f64 {
        let from_store = !spot.copies.contains(model);
        let spec = self.engine.models.get(model);
        let load_ms = spec.map_or(0, |spec| {
            if from_store {
                spec.store_load_ms
            } else {
                spec.disk_load_ms
            }
        });
        let mut cost = MOVE_COST + MOVE_COST_PER_S * load_ms as f64 / 1_000.0;
        if from_store {
            cost += STORE_COST;
        }
        if !self.in_domain(model, &spot.domain) {
            cost -= SPREAD_BONUS;
        }
        cost
    }

    /// Room on a spot: the model that has to go, and what the move relieves.
    fn room(
        &self,
        model: &Arc<str>,
        index: usize,
        size_mb: f64,
        evict: bool,
    ) -> Option<(Option<usize>, f64)> {
        let spot = &self.spots[index];
        if spot.free_mb >= size_mb {
            return Some((None, self.relief(model, index, None)));
        }
        if !evict {
            return None;
        }
        let mut best: Option<(usize, f64)> = None;
        for (victim, group) in spot.groups.iter().enumerate() {
            let stays = self.now.ms_since(group.since) < STAY_MS;
            if stays || group.unloading || spot.free_mb + group.size_mb < size_mb {
                continue;
            }
            if self.must_stay(group, model) {
                continue;
            }
            let copies = self.copies(&group.model);
            let share = self.weighed(|outlook| outlook.kept_of(&group.model, copies));
            let mut relief = self.relief(model, index, Some(&group.model));
            relief -= share * UNLOAD_COST;
            if copies == 1 {
                relief -= LAST_COPY_LOSS;
            }
            if best.is_none_or(|(_, most)| relief > most) {
                best = Some((victim, relief));
            }
        }
        best.map(|(victim, relief)| (Some(victim), relief))
    }

    /// Fall of the sum of the squares of all loads if a spot gets a copy of a
    /// model in place of another one's, over all outlooks.
    fn relief(&self, model: &Arc<str>, index: usize, victim: Option<&Arc<str>>) -> f64 {
        self.weighed(|outlook| self.relief_in(outlook, model, index, victim))
    }

    fn weighed(&self, value: impl Fn(&Outlook) -> f64) -> f64 {
        let outlooks = self.outlooks.iter();
        outlooks
            .map(|outlook| outlook.weight * value(outlook))
            .sum()
    }

    fn relief_in(
        &self,
        outlook: &Outlook,
        model: &Arc<str>,
        index: usize,
        victim: Option<&Arc<str>>,
    ) -> f64 {
        let mut changes = Changes::default();
        let copies = self.copies(model);
        let one = outlook.load_of(model, copies);
        let more = outlook.load_of(model, copies + 1);
        for holder in self.holders.get(model).into_iter().flatten() {
            changes.add(*holder, more - one);
        }
        changes.add(index, more);
        if let Some(victim) = victim {
            let copies = self.copies(victim);
            let share = outlook.kept_of(victim, copies);
            let rest = outlook.kept_of(victim, copies.saturating_sub(1));
            for holder in self.holders.get(victim).into_iter().flatten() {
                let change = if *holder == index {
                    -share
                } else {
                    rest - share
                };
                changes.add(*holder, change);
            }
        }
        changes.relief(&outlook.spot_loads)
    }

    fn choose(&mut self, model: &Arc<str>, place: &Place, reason: Reason) {
        let size_mb = self
            .engine
            .models
            .get(model)
            .map_or(0.0, |spec| spec.weights_mb);
        let spot = &mut self.spots[place.spot];
        let unload = place.victim.map(|index| spot.groups.remove(index));
        if let Some(victim) = &unload {
            spot.free_mb += victim.size_mb;
            if let Some(holders) = self.holders.get_mut(&victim.model) {
                holders.retain(|holder| *holder != place.spot);
            }
        }
        spot.free_mb -= size_mb;
        spot.idle = false;
        spot.groups.push(Group {
            model: Arc::clone(model),
            size_mb,
            unloading: false,
            since: self.now,
        });
        let holders = self.holders.entry(Arc::clone(model)).or_default();
        holders.push(place.spot);
        if place.from_store {
            self.store_left -= 1;
        }
        self.choices.push(Choice {
            upstream: Arc::clone(&spot.upstream),
            load: Arc::clone(model),
            unload: unload.map(|group| group.model),
            from_store: place.from_store,
            reason,
            relief: place.relief,
        });
        self.weigh();
    }

    /// Works the loads of all spots out anew.
    fn weigh(&mut self) {
        let mut outlooks = std::mem::take(&mut self.outlooks);
        for outlook in &mut outlooks {
            outlook.spot_loads = self
                .spots
                .iter()
                .map(|spot| self.spot_load(outlook, spot))
                .collect();
        }
        self.outlooks = outlooks;
    }

    fn spot_load(&self, outlook: &Outlook, spot: &Spot) -> f64 {
        let groups = spot.groups.iter().filter(|group| !group.unloading);
        groups
            .map(|group| outlook.load_of(&group.model, self.copies(&group.model)))
            .sum()
    }

    fn copies(&self, model: &Arc<str>) -> usize {
        self.holders.get(model).map_or(0, Vec::len)
    }

    fn in_domain(&self, model: &Arc<str>, domain: &Arc<str>) -> bool {
        let holders = self.holders.get(model).into_iter().flatten();
        holders
            .into_iter()
            .any(|index| self.spots[*index].domain == *domain)
    }

    /// Whether requests ask for a model now.
    fn is_wanted(&self, model: &Arc<str>) -> bool {
        self.loads.get(model).is_some_and(Load::is_wanted)
    }

    /// Whether the last copy of a model has to stay where it is, against another
    /// model's wish for its place.
    fn must_stay(&self, group: &Group, against: &Arc<str>) -> bool {
        if self.copies(&group.model) > 1 || !self.is_wanted(&group.model) {
            return false;
        }
        let had_turn =
            self.now.ms_since(group.since) >= turn_ms(self.engine, &group.model);
        let overdue = self.unserved.overdue_ms(self.now, against) > 0;
        !(overdue && had_turn)
    }
}

/// Changes of upstreams' loads by one move.
#[derive(Debug, Default)]
struct Changes(Vec<(usize, f64)>);

impl Changes {
    fn add(&mut self, spot: usize, change: f64) {
        match self.0.iter_mut().find(|(known, _)| *known == spot) {
            Some((_, sum)) => *sum += change,
            None => self.0.push((spot, change)),
        }
    }

    /// Fall of the sum of the squares of all loads.
    fn relief(&self, loads: &[f64]) -> f64 {
        let falls = self.0.iter().map(|(spot, change)| {
            let load = loads[*spot];
            load * load - (load + change) * (load + change)
        });
        falls.sum()
    }
}
