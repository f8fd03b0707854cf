//! Compares placement policies on the same demand.
//!
//! Run with `cargo bench -p place --bench policy`. Words after `--` select the
//! workloads whose names contain one of them. `quick` leaves out the upper bound,
//! and `bare` leaves out adapters, which the upper bound does not model.
#![allow(missing_docs, missing_debug_implementations, dead_code)]

mod queue;

use queue::{Deployment, Lru, Outcome, PlannerPolicy, Policy, Setup, Static, Workload};

const SEED: u64 = 7;

fn main() {
    let words: Vec<String> = std::env::args()
        .skip(1)
        .filter(|word| !word.starts_with('-'))
        .collect();
    let quick = words.iter().any(|word| word == "quick");
    let bare = words.iter().any(|word| word == "bare");
    let options = ["quick", "bare"];
    let names: Vec<&String> = words
        .iter()
        .filter(|word| !options.contains(&word.as_str()))
        .collect();
    println!(
        "{:<12}{:>2} {:<13}{:<12}{:>9}{:>8}{:>8}{:>7}{:>7}{:>8}",
        "cell",
        "",
        "workload",
        "policy",
        "att/acc·s",
        "share",
        "of bnd",
        "vs lru",
        "moves",
        "wait s"
    );
    for deployment in [Deployment::Harbourline, Deployment::Naskhah] {
        for models_per_accelerator in [1, 2] {
            let mut setup = Setup::new(deployment, models_per_accelerator, SEED);
            if bare {
                setup.without_adapters();
            }
            for workload in Workload::ALL {
                let named = |word: &&String| workload.name().contains(word.as_str());
                if names.is_empty() || names.iter().any(named) {
                    compare(&setup, models_per_accelerator, workload, quick);
                }
            }
        }
    }
}

fn compare(
    setup: &Setup,
    models_per_accelerator: u32,
    workload: Workload,
    quick: bool,
) {
    let bound = if quick {
        f64::NAN
    } else {
        queue::bound::share(setup, workload)
    };
    let mut best_lru = 0.0f64;
    let harbourline = Setup::weights(Deployment::Harbourline);
    let naskhah = Setup::weights(Deployment::Naskhah);
    let policies: Vec<(&str, Box<dyn Policy>)> = vec![
        ("static", Box::new(Static)),
        ("lru", Box::new(Lru::default())),
        ("lru+copies", Box::new(Lru { replicas: true })),
        (
            "planner H",
            Box::new(PlannerPolicy::new(setup, workload, harbourline)),
        ),
        (
            "planner N",
            Box::new(PlannerPolicy::new(setup, workload, naskhah)),
        ),
    ];
    for (name, mut policy) in policies {
        let outcome = queue::run(setup, workload, policy.as_mut());
        if name.starts_with("lru") {
            best_lru = best_lru.max(outcome.per_accelerator());
        }
        row(
            setup,
            models_per_accelerator,
            workload,
            name,
            &outcome,
            bound,
            best_lru,
        );
    }
    println!(
        "{:<12}{:>2} {:<13}{:<12}{:>9}{:>8.3}",
        format!("{:?}", setup.deployment),
        models_per_accelerator,
        workload.name(),
        "bound",
        "",
        bound
    );
}

fn row(
    setup: &Setup,
    models_per_accelerator: u32,
    workload: Workload,
    name: &str,
    outcome: &Outcome,
    bound: f64,
    best_lru: f64,
) {
    println!(
        "{:<12}{:>2} {:<13}{:<12}{:>9.3}{:>8.3}{:>8.2}{:>7.2}{:>7}{:>8.1}",
        format!("{:?}", setup.deployment),
        models_per_accelerator,
        workload.name(),
        name,
        outcome.per_accelerator(),
        outcome.share(),
        outcome.share() / bound,
        if best_lru > 0.0 {
            outcome.per_accelerator() / best_lru
        } else {
            0.0
        },
        outcome.moves,
        outcome.longest_wait_ms as f64 / 1_000.0
    );
}
