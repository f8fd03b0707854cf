//! Reads what a refused caller still sends.
//!
//! Closing a connection with unread bytes resets it. The caller may then lose a response
//! that was sent before, and send the request again.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use std::pin::pin;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::time::timeout;

/// Most that is read of a body whose request is refused, so that its connection can be
/// used again. More costs the caller and this process more than a new connection.
const DISCARDED_MAX_BYTES: usize = 64 << 10;

/// Longest time for that.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// Most that is read of a connection that is to be closed. Callers that send somewhat more
/// than the limit on bodies get the response; those that send without end don't.
const DRAINED_MAX_BYTES: usize = 8 << 20;

/// Longest time for that.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

/// Size of the reads of a connection that is to be closed.
const READ_BYTES: usize = 4 << 10;

/// Reads a body without keeping it. Returns whether it has ended.
pub async fn discard<B: Body<Data = Bytes>>(body: B) -> bool {
    // Nothing of a larger body is read: a caller that asks first doesn't send it.
    if body.size_hint().lower() > DISCARDED_MAX_BYTES as u64 {
        return false;
    }
    let mut body = pin!(body);
    let reading = async {
        let mut read_bytes = 0;
        while let Some(frame) = body.frame().await {
            let part = frame.ok().and_then(|frame| frame.into_data().ok());
            read_bytes += part.map_or(0, |part| part.len());
            if read_bytes > DISCARDED_MAX_BYTES {
                return false;
            }
        }
        true
    };
    timeout(DISCARD_TIMEOUT, reading).await.unwrap_or(false)
}

/// Ends the writing side of a connection whose response has been sent, and reads until the
/// caller closes it or has sent more than it may. Returns whether the caller closed it.
pub async fn drain(mut stream: impl AsyncRead + AsyncWrite + Unpin) -> bool {
    let reading = async {
        // An error means that the caller is gone, which the read finds too.
        let _ = stream.shutdown().await;
        let mut buffer = [0; READ_BYTES];
        let mut read_bytes = 0;
        while read_bytes < DRAINED_MAX_BYTES {
            match stream.read(&mut buffer).await {
                Ok(0) | Err(_) => return true,
                Ok(bytes) => read_bytes += bytes,
            }
        }
        false
    };
    // Whatever is unread then is lost.
    timeout(DRAIN_TIMEOUT, reading).await.unwrap_or(false)
}
