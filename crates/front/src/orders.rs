//! Orders and reports on the wire, and the lease that allows orders.

use base::{Expect, PlatformOp, PlatformResult, Version};
use bytes::Bytes;
use direct::{LeaseRecord, LeaseStep, Order, SendOutcome, UpstreamIncarnation};
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, Response, StatusCode};
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

use crate::reach::{place, unreached};
use crate::relay::ask_renewal;
use crate::state::Node;
use crate::state::pool::SendFault;
use crate::state::unread::Kind;
use crate::{ControlRequest, answer_news};

/// Longest wait for the answer to an order. Upstreams answer in milliseconds or
/// not at all.
const ORDER_TIMEOUT: Duration = Duration::from_millis(800);

/// Longest wait for a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Largest report taken.
const REPORT_MAX_BYTES: usize = 1 << 20;

/// Time between two looks at the lease.
const LEASE_TICK: Duration = Duration::from_millis(100);

/// Silence of the lease's holder after which the platform is asked for it.
const HOLDER_SILENT_MS: u64 = 1_500;

/// Sends an order, unless the lease has ended meanwhile, and books what came of
/// it.
pub(crate) async fn send_order(
    node: Arc<Node>,
    id: Arc<str>,
    service: Arc<str>,
    order: Order,
    token: u64,
    from_store: bool,
) {
    let call = node
        .dialect
        .order_request(&id, &order, &node.options.entry, token);
    let permit = || {
        let leased = node.lease.lock().token(node.now()) == Some(token);
        leased && node.giver.is_current(&id, &order)
    };
    let answer = send(&node, &id, call, ORDER_TIMEOUT, permit).await;
    let sent = match &answer {
        Ok((status, _)) => {
            SendOutcome::Answered(node.dialect.parse_order_status(*status))
        }
        Err(SendFault::NotSent) => SendOutcome::NotSent,
        Err(SendFault::Broken) => SendOutcome::Unanswered,
    };
    if sent == SendOutcome::Unanswered && from_store {
        node.giver.load_unanswered(node.now(), &service);
    }
    let status = answer.map_or(0, |(status, _)| status.as_u16());
    let action = format!("{:?}", order.action);
    let name = action.split('(').next().unwrap_or_default().to_owned();
    let outcome = format!("{sent:?}");
    let labels = [name.as_str(), outcome.as_str()];
    node.meters.orders.with_label_values(&labels).inc();
    node.log.line(
        "order",
        json!({ "upstream": &*id, "action": action, "expect": order.expected_count,
            "token": token, "status": status, "outcome": outcome }),
    );
    let now = node.now();
    node.giver.sent(now, &id, &order, sent);
}

/// Asks an upstream for its report and books it.
///
/// Some upstreams name their start in the platform's entry and not in reports. Such
/// a report is taken for one of the start that was known when it was asked for, and
/// is old news if a later one is known when it comes. If that start was over by then
/// without this being known, the later start's lower count has the report dropped;
/// its count equal, orders that follow from it go to the later start and fit there.
pub(crate) async fn ask_report(node: Arc<Node>, id: Arc<str>) {
    let asked = place(&node, &id).and_then(|place| place.born_ms);
    let call = node.dialect.report_request(&id);
    let answer = send(&node, &id, call, REPORT_TIMEOUT, || true).await;
    let body = match answer {
        Ok((StatusCode::OK, body)) => body,
        other => {
            let status = other.map(|(status, _)| status.as_u16());
            let outcome = format!("{status:?}");
            node.log.line(
                "report_missing",
                json!({ "upstream": &*id, "outcome": outcome }),
            );
            return;
        }
    };
    match node.dialect.parse_report(&body) {
        Ok(mut report) => {
            node.unread.forget(Kind::Report, &id);
            report.started_unix_ms = report.started_unix_ms.or(asked);
            let start = UpstreamIncarnation {
                id: &id,
                started_unix_ms: report.started_unix_ms,
            };
            node.fleet.lock().observe_report(start);
            node.giver.reported(node.now(), &id, &report);
        }
        Err(fault) => node.tell_unread(Kind::Report, &id, &body, &fault),
    }
}

/// Makes a call to an upstream; `permit` is asked when the connection stands,
/// right before the first byte.
async fn send(
    node: &Node,
    id: &Arc<str>,
    call: ControlRequest,
    longest: Duration,
    permit: impl Fn() -> bool,
) -> Result<(StatusCode, Bytes), SendFault> {
    let place = place(node, id).ok_or(SendFault::NotSent)?;
    let taken = node.pool.take(id, place, true).await;
    let mut line = taken.inspect_err(|_| unreached(node, id, place.born_ms))?;
    if !permit() {
        return Err(SendFault::NotSent);
    }
    let request = request(place.address, call);
    let sent_at = node.now();
    let exchange = async {
        let response: Response<_> = line.send(request).await?;
        let status = response.status();
        let head = node.dialect.parse_response_head(status, response.headers());
        let start = UpstreamIncarnation {
            id,
            started_unix_ms: place.born_ms,
        };
        answer_news::learn(node, start, &head, sent_at);
        let body = Limited::new(response.into_body(), REPORT_MAX_BYTES)
            .collect()
            .await
            .map_err(|_| SendFault::Broken)?;
        Ok((status, body.to_bytes()))
    };
    let answer = timeout(longest, exchange)
        .await
        .unwrap_or(Err(SendFault::Broken))?;
    node.pool.keep(id, line, None);
    Ok(answer)
}

fn request(address: SocketAddr, call: ControlRequest) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(call.body));
    *request.method_mut() = call.method;
    *request.uri_mut() = call.path.parse().unwrap_or_default();
    *request.headers_mut() = call.headers;
    if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
        request.headers_mut().insert(HOST, host);
    }
    request
}

/// Takes and renews the lease, for ever.
pub(crate) async fn keep_lease(node: Arc<Node>) {
    loop {
        tokio::time::sleep(LEASE_TICK).await;
        if node.setup().is_none() || !may_hold_lease(&node) {
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

/// Whether this entry may take or renew the lease: one that is being stopped only
/// renews what it holds, until it hands it over.
fn may_hold_lease(node: &Node) -> bool {
    !node.stop.is_stopping() || node.lease.lock().token(node.now()).is_some()
}

fn lease_step(node: &Node) -> LeaseStep {
    let now = node.now();
    let mut lease = node.lease.lock();
    let heard = lease.holder().is_some_and(|holder| {
        node.peers.is_heard(now, holder, HOLDER_SILENT_MS)
            && node.peers.giver_token(now, HOLDER_SILENT_MS) > 0
    });
    lease.next_step(now, heard)
}

async fn read_lease(node: &Node) {
    let key = node.options.keys.lease.clone();
    let result = node.store.call(&PlatformOp::Read { key }).await;
    let now = node.now();
    let mut lease = node.lease.lock();
    match result {
        PlatformResult::Object(None) => lease.on_read(now, None),
        PlatformResult::Object(Some((version, value))) => {
            let record = lease_record(node, version.0, &value);
            lease.on_read(now, Some((version.0, record)));
        }
        _ => {
            lease.on_failed(now);
            drop(lease);
            ask_renewal(node);
        }
    }
}

/// The record of the lease at a version; what stands in for it if it can't be read.
fn lease_record(node: &Node, version: u64, value: &[u8]) -> LeaseRecord {
    let key = &node.options.keys.lease;
    let why = match serde_json::from_slice::<LeaseRecord>(value) {
        Ok(record) if record.is_plausible(version) => {
            node.unread.forget(Kind::Lease, key);
            return record;
        }
        Ok(_) => "it counts more holdings than the object has versions".to_owned(),
        Err(fault) => fault.to_string(),
    };
    node.tell_unread(Kind::Lease, key, value, why);
    LeaseRecord::unreadable(version)
}

async fn write_lease(node: &Node, record: LeaseRecord, version: Option<u64>) {
    let sent_at = node.now();
    // Names and numbers always serialise.
    let value = serde_json::to_vec(&record).unwrap_or_default();
    let expect =
        version.map_or(Expect::Absent, |version| Expect::Version(Version(version)));
    let op = PlatformOp::Write {
        key: node.options.keys.lease.clone(),
        expect,
        value,
    };
    let result = node.store.call(&op).await;
    let now = node.now();
    let mut lease = node.lease.lock();
    let before = lease.token(now);
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
        ask_renewal(node);
    }
    if token != before {
        node.log.line(
            "lease",
            json!({ "token": token, "before": before, "sent_ms": now.ms_since(sent_at) }),
        );
    }
}

/// Hands the lease over when the process is being stopped: gives it back as soon as
/// another entry can lead, when nothing else is left to do here, and at its own end at
/// the latest.
///
/// The process lives on for seconds, and a successor is quiet for as long as the rule
/// asks, whenever it begins. Given back while nobody could take it, the lease left
/// the demand that moved meanwhile without anybody who follows it.
pub(crate) async fn hand_over_lease(node: &Node) {
    let last_at = node.stop.answer_by();
    loop {
        let now = node.now();
        let leads = node.lease.lock().token(now).is_some();
        let is_late = last_at.is_none_or(|last_at| now >= last_at);
        if !leads || is_late || node.peers.has_successor(now, node.start) {
            break;
        }
        tokio::select! {
            () = tokio::time::sleep(LEASE_TICK) => {}
            () = node.stop.hand_over.cancelled() => break,
        }
    }
    give_back_lease(node).await;
}

/// Gives the lease back, so that its successor need not wait for as long as for a
/// giver that fell silent.
async fn give_back_lease(node: &Node) {
    loop {
        let given = node.lease.lock().release(node.now());
        let Some((record, version)) = given else {
            return;
        };
        write_lease(node, record, Some(version)).await;
        if node.lease.lock().release(node.now()).is_none() {
            return;
        }
        // A renewal under way came first, or the platform is away.
        tokio::time::sleep(LEASE_TICK).await;
        read_lease(node).await;
    }
}
