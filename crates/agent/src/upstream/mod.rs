//! The upstream's protocol: attempts, orders and state.

mod answer;
mod asking;
mod connection;
mod ending;
mod engine;
mod orders;
mod request;
mod run;
mod service;
mod sse;
mod state;

pub(crate) use orders::order;
pub(crate) use run::run;
pub(crate) use state::poll;

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
