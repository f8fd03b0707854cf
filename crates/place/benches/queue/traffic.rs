//! Simulated demand.

use rand_core::Rng;
use rand_pcg::Pcg64Mcg;

use super::cell::STEP_MS;
use super::setup::Setup;

/// Pattern of the demand, or failure of servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Workload {
    Calm,
    Bursts,
    Tenfold,
    UniformLow,
    Overnight,
    LoseServer,
    LoseDomain,
    LateReports,
}

impl Workload {
    pub const ALL: [Self; 8] = [
        Self::Calm,
        Self::Bursts,
        Self::Tenfold,
        Self::UniformLow,
        Self::Overnight,
        Self::LoseServer,
        Self::LoseDomain,
        Self::LateReports,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Self::Calm => "calm",
            Self::Bursts => "bursts",
            Self::Tenfold => "tenfold",
            Self::UniformLow => "all a little",
            Self::Overnight => "overnight",
            Self::LoseServer => "lose server",
            Self::LoseDomain => "lose domain",
            Self::LateReports => "late reports",
        }
    }
}

/// One request.
#[derive(Debug, Clone)]
pub struct Request {
    pub model: usize,
    pub arrival_ms: u64,
    pub deadline_ms: u64,
    pub service_ms: u64,
    pub batch: bool,
}

/// Seeded random number generator.
pub struct Random(Pcg64Mcg);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(Pcg64Mcg::new(u128::from(seed) << 1 | 1))
    }

    /// Draws uniformly from 0 to 1.
    pub fn uniform(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn poisson(&mut self, mean: f64) -> usize {
        let floor = (-mean).exp();
        let mut product = self.uniform();
        let mut count = 0;
        while product > floor {
            product *= self.uniform();
            count += 1;
        }
        count
    }
}

/// Fraction of the requests for each base model at the start.
pub fn popularity(setup: &Setup) -> Vec<f64> {
    let weights: Vec<f64> = (0..setup.bases)
        .map(|base| 1.0 / ((base * 11 % setup.bases) as f64 + 2.0))
        .collect();
    let total: f64 = weights.iter().sum();
    weights.iter().map(|weight| weight / total).collect()
}

/// Duration of one burst.
const BURST_MS: u64 = 40_000;

/// Interactive requests per second for a base model at a given time.
fn rate(setup: &Setup, workload: Workload, base: usize, now_ms: u64) -> f64 {
    let popular = popularity(setup)[base];
    let bases = setup.bases;
    match workload {
        Workload::Bursts => {
            let burst = (now_ms / BURST_MS) as usize;
            let hot = (0..4).any(|nth| (burst * 17 + nth * 9 + 3) % bases == base);
            25.0 * popular + if hot { 35.0 } else { 0.0 }
        }
        Workload::Tenfold => {
            let moved = (now_ms / 75_000) as usize * 13;
            let hot = (base + moved) % bases < 8;
            if hot { 10.0 } else { 1.0 }
        }
        Workload::UniformLow => 1.5,
        Workload::Overnight => 50.0 * popular,
        Workload::LoseServer | Workload::LoseDomain => 80.0 * popular,
        Workload::Calm | Workload::LateReports => 90.0 * popular,
    }
}

/// Batch requests per second for a base model.
fn batch_rate(workload: Workload, base: usize) -> f64 {
    if workload == Workload::Overnight && base.is_multiple_of(4) {
        5.0
    } else {
        0.0
    }
}

/// Returns all requests in order of arrival.
pub fn generate(setup: &Setup, workload: Workload) -> Vec<Request> {
    let mut random = Random::new(setup.seed);
    let mut requests = Vec::new();
    for now_ms in (0..setup.duration_ms).step_by(STEP_MS as usize) {
        for base in 0..setup.bases {
            let per_step = STEP_MS as f64 / 1_000.0;
            let count = random.poisson(rate(setup, workload, base, now_ms) * per_step);
            for _ in 0..count {
                requests.push(request(setup, base, now_ms, false, &mut random));
            }
            let count = random.poisson(batch_rate(workload, base) * per_step);
            for _ in 0..count {
                requests.push(request(setup, base, now_ms, true, &mut random));
            }
        }
    }
    requests
}

fn request(
    setup: &Setup,
    base: usize,
    now_ms: u64,
    batch: bool,
    random: &mut Random,
) -> Request {
    let tokens = 50 + (random.uniform() * 100.0) as u64;
    let adapters: Vec<usize> = (0..setup.adapter_base.len())
        .filter(|adapter| setup.adapter_base[*adapter] == base)
        .collect();
    let pick = random.uniform();
    // 30 percent of the requests name an adapter if the base model has any.
    let model = if pick < 0.3 && !adapters.is_empty() {
        setup.bases + adapters[(pick / 0.3 * adapters.len() as f64) as usize]
    } else {
        base
    };
    let max_wait_ms = if batch {
        setup.batch_ms
    } else {
        setup.interactive_ms
    };
    Request {
        model,
        arrival_ms: now_ms,
        deadline_ms: now_ms + max_wait_ms,
        service_ms: tokens * setup.step_us / 1_000,
        batch,
    }
}
