//! Models and their demand, resolved to indices for one plan.

use conf::{Config, ModelSpec};

use crate::types::{ModelDemand, PlanInput};

/// Demand for one model, without gaps in its figures.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Work {
    /// Arrivals.
    pub(crate) rate_per_s: f64,
    /// Requests waiting.
    pub(crate) waiting: f64,
    /// Wait of the oldest of them.
    pub(crate) oldest_wait_ms: u64,
    /// Time one request occupies a place.
    pub(crate) service_s: f64,
    /// Worth of one request.
    pub(crate) value: f64,
}

impl Work {
    /// Whether anybody asks for the model.
    pub(crate) fn any(&self) -> bool {
        self.waiting > 0.0 || self.rate_per_s > RATE_FLOOR_PER_S
    }

    fn add(&mut self, other: &Self) {
        let own = self.rate_per_s + self.waiting;
        let more = other.rate_per_s + other.waiting;
        let total = own + more;
        if total > 0.0 {
            let mean = |a: f64, b: f64| (a * own + b * more) / total;
            self.service_s = mean(self.service_s, other.service_s);
            self.value = mean(self.value, other.value);
        }
        self.rate_per_s += other.rate_per_s;
        self.waiting += other.waiting;
        self.oldest_wait_ms = self.oldest_wait_ms.max(other.oldest_wait_ms);
    }
}

/// Smoothed arrivals below this are the tail of a demand that has ended.
const RATE_FLOOR_PER_S: f64 = 1e-3;

/// Shortest service time used, so that a figure of 0 can't divide by zero.
const SERVICE_MIN_S: f64 = 0.001;

/// One model or adapter.
#[derive(Debug)]
pub(crate) struct Model<'a> {
    /// As configured.
    pub(crate) spec: &'a ModelSpec,
    /// Index of its group.
    pub(crate) group: usize,
    /// Demand for it alone.
    pub(crate) work: Work,
    /// Time for which its work has had no holder, or has waited if that is more.
    pub(crate) wait_ms: u64,
}

/// A base model with its adapters.
#[derive(Debug)]
pub(crate) struct Group {
    /// Index of the base model.
    pub(crate) base: usize,
    /// Indices of adapters that somebody asks for.
    pub(crate) adapters: Vec<usize>,
    /// Demand for all of them.
    pub(crate) work: Work,
    /// Requests one accelerator runs at once.
    pub(crate) places: f64,
    /// Arrivals averaged over a longer time.
    pub(crate) steady_rate_per_s: f64,
}

/// Everything a plan knows of models.
#[derive(Debug)]
pub(crate) struct Catalog<'a> {
    /// Models in order of name.
    pub(crate) models: Vec<Model<'a>>,
    /// Groups in order of the base model's name.
    pub(crate) groups: Vec<Group>,
}

impl Group {
    /// Places that the demand would occupy.
    pub(crate) fn needed_places(&self) -> f64 {
        self.work.rate_per_s * self.work.service_s
    }
}

impl<'a> Catalog<'a> {
    /// Resolves the configuration and the demand.
    pub(crate) fn new(input: &PlanInput<'a>) -> Self {
        let specs: Vec<&ModelSpec> = input.config.models().collect();
        let mut catalog = Self {
            models: Vec::with_capacity(specs.len()),
            groups: Vec::new(),
        };
        let mut group_of_base = vec![usize::MAX; specs.len()];
        for (index, spec) in specs.iter().enumerate() {
            if spec.base.is_none() {
                group_of_base[index] = catalog.groups.len();
                catalog.groups.push(Group {
                    base: index,
                    adapters: Vec::new(),
                    work: Work::default(),
                    places: places(input.config, spec),
                    steady_rate_per_s: 0.0,
                });
            }
        }
        for (index, spec) in specs.iter().enumerate() {
            let base = match &spec.base {
                None => index,
                Some(base) => find(&specs, base.as_str()).unwrap_or(index),
            };
            catalog.models.push(Model {
                spec,
                group: group_of_base[base],
                work: Work::default(),
                wait_ms: 0,
            });
        }
        for demand in input.demands {
            catalog.take(demand, &specs);
        }
        catalog
    }

    fn take(&mut self, demand: &ModelDemand, specs: &[&ModelSpec]) {
        let Some(index) = find(specs, demand.model.as_str()) else {
            return;
        };
        let model = &mut self.models[index];
        let Some(group) = self.groups.get_mut(model.group) else {
            return;
        };
        model.work = work(demand);
        if !model.work.any() {
            return;
        }
        group.work.add(&model.work);
        if model.spec.base.is_some() {
            group.adapters.push(index);
        }
    }

    /// Index of a model by name.
    pub(crate) fn find(&self, name: &str) -> Option<usize> {
        self.models
            .binary_search_by(|model| model.spec.id.as_str().cmp(name))
            .ok()
    }
}

fn find(specs: &[&ModelSpec], name: &str) -> Option<usize> {
    specs
        .binary_search_by(|spec| spec.id.as_str().cmp(name))
        .ok()
}

/// Reads a demand; figures that are not finite or negative count as none.
fn work(demand: &ModelDemand) -> Work {
    let sane = |figure: f64| {
        if figure.is_finite() && figure > 0.0 {
            figure
        } else {
            0.0
        }
    };
    Work {
        rate_per_s: sane(demand.rate_per_s),
        waiting: f64::from(demand.waiting),
        oldest_wait_ms: if demand.waiting > 0 {
            demand.oldest_wait_ms
        } else {
            0
        },
        service_s: (f64::from(demand.service_time_ms) / 1_000.0).max(SERVICE_MIN_S),
        value: sane(demand.value),
    }
}

fn places(config: &Config, spec: &ModelSpec) -> f64 {
    let pool = config.pool(spec.pool.as_str());
    f64::from(pool.map_or(1, |pool| pool.concurrent_max).max(1))
}
