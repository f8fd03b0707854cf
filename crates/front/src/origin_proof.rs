//! Makes certain at which software version a stream began, or goes on.
//!
//! An upstream may start again under its name with another version, and its record is
//! read some time later. A stream on a connection that may be younger than that is joined
//! with another part only after the upstream itself has stated its incarnation, or news
//! of a later time still names the same one; see
//! [`confirms_origin`](direct::Fleet::confirms_origin).

use base::prelude::*;
use direct::{OriginProof, StreamOrigin};
use parking_lot::Mutex;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

use crate::dispatch::Dispatch;
use crate::in_flight::InFlight;
use crate::orders::fetch_report;
use crate::state::Node;

/// Interval between two questions to one upstream. One that breaks off breaks all its
/// streams at once.
const ASK_INTERVAL_MS: u64 = 100;

/// Interval at which a request that waits checks what is known.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Longest wait for certainty within a response. News confirms a record at most 3 s after
/// its connection was opened, and arrives once a second.
const RESPONSE_WAIT_MAX: Duration = Duration::from_millis(4_000);

/// Times of the last questions to upstreams.
#[derive(Debug, Default)]
pub(crate) struct IncarnationQuestions {
    asked_at: Mutex<HashMap<Arc<str>, Instant>>,
}

impl IncarnationQuestions {
    /// Returns whether an upstream may be asked now, and if so, records that it is.
    fn begin(&self, now: Instant, upstream: &Arc<str>) -> bool {
        let mut asked_at = self.asked_at.lock();
        asked_at.retain(|_, at| now.ms_since(*at) < ASK_INTERVAL_MS);
        if asked_at.contains_key(upstream) {
            return false;
        }
        asked_at.insert(Arc::clone(upstream), now);
        true
    }
}

/// Why a version is not certain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Doubt {
    /// The upstream may have started again, which will be known later.
    Unconfirmed,
    /// It has started again.
    Restarted,
}

/// Returns why it is not certain at which version a stream began.
fn doubt(node: &Node, origin: &StreamOrigin) -> Option<Doubt> {
    let fleet = node.fleet.lock();
    if fleet.confirms_origin(origin) {
        None
    } else if fleet.refutes_origin(origin) {
        Some(Doubt::Restarted)
    } else {
        Some(Doubt::Unconfirmed)
    }
}

/// Waits until it is certain at which version a stream began, and asks its upstream.
///
/// # Errors
///
/// It isn't certain after `max_wait`, or won't be.
pub(crate) async fn confirm(
    node: &Node,
    origin: &mut StreamOrigin,
    max_wait: Duration,
) -> Result<(), Doubt> {
    let wait_end = node.now() + max_wait;
    loop {
        match doubt(node, origin) {
            None => {
                origin.proof = OriginProof::Confirmed;
                return Ok(());
            }
            Some(Doubt::Restarted) => return Err(Doubt::Restarted),
            Some(Doubt::Unconfirmed) => {}
        }
        let now = node.now();
        if now >= wait_end || node.shutdown.respond_now.is_cancelled() {
            return Err(Doubt::Unconfirmed);
        }
        if begin_question(node, origin) {
            // The next iteration checks what the upstream stated, if it did.
            let question = fetch_report(node, &origin.upstream);
            let _ = timeout(wait_end.since(now), question).await;
        } else {
            sleep(CHECK_INTERVAL).await;
        }
    }
}

/// Returns whether the upstream of a stream may be asked now. One whose record has no
/// start time can't be told from its next incarnation.
fn begin_question(node: &Node, origin: &StreamOrigin) -> bool {
    let OriginProof::Recorded {
        started_unix_ms: Some(_),
        ..
    } = origin.proof
    else {
        return false;
    };
    let questions = &node.stream_origins.questions;
    questions.begin(node.now(), &origin.upstream)
}

/// Returns where a stream begins whose first event comes from `source`.
pub(crate) fn origin_at(source: &InFlight, service: &Arc<str>) -> StreamOrigin {
    let mut origin = StreamOrigin {
        service: Arc::clone(service),
        software: source.software,
        upstream: Arc::clone(&source.upstream),
        proof: OriginProof::Recorded {
            started_unix_ms: source.incarnation().started_unix_ms,
            connected_at: source.connected_at,
        },
    };
    if doubt(&source.node, &origin).is_none() {
        origin.proof = OriginProof::Confirmed;
    }
    origin
}

impl Dispatch {
    /// Longest wait for certainty about the version of a stream that goes on.
    fn certainty_wait(&self) -> Duration {
        let remaining_ms = self.request.remaining_ms(self.node.clock);
        RESPONSE_WAIT_MAX.min(Duration::from_millis(remaining_ms / 2))
    }

    /// Waits until it is certain where the stream began that is to go on elsewhere.
    /// Without certainty, no upstream is selected.
    pub(crate) async fn confirm_origin(&mut self) {
        let max_wait = self.certainty_wait();
        let Some(origin) = &mut self.origin else {
            return;
        };
        // The selection refuses an origin in doubt.
        let _ = confirm(&self.node, origin, max_wait).await;
    }

    /// Asks the upstream of a stream that may have to go on elsewhere, without waiting.
    pub(crate) fn begin_to_confirm_origin(&self) {
        let Some(origin) = &self.origin else {
            return;
        };
        let is_open = doubt(&self.node, origin) == Some(Doubt::Unconfirmed);
        if is_open && begin_question(&self.node, origin) {
            let (node, id) = (Arc::clone(&self.node), Arc::clone(&origin.upstream));
            tokio::spawn(async move { fetch_report(&node, &id).await.is_some() });
        }
    }

    /// Returns whether the rest of the stream may come from `source`, where it is certain
    /// which version runs there.
    pub(crate) async fn may_continue_at(&self, source: &InFlight) -> bool {
        let Some(origin) = &self.origin else {
            return true;
        };
        let mut target = origin_at(source, &self.request.service);
        target.software == origin.software
            && confirm(&self.node, &mut target, self.certainty_wait())
                .await
                .is_ok()
    }
}
