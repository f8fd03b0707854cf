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

/// Time for which bytes sent to an upstream or the platform may be unacknowledged.
const UNACKNOWLEDGED_MAX: Duration = Duration::from_millis(2_500);

/// The same for callers. The kernel also counts the time in which a caller reads
/// nothing, though it acknowledges: with the bound for upstreams, an answer was cut
/// under a caller that paused for three seconds. As long as callers may keep a
/// connection idle.
const CALLER_PAUSE_MAX: Duration = Duration::from_secs(15);

/// Connects, and makes sure that a far end that vanishes is noticed.
///
/// # Errors
///
/// The far end refuses or does not answer in time.
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))?;
    watch_far_end(&stream, UNACKNOWLEDGED_MAX);
    Ok(stream)
}

/// Makes sure that a caller that vanishes is noticed.
pub(crate) fn watch_caller(stream: &TcpStream) {
    watch_far_end(stream, CALLER_PAUSE_MAX);
}

/// Makes the kernel notice a far end that is gone or cut off: it answers
/// nothing, and without this reads wait for ever and writes for a quarter of an
/// hour.
fn watch_far_end(stream: &TcpStream, unacknowledged_max: Duration) {
    let probes = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_EVERY)
        .with_retries(PROBES);
    let socket = SockRef::from(stream);
    // Where an option is not to be had, time-outs of requests still end them.
    let _ = socket.set_tcp_keepalive(&probes);
    let _ = socket.set_tcp_user_timeout(Some(unacknowledged_max));
    // The kernel would hold an event back until the one before it is
    // acknowledged.
    let _ = stream.set_nodelay(true);
}
