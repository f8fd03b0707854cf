//! Which bodies get memory, and which give way.

use arbtest::arbtest;
use base::Instant;
use inbound::{BodyId, BodyLedger, LedgerFull, NO_PROGRESS_MS};

const CAPACITY: usize = 1_000_000;
const LARGE: usize = 200_000;

const fn at(ms: u64) -> Instant {
    Instant::from_ms(ms)
}

/// Bodies of this size that have got all their memory but are not whole, until one gets
/// none.
fn fill(ledger: &mut BodyLedger, now: Instant, size: usize) -> Vec<BodyId> {
    let mut bodies = Vec::new();
    loop {
        let body = ledger.begin(now);
        match ledger.reserve(now, body, size, size) {
            Ok(evicted) => assert!(evicted.is_empty()),
            Err(LedgerFull) => {
                ledger.end(body);
                return bodies;
            }
        }
        bodies.push(body);
    }
}

#[test]
fn large_bodies_leave_room_for_small_ones() {
    let mut ledger = BodyLedger::new(CAPACITY);
    fill(&mut ledger, at(0), LARGE);
    let small = ledger.begin(at(0));
    assert_eq!(ledger.reserve(at(0), small, 4_096, 4_096), Ok(Vec::new()));
}

#[test]
fn a_body_that_rests_gives_way_to_one_that_comes() {
    let mut ledger = BodyLedger::new(CAPACITY);
    let resting = fill(&mut ledger, at(0), LARGE);
    let body = ledger.begin(at(NO_PROGRESS_MS));
    let evicted = ledger.reserve(at(NO_PROGRESS_MS), body, LARGE, LARGE);
    assert_eq!(evicted.map(|evicted| evicted.len()), Ok(1));
    assert_eq!(ledger.used_bytes(), resting.len() * LARGE);
}

/// Guards against giving up requests that may have been sent on.
#[test]
fn a_whole_body_never_gives_way() {
    let mut ledger = BodyLedger::new(CAPACITY);
    for body in fill(&mut ledger, at(0), LARGE) {
        ledger.complete(body, LARGE);
    }
    let later = at(100 * NO_PROGRESS_MS);
    let body = ledger.begin(later);
    assert_eq!(ledger.reserve(later, body, LARGE, LARGE), Err(LedgerFull));
}

/// Guards against bodies that are given up although they come steadily.
#[test]
fn a_body_that_makes_progress_does_not_give_way() {
    let mut ledger = BodyLedger::new(CAPACITY);
    let steady = fill(&mut ledger, at(0), LARGE);
    for body in &steady {
        ledger.record_progress(at(NO_PROGRESS_MS - 1), *body, 8_192);
    }
    let body = ledger.begin(at(NO_PROGRESS_MS));
    let reserved = ledger.reserve(at(NO_PROGRESS_MS), body, LARGE, LARGE);
    assert_eq!(reserved, Err(LedgerFull));
}

/// Guards against callers that send a byte now and then to keep their memory.
#[test]
fn a_byte_now_and_then_is_no_progress() {
    let mut ledger = BodyLedger::new(CAPACITY);
    let dripping = fill(&mut ledger, at(0), LARGE);
    for ms in (0..NO_PROGRESS_MS).step_by(100) {
        for body in &dripping {
            ledger.record_progress(at(ms), *body, 1);
        }
    }
    let body = ledger.begin(at(NO_PROGRESS_MS));
    let evicted = ledger.reserve(at(NO_PROGRESS_MS), body, LARGE, LARGE);
    assert_eq!(evicted.map(|evicted| evicted.len()), Ok(1));
}

/// Whatever happens in whatever order, the memory stays within the capacity, and is free
/// once all bodies have ended.
#[test]
fn the_memory_taken_is_that_of_the_bodies() {
    arbtest(|random| {
        let mut ledger = BodyLedger::new(CAPACITY);
        let mut bodies: Vec<(BodyId, bool)> = Vec::new();
        let mut now_ms = 0;
        for _ in 0..random.int_in_range(0..=80)? {
            now_ms += random.int_in_range(0..=700)?;
            let now = at(now_ms);
            if bodies.is_empty() || random.ratio(1, 3)? {
                bodies.push((ledger.begin(now), false));
                continue;
            }
            let index = random.choose_index(bodies.len())?;
            let (body, is_whole) = bodies[index];
            match random.int_in_range(0..=3)? {
                0 => ledger.record_progress(now, body, 5_000),
                1 => {
                    ledger.end(body);
                    bodies.swap_remove(index);
                }
                2 => {
                    ledger.complete(body, random.int_in_range(0..=LARGE)?);
                    bodies[index].1 = true;
                }
                _ if is_whole => {}
                _ => {
                    let size = random.int_in_range(1..=LARGE)?;
                    let reserved = ledger.reserve(now, body, size, size);
                    for evicted in reserved.unwrap_or_default() {
                        let evicted = bodies.iter().position(|(id, _)| *id == evicted);
                        let evicted = evicted.expect("a body of the ledger");
                        assert!(!bodies[evicted].1, "a whole body gave way");
                        bodies.swap_remove(evicted);
                    }
                }
            }
            assert!(ledger.used_bytes() <= CAPACITY);
        }
        for (body, _) in bodies {
            ledger.end(body);
        }
        assert_eq!(ledger.used_bytes(), 0);
        Ok(())
    });
}
