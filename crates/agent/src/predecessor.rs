//! Whether a predecessor is dead.

use std::net::SocketAddr;
use tokio::net::TcpListener;

/// Whether the process that listened on an address is known to be dead.
///
/// A frozen process still holds its listening socket, and the operating system
/// then refuses a second one on the address; it is free only once the process is
/// gone. Any other fault of binding shows nothing. `own` is what this process
/// listens on itself: having bound it is the proof.
pub(crate) async fn is_dead(address: &str, own: SocketAddr) -> bool {
    match address.parse::<SocketAddr>() {
        Ok(address) if address == own => true,
        Ok(address) => TcpListener::bind(address).await.is_ok(),
        Err(_) => false,
    }
}
