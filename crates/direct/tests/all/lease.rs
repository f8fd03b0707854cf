//! One giver of orders at a time, whatever the platform does.

use crate::support::{at, cases, engine};
use arbtest::arbitrary;
use base::prelude::*;
use direct::{EngineSpec, Lease, LeaseRecord, LeaseStep, LoadPlanner};

const VALID_MS: u64 = 5_000;
const QUIET_MS: u64 = 3_000;

/// The object in the platform: its version and content.
#[derive(Debug, Default, Clone)]
struct Store {
    version: u64,
    record: Option<LeaseRecord>,
}

impl Store {
    fn write(&mut self, record: &LeaseRecord, version: Option<u64>) -> Option<u64> {
        let matches = match version {
            None => self.record.is_none(),
            Some(version) => self.record.is_some() && self.version == version,
        };
        if !matches {
            return None;
        }
        self.version += 1;
        self.record = Some(record.clone());
        Some(self.version)
    }
}

fn lease(entry: &str, start: u64) -> Lease {
    Lease::new(entry, start, VALID_MS, QUIET_MS)
}

/// A renewal as its holder tells of it.
fn renewed(holder: &str, start: u64, token: u64, renewal: u64) -> LeaseRecord {
    LeaseRecord {
        holder: holder.to_owned(),
        start,
        token,
        renewal,
        idle_ms: 0,
    }
}

/// Carries a step out at once, with answers that arrive.
fn carry_out(lease: &mut Lease, store: &mut Store, now: Instant, heard: bool) {
    match lease.next_step(now, heard) {
        LeaseStep::Wait => {}
        LeaseStep::Read => {
            let found = store.record.clone().map(|record| (store.version, record));
            lease.on_read(now, found);
        }
        LeaseStep::Write { record, version } => match store.write(&record, version) {
            Some(version) => lease.on_written(now, version, record),
            None => lease.on_uncertain(now),
        },
    }
}

fn run(lease: &mut Lease, store: &mut Store, from_ms: u64, to_ms: u64) {
    for ms in (from_ms..to_ms).step_by(100) {
        carry_out(lease, store, at(ms), false);
    }
}

#[test]
fn the_first_entry_gets_the_lease_at_once_and_keeps_it() {
    let mut store = Store::default();
    let mut first = lease("one", 1);
    run(&mut first, &mut store, 0, 300);
    assert_eq!(first.token(at(300)), Some(1));
    run(&mut first, &mut store, 300, 60_000);
    assert_eq!(first.token(at(60_000)), Some(1));
}

/// The giver dies. Its last order may have left just before its lease ended, so
/// the next giver orders only when that lease has ended and the quiet time after
/// it is over.
#[test]
fn a_successor_waits_out_the_lease_and_the_quiet_time() {
    let mut store = Store::default();
    let (mut first, mut second) = (lease("one", 1), lease("two", 2));
    run(&mut first, &mut store, 0, 1_000);
    let mut began_at = None;
    for ms in (1_000..30_000).step_by(100) {
        carry_out(&mut second, &mut store, at(ms), false);
        if second.token(at(ms)).is_some() {
            began_at = Some(ms);
            break;
        }
    }
    let began_at = began_at.expect("the second entry takes over");
    assert!(first.token(at(began_at - QUIET_MS)).is_none());
    assert!(began_at < 12_000, "{began_at}");
    assert_eq!(second.token(at(began_at)), Some(2));
}

#[test]
fn a_lease_that_was_given_back_is_taken_after_the_quiet_time() {
    let mut store = Store::default();
    let (mut first, mut second) = (lease("one", 1), lease("two", 2));
    run(&mut first, &mut store, 0, 1_000);
    let (record, version) = first.release(at(1_000)).expect("it holds the lease");
    assert_eq!(first.token(at(1_000)), None);
    store
        .write(&record, Some(version))
        .expect("nobody else wrote");
    run(&mut second, &mut store, 1_000, 1_000 + QUIET_MS);
    assert_eq!(second.token(at(1_000 + QUIET_MS)), None);
    run(&mut second, &mut store, 1_000 + QUIET_MS, 6_500);
    assert_eq!(second.token(at(6_500)), Some(2));
}

/// A holder stops while its renewal is under way: it gives the lease back by the
/// version that it knows, and the renewal's answer comes after that. It must not
/// order again, and gives back once more by the newer version, so that its
/// successor need not wait as for one that fell silent.
#[test]
fn a_renewal_under_way_does_not_undo_that_the_lease_is_given_back() {
    let mut store = Store::default();
    let (mut first, mut second) = (lease("one", 1), lease("two", 2));
    run(&mut first, &mut store, 0, 1_000);
    let (renewal, version) = first.next_renewal(at(1_000)).expect("it holds the lease");
    let renewed = store
        .write(&renewal, Some(version))
        .expect("nobody else wrote");
    let (record, version) = first.release(at(1_000)).expect("it holds the lease");
    assert_eq!(store.write(&record, Some(version)), None);
    first.on_written(at(1_000), renewed, renewal);
    first.on_uncertain(at(1_010));
    assert_eq!(first.token(at(1_020)), None);
    let (record, version) = first.release(at(1_000)).expect("it is still its own");
    let given = store
        .write(&record, Some(version))
        .expect("nobody else wrote");
    first.on_written(at(1_030), given, record);
    assert_eq!(first.release(at(1_000)), None);
    run(&mut second, &mut store, 1_100, 1_200 + QUIET_MS + 1_000);
    assert_eq!(second.token(at(1_200 + QUIET_MS + 1_000)), Some(2));
}

/// The giver dies, and others learn of its silence seconds later. They heard the number
/// of its last renewal when it was written, so they count from then.
#[test]
fn a_renewal_that_was_heard_counts_from_its_telling() {
    let mut store = Store::default();
    let (mut first, mut second) = (lease("one", 1), lease("two", 2));
    run(&mut first, &mut store, 0, 1_000);
    let renewal = first.held_renewal(at(1_000)).expect("it holds the lease");
    second.on_holder_message(at(1_000), renewed("one", 1, 1, renewal));
    run(&mut second, &mut store, 3_500, 1_000 + VALID_MS + QUIET_MS);
    assert_eq!(second.token(at(1_000 + VALID_MS + QUIET_MS)), None);
    run(&mut second, &mut store, 9_000, 9_400);
    assert_eq!(second.token(at(9_400)), Some(2));
}

/// The platform is away, the giver's lease ends meanwhile, and it is stopped. What it
/// gives back seconds later is long out of use, and nobody waits for it again.
#[test]
fn a_lease_that_had_ended_when_it_was_given_back_is_taken_at_once() {
    let mut store = Store::default();
    let (mut first, mut second) = (lease("one", 1), lease("two", 2));
    run(&mut first, &mut store, 0, 1_000);
    let ends_ms = (1..20_000).find(|ms| first.token(at(*ms)).is_none());
    let ends_ms = ends_ms.expect("nobody renews it");
    let late_ms = ends_ms + QUIET_MS - 200;
    let (record, version) = first.release(at(late_ms)).expect("it is its own");
    assert_eq!(record.idle_ms, QUIET_MS - 200);
    store
        .write(&record, Some(version))
        .expect("nobody else wrote");
    carry_out(&mut second, &mut store, at(late_ms), false);
    run(&mut second, &mut store, late_ms + 100, late_ms + 200);
    assert_eq!(second.token(at(late_ms + 200)), None);
    run(&mut second, &mut store, late_ms + 200, late_ms + 500);
    assert_eq!(second.token(at(late_ms + 500)), Some(2));
}

#[test]
fn the_same_entry_started_again_takes_the_lease_at_once() {
    let mut store = Store::default();
    let mut first = lease("one", 1);
    run(&mut first, &mut store, 0, 1_000);
    let mut again = lease("one", 2);
    run(&mut again, &mut store, 1_500, 1_900);
    assert_eq!(again.token(at(1_900)), Some(2));
}

/// All entries are killed right after the leader has loaded all that the weight store's
/// window allows. It starts again, takes its own lease without waiting, and callers wait
/// for other models: none may be loaded before the window of its earlier process is over.
#[test]
fn a_leader_that_starts_again_counts_what_its_earlier_process_may_have_loaded() {
    const WINDOW_MS: u64 = 5_000;
    let mut store = Store::default();
    let mut first = lease("one", 1);
    run(&mut first, &mut store, 0, 1_000);
    let started_at = at(1_500);
    let mut again = lease("one", 2);
    run(&mut again, &mut store, 1_600, 1_900);
    assert_eq!(again.token(at(1_900)), Some(2));
    let engine: EngineSpec = engine(&["a"]);
    let mut moves = LoadPlanner::new(WINDOW_MS);
    moves.assume_window_spent(
        again.others_ordered_until(at(1_900), started_at),
        &engine,
    );
    assert_eq!(
        moves.store_loads_left(at(1_500 + WINDOW_MS - 1), &engine),
        0
    );
    assert!(moves.store_loads_left(at(1_500 + WINDOW_MS), &engine) > 0);
}

/// Another entry's lease ran out long ago and it was quiet since: nothing more is
/// assumed of it than the quiet time leaves.
#[test]
fn a_leader_that_takes_over_counts_the_quiet_time() {
    let second = lease("two", 2);
    let until = second.others_ordered_until(at(50_000), at(0));
    assert_eq!(until, at(50_000 - QUIET_MS));
}

/// A renewal is written and its answer is lost. The holder goes on ordering: the
/// object is its own, and nobody takes over before its time.
#[test]
fn a_renewal_without_an_answer_does_not_end_the_lease() {
    let mut store = Store::default();
    let mut first = lease("one", 1);
    run(&mut first, &mut store, 0, 1_000);
    let lost = (1_000..3_000).step_by(100).find(|ms| {
        let LeaseStep::Write { record, version } = first.next_step(at(*ms), false)
        else {
            return false;
        };
        store.write(&record, version);
        first.on_uncertain(at(*ms));
        true
    });
    let lost = lost.expect("it renews once a second");
    assert_eq!(first.token(at(lost)), Some(1));
    run(&mut first, &mut store, lost + 100, 20_000);
    assert_eq!(first.token(at(20_000)), Some(1));
}

/// A call under way: what it does and when, and whether its answer is lost.
#[derive(Debug)]
struct Call {
    entry: usize,
    sent_at: u64,
    done_at: u64,
    answered: bool,
    step: LeaseStep,
}

/// What a holder tells another entry, and when that is heard.
#[derive(Debug)]
struct Told {
    at_ms: u64,
    from: usize,
    start: u64,
    renewal: (u64, u64),
    to: usize,
}

/// Three entries, and a platform that is away, slow, loses answers and carries
/// calls out seconds late, while entries freeze, start again, give the lease back and
/// hear of one another's renewals. In every run,
/// between the last moment at which one entry may order and the first at which
/// another may lie at least the quiet time, and tokens only grow.
#[test]
fn no_two_entries_order_within_the_quiet_time() {
    cases(300, |random| {
        let mut store = Store::default();
        let mut leases: Vec<Lease> = (0..3)
            .map(|entry| lease(&format!("e{entry}"), entry))
            .collect();
        let mut frozen_until = [0u64; 3];
        let mut calls: Vec<Call> = Vec::new();
        let mut last: Option<(usize, u64, u64)> = None;
        let mut starts = [0, 1, 2];
        let mut told: Vec<Told> = Vec::new();
        for step in 0..400u64 {
            let ms = step * 150;
            told.retain(|told| {
                if told.at_ms > ms || frozen_until[told.to] > ms {
                    return true;
                }
                let holder = format!("e{}", told.from);
                let (token, renewal) = told.renewal;
                let record = renewed(&holder, told.start, token, renewal);
                leases[told.to].on_holder_message(at(ms), record);
                false
            });
            let mut due = std::mem::take(&mut calls);
            due.sort_by_key(|call| call.done_at);
            for call in due {
                if call.done_at > ms {
                    calls.push(call);
                } else {
                    finish(&mut leases, &mut store, &call, ms);
                }
            }
            for entry in 0..3usize {
                if frozen_until[entry] > ms {
                    continue;
                }
                if random.ratio(1, 150)? {
                    frozen_until[entry] = ms + random.int_in_range(500..=9_000)?;
                    continue;
                }
                if random.ratio(1, 300)? {
                    starts[entry] = 1_000 + step;
                    leases[entry] = lease(&format!("e{entry}"), starts[entry]);
                    calls.retain(|call| call.entry != entry || !call.answered);
                }
                if let Some(token) = leases[entry].token(at(ms)) {
                    if let Some((other, at_ms, before)) = last {
                        assert!(token >= before, "token fell");
                        if other != entry {
                            assert!(
                                ms - at_ms >= QUIET_MS,
                                "{other} {entry} {ms} {at_ms}"
                            );
                            assert!(token > before, "one token, two holders");
                        }
                    }
                    last = Some((entry, ms, token));
                    let renewal = leases[entry].held_renewal(at(ms)).expect("it holds");
                    for to in (0..3).filter(|to| *to != entry) {
                        let takes_ms = random.int_in_range(1..=1_500)?;
                        told.push(Told {
                            at_ms: ms + takes_ms,
                            from: entry,
                            start: starts[entry],
                            renewal: (token, renewal),
                            to,
                        });
                    }
                }
                if random.ratio(1, 400)?
                    && let Some((record, version)) = leases[entry].release(at(ms))
                {
                    let step = LeaseStep::Write {
                        record,
                        version: Some(version),
                    };
                    calls.push(call(random, entry, ms, step)?);
                }
                let next = leases[entry].next_step(at(ms), false);
                if next != LeaseStep::Wait {
                    calls.push(call(random, entry, ms, next)?);
                }
            }
        }
        Ok(())
    });
}

fn call(
    random: &mut arbitrary::Unstructured<'_>,
    entry: usize,
    ms: u64,
    step: LeaseStep,
) -> arbitrary::Result<Call> {
    let late = random.ratio(1, 6)?;
    let takes = if late {
        random.int_in_range(500..=6_000)?
    } else {
        random.int_in_range(1..=200)?
    };
    Ok(Call {
        entry,
        sent_at: ms,
        done_at: ms + takes,
        answered: !late,
        step,
    })
}

fn finish(leases: &mut [Lease], store: &mut Store, call: &Call, ms: u64) {
    let lease = &mut leases[call.entry];
    match &call.step {
        LeaseStep::Wait => {}
        LeaseStep::Read if call.answered => {
            let found = store.record.clone().map(|record| (store.version, record));
            lease.on_read(at(ms), found);
        }
        LeaseStep::Read => lease.on_failed(at(ms)),
        LeaseStep::Write { record, version } => {
            let written = store.write(record, *version);
            match written {
                _ if !call.answered => lease.on_uncertain(at(ms)),
                Some(version) => {
                    lease.on_written(at(call.sent_at), version, record.clone());
                }
                None => lease.on_uncertain(at(ms)),
            }
        }
    }
}
