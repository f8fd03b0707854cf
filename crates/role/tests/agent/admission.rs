//! Admission control: whatever it refuses was not run.

use crate::fixtures::*;
use base::prelude::*;
use role::agent::{AgentEvent, UpstreamEvent, UpstreamReport};
use schema::link::{Cancel, Revoke, Run, frame};

pub fn agent_with_model_a() -> (Platform, Engine, TestAgent) {
    let mut platform = Platform::new();
    let mut engine = Engine::new();
    let now = Instant::from_ms(1_000);
    let mut agent =
        TestAgent::beside_engine(10, "127.0.0.1:1", now, &mut platform, &engine);
    agent.receive_target("p", 1, &[("a", 1)]);
    agent.run_for(300, &mut platform, &mut engine);
    (platform, engine, agent)
}

pub fn send_run(agent: &mut TestAgent, run: Run) {
    agent.receive_frame(frame::Body::Run(run));
}

pub fn send_revoke(agent: &mut TestAgent, sequence: u64, agent_incarnation: u64) {
    agent.receive_frame(frame::Body::Revoke(Revoke {
        attempt: encoded_attempt_id(sequence),
        agent_incarnation,
    }));
}

pub fn start_attempt(agent: &mut TestAgent, sequence: u64) {
    send_run(agent, model_run(sequence, 10, "a"));
    assert!(agent.started(sequence), "attempt {sequence} is refused");
    let attempt = attempt_id(sequence);
    agent.upstream_event(UpstreamEvent::Started { attempt });
}

/// Case name, preparation of the agent, change of the `Run` frame, and the
/// expected refusal.
type Case = (&'static str, fn(&mut TestAgent), fn(&mut Run), ErrorCode);

/// Every refusal says `not_run`, and the caller then sends the request again.
/// No path to a refusal may therefore hand the attempt to the upstream, not
/// even later.
#[test]
fn a_refused_attempt_is_not_handed_over() {
    let cases: &[Case] = &[
        (
            "leaving",
            |agent| agent.handle(AgentEvent::Drain),
            |_| {},
            ErrorCode::Leaving,
        ),
        (
            "wrong incarnation",
            |_| {},
            |run| run.agent_incarnation = 9,
            ErrorCode::WrongIncarnation,
        ),
        (
            "model not held",
            |_| {},
            |run| run.model = "b".into(),
            ErrorCode::NotHeld,
        ),
        (
            "version not held",
            |_| {},
            |run| run.version = 2,
            ErrorCode::NotHeld,
        ),
        (
            "no such service",
            |_| {},
            |run| run.service = "parts".into(),
            ErrorCode::UnknownService,
        ),
        (
            "upstream down",
            |agent| agent.upstream_event(UpstreamEvent::Down),
            |_| {},
            ErrorCode::NotReady,
        ),
        (
            "no time left",
            |_| {},
            |run| run.remaining_ms = 0,
            ErrorCode::DeadlineBeforeRun,
        ),
        (
            "queue longer than the remaining time",
            queue_requests,
            |run| run.remaining_ms = 900,
            ErrorCode::DeadlineBeforeRun,
        ),
        ("full", fill_slots, |_| {}, ErrorCode::GateFull),
        (
            "exclusive, beside a long attempt",
            |agent| run_long(agent, 12_000),
            |run| (run.alone, run.remaining_ms) = (true, 60_000),
            ErrorCode::GateFull,
        ),
        (
            "exclusive, with less time than the running attempt",
            |agent| run_long(agent, 1_000),
            |run| (run.alone, run.remaining_ms) = (true, 900),
            ErrorCode::GateFull,
        ),
        (
            "exclusive, with another waiting",
            |agent| {
                start_attempt(agent, 1);
                let mut waiting = model_run(2, 10, "a");
                waiting.alone = true;
                send_run(agent, waiting);
            },
            |run| run.alone = true,
            ErrorCode::GateFull,
        ),
        (
            "beside an exclusive run",
            send_exclusive_run,
            |_| {},
            ErrorCode::GateFull,
        ),
        (
            "revoked",
            |agent| send_revoke(agent, 99, 10),
            |_| {},
            ErrorCode::Revoked,
        ),
        ("woken from a freeze", freeze, |_| {}, ErrorCode::NotReady),
    ];
    for (name, arrange, alter, code) in cases {
        let (mut platform, mut engine, mut agent) = agent_with_model_a();
        arrange(&mut agent);
        let mut message = model_run(99, 10, "a");
        alter(&mut message);
        send_run(&mut agent, message);
        assert_eq!(agent.refusal(99), Some(*code), "{name}");
        agent.run_for(3_000, &mut platform, &mut engine);
        assert!(!agent.started(99), "{name}: run although refused");
    }
}

/// The upstream reports a queue that takes a second to process.
fn queue_requests(agent: &mut TestAgent) {
    start_attempt(agent, 1);
    agent.advance_time(1_000);
    agent.complete_attempt(1);
    let mut report = UpstreamReport {
        waiting: 4,
        ..Engine::new().report()
    };
    report.residents.push(role::agent::UpstreamResident {
        model: ModelId::new("a"),
        version: 1,
        accelerator: 0,
        size_mib: 60,
        loaded: true,
    });
    agent.upstream_event(UpstreamEvent::Report(report));
}

fn fill_slots(agent: &mut TestAgent) {
    for attempt in 1..=4 {
        start_attempt(agent, attempt);
    }
}

/// Requests take `service_ms` each, and one has just started.
fn run_long(agent: &mut TestAgent, service_ms: u64) {
    let mut first = model_run(1, 10, "a");
    first.remaining_ms = 60_000;
    send_run(agent, first);
    agent.advance_time(service_ms);
    agent.complete_attempt(1);
    start_attempt(agent, 2);
}

fn send_exclusive_run(agent: &mut TestAgent) {
    let mut message = model_run(1, 10, "a");
    message.alone = true;
    send_run(agent, message);
    assert!(agent.started(1));
}

fn freeze(agent: &mut TestAgent) {
    agent.now = agent.now.plus_ms(60_000);
}

/// An agent without a configuration accepts no work.
#[test]
fn without_a_configuration_nothing_is_taken() {
    let mut platform = Platform::new();
    platform.unavailable = true;
    let mut agent = TestAgent::start(10, "engines", "127.0.0.1:1", Instant::from_ms(1));
    agent.link_up(ENTRY);
    agent.answer_all_calls(&mut platform);
    agent.report_from(&Engine::new());
    send_run(&mut agent, model_run(1, 10, "a"));
    assert_eq!(agent.refusal(1), Some(ErrorCode::NotReady));
    assert!(!agent.ready && agent.starts.is_empty());
}

/// Case name, preparation of the agent, the incarnation in the `Revoke`, and
/// the expected answer.
type RevocationCase = (&'static str, fn(&mut TestAgent), u64, RunStatus);

/// An entry received no answer and revokes the attempt. The agent says
/// `not_run` only of an attempt that was not handed over and never will be;
/// whatever it can't know is `unknown`.
#[test]
fn a_revocation_answers_not_run_only_if_certain() {
    let cases: &[RevocationCase] = &[
        ("never seen", |_| {}, 10, RunStatus::NotRun),
        ("of another incarnation", |_| {}, 9, RunStatus::Unknown),
        (
            "running",
            |agent| start_attempt(agent, 99),
            10,
            RunStatus::Ran,
        ),
        (
            "given to the driver",
            |agent| send_run(agent, model_run(99, 10, "a")),
            10,
            RunStatus::Unknown,
        ),
        ("done", done, 10, RunStatus::Ran),
        ("cancelled", cancelled, 10, RunStatus::Ran),
        ("refused", refused, 10, RunStatus::NotRun),
        ("failed without being run", not_run, 10, RunStatus::NotRun),
    ];
    for (name, arrange, incarnation, ran) in cases {
        let (_, _, mut agent) = agent_with_model_a();
        arrange(&mut agent);
        send_revoke(&mut agent, 99, *incarnation);
        assert_eq!(agent.revoked(99), Some(*ran), "{name}");
    }
}

fn done(agent: &mut TestAgent) {
    start_attempt(agent, 99);
    agent.complete_attempt(99);
}

fn cancelled(agent: &mut TestAgent) {
    start_attempt(agent, 99);
    let attempt = encoded_attempt_id(99);
    agent.receive_frame(frame::Body::Cancel(Cancel { attempt }));
    assert_eq!(agent.stops, [attempt_id(99)]);
}

fn refused(agent: &mut TestAgent) {
    send_run(agent, model_run(99, 10, "b"));
}

fn not_run(agent: &mut TestAgent) {
    send_run(agent, model_run(99, 10, "a"));
    agent.upstream_event(UpstreamEvent::Failed {
        attempt: attempt_id(99),
        ran: RunStatus::NotRun,
        status: 503,
        broken: false,
    });
    assert_eq!(agent.refusal(99), Some(ErrorCode::UpstreamFault));
}

/// The connection to an entry breaks. An idempotent attempt is stopped, which
/// frees its slot; a non-idempotent one is left to finish.
#[test]
fn a_lost_link_stops_idempotent_attempts() {
    let (_, _, mut agent) = agent_with_model_a();
    start_attempt(&mut agent, 1);
    let mut once = model_run(2, 10, "a");
    once.idempotent = false;
    send_run(&mut agent, once);
    agent.link_down(ENTRY);
    assert_eq!(agent.stops, [attempt_id(1)]);
    assert_eq!(agent.role.status().attempts, 1);
}

/// Offsets of the parts continue where the caller's answer broke off, and the
/// end carries the length of the whole answer, so that an entry detects every
/// gap.
#[test]
fn offsets_continue_from_the_resumed_answer() {
    let (_, _, mut agent) = agent_with_model_a();
    let mut message = model_run(1, 10, "a");
    message.resume_offset = 40;
    send_run(&mut agent, message);
    let attempt = attempt_id(1);
    agent.upstream_event(UpstreamEvent::Started { attempt });
    for units in [3, 2] {
        agent.upstream_event(UpstreamEvent::AnswerPart { attempt, units });
    }
    agent.upstream_event(UpstreamEvent::Done {
        attempt,
        status: 200,
        content_type: String::new(),
    });
    assert_eq!(agent.forwards, [(attempt, 40, 3), (attempt, 43, 2)]);
    let end = agent.end_frame(1).expect("an end");
    assert_eq!((end.code, end.total_units), (0, 45));
    assert_eq!(end.upstream_incarnation, 7);
    agent.upstream_event(UpstreamEvent::AnswerPart { attempt, units: 1 });
    assert_eq!(agent.forwards.len(), 2, "a part after the end is dropped");
}

/// How the agent learns that its upstream has died.
type CrashSignal = (&'static str, fn(&mut TestAgent, &mut Engine));

const CRASH_SIGNALS: [CrashSignal; 3] = [
    ("down", |agent, _| agent.upstream_event(UpstreamEvent::Down)),
    ("restarted", |agent, engine| {
        engine.restart();
        agent.report_from(engine);
    }),
    ("broken, then restarted", |agent, engine| {
        for sequence in [1, 2] {
            agent.upstream_event(UpstreamEvent::Failed {
                attempt: attempt_id(sequence),
                ran: RunStatus::Ran,
                status: 0,
                broken: true,
            });
        }
        assert!(
            agent.end_frame(1).is_none(),
            "ended before the crash is known"
        );
        engine.restart();
        agent.report_from(engine);
    }),
];

/// A request crashes the upstream. Every attempt in flight ends at once with
/// the fingerprints of all attempts in flight, so that entries can find out
/// which one caused the crash. An attempt that only the driver had is not among
/// them.
#[test]
fn a_crash_reports_all_in_flight() {
    for (name, crash) in CRASH_SIGNALS {
        let (_, mut engine, mut agent) = agent_with_model_a();
        start_attempt(&mut agent, 1);
        start_attempt(&mut agent, 2);
        send_run(&mut agent, model_run(3, 10, "a"));
        crash(&mut agent, &mut engine);
        for sequence in [1, 2] {
            let end = agent.end_frame(sequence).expect(name);
            assert!(end.upstream_crashed, "{name}");
            assert_eq!(end.crash_fingerprints, [1_001, 1_002], "{name}");
            assert_eq!(end.code, ErrorCode::UpstreamLost.number(), "{name}");
            assert_eq!(
                end.upstream_incarnation, 7,
                "{name}: not the incarnation that died"
            );
        }
        assert!(agent.end_frame(3).is_none(), "{name}");
    }
}

/// A connection breaks while the upstream keeps running: no crash is reported.
#[test]
fn a_broken_connection_is_no_crash() {
    let (mut platform, mut engine, mut agent) = agent_with_model_a();
    start_attempt(&mut agent, 1);
    agent.upstream_event(UpstreamEvent::Failed {
        attempt: attempt_id(1),
        ran: RunStatus::Ran,
        status: 0,
        broken: true,
    });
    agent.run_for(1_000, &mut platform, &mut engine);
    let end = agent.end_frame(1).expect("an end");
    assert!(!end.upstream_crashed);
}

/// The deadline passes during the run: the attempt is stopped, its caller is
/// told, and its slot is free.
#[test]
fn a_deadline_ends_a_run() {
    let (mut platform, mut engine, mut agent) = agent_with_model_a();
    start_attempt(&mut agent, 1);
    agent.run_for(10_100, &mut platform, &mut engine);
    assert_eq!(agent.stops, [attempt_id(1)]);
    let end = agent.end_frame(1).expect("an end");
    assert_eq!(end.code, ErrorCode::DeadlineWhileRunning.number());
    assert_eq!(agent.role.status().attempts, 0);
}
