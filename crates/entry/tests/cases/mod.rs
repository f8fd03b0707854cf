//! Test cases by subject.

mod errors;
mod failures;
mod limits;
mod links;
mod malformed_input;
mod program;
mod response_queue;
mod responses;
mod shutdown;
