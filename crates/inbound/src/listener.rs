//! Listeners whose connections have small buffers in the kernel.

use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::SocketAddr;
use tokio::net::TcpListener;

use crate::Budget;

/// Number of connections that wait to be accepted.
const BACKLOG: i32 = 1_024;

/// Binds a listener for callers. Its connections inherit the buffers.
///
/// # Errors
///
/// The address can't be bound.
pub fn bind(address: SocketAddr, budget: &Budget) -> io::Result<TcpListener> {
    let domain = Domain::for_address(address);
    let socket = Socket::new(domain, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    // Without them the kernel's own sizes apply, and callers are served all the same.
    let _ = socket.set_recv_buffer_size(budget.receive_buffer_bytes);
    let _ = socket.set_send_buffer_size(budget.send_buffer_bytes);
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}
