//! Addresses of processes, from the platform's member records.

use base::prelude::*;
use schema::store::Member;
use std::collections::BTreeMap;

/// Most records kept.
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

/// Addresses of processes. The address of a newer incarnation is never replaced
/// by that of an older one.
#[derive(Debug, Default)]
pub struct MemberAddresses {
    records: BTreeMap<(MemberKind, String), AddressRecord>,
}

impl MemberAddresses {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the address in a member record. Returns whether it differs from
    /// the known one.
    pub fn record_member(&mut self, member: &Member) -> bool {
        let kind = match member.kind.as_str() {
            "entry" => MemberKind::Entry,
            "agent" => MemberKind::Agent,
            _ => return false,
        };
        let incarnation = Incarnation(member.incarnation);
        self.record_address(kind, &member.id, incarnation, &member.link_address)
    }

    /// Records an address from another source. Returns whether it differs from
    /// the known one.
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
        let is_full = self.records.len() >= MEMBERS_MAX;
        match self.records.get_mut(&key) {
            None if is_full => false,
            Some(known) if incarnation < known.incarnation => false,
            Some(known) => {
                known.incarnation = incarnation;
                let changed = known.link_address != link_address;
                known.link_address = link_address.to_owned();
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

    /// Removes a process.
    pub fn remove(&mut self, kind: MemberKind, id: &str) {
        self.records.remove(&(kind, id.to_owned()));
    }
}
