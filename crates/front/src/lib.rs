//! The process of an entry that speaks to upstreams itself.
//!
//! Callers' HTTP on one side, upstreams' HTTP on the other, and between entries
//! small datagrams that state what holds now. What a request's headers are
//! called, how the platform keeps its objects and what an order looks like is
//! behind two borders: [`PlatformProtocol`] and [`plat::ObjectApi`]. The decisions are
//! those of the `direct` crate.
//!
//! Invariants:
//!
//! - An answer looks complete only if the upstream's was, and bears the
//!   request's own id. Whole answers are held until their end; streams are given
//!   on event by event, and one that breaks either goes on at the exact next
//!   event or ends the connection.
//! - A caller that is gone takes its request with it: everything that a request
//!   holds hangs on the future that its connection polls.
//! - An order is sent only while the lease holds by a clock that counts the time
//!   in which the machine was suspended.
//! - Nothing waits for standard output, and nothing is held across an await that
//!   another request needs.

mod answer;
mod answer_news;
mod beliefs;
mod clock;
mod connection;
mod crash;
mod ending;
mod events;
mod follow;
mod framing;
mod giver;
mod headers;
mod in_flight;
mod log;
mod operated;
mod options;
mod orders;
mod peers;
mod protocol;
mod quota;
mod reach;
mod relay;
mod request;
mod run;
mod seek;
mod server;
mod shared_watch;
mod start;
mod state;
mod stream;
mod tries;
mod upstream_rate;

pub use clock::BootClock;
pub use connection::connect;
pub use events::{Event, EventSplitter, EventTooLarge};
pub use log::Log;
pub use options::{DeploymentSettings, Options, StoreKeys};
pub use protocol::{
    AdvertisedRate, ControlRequest, DecodeError, PlatformProtocol, RequestHead,
    ResponseHead, UpstreamRequestHead,
};
pub use start::{EntryServer, StartError, start};
