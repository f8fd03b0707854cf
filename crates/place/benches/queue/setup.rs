//! Parameters of the two deployments.

use base::Revision;
use conf::Config;
use schema::settings::{Adapter, Fleet, Model, Pool, Profile, Store, Weights};

/// Deployment whose parameters are used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Deployment {
    /// Three failure domains, 100 adapters, 6 concurrent loads at full speed.
    Harbourline,
    /// Four failure domains, 95 adapters, 23 concurrent loads at full speed.
    Naskhah,
}

/// Parameters of the simulated cell.
#[derive(Debug, Clone)]
pub struct Setup {
    pub deployment: Deployment,
    pub servers: usize,
    pub domains: usize,
    pub bases: usize,
    /// Base model of each adapter; adapter `i` is model `bases + i`.
    pub adapter_base: Vec<usize>,
    /// Size of each model: base models first, then adapters.
    pub size_mib: Vec<u32>,
    pub capacity_mib: u32,
    pub slots: usize,
    pub step_us: u64,
    pub load_ms: u64,
    pub loads_per_s: f64,
    pub full_speed_loads: usize,
    pub interactive_ms: u64,
    pub batch_ms: u64,
    pub duration_ms: u64,
    pub seed: u64,
}

const GIB: u32 = 1_024;

impl Setup {
    /// Creates a deployment whose accelerators hold one or two base models each.
    pub fn new(deployment: Deployment, models_per_accelerator: u32, seed: u64) -> Self {
        let harbourline = deployment == Deployment::Harbourline;
        let adapters = if harbourline { 100 } else { 95 };
        let bases = 40;
        let mut size_mib: Vec<u32> = (0..bases as u32)
            .map(|base| (65 + base * 7 % 8) * GIB)
            .collect();
        size_mib.extend((0..adapters as u32).map(|adapter| 256 + adapter % 4 * 128));
        Self {
            deployment,
            servers: 18,
            domains: if harbourline { 3 } else { 4 },
            bases,
            adapter_base: (0..adapters).map(|adapter| adapter % bases).collect(),
            size_mib,
            capacity_mib: 80 * GIB * models_per_accelerator,
            slots: 16,
            step_us: if harbourline { 10_000 } else { 9_500 },
            load_ms: 2_000,
            loads_per_s: 2.0,
            full_speed_loads: if harbourline { 6 } else { 23 },
            interactive_ms: if harbourline { 8_000 } else { 15_000 },
            batch_ms: 60_000,
            duration_ms: 600_000,
            seed,
        }
    }

    /// Removes all adapters.
    pub fn without_adapters(&mut self) {
        self.adapter_base.clear();
        self.size_mib.truncate(self.bases);
    }

    /// Number of base models and adapters.
    pub fn models(&self) -> usize {
        self.size_mib.len()
    }

    /// Base model of a model; a base model is its own.
    pub fn base(&self, model: usize) -> usize {
        if model < self.bases {
            model
        } else {
            self.adapter_base[model - self.bases]
        }
    }

    /// Number of base models that fit one accelerator.
    pub fn bases_per_accelerator(&self) -> usize {
        (self.capacity_mib / (80 * GIB)) as usize
    }

    /// Name of a model; names sort like indices.
    pub fn name(&self, model: usize) -> String {
        if model < self.bases {
            format!("base-{model:03}")
        } else {
            format!("fine-{:03}", model - self.bases)
        }
    }

    /// Failure domain of a server.
    pub fn domain(&self, server: usize) -> usize {
        server % self.domains
    }

    /// Weights configured by the deployment's operators.
    pub fn weights(deployment: Deployment) -> Weights {
        match deployment {
            Deployment::Harbourline => Weights {
                attainment: 1.0,
                move_cost: 8.0,
                min_residence_ms: 4_000,
                wait_max_ms: 180_000,
            },
            Deployment::Naskhah => Weights {
                attainment: 1.0,
                move_cost: 30.0,
                min_residence_ms: 10_000,
                wait_max_ms: 400_000,
            },
        }
    }

    /// Configuration for the planner.
    pub fn config(&self, weights: Weights) -> Config {
        let mut fleet = Fleet {
            weights: Some(weights),
            store: Some(Store {
                loads_per_s: self.loads_per_s,
                full_speed_loads: self.full_speed_loads as u32,
                load_time_ms: self.load_ms as u32,
            }),
            ..Fleet::default()
        };
        fleet.pools.insert(
            "engines".into(),
            Pool {
                kind: "engine".into(),
                instances: self.servers as u32,
                accelerators_mib: vec![self.capacity_mib],
                step_time_us: self.step_us as u32,
                concurrent_max: self.slots as u32,
                ..Pool::default()
            },
        );
        let mut names = Vec::new();
        for model in 0..self.models() {
            let name = self.name(model);
            names.push(name.clone());
            if model < self.bases {
                let base = Model {
                    size_mib: self.size_mib[model],
                    version: 1,
                    pool: "engines".into(),
                };
                fleet.models.insert(name, base);
            } else {
                let adapter = Adapter {
                    base: self.name(self.base(model)),
                    size_mib: self.size_mib[model],
                    version: 1,
                };
                fleet.adapters.insert(name, adapter);
            }
        }
        fleet.profiles.insert(
            "desk".into(),
            Profile {
                kind: "interactive".into(),
                models: names,
                deadline_ms: self.interactive_ms as u32,
                value: 1.0,
                ..Profile::default()
            },
        );
        Config::new(Revision(1), fleet)
    }
}
