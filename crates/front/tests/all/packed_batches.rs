//! Changes that a watch returned, compressed for messages to other entries.

use base::ObjectVersion;
use direct::{ChangedObject, WatchBatch};
use front::{pack_batches, unpack_batches};

/// A record of an upstream, of about the size and regularity of real ones.
fn record(number: u64, version: u64) -> ChangedObject {
    let models: Vec<String> = (0..3)
        .map(|model| {
            let name = number.wrapping_mul(2_654_435_761).wrapping_add(model) % 347;
            format!(
                r#"{{"name":"model-{name}","version":1,"adapters":["a{}","a{}"]}}"#,
                name % 7,
                name % 11
            )
        })
        .collect();
    let value = format!(
        r#"{{"service":"engine","address":"10.{}.{}.{}:8025","zone":"zone-{}",
"version":1,"batch_slots":64,"phase":"ready","cold_remaining_ms":0,
"sequence":{version},"models":[{}]}}"#,
        number % 5,
        number % 64,
        number % 250,
        number % 5,
        models.join(",")
    );
    changed(
        &format!("servers/i-{number:010x}"),
        version,
        value.into_bytes(),
    )
}

/// An object as the receiver of a message builds it.
fn changed(key: &str, version: u64, value: Vec<u8>) -> ChangedObject {
    let sent = batch(
        0,
        vec![ChangedObject {
            key: key.to_owned(),
            version,
            value,
            content_hash: 0,
        }],
    );
    let mut unpacked = unpack_batches(&pack_batches(&[sent], usize::MAX));
    unpacked.remove(0).objects.remove(0)
}

fn batch(after_version: u64, objects: Vec<ChangedObject>) -> WatchBatch {
    let to_version = after_version + objects.len() as u64;
    WatchBatch {
        after_version,
        to_version,
        objects,
        is_partial: false,
    }
}

fn records(after_version: u64, count: u64) -> WatchBatch {
    let objects = (1..=count).map(|number| record(number, after_version + number));
    batch(after_version, objects.collect())
}

#[test]
fn packed_batches_arrive_unchanged() {
    let deleted = ChangedObject::deleted("servers/i-1".to_owned(), 41);
    let batches = [records(0, 40), batch(40, vec![deleted])];
    let unpacked = unpack_batches(&pack_batches(&batches, usize::MAX));
    assert_eq!(unpacked[0], batches[0]);
    assert!(unpacked[1].objects[0].is_deleted());
}

/// Guards against batches that are left out of messages as the fleet grows: without
/// compression, forty changed records were too many, and every follower asked the
/// platform for them.
#[test]
fn a_hundred_changed_records_take_a_fraction_of_their_size() {
    for count in [50, 100, 200] {
        let batch = records(0, count);
        let bytes: usize = batch.objects.iter().map(|object| object.value.len()).sum();
        let packed = pack_batches(&[batch], usize::MAX).len();
        assert!(packed * 5 < bytes, "{packed} B for {bytes} B");
    }
}

/// Guards against a message that is too large for a link: the older batch loses its
/// changes first, and both are announced in any case.
#[test]
fn batches_that_do_not_fit_are_announced_without_changes() {
    let batches = [records(0, 100), records(100, 100)];
    let whole = pack_batches(&batches, usize::MAX).len();
    let newest = unpack_batches(&pack_batches(&batches, whole * 3 / 4));
    assert!(newest[0].is_partial && !newest[1].is_partial);
    assert_eq!(newest[1], batches[1]);
    let none = unpack_batches(&pack_batches(&batches, 100));
    assert!(
        none.iter()
            .all(|batch| batch.is_partial && batch.objects.is_empty())
    );
    assert_eq!((none[0].after_version, none[1].to_version), (0, 200));
}

/// Guards against bytes that are no batches, and against some that grow without bound.
#[test]
fn bytes_that_are_no_batches_are_ignored() {
    let packed = pack_batches(&[records(0, 20)], usize::MAX);
    for length in 0..packed.len() {
        unpack_batches(&packed[..length]);
    }
    assert!(unpack_batches(b"no batches").is_empty());
    let large = changed("servers/i-1", 1, vec![b'x'; 3 << 20]);
    let two = [batch(0, vec![large.clone()]), batch(1, vec![large])];
    assert!(unpack_batches(&pack_batches(&two, usize::MAX)).is_empty());
}

/// Guards against states that seem to differ because the platform formats its
/// responses differently.
#[test]
fn the_content_hash_ignores_white_space_and_order() {
    let one = changed("servers/i-1", 1, br#"{"a": 1, "b": ["x", "y"]}"#.to_vec());
    let same = changed("servers/i-1", 1, br#"{"b":["x","y"],"a":1}"#.to_vec());
    let other = changed("servers/i-1", 1, br#"{"b":["x","z"],"a":1}"#.to_vec());
    assert_eq!(one.content_hash, same.content_hash);
    assert_ne!(one.content_hash, other.content_hash);
}

/// Guards against a list after a restore of the platform whose versions look like those
/// of before.
#[test]
fn a_batch_across_a_restore_keeps_its_generations() {
    let version = |generation, revision| ObjectVersion::new(generation, revision).0;
    let object = ChangedObject {
        version: version(2, 5),
        ..record(1, 5)
    };
    let sent = WatchBatch {
        after_version: version(1, 40),
        to_version: version(2, 7),
        objects: vec![object],
        is_partial: false,
    };
    let unpacked =
        unpack_batches(&pack_batches(std::slice::from_ref(&sent), usize::MAX));
    assert_eq!(unpacked, [sent]);
}
