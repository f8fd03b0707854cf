//! The lease, kept in the platform, that makes one entry the coordinator.

mod record;

use base::ObjectVersion;
use base::prelude::*;

pub use record::LeaseRecord;

/// Time between two renewals. Each renewal is a call to the platform. Three fit into
/// the validity of a renewal, so two lost ones have no effect.
const RENEW_INTERVAL_MS: u64 = 1_000;

/// Time between two reads of another entry's lease while its holder is silent.
const READ_INTERVAL_MS: u64 = 1_000;

/// Action that the driver of the lease has to perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseStep {
    /// Do nothing for now.
    Wait,
    /// Read the object.
    Read,
    /// Write the record if the object still has this version; create it if there is
    /// none.
    Write {
        /// Record to write.
        record: LeaseRecord,
        /// Version that the object must have; `None` to create the object.
        version: Option<u64>,
    },
}

/// State of the lease as seen by one entry.
///
/// Two coordinators at once could each order an upstream to hold as much as fits. The
/// holder therefore measures the validity of a renewal from *before* it sent the
/// renewal, and stops by its own clock. All other entries measure from *after* they saw
/// the renewal, and wait longer. The clock has to run while the machine is suspended;
/// otherwise a coordinator that resumes still relies on a lease that another entry
/// holds by then.
///
/// A platform that was restored from an older copy has lost the latest renewals, and
/// perhaps an acquisition. Whoever held the lease then may still send orders. So a
/// restored record is waited for as long as one that was renewed when it was first read;
/// only the holder whose lease is still valid need not wait. The next token is above all
/// that earlier generations can have given out.
#[derive(Debug)]
pub struct Lease {
    entry: String,
    started_unix_ms: u64,
    /// Time after a renewal for which its holder may send orders.
    validity_ms: u64,
    /// Minimum time between the last order of one holder and the first order of the
    /// next.
    quiet_ms: u64,
    observed: Option<ObservedLease>,
    /// The newest renewal that its holder announced.
    announced: Option<AnnouncedRenewal>,
    /// The last acquisition or renewal of this process that took effect.
    held: Option<HeldLease>,
    next_at: Instant,
    call_in_flight: bool,
    /// Whether the object may have been overwritten since it was read.
    must_read: bool,
    /// When the lease ended, once it was released. It must not be acquired again.
    released_at: Option<Instant>,
    /// Latest generation of the platform that is known, once there is any.
    generation: Option<u64>,
    /// Whether the platform was restored since this process started.
    has_seen_restore: bool,
    /// Whether other processes of the system may have run before this one.
    is_later_start: bool,
}

/// A renewal that allows this process to send orders.
#[derive(Debug, Clone, Copy)]
struct HeldLease {
    token: u64,
    /// Time until which the orders may be sent.
    until: Instant,
}

/// A renewal that its holder announced, and when it was first received.
#[derive(Debug)]
struct AnnouncedRenewal {
    record: LeaseRecord,
    first_heard_at: Instant,
}

#[derive(Debug, Clone)]
struct ObservedLease {
    record: LeaseRecord,
    /// Version of the object; 0 if there is none.
    version: u64,
    /// Generation of the platform in which this was observed.
    generation: u64,
    since: Instant,
}

impl Lease {
    /// Creates the state of the entry named `entry`, whose process started at
    /// `started_unix_ms`. A renewal allows its holder to send orders for `validity_ms`.
    /// After a holder's last order, no other holder sends orders for at least
    /// `quiet_ms`.
    pub fn new(
        entry: &str,
        started_unix_ms: u64,
        validity_ms: u64,
        quiet_ms: u64,
    ) -> Self {
        Self {
            entry: entry.to_owned(),
            started_unix_ms,
            validity_ms,
            quiet_ms,
            observed: None,
            announced: None,
            held: None,
            next_at: Instant::ZERO,
            call_in_flight: false,
            must_read: false,
            released_at: None,
            generation: None,
            has_seen_restore: false,
            is_later_start: false,
        }
    }

    /// Records that other processes of the system may have run before this one. If the
    /// platform has no record then, it may have lost it.
    pub const fn set_later_start(&mut self) {
        self.is_later_start = true;
    }

    /// Records the generation of the platform that an answer came from.
    pub fn note_generation(&mut self, generation: u64) {
        self.has_seen_restore |=
            self.generation.is_some_and(|known| known < generation);
        self.generation = self.generation.max(Some(generation));
    }

    /// Whether this entry may acquire the lease again without a wait, as its last renewal
    /// is still valid. It sends no orders while the platform names another holder.
    pub fn is_valid(&self, now: Instant) -> bool {
        self.held.is_some_and(|held| now < held.until)
    }

    /// Whether the record is of the holding by which this entry may send orders now. A
    /// restored record may be of an earlier one.
    fn is_held(&self, now: Instant, record: &LeaseRecord) -> bool {
        let held = self.held.filter(|held| now < held.until);
        self.is_own(record) && held.is_some_and(|held| held.token == record.token)
    }

    /// Fencing token for orders, while this entry may send them.
    pub fn token(&self, now: Instant) -> Option<u64> {
        let observed = self.observed.as_ref()?;
        self.is_held(now, &observed.record)
            .then_some(observed.record.token)
    }

    /// Last known holder.
    pub fn holder(&self) -> Option<&str> {
        let observed = self.observed.as_ref()?;
        Some(observed.record.holder.as_str()).filter(|holder| !holder.is_empty())
    }

    /// Handles a message in which the holder announces its last renewal.
    ///
    /// Other entries notice that the holder is silent before they read the object.
    /// Measured from the read, the lease would end that much later than it really does.
    /// The holder announces a renewal only after it was written, when the validity
    /// already runs. So an entry that measures from the first announcement never
    /// acquires the lease too early.
    pub fn on_holder_message(&mut self, now: Instant, record: LeaseRecord) {
        let position = |record: &LeaseRecord| (record.token, record.renewal);
        let known = self.announced.as_ref();
        if known.is_none_or(|known| position(&known.record) < position(&record)) {
            self.announced = Some(AnnouncedRenewal {
                record,
                first_heard_at: now,
            });
        }
    }

    /// Number of the renewal that allows this entry to send orders.
    pub fn held_renewal(&self, now: Instant) -> Option<u64> {
        self.token(now)?;
        self.observed
            .as_ref()
            .map(|observed| observed.record.renewal)
    }

    /// Time until which earlier holders may have sent orders, for an entry whose
    /// process started at `started_at` and that acquires the lease now.
    ///
    /// If the last holder was another entry, it has been quiet for the required time.
    /// An earlier process of the same entry isn't waited for: it may have sent orders
    /// until it ended, which was before this process started. When it was assumed to
    /// have been quiet as well, its recent loads were ordered again within the same
    /// window of the weight store.
    pub fn others_ordered_until(&self, now: Instant, started_at: Instant) -> Instant {
        started_at.max(now - Duration::from_millis(self.quiet_ms))
    }

    /// Returns the next step. `holder_heard` tells whether the holder's messages
    /// arrive, so that its lease need not be read. The driver reports the result with
    /// [`Self::on_read`], [`Self::on_written`], [`Self::on_failed`] or
    /// [`Self::on_uncertain`].
    pub fn next_step(&mut self, now: Instant, holder_heard: bool) -> LeaseStep {
        if self.call_in_flight || now < self.next_at {
            return LeaseStep::Wait;
        }
        let step = match &self.observed {
            None => LeaseStep::Read,
            Some(_) if self.must_read => LeaseStep::Read,
            Some(observed)
                if self.is_held(now, &observed.record)
                    || (self.is_own(&observed.record)
                        && !self.may_be_outdated(observed)) =>
            {
                self.renewal_step(observed)
            }
            // The record that was read is old by now; a write would conflict.
            Some(_) if holder_heard => LeaseStep::Wait,
            Some(observed) if self.can_acquire(observed, now) => {
                self.acquisition_step(observed)
            }
            Some(_) => LeaseStep::Read,
        };
        self.call_in_flight = step != LeaseStep::Wait;
        self.next_at = now.plus_ms(READ_INTERVAL_MS.min(RENEW_INTERVAL_MS));
        step
    }

    /// Handles a read of the object: its version and record, or `None` if there is no
    /// object.
    pub fn on_read(&mut self, now: Instant, found: Option<(u64, LeaseRecord)>) {
        self.call_in_flight = false;
        self.must_read = false;
        match found {
            // No entry has ever held the lease, unless the platform was restored.
            None => self.observe(now, 0, LeaseRecord::default()),
            Some((version, record)) => {
                self.note_generation(ObjectVersion(version).generation());
                self.observe(now, version, record);
            }
        }
        if let Some(observed) = &self.observed {
            let free_at = observed.since.plus_ms(self.wait_ms(observed) + 1);
            let free_at = if self.can_acquire(observed, now) {
                now
            } else {
                free_at
            };
            self.next_at = self.next_at.min(free_at);
        }
    }

    /// Handles a write that took effect with this version and was sent at `sent_at`.
    ///
    /// A write that took effect in another generation than its record names was
    /// conditional on what the platform has lost: the object has to be read.
    pub fn on_written(&mut self, sent_at: Instant, version: u64, record: LeaseRecord) {
        let generation = ObjectVersion(version).generation();
        self.note_generation(generation);
        if record.generation != Some(generation) {
            self.on_uncertain(sent_at);
            return;
        }
        self.call_in_flight = false;
        self.must_read = false;
        let (is_own, token) = (self.is_own(&record), record.token);
        self.observed = Some(ObservedLease {
            record,
            version,
            generation,
            since: sent_at,
        });
        // A renewal that was in flight when the lease was released must not revive it:
        // the holder shuts down, and its successor would wait as long as for a holder
        // that fell silent.
        let held = is_own && self.released_at.is_none();
        self.held = held.then(|| HeldLease {
            token,
            until: sent_at.plus_ms(self.validity_ms),
        });
        self.next_at = sent_at.plus_ms(RENEW_INTERVAL_MS);
    }

    /// Handles a call that had no effect.
    pub fn on_failed(&mut self, now: Instant) {
        self.call_in_flight = false;
        self.next_at = now.plus_ms(RENEW_INTERVAL_MS / 4);
    }

    /// Handles a version conflict, or a write without an answer. The next read tells
    /// who holds the lease.
    ///
    /// A held lease stays valid until its time is over: whatever was written meanwhile
    /// is either this process's own renewal or comes from an entry that waited until
    /// then.
    pub fn on_uncertain(&mut self, now: Instant) {
        self.call_in_flight = false;
        self.must_read = true;
        self.next_at = now;
    }

    /// The next renewal and the version that the object must have for it, while this
    /// entry holds the lease.
    pub fn next_renewal(&self, now: Instant) -> Option<(LeaseRecord, u64)> {
        let observed = self.observed.as_ref()?;
        self.token(now)?;
        Some((self.renewed(observed), observed.version))
    }

    /// Releases the lease: returns the record to write, if the lease is this entry's
    /// own. The entry sends no orders afterwards. If the object has another version by
    /// then, it has to be read and released again.
    ///
    /// The entry may have been unable to renew for a while. Successors wait from the
    /// time at which they see the release. The record tells them how long the lease had
    /// already ended by then, so they don't wait for that time again.
    pub fn release(&mut self, now: Instant) -> Option<(LeaseRecord, u64)> {
        let is_held = self.token(now).is_some();
        let until = self.held.take().map_or(now, |held| held.until);
        let ended_at = *self.released_at.get_or_insert(until.min(now));
        let observed = self.observed.as_ref()?;
        // A restored record may be of an earlier holding than another entry's.
        let is_latest =
            self.is_own(&observed.record) && !self.may_be_outdated(observed);
        if !is_held && !is_latest {
            return None;
        }
        let record = LeaseRecord {
            holder: String::new(),
            start: 0,
            idle_ms: now.ms_since(ended_at),
            ..self.renewed(observed)
        };
        Some((record, observed.version))
    }

    /// Stores the object as read. If the holder announced the same record before, the
    /// time of that announcement counts.
    fn observe(&mut self, now: Instant, version: u64, record: LeaseRecord) {
        let generation = self.generation.unwrap_or_default();
        let unchanged = self.observed.as_ref().is_some_and(|observed| {
            (observed.version, observed.generation) == (version, generation)
                && observed.record == record
        });
        if unchanged {
            return;
        }
        let mut observed = ObservedLease {
            record,
            version,
            generation,
            since: now,
        };
        let announced = self.announced.as_ref();
        let announced = announced
            .filter(|announced| announced.record.is_same_renewal(&observed.record));
        // Later renewals than a restored one may have been announced and not received.
        if let Some(announced) = announced
            && !self.may_be_outdated(&observed)
        {
            observed.since = announced.first_heard_at.min(now);
        }
        self.observed = Some(observed);
    }

    /// Whether the platform may have lost later records than this one.
    ///
    /// A record without a generation counts as restored only if this process has seen
    /// that the platform was.
    const fn may_be_outdated(&self, observed: &ObservedLease) -> bool {
        if observed.version == 0 {
            return self.is_later_start
                || self.has_seen_restore
                || self.announced.is_some();
        }
        match observed.record.generation {
            Some(written_in) => written_in < observed.generation,
            None => self.has_seen_restore,
        }
    }

    /// Whether the record names this process as the holder, rather than another entry
    /// or an earlier process of this one.
    fn is_own(&self, record: &LeaseRecord) -> bool {
        record.holder == self.entry && record.start == self.started_unix_ms
    }

    /// Whether the lease can be acquired. An earlier process of the same entry has
    /// ended, so its successor need not wait for it.
    fn can_acquire(&self, observed: &ObservedLease, now: Instant) -> bool {
        let needs_no_wait = if self.may_be_outdated(observed) {
            self.is_valid(now)
        } else {
            let never_held = observed.record.token == 0;
            never_held || observed.record.holder == self.entry
        };
        needs_no_wait || now.ms_since(observed.since) > self.wait_ms(observed)
    }

    /// Time after which a lease that isn't renewed can be acquired. A released lease
    /// has ended; any other may be valid until its renewal expires.
    const fn wait_ms(&self, observed: &ObservedLease) -> u64 {
        if observed.record.holder.is_empty() && !self.may_be_outdated(observed) {
            self.quiet_ms.saturating_sub(observed.record.idle_ms)
        } else {
            self.validity_ms + self.quiet_ms
        }
    }

    /// The last number that a token or renewal may have had, given that of an observed
    /// record. Numbers of lost records must not be given out again: each was at most the
    /// version of its object, and the version of a restored object is above.
    fn last_number(&self, observed: &ObservedLease, number: u64) -> u64 {
        if !self.may_be_outdated(observed) {
            return number;
        }
        let generation_start = ObjectVersion::new(observed.generation, 0).0;
        number.max(observed.version).max(generation_start)
    }

    /// The record of the next renewal of an observed lease.
    fn renewed(&self, observed: &ObservedLease) -> LeaseRecord {
        LeaseRecord {
            renewal: self.last_number(observed, observed.record.renewal) + 1,
            generation: Some(observed.generation),
            ..observed.record.clone()
        }
    }

    /// The write that renews this entry's lease.
    fn renewal_step(&self, observed: &ObservedLease) -> LeaseStep {
        LeaseStep::Write {
            record: self.renewed(observed),
            version: Some(observed.version),
        }
    }

    /// The write that acquires the lease with the next token.
    fn acquisition_step(&self, observed: &ObservedLease) -> LeaseStep {
        LeaseStep::Write {
            record: LeaseRecord {
                holder: self.entry.clone(),
                start: self.started_unix_ms,
                token: self.last_number(observed, observed.record.token) + 1,
                idle_ms: 0,
                ..self.renewed(observed)
            },
            version: (observed.version > 0).then_some(observed.version),
        }
    }
}
