//! Observes the bytes of a caller's connection to know which phase its current
//! request is in, and to detect requests with ambiguous framing.
//!
//! When told to shut down gracefully, the HTTP library closes a connection on
//! which no request is being handled, even if the first bytes of one have
//! arrived. The phase tells when closing cuts no request off.
//!
//! For a request that has both `Content-Length` and chunked encoding, the HTTP
//! library uses the chunks and drops the length before any handler sees it. The
//! bytes after the chunks would then be taken for the next request, while a
//! proxy that used the length took them for the body.

use inbound::Activity;
use parking_lot::Mutex;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::watch;
use tokio::time::Instant;

/// Number of bytes kept of the start of a line: the longer of the two header
/// names and its colon.
const MAX_LINE_PREFIX: usize = 18;

/// State of the scan of the current request head.
#[derive(Debug, Default)]
struct HeadScanner {
    /// Start of the current line, in lower case.
    line: Vec<u8>,
    has_content_length: bool,
    has_transfer_encoding: bool,
    /// Whether the empty line after the headers was read; what follows is the
    /// body.
    complete: bool,
}

impl HeadScanner {
    fn read(&mut self, bytes: &[u8]) {
        for byte in bytes {
            if self.complete {
                return;
            }
            match byte {
                b'\n' => self.end_line(),
                b'\r' => {}
                byte if self.line.len() < MAX_LINE_PREFIX => {
                    self.line.push(byte.to_ascii_lowercase());
                }
                _ => {}
            }
        }
    }

    fn end_line(&mut self) {
        self.has_content_length |= self.line.starts_with(b"content-length:");
        self.has_transfer_encoding |= self.line.starts_with(b"transfer-encoding:");
        // An empty line before the request line doesn't end the head.
        self.complete = self.line.is_empty()
            && (self.has_content_length || self.has_transfer_encoding);
        self.line.clear();
    }
}

/// The phase of the current request on a connection.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum RequestPhase {
    /// The caller has connected and sent nothing yet.
    #[default]
    AwaitingFirst,
    /// The caller is sending a request head.
    ReadingHead,
    /// A request is being handled, up to the last byte of its response.
    Responding,
    /// All requests so far have been responded to.
    Idle,
}

impl RequestPhase {
    const fn expects_head(self) -> bool {
        matches!(self, Self::AwaitingFirst | Self::ReadingHead)
    }

    /// Returns the name used in metrics and log lines.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::AwaitingFirst => "awaiting_first",
            Self::ReadingHead => "reading_head",
            Self::Responding => "responding",
            Self::Idle => "idle",
        }
    }
}

/// A phase and when it began.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PhaseStart {
    pub(crate) phase: RequestPhase,
    pub(crate) since: Instant,
}

impl PhaseStart {
    fn now(phase: RequestPhase) -> Self {
        let since = Instant::now();
        Self { phase, since }
    }
}

impl Default for PhaseStart {
    fn default() -> Self {
        Self::now(RequestPhase::default())
    }
}

/// Observed state of a connection's requests. Clones share the state.
#[derive(Debug, Clone, Default)]
pub(crate) struct RequestFraming(Arc<FramingState>);

#[derive(Debug, Default)]
struct FramingState {
    head: Mutex<HeadScanner>,
    phase: watch::Sender<PhaseStart>,
    activity: Activity,
}

impl RequestFraming {
    /// The state of a connection with this activity, which follows the phase.
    pub(crate) fn new(activity: Activity) -> Self {
        Self(Arc::new(FramingState {
            activity,
            ..FramingState::default()
        }))
    }

    /// Returns the activity of the connection.
    pub(crate) fn activity(&self) -> &Activity {
        &self.0.activity
    }

    /// Notes that a complete head was read and its request is being handled.
    pub(crate) fn response_started(&self) {
        self.begin(RequestPhase::Responding);
    }

    /// Returns whether the last head had both a length and a transfer encoding.
    pub(crate) fn has_ambiguous_length(&self) -> bool {
        let head = self.0.head.lock();
        head.has_content_length && head.has_transfer_encoding
    }

    /// Resets the scan: the bytes that are read next start a new head.
    pub(crate) fn reset_head(&self) {
        *self.0.head.lock() = HeadScanner::default();
    }

    /// Notes that the whole response was handed to the HTTP library.
    pub(crate) fn response_finished(&self) {
        self.begin(RequestPhase::Idle);
    }

    /// Waits until the caller has sent the first byte of its first request.
    pub(crate) async fn head_started(&self) {
        self.wait_for(|phase| phase != RequestPhase::AwaitingFirst)
            .await;
    }

    /// Waits until no request head is expected.
    pub(crate) async fn head_complete(&self) {
        self.wait_for(|phase| !phase.expects_head()).await;
    }

    /// Returns the phase of the current request.
    pub(crate) fn phase(&self) -> RequestPhase {
        self.phase_start().phase
    }

    /// Returns the phase of the current request, and when it began.
    pub(crate) fn phase_start(&self) -> PhaseStart {
        *self.0.phase.borrow()
    }

    fn begin(&self, phase: RequestPhase) {
        match phase {
            RequestPhase::Idle => self.0.activity.rest_idle(),
            _ => self.0.activity.busy(),
        }
        self.0.phase.send_replace(PhaseStart::now(phase));
    }

    /// Returns whether a request head is expected: that of the connection's
    /// first request, or one that has been received in part.
    pub(crate) fn expects_head(&self) -> bool {
        self.phase().expects_head()
    }

    /// Waits until another phase than this one has begun.
    pub(crate) async fn phase_changed(&self, from: PhaseStart) {
        let mut phase = self.0.phase.subscribe();
        // The sender lives as long as `self`.
        let _ = phase
            .wait_for(|start| start.phase != from.phase || start.since != from.since)
            .await;
    }

    async fn wait_for(&self, holds: impl Fn(RequestPhase) -> bool) {
        let mut phase = self.0.phase.subscribe();
        // The sender lives as long as `self`.
        let _ = phase.wait_for(|start| holds(start.phase)).await;
    }

    fn read(&self, bytes: &[u8]) {
        self.0.head.lock().read(bytes);
        if !bytes.is_empty() {
            self.0.phase.send_if_modified(|start| {
                let starts_request = matches!(
                    start.phase,
                    RequestPhase::AwaitingFirst | RequestPhase::Idle
                );
                if starts_request {
                    self.0.activity.rest_in_head();
                    *start = PhaseStart::now(RequestPhase::ReadingHead);
                }
                starts_request
            });
        }
    }
}

/// A stream whose incoming bytes are scanned for request heads.
#[derive(Debug)]
pub(crate) struct ObservedStream<S> {
    stream: S,
    framing: RequestFraming,
}

impl<S> ObservedStream<S> {
    pub(crate) const fn new(stream: S, framing: RequestFraming) -> Self {
        Self { stream, framing }
    }

    /// Returns the stream itself.
    pub(crate) fn into_inner(self) -> S {
        self.stream
    }

    /// Notes whether a write waits for the caller to read.
    fn record_write<T>(&self, result: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        if result.is_pending() {
            self.framing.activity().rest_in_write();
        } else {
            self.framing.activity().record_write();
        }
        result
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for ObservedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buffer);
        self.framing.read(&buffer.filled()[before..]);
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for ObservedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.record_write(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.record_write(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
