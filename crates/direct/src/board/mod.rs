//! The plan while it is made.

mod bits;
mod models;
mod relief;

use base::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;

use crate::outlook::Outlook;
use crate::unserved::{Unserved, turn_ms};
use crate::{
    DemandEstimate, EngineSpec, LoadReason, ModelSpec, PlannedLoad, UpstreamState,
};
use bits::Bits;
use models::Models;
use relief::{Move, View, each};

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
    engine: &'a EngineSpec,
    /// Models that the engine runs, that are asked for or held.
    models: Models,
    facts: Vec<Facts<'a>>,
    rows: Vec<Row<'a>>,
    /// How demand may go on.
    views: Vec<View>,
    store_left: usize,
    pub(crate) choices: Vec<PlannedLoad>,
}

/// What is known of one model throughout a plan.
#[derive(Debug)]
struct Facts<'a> {
    spec: Option<&'a ModelSpec>,
    load: Option<&'a DemandEstimate>,
    /// Time for which it has gone unserved beyond the patience.
    overdue_ms: u64,
    turn_ms: u64,
}

impl Facts<'_> {
    fn is_wanted(&self) -> bool {
        self.load.is_some_and(DemandEstimate::is_wanted)
    }

    fn is_waited_for(&self) -> bool {
        self.load.is_some_and(|load| load.waiting > 0)
    }
}

/// One upstream.
#[derive(Debug)]
struct Row<'a> {
    spot: &'a UpstreamState,
    idle: bool,
    free_mb: f64,
    groups: Vec<Held>,
    /// Models that it can load without the weight store.
    copies: Bits,
}

/// A model with its adapters at one upstream.
#[derive(Debug)]
struct Held {
    model: usize,
    size_mb: f64,
    unloading: bool,
    since: Instant,
}

/// A place for one more copy of a model.
#[derive(Debug)]
struct Place {
    row: usize,
    victim: Option<usize>,
    from_store: bool,
    relief: f64,
    /// Relief less what the move costs.
    net: f64,
}

/// What is asked for, as a plan goes by it.
#[derive(Debug)]
pub(crate) struct Asked<'a> {
    /// Demand by model.
    pub(crate) loads: &'a BTreeMap<Arc<str>, DemandEstimate>,
    /// Since when models are asked for that nothing holds.
    pub(crate) unserved: &'a Unserved,
    /// How demand may go on.
    pub(crate) outlooks: &'a [Outlook],
}

impl<'a> Board<'a> {
    pub(crate) fn new(
        now: Instant,
        engine: &'a EngineSpec,
        spots: &'a [UpstreamState],
        asked: &Asked<'a>,
        store_left: usize,
    ) -> Self {
        let mut models = Models::default();
        for name in engine.models.keys().chain(asked.loads.keys()) {
            models.number(name);
        }
        let rows: Vec<Row<'a>> = spots
            .iter()
            .map(|spot| Row::new(spot, &mut models))
            .collect();
        for (index, row) in rows.iter().enumerate() {
            for group in row.groups.iter().filter(|group| !group.unloading) {
                models.hold(group.model, index);
            }
        }
        let facts = models.names().iter().map(|name| Facts {
            spec: engine.models.get(name),
            load: asked.loads.get(name),
            overdue_ms: asked.unserved.overdue_ms(now, name),
            turn_ms: turn_ms(engine, name),
        });
        let facts = facts.collect();
        let views = asked.outlooks.iter();
        let views = views.map(|outlook| view(outlook, &models));
        let mut board = Self {
            now,
            engine,
            views: views.collect(),
            models,
            facts,
            rows,
            store_left,
            choices: Vec::new(),
        };
        board.weigh();
        board
    }

    /// Models that requests wait for and nothing holds: those that are overdue,
    /// and then the longest wait first.
    pub(crate) fn serve_waiting(&mut self) {
        let waiting = (0..self.models.len()).filter(|model| {
            self.facts[*model].is_waited_for() && self.models.copies(*model) == 0
        });
        let mut waiting: Vec<(u64, u64, &Arc<str>, usize)> = waiting
            .map(|model| {
                let facts = &self.facts[model];
                let oldest_ms = facts.load.map_or(0, |load| load.oldest_wait_ms);
                (facts.overdue_ms, oldest_ms, self.models.name(model), model)
            })
            .collect();
        waiting.sort_by(|a, b| b.cmp(a));
        let waiting: Vec<usize> = waiting.iter().map(|(.., model)| *model).collect();
        for model in waiting {
            if let Some(place) = self.place(model, true) {
                self.choose(model, &place, LoadReason::Waited);
            }
        }
    }

    /// Further copies for models whose requests meet busy upstreams.
    pub(crate) fn spread_busy(&mut self) {
        while self.choices.len() < CHOICES_MAX {
            let Some((model, place)) = self.best_copy() else {
                return;
            };
            self.choose(model, &place, LoadReason::Busy);
        }
    }

    /// Models that nothing holds, where there is room anyway.
    pub(crate) fn keep_reachable(&mut self) {
        let names = self.engine.models.keys();
        let missing: Vec<usize> = names
            .filter_map(|name| self.models.known(name))
            .filter(|model| self.models.copies(*model) == 0)
            .collect();
        for model in missing {
            if self.choices.len() >= CHOICES_MAX {
                return;
            }
            if let Some(place) = self.place(model, false) {
                self.choose(model, &place, LoadReason::Reachable);
            }
        }
    }

    fn best_copy(&self) -> Option<(usize, Place)> {
        let mut best: Option<(usize, Place)> = None;
        for model in 0..self.models.len() {
            let work = self.weighed(|view| view.expected[model]);
            if self.models.copies(model) == 0 || work < WORK_MIN {
                continue;
            }
            let Some(place) = self.place(model, true) else {
                continue;
            };
            let most = best.as_ref().map_or(0.0, |(_, best)| best.net);
            if place.net > most {
                best = Some((model, place));
            }
        }
        best
    }

    /// The best place for one more copy; with `evict`, also where another model
    /// has to go.
    fn place(&self, model: usize, evict: bool) -> Option<Place> {
        let spec = self.facts[model].spec?;
        let mut best: Option<Place> = None;
        for (index, row) in self.rows.iter().enumerate() {
            if !row.idle || row.holds(model) {
                continue;
            }
            let from_store = !row.copies.contains(model);
            if from_store && self.store_left == 0 {
                continue;
            }
            let found = self.room(model, index, spec.weights_mb, evict);
            let Some((victim, relief)) = found else {
                continue;
            };
            let net = relief - self.cost(model, spec, row);
            if best.as_ref().is_none_or(|place| net > place.net) {
                best = Some(Place {
                    row: index,
                    victim,
                    from_store,
                    relief,
                    net,
                });
            }
        }
        best
    }

    fn cost(&self, model: usize, spec: &ModelSpec, row: &Row<'_>) -> f64 {
        let from_store = !row.copies.contains(model);
        let load_ms = if from_store {
            spec.store_load_ms
        } else {
            spec.disk_load_ms
        };
        let mut cost = MOVE_COST + MOVE_COST_PER_S * load_ms as f64 / 1_000.0;
        if from_store {
            cost += STORE_COST;
        }
        if !self.in_domain(model, &row.spot.domain) {
            cost -= SPREAD_BONUS;
        }
        cost
    }

    /// Room on a spot: the model that has to go, and what the move relieves.
    fn room(
        &self,
        model: usize,
        to: usize,
        size_mb: f64,
        evict: bool,
    ) -> Option<(Option<usize>, f64)> {
        let row = &self.rows[to];
        if row.free_mb >= size_mb {
            let alone = Move {
                model,
                to,
                victim: None,
            };
            return Some((None, self.relief(alone)));
        }
        if !evict {
            return None;
        }
        let mut best: Option<(usize, f64)> = None;
        for (victim, group) in row.groups.iter().enumerate() {
            let stays = self.now.ms_since(group.since) < STAY_MS;
            if stays || group.unloading || row.free_mb + group.size_mb < size_mb {
                continue;
            }
            if self.must_stay(group, model) {
                continue;
            }
            let in_its_place = Move {
                model,
                to,
                victim: Some(group.model),
            };
            let copies = self.models.copies(group.model);
            let share = self.weighed(|view| each(view.kept[group.model], copies));
            let mut relief = self.relief(in_its_place);
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

    /// Fall of the sum of the squares of all loads by a move, over all outlooks.
    fn relief(&self, of: Move) -> f64 {
        self.weighed(|view| view.relief(of, &self.models))
    }

    fn weighed(&self, value: impl Fn(&View) -> f64) -> f64 {
        let views = self.views.iter();
        views.map(|view| view.weight * value(view)).sum()
    }

    fn choose(&mut self, model: usize, place: &Place, reason: LoadReason) {
        let size_mb = self.facts[model].spec.map_or(0.0, |spec| spec.weights_mb);
        let row = &mut self.rows[place.row];
        let unload = place.victim.map(|index| row.groups.remove(index));
        if let Some(victim) = &unload {
            row.free_mb += victim.size_mb;
            self.models.drop_copy(victim.model, place.row);
        }
        row.free_mb -= size_mb;
        row.idle = false;
        row.groups.push(Held {
            model,
            size_mb,
            unloading: false,
            since: self.now,
        });
        self.models.hold(model, place.row);
        if place.from_store {
            self.store_left -= 1;
        }
        let unload = unload.map(|victim| Arc::clone(self.models.name(victim.model)));
        self.choices.push(PlannedLoad {
            upstream: Arc::clone(&row.spot.upstream),
            load: Arc::clone(self.models.name(model)),
            unload,
            from_store: place.from_store,
            reason,
            relief: place.relief,
        });
        self.weigh();
    }

    /// Works the loads of all spots out anew.
    fn weigh(&mut self) {
        let (rows, models) = (&self.rows, &self.models);
        for view in &mut self.views {
            let loads = rows.iter().map(|row| row.load(view, models)).collect();
            view.weigh(loads, models);
        }
    }

    fn in_domain(&self, model: usize, domain: &Arc<str>) -> bool {
        let mut holders = self.models.holders(model).iter();
        holders.any(|index| self.rows[*index].spot.domain == *domain)
    }

    /// Whether the last copy of a model has to stay where it is, against another
    /// model's wish for its place.
    fn must_stay(&self, group: &Held, against: usize) -> bool {
        let facts = &self.facts[group.model];
        if self.models.copies(group.model) > 1 || !facts.is_wanted() {
            return false;
        }
        let had_turn = self.now.ms_since(group.since) >= facts.turn_ms;
        let overdue = self.facts[against].overdue_ms > 0;
        !(overdue && had_turn)
    }
}

impl<'a> Row<'a> {
    fn new(spot: &'a UpstreamState, models: &mut Models) -> Self {
        let mut copies = Bits::default();
        for name in &spot.local_weights {
            copies.insert(models.number(name));
        }
        let groups = spot.models.iter().map(|group| Held {
            model: models.number(&group.model),
            size_mb: group.size_mb,
            unloading: group.unloading,
            since: group.since,
        });
        Self {
            spot,
            idle: spot.idle,
            free_mb: spot.free_mb,
            groups: groups.collect(),
            copies,
        }
    }

    fn holds(&self, model: usize) -> bool {
        self.groups.iter().any(|group| group.model == model)
    }

    fn load(&self, view: &View, models: &Models) -> f64 {
        let groups = self.groups.iter().filter(|group| !group.unloading);
        let loads = groups
            .map(|group| each(view.expected[group.model], models.copies(group.model)));
        loads.sum()
    }
}

/// An outlook by the models' numbers.
fn view(outlook: &Outlook, models: &Models) -> View {
    let names = models.names().iter();
    let expected = names.clone().map(|name| outlook.expected_of(name));
    let kept = names.map(|name| outlook.kept_of(name));
    View::new(outlook.weight, expected.collect(), kept.collect())
}
