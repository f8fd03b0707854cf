//! Detection of dead predecessors.

use std::net::SocketAddr;
use tokio::net::TcpListener;

/// Returns whether the process that listened on an address is certainly dead.
///
/// A frozen process still holds its listening socket, so the operating system refuses
/// another socket on the same address until that process has ended. Any error while
/// binding is treated as "not known to be dead". `own` is the address on which this
/// process listens: since it could be bound, its previous user is dead.
pub(crate) async fn is_dead(address: &str, own: SocketAddr) -> bool {
    match address.parse::<SocketAddr>() {
        Ok(address) if address == own => true,
        Ok(address) => TcpListener::bind(address).await.is_ok(),
        Err(_) => false,
    }
}
