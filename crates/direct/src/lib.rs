//! Decisions of entries that speak to upstreams themselves, without an agent
//! beside each upstream.
//!
//! Where a platform lists its upstreams and gives no place beside them, entries
//! take over what the agents decide elsewhere: which upstream runs a request,
//! whether it may be sent again, what each upstream holds, and who orders that.
//! Everything here is pure: time is an argument and nothing does I/O.
//!
//! - [`Config`] is the operator's configuration as the decisions need it, with
//!   routes by host and longest prefix.
//! - [`Fleet`] is what this entry knows of the upstreams.
//! - [`AvoidanceTracker`] says when an upstream begins or ceases to be avoided.
//! - [`select_upstream`] chooses an upstream for one request.
//! - [`admit`] says whether it joins those that wait there; [`ModelTimeFactors`] and
//!   [`PrefillQueue`] how long that is.
//! - [`decide_retry`] says what may follow a try that did not end well.
//! - [`RetryBudget`] keeps repeats of all entries together under one bound.
//! - [`Lease`] makes one entry the giver of orders, and [`has_successor`] says when
//!   one that is being stopped hands it over; [`Ledger`] keeps what it
//!   ordered from one upstream; [`LoadPlanner`] decides what is to be held where, and
//!   [`AdapterPlanner`] which adapters beside it.
//! - [`SharedWatch`] lets one entry watch the platform for its failure domain;
//!   [`peer_message_interval_ms`] and its like say how often entries tell one another what.
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
mod admission;
mod avoidance;
mod config;
mod demand;
mod demand_shift;
mod fleet;
mod forecast;
mod lease;
mod ledger;
mod load_planner;
mod order;
mod peer_messages;
mod plan;
mod prefill;
mod prefix_affinity;
mod records;
mod retry;
mod retry_budget;
mod select;
mod shared_watch;
mod successor;
mod time_factors;
mod unanswered;
mod unserved;
mod watermark;

pub use adapters::{
    ADAPTER_MIN_RESIDENCE_MS, AdapterName, AdapterPlanner, PlannedAdapterLoad,
    UpstreamAdapterState,
};
pub use admission::{AdmissionInput, MeanPrefillTimes, admit};
pub use avoidance::{AvoidReason, AvoidanceChange, AvoidanceTracker};
pub use config::{
    Config, EngineSpec, Limits, ModelSpec, Route, RouteKind, ServiceSpec,
    WeightedService,
};
pub use demand::{Arrival, DemandEstimate, DemandTracker};
pub use fleet::{Activity, Fleet, RateLimit, RateNotice, Upstream, Usage};
pub use lease::{Lease, LeaseRecord, LeaseStep};
pub use ledger::Ledger;
pub use load_planner::{
    LoadPlanner, LoadReason, PlacedModel, PlannedLoad, UpstreamState,
};
pub use order::{Order, OrderAction, OrderAnswer, SendOutcome};
pub use peer_messages::{
    HOLDINGS_RESEND_MS, holdings_message_count, peer_message_interval_ms,
    suspects_per_message, urgent_message_interval_ms,
};
pub use prefill::{PRIORITY_LEVELS, PrefillQueue};
pub use records::{
    LocalWeights, ResidentModel, UpstreamIncarnation, UpstreamRecord, UpstreamReport,
};
pub use retry::{AttemptHistory, AttemptOutcome, RetryDecision, decide_retry};
pub use retry_budget::RetryBudget;
pub use select::{SelectedUpstream, SelectionError, SelectionInput, select_upstream};
pub use shared_watch::{
    ChangedObject, ReceivedBatches, SharedWatch, WatchBatch, WatchRole,
};
pub use successor::{PeerEntry, has_successor};
pub use time_factors::ModelTimeFactors;
pub use unanswered::UnansweredOrders;
pub use watermark::Watermark;
