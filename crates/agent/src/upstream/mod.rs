//! The upstream's protocol: attempts, orders and state.

mod answer_reader;
mod attempt;
mod connection;
mod engine_answer;
mod orders;
mod outcome;
mod request;
mod service_answer;
mod sse;
mod state_client;
mod state_poll;

pub(crate) use attempt::run_attempt;
pub(crate) use orders::execute_order;
pub(crate) use state_poll::poll_state;

use std::net::SocketAddr;
use tokio::sync::Notify;

/// The upstream of this agent.
#[derive(Debug)]
pub(crate) struct Upstream {
    address: SocketAddr,
    poll_now: Notify,
}

impl Upstream {
    /// Creates the upstream at an address.
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            poll_now: Notify::new(),
        }
    }

    /// Requests the upstream's state immediately, because it may have changed.
    fn poll_now(&self) {
        self.poll_now.notify_one();
    }
}
