//! Stand-ins: a platform that errs, and an agent with claims.

use base::prelude::*;
use base::{ObjectVersion, PlatformCall, PlatformOp, PlatformResult, Precondition};
use once::{Answer, ClaimAction, ClaimRequest, Claims, ClaimsOptions, Outcome};
use prost::Message as _;
use schema::store::ClaimShard;
use std::collections::{BTreeMap, VecDeque};

const TIMEOUT_MS: u32 = 2_000;
pub const BODY: u64 = 11;
pub const OTHER_BODY: u64 = 12;

/// How the platform treats one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
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
pub struct Platform {
    pub objects: BTreeMap<String, (u64, Vec<u8>)>,
    last: u64,
    pub fates: VecDeque<Fate>,
    late: Vec<PlatformOp>,
    pub writes: usize,
}

impl Platform {
    pub fn answer(&mut self, call: &PlatformCall) -> PlatformResult {
        match self.fates.pop_front().unwrap_or(Fate::Good) {
            Fate::Good => self.apply(&call.op),
            Fate::Away => PlatformResult::Unavailable,
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
                    held.map(|(v, value)| (ObjectVersion(*v), value.clone())),
                )
            }
            PlatformOp::Write {
                key,
                precondition,
                value,
            } => {
                self.writes += 1;
                let held = self
                    .objects
                    .get(key)
                    .map(|(version, _)| ObjectVersion(*version));
                let fits = match precondition {
                    Precondition::Any => true,
                    Precondition::Absent => held.is_none(),
                    Precondition::Version(version) => held == Some(*version),
                };
                if !fits {
                    return PlatformResult::Conflict;
                }
                self.last += 1;
                self.objects.insert(key.clone(), (self.last, value.clone()));
                PlatformResult::Written(ObjectVersion(self.last))
            }
            other => panic!("claims make no such call: {other:?}"),
        }
    }

    pub fn deliver_late(&mut self) {
        for op in std::mem::take(&mut self.late) {
            self.apply(&op);
        }
    }

    pub fn claims(&self) -> usize {
        let shards = self.objects.values();
        let held = shards.map(|(_, value)| ClaimShard::decode(value.as_slice()));
        held.map(|shard| shard.expect("shards are well formed").claims.len())
            .sum()
    }

    pub fn largest(&self) -> usize {
        let sizes = self.objects.values().map(|(_, value)| value.len());
        sizes.max().unwrap_or(0)
    }
}

pub struct Agent {
    pub claims: Claims,
    pub calls: Vec<PlatformCall>,
    pub settled: Vec<(u64, Outcome)>,
    pub released: Vec<u64>,
}

impl Agent {
    pub fn new(name: &str) -> Self {
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

    pub fn begin(&mut self, ms: u64, attempt: u64, key: &str, body_hash: u64) {
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

    pub fn finish(&mut self, ms: u64, attempt: u64, body: &[u8]) {
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

    pub fn release(&mut self, ms: u64, attempt: u64) {
        let mut out = Vec::new();
        self.claims
            .release(Instant::from_ms(ms), id(attempt), &mut out);
        self.take(out);
    }

    pub fn tick(&mut self, ms: u64) {
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
    pub fn step(&mut self, ms: u64, platform: &mut Platform) -> bool {
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

    pub fn pump(&mut self, ms: u64, platform: &mut Platform) {
        for _ in 0..100 {
            if !self.step(ms, platform) {
                return;
            }
        }
        panic!("the claims never come to rest");
    }

    pub fn outcome(&self, attempt: u64) -> Option<&Outcome> {
        let mut settled = self.settled.iter();
        settled.find(|(id, _)| *id == attempt).map(|(_, o)| o)
    }

    /// The code with which an attempt was refused, and what was said to be
    /// known about the run.
    pub fn refused(&self, attempt: u64) -> Option<(ErrorCode, RunStatus)> {
        match self.outcome(attempt)? {
            Outcome::Refused(refusal) => Some((refusal.code, refusal.ran)),
            _ => None,
        }
    }

    pub fn granted(&self, attempt: u64) -> bool {
        self.outcome(attempt) == Some(&Outcome::Granted)
    }
}

const fn id(sequence: u64) -> AttemptId {
    AttemptId {
        origin: 1,
        sequence,
    }
}
