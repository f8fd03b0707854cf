//! Decisions of entries that talk to upstreams directly, without an agent beside each
//! upstream.
//!
//! On a platform that lists its upstreams and offers no place to run an agent beside
//! them, the entries decide what agents decide elsewhere: which upstream runs a
//! request, whether the request may be sent again, what each upstream holds, and which
//! entry orders loads and unloads. Everything here is pure: the current time is an
//! argument and nothing performs I/O.
//!
//! - [`Config`] is the part of the operator's configuration that the decisions need. It
//!   matches routes by host and longest path prefix.
//! - [`Fleet`] is what this entry knows about the upstreams.
//! - [`AvoidanceTracker`] reports when an upstream starts or stops being avoided.
//! - [`select_upstream`] chooses an upstream for one request.
//!   It takes into account how fast each upstream is, as learned from streams.
//! - [`admit`] decides whether the request joins the queue of that upstream.
//!   [`ModelTimeFactors`] and [`PrefillQueue`] estimate how long the queue takes, and
//!   [`EstimateCorrections`] corrects that. [`WaitQueue`] decides which requests wait at
//!   the entry instead.
//! - [`decide_retry`] decides what follows an attempt that failed, and
//!   [`decide_in_flight`] whether a request leaves an upstream that is silent.
//! - [`StreamOrigin`] names the software version at which a stream may go on.
//!   [`origin_keepers`] chooses the entries that keep it.
//! - [`StreamStart`] decides whether a stream may begin at an entry that shuts down, with
//!   the duration that [`StreamDurations`] expects, and [`RunningStream`] when one that
//!   still runs is handed over to its caller.
//! - [`RetryBudget`] bounds the retries of all entries together.
//! - [`Lease`] elects the coordinator, the one entry that sends load and unload orders.
//!   [`LeaseCandidate`] decides which entries try to become it, and [`has_successor`] tells whether a coordinator that shuts down should hand the
//!   lease over. [`Ledger`] tracks the orders to one upstream and what it therefore
//!   holds. [`LoadPlanner`] decides which models are loaded where, and
//!   [`AdapterPlanner`] which adapters. [`CapacityPressure`] is
//!   what calls for copies in time.
//! - [`SharedWatch`] lets one entry watch the platform for its whole failure domain, and
//!   compares the result with that of the others. [`start_sources`] tells from where an
//!   entry that starts gets its first state.
//!   [`peer_message_interval_ms`] and its neighbours set how often entries message one
//!   another and how much a message holds.
//!
//! Invariants:
//!
//! - A record with a lower version never replaces one with a higher version.
//! - Knowledge about an upstream belongs to one incarnation of it. Information from an
//!   earlier incarnation never replaces information from a later one, whichever way it
//!   arrives.
//! - A request that may have run is sent again only if its route allows a request to
//!   run twice.
//! - A stream goes on only at the software version of the upstream that brought its
//!   first event. Where that is not known, it does not go on.
//! - A request in flight is not ended because its upstream is silent, unless another
//!   upstream can run it.
//! - An entry that shuts down ends a stream early only in the last sixth of its time, and
//!   only if the caller can resume it.
//! - Every order names the upstream's order count on which it was decided, so of two
//!   orders decided on the same state at most one is carried out. What that order adds
//!   was checked against the same state, so no upstream is ordered to hold more than
//!   fits. The count restarts with the upstream, so what unanswered orders to earlier
//!   incarnations may still add is included in the check.
//! - A coordinator stops sending orders before another entry can start.

mod adapters;
mod admission;
mod avoidance;
mod capacity_pressure;
mod config;
mod demand;
mod demand_pressure;
mod demand_shift;
mod estimate_correction;
mod event_sampler;
mod fleet;
mod forecast;
mod intake;
mod lease;
mod lease_candidates;
mod ledger;
mod load_planner;
mod message_detail;
mod move_delay;
mod order;
mod origin_keepers;
mod origin_segments;
mod pace;
mod packed_uses;
mod peer_messages;
mod plan;
mod prefill;
mod prefix_affinity;
mod records;
mod relay;
mod response_memory;
mod retry;
mod retry_budget;
mod select;
mod shared_watch;
mod start_source;
mod state_digest;
mod stream_durations;
mod stream_handover;
mod stream_origin;
mod stream_start;
mod successor;
mod takeover;
mod target_spread;
mod time_factors;
mod unanswered;
mod unserved;
mod wait_queue;
mod watermark;

pub use adapters::{
    ADAPTER_MIN_RESIDENCE_MS, AdapterName, AdapterPlanner, PlannedAdapterLoad,
    RequestedAdapter, UpstreamAdapterState,
};
pub use admission::{AdmissionInput, MeanPrefillTimes, admit, wait_end_for_pause};
pub use avoidance::{AvoidReason, AvoidanceChange, AvoidanceTracker};
pub use capacity_pressure::CapacityPressure;
pub use config::{
    Config, EngineSpec, Limits, ModelSpec, Route, RouteKind, ServiceSpec,
    WeightedService,
};
pub use demand::{Arrival, DemandEstimate, DemandTracker};
pub use demand_pressure::DemandPressure;
pub use estimate_correction::EstimateCorrections;
pub use event_sampler::EventSampler;
pub use fleet::{
    Activity, ChangeKind, Fleet, NoSoleVersion, RateLimit, RateNotice, Upstream,
    UpstreamChange, Usage,
};
pub use intake::{INTAKE_INTERVAL_MS, IntakeLimit};
pub use lease::{Lease, LeaseRecord, LeaseStep};
pub use lease_candidates::LeaseCandidate;
pub use ledger::Ledger;
pub use load_planner::{
    LoadPlanner, LoadReason, PlacedModel, PlannedLoad, UpstreamState,
};
pub use message_detail::{
    ItemRepeats, MessageDetail, PEER_FORMAT, Receiver, digest_settle_ms,
    is_repeat_round, message_detail, repeat_number, rotation_number,
};
pub use move_delay::{MoveDelay, MoveObstacle};
pub use order::{Order, OrderAction, OrderAnswer, SendOutcome};
pub use origin_keepers::{origin_keepers, origin_keepers_to_ask};
pub use origin_segments::{OriginSegment, OriginSegments, origin_write_interval_ms};
pub use packed_uses::IncarnationIndex;
pub use peer_messages::{
    HOLDINGS_RESEND_MS, MessageRounds, holdings_message_count,
    peer_message_interval_ms, peer_timeout_ms, suspects_per_message,
    upstreams_per_message, urgent_message_interval_ms,
};
pub use prefill::{PRIORITY_LEVELS, PrefillQueue};
pub use records::{
    LocalWeights, ResidentModel, UpstreamIncarnation, UpstreamRecord, UpstreamReport,
};
pub use relay::{RELAY_FORMAT, Relays, confirmation_timeout_ms};
pub use response_memory::{BodyTooLarge, ResponseMemory};
pub use retry::{AttemptHistory, AttemptOutcome, RetryDecision, decide_retry};
pub use retry_budget::RetryBudget;
pub use select::{SelectedUpstream, SelectionError, SelectionInput, select_upstream};
pub use shared_watch::{
    AfterFailure, ChangedObject, OwnWatchReason, ReceivedBatches, SharedWatch,
    WatchBatch, WatchClaim, WatchFailures, WatchRole, WatchSnapshot,
};
pub use start_source::start_sources;
pub use state_digest::state_digest;
pub use stream_durations::{StreamDurations, StreamTiming};
pub use stream_handover::{RunningStream, handover_start_ms};
pub use stream_origin::{
    OriginProof, SoftwareVersion, StreamId, StreamOrigin, StreamOrigins,
};
pub use stream_start::{PeerCount, PeerReadiness, StreamStart};
pub use successor::{PeerEntry, has_successor};
pub use takeover::{
    InFlightDecision, InFlightRequest, TakeoverResources, decide_in_flight,
};
pub use target_spread::{is_patient, targets_differ_widely};
pub use time_factors::ModelTimeFactors;
pub use unanswered::UnansweredOrders;
pub use wait_queue::{
    Place, PlaceDecision, WaitCheck, WaitOrder, WaitQueue, WaiterId, WaitingRequest,
};
pub use watermark::Watermark;
