//! Exclusive runs, which must have the upstream to themselves.

use crate::admission::{agent_with_model_a, send_revoke, send_run, start_attempt};
use crate::fixtures::*;
use base::prelude::*;
use role::agent::{AgentEvent, UpstreamEvent};
use schema::link::{Cancel, Load, frame};

fn send_exclusive_run(agent: &mut TestAgent, sequence: u64, remaining_ms: u64) {
    let mut message = model_run(sequence, 10, "a");
    message.alone = true;
    message.remaining_ms = remaining_ms;
    send_run(agent, message);
}

/// Load report of the last frame that carried one.
fn last_load(agent: &TestAgent) -> Load {
    let loads = agent
        .frames
        .iter()
        .rev()
        .filter_map(|(_, body)| match body {
            frame::Body::Heartbeat(heartbeat) => heartbeat.load,
            frame::Body::Refused(refused) => refused.load,
            frame::Body::End(end) => end.load,
            _ => None,
        });
    loads.into_iter().next().expect("a frame with a load")
}

/// A suspect request reaches an upstream that is never idle. If it were
/// refused, it would move from agent to agent until its deadline. Instead it
/// waits: the agent accepts nothing else, tells all entries so, and starts it
/// when the batch is empty.
#[test]
fn an_exclusive_run_starts_when_the_batch_is_empty() {
    let (_, _, mut agent) = agent_with_model_a();
    start_attempt(&mut agent, 1);
    start_attempt(&mut agent, 2);
    send_exclusive_run(&mut agent, 99, 10_000);
    assert_eq!(agent.refusal(99), None);
    assert!(!agent.started(99), "other attempts still run");
    assert_eq!(
        last_load(&agent).running_max,
        0,
        "entries would keep sending work"
    );
    send_run(&mut agent, model_run(3, 10, "a"));
    assert_eq!(agent.refusal(3), Some(ErrorCode::GateFull));
    agent.complete_attempt(1);
    assert!(!agent.started(99), "one attempt still runs");
    agent.complete_attempt(2);
    assert!(agent.started(99), "the batch is empty");
    send_run(&mut agent, model_run(4, 10, "a"));
    assert_eq!(agent.refusal(4), Some(ErrorCode::GateFull));
    agent.complete_attempt(99);
    assert_eq!(agent.end_frame(99).map(|end| end.code), Some(0));
    assert_eq!(last_load(&agent).running_max, 4);
    start_attempt(&mut agent, 5);
}

/// Case name, remaining time in milliseconds, what happens while the run waits,
/// and the expected refusal.
type WaitingCase = (&'static str, u64, fn(&mut TestAgent), Option<ErrorCode>);

/// A waiting run either starts, or its entry is told at once that it was not
/// run. Whatever ends the wait, the run must not start later, because by then
/// the request runs elsewhere, and it must not keep its slot.
#[test]
fn a_waiting_exclusive_run_that_cannot_start_never_runs_later() {
    let cases: &[WaitingCase] = &[
        (
            "waited too long",
            60_000,
            |agent| agent.advance_time(10_000),
            Some(ErrorCode::GateFull),
        ),
        (
            "deadline",
            900,
            |agent| agent.advance_time(900),
            Some(ErrorCode::DeadlineBeforeRun),
        ),
        (
            "drain",
            9_000,
            |agent| agent.handle(AgentEvent::Drain),
            Some(ErrorCode::Leaving),
        ),
        (
            "down",
            9_000,
            |agent| agent.upstream_event(UpstreamEvent::Down),
            Some(ErrorCode::NotReady),
        ),
        ("unloaded", 9_000, restart_empty, Some(ErrorCode::NotHeld)),
        ("link lost", 9_000, |agent| agent.link_down(ENTRY), None),
        ("cancelled", 9_000, cancel, None),
        ("revoked", 9_000, |agent| send_revoke(agent, 99, 10), None),
    ];
    for (name, remaining_ms, disturb, code) in cases {
        let (mut platform, mut engine, mut agent) = agent_with_model_a();
        let mut other = model_run(1, 10, "a");
        other.remaining_ms = 60_000;
        other.idempotent = false;
        send_run(&mut agent, other);
        agent.upstream_event(UpstreamEvent::Started {
            attempt: attempt_id(1),
        });
        send_exclusive_run(&mut agent, 99, *remaining_ms);
        disturb(&mut agent);
        assert_eq!(agent.refusal(99), *code, "{name}");
        let (attempts, running_max) =
            (agent.role.status().attempts, last_load(&agent).running_max);
        assert!(attempts <= 1, "{name}: the slot is kept");
        assert!(
            running_max > 0 || code.is_none(),
            "{name}: other work is still refused"
        );
        agent.link_up(ENTRY);
        agent.complete_attempt(1);
        agent.run_for(3_000, &mut platform, &mut engine);
        assert!(!agent.started(99), "{name}: run after its refusal");
        send_revoke(&mut agent, 99, 10);
        assert_eq!(agent.revoked(99), Some(RunStatus::NotRun), "{name}");
    }
}

fn cancel(agent: &mut TestAgent) {
    let attempt = encoded_attempt_id(99);
    agent.receive_frame(frame::Body::Cancel(Cancel { attempt }));
}

/// The upstream restarts without models while the run waits.
fn restart_empty(agent: &mut TestAgent) {
    let mut engine = Engine::new();
    engine.restart();
    agent.report_from(&engine);
}

/// A suspect request with an idempotency key waits as well. Its key is claimed
/// only when it may start: an earlier claim would have to be released for every
/// refusal.
#[test]
fn a_waiting_call_claims_its_key_only_when_it_may_start() {
    let mut platform = Platform::new();
    let now = Instant::from_ms(1_000);
    let mut agent = TestAgent::beside_service(10, now, &mut platform);
    send_run(&mut agent, service_run(1, 10, "first"));
    agent.answer_all_calls(&mut platform);
    agent.upstream_event(UpstreamEvent::Started {
        attempt: attempt_id(1),
    });
    let mut waiting = service_run(99, 10, "second");
    waiting.alone = true;
    send_run(&mut agent, waiting);
    assert!(agent.calls.is_empty(), "claimed while it waits");
    agent.complete_attempt(1);
    agent.answer_all_calls(&mut platform);
    assert!(agent.started(99));
    agent.complete_attempt(99);
    agent.answer_all_calls(&mut platform);
    assert_eq!(agent.end_frame(99).map(|end| end.code), Some(0));
}
