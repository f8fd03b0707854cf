//! Tests of the decisions of entries that speak to upstreams themselves.

mod adapters;
mod admit;
mod again;
mod cadence;
mod demand;
mod doubts;
mod fleet;
mod lease;
mod ledger;
mod liveness;
mod moves;
mod pick;
mod rate;
mod reading;
mod reborn;
mod repeats;
mod setup;
mod shared_watch;
mod starts;
mod successor;
mod support;
mod turned_away;
