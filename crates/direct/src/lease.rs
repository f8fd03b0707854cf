//! One giver of orders, by a lease in the platform.

use base::prelude::*;
use serde::{Deserialize, Serialize};

/// Time between two renewals. Each is a call to the platform; three fit into
/// the time for which a renewal is good, so two lost ones change nothing.
const RENEW_INTERVAL_MS: u64 = 1_000;

/// Time between two looks at another's lease while its holder is not heard.
const READ_INTERVAL_MS: u64 = 1_000;

/// The lease as it is kept in the platform.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Entry that holds it; empty when it was given back.
    pub holder: String,
    /// Start of the holder's process, so that a restart is told from its
    /// predecessor.
    pub start: u64,
    /// Number of the holding; orders carry it, and it only grows.
    pub token: u64,
    /// Counts renewals, so that each write changes the object.
    pub renewal: u64,
    /// Time for which its last holder had not ordered any more when it gave it back.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub idle_ms: u64,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "as serde asks for it")]
const fn is_zero(value: &u64) -> bool {
    *value == 0
}

/// Holder of a record that can't be read. No entry has this name.
const UNREADABLE_HOLDER: &str = "\0";

impl LeaseRecord {
    /// What an object at a version is taken for, whose record can't be read.
    ///
    /// Taken for a lease that nobody ever held, it would be taken at once and with
    /// the first token: two entries would order, and upstreams would refuse the
    /// newer one. It counts as held by somebody who is not heard, and as the highest
    /// holding that can have been: each is a write, and each write a version.
    pub fn unreadable(version: u64) -> Self {
        Self {
            holder: UNREADABLE_HOLDER.to_owned(),
            start: 0,
            token: version,
            renewal: version,
            idle_ms: 0,
        }
    }

    /// Whether a record can be what entries made of the object by this version.
    pub const fn is_plausible(&self, version: u64) -> bool {
        self.token <= version && self.renewal <= version
    }
}

/// What the shell is to do for the lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseStep {
    /// Nothing before a time.
    Wait,
    /// Read the object.
    Read,
    /// Write the record if the object still has this version; create it if
    /// there is none.
    Write {
        /// What to write.
        record: LeaseRecord,
        /// Version that must hold; `None` to create.
        version: Option<u64>,
    },
}

/// The lease as one entry sees it.
///
/// Two givers at once would each order what the upstream can hold alone. A
/// holder counts its time from *before* it sent the renewal, and stops by its own
/// clock; all others count theirs from *after* they saw the renewal, and wait
/// longer. The clock has to go on while the machine is suspended: else a giver
/// that wakes up believes in a lease that another holds by then.
#[derive(Debug)]
pub struct Lease {
    entry: String,
    start: u64,
    /// Time for which a renewal lets its holder order.
    validity_ms: u64,
    /// Time between the last order of one holder and the first of the next.
    quiet_ms: u64,
    observed: Option<ObservedLease>,
    /// The newest renewal that its holder told of, and when that was first heard.
    announced: Option<AnnouncedRenewal>,
    /// Until when this process may order.
    valid_until: Option<Instant>,
    next_at: Instant,
    call_in_flight: bool,
    /// What was seen may have been overwritten.
    must_read: bool,
    /// When it ended, once it is given back. It must not be held again.
    released_at: Option<Instant>,
}

/// A renewal that its holder told of, and when that was first heard.
#[derive(Debug)]
struct AnnouncedRenewal {
    record: LeaseRecord,
    first_heard_at: Instant,
}

#[derive(Debug, Clone)]
struct ObservedLease {
    record: LeaseRecord,
    version: u64,
    since: Instant,
}

impl Lease {
    /// The lease as seen by the entry `me`; after its last order, no other
    /// holder orders for at least `quiet_ms`.
    pub fn new(me: &str, start: u64, valid_ms: u64, quiet_ms: u64) -> Self {
        Self {
            entry: me.to_owned(),
            start,
            validity_ms: valid_ms,
            quiet_ms,
            observed: None,
            announced: None,
            valid_until: None,
            next_at: Instant::ZERO,
            call_in_flight: false,
            must_read: false,
            released_at: None,
        }
    }

    /// The token to order with, while this entry may order.
    pub fn token(&self, now: Instant) -> Option<u64> {
        let until = self.valid_until?;
        let seen = self.observed.as_ref()?;
        (now < until && self.is_own(&seen.record)).then_some(seen.record.token)
    }

    /// Holder that was last seen.
    pub fn holder(&self) -> Option<&str> {
        let seen = self.observed.as_ref()?;
        Some(seen.record.holder.as_str()).filter(|holder| !holder.is_empty())
    }

    /// The holder tells the number of its last renewal.
    ///
    /// A holder that falls silent is missed before the object is read, and counted
    /// from the reading its lease would end that much later than it does. It told of
    /// the renewal when that was written, and its time ran by then: counted from the
    /// first telling, nobody begins earlier than after the same wait.
    pub fn on_holder_message(&mut self, now: Instant, record: LeaseRecord) {
        let number = |record: &LeaseRecord| (record.token, record.renewal);
        let known = self.announced.as_ref();
        if known.is_none_or(|known| number(&known.record) < number(&record)) {
            self.announced = Some(AnnouncedRenewal {
                record,
                first_heard_at: now,
            });
        }
    }

    /// Number of the renewal by which this entry may order.
    pub fn held_renewal(&self, now: Instant) -> Option<u64> {
        self.token(now)?;
        self.observed.as_ref().map(|seen| seen.record.renewal)
    }

    /// Until when earlier holders may have ordered, for this entry whose process began
    /// at `started_at` and that takes the lease now.
    ///
    /// Another entry has been quiet for the time that the rule asks. This entry's own
    /// earlier process is not waited for; it ordered until it ended, which was before
    /// this one began. Taken for quiet as well, what it had just loaded was loaded once
    /// more within the weight store's window.
    pub fn others_ordered_until(&self, now: Instant, started_at: Instant) -> Instant {
        started_at.max(now - Duration::from_millis(self.quiet_ms))
    }

    /// The next step; the shell tells what came of it by [`Self::read`],
    /// [`Self::written`] or [`Self::failed`].
    pub fn next_step(&mut self, now: Instant, holder_heard: bool) -> LeaseStep {
        if self.call_in_flight || now < self.next_at {
            return LeaseStep::Wait;
        }
        let step = match &self.observed {
            None => LeaseStep::Read,
            Some(_) if self.must_read => LeaseStep::Read,
            Some(seen) if self.is_own(&seen.record) => self.renewal_step(seen),
            Some(seen) if self.can_acquire(seen, now) => self.acquisition_step(seen),
            Some(_) if holder_heard => LeaseStep::Wait,
            Some(_) => LeaseStep::Read,
        };
        self.call_in_flight = step != LeaseStep::Wait;
        self.next_at = now.plus_ms(READ_INTERVAL_MS.min(RENEW_INTERVAL_MS));
        step
    }

    /// The object was read: its version and record, or none.
    pub fn on_read(&mut self, now: Instant, found: Option<(u64, LeaseRecord)>) {
        self.call_in_flight = false;
        self.must_read = false;
        let Some((version, record)) = found else {
            // Nobody ever held it.
            self.observe(now, 0, LeaseRecord::default());
            self.next_at = now;
            return;
        };
        self.observe(now, version, record);
        if let Some(seen) = &self.observed {
            let free_at = seen.since.plus_ms(self.wait_ms(&seen.record) + 1);
            let free_at = if self.can_acquire(seen, now) {
                now
            } else {
                free_at
            };
            self.next_at = self.next_at.min(free_at);
        }
    }

    /// A write took effect with this version. It was sent at `sent_at`.
    pub fn on_written(&mut self, sent_at: Instant, version: u64, record: LeaseRecord) {
        self.call_in_flight = false;
        self.must_read = false;
        let mine = self.is_own(&record);
        self.observed = Some(ObservedLease {
            record,
            version,
            since: sent_at,
        });
        // A renewal that was under way when the lease was given back must not
        // bring it to life: its holder ends, and its successor would wait as long
        // as for one that fell silent.
        let held = mine && self.released_at.is_none();
        self.valid_until = held.then(|| sent_at.plus_ms(self.validity_ms));
        self.next_at = sent_at.plus_ms(RENEW_INTERVAL_MS);
    }

    /// A call had no effect.
    pub fn on_failed(&mut self, now: Instant) {
        self.call_in_flight = false;
        self.next_at = now.plus_ms(RENEW_INTERVAL_MS / 4);
    }

    /// The object had another version, or a write got no answer: the next read
    /// tells who holds it.
    ///
    /// A lease that was held stays good until its time is over: what may have
    /// been written meanwhile is this process's own renewal, or was written by
    /// somebody who waited until that time.
    pub fn on_uncertain(&mut self, now: Instant) {
        self.call_in_flight = false;
        self.must_read = true;
        self.next_at = now;
    }

    /// The next renewal and the version that the object must have for it, while
    /// this entry holds the lease.
    pub fn next_renewal(&self, now: Instant) -> Option<(LeaseRecord, u64)> {
        let seen = self.observed.as_ref()?;
        self.token(now)?;
        let record = LeaseRecord {
            renewal: seen.record.renewal + 1,
            ..seen.record.clone()
        };
        Some((record, seen.version))
    }

    /// The record that gives the lease back, while it is this entry's own. It
    /// does not order afterwards. Where the object has another version by then,
    /// it is read and given back again.
    ///
    /// It may have been unable to renew for a while. Successors wait from when they see
    /// that it was given back; told for how long it had ended by then, they need not
    /// wait for that time once more.
    pub fn release(&mut self, now: Instant) -> Option<(LeaseRecord, u64)> {
        let until = self.valid_until.take().unwrap_or(now);
        let ended_at = *self.released_at.get_or_insert(until.min(now));
        let seen = self.observed.as_ref()?;
        if !self.is_own(&seen.record) {
            return None;
        }
        let record = LeaseRecord {
            holder: String::new(),
            start: 0,
            renewal: seen.record.renewal + 1,
            idle_ms: now.ms_since(ended_at),
            ..seen.record.clone()
        };
        Some((record, seen.version))
    }

    fn observe(&mut self, now: Instant, version: u64, record: LeaseRecord) {
        let unchanged = self
            .observed
            .as_ref()
            .is_some_and(|seen| seen.version == version && seen.record == record);
        if unchanged {
            return;
        }
        let heard = self.announced.as_ref();
        let heard = heard.filter(|heard| heard.record == record);
        self.observed = Some(ObservedLease {
            since: heard.map_or(now, |heard| heard.first_heard_at.min(now)),
            record,
            version,
        });
    }

    fn is_own(&self, record: &LeaseRecord) -> bool {
        record.holder == self.entry && record.start == self.start
    }

    /// Whether the lease can be taken. The same entry's earlier process has
    /// ended, so its successor need not wait for it.
    fn can_acquire(&self, seen: &ObservedLease, now: Instant) -> bool {
        let never_held = seen.record.token == 0;
        never_held
            || seen.record.holder == self.entry
            || now.ms_since(seen.since) > self.wait_ms(&seen.record)
    }

    /// Time after which a lease that is not renewed can be taken. One that was
    /// given back has ended; one that was not may be good until its renewal
    /// ends.
    const fn wait_ms(&self, record: &LeaseRecord) -> u64 {
        if record.holder.is_empty() {
            self.quiet_ms.saturating_sub(record.idle_ms)
        } else {
            self.validity_ms + self.quiet_ms
        }
    }

    fn renewal_step(&self, seen: &ObservedLease) -> LeaseStep {
        LeaseStep::Write {
            record: LeaseRecord {
                renewal: seen.record.renewal + 1,
                ..seen.record.clone()
            },
            version: Some(seen.version),
        }
    }

    fn acquisition_step(&self, seen: &ObservedLease) -> LeaseStep {
        LeaseStep::Write {
            record: LeaseRecord {
                holder: self.entry.clone(),
                start: self.start,
                token: seen.record.token + 1,
                renewal: seen.record.renewal + 1,
                idle_ms: 0,
            },
            version: (seen.version > 0).then_some(seen.version),
        }
    }
}
