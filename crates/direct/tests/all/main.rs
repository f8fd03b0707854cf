//! Tests of the decisions of entries that talk to upstreams directly.

mod adapters;
mod admission;
mod avoidance;
mod config;
mod control_calls;
mod demand;
mod fleet;
mod incarnations;
mod lease;
mod leaving;
mod ledger;
mod ledger_restarts;
mod liveness;
mod load_planner;
mod peer_messages;
mod prefill;
mod rate;
mod refusals;
mod retry;
mod retry_budget;
mod select;
mod shared_watch;
mod start_source;
mod successor;
mod support;
mod takeover;
