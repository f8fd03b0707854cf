//! Cost of writing a shard of claims, against the number of claims in it.

use super::sampling::{measure_at_sizes, median_ns};
use crate::fit::{Growth, Series};
use base::prelude::*;
use base::{ObjectVersion, PlatformOp, PlatformResult};
use once::{
    ClaimAction, ClaimRequest, Claims, ClaimsOptions, END_WAIT_MAX_MS, SHARDS,
    StoredResponse, shard_of,
};
use std::hint::black_box;

/// Numbers of claims in one shard; the size limit of an object allows few more.
const CLAIM_COUNTS: [usize; 5] = [16, 64, 256, 1_024, 2_048];

/// Bytes of a stored response.
const RESPONSE_BYTES: usize = 256;

#[derive(Debug)]
struct ClaimsHarness {
    claims: Claims,
    keys: std::vec::IntoIter<String>,
    sequence: u64,
    version: u64,
    last_write_bytes: usize,
    writes: u64,
}

impl ClaimsHarness {
    fn new(count: usize) -> Self {
        let mut claims = Claims::new(ClaimsOptions {
            agent: AgentId::new("deskapp-00001"),
            incarnation: Incarnation(1),
            first_call_id: 1,
            unix_ms_at_zero: 1_764_700_000_000,
        });
        claims.configure(24 * 3_600_000, 1_024);
        let names =
            (0..(count + 64) * SHARDS * 4).map(|index| format!("order-{index:08}"));
        let keys: Vec<String> = names
            .filter(|key| shard_of("press-desk", key) == 0)
            .take(count + 64)
            .collect();
        let mut harness = Self {
            claims,
            keys: keys.into_iter(),
            sequence: 0,
            version: 0,
            last_write_bytes: 0,
            writes: 0,
        };
        (0..count).for_each(|_| harness.handle_request());
        harness
    }

    /// Handles one request: claims its key and stores its response.
    fn handle_request(&mut self) {
        self.sequence += 1;
        let attempt = AttemptId {
            origin: 1,
            sequence: self.sequence,
        };
        let request = ClaimRequest {
            attempt,
            caller: CallerId::new("press-desk"),
            key: self.keys.next().expect("as many keys as requests"),
            body_hash: self.sequence,
            timeout_ms: 2_000,
        };
        let now = Instant::from_ms(1_000);
        let mut out = Vec::new();
        self.claims.request_claim(now, request, &mut out);
        self.run_actions(now, out);
        let answer = StoredResponse {
            status: 200,
            content_type: "application/json".to_owned(),
            body: vec![b'x'; RESPONSE_BYTES],
        };
        let mut out = Vec::new();
        let wait_until = now.plus_ms(END_WAIT_MAX_MS);
        self.claims
            .finish(now, attempt, Some(answer), wait_until, &mut out);
        self.run_actions(now, out);
    }

    fn run_actions(&mut self, now: Instant, actions: Vec<ClaimAction>) {
        for action in actions {
            let ClaimAction::CallPlatform(call) = action else {
                continue;
            };
            let result = match &call.op {
                PlatformOp::Write { value, .. } => {
                    self.version += 1;
                    self.writes += 1;
                    self.last_write_bytes = value.len();
                    PlatformResult::Written(ObjectVersion(self.version))
                }
                _ => PlatformResult::Object(None),
            };
            let mut out = Vec::new();
            self.claims
                .platform_answered(now, call.id, result, &mut out);
            self.run_actions(now, out);
        }
    }
}

/// Duration of a request's two writes, in nanoseconds.
pub fn keyed_request() -> Series {
    Series {
        name: "agent: keyed request, two writes",
        size_of: "claims in the shard",
        unit: "ns",
        growth: Growth::PowerLaw,
        samples: measure_at_sizes(&CLAIM_COUNTS, |count| {
            let mut harness = ClaimsHarness::new(count);
            median_ns(21, |_| {
                harness.handle_request();
                black_box(harness.last_write_bytes);
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
        growth: Growth::Linear,
        samples: measure_at_sizes(&CLAIM_COUNTS, |count| {
            ClaimsHarness::new(count).last_write_bytes as f64
        }),
    }
}

/// Number of writes of one request.
pub fn writes_per_request() -> u64 {
    let mut harness = ClaimsHarness::new(4);
    let before = harness.writes;
    harness.handle_request();
    harness.writes - before
}
