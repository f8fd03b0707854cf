//! Claims that a restore of the platform from an older copy may have lost.
//!
//! The agent that made a claim remembers it for longer than such a copy is old, and
//! writes it again. Until all agents have had the time to do so, no new key is claimed
//! in a shard that may lack claims: the key's request may have run.

use base::Instant;
use schema::store::{Claim, ClaimShard};

use crate::shard::StagingLimits;

/// Time for which an agent remembers a claim after the platform confirmed its last
/// change. A platform is restored from a copy that is some seconds old.
const REMEMBER_MS: u64 = 60_000;

/// Time from the first write after a restore in which agents write their claims again.
/// They learn of the restore from their next call, within 8 s; the rest covers the
/// difference between the wall clocks of two instances.
const RESTORE_MS: u64 = 20_000;

/// The claims of this agent that a restore could lose, in one shard.
#[derive(Debug, Default)]
pub(crate) struct RecentClaims {
    claims: Vec<(Instant, Claim)>,
}

impl RecentClaims {
    /// Remembers a claim as the platform has confirmed it.
    pub(crate) fn remember(&mut self, now: Instant, claim: &Claim) {
        self.forget(claim.nonce);
        self.claims
            .retain(|(at, _)| now.ms_since(*at) < REMEMBER_MS);
        self.claims.push((now, claim.clone()));
    }

    /// Forgets a claim that was released.
    pub(crate) fn forget(&mut self, nonce: u64) {
        self.claims.retain(|(_, claim)| claim.nonce != nonce);
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Whether the content has all remembered claims, or others with their keys.
    pub(crate) fn are_in(&self, content: &ClaimShard) -> bool {
        self.claims.iter().all(|(_, claim)| has_key(content, claim))
    }

    /// Adds the remembered claims that the content lacks. Returns whether there are any.
    pub(crate) fn add_to(&self, content: &mut ClaimShard) -> bool {
        let before = content.claims.len();
        for (_, claim) in &self.claims {
            if !has_key(content, claim) {
                content.claims.push(claim.clone());
            }
        }
        content.claims.len() > before
    }
}

fn has_key(content: &ClaimShard, claim: &Claim) -> bool {
    let mut claims = content.claims.iter();
    claims.any(|other| other.caller == claim.caller && other.key == claim.key)
}

/// Whether the content was restored from a copy and not written since.
pub(crate) const fn is_restored(content: &ClaimShard, generation: u64) -> bool {
    content.generation < generation
}

/// Marks restored content as seen, which begins the time for agents to write their
/// claims again. Returns whether it was restored.
pub(crate) fn mark_restored(content: &mut ClaimShard, limits: StagingLimits) -> bool {
    let is_restored = is_restored(content, limits.generation);
    if is_restored {
        content.generation = limits.generation;
        content.restored_unix_ms = limits.unix_ms;
    }
    is_restored
}

/// Returns the time for which the content may still lack claims of other agents.
pub(crate) fn restore_remaining_ms(
    content: &ClaimShard,
    limits: StagingLimits,
) -> Option<u64> {
    if content.restored_unix_ms == 0 {
        return None;
    }
    let end_unix_ms = content.restored_unix_ms.saturating_add(RESTORE_MS);
    let remaining_ms = end_unix_ms.saturating_sub(limits.unix_ms);
    (remaining_ms > 0).then_some(remaining_ms)
}
