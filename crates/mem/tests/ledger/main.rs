//! The ledger against orders that are lost, late, doubled or a predecessor's.

mod counting;
mod orders;
mod steps;
