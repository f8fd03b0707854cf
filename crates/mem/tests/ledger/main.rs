//! Tests of the ledger with orders that are lost, late, sent twice or issued by a
//! predecessor.

mod counting;
mod orders;
mod steps;
