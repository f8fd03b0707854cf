//! Claims that a restore of the platform lost, handled by whole agents.

use crate::fixtures::*;
use base::ObjectVersion;
use base::prelude::*;
use role::agent::AgentEvent;
use schema::link::{KeyedRun, KeyedRuns, frame};

const NOW: Instant = Instant::from_ms(1_000);

/// Time after a restore in which lost claims are written again, and the longest such time
/// while an entry has not reported its requests.
const RESTORE_MS: u64 = 20_000;
const RESTORE_MAX_MS: u64 = 60_000;

/// An agent that has just learned that the platform came back without any claim.
fn restored_agent(platform: &mut Platform) -> TestAgent {
    let mut agent = TestAgent::beside_service(10, NOW, platform);
    platform
        .objects
        .retain(|key, _| !key.starts_with("claims/"));
    platform.last_version = ObjectVersion::new(1, platform.last_version).0;
    agent.frames.clear();
    agent.handle(AgentEvent::PlatformGeneration(1));
    agent
}

fn send_request(agent: &mut TestAgent, sequence: u64, key: &str) {
    let incarnation = agent.incarnation();
    agent.receive_frame(frame::Body::Run(service_run(sequence, incarnation, key)));
}

/// Generation in the agent's latest heartbeat.
fn restored_generation(agent: &TestAgent) -> Option<u64> {
    let mut frames = agent.frames.iter().rev();
    frames.find_map(|(_, body)| match body {
        frame::Body::Heartbeat(heartbeat) => Some(heartbeat.restored_generation),
        _ => None,
    })
}

fn report(agent: &mut TestAgent, generation: u64, keys: &[&str]) {
    report_known_for(agent, generation, keys, 0);
}

fn report_known_for(
    agent: &mut TestAgent,
    generation: u64,
    keys: &[&str],
    known_ms: u64,
) {
    // `service_run` sends requests of this caller.
    let run = service_run(1, 10, "");
    let runs = keys.iter().map(|key| KeyedRun {
        caller: run.caller.clone(),
        key: (*key).to_owned(),
        body_hash: run.body_hash,
        agent: "two".to_owned(),
        ran: RunStatus::Ran.number(),
        pool: "desk".to_owned(),
        claimed: true,
    });
    agent.receive_frame(frame::Body::KeyedRuns(KeyedRuns {
        generation,
        runs: runs.collect(),
        known_ms,
    }));
}

/// Guards against an agent that doesn't say that it waits for claims, against a refusal
/// that says that the order was not run, and against keys that stay refused.
#[test]
fn keys_are_granted_once_the_entries_have_reported_and_the_time_is_over() {
    let mut platform = Platform::new();
    let mut agent = restored_agent(&mut platform);
    assert_eq!(restored_generation(&agent), Some(1), "said at once");
    send_request(&mut agent, 1, "lost");
    agent.answer_all_calls(&mut platform);
    let end = agent.end_frame(1).expect("an end");
    assert_eq!(end.code, ErrorCode::PlatformAway.number());
    assert_eq!(end.ran, RunStatus::Unknown.number());
    assert!(end.retry_after_ms > 0);

    report(&mut agent, 1, &["lost"]);
    agent.advance_time(RESTORE_MS);
    agent.answer_all_calls(&mut platform);
    send_request(&mut agent, 2, "lost");
    send_request(&mut agent, 3, "new");
    agent.answer_all_calls(&mut platform);
    let end = agent.end_frame(2).expect("an end");
    assert_eq!(end.code, ErrorCode::OutcomeUnknown.number());
    assert_eq!(end.ran, RunStatus::Ran.number());
    assert!(agent.started(3), "a new key is granted");
    assert!(!agent.started(2), "run twice");
    assert_eq!(restored_generation(&agent), Some(0));
}

/// Guards against keys that are granted before an entry has reported, by a frame of an earlier
/// restore or by none, and against an entry that never does.
#[test]
fn an_entry_that_has_not_reported_is_waited_for() {
    let mut platform = Platform::new();
    let mut agent = restored_agent(&mut platform);
    report(&mut agent, 0, &[]);
    agent.advance_time(RESTORE_MS + 1_000);
    send_request(&mut agent, 1, "new");
    agent.answer_all_calls(&mut platform);
    assert!(!agent.started(1), "granted too early");
    agent.advance_time(RESTORE_MAX_MS - RESTORE_MS);
    send_request(&mut agent, 2, "new");
    agent.answer_all_calls(&mut platform);
    assert!(agent.started(2), "refused for good");
}

/// Guards against waiting for an entry whose link is down.
#[test]
fn an_entry_without_a_link_is_not_waited_for() {
    let mut platform = Platform::new();
    let mut agent = restored_agent(&mut platform);
    agent.link_down(ENTRY);
    agent.advance_time(RESTORE_MS);
    agent.link_up(ENTRY);
    report(&mut agent, 1, &[]);
    send_request(&mut agent, 1, "new");
    agent.answer_all_calls(&mut platform);
    assert!(agent.started(1));
}

/// Guards against new keys that an agent refuses after its start, long after a restore.
#[test]
fn an_agent_that_starts_long_after_a_restore_waits_for_nothing() {
    let mut platform = Platform::new();
    let mut agent = restored_agent(&mut platform);
    report_known_for(&mut agent, 1, &["lost"], 2 * RESTORE_MS);
    send_request(&mut agent, 1, "lost");
    send_request(&mut agent, 2, "new");
    agent.answer_all_calls(&mut platform);
    assert!(agent.started(2), "refused");
    assert!(!agent.started(1), "run twice");
}
