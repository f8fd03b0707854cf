//! Preferred upstreams for prompt prefixes that many requests share.
//!
//! Prompts may share most of their tokens while engines can cache few of them. An entry
//! knows what it sent where, but not what other entries sent. Without a common
//! preference, several entries would have every prefix prefilled at every upstream,
//! where the prefixes evict one another.

use std::collections::HashMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{Fleet, PrefillQueue, SelectionInput};

/// Share of the prefix tokens that the second upstream in the order is assumed to have
/// cached; the third is assumed to have the same share of the second's, and so on. If
/// only the first were preferred, it would be the only one to cache a prefix that more
/// requests use than it can serve.
const NEXT_CACHED_SHARE: f64 = 0.5;

/// The upstreams that can run a request, in the order in which they are preferred for
/// its shared prefix.
///
/// The order is a rendezvous hash of the prefix: all entries compute the same order
/// without communication, and an upstream that joins or leaves only moves its own
/// prefixes.
#[derive(Debug, Default)]
pub(crate) struct PrefixAffinity<'a> {
    /// Rank in the order by upstream, starting at 0.
    ranks: HashMap<&'a str, i32>,
    shared_tokens: u64,
}

impl<'a> PrefixAffinity<'a> {
    /// Computes the order for a request. The last part of a prompt is the request's
    /// own, so a prompt of at most one part shares nothing.
    pub(crate) fn for_request(fleet: &'a Fleet, input: &SelectionInput<'a>) -> Self {
        let shared = input
            .prompt_parts
            .split_last()
            .map_or(&[][..], |(_, shared)| shared);
        let (Some((prefix_hash, _)), Some((model, adapter))) =
            (shared.last(), input.model)
        else {
            return Self::default();
        };
        let candidates = fleet.of_service(input.service).filter(|upstream| {
            upstream.is_usable(input.now) && upstream.holds(input.now, model, adapter)
        });
        let mut ranked: Vec<(u64, &str)> = candidates
            .map(|upstream| {
                let id = &*upstream.record.id;
                (xxh3_64_with_seed(id.as_bytes(), *prefix_hash), id)
            })
            .collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        Self {
            ranks: ranked.into_iter().map(|(_, id)| id).zip(0..).collect(),
            shared_tokens: shared.iter().map(|(_, tokens)| tokens).sum(),
        }
    }

    /// Prefill time, in milliseconds, that an upstream is expected to save by tokens it
    /// has cached beyond those that this entry knows of.
    pub(crate) fn expected_saving_ms(
        &self,
        id: &str,
        cached_tokens: u64,
        input: &SelectionInput<'_>,
    ) -> f64 {
        let Some(rank) = self.ranks.get(id) else {
            return 0.0;
        };
        let expected_tokens = self.shared_tokens as f64 * NEXT_CACHED_SHARE.powi(*rank);
        let unknown_tokens =
            (expected_tokens - cached_tokens as f64).max(0.0) * input.time_factor;
        PrefillQueue::single(input.priority, unknown_tokens as u64).prefill_ms()
    }
}
