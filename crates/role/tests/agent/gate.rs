//! The gate: what it refuses was not run.

use crate::stand::*;
use base::prelude::*;
use role::agent::{AgentEvent, UpstreamEvent, UpstreamReport};
use schema::link::{Cancel, Revoke, Run, frame};

pub fn node() -> (Platform, Engine, Node) {
    let mut platform = Platform::new();
    let mut engine = Engine::new();
    let now = Instant::from_ms(1_000);
    let mut node = Node::engine(10, "127.0.0.1:1", now, &mut platform, &engine);
    node.target("p", 1, &[("a", 1)]);
    node.work(300, &mut platform, &mut engine);
    (platform, engine, node)
}

pub fn run(node: &mut Node, run: Run) {
    node.frame(frame::Body::Run(run));
}

pub fn revoke(node: &mut Node, sequence: u64, agent_incarnation: u64) {
    node.frame(frame::Body::Revoke(Revoke {
        attempt: attempt(sequence),
        agent_incarnation,
    }));
}

pub fn go(node: &mut Node, sequence: u64) {
    run(node, model_run(sequence, 10, "a"));
    assert!(node.started(sequence), "attempt {sequence} is refused");
    let attempt = id(sequence);
    node.upstream(UpstreamEvent::Started { attempt });
}

/// One way of being refused: how it comes about, the frame, and the code.
type Case = (&'static str, fn(&mut Node), fn(&mut Run), Code);

/// Each refusal says `not_run`. The caller relies on it and sends the request
/// again, so no path to a refusal may hand the attempt to the upstream, not
/// even later.
#[test]
fn a_refused_attempt_is_not_handed_over() {
    let cases: &[Case] = &[
        (
            "leaving",
            |n| n.handle(AgentEvent::Drain),
            |_| {},
            Code::Leaving,
        ),
        (
            "wrong incarnation",
            |_| {},
            |r| r.agent_incarnation = 9,
            Code::WrongIncarnation,
        ),
        (
            "model not held",
            |_| {},
            |r| r.model = "b".into(),
            Code::NotHeld,
        ),
        ("version not held", |_| {}, |r| r.version = 2, Code::NotHeld),
        (
            "no such service",
            |_| {},
            |r| r.service = "parts".into(),
            Code::UnknownService,
        ),
        (
            "upstream down",
            |n| n.upstream(UpstreamEvent::Down),
            |_| {},
            Code::NotReady,
        ),
        (
            "no time left",
            |_| {},
            |r| r.remaining_ms = 0,
            Code::DeadlineBeforeRun,
        ),
        (
            "too long a wait",
            crowd,
            |r| r.remaining_ms = 900,
            Code::DeadlineBeforeRun,
        ),
        ("full", fill, |_| {}, Code::GateFull),
        (
            "alone, beside one that takes long",
            |n| run_long(n, 12_000),
            |r| (r.alone, r.remaining_ms) = (true, 60_000),
            Code::GateFull,
        ),
        (
            "alone, with less time than what runs takes",
            |n| run_long(n, 1_000),
            |r| (r.alone, r.remaining_ms) = (true, 900),
            Code::GateFull,
        ),
        (
            "alone, with another held",
            |n| {
                go(n, 1);
                let mut held = model_run(2, 10, "a");
                held.alone = true;
                run(n, held);
            },
            |r| r.alone = true,
            Code::GateFull,
        ),
        ("beside one alone", run_alone, |_| {}, Code::GateFull),
        ("revoked", |n| revoke(n, 99, 10), |_| {}, Code::Revoked),
        ("woken from a freeze", freeze, |_| {}, Code::NotReady),
    ];
    for (name, arrange, alter, code) in cases {
        let (mut platform, mut engine, mut node) = node();
        arrange(&mut node);
        let mut message = model_run(99, 10, "a");
        alter(&mut message);
        run(&mut node, message);
        assert_eq!(node.refusal(99), Some(*code), "{name}");
        node.work(3_000, &mut platform, &mut engine);
        assert!(!node.started(99), "{name}: run though refused");
    }
}

/// The upstream has a queue that takes a second to work off.
fn crowd(node: &mut Node) {
    go(node, 1);
    node.pass(1_000);
    node.serve(1);
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
    node.upstream(UpstreamEvent::Report(report));
}

fn fill(node: &mut Node) {
    for attempt in 1..=4 {
        go(node, attempt);
    }
}

/// Requests take this long, and one has just begun.
fn run_long(node: &mut Node, service_ms: u64) {
    let mut first = model_run(1, 10, "a");
    first.remaining_ms = 60_000;
    run(node, first);
    node.pass(service_ms);
    node.serve(1);
    go(node, 2);
}

fn run_alone(node: &mut Node) {
    let mut message = model_run(1, 10, "a");
    message.alone = true;
    run(node, message);
    assert!(node.started(1));
}

fn freeze(node: &mut Node) {
    node.now = node.now.plus_ms(60_000);
}

/// An agent without a configuration takes no work.
#[test]
fn without_a_configuration_nothing_is_taken() {
    let mut platform = Platform::new();
    platform.away = true;
    let mut node = Node::start(10, "engines", "127.0.0.1:1", Instant::from_ms(1));
    node.link_up(ENTRY);
    node.pump(&mut platform);
    node.report(&Engine::new());
    run(&mut node, model_run(1, 10, "a"));
    assert_eq!(node.refusal(1), Some(Code::NotReady));
    assert!(!node.ready && node.starts.is_empty());
}

/// What was before, the incarnation asked for, and what is known.
type RevokedCase = (&'static str, fn(&mut Node), u64, Ran);

/// An entry misses an answer and asks. `not_run` is only said of an attempt
/// that never was and never will be handed over; all that the agent can't know
/// is `unknown`.
#[test]
fn revoked_attempts() {
    let cases: &[RevokedCase] = &[
        ("never seen", |_| {}, 10, Ran::NotRun),
        ("of another incarnation", |_| {}, 9, Ran::Unknown),
        ("running", |n| go(n, 99), 10, Ran::Ran),
        (
            "given to the driver",
            |n| run(n, model_run(99, 10, "a")),
            10,
            Ran::Unknown,
        ),
        ("done", done, 10, Ran::Ran),
        ("cancelled", cancelled, 10, Ran::Ran),
        ("refused", refused, 10, Ran::NotRun),
        ("failed without being run", not_run, 10, Ran::NotRun),
    ];
    for (name, arrange, incarnation, ran) in cases {
        let (_, _, mut node) = node();
        arrange(&mut node);
        revoke(&mut node, 99, *incarnation);
        assert_eq!(node.revoked(99), Some(*ran), "{name}");
    }
}

fn done(node: &mut Node) {
    go(node, 99);
    node.serve(99);
}

fn cancelled(node: &mut Node) {
    go(node, 99);
    let attempt = attempt(99);
    node.frame(frame::Body::Cancel(Cancel { attempt }));
    assert_eq!(node.stops, [id(99)]);
}

fn refused(node: &mut Node) {
    run(node, model_run(99, 10, "b"));
}

fn not_run(node: &mut Node) {
    run(node, model_run(99, 10, "a"));
    node.upstream(UpstreamEvent::Failed {
        attempt: id(99),
        ran: Ran::NotRun,
        status: 503,
        broken: false,
    });
    assert_eq!(node.refusal(99), Some(Code::UpstreamFault));
}

/// The link breaks. What may be repeated is stopped and frees its place; what
/// may not is left to finish.
#[test]
fn a_lost_link_stops_what_may_be_repeated() {
    let (_, _, mut node) = node();
    go(&mut node, 1);
    let mut once = model_run(2, 10, "a");
    once.idempotent = false;
    run(&mut node, once);
    node.link_down(ENTRY);
    assert_eq!(node.stops, [id(1)]);
    assert_eq!(node.role.status().attempts, 1);
}

/// Parts carry offsets that begin where the caller's answer broke off, and the
/// end carries the length of the whole answer, so that an entry sees every gap.
#[test]
fn offsets_go_on_from_the_resumed_answer() {
    let (_, _, mut node) = node();
    let mut message = model_run(1, 10, "a");
    message.resume_offset = 40;
    run(&mut node, message);
    let attempt = id(1);
    node.upstream(UpstreamEvent::Started { attempt });
    for units in [3, 2] {
        node.upstream(UpstreamEvent::AnswerPart { attempt, units });
    }
    node.upstream(UpstreamEvent::Done {
        attempt,
        status: 200,
        content_type: String::new(),
    });
    assert_eq!(node.forwards, [(attempt, 40, 3), (attempt, 43, 2)]);
    let end = node.end(1).expect("an end");
    assert_eq!((end.code, end.total_units), (0, 45));
    assert_eq!(end.upstream_incarnation, 7);
    node.upstream(UpstreamEvent::AnswerPart { attempt, units: 1 });
    assert_eq!(node.forwards.len(), 2, "a part behind the end is dropped");
}

/// How the agent learns that its upstream has died.
type Death = (&'static str, fn(&mut Node, &mut Engine));

const DEATHS: [Death; 3] = [
    ("down", |node, _| node.upstream(UpstreamEvent::Down)),
    ("restarted", |node, engine| {
        engine.restart();
        node.report(engine);
    }),
    ("broken, then restarted", |node, engine| {
        for sequence in [1, 2] {
            node.upstream(UpstreamEvent::Failed {
                attempt: id(sequence),
                ran: Ran::Ran,
                status: 0,
                broken: true,
            });
        }
        assert!(node.end(1).is_none(), "ended before the crash is known");
        engine.restart();
        node.report(engine);
    }),
];

/// A request kills the upstream. Every attempt in flight ends at once with all
/// fingerprints in flight, so that entries can find out which it was; the one
/// that was only with the driver is not among them.
#[test]
fn a_crash_reports_all_in_flight() {
    for (name, die) in DEATHS {
        let (_, mut engine, mut node) = node();
        go(&mut node, 1);
        go(&mut node, 2);
        run(&mut node, model_run(3, 10, "a"));
        die(&mut node, &mut engine);
        for sequence in [1, 2] {
            let end = node.end(sequence).expect(name);
            assert!(end.upstream_crashed, "{name}");
            assert_eq!(end.crash_fingerprints, [1_001, 1_002], "{name}");
            assert_eq!(end.code, Code::UpstreamLost.number(), "{name}");
            assert_eq!(end.upstream_incarnation, 7, "{name}: not the run that died");
        }
        assert!(node.end(3).is_none(), "{name}");
    }
}

/// A connection breaks and the upstream lives on: no crash is reported.
#[test]
fn a_broken_connection_is_no_crash() {
    let (mut platform, mut engine, mut node) = node();
    go(&mut node, 1);
    node.upstream(UpstreamEvent::Failed {
        attempt: id(1),
        ran: Ran::Ran,
        status: 0,
        broken: true,
    });
    node.work(1_000, &mut platform, &mut engine);
    let end = node.end(1).expect("an end");
    assert!(!end.upstream_crashed);
}

/// The deadline passes during the run: the attempt is stopped and its caller
/// told, and the place is free.
#[test]
fn a_deadline_ends_a_run() {
    let (mut platform, mut engine, mut node) = node();
    go(&mut node, 1);
    node.work(10_100, &mut platform, &mut engine);
    assert_eq!(node.stops, [id(1)]);
    let end = node.end(1).expect("an end");
    assert_eq!(end.code, Code::DeadlineWhileRunning.number());
    assert_eq!(node.role.status().attempts, 0);
}
