//! The choice of an upstream against the holders of the model.

use super::clock::{batch_ns, samples};
use crate::fit::{Growth, Series};
use base::prelude::*;
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use route::{Holder, RoutingInput, choose_holder};
use std::hint::black_box;

const SIZES: [usize; 5] = [8, 64, 256, 512, 4_096];

/// One choice, in nanoseconds.
pub fn run() -> Series {
    Series {
        name: "choose an upstream",
        size_of: "holders",
        unit: "ns",
        growth: Growth::Power,
        samples: samples(&SIZES, one),
    }
}

fn one(count: usize) -> f64 {
    let domain = FailureDomainId::new("spanish-town");
    let name = |nth: usize| AgentId::new(&format!("oracle-{nth:05}"));
    let agents: Vec<AgentId> = (0..count).map(name).collect();
    let holder = |(index, agent)| Holder {
        agent,
        domain: &domain,
        running: (index * 7 % 13) as u32,
        waiting: 0,
        running_max: 16,
        step_time_us: 10_000 + (index * 31 % 900) as u32,
        report_age_ms: (index * 17 % 500) as u64,
        sent_since_report: (index % 3) as u32,
        suspected: false,
    };
    let holders: Vec<Holder<'_>> = agents.iter().enumerate().map(holder).collect();
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    batch_ns(15, 2_000, |nth| {
        let input = RoutingInput {
            prefix_hash: if nth % 2 == 0 { 0 } else { nth as u64 },
            domain: &domain,
            excluded: &[],
        };
        black_box(choose_holder(black_box(&holders), &input, &mut rng));
    })
}
