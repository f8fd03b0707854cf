//! Calls to the platform of whole fleets of different sizes, without network: the
//! shared watch, and the lease at a start and when its holder is lost.
//!
//! Both answer the same pattern: something that each entry does for itself when it
//! receives nothing costs calls in proportion to the entries.

use crate::support::at;
use direct::{
    ChangedObject, Lease, LeaseCandidate, LeaseRecord, LeaseStep, SharedWatch,
    WatchBatch,
};

const FAILURE_DOMAINS: usize = 5;

/// Interval of a leader's watches, and of the messages between entries.
const WATCH_MS: u64 = 800;
const MESSAGE_MS: u64 = 1_350;

/// One datagram in this many is lost.
const LOSS: u64 = 100;

/// Own watches of all followers of a fleet in a minute in which fifty records change
/// each second.
fn follower_watches(entries: usize) -> usize {
    let followers = entries / FAILURE_DOMAINS - 1;
    let mut leaders: Vec<SharedWatch> =
        (0..FAILURE_DOMAINS).map(|_| listed()).collect();
    let mut domains: Vec<Vec<SharedWatch>> = (0..FAILURE_DOMAINS)
        .map(|_| (0..followers).map(|_| listed()).collect())
        .collect();
    let (mut watches, mut random) = (0, 1_u64);
    for ms in (50..60_000).step_by(50) {
        let now = at(ms);
        let version = version_at(ms);
        for (index, leader) in leaders.iter_mut().enumerate() {
            // Leaders don't watch at the same moment.
            let phase = (ms + index as u64 * 150) % WATCH_MS;
            if phase < 50 {
                watch(leader, ms);
            }
        }
        for (index, domain) in domains.iter_mut().enumerate() {
            for (position, follower) in domain.iter_mut().enumerate() {
                let mut arrives = || {
                    random = random.wrapping_mul(6_364_136_223_846_793_005) + 1;
                    !(random >> 33).is_multiple_of(LOSS)
                };
                if (ms + index as u64 * 150) % WATCH_MS < 50 && arrives() {
                    follower.receive(now, leaders[index].outgoing());
                }
                for (number, leader) in leaders.iter().enumerate() {
                    let phase =
                        (ms + (number * 270 + position * 37) as u64) % MESSAGE_MS;
                    if phase < 50 && arrives() {
                        let claim = leader.claim().expect("it has listed");
                        let confirmed_at =
                            leader.confirmed_at().expect("it has listed");
                        let name = format!("leader-{number}");
                        follower.on_claim(now, &name, confirmed_at, claim);
                    }
                }
                if !follower.can_skip_own_watch(now) {
                    watches += 1;
                    let after = follower.resume_version();
                    follower.on_watched(now, changes(after, version));
                    // What it watched itself counts as confirmed.
                    let empty = changes(version, version);
                    follower.receive(now, vec![empty]);
                }
            }
        }
    }
    watches
}

fn listed() -> SharedWatch {
    let mut shared = SharedWatch::new();
    shared.on_listed(at(0), 0, &[]);
    shared
}

/// Fifty changes a second, but for every third second, in which nothing changes.
fn version_at(ms: u64) -> u64 {
    let busy_ms = ms / 3_000 * 2_000 + (ms % 3_000).min(2_000);
    busy_ms / 20
}

fn watch(leader: &mut SharedWatch, ms: u64) {
    let after = leader.resume_version();
    leader.on_watched(at(ms), changes(after, version_at(ms)));
}

fn changes(after_version: u64, to_version: u64) -> WatchBatch {
    let objects = (after_version + 1..=to_version).map(|version| ChangedObject {
        key: format!("servers/{}", version % 600),
        version,
        value: vec![1],
        content_hash: version,
    });
    WatchBatch {
        after_version,
        to_version,
        objects: objects.collect(),
        is_partial: false,
    }
}

/// Guards against watches that each entry makes for itself: a follower makes one only
/// when two datagrams in a row are lost.
#[test]
fn a_follower_hardly_watches_whatever_the_size_of_the_fleet() {
    for entries in [30, 380] {
        let followers = entries - FAILURE_DOMAINS;
        let watches = follower_watches(entries);
        assert!(
            watches <= followers * 3,
            "{watches} of {followers} followers"
        );
    }
}

/// The lease object and the calls that were made for it.
#[derive(Debug, Default)]
struct LeaseObject {
    version: u64,
    record: Option<LeaseRecord>,
    calls: usize,
}

impl LeaseObject {
    fn perform(&mut self, lease: &mut Lease, ms: u64, holder_heard: bool) {
        let now = at(ms);
        match lease.next_step(now, holder_heard) {
            LeaseStep::Wait => {}
            LeaseStep::Read => {
                self.calls += 1;
                let found = self.record.clone().map(|record| (self.version, record));
                lease.on_read(now, found);
            }
            LeaseStep::Write { record, version } => {
                self.calls += 1;
                let matches = match version {
                    None => self.record.is_none(),
                    Some(version) => version == self.version,
                };
                if matches {
                    self.version += 1;
                    self.record = Some(record.clone());
                    lease.on_written(now, self.version, record);
                } else {
                    lease.on_uncertain(now);
                }
            }
        }
    }
}

/// Calls for the lease in which all entries start at once and, after half a minute, the
/// holder is lost for good; and the time for which nobody holds it then.
fn lease_calls(entries: usize) -> (usize, u64) {
    const LOST_AT_MS: u64 = 30_000;
    let mut object = LeaseObject::default();
    let mut leases: Vec<Option<Lease>> = (0..entries)
        .map(|number| Some(Lease::new(&format!("{number:04}"), 1, 5_000, 3_000)))
        .collect();
    let (mut heard_at, mut lost_ms) = (None, 0);
    for ms in (100..60_000).step_by(100) {
        let holder = (0..entries).find(|number| {
            let lease = leases[*number].as_ref();
            lease.is_some_and(|lease| lease.token(at(ms)).is_some())
        });
        match holder {
            Some(holder) if ms == LOST_AT_MS => leases[holder] = None,
            Some(_) => heard_at = Some(ms),
            None if ms > LOST_AT_MS => lost_ms += 100,
            None => {}
        }
        let mut live_before = 0;
        for lease in &mut leases {
            let Some(lease) = lease else {
                continue;
            };
            let holds = lease.token(at(ms)).is_some();
            let silent_ms = heard_at.map(|heard_at| ms - heard_at);
            let name = holder.map(|holder| format!("{holder:04}"));
            let holder_heard = name.is_some() && lease.holder() == name.as_deref();
            let candidate = LeaseCandidate {
                live_before: if ms < 1_500 { 0 } else { live_before },
                listed_before: (ms > 700).then_some(live_before),
                up_ms: ms,
                holder_heard,
                coordinator_silent_ms: silent_ms,
            };
            live_before += 1;
            if holds || candidate.may_act() {
                object.perform(lease, ms, holder_heard && !holds);
            }
        }
    }
    (object.calls, lost_ms)
}

/// Guards against every entry reading and writing the lease when all start, while its
/// holder sends messages, and when the holder is lost.
#[test]
fn calls_for_the_lease_do_not_grow_with_the_entries() {
    let (few, lost_few_ms) = lease_calls(30);
    let (many, lost_many_ms) = lease_calls(1_300);
    assert_eq!(many, few);
    // One renewal a second, and three candidates that read while it is free.
    assert!(many <= 60 + 3 * 20, "{many}");
    for lost_ms in [lost_few_ms, lost_many_ms] {
        assert!((6_000..=10_000).contains(&lost_ms), "{lost_ms}");
    }
}
