//! Tests of the bounds on what callers make a process hold.

mod body_ledger;
mod budget;
mod connection_table;
mod drain;
mod listener;
mod read_body;
