//! The time line: what happened, over all processes, in causal order.
//!
//! Each process keeps its newest events in a [`EventRecorder`]. Every event carries a
//! hybrid logical clock: the wall clock, but never below what the process has
//! shown or heard. Each frame on a link carries the sender's clock, and its
//! receiver [observes](Recorder::observe) it, so an effect never sorts before
//! its cause however far two wall clocks are apart. [`merge`] puts the events of
//! several processes into one line.
//!
//! Invariants:
//!
//! - The clock of a process never falls.
//! - Memory is bounded: the recorder keeps a fixed number of events, and their
//!   texts are cut.

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
