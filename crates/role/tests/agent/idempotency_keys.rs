//! Non-idempotent requests with an idempotency key, handled by whole agents.

use crate::fixtures::*;
use base::prelude::*;
use role::agent::{AgentEvent, UpstreamEvent};
use schema::link::{Cancel, Revoke, frame};

const NOW: Instant = Instant::from_ms(1_000);

fn send_request(agent: &mut TestAgent, sequence: u64, key: &str) {
    let incarnation = agent.incarnation();
    agent.receive_frame(frame::Body::Run(service_run(sequence, incarnation, key)));
}

/// The request is not run before its claim is granted, and a second request
/// with the same key gets the stored answer without another run.
#[test]
fn a_resend_gets_the_stored_answer() {
    let mut platform = Platform::new();
    let mut agent = TestAgent::beside_service(10, NOW, &mut platform);
    send_request(&mut agent, 1, "key");
    assert!(agent.starts.is_empty(), "run before it was claimed");
    agent.answer_all_calls(&mut platform);
    assert!(agent.started(1));
    agent.complete_attempt(1);
    agent.answer_all_calls(&mut platform);
    assert_eq!(agent.end_frame(1).map(|end| end.code), Some(0));

    let mut other = TestAgent::beside_service(20, NOW, &mut platform);
    send_request(&mut other, 2, "key");
    other.answer_all_calls(&mut platform);
    assert!(other.starts.is_empty(), "run twice");
    let end = other.end_frame(2).expect("an end");
    assert!(end.replayed);
    assert_eq!((end.code, end.status, end.total_units), (0, 200, 2));
    let body = other.frames.iter().find_map(|(_, body)| match body {
        frame::Body::Answer(answer) => Some(answer.payload.clone()),
        _ => None,
    });
    assert_eq!(body.as_deref(), Some(&b"ok"[..]));
}

/// While the platform is unavailable, no claim can be written. The request is
/// refused at once as `not_run` with a retry delay, and is not run later
/// either.
#[test]
fn while_the_platform_is_away_a_call_is_not_run() {
    let mut platform = Platform::new();
    let mut agent = TestAgent::beside_service(10, NOW, &mut platform);
    platform.unavailable = true;
    send_request(&mut agent, 1, "key");
    agent.answer_all_calls(&mut platform);
    assert_eq!(agent.refusal(1), Some(ErrorCode::PlatformAway));
    platform.unavailable = false;
    for _ in 0..100 {
        agent.advance_time(100);
        agent.answer_all_calls(&mut platform);
    }
    assert!(agent.starts.is_empty());
    send_request(&mut agent, 2, "key");
    agent.answer_all_calls(&mut platform);
    assert!(agent.started(2), "the key is free");
}

/// How an attempt is withdrawn while its claim is being written.
type Withdrawal = (&'static str, fn(&mut TestAgent));

const WITHDRAWALS: [Withdrawal; 3] = [
    ("cancelled", |agent| {
        let attempt = encoded_attempt_id(1);
        agent.receive_frame(frame::Body::Cancel(Cancel { attempt }));
    }),
    ("revoked", |agent| {
        let agent_incarnation = agent.incarnation();
        let attempt = encoded_attempt_id(1);
        agent.receive_frame(frame::Body::Revoke(Revoke {
            attempt,
            agent_incarnation,
        }));
        assert_eq!(agent.revoked(1), Some(RunStatus::NotRun));
    }),
    ("its link lost", |agent| agent.link_down(ENTRY)),
];

/// The attempt is withdrawn while its claim is being written. The claim is
/// granted too late: the request is not run and its key is free again.
#[test]
fn a_claim_granted_too_late_is_released() {
    for (name, withdraw) in WITHDRAWALS {
        let mut platform = Platform::new();
        let mut agent = TestAgent::beside_service(10, NOW, &mut platform);
        send_request(&mut agent, 1, "key");
        agent.answer_next_call(&mut platform);
        assert_eq!(agent.calls.len(), 1, "{name}: the write is in flight");
        withdraw(&mut agent);
        agent.answer_all_calls(&mut platform);
        assert!(agent.starts.is_empty(), "{name}");
        agent.link_up(ENTRY);
        send_request(&mut agent, 2, "key");
        agent.answer_all_calls(&mut platform);
        assert!(agent.started(2), "{name}: the key is not free");
    }
}

/// The platform answers slowly and the deadline passes before the claim is
/// granted. The request is refused as `not_run`, is not run, and its key is
/// free again when the caller receives the refusal.
#[test]
fn a_claim_granted_after_the_deadline_is_released() {
    let mut platform = Platform::new();
    let mut agent = TestAgent::beside_service(10, NOW, &mut platform);
    let mut run = service_run(1, 10, "key");
    run.remaining_ms = 1_000;
    agent.receive_frame(frame::Body::Run(run));
    agent.answer_next_call(&mut platform);
    agent.advance_time(1_100);
    agent.answer_all_calls(&mut platform);
    assert!(agent.starts.is_empty());
    assert_eq!(agent.refusal(1), Some(ErrorCode::DeadlineBeforeRun));
    send_request(&mut agent, 2, "key");
    agent.answer_all_calls(&mut platform);
    assert!(agent.started(2), "the key is not free");
}

/// Guards against telling a caller that sends its order again right after the answer
/// that its key is in progress.
#[test]
fn a_resend_right_after_the_answer_gets_the_stored_answer() {
    let mut platform = Platform::new();
    let mut agent = TestAgent::beside_service(10, NOW, &mut platform);
    let mut other = TestAgent::beside_service(11, NOW, &mut platform);
    send_request(&mut agent, 1, "key");
    agent.answer_all_calls(&mut platform);
    agent.complete_attempt(1);
    assert!(agent.end_frame(1).is_none(), "ended before it was stored");
    agent.answer_all_calls(&mut platform);
    assert!(agent.end_frame(1).is_some_and(|end| !end.replayed));
    send_request(&mut other, 2, "key");
    other.answer_all_calls(&mut platform);
    assert!(other.end_frame(2).is_some_and(|end| end.replayed));
}

/// Guards against telling a caller that sends its order again right after it failed that
/// its key is in progress: the order may not be sent with that key again, and the caller
/// should know at once.
#[test]
fn a_resend_right_after_a_failure_is_told_the_outcome() {
    let failures = [
        UpstreamEvent::Failed {
            attempt: attempt_id(1),
            ran: RunStatus::Ran,
            status: 500,
            broken: false,
        },
        UpstreamEvent::Down,
    ];
    for failure in failures {
        let mut platform = Platform::new();
        let mut agent = TestAgent::beside_service(10, NOW, &mut platform);
        let mut other = TestAgent::beside_service(11, NOW, &mut platform);
        send_request(&mut agent, 1, "key");
        agent.answer_all_calls(&mut platform);
        agent.upstream_event(UpstreamEvent::Started {
            attempt: attempt_id(1),
        });
        agent.upstream_event(failure);
        assert!(agent.end_frame(1).is_none(), "ended before it was stored");
        agent.answer_all_calls(&mut platform);
        assert!(agent.end_frame(1).is_some_and(|end| end.code > 0));
        send_request(&mut other, 2, "key");
        other.answer_all_calls(&mut platform);
        let end = other.end_frame(2).expect("an end");
        assert_eq!(end.code, ErrorCode::OutcomeUnknown.number());
    }
}

/// Guards against telling a caller with a short deadline that the key of its order is in
/// progress: the ends of such orders were not held at all.
#[test]
fn an_answer_near_its_deadline_waits_for_half_of_the_time_left() {
    for is_stored in [true, false] {
        let mut platform = Platform::new();
        let mut agent = TestAgent::beside_service(10, NOW, &mut platform);
        let mut run = service_run(1, 10, "key");
        run.remaining_ms = 800;
        agent.receive_frame(frame::Body::Run(run));
        agent.answer_all_calls(&mut platform);
        agent.complete_attempt(1);
        assert!(agent.end_frame(1).is_none(), "ended before it was stored");
        if is_stored {
            agent.answer_all_calls(&mut platform);
        } else {
            agent.advance_time(399);
            assert!(agent.end_frame(1).is_none());
            agent.advance_time(1);
        }
        assert!(agent.end_frame(1).is_some_and(|end| end.code == 0));
    }
}

/// Guards against holding a response that is ready for a platform that does not answer.
#[test]
fn the_wait_for_the_platform_holds_an_answer_for_a_second_at_most() {
    let mut platform = Platform::new();
    let mut agent = TestAgent::beside_service(10, NOW, &mut platform);
    send_request(&mut agent, 1, "key");
    agent.answer_all_calls(&mut platform);
    agent.complete_attempt(1);
    agent.advance_time(900);
    assert!(agent.end_frame(1).is_none());
    agent.advance_time(200);
    assert!(agent.end_frame(1).is_some_and(|end| !end.replayed));
}

/// The upstream itself refuses the request. The claim is released before the
/// caller is told, so that its next request does not find the key claimed.
#[test]
fn a_call_the_upstream_refused_frees_its_key_first() {
    let mut platform = Platform::new();
    let mut agent = TestAgent::beside_service(10, NOW, &mut platform);
    send_request(&mut agent, 1, "key");
    agent.answer_all_calls(&mut platform);
    agent.upstream_event(UpstreamEvent::Failed {
        attempt: attempt_id(1),
        ran: RunStatus::NotRun,
        status: 503,
        broken: false,
    });
    assert_eq!(agent.refusal(1), None, "refused before the key was free");
    agent.answer_all_calls(&mut platform);
    assert_eq!(agent.refusal(1), Some(ErrorCode::UpstreamFault));
    send_request(&mut agent, 2, "key");
    agent.answer_all_calls(&mut platform);
    assert!(agent.started(2));
}

/// The agent dies between claim and run, or between run and answer. Another
/// request with the same key is never run by its successor, which can't tell
/// whether the first one was.
#[test]
fn a_call_of_a_dead_agent_is_not_run_again() {
    for ran in [false, true] {
        let mut platform = Platform::new();
        let mut agent = TestAgent::beside_service(10, NOW, &mut platform);
        send_request(&mut agent, 1, "key");
        agent.answer_all_calls(&mut platform);
        if ran {
            agent.upstream_event(UpstreamEvent::Started {
                attempt: attempt_id(1),
            });
        }
        drop(agent);
        let mut next = TestAgent::beside_service(11, NOW.plus_ms(500), &mut platform);
        send_request(&mut next, 2, "key");
        next.answer_all_calls(&mut platform);
        let end = next.end_frame(2).expect("an end");
        assert_eq!(end.code, ErrorCode::KeyInProgress.number());
        assert_eq!(RunStatus::from_number(end.ran), RunStatus::Unknown);
        next.advance_time(20_000);
        send_request(&mut next, 3, "key");
        next.answer_all_calls(&mut platform);
        let end = next.end_frame(3).expect("an end");
        assert_eq!(end.code, ErrorCode::OutcomeUnknown.number());
        assert!(next.starts.is_empty(), "run a second time");
    }
}

/// The entry disconnects during the run. The request can't be undone, so it
/// finishes and its answer is stored for a later request with the same key.
#[test]
fn a_call_without_its_entry_still_stores_its_answer() {
    let mut platform = Platform::new();
    let mut agent = TestAgent::beside_service(10, NOW, &mut platform);
    send_request(&mut agent, 1, "key");
    agent.answer_all_calls(&mut platform);
    agent.upstream_event(UpstreamEvent::Started {
        attempt: attempt_id(1),
    });
    agent.link_down(ENTRY);
    assert!(agent.stops.is_empty());
    agent.complete_attempt(1);
    agent.answer_all_calls(&mut platform);
    agent.link_up(ENTRY);
    send_request(&mut agent, 2, "key");
    agent.answer_all_calls(&mut platform);
    assert!(agent.end_frame(2).is_some_and(|end| end.replayed));
}

/// The upstream dies with the request in flight. It may have taken effect, so
/// another request with the same key is told that it ran with an unknown
/// outcome.
#[test]
fn a_call_lost_in_a_crash_is_not_run_again() {
    let mut platform = Platform::new();
    let mut agent = TestAgent::beside_service(10, NOW, &mut platform);
    send_request(&mut agent, 1, "key");
    agent.answer_all_calls(&mut platform);
    agent.upstream_event(UpstreamEvent::Started {
        attempt: attempt_id(1),
    });
    agent.upstream_event(UpstreamEvent::Down);
    agent.answer_all_calls(&mut platform);
    agent.report_from(&Engine::new());
    send_request(&mut agent, 2, "key");
    agent.answer_all_calls(&mut platform);
    let end = agent.end_frame(2).expect("an end");
    assert_eq!(end.code, ErrorCode::OutcomeUnknown.number());
    assert_eq!(RunStatus::from_number(end.ran), RunStatus::Ran);
    assert_eq!(agent.starts.len(), 1);
}

/// On a graceful shutdown the request in progress finishes, its answer is
/// stored, and only then does the process exit.
#[test]
fn a_stop_waits_for_the_answer_to_be_stored() {
    let mut platform = Platform::new();
    let mut agent = TestAgent::beside_service(10, NOW, &mut platform);
    send_request(&mut agent, 1, "key");
    agent.answer_all_calls(&mut platform);
    agent.handle(AgentEvent::Drain);
    agent.answer_all_calls(&mut platform);
    assert!(!agent.exited);
    agent.complete_attempt(1);
    let goodbye = |body: &frame::Body| matches!(body, frame::Body::Goodbye(_));
    let left = agent.frames.iter().any(|(_, body)| goodbye(body));
    assert!(!left && !agent.exited, "the answer is not stored yet");
    agent.answer_all_calls(&mut platform);
    assert!(agent.exited);
    let mut next = TestAgent::beside_service(11, NOW, &mut platform);
    send_request(&mut next, 2, "key");
    next.answer_all_calls(&mut platform);
    assert!(next.end_frame(2).is_some_and(|end| end.replayed));
}
