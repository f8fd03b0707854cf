//! Platform calls, and the state changes that their results cause.

use crate::Claims;
use crate::outcome::{ClaimAction, ClaimOutcome, ClaimRequest};
use crate::pending::{ClaimEnd, GrantedClaim, PendingClaim};
use crate::shard::{
    CallState, Shard, ShardSnapshot, StagingLimits, WriteInFlight, refuse_may_be_lost,
    shard_key,
};
use base::{
    ErrorCode, Instant, ObjectVersion, PlatformCall, PlatformOp, PlatformResult,
    RequestError,
};
use prost::Message as _;
use schema::store::{ClaimShard, ClaimState};

/// Shortest and longest backoff after the platform was unavailable. It doubles
/// with each consecutive failure.
pub(crate) const BACKOFF_MIN_MS: u64 = 250;
pub(crate) const BACKOFF_MAX_MS: u64 = 4_000;

impl Claims {
    /// Handles the result of the platform call with id `call`.
    pub fn platform_answered(
        &mut self,
        now: Instant,
        call: u64,
        result: PlatformResult,
        out: &mut Vec<ClaimAction>,
    ) {
        if self.probe_call == Some(call) {
            self.probe_call = None;
            self.defer_probe(now);
            return;
        }
        let Some(index) = self.shard_by_call.remove(&call) else {
            return;
        };
        let call_state =
            std::mem::replace(&mut self.shards[index].call_state, CallState::Idle);
        match (call_state, result) {
            (CallState::Reading, PlatformResult::Object(object)) => {
                self.on_read(now, index, object, out);
            }
            (CallState::Writing(write), PlatformResult::Written(version))
                if self.is_current(write.generation)
                    && self.is_current(version.generation()) =>
            {
                self.shards[index].unanswered_write_expects = None;
                self.apply_content(now, index, Some(version), write.content, out);
            }
            (CallState::Writing(..), PlatformResult::Conflict) => {
                self.shards[index].snapshot = None;
            }
            (CallState::Writing(..), PlatformResult::Unavailable)
            | (CallState::Reading, _) => {
                self.on_platform_unavailable(now, index, out);
            }
            (CallState::Writing(..), _) => self.on_write_unanswered(index),
            (CallState::Idle, _) => {}
        }
        self.defer_probe(now);
        self.start_next_call(now, index, out);
    }

    /// Whether content of this generation of the platform has not been replaced by a
    /// restore.
    const fn is_current(&self, generation: u64) -> bool {
        generation == self.generation.latest()
    }

    /// Starts the shard's next platform call, unless one is in flight, nothing
    /// is pending or the shard is in backoff.
    pub(crate) fn start_next_call(
        &mut self,
        now: Instant,
        index: usize,
        out: &mut Vec<ClaimAction>,
    ) {
        let limits = self.staging_limits(now);
        let shard = &mut self.shards[index];
        let in_backoff = shard.backoff_until.is_some_and(|until| until > now);
        if !shard.is_idle() || !shard.has_work() || in_backoff {
            return;
        }
        let staged = shard.stage_next_write(self.options.agent.as_str(), limits);
        for (attempt, outcome) in staged.settled {
            out.push(ClaimAction::Settled { attempt, outcome });
        }
        if staged.read_first {
            self.read(index, out);
        } else if let Some(content) = staged.write {
            self.write(index, content, out);
        } else {
            let shard = &mut self.shards[index];
            shard.end_restoring_if_complete(now, limits);
            out.extend(shard.remove_obsolete_ends());
        }
    }

    fn read(&mut self, index: usize, out: &mut Vec<ClaimAction>) {
        let id = self.allocate_call_id(index);
        self.shards[index].call_state = CallState::Reading;
        let key = shard_key(index);
        let op = PlatformOp::Read { key };
        out.push(ClaimAction::CallPlatform(PlatformCall { id, op }));
    }

    fn write(&mut self, index: usize, content: ClaimShard, out: &mut Vec<ClaimAction>) {
        let Some(snapshot) = &self.shards[index].snapshot else {
            return;
        };
        let op = PlatformOp::Write {
            key: shard_key(index),
            precondition: snapshot.write_precondition(),
            value: content.encode_to_vec(),
        };
        let id = self.allocate_call_id(index);
        let generation = self.generation.latest();
        let write = WriteInFlight {
            content,
            generation,
        };
        self.shards[index].call_state = CallState::Writing(Box::new(write));
        out.push(ClaimAction::CallPlatform(PlatformCall { id, op }));
    }

    fn allocate_call_id(&mut self, index: usize) -> u64 {
        let id = self.allocate_id();
        self.shard_by_call.insert(id, index);
        id
    }

    fn on_read(
        &mut self,
        now: Instant,
        index: usize,
        object: Option<(ObjectVersion, Vec<u8>)>,
        out: &mut Vec<ClaimAction>,
    ) {
        let (version, value) = match object {
            Some((version, value)) => (Some(version), value),
            None => (None, Vec::new()),
        };
        // A restore has replaced this content.
        if version.is_some_and(|version| !self.is_current(version.generation())) {
            self.on_platform_unavailable(now, index, out);
            return;
        }
        // A stale read may lack an existing claim. If it were applied, a finish
        // whose write was unanswered would be dropped: the stored response
        // would be lost, and a resend would be told that the outcome is
        // unknown. Versions come from one counter, so a lower version is older.
        if version < self.shards[index].highest_version {
            self.on_platform_unavailable(now, index, out);
            return;
        }
        // A shard that can't be decoded must not be overwritten: it contains
        // claims.
        let Ok(content) = ClaimShard::decode(value.as_slice()) else {
            self.on_platform_unavailable(now, index, out);
            return;
        };
        let shard = &mut self.shards[index];
        if shard.unanswered_write_expects != Some(version) {
            shard.unanswered_write_expects = None;
        }
        for pending_claim in &mut shard.pending_claims {
            pending_claim.read_since_request = true;
        }
        self.apply_content(now, index, version, content, out);
    }

    /// Applies the shard's content: grants the claims and completes the ends
    /// that it confirms.
    fn apply_content(
        &mut self,
        now: Instant,
        index: usize,
        version: Option<ObjectVersion>,
        content: ClaimShard,
        out: &mut Vec<ClaimAction>,
    ) {
        let limits = self.staging_limits(now);
        let shard = &mut self.shards[index];
        shard.backoff_until = None;
        shard.consecutive_failures = 0;
        shard.highest_version = shard.highest_version.max(version);
        let claim_of = |nonce: u64| {
            let mut claims = content.claims.iter();
            claims.find(|claim| claim.nonce == nonce)
        };
        if shard.is_restoring {
            shard.is_restoring = !shard.recent.confirm(now, &content, limits);
        }
        let pending_claims = std::mem::take(&mut shard.pending_claims);
        for pending_claim in pending_claims {
            let own_claim = claim_of(pending_claim.nonce);
            if let Some(claim) = own_claim.filter(|_| pending_claim.staged) {
                // It may have been written before a restore, which lost another claim of
                // the key.
                if let Some(retry_ms) = limits.restore_retry_ms {
                    let attempt = pending_claim.request.attempt;
                    let outcome = refuse_may_be_lost(retry_ms);
                    out.push(ClaimAction::Settled { attempt, outcome });
                    release_if_staged(shard, &pending_claim);
                    continue;
                }
                shard.recent.remember(now, claim);
                let attempt = pending_claim.request.attempt;
                let nonce = pending_claim.nonce;
                self.granted.insert(
                    attempt,
                    GrantedClaim {
                        shard: index,
                        nonce,
                    },
                );
                let outcome = ClaimOutcome::Granted;
                out.push(ClaimAction::Settled { attempt, outcome });
            } else {
                shard.pending_claims.push(pending_claim);
            }
        }
        // A release is complete when the claim is absent and no write that may
        // still be applied can bring it back.
        let no_unanswered_write = shard.unanswered_write_expects.is_none();
        let done = i32::from(ClaimState::Done);
        shard.pending_ends.retain_mut(|end| {
            let claim = claim_of(end.nonce());
            let is_complete = match end {
                // A claim that is missing was forgotten, or is written again.
                ClaimEnd::Finish { .. } => {
                    claim.map_or(!shard.is_restoring, |claim| claim.state == done)
                }
                ClaimEnd::Release { .. } => no_unanswered_write && claim.is_none(),
            };
            if is_complete {
                match claim {
                    Some(claim) => shard.recent.remember(now, claim),
                    None => shard.recent.forget(end.nonce()),
                }
                out.extend(end.take_waiter());
            }
            !is_complete
        });
        shard.snapshot = Some(ShardSnapshot { version, content });
    }

    /// Handles a write of unknown effect: the shard is read back next.
    fn on_write_unanswered(&mut self, index: usize) {
        let shard = &mut self.shards[index];
        let expected = shard.snapshot.take().map(|snapshot| snapshot.version);
        shard.unanswered_write_expects = expected;
    }

    /// Handles a call that had no effect because the platform is unavailable.
    ///
    /// Pending requests are refused at once, except those whose unanswered
    /// write has yet to be read back. Finishes and releases stay pending and
    /// are retried after the backoff. A response that is ready does not wait
    /// for that.
    fn on_platform_unavailable(
        &mut self,
        now: Instant,
        index: usize,
        out: &mut Vec<ClaimAction>,
    ) {
        let limits = self.staging_limits(now);
        let shard = &mut self.shards[index];
        let backoff_ms =
            (BACKOFF_MIN_MS << shard.consecutive_failures.min(8)).min(BACKOFF_MAX_MS);
        shard.consecutive_failures = shard.consecutive_failures.saturating_add(1);
        shard.backoff_until = Some(now.plus_ms(backoff_ms));
        let write_unanswered = shard.unanswered_write_expects.is_some();
        for pending_claim in std::mem::take(&mut shard.pending_claims) {
            if write_unanswered && pending_claim.staged {
                shard.pending_claims.push(pending_claim);
                continue;
            }
            let request = &pending_claim.request;
            out.push(refuse_platform_unavailable(
                shard, request, backoff_ms, limits,
            ));
            release_if_staged(shard, &pending_claim);
        }
        for end in &mut shard.pending_ends {
            if matches!(end, ClaimEnd::Finish { .. }) {
                out.extend(end.take_waiter());
            }
        }
    }
}

/// Releases the claim of a refused request in the background if a write with it
/// was sent. The claim may be in the shard or appear there later, and its key
/// would look in progress although nothing ran.
pub(crate) fn release_if_staged(shard: &mut Shard, pending_claim: &PendingClaim) {
    if pending_claim.staged {
        shard.pending_ends.push(ClaimEnd::Release {
            nonce: pending_claim.nonce,
            waiter: None,
        });
    }
}

/// Refuses a request because the platform is unavailable. This attempt is not run, but an
/// earlier one with the same key may have been.
pub(crate) fn refuse_platform_unavailable(
    shard: &Shard,
    request: &ClaimRequest,
    retry_ms: u64,
    limits: StagingLimits,
) -> ClaimAction {
    let may_have_run = limits.restore_retry_ms.is_some()
        || shard.recent.has_key(request.caller.as_str(), &request.key);
    let outcome = match may_have_run {
        true => refuse_may_be_lost(retry_ms),
        false => ClaimOutcome::Refused(
            RequestError::not_run(ErrorCode::PlatformAway).retry_after_ms(retry_ms),
        ),
    };
    let attempt = request.attempt;
    ClaimAction::Settled { attempt, outcome }
}
