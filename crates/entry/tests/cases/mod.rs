//! The tests.

mod answers;
mod bounds;
mod errors;
mod faults;
mod garbage;
mod links;
mod program;
mod reply;
mod stopping;
