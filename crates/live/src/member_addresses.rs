//! Where processes can be reached, as the platform's member records say.

use base::prelude::*;
use schema::store::Member;
use std::collections::BTreeMap;

/// Records kept at most.
const MEMBERS_MAX: usize = 32_768;

/// Kind of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberKind {
    /// An entry.
    Entry,
    /// An agent.
    Agent,
}

#[derive(Debug)]
struct AddressRecord {
    incarnation: Incarnation,
    link_address: String,
}

/// Addresses of processes; that of a newer run is never replaced by an older.
#[derive(Debug, Default)]
pub struct MemberAddresses {
    records: BTreeMap<(MemberKind, String), AddressRecord>,
}

impl MemberAddresses {
    /// No addresses.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a record; returns whether the address to connect to is new.
    pub fn record_member(&mut self, member: &Member) -> bool {
        let kind = match member.kind.as_str() {
            "entry" => MemberKind::Entry,
            "agent" => MemberKind::Agent,
            _ => return false,
        };
        let incarnation = Incarnation(member.incarnation);
        self.record_address(kind, &member.id, incarnation, &member.link_address)
    }

    /// Takes an address learnt another way; returns whether it is new.
    pub fn record_address(
        &mut self,
        kind: MemberKind,
        id: &str,
        incarnation: Incarnation,
        link_address: &str,
    ) -> bool {
        if id.is_empty() || link_address.is_empty() {
            return false;
        }
        let key = (kind, id.to_owned());
        let full = self.records.len() >= MEMBERS_MAX;
        match self.records.get_mut(&key) {
            None if full => false,
            Some(held) if incarnation < held.incarnation => false,
            Some(held) => {
                held.incarnation = incarnation;
                let changed = held.link_address != link_address;
                held.link_address = link_address.to_owned();
                changed
            }
            None => {
                let record = AddressRecord {
                    incarnation,
                    link_address: link_address.to_owned(),
                };
                self.records.insert(key, record);
                true
            }
        }
    }

    /// Address of a process.
    pub fn address(&self, kind: MemberKind, id: &str) -> Option<&str> {
        let record = self.records.get(&(kind, id.to_owned()));
        record.map(|record| record.link_address.as_str())
    }

    /// Forgets a process.
    pub fn remove(&mut self, kind: MemberKind, id: &str) {
        self.records.remove(&(kind, id.to_owned()));
    }
}
