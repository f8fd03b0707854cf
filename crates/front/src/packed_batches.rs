//! Compression of the changes that a watch returned, for messages to other entries.
//!
//! The records of upstreams resemble one another, so a batch of them takes a small
//! part of its size, and what fits into a message lasts for many more upstreams.

use base::ObjectVersion;
use direct::{ChangedObject, WatchBatch};
use flate2::Compression;
use flate2::read::{DeflateDecoder, DeflateEncoder};
use prost::Message;
use schema::peer::{WatchedBatch, WatchedBatches, WatchedObject};
use std::io::Read;
use xxhash_rust::xxh3::xxh3_64;

/// Largest size of the batches in one message after decompression.
const MAX_UNPACKED_BYTES: usize = 4 << 20;

/// Compresses batches into at most `max_bytes`. If they don't fit, the older batches
/// go without their changes, and then the newest one too.
pub fn pack_batches(batches: &[WatchBatch], max_bytes: usize) -> Vec<u8> {
    let mut batches: Vec<WatchBatch> = batches.to_vec();
    for index in 0..batches.len() {
        let packed = compress(&batches);
        if packed.len() <= max_bytes {
            return packed;
        }
        batches[index] = batches[index].without_objects();
    }
    compress(&batches)
}

/// Decompresses batches. Returns none if the bytes are not valid.
pub fn unpack_batches(packed: &[u8]) -> Vec<WatchBatch> {
    let mut bytes = Vec::new();
    let limit = MAX_UNPACKED_BYTES as u64 + 1;
    let read = DeflateDecoder::new(packed)
        .take(limit)
        .read_to_end(&mut bytes);
    if read.is_err() || bytes.len() > MAX_UNPACKED_BYTES {
        return Vec::new();
    }
    let batches = WatchedBatches::decode(bytes.as_slice()).unwrap_or_default();
    batches.batches.iter().map(decode_batch).collect()
}

fn compress(batches: &[WatchBatch]) -> Vec<u8> {
    let batches = WatchedBatches {
        batches: batches.iter().map(encode_batch).collect(),
    };
    let bytes = batches.encode_to_vec();
    let mut packed = Vec::new();
    // Reading from memory can't fail.
    let _ = DeflateEncoder::new(bytes.as_slice(), Compression::fast())
        .read_to_end(&mut packed);
    packed
}

/// Decodes a batch of another entry.
pub(crate) fn decode_batch(sent: &WatchedBatch) -> WatchBatch {
    let version = |revision| ObjectVersion::new(sent.generation, revision).0;
    let objects = sent.objects.iter();
    let objects = objects.map(|object| {
        let value = object.value.clone();
        changed_object(object.key.clone(), version(object.version), value)
    });
    WatchBatch {
        after_version: ObjectVersion::new(sent.after_generation, sent.after).0,
        to_version: version(sent.at),
        objects: objects.collect(),
        is_partial: sent.is_partial,
    }
}

fn encode_batch(batch: &WatchBatch) -> WatchedBatch {
    let objects = batch.objects.iter();
    let objects = objects.map(|object| WatchedObject {
        key: object.key.clone(),
        version: ObjectVersion(object.version).revision(),
        value: object.value.clone(),
    });
    let after = ObjectVersion(batch.after_version);
    let at = ObjectVersion(batch.to_version);
    WatchedBatch {
        after: after.revision(),
        at: at.revision(),
        objects: objects.collect(),
        is_partial: batch.is_partial,
        after_generation: after.generation(),
        generation: at.generation(),
    }
}

/// Builds a changed object from its JSON text.
pub(crate) fn changed_object(
    key: String,
    version: u64,
    value: Vec<u8>,
) -> ChangedObject {
    ChangedObject {
        key,
        version,
        content_hash: content_hash(&value),
        value,
    }
}

/// Returns a hash of the names and values in a JSON text. It does not depend on white
/// space or on the order of fields, in which the platform's responses may differ.
fn content_hash(text: &[u8]) -> u64 {
    let is_separator = const { separators() };
    let tokens = text.split(|byte| is_separator[usize::from(*byte)]);
    tokens
        .filter(|token| !token.is_empty())
        .fold(0, |hash: u64, token| hash.wrapping_add(xxh3_64(token)))
}

/// Whether each byte separates the names and values in a JSON text.
const fn separators() -> [bool; 256] {
    let mut separators = [false; 256];
    let mut rest: &[u8] = b"{}[]:, \t\r\n";
    while let [byte, after @ ..] = rest {
        separators[*byte as usize] = true;
        rest = after;
    }
    separators
}
