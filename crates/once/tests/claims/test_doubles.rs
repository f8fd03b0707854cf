//! Test doubles: a platform with faults, and an agent that makes claims.

use base::prelude::*;
use base::{ObjectVersion, PlatformCall, PlatformOp, PlatformResult, Precondition};
use once::{
    ClaimAction, ClaimOutcome, ClaimRequest, Claims, ClaimsOptions, END_WAIT_MAX_MS,
    ReportedRun, StoredResponse,
};
use prost::Message as _;
use schema::store::ClaimShard;
use std::collections::{BTreeMap, VecDeque};

const TIMEOUT_MS: u32 = 2_000;
pub const BODY: u64 = 11;
pub const OTHER_BODY: u64 = 12;

/// How the platform handles one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlatformBehavior {
    Normal,
    Unavailable,
    /// The call takes effect, but its response is lost.
    AnswerLost,
    /// The call is lost and has no effect.
    CallLost,
    /// The response is lost, and the call takes effect later.
    Late,
    /// A read returns the state before the first write.
    Stale,
}

#[derive(Debug, Default)]
pub struct Platform {
    pub objects: BTreeMap<String, (u64, Vec<u8>)>,
    last_version: u64,
    pub behaviors: VecDeque<PlatformBehavior>,
    late_ops: Vec<PlatformOp>,
    pub writes: usize,
}

impl Platform {
    pub fn answer(&mut self, call: &PlatformCall) -> PlatformResult {
        match self
            .behaviors
            .pop_front()
            .unwrap_or(PlatformBehavior::Normal)
        {
            PlatformBehavior::Normal => self.apply(&call.op),
            PlatformBehavior::Unavailable => PlatformResult::Unavailable,
            PlatformBehavior::CallLost => PlatformResult::Unanswered,
            PlatformBehavior::AnswerLost => {
                self.apply(&call.op);
                PlatformResult::Unanswered
            }
            PlatformBehavior::Stale => PlatformResult::Object(None),
            PlatformBehavior::Late => {
                self.late_ops.push(call.op.clone());
                PlatformResult::Unanswered
            }
        }
    }

    fn apply(&mut self, op: &PlatformOp) -> PlatformResult {
        match op {
            PlatformOp::Read { key } => {
                let object = self.objects.get(key);
                PlatformResult::Object(
                    object.map(|(v, value)| (ObjectVersion(*v), value.clone())),
                )
            }
            PlatformOp::Write {
                key,
                precondition,
                value,
            } => {
                self.writes += 1;
                let current = self
                    .objects
                    .get(key)
                    .map(|(version, _)| ObjectVersion(*version));
                let version_matches = match precondition {
                    Precondition::Any => true,
                    Precondition::Absent => current.is_none(),
                    Precondition::Version(version) => current == Some(*version),
                };
                if !version_matches {
                    return PlatformResult::Conflict;
                }
                self.last_version += 1;
                self.objects
                    .insert(key.clone(), (self.last_version, value.clone()));
                PlatformResult::Written(ObjectVersion(self.last_version))
            }
            other => panic!("unexpected platform call: {other:?}"),
        }
    }

    /// Replaces all objects by an older copy of them. The next version is in a new
    /// generation.
    pub fn restore(&mut self, copy: BTreeMap<String, (u64, Vec<u8>)>) {
        let generation = ObjectVersion(self.last_version).generation() + 1;
        let restored = copy.into_iter().map(|(key, (version, value))| {
            let revision = ObjectVersion(version).revision();
            (key, (ObjectVersion::new(generation, revision).0, value))
        });
        self.objects = restored.collect();
        let versions = self.objects.values().map(|(version, _)| *version);
        let generation_start = ObjectVersion::new(generation, 0).0;
        self.last_version = versions.max().unwrap_or(generation_start);
    }

    /// The generation that all its answers name.
    pub fn generation(&self) -> u64 {
        ObjectVersion(self.last_version).generation()
    }

    pub fn deliver_late(&mut self) {
        for op in std::mem::take(&mut self.late_ops) {
            self.apply(&op);
        }
    }

    pub fn claim_count(&self) -> usize {
        let shards = self.objects.values();
        let decoded = shards.map(|(_, value)| ClaimShard::decode(value.as_slice()));
        decoded
            .map(|shard| shard.expect("the test writes valid shards").claims.len())
            .sum()
    }

    pub fn largest_object_bytes(&self) -> usize {
        let sizes = self.objects.values().map(|(_, value)| value.len());
        sizes.max().unwrap_or(0)
    }
}

pub struct Agent {
    pub claims: Claims,
    pub calls: Vec<PlatformCall>,
    pub settled: Vec<(u64, ClaimOutcome)>,
    pub finished: Vec<u64>,
    pub released: Vec<u64>,
}

impl Agent {
    pub fn new(name: &str) -> Self {
        Self::with_clock(name, 1_000_000)
    }

    /// An agent whose wall clock shows this time at the origin of `Instant`.
    pub fn with_clock(name: &str, unix_ms_at_zero: u64) -> Self {
        let claims = Claims::new(ClaimsOptions {
            agent: AgentId::new(name),
            incarnation: Incarnation(5),
            first_call_id: 100,
            unix_ms_at_zero,
        });
        Self {
            claims,
            calls: Vec::new(),
            settled: Vec::new(),
            finished: Vec::new(),
            released: Vec::new(),
        }
    }

    pub fn request_claim(&mut self, ms: u64, attempt: u64, key: &str, body_hash: u64) {
        let request = ClaimRequest {
            attempt: id(attempt),
            caller: CallerId::new("desk"),
            key: key.to_owned(),
            body_hash,
            timeout_ms: TIMEOUT_MS,
        };
        let mut out = Vec::new();
        self.claims
            .request_claim(Instant::from_ms(ms), request, &mut out);
        self.collect(out);
    }

    pub fn finish(&mut self, ms: u64, attempt: u64, body: &[u8]) {
        let response = StoredResponse {
            status: 201,
            content_type: "text/plain".to_owned(),
            body: body.to_vec(),
        };
        let mut out = Vec::new();
        let now = Instant::from_ms(ms);
        let wait_until = now.plus_ms(END_WAIT_MAX_MS);
        self.claims
            .finish(now, id(attempt), Some(response), wait_until, &mut out);
        self.collect(out);
    }

    pub fn release(&mut self, ms: u64, attempt: u64) {
        let mut out = Vec::new();
        self.claims
            .release(Instant::from_ms(ms), id(attempt), &mut out);
        self.collect(out);
    }

    pub fn tick(&mut self, ms: u64) {
        let mut out = Vec::new();
        self.claims.tick(Instant::from_ms(ms), &mut out);
        self.collect(out);
    }

    fn collect(&mut self, actions: Vec<ClaimAction>) {
        for action in actions {
            match action {
                ClaimAction::CallPlatform(call) => self.calls.push(call),
                ClaimAction::Settled { attempt, outcome } => {
                    self.settled.push((attempt.sequence, outcome));
                }
                ClaimAction::Finished { attempt } => {
                    self.finished.push(attempt.sequence);
                }
                ClaimAction::Released { attempt } => {
                    self.released.push(attempt.sequence);
                }
            }
        }
    }

    /// Lets the platform respond to the oldest call. Returns false if there is
    /// none.
    pub fn answer_one(&mut self, ms: u64, platform: &mut Platform) -> bool {
        if self.calls.is_empty() {
            return false;
        }
        let call = self.calls.remove(0);
        let result = platform.answer(&call);
        self.deliver(ms, call.id, result, platform);
        true
    }

    /// Delivers the result of a call that the platform handled before.
    pub fn deliver(
        &mut self,
        ms: u64,
        call: u64,
        result: PlatformResult,
        platform: &Platform,
    ) {
        let mut out = Vec::new();
        let now = Instant::from_ms(ms);
        let generation = platform.generation();
        self.claims.observe_generation(now, generation, &mut out);
        self.claims.platform_answered(now, call, result, &mut out);
        self.collect(out);
    }

    /// Hears the platform's generation with an answer to another call.
    pub fn hear_generation(&mut self, ms: u64, platform: &Platform) {
        let mut out = Vec::new();
        let now = Instant::from_ms(ms);
        let generation = platform.generation();
        self.claims.observe_generation(now, generation, &mut out);
        self.collect(out);
    }

    /// Handles an entry's report that it passed a request to an agent.
    pub fn report(&mut self, ms: u64, run: ReportedRun) {
        let mut out = Vec::new();
        let now = Instant::from_ms(ms);
        self.claims.add_reported_runs(now, [run], &mut out);
        self.collect(out);
    }

    pub fn answer_all(&mut self, ms: u64, platform: &mut Platform) {
        for _ in 0..100 {
            if !self.answer_one(ms, platform) {
                return;
            }
        }
        panic!("more than 100 platform calls in a row");
    }

    pub fn outcome(&self, attempt: u64) -> Option<&ClaimOutcome> {
        let mut settled = self.settled.iter();
        settled.find(|(id, _)| *id == attempt).map(|(_, o)| o)
    }

    /// The code with which an attempt was refused, and what the refusal says
    /// about the run.
    pub fn refused(&self, attempt: u64) -> Option<(ErrorCode, RunStatus)> {
        match self.outcome(attempt)? {
            ClaimOutcome::Refused(refusal) => Some((refusal.code, refusal.ran)),
            _ => None,
        }
    }

    pub fn granted(&self, attempt: u64) -> bool {
        self.outcome(attempt) == Some(&ClaimOutcome::Granted)
    }
}

const fn id(sequence: u64) -> AttemptId {
    AttemptId {
        origin: 1,
        sequence,
    }
}
