//! Distinguishes an upstream that crashed from one that only lost a response.

use base::prelude::*;
use direct::UpstreamIncarnation;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::timeout;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::dispatch::Dispatch;
use crate::in_flight::InFlight;
use crate::suspect_parts::part_names;
use crate::upstream_address::address_of;

/// Time from a broken connection until the upstream is checked. A crashing
/// process takes a moment to exit.
const CRASH_CHECK_DELAY: Duration = Duration::from_millis(30);

/// Longest time for which a request waits for the result of a crash check.
const CRASH_CHECK_MAX: Duration = Duration::from_millis(150);

/// Checks whether an upstream that broke a request's connection has crashed. If
/// it can't be connected to either, it has, and the request is recorded as a
/// suspect: one that may have caused the crash.
///
/// A lost response or a cut stream breaks the connection in the same way. If
/// two of those counted as crashes, a harmless request, and all that have the
/// same fingerprint, would be kept from every upstream for a minute.
pub(crate) fn check_for_crash(in_flight: &InFlight) -> JoinHandle<()> {
    let node = Arc::clone(&in_flight.node);
    let upstream = Arc::clone(&in_flight.upstream);
    let UpstreamIncarnation {
        started_unix_ms, ..
    } = in_flight.incarnation();
    let (fingerprint, answering) = (in_flight.fingerprint, in_flight.is_answering());
    let parts = Arc::clone(&in_flight.shared_parts);
    tokio::spawn(async move {
        tokio::time::sleep(CRASH_CHECK_DELAY).await;
        if let Some(address) = address_of(&node, &upstream)
            && let Ok(connection) =
                node.connections.take(&upstream, address, true).await
        {
            node.connections.keep(&upstream, connection, None);
            return;
        }
        node.log.line(
            "upstream_crashed",
            serde_json::json!({ "upstream": &*upstream,
                "started_unix_ms": started_unix_ms, "answering": answering,
                "parts": part_names(&parts),
                "fingerprint": format!("{fingerprint:016x}") }),
        );
        if !answering {
            let incarnation = UpstreamIncarnation {
                id: &upstream,
                started_unix_ms,
            };
            node.record_part_crash(&parts, fingerprint, incarnation);
        }
        let source = crash_source(&upstream, started_unix_ms);
        let mut suspects = node.suspects.lock();
        let started_ms = started_unix_ms.unwrap_or(0);
        suspects.record_crash(node.now(), &[fingerprint], &source, started_ms, false);
    })
}

/// Waits for the result of a crash check if the request itself may be the cause. Sent to
/// another upstream before, it could crash that one as well.
pub(crate) async fn await_if_doubtful(dispatch: &Dispatch, check: JoinHandle<()>) {
    if dispatch.may_crash_upstreams() {
        let _ = timeout(CRASH_CHECK_MAX, check).await;
    }
}

/// Returns the hash that a crash is counted under as evidence about parts of prompts.
pub(crate) fn incarnation_hash(incarnation: UpstreamIncarnation<'_>) -> u64 {
    let started_unix_ms = incarnation.started_unix_ms.unwrap_or(0);
    xxh3_64_with_seed(incarnation.id.as_bytes(), started_unix_ms)
}

/// Returns the same for a crash of this name.
pub(crate) fn incarnation_hash_of(source: &AgentId) -> u64 {
    let source = source.as_str();
    let named = source.rsplit_once('@').and_then(|(id, started)| {
        let started_unix_ms = started.parse().ok()?;
        Some((id, Some(started_unix_ms)))
    });
    let (id, started_unix_ms) = named.unwrap_or((source, None));
    incarnation_hash(UpstreamIncarnation {
        id,
        started_unix_ms,
    })
}

/// Returns the name that a crash is counted under. Crashes of two upstreams
/// convict a request, and two incarnations of one upstream count as two:
/// otherwise the request would go on to crash each incarnation of the same
/// upstream.
fn crash_source(upstream: &str, started_unix_ms: Option<u64>) -> AgentId {
    match started_unix_ms {
        Some(started_unix_ms) => AgentId::new(&format!("{upstream}@{started_unix_ms}")),
        None => AgentId::new(upstream),
    }
}
