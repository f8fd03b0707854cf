//! Decisions of entries that speak to upstreams themselves, without an agent
//! beside each upstream.
//!
//! Where a platform lists its upstreams and gives no place beside them, entries
//! take over what the agents decide elsewhere: which upstream runs a request,
//! whether it may be sent again, what each upstream holds, and who orders that.
//! Everything here is pure: time is an argument and nothing does I/O.
//!
//! - [`Setup`] is the operator's configuration as the decisions need it, with
//!   routes by host and longest prefix.
//! - [`Fleet`] is what this entry knows of the upstreams.
//! - [`Doubts`] says when an upstream begins or ceases to be avoided.
//! - [`pick`] chooses an upstream for one request.
//! - [`admit`] says whether it joins those that wait there; [`Paces`] and
//!   [`ReadingQueue`] how long that is.
//! - [`after`] says what may follow a try that did not end well.
//! - [`Repeats`] keeps repeats of all entries together under one bound.
//! - [`Lease`] makes one entry the giver of orders, and [`has_successor`] says when
//!   one that is being stopped hands it over; [`Ledger`] keeps what it
//!   ordered from one upstream; [`Moves`] decides what is to be held where, and
//!   [`AdapterSpread`] which adapters beside it.
//! - [`SharedWatch`] lets one entry watch the platform for its failure domain;
//!   [`tell_every_ms`] and its like say how often entries tell one another what.
//!
//! Invariants:
//!
//! - News of a version never replaces what a higher version said.
//! - What is known of an upstream is known of one start of it. News of an earlier
//!   start never replaces what is known of a later one, whichever way it comes.
//! - A request that may have run is sent again only if its kind allows it.
//! - Every order names the upstream's order count that it was decided on, so of
//!   two orders decided on the same state at most one is carried out. What that
//!   one adds was checked against that state, so no upstream is ordered to hold
//!   more than it can. The count starts anew with the upstream: what orders to an
//!   earlier start may still add is checked with it.
//! - A giver stops ordering before anyone else can start.

mod adapters;
mod admit;
mod again;
mod board;
mod cadence;
mod demand;
mod doubts;
mod fleet;
mod home;
mod late;
mod lease;
mod ledger;
mod moves;
mod news;
mod order;
mod outlook;
mod pace;
mod pick;
mod reading;
mod repeats;
mod setup;
mod shared_watch;
mod shifts;
mod successor;
mod unserved;
mod watermark;

pub use adapters::{
    ADAPTER_TURN_MS, AdapterChoice, AdapterName, AdapterSpot, AdapterSpread,
};
pub use admit::{Admission, Readings, admit};
pub use again::{Next, Outcome, Tried, after};
pub use cadence::{
    HOLDINGS_TOLD_MS, holdings_rounds, suspects_told, tell_at_once_every_ms,
    tell_every_ms,
};
pub use demand::{Arrival, Demand, Load};
pub use doubts::{Doubt, Doubts, Turn};
pub use fleet::{Activity, Fleet, RateLimit, RateNotice, Upstream, Usage};
pub use late::LateOrders;
pub use lease::{Lease, LeaseRecord, LeaseStep};
pub use ledger::Ledger;
pub use moves::{Choice, Group, Moves, Reason, Spot};
pub use news::{Copies, Report, Resident, Start, UpstreamNews};
pub use order::{Action, Order, OrderAnswer, Sent};
pub use pace::Paces;
pub use pick::{Pick, Picked, Unpicked, pick};
pub use reading::{RANKS, ReadingQueue};
pub use repeats::Repeats;
pub use setup::{
    Engine, Limits, ModelSpec, Route, RouteKind, ServiceSpec, Setup, Target,
};
pub use shared_watch::{Batch, Changed, Received, SharedWatch, WatchRole};
pub use successor::{OtherEntry, has_successor};
pub use watermark::Watermark;
