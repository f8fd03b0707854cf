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

pub(crate) use attempt::run;
pub(crate) use orders::order;
pub(crate) use state_poll::poll;

use std::net::SocketAddr;
use tokio::sync::Notify;

/// The upstream beside this process.
#[derive(Debug)]
pub(crate) struct Upstream {
    address: SocketAddr,
    ask_now: Notify,
}

impl Upstream {
    /// The upstream at an address.
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            ask_now: Notify::new(),
        }
    }

    /// Asks for the upstream's state at once: something suggests that it has
    /// changed.
    fn ask_now(&self) {
        self.ask_now.notify_one();
    }
}
