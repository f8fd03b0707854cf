//! Models and their demand, resolved to indices for one plan.

use conf::{Config, ModelSpec};

use crate::types::{ModelDemand, PlanInput};

/// Demand for one model, with invalid figures replaced.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Demand {
    /// Arrival rate of requests.
    pub(crate) rate_per_s: f64,
    /// Number of waiting requests.
    pub(crate) waiting: f64,
    /// Wait of the oldest waiting request.
    pub(crate) oldest_wait_ms: u64,
    /// Time for which one request occupies a batch slot.
    pub(crate) service_s: f64,
    /// Value of one request that meets its latency targets.
    pub(crate) value: f64,
}

impl Demand {
    /// Whether requests for the model wait or arrive.
    pub(crate) fn is_active(&self) -> bool {
        self.waiting > 0.0 || self.rate_per_s > RATE_FLOOR_PER_S
    }

    /// Adds another demand. Service time and value become means, weighted by the
    /// requests that arrive or wait.
    fn add(&mut self, other: &Self) {
        let own_weight = self.rate_per_s + self.waiting;
        let other_weight = other.rate_per_s + other.waiting;
        let total = own_weight + other_weight;
        if total > 0.0 {
            let mean = |a: f64, b: f64| (a * own_weight + b * other_weight) / total;
            self.service_s = mean(self.service_s, other.service_s);
            self.value = mean(self.value, other.value);
        }
        self.rate_per_s += other.rate_per_s;
        self.waiting += other.waiting;
        self.oldest_wait_ms = self.oldest_wait_ms.max(other.oldest_wait_ms);
    }
}

/// A smoothed arrival rate below this is the decaying remainder of a demand that
/// has ended.
const RATE_FLOOR_PER_S: f64 = 1e-3;

/// Lower bound for the service time, to avoid a division by zero.
const SERVICE_MIN_S: f64 = 0.001;

/// One model or adapter.
#[derive(Debug)]
pub(crate) struct Model<'a> {
    /// Configured properties.
    pub(crate) spec: &'a ModelSpec,
    /// Index of its group.
    pub(crate) group: usize,
    /// Demand for this model or adapter alone.
    pub(crate) demand: Demand,
    /// Time for which requests have waited while no agent could serve the model:
    /// the larger of the oldest request's wait and the time without a holder.
    pub(crate) wait_ms: u64,
}

/// A base model with its adapters.
#[derive(Debug)]
pub(crate) struct ModelGroup {
    /// Index of the base model.
    pub(crate) base: usize,
    /// Indices of the adapters that have demand.
    pub(crate) adapters: Vec<usize>,
    /// Demand for the base model and its adapters together.
    pub(crate) demand: Demand,
    /// Number of requests that one accelerator runs at once.
    pub(crate) slots: f64,
    /// Arrival rate averaged over a longer time than `demand.rate_per_s`.
    pub(crate) long_term_rate_per_s: f64,
}

/// All configured models and groups with their demand.
#[derive(Debug)]
pub(crate) struct Catalog<'a> {
    /// Models and adapters, sorted by name.
    pub(crate) models: Vec<Model<'a>>,
    /// Groups, sorted by the base model's name.
    pub(crate) groups: Vec<ModelGroup>,
}

impl ModelGroup {
    /// Mean number of batch slots that the arriving requests occupy.
    pub(crate) fn needed_slots(&self) -> f64 {
        self.demand.rate_per_s * self.demand.service_s
    }
}

impl<'a> Catalog<'a> {
    /// Resolves the configuration and the reported demand.
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
                catalog.groups.push(ModelGroup {
                    base: index,
                    adapters: Vec::new(),
                    demand: Demand::default(),
                    slots: slots(input.config, spec),
                    long_term_rate_per_s: 0.0,
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
                demand: Demand::default(),
                wait_ms: 0,
            });
        }
        for reported in input.demands {
            catalog.add_demand(reported, &specs);
        }
        catalog
    }

    /// Sets a model's demand and adds it to that of its group.
    fn add_demand(&mut self, reported: &ModelDemand, specs: &[&ModelSpec]) {
        let Some(index) = find(specs, reported.model.as_str()) else {
            return;
        };
        let model = &mut self.models[index];
        let Some(group) = self.groups.get_mut(model.group) else {
            return;
        };
        model.demand = normalize(reported);
        if !model.demand.is_active() {
            return;
        }
        group.demand.add(&model.demand);
        if model.spec.base.is_some() {
            group.adapters.push(index);
        }
    }

    /// Returns the index of the model with this name.
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

/// Converts a reported demand; negative and non-finite figures count as zero.
fn normalize(reported: &ModelDemand) -> Demand {
    let positive_or_zero = |figure: f64| {
        if figure.is_finite() && figure > 0.0 {
            figure
        } else {
            0.0
        }
    };
    Demand {
        rate_per_s: positive_or_zero(reported.rate_per_s),
        waiting: f64::from(reported.waiting),
        oldest_wait_ms: if reported.waiting > 0 {
            reported.oldest_wait_ms
        } else {
            0
        },
        service_s: (f64::from(reported.service_time_ms) / 1_000.0).max(SERVICE_MIN_S),
        value: positive_or_zero(reported.value),
    }
}

fn slots(config: &Config, spec: &ModelSpec) -> f64 {
    let pool = config.pool(spec.pool.as_str());
    f64::from(pool.map_or(1, |pool| pool.concurrent_max).max(1))
}
