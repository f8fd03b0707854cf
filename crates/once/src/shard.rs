//! One shard object of claims, and what is pending for it.

use crate::pending::{ClaimEnd, PendingClaim};
use crate::platform_calls::release_if_staged;
use crate::restore::RecentClaims;
use base::{
    AttemptId, ErrorCode, Instant, ObjectVersion, Precondition, RequestError, RunStatus,
};
use prost::Message as _;
use schema::store::{Claim, ClaimShard, ClaimState};
use xxhash_rust::xxh3::xxh3_64;

use crate::{ClaimAction, ClaimOutcome, StoredResponse};

/// Number of shard objects.
///
/// More shards allow more parallel writes but mean more objects to keep. 64
/// shards and a platform response time of a few milliseconds allow thousands of
/// claims a second.
pub const SHARDS: usize = 64;

/// Largest size of a shard object. The platform accepts objects of up to one
/// megabyte.
pub(crate) const SHARD_MAX_BYTES: usize = 900_000;

/// Largest part of a shard that is reserved for the response of one running
/// request.
pub(crate) const RESERVED_RESPONSE_MAX_BYTES: usize = 64 << 10;

/// Time added to the service's timeout before a claim without a response counts
/// as abandoned. Covers the difference between the wall clocks of two
/// instances.
pub(crate) const ABANDONED_MARGIN_MS: u64 = 10_000;

/// Retry time told to a caller whose key is in progress.
const IN_PROGRESS_RETRY_MS: u64 = 1_000;

/// Retry time told to a caller whose shard is full.
const FULL_RETRY_MS: u64 = 60_000;

/// Key of a shard's object in the platform's store.
pub fn shard_key(shard: usize) -> String {
    format!("claims/{shard:03}")
}

/// Index of the shard that holds a caller's idempotency key.
pub fn shard_of(caller: &str, key: &str) -> usize {
    let mut bytes = Vec::with_capacity(caller.len() + key.len() + 1);
    bytes.extend_from_slice(caller.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(key.as_bytes());
    // The remainder is less than `SHARDS`, so it fits into `usize`.
    (xxh3_64(&bytes) % SHARDS as u64) as usize
}

/// The platform call that is in flight for a shard.
#[derive(Debug)]
pub(crate) enum CallState {
    /// No call is in flight.
    Idle,
    /// The shard is being read.
    Reading,
    /// The shard is being written.
    Writing(Box<WriteInFlight>),
}

/// A write whose result is not known yet.
#[derive(Debug)]
pub(crate) struct WriteInFlight {
    pub content: ClaimShard,
    /// Generation of the platform in which the previous content was read. In another one
    /// the write may replace content that nobody has read.
    pub generation: u64,
}

/// Content of a shard as last read or written.
#[derive(Debug)]
pub(crate) struct ShardSnapshot {
    /// `None` if the object does not exist.
    pub version: Option<ObjectVersion>,
    pub content: ClaimShard,
}

impl ShardSnapshot {
    pub(crate) fn write_precondition(&self) -> Precondition {
        self.version
            .map_or(Precondition::Absent, Precondition::Version)
    }
}

/// State of one shard.
#[derive(Debug)]
pub(crate) struct Shard {
    pub call_state: CallState,
    pub snapshot: Option<ShardSnapshot>,
    /// Highest version seen. A read of a lower version is stale.
    pub highest_version: Option<ObjectVersion>,
    pub pending_claims: Vec<PendingClaim>,
    pub pending_ends: Vec<ClaimEnd>,
    /// Version that an unanswered write expected. As long as the object has
    /// this version, the write may still take effect.
    pub unanswered_write_expects: Option<Option<ObjectVersion>>,
    /// No platform call is made before this time, because the platform was
    /// unavailable.
    pub backoff_until: Option<Instant>,
    pub consecutive_failures: u32,
    /// Claims that a restore of the platform could lose.
    pub recent: RecentClaims,
    /// Recent claims may be missing in the platform.
    pub is_restoring: bool,
}

impl Shard {
    /// Handles a restore of the platform from an older copy: the shard is read again.
    pub(crate) fn on_restore(&mut self, now: Instant) {
        self.snapshot = None;
        self.highest_version = None;
        self.recent.expire(now);
        self.is_restoring = !self.recent.is_empty();
    }

    /// Ends the writing of lost claims if the last known content has all of them.
    pub(crate) fn end_restoring_if_complete(
        &mut self,
        now: Instant,
        limits: StagingLimits,
    ) {
        if let Some(snapshot) = self.snapshot.as_ref().filter(|_| self.is_restoring) {
            self.is_restoring = !self.recent.confirm(now, &snapshot.content, limits);
        }
    }

    /// Drops the ends of claims that are no longer in the shard, for example
    /// because another agent pruned them. Returns the actions for the attempts
    /// that wait for one.
    pub(crate) fn remove_obsolete_ends(&mut self) -> Vec<ClaimAction> {
        let Some(snapshot) = &self.snapshot else {
            return Vec::new();
        };
        let is_claimed =
            |nonce: u64| snapshot.content.claims.iter().any(|c| c.nonce == nonce);
        let mut actions = Vec::new();
        self.pending_ends.retain_mut(|end| {
            let keep = is_claimed(end.nonce());
            if !keep {
                actions.extend(end.take_waiter());
            }
            keep
        });
        actions
    }
}

/// Inputs that limit what the next write may contain.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StagingLimits {
    /// Current wall-clock time, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// Time for which claims are kept, in milliseconds.
    pub retention_ms: u64,
    /// Largest response that is stored.
    pub response_max_bytes: usize,
    /// Retry time for a caller whose key's claim may be lost; `None` if claims of other
    /// agents have been written again.
    pub restore_retry_ms: Option<u64>,
}

/// Result of staging.
#[derive(Debug, Default)]
pub(crate) struct StagingResult {
    /// Outcomes of requests that need no write.
    pub settled: Vec<(AttemptId, ClaimOutcome)>,
    /// The shard must be read before a decision can be made.
    pub read_first: bool,
    /// Content to write, if anything changed.
    pub write: Option<ClaimShard>,
}

impl Shard {
    pub(crate) fn new() -> Self {
        Self {
            call_state: CallState::Idle,
            snapshot: None,
            highest_version: None,
            pending_claims: Vec::new(),
            pending_ends: Vec::new(),
            unanswered_write_expects: None,
            backoff_until: None,
            consecutive_failures: 0,
            recent: RecentClaims::default(),
            is_restoring: false,
        }
    }

    pub(crate) const fn is_idle(&self) -> bool {
        matches!(self.call_state, CallState::Idle)
    }

    pub(crate) fn has_work(&self) -> bool {
        !self.pending_claims.is_empty()
            || !self.pending_ends.is_empty()
            || self.is_restoring
    }

    /// Computes the next write from the last known content and everything
    /// pending.
    pub(crate) fn stage_next_write(
        &mut self,
        agent: &str,
        limits: StagingLimits,
    ) -> StagingResult {
        let mut staged = StagingResult::default();
        let Some(snapshot) = &self.snapshot else {
            staged.read_first = true;
            return staged;
        };
        let mut content = snapshot.content.clone();
        let mut changed = self.unanswered_write_expects.is_some();
        let has_due_reports =
            limits.restore_retry_ms.is_none() && self.recent.has_reported();
        if self.is_restoring || has_due_reports || self.lost_a_requested_claim() {
            changed |= self.recent.add_to(&mut content, limits);
        }
        changed |= stage_ends(&mut content, &self.pending_ends);
        // Prune first, so that a full shard accepts new claims again.
        prune(&mut content, limits, &self.pending_claims);
        let existing_count = content.claims.len();
        let pending_claims = std::mem::take(&mut self.pending_claims);
        let mut claimed = Vec::new();
        for pending_claim in pending_claims {
            match stage_claim(
                &mut content,
                existing_count,
                &pending_claim,
                agent,
                limits,
            ) {
                ClaimDecision::Claimed => {
                    claimed.push(self.pending_claims.len());
                    self.pending_claims.push(pending_claim);
                }
                ClaimDecision::ReadFirst => {
                    staged.read_first = true;
                    self.pending_claims.push(pending_claim);
                }
                ClaimDecision::AfterWrite => self.pending_claims.push(pending_claim),
                ClaimDecision::MayBeLost(retry_ms) => {
                    release_if_staged(self, &pending_claim);
                    let attempt = pending_claim.request.attempt;
                    staged.settled.push((attempt, refuse_may_be_lost(retry_ms)));
                }
                ClaimDecision::Settled(outcome) => {
                    staged
                        .settled
                        .push((pending_claim.request.attempt, outcome));
                }
            }
        }
        if staged.read_first {
            return staged;
        }
        for position in &claimed {
            self.pending_claims[*position].staged = true;
        }
        if changed || !claimed.is_empty() {
            staged.write = Some(content);
        }
        staged
    }

    /// Whether the shard lacks a claim of this agent whose key is requested again.
    fn lost_a_requested_claim(&self) -> bool {
        self.pending_claims.iter().any(|pending_claim| {
            let request = &pending_claim.request;
            self.recent.has_own(request.caller.as_str(), &request.key)
        })
    }
}

/// Decision on a request for a claim.
enum ClaimDecision {
    /// The claim was added to the staged content.
    Claimed,
    /// The shard must be read before the request can be decided.
    ReadFirst,
    /// The request is decided after the staged write.
    AfterWrite,
    /// The request is decided without a write.
    Settled(ClaimOutcome),
    /// A claim of the key may have been lost in a restore of the platform. The refusal
    /// has this retry time in milliseconds.
    MayBeLost(u64),
}

fn stage_claim(
    content: &mut ClaimShard,
    existing_count: usize,
    pending_claim: &PendingClaim,
    agent: &str,
    limits: StagingLimits,
) -> ClaimDecision {
    let request = &pending_claim.request;
    let existing = content.claims.iter().position(|claim| {
        claim.caller == request.caller.as_str() && claim.key == request.key
    });
    match existing {
        // The claim is part of the same write. Whether it was made is known
        // only after the write.
        Some(position) if position >= existing_count => {
            return ClaimDecision::AfterWrite;
        }
        Some(position) => {
            return decide_existing_claim(
                &content.claims[position],
                pending_claim,
                limits,
            );
        }
        None => {}
    }
    if let Some(retry_ms) = limits.restore_retry_ms {
        // Its agent may have written it again since.
        if !pending_claim.read_since_request {
            return ClaimDecision::ReadFirst;
        }
        return ClaimDecision::MayBeLost(retry_ms);
    }
    let claim = Claim {
        caller: request.caller.as_str().to_owned(),
        key: request.key.clone(),
        body_hash: request.body_hash,
        nonce: pending_claim.nonce,
        state: ClaimState::Claimed.into(),
        claimed_unix_ms: limits.unix_ms,
        agent: agent.to_owned(),
        ..Claim::default()
    };
    if planned_bytes(content, &claim, limits) > SHARD_MAX_BYTES {
        let refusal =
            RequestError::not_run(ErrorCode::Overloaded).retry_after_ms(FULL_RETRY_MS);
        return ClaimDecision::Settled(ClaimOutcome::Refused(refusal));
    }
    content.claims.push(claim);
    ClaimDecision::Claimed
}

/// Refuses a request whose key may have been claimed before a restore of the platform.
/// This attempt is not run, but an earlier one with the same key may have been.
pub(crate) const fn refuse_may_be_lost(retry_ms: u64) -> ClaimOutcome {
    ClaimOutcome::Refused(RequestError {
        code: ErrorCode::PlatformAway,
        ran: RunStatus::Unknown,
        retry_after_ms: Some(retry_ms),
    })
}

/// Decides on a request whose key is already claimed.
fn decide_existing_claim(
    claim: &Claim,
    pending_claim: &PendingClaim,
    limits: StagingLimits,
) -> ClaimDecision {
    let differs_in_body = claim.body_hash != pending_claim.request.body_hash;
    let done = claim.state == i32::from(ClaimState::Done);
    let has_response = claim.status != 0;
    if done && has_response && !differs_in_body {
        return ClaimDecision::Settled(stored_outcome(claim));
    }
    // The claim in an older snapshot may have been released or finished since, or been
    // given its response.
    if !pending_claim.read_since_request {
        return ClaimDecision::ReadFirst;
    }
    let refusal = if differs_in_body {
        RequestError::not_run(ErrorCode::KeyReused)
    } else if done {
        return ClaimDecision::Settled(stored_outcome(claim));
    } else if is_abandoned(claim, pending_claim, limits) {
        RequestError {
            code: ErrorCode::OutcomeUnknown,
            ran: RunStatus::Unknown,
            retry_after_ms: None,
        }
    } else {
        RequestError {
            code: ErrorCode::KeyInProgress,
            ran: RunStatus::Unknown,
            retry_after_ms: Some(IN_PROGRESS_RETRY_MS),
        }
    };
    ClaimDecision::Settled(ClaimOutcome::Refused(refusal))
}

fn is_abandoned(
    claim: &Claim,
    pending_claim: &PendingClaim,
    limits: StagingLimits,
) -> bool {
    let claim_timeout_ms =
        u64::from(pending_claim.request.timeout_ms) + ABANDONED_MARGIN_MS;
    limits.unix_ms.saturating_sub(claim.claimed_unix_ms) > claim_timeout_ms
}

/// Outcome of a request that has run: its stored response, or a refusal that
/// says only that it ran if the response was too large to store.
pub(crate) fn stored_outcome(claim: &Claim) -> ClaimOutcome {
    let Some(status) = u16::try_from(claim.status).ok().filter(|s| *s != 0) else {
        return ClaimOutcome::Refused(RequestError {
            code: ErrorCode::OutcomeUnknown,
            ran: RunStatus::Ran,
            retry_after_ms: None,
        });
    };
    ClaimOutcome::Replay(StoredResponse {
        status,
        content_type: claim.content_type.clone(),
        body: claim.answer.clone(),
    })
}

/// Size of the shard after all running requests have stored their responses.
fn planned_bytes(content: &ClaimShard, added: &Claim, limits: StagingLimits) -> usize {
    let running = content
        .claims
        .iter()
        .filter(|claim| claim.state == i32::from(ClaimState::Claimed))
        .count();
    let reserved_bytes = limits.response_max_bytes.min(RESERVED_RESPONSE_MAX_BYTES);
    // Allow 16 bytes per claim for length prefixes.
    let prefixes = 16 * (running + 1);
    content.encoded_len()
        + added.encoded_len()
        + (running + 1) * reserved_bytes
        + prefixes
}

/// Applies finishes and releases. Returns whether the content changed.
fn stage_ends(content: &mut ClaimShard, pending_ends: &[ClaimEnd]) -> bool {
    let mut changed = false;
    for end in pending_ends {
        let position = content
            .claims
            .iter()
            .position(|claim| claim.nonce == end.nonce());
        let Some(position) = position else { continue };
        changed = true;
        match end {
            ClaimEnd::Release { .. } => {
                content.claims.remove(position);
            }
            ClaimEnd::Finish { response, .. } => {
                store_response(content, position, response.as_ref());
            }
        }
    }
    changed
}

fn store_response(
    content: &mut ClaimShard,
    position: usize,
    response: Option<&StoredResponse>,
) {
    content.claims[position].state = ClaimState::Done.into();
    let Some(response) = response else { return };
    let added = response.body.len() + response.content_type.len() + 32;
    if content.encoded_len() + added > SHARD_MAX_BYTES {
        return;
    }
    let claim = &mut content.claims[position];
    claim.status = u32::from(response.status);
    claim.content_type.clone_from(&response.content_type);
    claim.answer.clone_from(&response.body);
}

/// Drops claims past their retention, except those that are being requested now.
fn prune(
    content: &mut ClaimShard,
    limits: StagingLimits,
    pending_claims: &[PendingClaim],
) {
    let keep = |claim: &Claim| {
        let end = claim.claimed_unix_ms.saturating_add(limits.retention_ms);
        end > limits.unix_ms
            || pending_claims
                .iter()
                .any(|pending_claim| pending_claim.nonce == claim.nonce)
    };
    content.claims.retain(keep);
}
