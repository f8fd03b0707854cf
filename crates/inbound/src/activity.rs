//! Whether a connection is in use, or rests.

use parking_lot::Mutex;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use crate::body_ledger::{NO_PROGRESS_MS, PROGRESS_BYTES};

/// Time in which a connection that gives way has to send its last response.
const LAST_RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);

/// What a connection waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Rest {
    /// The next request; all before it were responded to.
    Idle,
    /// The first request, or the rest of a head.
    Head,
    /// The rest of a body.
    Body,
    /// A caller that doesn't read its response.
    Write,
}

impl Rest {
    /// Time after which a connection may give way. A head follows its connection within
    /// milliseconds, the parts of a body one another; callers pause for seconds while
    /// they read.
    const fn min(self) -> Duration {
        match self {
            Self::Idle => Duration::ZERO,
            Self::Head => Duration::from_millis(250),
            Self::Body => Duration::from_millis(NO_PROGRESS_MS),
            Self::Write => Duration::from_secs(5),
        }
    }

    /// Returns the name used in metrics.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::Head => "head",
            Self::Body => "body",
            Self::Write => "write",
        }
    }
}

#[derive(Debug)]
struct State {
    /// What it waits for, and since when; `None` while it is in use.
    resting: Option<(Rest, Instant)>,
    /// What came of a body since it last made progress.
    read_bytes: usize,
}

/// Activity of one connection. Clones share it.
#[derive(Debug, Clone)]
pub struct Activity {
    state: Arc<Mutex<State>>,
    /// Whether a request was refused with a part of its body unread.
    body_unread: Arc<AtomicBool>,
    evicted: CancellationToken,
}

impl Default for Activity {
    /// That of a connection on which nothing has come.
    fn default() -> Self {
        let resting = Some((Rest::Head, Instant::now()));
        let state = State {
            resting,
            read_bytes: 0,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            body_unread: Arc::default(),
            evicted: CancellationToken::new(),
        }
    }
}

impl Activity {
    /// The connection waits for its next request.
    pub fn rest_idle(&self) {
        self.rest(Rest::Idle);
    }

    /// The connection waits for the rest of a head.
    pub fn rest_in_head(&self) {
        self.rest(Rest::Head);
    }

    /// The connection waits for the rest of a body, until the guard is dropped.
    pub fn rest_in_body(&self) -> BusyGuard {
        self.state.lock().read_bytes = 0;
        self.rest(Rest::Body);
        BusyGuard(self.clone())
    }

    /// A write to the caller waits for it to read.
    pub fn rest_in_write(&self) {
        let mut state = self.state.lock();
        if state.resting.is_none() {
            state.resting = Some((Rest::Write, Instant::now()));
        }
    }

    /// A write to the caller went on.
    pub fn record_write(&self) {
        let mut state = self.state.lock();
        if state.resting.is_some_and(|(rest, _)| rest == Rest::Write) {
            state.resting = None;
        }
    }

    /// A request is being handled.
    pub fn busy(&self) {
        self.state.lock().resting = None;
    }

    /// A request is being handled until the guard is dropped. Then the connection waits
    /// for the next one.
    pub fn respond(&self) -> IdleGuard {
        self.busy();
        IdleGuard(self.clone())
    }

    /// A part of a request's body is left unread: the connection can't be used again.
    pub fn leave_body_unread(&self) {
        self.body_unread.store(true, Ordering::Relaxed);
    }

    /// Returns whether a part of a body was left unread.
    pub fn has_unread_body(&self) -> bool {
        self.body_unread.load(Ordering::Relaxed)
    }

    /// Counts bytes of a body.
    pub(crate) fn record_read(&self, bytes: usize) {
        let mut state = self.state.lock();
        state.read_bytes += bytes;
        if state.read_bytes >= PROGRESS_BYTES {
            state.read_bytes = 0;
            state.resting = state.resting.map(|(rest, _)| (rest, Instant::now()));
        }
    }

    fn rest(&self, rest: Rest) {
        self.state.lock().resting = Some((rest, Instant::now()));
    }

    /// Returns for what and how long the connection rests, if it may give way.
    pub(crate) fn may_give_way(&self, now: Instant) -> Option<(Rest, Duration)> {
        let (rest, since) = self.state.lock().resting?;
        let rested = now.saturating_duration_since(since);
        (rested >= rest.min()).then_some((rest, rested))
    }

    /// Waits until the connection has to give way and its owner must not wait for it any
    /// longer: it waits for a head, or still rests after it could have sent the refusal of
    /// a body. A request that has just begun is served.
    pub async fn must_close(&self) {
        self.evicted().await;
        loop {
            if self.rests_in(Some(Rest::Head)) {
                return;
            }
            sleep(LAST_RESPONSE_TIMEOUT).await;
            if self.rests_in(None) {
                return;
            }
        }
    }

    /// Whether it has rested for long enough to give way, for this reason or any.
    fn rests_in(&self, reason: Option<Rest>) -> bool {
        let resting = self.may_give_way(Instant::now());
        resting.is_some_and(|(rest, _)| reason.is_none_or(|reason| rest == reason))
    }

    /// Waits until the connection has to give way.
    pub async fn evicted(&self) {
        self.evicted.cancelled().await;
    }

    pub(crate) fn is_evicted(&self) -> bool {
        self.evicted.is_cancelled()
    }

    pub(crate) fn evict(&self) {
        self.evicted.cancel();
    }
}

/// Marks a connection as waiting for its next request when dropped.
#[derive(Debug)]
pub struct IdleGuard(Activity);

impl Drop for IdleGuard {
    fn drop(&mut self) {
        self.0.rest_idle();
    }
}

/// Marks a connection as in use when dropped.
#[derive(Debug)]
pub struct BusyGuard(Activity);

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.busy();
    }
}
