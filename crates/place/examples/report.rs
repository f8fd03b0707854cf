//! Plots attained requests and moves over time for the planner and other policies.
//!
//! `cargo run --release -p place --example report -- [file.svg] [workload]` runs
//! one workload with the sizes of the Harbourline deployment, prints the totals and
//! writes an SVG with the attained requests per second above and the moves per
//! second below.
#![allow(missing_docs, missing_debug_implementations, dead_code)]

#[path = "../benches/queue/mod.rs"]
mod queue;

use plotters::prelude::*;
use queue::{Deployment, Lru, Outcome, PlannerPolicy, Policy, Setup, Static, Workload};
use std::error::Error;

const SEED: u64 = 7;

/// Seconds averaged into one data point.
const WINDOW_S: usize = 10;

/// Selects attained requests or moves from the counts of one second.
type Series = fn(&(u64, u64)) -> u64;

fn main() -> Result<(), Box<dyn Error>> {
    let mut args = std::env::args().skip(1);
    let file = args.next().unwrap_or_else(|| "placement.svg".into());
    let word = args.next().unwrap_or_else(|| "bursts".into());
    let workload = Workload::ALL
        .into_iter()
        .find(|workload| workload.name() == word)
        .ok_or("no such workload")?;
    let setup = Setup::new(Deployment::Harbourline, 1, SEED);
    let runs = run_all(&setup, workload);
    for (name, outcome) in &runs {
        println!(
            "{name:<12} share {:.3}, {:.3} per accelerator and second, {} moves",
            outcome.share(),
            outcome.per_accelerator(),
            outcome.moves
        );
    }
    draw(&file, &runs)?;
    println!("wrote {file}");
    Ok(())
}

fn run_all(setup: &Setup, workload: Workload) -> Vec<(&'static str, Outcome)> {
    let harbourline = Setup::weights(Deployment::Harbourline);
    let naskhah = Setup::weights(Deployment::Naskhah);
    let policies: Vec<(&str, Box<dyn Policy>)> = vec![
        ("static", Box::new(Static)),
        ("lru", Box::new(Lru::default())),
        (
            "planner H",
            Box::new(PlannerPolicy::new(setup, workload, harbourline)),
        ),
        (
            "planner N",
            Box::new(PlannerPolicy::new(setup, workload, naskhah)),
        ),
    ];
    policies
        .into_iter()
        .map(|(name, mut policy)| (name, queue::run(setup, workload, policy.as_mut())))
        .collect()
}

/// Averages a series over windows of `WINDOW_S` seconds.
fn windows(outcome: &Outcome, of: Series) -> Vec<(f64, f64)> {
    let windows = outcome.seconds.chunks(WINDOW_S).enumerate();
    windows
        .map(|(index, window)| {
            let total: u64 = window.iter().map(of).sum();
            let second = (index * WINDOW_S) as f64;
            (second, total as f64 / window.len() as f64)
        })
        .collect()
}

fn draw(file: &str, runs: &[(&str, Outcome)]) -> Result<(), Box<dyn Error>> {
    let area = SVGBackend::new(file, (960, 640)).into_drawing_area();
    area.fill(&WHITE)?;
    let halves = area.split_evenly((2, 1));
    let series: [Series; 2] = [|second| second.0, |second| second.1];
    for (half, of) in halves.iter().zip(series) {
        let lines: Vec<_> = runs.iter().map(|run| windows(&run.1, of)).collect();
        let points = || lines.iter().flatten();
        let last = points().map(|point| point.0).fold(1.0, f64::max);
        let most = points().map(|point| point.1).fold(1.0, f64::max);
        let mut chart = ChartBuilder::on(half)
            .margin(16)
            .build_cartesian_2d(0.0..last, 0.0..most * 1.1)?;
        // Axes have no labels: text needs a font library that the build leaves out.
        // The colors follow the order of the printed lines.
        let frame = [(0.0, most * 1.1), (0.0, 0.0), (last, 0.0)];
        chart.draw_series(LineSeries::new(frame, &BLACK))?;
        for (index, line) in lines.into_iter().enumerate() {
            let color = Palette99::pick(index).stroke_width(2);
            chart.draw_series(LineSeries::new(line, color))?;
        }
    }
    area.present()?;
    Ok(())
}
