//! Claims of one agent.

use crate::outcome::{ClaimAction, ClaimRequest, StoredResponse};
use crate::pending::{ClaimEnd, GrantedClaim, PendingClaim};
use crate::platform_calls::{
    BACKOFF_MAX_MS, BACKOFF_MIN_MS, refuse_platform_unavailable, release_if_staged,
};
use crate::restore::{KnownGeneration, PROBE_INTERVAL_MS, PROBE_KEY, ReportedRun};
use crate::shard::{SHARDS, Shard, StagingLimits, shard_of, stored_outcome};
use base::{AgentId, AttemptId, Incarnation, Instant, PlatformCall, PlatformOp};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Longest time that a request waits for its claim before it is refused.
const CLAIM_WAIT_MAX_MS: u64 = 5_000;

/// Longest time that the end of a response waits for the write that stores it,
/// and that a refusal waits for the write that releases its claim.
pub const END_WAIT_MAX_MS: u64 = 1_000;

/// Options of [`Claims`].
#[derive(Debug, Clone)]
pub struct ClaimsOptions {
    /// Agent that makes the claims.
    pub agent: AgentId,
    /// Incarnation of the agent. Seeds the nonces.
    pub incarnation: Incarnation,
    /// Id of the first platform call. Ids of later calls are greater.
    pub first_call_id: u64,
    /// Wall-clock time at the origin of `Instant`, in milliseconds since the
    /// Unix epoch.
    pub unix_ms_at_zero: u64,
}

/// State machine for the claims of one agent.
#[derive(Debug)]
pub struct Claims {
    pub(crate) options: ClaimsOptions,
    retention_ms: u64,
    response_max_bytes: usize,
    pub(crate) shards: Vec<Shard>,
    pub(crate) granted: BTreeMap<AttemptId, GrantedClaim>,
    pub(crate) shard_by_call: BTreeMap<u64, usize>,
    pub(crate) next_call_id: u64,
    nonce_count: u64,
    pub(crate) generation: KnownGeneration,
    /// When the platform is asked for its generation, unless it responds before; `None`
    /// if this agent has no claim that a restore could lose.
    probe_at: Option<Instant>,
    /// The call that asks for it.
    pub(crate) probe_call: Option<u64>,
}

impl Claims {
    /// Creates the state machine without claims.
    pub fn new(options: ClaimsOptions) -> Self {
        Self {
            next_call_id: options.first_call_id,
            options,
            retention_ms: 24 * 3_600_000,
            response_max_bytes: 16 << 10,
            shards: (0..SHARDS).map(|_| Shard::new()).collect(),
            granted: BTreeMap::new(),
            shard_by_call: BTreeMap::new(),
            nonce_count: 0,
            generation: KnownGeneration::new(),
            probe_at: None,
            probe_call: None,
        }
    }

    /// Sets how long claims are kept and the largest response that is stored.
    pub fn configure(&mut self, retention_ms: u32, response_max_bytes: u32) {
        self.retention_ms = u64::from(retention_ms);
        self.response_max_bytes = response_max_bytes as usize;
    }

    /// Largest response that is stored, in bytes.
    pub const fn response_max_bytes(&self) -> usize {
        self.response_max_bytes
    }

    /// Records a generation that an answer of the platform named. A later one than the
    /// known one means that the platform was restored from an older copy: this agent's
    /// recent claims are written again.
    pub fn observe_generation(
        &mut self,
        now: Instant,
        generation: u64,
        out: &mut Vec<ClaimAction>,
    ) {
        if !self.generation.observe(now, generation) {
            return;
        }
        for index in 0..self.shards.len() {
            self.shards[index].on_restore(now);
            self.start_next_call(now, index, out);
        }
    }

    /// Generation of the platform whose restore may have lost claims that this agent
    /// waits for; `None` if it waits for none.
    pub fn restored_generation(&self, now: Instant) -> Option<u64> {
        self.generation.restore_retry_ms(now)?;
        Some(self.generation.latest())
    }

    /// Records for how long an entry has known the latest generation. An agent that starts
    /// long after a restore waits for no claims.
    pub fn observe_known_for(&mut self, now: Instant, known_ms: u64) {
        self.generation.observe_known_for(now, known_ms);
    }

    /// Sets whether a connected entry has not reported yet which requests it passed on
    /// before the latest restore.
    pub const fn set_awaits_entries(&mut self, awaits_entries: bool) {
        self.generation.awaits_entries = awaits_entries;
    }

    /// Handles the requests that an entry passed to other agents and whose claims a
    /// restore may have lost: claims that are missing are written.
    pub fn add_reported_runs(
        &mut self,
        now: Instant,
        runs: impl IntoIterator<Item = ReportedRun>,
        out: &mut Vec<ClaimAction>,
    ) {
        let unix_ms = self.unix_ms(now);
        for run in runs {
            let index = shard_of(&run.caller, &run.key);
            let claim = run.into_claim(self.next_nonce(), unix_ms);
            let shard = &mut self.shards[index];
            shard.recent.report(claim);
        }
        self.write_reported_claims(now, out);
    }

    /// Writes the claims that entries reported and that their agents have not written in
    /// the time for it.
    fn write_reported_claims(&mut self, now: Instant, out: &mut Vec<ClaimAction>) {
        if self.generation.restore_retry_ms(now).is_some() {
            return;
        }
        for index in 0..self.shards.len() {
            let shard = &mut self.shards[index];
            if shard.recent.has_reported() && !shard.is_restoring {
                shard.is_restoring = true;
                self.start_next_call(now, index, out);
            }
        }
    }

    /// Number of granted claims whose requests have not ended.
    pub fn held_count(&self) -> usize {
        self.granted.len()
    }

    /// Whether no platform call is in flight and nothing is pending.
    pub fn is_flushed(&self) -> bool {
        self.shards
            .iter()
            .all(|shard| shard.is_idle() && !shard.has_work())
    }

    /// Requests a claim. The outcome is reported by [`ClaimAction::Settled`].
    pub fn request_claim(
        &mut self,
        now: Instant,
        request: ClaimRequest,
        out: &mut Vec<ClaimAction>,
    ) {
        let index = shard_of(request.caller.as_str(), &request.key);
        if let Some(claim) = self.shards[index].recent.own_response(&request) {
            let outcome = stored_outcome(claim);
            let attempt = request.attempt;
            out.push(ClaimAction::Settled { attempt, outcome });
            return;
        }
        let pending_claim = PendingClaim {
            nonce: self.next_nonce(),
            request,
            staged: false,
            read_since_request: false,
            expires_at: now.plus_ms(CLAIM_WAIT_MAX_MS),
        };
        let limits = self.staging_limits(now);
        let shard = &mut self.shards[index];
        if let Some(until) = shard.backoff_until.filter(|until| *until > now) {
            let retry_ms = until.ms_since(now).max(BACKOFF_MIN_MS);
            let request = &pending_claim.request;
            out.push(refuse_platform_unavailable(
                shard, request, retry_ms, limits,
            ));
            return;
        }
        shard.pending_claims.push(pending_claim);
        self.start_next_call(now, index, out);
    }

    /// Records that a request ran, with its response. `None` if the response is
    /// unknown: the request is then stored as run without a response.
    /// [`ClaimAction::Finished`] says when the end of the response may be sent,
    /// at `wait_until` at the latest; a resend then gets the stored response.
    pub fn finish(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        response: Option<StoredResponse>,
        wait_until: Instant,
        out: &mut Vec<ClaimAction>,
    ) {
        let Some(claim) = self.granted.remove(&attempt) else {
            out.push(ClaimAction::Finished { attempt });
            return;
        };
        let max_bytes = self.response_max_bytes;
        let response = response.filter(|response| response.body.len() <= max_bytes);
        let nonce = claim.nonce;
        let shard = &mut self.shards[claim.shard];
        // A platform that is known to be unavailable would only delay a
        // response that is ready.
        let is_available = shard.backoff_until.is_none_or(|until| until <= now);
        let mut end = ClaimEnd::Finish {
            nonce,
            response,
            waiter: Some((attempt, wait_until)),
        };
        if !is_available || wait_until <= now {
            out.extend(end.take_waiter());
        }
        shard.pending_ends.push(end);
        self.start_next_call(now, claim.shard, out);
    }

    /// Releases the claim of a request that was not run, so that its key
    /// becomes free. [`ClaimAction::Released`] says when the refusal may be
    /// sent.
    pub fn release(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        out: &mut Vec<ClaimAction>,
    ) {
        let Some(claim) = self.granted.remove(&attempt) else {
            out.push(ClaimAction::Released { attempt });
            return;
        };
        let end = ClaimEnd::Release {
            nonce: claim.nonce,
            waiter: Some((attempt, now.plus_ms(END_WAIT_MAX_MS))),
        };
        let shard = &mut self.shards[claim.shard];
        shard.recent.forget(claim.nonce);
        shard.pending_ends.push(end);
        self.start_next_call(now, claim.shard, out);
    }

    /// Forgets a claim of which it is unknown whether its request ran. The
    /// claim stays in the shard, and a resend is told that the outcome is
    /// unknown once the service's timeout has passed.
    pub fn abandon(&mut self, attempt: AttemptId) {
        self.granted.remove(&attempt);
    }

    /// Whether a platform call was made by this state machine.
    pub fn owns_call(&self, call: u64) -> bool {
        self.shard_by_call.contains_key(&call) || self.probe_call == Some(call)
    }

    /// Time at which [`Claims::tick`] should be called next.
    pub fn next_deadline(&self) -> Option<Instant> {
        let shards = self.shards.iter().filter(|shard| shard.has_work());
        let probe_at = self.probe_at.filter(|_| self.probe_call.is_none());
        let mut reporting = self.shards.iter();
        let reports_at = reporting
            .any(|shard| shard.recent.has_reported() && !shard.is_restoring)
            .then(|| self.generation.restore_end());
        let others = probe_at.into_iter().chain(reports_at.flatten());
        shards.filter_map(shard_deadline).chain(others).min()
    }

    /// Ends waits that have timed out and starts the calls whose backoff is
    /// over.
    pub fn tick(&mut self, now: Instant, out: &mut Vec<ClaimAction>) {
        for index in 0..self.shards.len() {
            if !self.shards[index].has_work() {
                continue;
            }
            self.expire_waits(now, index, out);
            self.start_next_call(now, index, out);
        }
        self.write_reported_claims(now, out);
        self.probe_generation(now, out);
    }

    /// Defers the question for the platform's generation, as it has just responded.
    pub(crate) fn defer_probe(&mut self, now: Instant) {
        let mut shards = self.shards.iter();
        let has_recent = shards.any(|shard| !shard.recent.is_empty());
        self.probe_at = has_recent.then(|| now.plus_ms(PROBE_INTERVAL_MS));
    }

    /// Asks the platform for its generation if it is time to. An agent that makes no
    /// other call would not learn that its claims were lost.
    fn probe_generation(&mut self, now: Instant, out: &mut Vec<ClaimAction>) {
        let is_due = self.probe_at.is_some_and(|at| at <= now);
        if !is_due || self.probe_call.is_some() {
            return;
        }
        for shard in &mut self.shards {
            shard.recent.expire(now);
        }
        self.defer_probe(now);
        if self.probe_at.is_some() {
            let id = self.allocate_id();
            self.probe_call = Some(id);
            let key = PROBE_KEY.to_owned();
            let op = PlatformOp::Read { key };
            out.push(ClaimAction::CallPlatform(PlatformCall { id, op }));
        }
    }

    pub(crate) const fn allocate_id(&mut self) -> u64 {
        let id = self.next_call_id;
        self.next_call_id += 1;
        id
    }

    fn unix_ms(&self, now: Instant) -> u64 {
        self.options.unix_ms_at_zero.saturating_add(now.as_ms())
    }

    fn next_nonce(&mut self) -> u64 {
        self.nonce_count += 1;
        let mut bytes = self.options.agent.as_str().as_bytes().to_vec();
        bytes.extend_from_slice(&self.nonce_count.to_le_bytes());
        xxh3_64_with_seed(&bytes, self.options.incarnation.0)
    }

    pub(crate) fn staging_limits(&self, now: Instant) -> StagingLimits {
        StagingLimits {
            unix_ms: self.unix_ms(now),
            retention_ms: self.retention_ms,
            response_max_bytes: self.response_max_bytes,
            restore_retry_ms: self.generation.restore_retry_ms(now),
        }
    }

    fn expire_waits(&mut self, now: Instant, index: usize, out: &mut Vec<ClaimAction>) {
        let limits = self.staging_limits(now);
        let shard = &mut self.shards[index];
        let pending_claims = std::mem::take(&mut shard.pending_claims);
        for pending_claim in pending_claims {
            if pending_claim.expires_at > now {
                shard.pending_claims.push(pending_claim);
                continue;
            }
            let (request, retry_ms) = (&pending_claim.request, BACKOFF_MAX_MS);
            out.push(refuse_platform_unavailable(
                shard, request, retry_ms, limits,
            ));
            release_if_staged(shard, &pending_claim);
        }
        for end in &mut shard.pending_ends {
            if end.waits_until().is_some_and(|until| until <= now) {
                out.extend(end.take_waiter());
            }
        }
    }
}

/// Time at which something in a shard with pending work times out.
fn shard_deadline(shard: &Shard) -> Option<Instant> {
    let pending_claims = shard
        .pending_claims
        .iter()
        .map(|pending_claim| pending_claim.expires_at);
    let waiters = shard.pending_ends.iter().filter_map(ClaimEnd::waits_until);
    let backoff_end = shard.backoff_until.filter(|_| shard.is_idle());
    pending_claims.chain(waiters).chain(backoff_end).min()
}
