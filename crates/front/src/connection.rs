//! TCP connections that detect an unresponsive peer.

use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Connect timeout. Within a region a connection takes a few milliseconds. If
/// the listener's backlog is full, the first packet is dropped and only sent
/// again after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// TCP keepalive: idle time before the first probe, time between probes, and
/// the number of unanswered probes after which the connection is dropped.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_PROBES: u32 = 2;

/// `TCP_USER_TIMEOUT` of connections to upstreams and to the platform: how long
/// sent data may stay unacknowledged.
const UPSTREAM_USER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// `TCP_USER_TIMEOUT` of callers' connections. The kernel also counts the time
/// for which a caller acknowledges data but doesn't read it. With the limit for
/// upstreams, a response was cut off for a caller that paused for three
/// seconds. This is as long as callers may keep a connection idle.
const CALLER_USER_TIMEOUT: Duration = Duration::from_secs(15);

/// Opens a connection that detects an unresponsive peer.
///
/// # Errors
///
/// The peer refuses the connection or doesn't answer in time.
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))?;
    configure_socket(&stream, UPSTREAM_USER_TIMEOUT);
    Ok(stream)
}

/// Configures an accepted connection so that a caller that disappears is
/// detected.
pub(crate) fn configure_caller_socket(stream: &TcpStream) {
    configure_socket(stream, CALLER_USER_TIMEOUT);
}

/// Makes the kernel detect a peer that is gone or unreachable. Such a peer
/// answers nothing: without these options, reads would wait forever and writes
/// for a quarter of an hour.
fn configure_socket(stream: &TcpStream, user_timeout: Duration) {
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let socket = SockRef::from(stream);
    // If an option isn't available, request timeouts still apply.
    let _ = socket.set_tcp_keepalive(&keepalive);
    let _ = socket.set_tcp_user_timeout(Some(user_timeout));
    // Otherwise the kernel holds an event back until the previous one is
    // acknowledged.
    let _ = stream.set_nodelay(true);
}
