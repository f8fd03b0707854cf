//! Tests of the entry's process on loopback, with stand-ins for agents and the
//! platform in the test's own process.

mod cases;
mod support;
