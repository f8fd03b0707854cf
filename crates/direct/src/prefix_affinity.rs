//! Which upstreams are to read the prompt parts that many requests share.
//!
//! Answers the load in which prompts share most of their tokens and engines keep few
//! of them. An entry knows what it sent where and not what the others did: with
//! several entries each part is read at each upstream, and pushes out the others.

use std::collections::HashMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{Fleet, PrefillQueue, SelectionInput};

/// Part of the shared tokens that the second upstream in line is taken to keep; the
/// third that of the second, and so on. The first alone would be the only one to read
/// a part that more ask for than it can serve.
const NEXT_CACHED_SHARE: f64 = 0.5;

/// The upstreams that can run a request, in the order in which they are to read what
/// its prompt shares with others.
///
/// By rendezvous hash of the shared parts: all entries find the same order without a
/// word, and an upstream that goes or comes moves only its own.
#[derive(Debug, Default)]
pub(crate) struct PrefixAffinity<'a> {
    /// Places in that order by upstream, from 0.
    ranks: HashMap<&'a str, i32>,
    shared_tokens: u64,
}

impl<'a> PrefixAffinity<'a> {
    /// The order for a request. A prompt of one part, or of none, shares nothing: the
    /// last part is the request's own.
    pub(crate) fn for_request(fleet: &'a Fleet, input: &SelectionInput<'a>) -> Self {
        let shared = input
            .prompt_parts
            .split_last()
            .map_or(&[][..], |(_, shared)| shared);
        let (Some((part, _)), Some((model, adapter))) = (shared.last(), input.model)
        else {
            return Self::default();
        };
        let able = fleet.of_service(input.service).filter(|upstream| {
            upstream.is_usable(input.now) && upstream.holds(input.now, model, adapter)
        });
        let mut ranked: Vec<(u64, &str)> = able
            .map(|upstream| {
                let id = &*upstream.record.id;
                (xxh3_64_with_seed(id.as_bytes(), *part), id)
            })
            .collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        Self {
            ranks: ranked.into_iter().map(|(_, id)| id).zip(0..).collect(),
            shared_tokens: shared.iter().map(|(_, tokens)| tokens).sum(),
        }
    }

    /// Reading time, in milliseconds, that an upstream is taken to save by what it
    /// keeps beyond the tokens that this entry knows of.
    pub(crate) fn expected_saving_ms(
        &self,
        id: &str,
        cached_tokens: u64,
        input: &SelectionInput<'_>,
    ) -> f64 {
        let Some(place) = self.ranks.get(id) else {
            return 0.0;
        };
        let kept = self.shared_tokens as f64 * NEXT_CACHED_SHARE.powi(*place);
        let unknown = (kept - cached_tokens as f64).max(0.0) * input.time_factor;
        PrefillQueue::single(input.priority, unknown as u64).prefill_ms()
    }
}
