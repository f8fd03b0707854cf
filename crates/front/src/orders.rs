//! Sends orders to upstreams, requests their reports, and maintains the lease
//! that entitles its holder to send orders.

use base::{Instant, ObjectVersion, PlatformOp, PlatformResult, Precondition};
use bytes::Bytes;
use direct::{
    LeaseRecord, LeaseStep, Order, SendOutcome, UpstreamIncarnation, UpstreamReport,
};
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, Response, StatusCode};
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

use crate::lease_relay::request_renewal;
use crate::state::Node;
use crate::state::connection_pool::SendError;
use crate::state::unreadable::ObjectKind;
use crate::upstream_address::{address_of, record_unreachable};
use crate::upstream_changes::log_changes;
use crate::{ControlRequest, response_feedback};

/// Timeout of an order. Upstreams respond within milliseconds or not at all.
const ORDER_TIMEOUT: Duration = Duration::from_millis(800);

/// Timeout of a request for a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Largest report that is accepted.
const REPORT_MAX_BYTES: usize = 1 << 20;

/// Interval at which the lease is checked.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Silence of the lease's holder after which an entry that may acquire the
/// lease reads it from the platform.
const HOLDER_SILENCE_MS: u64 = 1_500;

/// Sends an order unless the lease has expired in the meantime, and records the
/// result.
pub(crate) async fn send_order(
    node: Arc<Node>,
    id: Arc<str>,
    service: Arc<str>,
    order: Order,
    token: u64,
    from_store: bool,
) {
    let request = node
        .protocol
        .order_request(&id, &order, &node.options.entry, token);
    let permit = || {
        let holds_lease = node.lease.lock().token(node.now()) == Some(token);
        holds_lease && node.coordinator.is_current(&id, &order)
    };
    let response = call_upstream(&node, &id, request, ORDER_TIMEOUT, permit).await;
    let result = match &response {
        Ok((status, _)) => {
            SendOutcome::Answered(node.protocol.parse_order_status(*status))
        }
        Err(SendError::NotSent) => SendOutcome::NotSent,
        Err(SendError::Broken) => SendOutcome::Unanswered,
    };
    if result == SendOutcome::Unanswered && from_store {
        node.coordinator
            .record_unanswered_load(node.now(), &service);
    }
    let status = response.map_or(0, |(status, _)| status.as_u16());
    let action = format!("{:?}", order.action);
    let name = action.split('(').next().unwrap_or_default().to_owned();
    let outcome = format!("{result:?}");
    let labels = [name.as_str(), outcome.as_str()];
    node.metrics.orders.with_label_values(&labels).inc();
    node.log.line(
        "order",
        json!({ "upstream": &*id, "action": action, "expect": order.expected_count,
            "token": token, "status": status, "outcome": outcome }),
    );
    let now = node.now();
    node.coordinator.record_order(now, &id, &order, result);
}

/// Requests an upstream's report and records it.
///
/// Some upstreams state their incarnation in the platform's record but not in
/// reports. Such a report is attributed to the incarnation that was known when
/// the report was requested, and is outdated if a later one is known when it
/// arrives. If that incarnation had already ended unnoticed, the report is from
/// the later one: a lower count of orders makes the ledger drop it; if the
/// counts are equal, orders based on it go to the later incarnation and are
/// valid there.
pub(crate) async fn request_report(node: Arc<Node>, id: Arc<str>) {
    let known_started_ms =
        address_of(&node, &id).and_then(|address| address.started_unix_ms);
    if let Some(mut report) = fetch_report(&node, &id).await {
        report.started_unix_ms = report.started_unix_ms.or(known_started_ms);
        node.coordinator.record_report(node.now(), &id, &report);
    }
}

/// Requests an upstream's report and records the incarnation that it states.
pub(crate) async fn fetch_report(node: &Node, id: &Arc<str>) -> Option<UpstreamReport> {
    let asked_at = node.now();
    let request = node.protocol.report_request(id);
    let response = call_upstream(node, id, request, REPORT_TIMEOUT, || true).await;
    let body = match response {
        Ok((StatusCode::OK, body)) => body,
        other => {
            let status = other.map(|(status, _)| status.as_u16());
            let outcome = format!("{status:?}");
            node.log.line(
                "report_missing",
                json!({ "upstream": &**id, "outcome": outcome }),
            );
            return None;
        }
    };
    match node.protocol.parse_report(&body) {
        Ok(report) => {
            node.unreadable.forget(ObjectKind::Report, id);
            let incarnation = UpstreamIncarnation {
                id,
                started_unix_ms: report.started_unix_ms,
            };
            let mut fleet = node.fleet.lock();
            fleet.observe_report(incarnation);
            fleet.incarnation_stated(asked_at, incarnation);
            drop(fleet);
            log_changes(node, "report");
            Some(report)
        }
        Err(error) => {
            node.report_unreadable(ObjectKind::Report, id, &body, &error);
            None
        }
    }
}

/// Sends a request to an upstream. `permit` is checked once the connection is
/// open, right before the first byte is sent.
async fn call_upstream(
    node: &Node,
    id: &Arc<str>,
    request: ControlRequest,
    time_limit: Duration,
    permit: impl Fn() -> bool,
) -> Result<(StatusCode, Bytes), SendError> {
    let address = address_of(node, id).ok_or(SendError::NotSent)?;
    let taken = node.connections.take(id, address, true).await;
    let mut connection =
        taken.inspect_err(|_| record_unreachable(node, id, address.started_unix_ms))?;
    if !permit() {
        return Err(SendError::NotSent);
    }
    let request = build_request(address.socket_address, request);
    let sent_at = node.now();
    let exchange = async {
        let response: Response<_> = connection.send(request).await?;
        let status = response.status();
        let head = node
            .protocol
            .parse_response_head(status, response.headers());
        let incarnation = UpstreamIncarnation {
            id,
            started_unix_ms: address.started_unix_ms,
        };
        response_feedback::record(node, incarnation, &head, sent_at);
        let body = Limited::new(response.into_body(), REPORT_MAX_BYTES)
            .collect()
            .await
            .map_err(|_| SendError::Broken)?;
        Ok((status, body.to_bytes()))
    };
    let response = timeout(time_limit, exchange)
        .await
        .unwrap_or(Err(SendError::Broken))?;
    node.connections.keep(id, connection, None);
    Ok(response)
}

fn build_request(address: SocketAddr, request: ControlRequest) -> Request<Full<Bytes>> {
    let mut built = Request::new(Full::new(request.body));
    *built.method_mut() = request.method;
    *built.uri_mut() = request.path.parse().unwrap_or_default();
    *built.headers_mut() = request.headers;
    if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
        built.headers_mut().insert(HOST, host);
    }
    built
}

/// Acquires and renews the lease, forever.
pub(crate) async fn maintain_lease(node: Arc<Node>) {
    loop {
        tokio::time::sleep(LEASE_CHECK_INTERVAL).await;
        if node.config().is_none() || !may_maintain_lease(&node) {
            continue;
        }
        let step = lease_step(&node);
        match step {
            LeaseStep::Wait => {}
            LeaseStep::Read => read_lease(&node).await,
            LeaseStep::Write { record, version } => {
                write_lease(&node, record, version).await;
            }
        }
    }
}

/// Returns whether this entry may acquire or renew the lease. During shutdown
/// it only renews a lease that it holds, until it hands it over.
fn may_maintain_lease(node: &Node) -> bool {
    let now = node.now();
    if node.lease.lock().is_valid(now) {
        return true;
    }
    let up_ms = now.ms_since(node.started_at);
    let candidate = node
        .peers
        .lease_candidate(now, up_ms, is_holder_heard(node, now));
    !node.shutdown.is_stopping() && candidate.may_act()
}

/// Returns whether messages arrive from the holder that the lease names.
fn is_holder_heard(node: &Node, now: Instant) -> bool {
    let lease = node.lease.lock();
    lease.holder().is_some_and(|holder| {
        node.peers
            .has_coordinator_message_within(now, holder, HOLDER_SILENCE_MS)
    })
}

/// Returns the next step to maintain the lease.
fn lease_step(node: &Node) -> LeaseStep {
    let now = node.now();
    let holder_heard = is_holder_heard(node, now);
    node.lease.lock().next_step(now, holder_heard)
}

/// Reads the lease from the platform and applies it.
async fn read_lease(node: &Node) {
    let key = node.options.keys.lease.clone();
    let result = node.platform.call(&PlatformOp::Read { key }).await;
    let now = node.now();
    let mut lease = node.lease.lock();
    match result {
        PlatformResult::Object(None) => {
            lease.note_generation(node.platform.generation());
            lease.on_read(now, None);
        }
        PlatformResult::Object(Some((version, value))) => {
            let record = decode_lease(node, version.0, &value);
            lease.on_read(now, Some((version.0, record)));
        }
        _ => {
            lease.on_failed(now);
            drop(lease);
            request_renewal(node);
        }
    }
}

/// Decodes the lease record at a version. A record that can't be decoded is
/// replaced by a placeholder.
fn decode_lease(node: &Node, version: u64, value: &[u8]) -> LeaseRecord {
    let key = &node.options.keys.lease;
    let reason = match serde_json::from_slice::<LeaseRecord>(value) {
        Ok(record) if record.is_plausible(version) => {
            node.unreadable.forget(ObjectKind::Lease, key);
            return record;
        }
        Ok(_) => {
            "its token or renewal number exceeds the version of the object".to_owned()
        }
        Err(error) => error.to_string(),
    };
    node.report_unreadable(ObjectKind::Lease, key, value, reason);
    LeaseRecord::unreadable(version)
}

/// Writes the lease record if the object still has the version, and applies the
/// result. If the write fails, another entry is asked to renew.
async fn write_lease(node: &Node, record: LeaseRecord, version: Option<u64>) {
    let sent_at = node.now();
    // Strings and numbers always serialize.
    let value = serde_json::to_vec(&record).unwrap_or_default();
    let precondition = version.map_or(Precondition::Absent, |version| {
        Precondition::Version(ObjectVersion(version))
    });
    let op = PlatformOp::Write {
        key: node.options.keys.lease.clone(),
        precondition,
        value,
    };
    let result = node.platform.call(&op).await;
    let now = node.now();
    let mut lease = node.lease.lock();
    let token_before = lease.token(now);
    let renewed = matches!(result, PlatformResult::Written(_));
    match result {
        PlatformResult::Written(version) => {
            lease.on_written(sent_at, version.0, record);
        }
        PlatformResult::Conflict | PlatformResult::Unanswered => {
            lease.on_uncertain(now);
        }
        _ => lease.on_failed(now),
    }
    let token = lease.token(node.now());
    drop(lease);
    if !renewed {
        request_renewal(node);
    }
    if token != token_before {
        node.log.line(
            "lease",
            json!({ "token": token, "before": token_before, "sent_ms": now.ms_since(sent_at) }),
        );
    }
}

/// Hands the lease over during shutdown: releases it as soon as another entry
/// can take over, when nothing else is left to do, or shortly before the
/// process exits at the latest.
///
/// The process keeps running for seconds, and a successor must stay silent for
/// the takeover time whenever it starts. When the lease was released while no
/// entry could acquire it, nobody adapted the placement to shifting demand in
/// the meantime.
pub(crate) async fn hand_over_lease(node: &Node) {
    let deadline = node.shutdown.final_response_at();
    loop {
        let now = node.now();
        let holds_lease = node.lease.lock().token(now).is_some();
        let is_last_chance = deadline.is_none_or(|deadline| now >= deadline);
        if !holds_lease
            || is_last_chance
            || node.peers.has_successor(now, node.started_unix_ms)
        {
            break;
        }
        tokio::select! {
            () = tokio::time::sleep(LEASE_CHECK_INTERVAL) => {}
            () = node.shutdown.hand_over_now.cancelled() => break,
        }
    }
    release_lease(node).await;
}

/// Releases the lease, so that the successor need not wait as long as for a
/// coordinator that fell silent.
async fn release_lease(node: &Node) {
    loop {
        let record = node.lease.lock().release(node.now());
        let Some((record, version)) = record else {
            return;
        };
        write_lease(node, record, Some(version)).await;
        if node.lease.lock().release(node.now()).is_none() {
            return;
        }
        // A renewal in progress was written first, or the platform is
        // unavailable.
        tokio::time::sleep(LEASE_CHECK_INTERVAL).await;
        read_lease(node).await;
    }
}
