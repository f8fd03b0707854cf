//! The entry's machine: admission, routing, answers, directory and planning.

mod event;

pub use event::{Arrival, EntryAction, EntryEvent, Work};
