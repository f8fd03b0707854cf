//! The entry process that talks to upstreams directly, without an agent in
//! between.
//!
//! It serves callers over HTTP, forwards their requests to upstreams over HTTP,
//! and exchanges small UDP datagrams with the other entries, each of which
//! states the sender's current view. Two traits isolate it from the platform:
//! [`PlatformProtocol`] covers header names and the encoding of objects and
//! orders, [`plat::ObjectApi`] covers object storage. The decisions (upstream
//! selection, retries, model placement) are made by the `direct` crate.
//!
//! Invariants:
//!
//! - A response looks complete only if the upstream's response was, and it
//!   carries the request's own id. Ordinary responses are buffered until they
//!   are complete; streams are forwarded event by event, and a broken stream is
//!   either resumed at the exact next event or ends the caller's connection.
//! - A request is cancelled when its caller disconnects: everything that a
//!   request holds is owned by the future that the caller's connection polls.
//! - An order is sent only while the lease is valid by a clock that also counts
//!   the time for which the machine was suspended.
//! - Writing to standard output blocks no task, and no lock that another
//!   request needs is held across an await.

mod attempt;
mod caller_pressure;
mod caller_timeouts;
mod clock;
mod connection;
mod connection_end;
mod coordinator;
mod crash;
mod dispatch;
mod entry_wait;
mod events;
mod framing;
mod head_limit;
mod headers;
mod in_flight;
mod intake;
mod lease_relay;
mod log;
mod options;
mod orders;
mod origin_proof;
mod origin_records;
mod packed_batches;
mod pauses;
mod peers;
mod platform_contact;
mod platform_watch;
mod protocol;
mod quota;
mod readiness;
mod received_state;
mod refused_parts;
mod request;
mod response;
mod response_body;
mod response_feedback;
mod server;
mod shared_watch;
mod shutdown;
mod start;
mod start_state;
mod state;
mod state_monitor;
mod stream;
mod stream_origins;
mod stream_shutdown;
mod suspect_parts;
mod taken_request;
mod takeover;
mod upstream_address;
mod upstream_changes;
mod upstream_rate;
mod upstream_selection;
mod usage_report;
mod watched_parts;

pub use clock::BootClock;
pub use connection::connect;
pub use events::{Event, EventSplitter, EventTooLarge};
pub use head_limit::{HeadLimit, HeadLimited};
pub use inbound::ConfiguredMachine;
pub use log::Log;
pub use options::{DeploymentSettings, Options, StoreKeys};
pub use packed_batches::{pack_batches, unpack_batches};
pub use protocol::{
    AdvertisedRate, ControlRequest, DecodeError, PlatformProtocol, RequestHead,
    ResponseHead, UpstreamRequestHead,
};
pub use start::{EntryServer, StartError, start};
pub use watched_parts::{WatchedParts, split_watched};
