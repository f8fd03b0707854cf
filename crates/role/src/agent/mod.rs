//! The agent's machine: gate, ledger, claims and orders of one upstream.

mod event;

pub use event::{
    AgentAction, AgentEvent, Order, OrderAnswer, UpstreamEvent, UpstreamOrder,
    UpstreamOrderState, UpstreamReport, UpstreamResident,
};
