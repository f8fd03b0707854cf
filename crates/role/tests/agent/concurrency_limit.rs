//! The concurrency limit of an engine follows the target time between tokens.

use crate::admission::{agent_with_model_a, send_run, start_attempt};
use crate::fixtures::*;
use base::prelude::*;
use role::agent::{ConcurrencyLimit, UpstreamEvent, UpstreamReport};
use schema::link::frame;

/// Sends reports of an engine with the given step time, one every 150 ms.
fn report_step_times(
    agent: &mut TestAgent,
    engine: &Engine,
    step_time_us: u32,
    reports: u32,
) {
    for _ in 0..reports {
        agent.advance_time(150);
        agent.upstream_event(UpstreamEvent::Report(UpstreamReport {
            step_time_us,
            ..engine.report()
        }));
    }
}

fn advertised_limit(agent: &mut TestAgent) -> u32 {
    agent.advance_time(HEARTBEAT_MS);
    let last = agent.frames.iter().rev().find_map(|(_, body)| match body {
        frame::Body::Heartbeat(heartbeat) => heartbeat.load,
        _ => None,
    });
    last.expect("a heartbeat").running_max
}

/// The batch is so full that each token takes 80 ms where the target is 50 ms.
/// The agent lowers its limit and tells the entries; when steps are short again
/// and all slots are taken, it raises the limit.
#[test]
fn slow_steps_lower_the_limit_and_short_steps_raise_it() {
    let (_, engine, mut agent) = agent_with_model_a();
    report_step_times(&mut agent, &engine, 80_000, 16);
    assert_eq!(advertised_limit(&mut agent), 2);
    start_attempt(&mut agent, 1);
    start_attempt(&mut agent, 2);
    send_run(&mut agent, model_run(3, 10, "a"));
    assert_eq!(agent.refusal(3), Some(ErrorCode::GateFull));
    report_step_times(&mut agent, &engine, 20_000, 24);
    assert_eq!(advertised_limit(&mut agent), 3);
}

/// No interactive profile uses model `c`: only throughput counts, and the limit
/// stays at its maximum.
#[test]
fn without_a_target_the_limit_stays_at_its_maximum() {
    let (mut platform, mut engine, mut agent) = agent_with_model_a();
    agent.receive_target("p", 1, &[("c", 1)]);
    agent.run_for(2_000, &mut platform, &mut engine);
    assert!(engine.has_loaded("c") && !engine.has_loaded("a"));
    report_step_times(&mut agent, &engine, 80_000, 16);
    assert_eq!(advertised_limit(&mut agent), 4);
}

/// The target is shorter than the shortest step. A low limit would gain nothing
/// and cost throughput, so after one attempt to lower it, the limit returns to
/// its maximum for minutes.
#[test]
fn an_unattainable_target_does_not_lower_the_limit_for_long() {
    let mut limit = ConcurrencyLimit::default();
    limit.configure(32);
    let mut at_maximum = 0;
    for _ in 0..2_000 {
        limit.observe(20_000, 10_000, true);
        assert!(limit.limit() >= 4);
        at_maximum += u32::from(limit.limit() == 32);
    }
    assert!(
        at_maximum > 1_700,
        "at the maximum for {at_maximum} of 2,000 reports"
    );
}
