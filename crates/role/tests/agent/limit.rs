//! The places of an engine follow the expected time between tokens.

use crate::gate::{go, node, run};
use crate::stand::*;
use base::prelude::*;
use role::agent::{ConcurrencyLimit, UpstreamEvent, UpstreamReport};
use schema::link::frame;

/// Reports of an engine that holds a model and takes this long for a step.
fn steps(node: &mut Node, engine: &Engine, step_time_us: u32, reports: u32) {
    for _ in 0..reports {
        node.pass(150);
        node.upstream(UpstreamEvent::Report(UpstreamReport {
            step_time_us,
            ..engine.report()
        }));
    }
}

fn places(node: &mut Node) -> u32 {
    node.pass(HEARTBEAT_MS);
    let last = node.frames.iter().rev().find_map(|(_, body)| match body {
        frame::Body::Heartbeat(beat) => beat.load,
        _ => None,
    });
    last.expect("a heartbeat").running_max
}

/// The batch is so full that each token takes 80 ms where 50 are expected. The
/// agent takes fewer at once and tells entries so; when steps are short again
/// and all places taken, it takes more.
#[test]
fn slow_steps_take_places_away_and_short_ones_give_them_back() {
    let (_, engine, mut node) = node();
    steps(&mut node, &engine, 80_000, 16);
    assert_eq!(places(&mut node), 2);
    go(&mut node, 1);
    go(&mut node, 2);
    run(&mut node, model_run(3, 10, "a"));
    assert_eq!(node.refusal(3), Some(Code::GateFull));
    steps(&mut node, &engine, 20_000, 24);
    assert_eq!(places(&mut node), 3);
}

/// Nobody waits for the tokens of model `c`: only throughput counts, and all
/// places stay open.
#[test]
fn without_an_expectation_all_places_stay() {
    let (mut platform, mut engine, mut node) = node();
    node.target("p", 1, &[("c", 1)]);
    node.work(2_000, &mut platform, &mut engine);
    assert!(engine.holds("c") && !engine.holds("a"));
    steps(&mut node, &engine, 80_000, 16);
    assert_eq!(places(&mut node), 4);
}

/// The expectation is shorter than the shortest step. Few places would gain
/// nothing and cost throughput, so after one try all are open again for minutes.
#[test]
fn an_expectation_out_of_reach_takes_no_places_for_long() {
    let mut limit = ConcurrencyLimit::default();
    limit.configure(32);
    let mut open = 0;
    for _ in 0..2_000 {
        limit.observe(20_000, 10_000, true);
        assert!(limit.limit() >= 4);
        open += u32::from(limit.limit() == 32);
    }
    assert!(open > 1_700, "open for {open} of 2,000 reports");
}
