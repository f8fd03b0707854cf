//! The agent's epoch and the intents of its orders, stored in the platform
//! under `agents/<id>`.
//!
//! Every write is conditional on the version last seen. Of two agents beside
//! one upstream, only the one that took the later epoch can therefore still
//! record an intent. No order is sent before its intent is recorded, so the
//! older agent sends no order that its successor does not count.

use super::AgentAction;
use super::platform_client::{Backoff, PlatformClient};
use base::{
    FencingEpoch, Incarnation, Instant, ObjectVersion, PlatformOp, PlatformResult,
    Precondition,
};
use prost::Message as _;
use schema::store::{AgentRecord, Intent};

#[derive(Debug)]
enum Call {
    Read,
    Write(Box<AgentRecord>),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// The epoch has not been taken yet.
    AcquiringEpoch,
    /// This process holds the epoch.
    EpochHeld,
    /// A successor has taken a higher epoch.
    Fenced,
}

/// Meaning of a platform answer for the rest of the state machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RecordOutcome {
    /// No other module needs to react.
    Nothing,
    /// This process now holds the epoch, and knows the intents that its
    /// predecessors left.
    EpochTaken,
    /// The content of the record is known.
    Recorded,
    /// A write certainly had no effect.
    NotWritten,
    /// A successor has taken over.
    Fenced,
    /// The record can't be decoded; nothing is changed, as its content is
    /// unknown.
    Undecodable,
}

/// Client of this agent's record in the platform.
#[derive(Debug)]
pub(super) struct EpochRecord {
    key: String,
    incarnation: Incarnation,
    link_address: String,
    phase: Phase,
    epoch: FencingEpoch,
    version: Option<ObjectVersion>,
    intents: Vec<Intent>,
    call: Option<(u64, Call)>,
    /// The record must be read before any further order is sent.
    needs_read: bool,
    backoff: Backoff,
}

impl EpochRecord {
    pub(super) fn new(id: &str, incarnation: Incarnation, link_address: &str) -> Self {
        Self {
            key: format!("agents/{id}"),
            incarnation,
            link_address: link_address.to_owned(),
            phase: Phase::AcquiringEpoch,
            epoch: FencingEpoch(0),
            version: None,
            intents: Vec::new(),
            call: None,
            needs_read: true,
            backoff: Backoff::default(),
        }
    }

    /// Epoch held by this process; 0 before it is taken.
    pub(super) const fn epoch(&self) -> FencingEpoch {
        self.epoch
    }

    pub(super) fn is_fenced(&self) -> bool {
        self.phase == Phase::Fenced
    }

    /// Whether the epoch is held as far as this process can know, so that
    /// orders may be sent.
    pub(super) fn is_confirmed(&self) -> bool {
        self.phase == Phase::EpochHeld && !self.needs_read
    }

    /// Whether the record can be written now, so that new orders can be
    /// planned.
    pub(super) fn is_writable(&self, now: Instant) -> bool {
        self.is_confirmed() && self.backoff.has_elapsed(now)
    }

    pub(super) const fn has_call_in_flight(&self) -> bool {
        self.call.is_some()
    }

    /// Whether the record contains the intent of an order.
    pub(super) fn contains_intent(&self, order: u64) -> bool {
        self.intents.iter().any(|intent| intent.order == order)
    }

    /// Intents in the record, as last read or written.
    pub(super) fn intents(&self) -> &[Intent] {
        &self.intents
    }

    /// Requires a read before any further order, because the process may have
    /// been replaced.
    pub(super) fn require_read(&mut self) {
        self.needs_read = true;
    }

    /// Reads the record if a read is required.
    pub(super) fn advance(
        &mut self,
        now: Instant,
        client: &mut PlatformClient,
        out: &mut Vec<AgentAction>,
    ) {
        let blocked = self.call.is_some() || !self.backoff.has_elapsed(now);
        if blocked || !self.needs_read || self.is_fenced() {
            return;
        }
        let key = self.key.clone();
        self.call = Some((client.call(PlatformOp::Read { key }, out), Call::Read));
    }

    /// Writes the intents, if no call is in flight.
    pub(super) fn write(
        &mut self,
        now: Instant,
        intents: Vec<Intent>,
        client: &mut PlatformClient,
        out: &mut Vec<AgentAction>,
    ) {
        if self.is_writable(now) && self.call.is_none() {
            self.send_write(self.epoch, intents, client, out);
        }
    }

    fn send_write(
        &mut self,
        epoch: FencingEpoch,
        intents: Vec<Intent>,
        client: &mut PlatformClient,
        out: &mut Vec<AgentAction>,
    ) {
        let record = AgentRecord {
            epoch: epoch.0,
            incarnation: self.incarnation.0,
            link_address: self.link_address.clone(),
            intents,
        };
        let op = PlatformOp::Write {
            key: self.key.clone(),
            precondition: self
                .version
                .map_or(Precondition::Absent, Precondition::Version),
            value: record.encode_to_vec(),
        };
        self.call = Some((client.call(op, out), Call::Write(Box::new(record))));
    }

    pub(super) fn owns(&self, call: u64) -> bool {
        self.call.as_ref().is_some_and(|(id, _)| *id == call)
    }

    pub(super) fn on_answer(
        &mut self,
        now: Instant,
        result: &PlatformResult,
        client: &mut PlatformClient,
        out: &mut Vec<AgentAction>,
    ) -> RecordOutcome {
        let Some((_, call)) = self.call.take() else {
            return RecordOutcome::Nothing;
        };
        match (call, result) {
            (Call::Read, PlatformResult::Object(object)) => {
                self.backoff.reset();
                self.on_read(now, object.as_ref(), client, out)
            }
            (Call::Write(record), PlatformResult::Written(version)) => {
                self.backoff.reset();
                self.on_written(*version, *record)
            }
            (Call::Write(_), PlatformResult::Unavailable) => {
                self.backoff.record_failure(now, client);
                RecordOutcome::NotWritten
            }
            (Call::Write(_), PlatformResult::Conflict) => {
                self.needs_read = true;
                RecordOutcome::Nothing
            }
            // A write without an answer may have taken effect: read the record
            // back.
            (Call::Write(_), _) => {
                self.needs_read = true;
                RecordOutcome::Nothing
            }
            (Call::Read, _) => {
                self.backoff.record_failure(now, client);
                RecordOutcome::Nothing
            }
        }
    }

    fn on_written(
        &mut self,
        version: ObjectVersion,
        record: AgentRecord,
    ) -> RecordOutcome {
        self.version = Some(version);
        self.intents = record.intents;
        if self.phase == Phase::AcquiringEpoch {
            return self.on_epoch_taken(FencingEpoch(record.epoch));
        }
        RecordOutcome::Recorded
    }

    fn on_epoch_taken(&mut self, epoch: FencingEpoch) -> RecordOutcome {
        self.phase = Phase::EpochHeld;
        self.epoch = epoch;
        self.needs_read = false;
        RecordOutcome::EpochTaken
    }

    fn on_read(
        &mut self,
        now: Instant,
        object: Option<&(ObjectVersion, Vec<u8>)>,
        client: &mut PlatformClient,
        out: &mut Vec<AgentAction>,
    ) -> RecordOutcome {
        let Some((version, value)) = object else {
            return self.on_record_absent(client, out);
        };
        let Ok(record) = AgentRecord::decode(value.as_slice()) else {
            self.backoff.record_failure(now, client);
            return RecordOutcome::Undecodable;
        };
        // Epochs only grow, so a lower one is a stale value from before this
        // process took its own. Mistaking it for a successor's would end the
        // only agent of the instance.
        if self.phase == Phase::EpochHeld && record.epoch < self.epoch.0 {
            self.backoff.record_failure(now, client);
            return RecordOutcome::Nothing;
        }
        self.version = Some(*version);
        if record.incarnation == self.incarnation.0 {
            return self.on_own_record(record);
        }
        let newer = record.incarnation > self.incarnation.0;
        if self.phase == Phase::EpochHeld || newer {
            self.phase = Phase::Fenced;
            return RecordOutcome::Fenced;
        }
        let epoch = FencingEpoch(record.epoch + 1);
        self.send_write(epoch, intents_with_addresses(record), client, out);
        RecordOutcome::Nothing
    }

    /// Handles a record that this process wrote.
    fn on_own_record(&mut self, record: AgentRecord) -> RecordOutcome {
        self.needs_read = false;
        self.intents = record.intents;
        if self.phase == Phase::AcquiringEpoch {
            return self.on_epoch_taken(FencingEpoch(record.epoch));
        }
        RecordOutcome::Recorded
    }

    /// Creates the record: either this is the first agent, or the platform lost
    /// it.
    fn on_record_absent(
        &mut self,
        client: &mut PlatformClient,
        out: &mut Vec<AgentAction>,
    ) -> RecordOutcome {
        self.version = None;
        self.needs_read = self.phase != Phase::EpochHeld;
        let epoch = FencingEpoch(self.epoch.0.max(1));
        let intents = std::mem::take(&mut self.intents);
        self.send_write(epoch, intents, client, out);
        RecordOutcome::Nothing
    }

    pub(super) fn due(&self) -> Option<Instant> {
        let is_idle = self.call.is_none() && !self.is_fenced();
        self.backoff.until().filter(|_| is_idle)
    }
}

/// Returns the intents of a predecessor's record, each with the link address of
/// the agent that recorded it.
///
/// Agents of earlier versions write no address into their intents; those of the
/// record's own epoch get the address of the record.
fn intents_with_addresses(record: AgentRecord) -> Vec<Intent> {
    let mut intents = record.intents;
    for intent in &mut intents {
        if intent.link_address.is_empty() && intent.epoch == record.epoch {
            intent.link_address.clone_from(&record.link_address);
        }
    }
    intents
}
