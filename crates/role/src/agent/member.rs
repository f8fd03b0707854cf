//! The agent's place in the platform's list of live processes.

use super::retry::{Backoff, Caller};
use super::{AgentAction, AgentOptions};
use base::{Expect, Instant, PlatformOp, PlatformResult, Version};
use prost::Message as _;
use schema::store::Member;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Call {
    Read,
    Write { leaving: bool },
    Delete,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Wanted {
    Present { leaving: bool },
    Gone,
}

/// The registration under `live/agent/<id>`.
///
/// Every write is conditional on a version read before: an agent that was
/// frozen during its registration must not write over its successor's.
#[derive(Debug)]
pub(super) struct Registration {
    key: String,
    member: Member,
    wanted: Wanted,
    /// What the platform holds; `None` if it has to be read.
    seen: Option<Option<Version>>,
    written: Option<Wanted>,
    call: Option<(u64, Call)>,
    backoff: Backoff,
    superseded: bool,
}

impl Registration {
    pub(super) fn new(member: Member) -> Self {
        Self {
            key: format!("live/agent/{}", member.id),
            member,
            wanted: Wanted::Present { leaving: false },
            seen: None,
            written: None,
            call: None,
            backoff: Backoff::default(),
            superseded: false,
        }
    }

    /// Says that the process is leaving.
    pub(super) fn leave(&mut self) {
        self.wanted = Wanted::Present { leaving: true };
    }

    /// Removes the registration.
    pub(super) fn remove(&mut self) {
        self.wanted = Wanted::Gone;
    }

    /// Stops writing: the place belongs to a successor.
    pub(super) fn abandon(&mut self) {
        self.superseded = true;
    }

    /// What is wanted is written, or no longer ours to write.
    pub(super) fn is_settled(&self) -> bool {
        self.superseded || (self.call.is_none() && self.written == Some(self.wanted))
    }

    pub(super) fn advance(
        &mut self,
        now: Instant,
        caller: &mut Caller,
        out: &mut Vec<AgentAction>,
    ) {
        if self.is_settled() || self.call.is_some() || !self.backoff.is_over(now) {
            return;
        }
        let (op, call) = self.next_op();
        self.call = Some((caller.call(op, out), call));
    }

    fn next_op(&self) -> (PlatformOp, Call) {
        let key = self.key.clone();
        let Some(seen) = self.seen else {
            return (PlatformOp::Read { key }, Call::Read);
        };
        let expect = seen.map_or(Expect::Absent, Expect::Version);
        match self.wanted {
            Wanted::Gone => (PlatformOp::Delete { key, expect }, Call::Delete),
            Wanted::Present { leaving } => {
                let member = Member {
                    leaving,
                    ..self.member.clone()
                };
                let value = member.encode_to_vec();
                let op = PlatformOp::Write { key, expect, value };
                (op, Call::Write { leaving })
            }
        }
    }

    pub(super) fn owns(&self, call: u64) -> bool {
        self.call.is_some_and(|(id, _)| id == call)
    }

    pub(super) fn answered(
        &mut self,
        now: Instant,
        result: &PlatformResult,
        caller: &mut Caller,
    ) {
        let call = self.call.take().map(|(_, call)| call);
        match (call, result) {
            (Some(Call::Read), PlatformResult::Object(object)) => {
                self.was_read(object.as_ref());
            }
            (Some(Call::Write { leaving }), PlatformResult::Written(version)) => {
                self.seen = Some(Some(*version));
                self.written = Some(Wanted::Present { leaving });
                self.backoff.succeeded();
            }
            (Some(Call::Delete), PlatformResult::Written(_)) => self.was_removed(),
            (_, PlatformResult::Away) => self.backoff.failed(now, caller),
            _ => {
                self.seen = None;
                self.backoff.failed(now, caller);
            }
        }
    }

    fn was_read(&mut self, object: Option<&(Version, Vec<u8>)>) {
        let holder =
            object.and_then(|(_, value)| Member::decode(value.as_slice()).ok());
        if holder.is_some_and(|held| held.incarnation > self.member.incarnation) {
            self.superseded = true;
            return;
        }
        self.seen = Some(object.map(|(version, _)| *version));
        if object.is_none() && self.wanted == Wanted::Gone {
            self.was_removed();
        }
    }

    fn was_removed(&mut self) {
        self.seen = Some(None);
        self.written = Some(Wanted::Gone);
    }

    pub(super) fn due(&self) -> Option<Instant> {
        let waits = !self.is_settled() && self.call.is_none();
        self.backoff.until().filter(|_| waits)
    }
}

/// How the process is registered.
pub(super) fn member(options: &AgentOptions) -> Member {
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
