//! What is seen of requests in a connection's bytes: where its turn is, and
//! requests with two framings.
//!
//! The HTTP library closes a connection that is to end and has no request in its
//! hands, also if the first bytes of one have come. Whose turn it is tells when
//! that cuts nobody off.
//!
//! The HTTP library reads a request with both a length and chunks by its chunks
//! and drops the length before anybody sees it. What stands behind the chunks
//! would then be taken for the next request, while whoever counted the length
//! took it for a body.

use parking_lot::Mutex;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::watch;

/// Start of a line that is kept: the longer name and its colon.
const LINE_START_MAX: usize = 18;

/// What is seen of the head that is being read.
#[derive(Debug, Default)]
struct Head {
    /// Start of the line that is being read, in lower case.
    line: Vec<u8>,
    length: bool,
    coding: bool,
    /// The empty line has come; what follows is a body.
    over: bool,
}

impl Head {
    fn read(&mut self, bytes: &[u8]) {
        for byte in bytes {
            if self.over {
                return;
            }
            match byte {
                b'\n' => self.end_line(),
                b'\r' => {}
                byte if self.line.len() < LINE_START_MAX => {
                    self.line.push(byte.to_ascii_lowercase());
                }
                _ => {}
            }
        }
    }

    fn end_line(&mut self) {
        self.length |= self.line.starts_with(b"content-length:");
        self.coding |= self.line.starts_with(b"transfer-encoding:");
        // An empty line before the request line ends nothing.
        self.over = self.line.is_empty() && (self.length || self.coding);
        self.line.clear();
    }
}

/// Whose turn it is on a connection.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Turn {
    /// The caller has connected and sent nothing yet.
    #[default]
    Fresh,
    /// The caller is sending a head.
    Sending,
    /// A request is being answered, to the last byte of its answer.
    Answering,
    /// All requests so far were answered.
    Idle,
}

impl Turn {
    const fn owes_head(self) -> bool {
        matches!(self, Self::Fresh | Self::Sending)
    }
}

/// What is seen of a connection's requests.
#[derive(Debug, Clone, Default)]
pub(crate) struct Framing(Arc<Seen>);

#[derive(Debug, Default)]
struct Seen {
    head: Mutex<Head>,
    turn: watch::Sender<Turn>,
}

impl Framing {
    /// A head was read to its end, and its request is being answered.
    pub(crate) fn answering(&self) {
        self.0.turn.send_replace(Turn::Answering);
    }

    /// Whether the head that was read last has both a length and a coding.
    pub(crate) fn is_double(&self) -> bool {
        let head = self.0.head.lock();
        head.length && head.coding
    }

    /// The request was answered: what is read next is another head.
    pub(crate) fn next_head(&self) {
        *self.0.head.lock() = Head::default();
    }

    /// All of the answer was handed over.
    pub(crate) fn answered(&self) {
        self.0.turn.send_replace(Turn::Idle);
    }

    /// Waits until the caller has begun to send a head, if its connection is fresh.
    pub(crate) async fn head_has_begun(&self) {
        self.wait_for(|turn| turn != Turn::Fresh).await;
    }

    /// Waits until no head is due.
    pub(crate) async fn head_is_whole(&self) {
        self.wait_for(|turn| !turn.owes_head()).await;
    }

    /// Whether a head is due: of the request for which the connection was opened, or
    /// of one that has begun.
    pub(crate) fn owes_head(&self) -> bool {
        self.0.turn.borrow().owes_head()
    }

    async fn wait_for(&self, holds: impl Fn(Turn) -> bool) {
        let mut turn = self.0.turn.subscribe();
        // The sender lives as long as this.
        let _ = turn.wait_for(|turn| holds(*turn)).await;
    }

    fn read(&self, bytes: &[u8]) {
        self.0.head.lock().read(bytes);
        if !bytes.is_empty() {
            self.0.turn.send_if_modified(|turn| {
                let begins = matches!(turn, Turn::Fresh | Turn::Idle);
                if begins {
                    *turn = Turn::Sending;
                }
                begins
            });
        }
    }
}

/// A stream whose heads are looked at while they are read.
#[derive(Debug)]
pub(crate) struct Watched<S> {
    stream: S,
    framing: Framing,
}

impl<S> Watched<S> {
    pub(crate) const fn new(stream: S, framing: Framing) -> Self {
        Self { stream, framing }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Watched<S> {
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

impl<S: AsyncWrite + Unpin> AsyncWrite for Watched<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
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
