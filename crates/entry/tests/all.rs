//! Tests of the entry process over loopback connections, with fake agents and a
//! fake platform in the test's own process.

mod cases;
mod support;
