//! Claims against a platform that is away, loses answers, and serves another
//! agent meanwhile.

use base::prelude::*;
use base::{Expect, PlatformCall, PlatformOp, PlatformResult, Version};
use once::{
    Answer, ClaimAction, ClaimRequest, Claims, ClaimsOptions, Outcome, shard_key,
    shard_of,
};
use prost::Message as _;
use schema::store::ClaimShard;
use std::collections::{BTreeMap, VecDeque};

const TIMEOUT_MS: u32 = 2_000;
const BODY: u64 = 11;
const OTHER_BODY: u64 = 12;

/// How the platform treats one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fate {
    Good,
    Away,
    /// The call has its effect, its answer is lost.
    AnswerLost,
    /// The call is lost on its way.
    CallLost,
    /// The answer is lost, and the call has its effect later.
    Late,
    /// A read gives what stood before the first write.
    Old,
}

#[derive(Debug, Default)]
struct Platform {
    objects: BTreeMap<String, (u64, Vec<u8>)>,
    last: u64,
    fates: VecDeque<Fate>,
    late: Vec<PlatformOp>,
    writes: usize,
}

impl Platform {
    fn answer(&mut self, call: &PlatformCall) -> PlatformResult {
        match self.fates.pop_front().unwrap_or(Fate::Good) {
            Fate::Good => self.apply(&call.op),
            Fate::Away => PlatformResult::Away,
            Fate::CallLost => PlatformResult::Unanswered,
            Fate::AnswerLost => {
                self.apply(&call.op);
                PlatformResult::Unanswered
            }
            Fate::Old => PlatformResult::Object(None),
            Fate::Late => {
                self.late.push(call.op.clone());
                PlatformResult::Unanswered
            }
        }
    }

    fn apply(&mut self, op: &PlatformOp) -> PlatformResult {
        match op {
            PlatformOp::Read { key } => {
                let held = self.objects.get(key);
                PlatformResult::Object(
                    held.map(|(v, value)| (Version(*v), value.clone())),
                )
            }
            PlatformOp::Write { key, expect, value } => {
                self.writes += 1;
                let held = self.objects.get(key).map(|(version, _)| Version(*version));
                let fits = match expect {
                    Expect::Any => true,
                    Expect::Absent => held.is_none(),
                    Expect::Version(version) => held == Some(*version),
                };
                if !fits {
                    return PlatformResult::Conflict;
                }
                self.last += 1;
                self.objects.insert(key.clone(), (self.last, value.clone()));
                PlatformResult::Written(Version(self.last))
            }
            other => panic!("claims make no such call: {other:?}"),
        }
    }

    fn deliver_late(&mut self) {
        for op in std::mem::take(&mut self.late) {
            self.apply(&op);
        }
    }

    fn claims(&self) -> usize {
        let shards = self.objects.values();
        let held = shards.map(|(_, value)| ClaimShard::decode(value.as_slice()));
        held.map(|shard| shard.expect("shards are well formed").claims.len())
            .sum()
    }

    fn largest(&self) -> usize {
        let sizes = self.objects.values().map(|(_, value)| value.len());
        sizes.max().unwrap_or(0)
    }
}

struct Agent {
    claims: Claims,
    calls: Vec<PlatformCall>,
    settled: Vec<(u64, Outcome)>,
    released: Vec<u64>,
}

impl Agent {
    fn new(name: &str) -> Self {
        let claims = Claims::new(ClaimsOptions {
            agent: AgentId::new(name),
            incarnation: Incarnation(5),
            first_call: 100,
            unix_ms_at_zero: 1_000_000,
        });
        Self {
            claims,
            calls: Vec::new(),
            settled: Vec::new(),
            released: Vec::new(),
        }
    }

    fn begin(&mut self, ms: u64, attempt: u64, key: &str, body_hash: u64) {
        let request = ClaimRequest {
            attempt: id(attempt),
            caller: CallerId::new("desk"),
            key: key.to_owned(),
            body_hash,
            timeout_ms: TIMEOUT_MS,
        };
        let mut out = Vec::new();
        self.claims.begin(Instant::from_ms(ms), request, &mut out);
        self.take(out);
    }

    fn finish(&mut self, ms: u64, attempt: u64, body: &[u8]) {
        let answer = Answer {
            status: 201,
            content_type: "text/plain".to_owned(),
            body: body.to_vec(),
        };
        let mut out = Vec::new();
        let now = Instant::from_ms(ms);
        self.claims.finish(now, id(attempt), Some(answer), &mut out);
        self.take(out);
    }

    fn release(&mut self, ms: u64, attempt: u64) {
        let mut out = Vec::new();
        self.claims
            .release(Instant::from_ms(ms), id(attempt), &mut out);
        self.take(out);
    }

    fn tick(&mut self, ms: u64) {
        let mut out = Vec::new();
        self.claims.tick(Instant::from_ms(ms), &mut out);
        self.take(out);
    }

    fn take(&mut self, actions: Vec<ClaimAction>) {
        for action in actions {
            match action {
                ClaimAction::Platform(call) => self.calls.push(call),
                ClaimAction::Settled { attempt, outcome } => {
                    self.settled.push((attempt.sequence, outcome));
                }
                ClaimAction::Released { attempt } => {
                    self.released.push(attempt.sequence);
                }
            }
        }
    }

    /// Lets the platform answer one call.
    fn step(&mut self, ms: u64, platform: &mut Platform) -> bool {
        if self.calls.is_empty() {
            return false;
        }
        let call = self.calls.remove(0);
        let result = platform.answer(&call);
        let mut out = Vec::new();
        let now = Instant::from_ms(ms);
        self.claims.answered(now, call.id, result, &mut out);
        self.take(out);
        true
    }

    fn pump(&mut self, ms: u64, platform: &mut Platform) {
        for _ in 0..100 {
            if !self.step(ms, platform) {
                return;
            }
        }
        panic!("the claims never come to rest");
    }

    fn outcome(&self, attempt: u64) -> Option<&Outcome> {
        let mut settled = self.settled.iter();
        settled.find(|(id, _)| *id == attempt).map(|(_, o)| o)
    }

    /// The code with which an attempt was refused, and what was said to be
    /// known about the run.
    fn refused(&self, attempt: u64) -> Option<(Code, Ran)> {
        match self.outcome(attempt)? {
            Outcome::Refused(refusal) => Some((refusal.code, refusal.ran)),
            _ => None,
        }
    }

    fn granted(&self, attempt: u64) -> bool {
        self.outcome(attempt) == Some(&Outcome::Granted)
    }
}

const fn id(sequence: u64) -> AttemptId {
    AttemptId {
        origin: 1,
        sequence,
    }
}

/// A call is run only once its claim stands. The platform's answer to the
/// write is lost in every way there is; what the caller sees is either the run
/// or a refusal as `not_run`, and in the second case the key is free again as
/// soon as the platform can be reached.
#[test]
fn lost_writes_are_settled_or_given_back() {
    use Fate::{AnswerLost, Away, CallLost, Good, Late};
    let cases: &[(&str, &[Fate], bool)] = &[
        ("good", &[], true),
        ("the first read is away", &[Away], false),
        ("the first read gets no answer", &[CallLost], false),
        ("the write is away", &[Good, Away], false),
        ("the write's answer is lost", &[Good, AnswerLost], true),
        ("the write is lost", &[Good, CallLost], true),
        ("the write is late", &[Good, Late], true),
        ("lost twice", &[Good, CallLost, Good, CallLost], true),
        (
            "lost, and away at the first reading back",
            &[Good, AnswerLost, Away],
            true,
        ),
        (
            "lost, and away for long",
            &[Good, AnswerLost, Away, Away, Away, Away, Away, Away, Away],
            false,
        ),
    ];
    for (name, fates, granted) in cases {
        let mut platform = Platform::default();
        platform.fates.extend(*fates);
        let mut agent = Agent::new("one");
        agent.begin(0, 1, "key", BODY);
        for ms in (0..=20_000).step_by(100) {
            agent.tick(ms);
            agent.pump(ms, &mut platform);
            platform.deliver_late();
        }
        assert_eq!(agent.granted(1), *granted, "{name}: {:?}", agent.settled);
        if *granted {
            assert_eq!(platform.claims(), 1, "{name}");
            continue;
        }
        assert_eq!(
            agent.refused(1),
            Some((Code::PlatformAway, Ran::NotRun)),
            "{name}"
        );
        assert_eq!(platform.claims(), 0, "{name}: the key is not free");
        assert!(agent.claims.is_flushed(), "{name}");
        agent.begin(20_000, 2, "key", BODY);
        agent.pump(20_000, &mut platform);
        assert!(agent.granted(2), "{name}: a resend is not run");
    }
}

/// The write is given up, and only then does it take effect. The refusal said
/// `not_run`, so the claim has to go again: the release is not over while the
/// write may still come.
#[test]
fn a_write_that_comes_after_its_refusal_is_released() {
    let mut platform = Platform::default();
    platform.fates.extend([Fate::Good, Fate::Late]);
    platform.fates.extend([Fate::Away; 8]);
    let mut agent = Agent::new("one");
    agent.begin(0, 1, "key", BODY);
    for ms in (0..=20_000).step_by(100) {
        agent.tick(ms);
        agent.pump(ms, &mut platform);
    }
    assert_eq!(agent.refused(1), Some((Code::PlatformAway, Ran::NotRun)));
    assert!(agent.claims.is_flushed());
    platform.deliver_late();
    assert_eq!(
        platform.claims(),
        0,
        "the late write made a claim of nobody"
    );
}

/// Two resends reach two agents at once. Both read the shard as empty and both
/// write; the platform takes one write, and the other agent's caller is told
/// that the call is in progress, later that its outcome is not known, or gets
/// the answer.
#[test]
fn of_two_agents_one_runs_the_call() {
    let mut platform = Platform::default();
    let mut one = Agent::new("one");
    let mut two = Agent::new("two");
    one.begin(0, 1, "key", BODY);
    two.begin(0, 2, "key", BODY);
    one.step(0, &mut platform);
    two.step(0, &mut platform);
    one.pump(0, &mut platform);
    two.pump(0, &mut platform);
    assert!(one.granted(1));
    assert_eq!(two.refused(2), Some((Code::KeyInProgress, Ran::Unknown)));

    let cases = [
        (3, 100, BODY, (Code::KeyInProgress, Ran::Unknown)),
        (4, 11_000, BODY, (Code::KeyInProgress, Ran::Unknown)),
        (5, 12_001, BODY, (Code::OutcomeUnknown, Ran::Unknown)),
        (6, 12_001, OTHER_BODY, (Code::KeyReused, Ran::NotRun)),
    ];
    for (attempt, ms, body, expected) in cases {
        two.begin(ms, attempt, "key", body);
        two.pump(ms, &mut platform);
        assert_eq!(two.refused(attempt), Some(expected), "attempt {attempt}");
    }

    one.finish(13_000, 1, b"two cylinders");
    one.pump(13_000, &mut platform);
    two.begin(13_001, 7, "key", BODY);
    two.pump(13_001, &mut platform);
    let Some(Outcome::Replay(answer)) = two.outcome(7) else {
        panic!("no stored answer: {:?}", two.outcome(7));
    };
    assert_eq!(
        (answer.status, answer.body.as_slice()),
        (201, &b"two cylinders"[..])
    );
    two.begin(13_002, 8, "key", OTHER_BODY);
    two.pump(13_002, &mut platform);
    assert_eq!(two.refused(8), Some((Code::KeyReused, Ran::NotRun)));
}

/// The same key comes twice to one agent before the first claim is written.
/// The second must not be run, whatever becomes of the first: it is judged
/// after the write, and gets the key if the first gave it back.
#[test]
fn of_two_at_one_agent_one_runs_the_call() {
    let mut platform = Platform::default();
    let mut agent = Agent::new("one");
    agent.begin(0, 1, "key", BODY);
    agent.begin(0, 2, "key", BODY);
    agent.pump(0, &mut platform);
    assert!(agent.granted(1));
    assert_eq!(agent.refused(2), Some((Code::KeyInProgress, Ran::Unknown)));

    agent.begin(1, 3, "key", BODY);
    agent.release(1, 1);
    agent.pump(1, &mut platform);
    assert_eq!(agent.released, [1]);
    assert!(agent.granted(3), "{:?}", agent.outcome(3));
    assert_eq!(platform.claims(), 1);
}

/// An agent dies with a claim written: between claim and run, or between run
/// and answer. Its successor can't tell which, so the call is not run again;
/// the caller is told that it is in progress and then that nobody knows.
#[test]
fn a_claim_of_a_dead_agent_is_not_run_again() {
    let mut platform = Platform::default();
    let mut dead = Agent::new("one");
    dead.begin(0, 1, "key", BODY);
    dead.pump(0, &mut platform);
    assert!(dead.granted(1));
    drop(dead);
    let mut successor = Agent::new("successor");
    successor.begin(1_000, 2, "key", BODY);
    successor.pump(1_000, &mut platform);
    assert_eq!(
        successor.refused(2),
        Some((Code::KeyInProgress, Ran::Unknown))
    );
    successor.begin(60_000, 3, "key", BODY);
    successor.pump(60_000, &mut platform);
    assert_eq!(
        successor.refused(3),
        Some((Code::OutcomeUnknown, Ran::Unknown))
    );
}

/// A call is refused after its claim was taken. The refusal says `not_run`, so
/// the caller sends the call again at once and must not meet its own claim. If
/// the platform is away the refusal waits for a second and no longer.
#[test]
fn a_refused_call_frees_its_key_first() {
    let mut platform = Platform::default();
    let mut agent = Agent::new("one");
    agent.begin(0, 1, "key", BODY);
    agent.pump(0, &mut platform);
    agent.release(10, 1);
    assert!(agent.released.is_empty(), "told before it was written");
    agent.pump(10, &mut platform);
    assert_eq!(agent.released, [1]);
    assert_eq!(platform.claims(), 0);

    agent.begin(20, 2, "key", BODY);
    agent.pump(20, &mut platform);
    platform.fates.extend([Fate::Away; 3]);
    agent.release(30, 2);
    for ms in (30..1_030).step_by(100) {
        agent.tick(ms);
        agent.pump(ms, &mut platform);
    }
    agent.tick(1_030);
    assert_eq!(agent.released, [1, 2]);
    for ms in (1_030..20_000).step_by(100) {
        agent.tick(ms);
        agent.pump(ms, &mut platform);
    }
    assert_eq!(platform.claims(), 0, "released later");
}

/// Many calls come while a write is under way. They share the next write, so
/// the platform is asked as often as it answers and not as often as callers
/// call.
#[test]
fn claims_share_a_write() {
    let mut platform = Platform::default();
    let mut agent = Agent::new("one");
    let shard = shard_of("desk", "key-0");
    let keys: Vec<String> = (0..)
        .map(|n| format!("key-{n}"))
        .filter(|key| shard_of("desk", key) == shard)
        .take(50)
        .collect();
    for (attempt, key) in (1..).zip(&keys) {
        agent.begin(0, attempt, key, BODY);
    }
    assert_eq!(agent.calls.len(), 1, "one call in flight for a shard");
    agent.pump(0, &mut platform);
    assert_eq!(agent.settled.len(), 50);
    assert!((1..=50).all(|attempt| agent.granted(attempt)));
    assert_eq!(platform.writes, 1);
    for attempt in 1..=50 {
        agent.finish(1, attempt, b"done");
    }
    agent.pump(1, &mut platform);
    assert_eq!(platform.writes, 3, "one under way, and one for all others");
    assert!(agent.claims.is_flushed());
}

/// A shard is an object of less than a megabyte. New keys are refused before it
/// is full, as `not_run`, and claims past their retention make room.
#[test]
fn a_full_shard_refuses_and_old_claims_make_room() {
    let mut platform = Platform::default();
    let mut agent = Agent::new("one");
    agent.claims.configure(3_600_000, 64 << 10);
    let keys: Vec<String> = (0..)
        .map(|n| format!("key-{n}"))
        .filter(|key| shard_of("desk", key) == 7)
        .take(100)
        .collect();
    let body = vec![b'x'; 60 << 10];
    for (attempt, key) in (1..).zip(&keys) {
        agent.begin(0, attempt, key, BODY);
        agent.pump(0, &mut platform);
        if agent.granted(attempt) {
            agent.finish(0, attempt, &body);
            agent.pump(0, &mut platform);
        }
    }
    let granted = (1..=100).filter(|attempt| agent.granted(*attempt)).count();
    assert!((10..20).contains(&granted), "{granted} claims fit");
    assert_eq!(agent.refused(100), Some((Code::Overloaded, Ran::NotRun)));
    assert!(platform.largest() < 900_000, "{} bytes", platform.largest());

    let later = 3_600_001;
    agent.begin(later, 101, &keys[0], OTHER_BODY);
    agent.pump(later, &mut platform);
    assert!(agent.granted(101), "{:?}", agent.outcome(101));
    assert_eq!(platform.claims(), 1, "the old claims are forgotten");
}

/// An answer too large to be kept is lost for a resend. The resend is told that
/// the call ran, and is not run.
#[test]
fn an_answer_too_large_is_known_to_have_run() {
    let mut platform = Platform::default();
    let mut agent = Agent::new("one");
    agent.claims.configure(3_600_000, 4);
    agent.begin(0, 1, "key", BODY);
    agent.pump(0, &mut platform);
    agent.finish(1, 1, b"too large");
    agent.pump(1, &mut platform);
    agent.begin(2, 2, "key", BODY);
    agent.pump(2, &mut platform);
    assert_eq!(agent.refused(2), Some((Code::OutcomeUnknown, Ran::Ran)));
}

/// A shard that can't be decoded holds claims that must not be written over:
/// calls are refused as `not_run` and the object stays as it is.
#[test]
fn a_shard_that_cant_be_read_is_left_alone() {
    let mut platform = Platform::default();
    let key = shard_key(shard_of("desk", "key"));
    platform.objects.insert(key.clone(), (1, vec![0xff; 5]));
    let mut agent = Agent::new("one");
    agent.begin(0, 1, "key", BODY);
    agent.pump(0, &mut platform);
    assert_eq!(agent.refused(1), Some((Code::PlatformAway, Ran::NotRun)));
    assert_eq!(platform.objects[&key].1, vec![0xff; 5]);
}

/// The answer of the write that stores an answer is lost, and the platform then
/// gives an old read of the shard, in which the claim is missing. The agent does
/// not believe it: a resend gets the stored answer, not that the outcome is
/// unknown.
#[test]
fn an_old_read_does_not_drop_an_answer() {
    let mut platform = Platform::default();
    let mut agent = Agent::new("p1");
    agent.begin(0, 1, "k", BODY);
    agent.pump(0, &mut platform);
    assert!(agent.granted(1));
    platform.fates = VecDeque::from([Fate::CallLost, Fate::Old]);
    agent.finish(100, 1, b"done");
    agent.pump(100, &mut platform);
    for ms in (200..20_000).step_by(100) {
        agent.tick(ms);
        agent.pump(ms, &mut platform);
    }
    let mut other = Agent::new("p2");
    other.begin(20_000, 2, "k", BODY);
    other.pump(20_000, &mut platform);
    let replayed = matches!(other.outcome(2), Some(Outcome::Replay(_)));
    assert!(replayed, "{:?}", other.outcome(2));
}
