//! Writes of a shard of claims against the claims that stand in it.

use super::clock::{median_ns, samples};
use crate::fit::{Growth, Series};
use base::prelude::*;
use base::{ObjectVersion, PlatformOp, PlatformResult};
use once::{
    ClaimAction, ClaimRequest, Claims, ClaimsOptions, SHARDS, StoredResponse, shard_of,
};
use std::hint::black_box;

/// Claims in one shard; the object's bound leaves room for few more.
const CLAIMS: [usize; 5] = [16, 64, 256, 1_024, 2_048];

/// Bytes of a stored answer.
const ANSWER_BYTES: usize = 256;

#[derive(Debug)]
struct Rig {
    claims: Claims,
    keys: std::vec::IntoIter<String>,
    sequence: u64,
    version: u64,
    written: usize,
    writes: u64,
}

impl Rig {
    fn new(count: usize) -> Self {
        let mut claims = Claims::new(ClaimsOptions {
            agent: AgentId::new("deskapp-00001"),
            incarnation: Incarnation(1),
            first_call_id: 1,
            unix_ms_at_zero: 1_764_700_000_000,
        });
        claims.configure(24 * 3_600_000, 1_024);
        let names = (0..(count + 64) * SHARDS * 4).map(|nth| format!("order-{nth:08}"));
        let keys: Vec<String> = names
            .filter(|key| shard_of("press-desk", key) == 0)
            .take(count + 64)
            .collect();
        let mut rig = Self {
            claims,
            keys: keys.into_iter(),
            sequence: 0,
            version: 0,
            written: 0,
            writes: 0,
        };
        (0..count).for_each(|_| rig.call());
        rig
    }

    /// One call: its claim, its run and its stored answer.
    fn call(&mut self) {
        self.sequence += 1;
        let attempt = AttemptId {
            origin: 1,
            sequence: self.sequence,
        };
        let request = ClaimRequest {
            attempt,
            caller: CallerId::new("press-desk"),
            key: self.keys.next().expect("as many keys as calls"),
            body_hash: self.sequence,
            timeout_ms: 2_000,
        };
        let now = Instant::from_ms(1_000);
        let mut out = Vec::new();
        self.claims.request_claim(now, request, &mut out);
        self.serve(now, out);
        let answer = StoredResponse {
            status: 200,
            content_type: "application/json".to_owned(),
            body: vec![b'x'; ANSWER_BYTES],
        };
        let mut out = Vec::new();
        self.claims.finish(now, attempt, Some(answer), &mut out);
        self.serve(now, out);
    }

    fn serve(&mut self, now: Instant, actions: Vec<ClaimAction>) {
        for action in actions {
            let ClaimAction::CallPlatform(call) = action else {
                continue;
            };
            let result = match &call.op {
                PlatformOp::Write { value, .. } => {
                    self.version += 1;
                    self.writes += 1;
                    self.written = value.len();
                    PlatformResult::Written(ObjectVersion(self.version))
                }
                _ => PlatformResult::Object(None),
            };
            let mut out = Vec::new();
            self.claims
                .platform_answered(now, call.id, result, &mut out);
            self.serve(now, out);
        }
    }
}

/// One call's two writes, in nanoseconds.
pub fn call() -> Series {
    Series {
        name: "agent: keyed call, two writes",
        size_of: "claims in the shard",
        unit: "ns",
        growth: Growth::Power,
        samples: samples(&CLAIMS, |count| {
            let mut rig = Rig::new(count);
            median_ns(21, |_| {
                rig.call();
                black_box(rig.written);
            })
        }),
    }
}

/// Bytes of one write.
pub fn write_bytes() -> Series {
    Series {
        name: "bytes: claims shard",
        size_of: "claims in the shard",
        unit: "B",
        growth: Growth::Line,
        samples: samples(&CLAIMS, |count| Rig::new(count).written as f64),
    }
}

/// Writes of one call.
pub fn writes_per_call() -> u64 {
    let mut rig = Rig::new(4);
    let before = rig.writes;
    rig.call();
    rig.writes - before
}
