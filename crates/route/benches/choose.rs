//! Measures the time of one choice by number of holders.

use base::prelude::*;
use criterion::{Criterion, criterion_group, criterion_main};
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use route::{Holder, RoutingInput, choose_holder};
use std::hint::black_box;

const COUNTS: [usize; 4] = [1, 8, 64, 512];

/// Number of choices in the plain measurement.
const PLAIN_CHOICES: u32 = 200_000;

fn holders<'a>(agents: &'a [AgentId], domain: &'a FailureDomainId) -> Vec<Holder<'a>> {
    let agents = agents.iter().enumerate();
    let holder = |(index, agent)| Holder {
        agent,
        domain,
        running: (index * 7 % 13) as u32,
        waiting: 0,
        running_max: 16,
        step_time_us: 10_000 + (index * 31 % 900) as u32,
        report_age_ms: (index * 17 % 500) as u64,
        sent_since_report: (index % 3) as u32,
        suspected: false,
    };
    agents.map(holder).collect()
}

fn measure(criterion: &mut Criterion) {
    let domain = FailureDomainId::new("d0");
    for count in COUNTS {
        let agents: Vec<AgentId> = (0..count)
            .map(|n| AgentId::new(&format!("agent-{n}")))
            .collect();
        let holders = holders(&agents, &domain);
        for (name, prefix_hash) in [("two_choices", 0), ("prefix", 0x9e37_79b9)] {
            let input = RoutingInput {
                prefix_hash,
                domain: &domain,
                excluded: &[],
            };
            let mut rng = Pcg64Mcg::seed_from_u64(1);
            plain(name, count, &holders, &input, &mut rng);
            criterion.bench_function(&format!("{name}/{count}"), |bencher| {
                bencher.iter(|| choose_holder(black_box(&holders), &input, &mut rng));
            });
        }
    }
}

/// Prints the mean time over many choices, measured without criterion.
fn plain(
    name: &str,
    count: usize,
    holders: &[Holder<'_>],
    input: &RoutingInput<'_>,
    rng: &mut Pcg64Mcg,
) {
    let start = std::time::Instant::now();
    for _ in 0..PLAIN_CHOICES {
        black_box(choose_holder(black_box(holders), input, rng));
    }
    let mean_ns = start.elapsed().as_nanos() / u128::from(PLAIN_CHOICES);
    println!("plain {name} at {count} holders: {mean_ns} ns per choice");
}

criterion_group!(benches, measure);
criterion_main!(benches);
