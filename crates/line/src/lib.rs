//! The timeline: events of all processes, in causal order.
//!
//! Each process keeps its latest events in an [`EventRecorder`]. Every event has
//! the time of a hybrid logical clock: the wall clock, but never less than any time
//! that the process has issued or received before. Each frame on a link carries the
//! sender's clock, and the receiver [observes](EventRecorder::observe) it, so an
//! effect sorts after its cause even if the wall clocks of two processes differ
//! (up to a limit). [`merge`] combines the events of several processes.
//!
//! Invariants:
//!
//! - The clock of a process never goes backwards.
//! - Memory is bounded: the recorder keeps a fixed number of events and truncates
//!   their texts.

mod clock;
mod filter;
mod merge;
mod recorder;
mod render;

pub use clock::{WallClock, unix_time_us};
pub use filter::EventFilter;
pub use merge::merge;
pub use recorder::EventRecorder;
pub use render::render;
pub use schema::timeline::{Event, EventKind};
