//! Finds out at which software version a stream began that a caller takes up.
//!
//! The entry that forwards a stream's first event sends its origin to a few others first
//! (see [`direct::origin_keepers`]), so a caller that lost its entry right after that
//! event is not ahead of the message. An entry that is asked for the rest of a stream
//! that it doesn't know asks those entries, and then reads the platform's records (see
//! [`origin_records`]). Where nobody knows, the rest is refused.

use access::Workspace;
use base::prelude::*;
use direct::{
    NoSoleVersion, OriginProof, Route, SoftwareVersion, StreamId, StreamOrigin,
    origin_keepers, origin_keepers_to_ask,
};
use prost::Message;
use schema::peer::{PeerNews, StreamOrigin as OriginMessage};
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

use crate::RequestHead;
use crate::dispatch::{DEFAULT_RETRY_AFTER_MS, Dispatch};
use crate::in_flight::InFlight;
use crate::origin_proof::{self, Doubt, origin_at};
use crate::origin_records;
use crate::request::DEFAULT_DEADLINE_MS;
use crate::state::Node;
use crate::state::caller_request::CallerRequest;
use crate::state::peers::Peers;
use crate::upstream_address::address_of;

/// Longest search for the origin of a stream. Entries answer within milliseconds.
const SEARCH_MAX: Duration = Duration::from_millis(250);

/// Interval at which entries that have not answered are asked again.
const ASK_INTERVAL: Duration = Duration::from_millis(60);

/// Longest wait of a caller until it is certain at which version its stream began. An
/// upstream that is alive states that within milliseconds; otherwise the caller can come
/// back later.
const CONFIRMATION_MAX: Duration = Duration::from_millis(1_000);

/// Longest wait for the records of where streams began. The platform answers within
/// milliseconds.
const RECORDS_WAIT_MAX: Duration = Duration::from_millis(1_000);

/// Time for which an origin is kept after its caller's deadline, as the two clocks
/// start apart.
const KEEP_MARGIN_MS: u64 = 1_000;

/// Longest deadline for which an origin is kept.
const KEEP_MAX_MS: u64 = 120_000;

/// Age of what is known of the upstreams beyond which an upstream of another version may
/// serve without this entry knowing.
const FLEET_MAX_AGE_MS: u64 = 1_500;

/// Bound on the age of a stream that is taken up, in timeouts of its route: a first
/// response and one that resumed it.
const STREAM_AGE_MAX_TIMEOUTS: u64 = 2;

/// Maximum number of streams that are read from one message.
const STREAMS_PER_MESSAGE: usize = 64;

const REFUSAL: RequestError = RequestError::not_run(ErrorCode::ResumeUnavailable)
    .retry_after_ms(DEFAULT_RETRY_AFTER_MS);

/// Returns where the stream began that a request takes up, or `None` if it takes up
/// none.
///
/// # Errors
///
/// It isn't known for certain where the stream began, or its service no longer belongs
/// to the route.
pub(crate) async fn of_request(
    node: &Node,
    route: &Route,
    head: &RequestHead,
    workspace: Option<&Workspace>,
    max_wait: Duration,
) -> Result<Option<StreamOrigin>, RequestError> {
    let takes_up = head.last_event_id.is_some() || head.began_as.is_some();
    if !route.kind.is_stream() || !takes_up {
        return Ok(None);
    }
    let stream = head.began_as.as_ref().map(|request| {
        let workspace = workspace.map(|workspace| &*workspace.name);
        StreamId::new(workspace, request)
    });
    let origin = match known_origin(node, route, stream, max_wait).await {
        Ok((origin, source)) => confirm(node, route, origin, max_wait)
            .await
            .map(|origin| (origin, source)),
        Err(reason) => Err(reason),
    };
    let outcome = match &origin {
        Ok((_, source)) => source,
        Err(reason) => reason.as_str(),
    };
    let counter = &node.metrics.streams_taken_up;
    counter.with_label_values(&[outcome]).inc();
    node.log.line(
        "stream_taken_up",
        json!({ "id": head.id, "resumes": head.began_as, "route": &*route.name,
            "origin": outcome }),
    );
    origin.map(|(origin, _)| Some(origin)).map_err(|_| REFUSAL)
}

/// Returns where a stream began, and by which source that is known. `stream` is `None` if
/// the caller doesn't name the request that began it.
async fn known_origin(
    node: &Node,
    route: &Route,
    stream: Option<StreamId>,
    max_wait: Duration,
) -> Result<(StreamOrigin, &'static str), UnknownOrigin> {
    if let Some(id) = stream
        && let Some(origin) = find(node, id, max_wait).await
    {
        return Ok((origin, "told"));
    }
    let reason = match sole_origin(node, route) {
        Ok(origin) => return Ok((origin, "sole_version")),
        Err(reason) => reason,
    };
    let id = stream.ok_or(reason)?;
    // Without an answer in time, what earlier reads brought is all that is known.
    let _ = timeout(
        max_wait.min(RECORDS_WAIT_MAX),
        origin_records::refresh(node),
    )
    .await;
    let recorded = node.stream_origins.get(node.now(), id);
    recorded.map(|origin| (origin, "recorded")).ok_or(reason)
}

/// Why a stream that is taken up can't go on.
#[derive(Debug, Clone, Copy)]
enum UnknownOrigin {
    /// Nobody knows where it began, and its route has several services.
    SeveralServices,
    /// The same, and another version may serve without this entry knowing.
    OldNews,
    /// The same, and this entry has not known the upstreams for as long as a stream may
    /// last.
    ShortHistory,
    /// The same, and several versions have served.
    SeveralVersions,
    /// Its upstream has started again, and runs another version or did so before its
    /// record was read.
    Restarted,
    /// Its upstream may have started again before, with another version.
    Unconfirmed,
    /// The service that began it no longer belongs to the route.
    OtherService,
}

impl UnknownOrigin {
    /// Value in logs and metrics.
    const fn as_str(self) -> &'static str {
        match self {
            Self::SeveralServices => "several_services",
            Self::OldNews => "old_news",
            Self::ShortHistory => "short_history",
            Self::SeveralVersions => "several_versions",
            Self::Restarted => "restarted",
            Self::Unconfirmed => "unconfirmed",
            Self::OtherService => "other_service",
        }
    }
}

/// Returns the origin of any stream of a route, if all its upstreams have run one
/// software version for longer than a stream lasts.
fn sole_origin(node: &Node, route: &Route) -> Result<StreamOrigin, UnknownOrigin> {
    let now = node.now();
    let service = route.sole_target().ok_or(UnknownOrigin::SeveralServices)?;
    let news_age_ms = node.fleet_watermark.lock().age_ms(now);
    if news_age_ms.is_none_or(|age_ms| age_ms > FLEET_MAX_AGE_MS) {
        return Err(UnknownOrigin::OldNews);
    }
    let age_max_ms = route.timeout_ms.saturating_mul(STREAM_AGE_MAX_TIMEOUTS);
    let fleet = node.fleet.lock();
    let origin = fleet.sole_origin(now, service, age_max_ms);
    origin.map_err(|reason| match reason {
        NoSoleVersion::ShortHistory => UnknownOrigin::ShortHistory,
        NoSoleVersion::SeveralVersions => UnknownOrigin::SeveralVersions,
    })
}

/// Returns the origin unless it is in doubt, or its service has left the route.
async fn confirm(
    node: &Node,
    route: &Route,
    mut origin: StreamOrigin,
    max_wait: Duration,
) -> Result<StreamOrigin, UnknownOrigin> {
    if !route.has_target(&origin.service) {
        return Err(UnknownOrigin::OtherService);
    }
    if origin.software.is_none() {
        return Err(UnknownOrigin::Restarted);
    }
    let max_wait = max_wait.min(CONFIRMATION_MAX);
    let confirmed = origin_proof::confirm(node, &mut origin, max_wait).await;
    confirmed.map(|()| origin).map_err(|doubt| match doubt {
        Doubt::Unconfirmed => UnknownOrigin::Unconfirmed,
        Doubt::Restarted => UnknownOrigin::Restarted,
    })
}

/// Returns where a stream began, asking other entries if this one doesn't know.
async fn find(node: &Node, id: StreamId, max_wait: Duration) -> Option<StreamOrigin> {
    let wait_end = node.now() + max_wait.min(SEARCH_MAX);
    let search = node.stream_origins.search(id);
    let mut ask_at = node.now();
    loop {
        let answered = node.stream_origins.answered.notified();
        let now = node.now();
        if let Some(origin) = node.stream_origins.get(now, id) {
            return Some(origin);
        }
        let (asked, is_complete) = node.peers.origin_keepers_to_ask(now, id);
        let unanswered = search.unanswered(asked);
        if now >= wait_end || (unanswered.is_empty() && is_complete) {
            return None;
        }
        if now >= ask_at {
            let question = PeerNews {
                origin_asks: vec![id.0],
                ..sender(node)
            };
            send(node, &question, &unanswered);
            ask_at = now + ASK_INTERVAL;
        }
        let wait = ask_at.min(wait_end).since(now);
        // The next iteration checks, whether it was notified or timed out.
        let _ = timeout(wait, answered).await;
    }
}

impl Dispatch {
    /// Records that the first event of a stream from `source` is about to be forwarded.
    /// From then on, the stream belongs to the software version of that upstream.
    pub(crate) fn bind_to(&mut self, source: &InFlight) {
        if self.origin.is_some() {
            return;
        }
        let origin = origin_at(source, &self.request.service);
        if self.request.route.kind.may_rerun() {
            announce(&self.node, &self.request, &origin);
        }
        self.origin = Some(origin);
    }
}

/// Remembers where a stream begins whose first event is about to be forwarded, and sends
/// that to the entries that keep it.
fn announce(node: &Node, request: &CallerRequest, origin: &StreamOrigin) {
    let deadline_ms = request.head.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS);
    let keep_ms = deadline_ms.min(KEEP_MAX_MS) + KEEP_MARGIN_MS;
    let now = node.now();
    let expires_at = request.arrived_at.plus_ms(keep_ms);
    let workspace = request.workspace.as_ref();
    let workspace = workspace.map(|workspace| &*workspace.name);
    let id = StreamId::new(workspace, &request.head.id);
    let message = PeerNews {
        stream_origins: vec![encode(now, id, origin, expires_at)],
        ..sender(node)
    };
    send(node, &message, &node.peers.origin_keepers(now, id));
    let mut known = node.stream_origins.known.lock();
    known.insert(id, origin.clone(), expires_at);
    drop(known);
    node.origin_records.add(id);
}

/// Handles a message about the origins of streams. Returns false for any other message.
pub(crate) fn receive(node: &Node, from: SocketAddr, message: &PeerNews) -> bool {
    let is_about_origins = !message.stream_origins.is_empty()
        || !message.origin_asks.is_empty()
        || !message.origins_unknown.is_empty();
    if !is_about_origins || message.entry == node.peers.own_name {
        return is_about_origins;
    }
    let now = node.now();
    for told in message.stream_origins.iter().take(STREAMS_PER_MESSAGE) {
        let keep_ms = told.valid_ms.min(KEEP_MAX_MS + KEEP_MARGIN_MS);
        let expires_at = now.plus_ms(keep_ms);
        let origin = decode(node, now, told);
        let mut known = node.stream_origins.known.lock();
        known.insert(StreamId(told.stream), origin, expires_at);
    }
    for stream in message.origins_unknown.iter().take(STREAMS_PER_MESSAGE) {
        node.stream_origins.unknown_at(StreamId(*stream), from);
    }
    if message.origin_asks.is_empty() {
        node.stream_origins.answered.notify_waiters();
    } else {
        send(node, &answer(node, now, &message.origin_asks), &[from]);
    }
    true
}

/// Returns the answer to a question about streams.
fn answer(node: &Node, now: Instant, asked: &[u64]) -> PeerNews {
    let known = node.stream_origins.known.lock();
    let mut answer = sender(node);
    for stream in asked.iter().take(STREAMS_PER_MESSAGE) {
        let id = StreamId(*stream);
        match known.get(now, id) {
            Some((origin, expires_at)) => {
                let told = encode(now, id, origin, expires_at);
                answer.stream_origins.push(told);
            }
            None => answer.origins_unknown.push(*stream),
        }
    }
    answer
}

/// Returns a message that names only its sender. Without a sequence number, builds that
/// don't know its parts drop it as an outdated one.
fn sender(node: &Node) -> PeerNews {
    PeerNews {
        entry: node.options.entry.clone(),
        ..PeerNews::default()
    }
}

/// Sends a message without waiting. One that is lost is asked for again, or leaves a
/// stream that can't be taken up.
fn send(node: &Node, message: &PeerNews, addresses: &[SocketAddr]) {
    let Some(socket) = node.peers.socket.get() else {
        return;
    };
    let message = message.encode_to_vec();
    for address in addresses {
        let _ = socket.try_send_to(&message, *address);
    }
    let sent = node.peers.scopes(addresses.iter().copied());
    node.metrics
        .count_sent("stream_origin", &sent, message.len());
}

fn encode(
    now: Instant,
    id: StreamId,
    origin: &StreamOrigin,
    expires_at: Instant,
) -> OriginMessage {
    let (born_ms, connected_ms_ago) = match origin.proof {
        OriginProof::Confirmed => (None, 0),
        OriginProof::Recorded {
            started_unix_ms,
            connected_at,
        } => (started_unix_ms, now.ms_since(connected_at)),
    };
    OriginMessage {
        stream: id.0,
        service: origin.service.to_string(),
        software: origin.software.map(|version| version.0),
        upstream: origin.upstream.to_string(),
        valid_ms: expires_at.ms_since(now),
        is_confirmed: origin.proof == OriginProof::Confirmed,
        born_ms,
        connected_ms_ago,
    }
}

/// Builds that don't say whether the version is certain count as if the connection had
/// been opened now, at the incarnation that this entry knows.
fn decode(node: &Node, now: Instant, told: &OriginMessage) -> StreamOrigin {
    let proof = if told.is_confirmed {
        OriginProof::Confirmed
    } else {
        let known = address_of(node, &told.upstream);
        let known = known.and_then(|address| address.started_unix_ms);
        OriginProof::Recorded {
            started_unix_ms: told.born_ms.or(known),
            connected_at: now - Duration::from_millis(told.connected_ms_ago),
        }
    };
    StreamOrigin {
        service: Arc::from(told.service.as_str()),
        software: told.software.map(SoftwareVersion),
        upstream: Arc::from(told.upstream.as_str()),
        proof,
    }
}

/// Forgets the streams that nobody can ask for any more, and keeps in mind which origins
/// are certain now.
pub(crate) fn sweep(node: &Node, now: Instant) {
    let mut known = node.stream_origins.known.lock();
    known.expire(now);
    let fleet = node.fleet.lock();
    known.confirm(|origin| fleet.confirms_origin(origin));
}

impl Peers {
    /// Returns the entries that receive the origin of a stream.
    fn origin_keepers(&self, now: Instant, id: StreamId) -> Vec<SocketAddr> {
        let table = self.table.lock();
        let entries = table.possible_entries(now, self.own_address);
        origin_keepers(id, entries)
    }

    /// Returns the entries to ask where a stream began, and whether all entries are
    /// known.
    fn origin_keepers_to_ask(
        &self,
        now: Instant,
        id: StreamId,
    ) -> (Vec<SocketAddr>, bool) {
        let table = self.table.lock();
        let entries = table.possible_entries(now, self.own_address);
        let is_complete = table.listed_names.is_some();
        (origin_keepers_to_ask(id, entries), is_complete)
    }
}
