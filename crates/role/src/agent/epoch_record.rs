//! The agent's epoch and the intents of its orders, in `agents/<id>`.
//!
//! Every write is conditional on the version last seen, so of two agents beside
//! one upstream only the one that took the later epoch can still record an
//! intent. No order goes out without its intent in the record; the other agent
//! therefore gives no order that its successor does not count.

use super::AgentAction;
use super::platform_client::{Backoff, PlatformClient};
use base::{Epoch, Expect, Incarnation, Instant, PlatformOp, PlatformResult, Version};
use prost::Message as _;
use schema::store::{AgentRecord, Intent};

#[derive(Debug)]
enum Call {
    Read,
    Write(Box<AgentRecord>),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// The epoch is not taken yet.
    Taking,
    /// The epoch is ours.
    WaitingForIdle,
    /// A successor has taken a higher epoch.
    Fenced,
}

/// What an answer of the platform meant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RecordOutcome {
    /// Nothing that concerns others.
    Nothing,
    /// The epoch is ours, with the intents that predecessors left.
    EpochTaken,
    /// The record's content is known again.
    Recorded,
    /// A write provably had no effect.
    NotWritten,
    /// A successor has taken over.
    Fenced,
    /// The record can't be read; nothing is done on a guess.
    Undecodable,
}

/// The record of this agent.
#[derive(Debug)]
pub(super) struct EpochRecord {
    key: String,
    incarnation: Incarnation,
    link_address: String,
    phase: Phase,
    epoch: Epoch,
    version: Option<Version>,
    intents: Vec<Intent>,
    call: Option<(u64, Call)>,
    /// The record has to be read before anything is done by it.
    needs_read: bool,
    backoff: Backoff,
}

impl EpochRecord {
    pub(super) fn new(id: &str, incarnation: Incarnation, link_address: &str) -> Self {
        Self {
            key: format!("agents/{id}"),
            incarnation,
            link_address: link_address.to_owned(),
            phase: Phase::Taking,
            epoch: Epoch(0),
            version: None,
            intents: Vec::new(),
            call: None,
            needs_read: true,
            backoff: Backoff::default(),
        }
    }

    /// Epoch held; 0 before it is taken.
    pub(super) const fn epoch(&self) -> Epoch {
        self.epoch
    }

    pub(super) fn is_fenced(&self) -> bool {
        self.phase == Phase::Fenced
    }

    /// The epoch is ours as far as can be known: orders may go out.
    pub(super) fn is_confirmed(&self) -> bool {
        self.phase == Phase::WaitingForIdle && !self.needs_read
    }

    /// The record can be written, so that a plan can be carried out.
    pub(super) fn is_writable(&self, now: Instant) -> bool {
        self.is_confirmed() && self.backoff.has_elapsed(now)
    }

    pub(super) const fn has_call_in_flight(&self) -> bool {
        self.call.is_some()
    }

    /// Whether the record holds the intent of an order.
    pub(super) fn contains_intent(&self, order: u64) -> bool {
        self.intents.iter().any(|intent| intent.order == order)
    }

    /// Intents in the record.
    pub(super) fn intents(&self) -> &[Intent] {
        &self.intents
    }

    /// The process may have been frozen: read before any further order.
    pub(super) fn require_read(&mut self) {
        self.needs_read = true;
    }

    /// Reads the record if that is needed.
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

    /// Writes the intents, if no write is in flight.
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
        epoch: Epoch,
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
            expect: self.version.map_or(Expect::Absent, Expect::Version),
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
            (Call::Write(_), PlatformResult::Away) => {
                self.backoff.record_failure(now, client);
                RecordOutcome::NotWritten
            }
            (Call::Write(_), PlatformResult::Conflict) => {
                self.needs_read = true;
                RecordOutcome::Nothing
            }
            // A write without an answer may have taken effect: read it back.
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

    fn on_written(&mut self, version: Version, record: AgentRecord) -> RecordOutcome {
        self.version = Some(version);
        self.intents = record.intents;
        if self.phase == Phase::Taking {
            return self.on_epoch_taken(Epoch(record.epoch));
        }
        RecordOutcome::Recorded
    }

    fn on_epoch_taken(&mut self, epoch: Epoch) -> RecordOutcome {
        self.phase = Phase::WaitingForIdle;
        self.epoch = epoch;
        self.needs_read = false;
        RecordOutcome::EpochTaken
    }

    fn on_read(
        &mut self,
        now: Instant,
        object: Option<&(Version, Vec<u8>)>,
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
        // Epochs only grow, so a lower one is a value from before ours. Taken for
        // a successor's it would end the only agent of the instance.
        if self.phase == Phase::WaitingForIdle && record.epoch < self.epoch.0 {
            self.backoff.record_failure(now, client);
            return RecordOutcome::Nothing;
        }
        self.version = Some(*version);
        if record.incarnation == self.incarnation.0 {
            return self.on_own_record(record);
        }
        let newer = record.incarnation > self.incarnation.0;
        if self.phase == Phase::WaitingForIdle || newer {
            self.phase = Phase::Fenced;
            return RecordOutcome::Fenced;
        }
        let epoch = Epoch(record.epoch + 1);
        self.send_write(epoch, intents_with_addresses(record), client, out);
        RecordOutcome::Nothing
    }

    fn on_own_record(&mut self, record: AgentRecord) -> RecordOutcome {
        self.needs_read = false;
        self.intents = record.intents;
        if self.phase == Phase::Taking {
            return self.on_epoch_taken(Epoch(record.epoch));
        }
        RecordOutcome::Recorded
    }

    /// There is no record: this is the first agent, or the platform lost it.
    fn on_record_absent(
        &mut self,
        client: &mut PlatformClient,
        out: &mut Vec<AgentAction>,
    ) -> RecordOutcome {
        self.version = None;
        self.needs_read = self.phase != Phase::WaitingForIdle;
        let epoch = Epoch(self.epoch.0.max(1));
        let intents = std::mem::take(&mut self.intents);
        self.send_write(epoch, intents, client, out);
        RecordOutcome::Nothing
    }

    pub(super) fn due(&self) -> Option<Instant> {
        let is_idle = self.call.is_none() && !self.is_fenced();
        self.backoff.until().filter(|_| is_idle)
    }
}

/// The intents of a predecessor's record, each with its giver's address.
///
/// An agent that does not write the addresses yet is still known by that of its
/// record.
fn intents_with_addresses(record: AgentRecord) -> Vec<Intent> {
    let mut intents = record.intents;
    for intent in &mut intents {
        if intent.link_address.is_empty() && intent.epoch == record.epoch {
            intent.link_address.clone_from(&record.link_address);
        }
    }
    intents
}
