//! Who is there: agents, entries, and what is known of each.
//!
//! An entry learns of agents by their heartbeats, directly over its own links
//! and relayed by other entries, and of addresses by member records. All of it
//! is opinion: it says where work is *sent*, and the gate beside each upstream
//! says what is *run*. A wrong verdict here costs a refusal or a retry.
//!
//! Invariants:
//!
//! - What is known of an agent never steps back: a heartbeat of an older
//!   incarnation, or with a sequence already seen, is dropped, however late it
//!   comes and whoever relays it.
//! - An agent is sent work only while this entry's own link to it is up and its
//!   heartbeats come. Being heard by others keeps it from being given up, but
//!   doesn't make it reachable.
//! - One entry's broken link is not the end of an agent: it is lost after a
//!   long silence, or when the link is down and a second entry does not hear it
//!   either.
//! - The tables are bounded, whatever peers send.

mod agent;
mod directory;
mod entries;
mod load;
mod member_addresses;
mod silence_limits;

pub use agent::{Agent, Liveness, Residency, ResidencyState};
pub use directory::{AgentChange, AgentDirectory, HeartbeatSource};
pub use entries::{EntryInfo, EntryTable, rendezvous_rank};
pub use load::{LoadReport, LoadTracker};
pub use member_addresses::{MemberAddresses, MemberKind};
pub use silence_limits::SilenceLimits;
