//! Sockets whose far end may vanish without a word.

use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Longest wait for a connection. Within a region one takes a few milliseconds;
/// a full queue of new connections drops the first packet, and it is sent again
/// only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Idle time after which the far end is probed, the time between two probes, and
/// how many of them may be lost.
const PROBE_AFTER: Duration = Duration::from_secs(1);
const PROBE_EVERY: Duration = Duration::from_secs(1);
const PROBES: u32 = 2;

/// Time for which sent bytes may be unacknowledged.
const UNACKNOWLEDGED_MAX: Duration = Duration::from_millis(2_500);

/// Connects, and makes sure that a far end that vanishes is noticed.
///
/// # Errors
///
/// The far end refuses or does not answer in time.
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))?;
    watch_far_end(&stream);
    Ok(stream)
}

/// Makes the kernel notice a far end that is gone or cut off: it answers
/// nothing, and without this reads wait for ever and writes for a quarter of an
/// hour.
pub(crate) fn watch_far_end(stream: &TcpStream) {
    let probes = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_EVERY)
        .with_retries(PROBES);
    let socket = SockRef::from(stream);
    // Where an option is not to be had, time-outs of requests still end them.
    let _ = socket.set_tcp_keepalive(&probes);
    let _ = socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_MAX));
    // The kernel would hold an event back until the one before it is
    // acknowledged.
    let _ = stream.set_nodelay(true);
}
