//! Membership: the agents and entries that are alive, and what is known of
//! each.
//!
//! An entry learns of agents from their heartbeats, received over its own links
//! or relayed by other entries, and of addresses from member records. All of
//! this is a local view: it decides where requests are *sent*, while the
//! admission control of each upstream's agent decides what is *run*. A wrong
//! view costs a refusal or a retry.
//!
//! Invariants:
//!
//! - The state of an agent never goes back: a heartbeat of an older
//!   incarnation, or with a sequence number already seen, is dropped, however
//!   late it arrives and whoever relays it.
//! - An agent is sent work only while this entry's own link to it is up and its
//!   heartbeats arrive over that link. Heartbeats relayed by others keep the
//!   agent from being considered lost but don't make it reachable.
//! - A broken link of one entry is not enough to consider an agent lost. It is
//!   lost after a long silence, or when the link is down and another entry
//!   reports it as silent too.
//! - The tables are bounded, whatever other processes send.

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
