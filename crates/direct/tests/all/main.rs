//! Tests of the decisions of entries that speak to upstreams themselves.

mod admit;
mod again;
mod demand;
mod doubts;
mod fleet;
mod lease;
mod ledger;
mod moves;
mod pick;
mod reborn;
mod repeats;
mod setup;
mod starts;
mod support;
