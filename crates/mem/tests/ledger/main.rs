//! Tests of the ledger with orders that are lost, late, sent twice or issued by a
//! predecessor.

mod memory_in_use;
mod reservations;
mod steps;
