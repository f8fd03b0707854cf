//! Uses of upstreams in messages between entries, as columns of small numbers.
//!
//! A use takes about 12 B in place of about 45 B. Upstreams are named by a hash of their
//! incarnation, so both entries must know it. A new incarnation is therefore named in
//! full for a while, by which other entries learn of it.

use base::Instant;
use schema::peer::{UpstreamUse, UpstreamUses};
use std::collections::HashMap;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{Fleet, PRIORITY_LEVELS};

/// Time for which a new incarnation is named in full. Other entries learn of it from the
/// platform or from one of these messages.
const NEW_INCARNATION_MS: u64 = 3_000;

/// Unit of tokens. Rounding adds at most 63 tokens, which an engine prefills in 2.5 ms.
const TOKENS_PER_UNIT: u64 = 64;

/// Unit of the time since an upstream last sent something. It is rounded down; silence
/// counts from 700 ms on.
const SILENT_UNIT_MS: u64 = 16;

/// Number of values that a priority may have in a place of tokens to prefill.
const PLACES_PER_UPSTREAM: usize = 8;

const _: () = assert!(PRIORITY_LEVELS <= PLACES_PER_UPSTREAM);

/// Maximum number of uses that are read from one message.
const USES_MAX: usize = 4_096;

/// One incarnation of an upstream.
#[derive(Debug)]
struct Incarnation {
    id: Arc<str>,
    /// Start time of its process; 0 if it is not known.
    born_ms: u64,
    first_seen: Instant,
    /// Whether another known incarnation has the same hash.
    is_ambiguous: bool,
}

/// The upstreams' incarnations by the hashes that name them in messages.
#[derive(Debug, Default)]
pub struct IncarnationIndex {
    by_hash: HashMap<u32, Incarnation>,
}

impl IncarnationIndex {
    /// Adopts the incarnations that the fleet has now.
    pub fn update(&mut self, now: Instant, fleet: &Fleet) {
        let mut current = HashMap::with_capacity(self.by_hash.len());
        for upstream in fleet.all() {
            let record = &upstream.record;
            let born_ms = record.started_unix_ms.unwrap_or(0);
            let hash = incarnation_hash(&record.id, born_ms);
            let before = self.by_hash.get(&hash);
            let before = before
                .filter(|known| known.id == record.id && known.born_ms == born_ms);
            let incarnation = Incarnation {
                id: Arc::clone(&record.id),
                born_ms,
                first_seen: before.map_or(now, |known| known.first_seen),
                is_ambiguous: false,
            };
            if let Some(other) = current.insert(hash, incarnation) {
                let is_ambiguous = true;
                current.insert(
                    hash,
                    Incarnation {
                        is_ambiguous,
                        ..other
                    },
                );
            }
        }
        self.by_hash = current;
    }

    /// Divides uses into those that hashes can name and the others.
    pub fn pack(
        &self,
        now: Instant,
        uses: Vec<UpstreamUse>,
    ) -> (UpstreamUses, Vec<UpstreamUse>) {
        let mut packed = UpstreamUses::default();
        let mut others = Vec::new();
        for upstream_use in uses {
            let hash = incarnation_hash(&upstream_use.upstream, upstream_use.born_ms);
            let known = self.by_hash.get(&hash).filter(|known| !known.is_ambiguous);
            let is_settled = known.is_some_and(|known| {
                now.ms_since(known.first_seen) >= NEW_INCARNATION_MS
            });
            if is_settled {
                push(&mut packed, hash, &upstream_use);
            } else {
                others.push(upstream_use);
            }
        }
        if packed.pace_percents.iter().all(|percent| *percent == 0) {
            packed.pace_percents.clear();
        }
        (packed, others)
    }

    /// Returns the uses of the upstreams that are known here.
    pub fn unpack(&self, packed: &UpstreamUses) -> Vec<UpstreamUse> {
        let value =
            |column: &[u32], position| column.get(position).copied().unwrap_or(0);
        let hashes = packed.upstreams.iter().take(USES_MAX);
        let mut uses: Vec<Option<UpstreamUse>> = hashes
            .enumerate()
            .map(|(position, hash)| {
                let known = self.by_hash.get(hash);
                let known = known.filter(|known| !known.is_ambiguous)?;
                Some(UpstreamUse {
                    upstream: known.id.to_string(),
                    born_ms: known.born_ms,
                    running: value(&packed.running, position),
                    begun: value(&packed.begun, position),
                    kept_tokens: tokens(value(&packed.kept_units, position)),
                    silent_ms: u64::from(value(&packed.silent_units, position))
                        * SILENT_UNIT_MS,
                    reading_tokens: vec![0; PRIORITY_LEVELS],
                    pace_percent: Some(value(&packed.pace_percents, position))
                        .filter(|percent| *percent > 0),
                })
            })
            .collect();
        let reading = packed.reading_places.iter().zip(&packed.reading_units);
        for (place, units) in reading {
            let place = *place as usize;
            let upstream_use = uses.get_mut(place / PLACES_PER_UPSTREAM);
            let level = place % PLACES_PER_UPSTREAM;
            if let Some(Some(upstream_use)) = upstream_use
                && let Some(reading) = upstream_use.reading_tokens.get_mut(level)
            {
                *reading = tokens(*units);
            }
        }
        uses.into_iter().flatten().collect()
    }
}

fn push(packed: &mut UpstreamUses, hash: u32, upstream_use: &UpstreamUse) {
    let position = packed.upstreams.len();
    packed.upstreams.push(hash);
    packed.running.push(upstream_use.running);
    packed.begun.push(upstream_use.begun);
    packed.kept_units.push(units(upstream_use.kept_tokens));
    let silent_units = upstream_use.silent_ms / SILENT_UNIT_MS;
    packed.silent_units.push(saturated(silent_units));
    let pace_percent = upstream_use.pace_percent.unwrap_or(0);
    packed.pace_percents.push(pace_percent);
    for (level, reading) in upstream_use.reading_tokens.iter().enumerate() {
        let place = position * PLACES_PER_UPSTREAM + level;
        if *reading > 0 {
            packed.reading_places.push(saturated(place as u64));
            packed.reading_units.push(units(*reading));
        }
    }
}

fn incarnation_hash(id: &str, born_ms: u64) -> u32 {
    (xxh3_64_with_seed(id.as_bytes(), born_ms) >> 32) as u32
}

fn units(tokens: u64) -> u32 {
    saturated(tokens.div_ceil(TOKENS_PER_UNIT))
}

fn tokens(units: u32) -> u64 {
    u64::from(units) * TOKENS_PER_UNIT
}

fn saturated(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
