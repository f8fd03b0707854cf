//! Cost of choosing an agent for a request, against the number of holders of
//! the model.

use super::sampling::{measure_at_sizes, median_batch_ns};
use crate::fit::{Growth, Series};
use base::prelude::*;
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use route::{Holder, RoutingInput, choose_holder};
use std::hint::black_box;

const SIZES: [usize; 5] = [8, 64, 256, 512, 4_096];

/// Duration of one choice, in nanoseconds.
pub fn run() -> Series {
    Series {
        name: "choose an upstream",
        size_of: "holders",
        unit: "ns",
        growth: Growth::PowerLaw,
        samples: measure_at_sizes(&SIZES, measure),
    }
}

fn measure(count: usize) -> f64 {
    let domain = FailureDomainId::new("spanish-town");
    let agent_id = |index: usize| AgentId::new(&format!("oracle-{index:05}"));
    let agents: Vec<AgentId> = (0..count).map(agent_id).collect();
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
    median_batch_ns(15, 2_000, |index| {
        let input = RoutingInput {
            prefix_hash: if index % 2 == 0 { 0 } else { index as u64 },
            domain: &domain,
            excluded: &[],
        };
        black_box(choose_holder(black_box(&holders), &input, &mut rng));
    })
}
