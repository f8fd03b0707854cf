//! The agent's registration in the platform's list of live processes.

use super::platform_client::{Backoff, PlatformClient};
use super::{AgentAction, AgentOptions};
use base::{Instant, ObjectVersion, PlatformOp, PlatformResult, Precondition};
use prost::Message as _;
use schema::store::Member;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Call {
    Read,
    Write { leaving: bool },
    Delete,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DesiredState {
    Present { leaving: bool },
    Absent,
}

/// The registration under `live/agent/<id>`.
///
/// Every write is conditional on a version read before: an agent that was
/// frozen while it registered must not overwrite its successor's registration.
#[derive(Debug)]
pub(super) struct Registration {
    key: String,
    member: Member,
    desired: DesiredState,
    /// Version in the platform (`Some(None)` if absent); `None` if it must be
    /// read.
    known_version: Option<Option<ObjectVersion>>,
    /// State last written; `None` if this process has written none.
    written: Option<DesiredState>,
    call: Option<(u64, Call)>,
    backoff: Backoff,
    /// The registration belongs to a successor of this process.
    superseded: bool,
}

impl Registration {
    pub(super) fn new(member: Member) -> Self {
        Self {
            key: format!("live/agent/{}", member.id),
            member,
            desired: DesiredState::Present { leaving: false },
            known_version: None,
            written: None,
            call: None,
            backoff: Backoff::default(),
            superseded: false,
        }
    }

    /// Marks the process as leaving.
    pub(super) fn mark_leaving(&mut self) {
        self.desired = DesiredState::Present { leaving: true };
    }

    /// Removes the registration.
    pub(super) fn remove(&mut self) {
        self.desired = DesiredState::Absent;
    }

    /// Stops all writes, because the registration belongs to a successor.
    pub(super) fn abandon(&mut self) {
        self.superseded = true;
    }

    /// Whether the desired state is written, or is a successor's to write.
    pub(super) fn is_settled(&self) -> bool {
        self.superseded || (self.call.is_none() && self.written == Some(self.desired))
    }

    /// Makes the next call towards the desired state, unless one is in flight.
    pub(super) fn advance(
        &mut self,
        now: Instant,
        client: &mut PlatformClient,
        out: &mut Vec<AgentAction>,
    ) {
        if self.is_settled() || self.call.is_some() || !self.backoff.has_elapsed(now) {
            return;
        }
        let (op, call) = self.next_op();
        self.call = Some((client.call(op, out), call));
    }

    fn next_op(&self) -> (PlatformOp, Call) {
        let key = self.key.clone();
        let Some(known_version) = self.known_version else {
            return (PlatformOp::Read { key }, Call::Read);
        };
        let precondition =
            known_version.map_or(Precondition::Absent, Precondition::Version);
        match self.desired {
            DesiredState::Absent => {
                (PlatformOp::Delete { key, precondition }, Call::Delete)
            }
            DesiredState::Present { leaving } => {
                let member = Member {
                    leaving,
                    ..self.member.clone()
                };
                let value = member.encode_to_vec();
                let op = PlatformOp::Write {
                    key,
                    precondition,
                    value,
                };
                (op, Call::Write { leaving })
            }
        }
    }

    pub(super) fn owns(&self, call: u64) -> bool {
        self.call.is_some_and(|(id, _)| id == call)
    }

    pub(super) fn on_answer(
        &mut self,
        now: Instant,
        result: &PlatformResult,
        client: &mut PlatformClient,
    ) {
        let call = self.call.take().map(|(_, call)| call);
        match (call, result) {
            (Some(Call::Read), PlatformResult::Object(object)) => {
                self.on_read(object.as_ref());
            }
            (Some(Call::Write { leaving }), PlatformResult::Written(version)) => {
                self.known_version = Some(Some(*version));
                self.written = Some(DesiredState::Present { leaving });
                self.backoff.reset();
            }
            (Some(Call::Delete), PlatformResult::Written(_)) => self.on_removed(),
            (_, PlatformResult::Unavailable) => {
                self.backoff.record_failure(now, client);
            }
            _ => {
                self.known_version = None;
                self.backoff.record_failure(now, client);
            }
        }
    }

    fn on_read(&mut self, object: Option<&(ObjectVersion, Vec<u8>)>) {
        let registered_member =
            object.and_then(|(_, value)| Member::decode(value.as_slice()).ok());
        if registered_member
            .is_some_and(|registered| registered.incarnation > self.member.incarnation)
        {
            self.superseded = true;
            return;
        }
        self.known_version = Some(object.map(|(version, _)| *version));
        if object.is_none() && self.desired == DesiredState::Absent {
            self.on_removed();
        }
    }

    fn on_removed(&mut self) {
        self.known_version = Some(None);
        self.written = Some(DesiredState::Absent);
    }

    pub(super) fn due(&self) -> Option<Instant> {
        let pending = !self.is_settled() && self.call.is_none();
        self.backoff.until().filter(|_| pending)
    }
}

/// Builds the registration's content.
pub(super) fn member_from_options(options: &AgentOptions) -> Member {
    Member {
        kind: "agent".to_owned(),
        id: options.id.as_str().to_owned(),
        incarnation: options.incarnation.0,
        failure_domain: options.failure_domain.as_str().to_owned(),
        pool: options.pool.as_str().to_owned(),
        link_address: options.link_address.clone(),
        operator_address: options.operator_address.clone(),
        leaving: false,
    }
}
