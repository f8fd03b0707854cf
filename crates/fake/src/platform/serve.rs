//! HTTP API of the object store.

use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Method, Request, Response, StatusCode};
use serde::Serialize;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

use super::faults::{Faults, Outage, WriteFault};
use super::objects::{ChangeError, Object, VALUE_MAX_BYTES, WriteCondition};
use super::{Counts, Platform};
use crate::handle::StandIn;
use crate::http::{self, Body, ConnectionAborted, ResponseResult};

/// Header of a response with the version of an object.
const VERSION_HEADER: &str = "x-version";

/// Header of each response with the number of restores, and of a conditional change or a
/// watch with the generation of the version that it names.
const GENERATION_HEADER: &str = "x-generation";

/// Maximum time that a watch waits.
const WAIT_MAX_MS: u64 = 60_000;

/// JSON response to a list or a watch.
#[derive(Debug, Serialize)]
struct ObjectList {
    version: u64,
    objects: Vec<ListedObject>,
    deleted: Vec<String>,
}

#[derive(Debug, Serialize)]
struct ListedObject {
    key: String,
    version: u64,
    value_base64: String,
}

impl ListedObject {
    fn new(key: &str, object: &Object) -> Self {
        Self {
            key: key.to_owned(),
            version: object.version,
            value_base64: crate::base64::encode(&object.value),
        }
    }
}

impl StandIn for Platform {
    type Faults = Faults;
    type Counts = Counts;

    fn handle_request(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Pin<Box<dyn Future<Output = ResponseResult> + Send>> {
        Box::pin(async move {
            let generation = self.generation();
            let response = self.serve(request).await?;
            // A restore breaks the connections of the requests in progress.
            if self.generation() != generation {
                return Err(ConnectionAborted);
            }
            Ok(with_header(response, GENERATION_HEADER, generation))
        })
    }

    fn set_faults(&self, faults: Faults) {
        self.connection_closer
            .set_rejecting(faults.outage == Outage::Close);
        self.inner.lock().faults = faults;
        // Wakes waiting watches, which then check whether an outage has begun.
        self.last_visible_version.send_modify(|_| {});
    }

    fn faults(&self) -> Faults {
        self.inner.lock().faults.clone()
    }

    fn counts(&self) -> Counts {
        self.inner.lock().counts.clone()
    }

    /// `copy` copies all objects, and `restore` replaces them by the last copy.
    fn run_command(self: Arc<Self>, name: &str) -> bool {
        match name {
            "copy" => self.copy_objects(),
            "restore" => self.restore(),
            _ => return false,
        }
        true
    }
}

impl Platform {
    pub(super) fn copy_objects(&self) {
        let mut guard = self.inner.lock();
        let inner = &mut *guard;
        inner.copy = inner.objects.clone();
    }

    pub(super) fn restore(&self) {
        let mut guard = self.inner.lock();
        let inner = &mut *guard;
        inner.objects = inner.copy.clone();
        inner.generation += 1;
        // Wakes waiting watches, whose start belongs to the previous generation.
        self.last_visible_version
            .send_replace(inner.objects.last_version());
    }

    fn generation(&self) -> u64 {
        self.inner.lock().generation
    }

    async fn serve(&self, request: Request<Incoming>) -> ResponseResult {
        let delay_ms = self.inner.lock().faults.delay_ms;
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        let outage = self.inner.lock().faults.outage;
        match outage {
            Outage::None => {}
            Outage::Refuse => return Ok(self.refuse_request()),
            Outage::Close => return Err(ConnectionAborted),
        }
        let path = http::percent_decode(request.uri().path());
        if let Some(key) = path.strip_prefix("/objects/").filter(|key| !key.is_empty())
        {
            return self.serve_object(key, request).await;
        }
        let prefix = http::query_parameter(&request, "prefix").unwrap_or_default();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/objects") => Ok(self.list(&prefix)),
            (&Method::GET, "/watch") => Ok(self.watch(&prefix, &request).await),
            _ => Ok(http::text_response(StatusCode::NOT_FOUND, "no such call")),
        }
    }

    fn refuse_request(&self) -> Response<Body> {
        self.inner.lock().counts.refused += 1;
        http::text_response(StatusCode::SERVICE_UNAVAILABLE, "outage")
    }

    async fn serve_object(
        &self,
        key: &str,
        request: Request<Incoming>,
    ) -> ResponseResult {
        let condition = match parse_condition(&request) {
            Ok(condition) => condition,
            Err(response) => return Ok(*response),
        };
        let expected_generation = http::header_number(&request, GENERATION_HEADER);
        match *request.method() {
            Method::GET => Ok(self.read(key)),
            Method::PUT => {
                let delay_ms = self.inner.lock().faults.write_delay_ms;
                tokio::time::sleep(Duration::from_millis(delay_ms)).await;
                let value = match http::read_body(request, VALUE_MAX_BYTES).await? {
                    Ok(value) => value,
                    Err(response) => return Ok(response),
                };
                self.change(key, Some(value), condition, expected_generation)
            }
            Method::DELETE => self.change(key, None, condition, expected_generation),
            _ => Ok(http::text_response(
                StatusCode::METHOD_NOT_ALLOWED,
                "no such call",
            )),
        }
    }

    fn read(&self, key: &str) -> Response<Body> {
        let mut inner = self.inner.lock();
        inner.counts.reads += 1;
        let is_old = inner.faults.take_old_read(key);
        inner.counts.old_reads += u64::from(is_old);
        let object = if is_old {
            inner.objects.get_previous(key)
        } else {
            inner.objects.get(key)
        };
        match object {
            Some(object) => {
                let response = Response::new(http::full_body(object.value.clone()));
                with_header(response, VERSION_HEADER, object.version)
            }
            None => http::text_response(StatusCode::NOT_FOUND, "no such object"),
        }
    }

    /// Writes an object, or deletes it if there is no value.
    fn change(
        &self,
        key: &str,
        value: Option<bytes::Bytes>,
        condition: WriteCondition,
        expected_generation: Option<u64>,
    ) -> ResponseResult {
        let mut guard = self.inner.lock();
        let inner = &mut *guard;
        let fault = inner.faults.take_write_fault(key, &mut inner.rng);
        if fault == WriteFault::RequestLost {
            inner.counts.refused += 1;
            return Err(ConnectionAborted);
        }
        inner.counts.writes += 1;
        let key_kind = key.split('/').next().unwrap_or(key);
        *inner
            .counts
            .writes_by_kind
            .entry(key_kind.to_owned())
            .or_default() += 1;
        let hide_from_watches = inner.faults.take_missed_change(key);
        let is_outdated =
            expected_generation.is_some_and(|expected| expected != inner.generation);
        let result = match value {
            _ if is_outdated => Err(ChangeError::ConditionFailed),
            Some(value) => {
                inner
                    .objects
                    .write(key, condition, value, hide_from_watches)
            }
            None => inner.objects.delete(key, condition, hide_from_watches),
        };
        if result.is_ok() && !hide_from_watches {
            self.last_visible_version
                .send_replace(inner.objects.last_version());
        }
        if fault == WriteFault::ResponseLost {
            inner.counts.answers_lost += 1;
            return Err(ConnectionAborted);
        }
        Ok(match result {
            Ok(version) => with_header(
                http::text_response(StatusCode::OK, ""),
                VERSION_HEADER,
                version,
            ),
            Err(ChangeError::NotFound) => {
                http::text_response(StatusCode::NOT_FOUND, "no such object")
            }
            Err(ChangeError::ConditionFailed) => http::text_response(
                StatusCode::PRECONDITION_FAILED,
                "condition not met",
            ),
        })
    }

    fn list(&self, prefix: &str) -> Response<Body> {
        let mut inner = self.inner.lock();
        inner.counts.lists += 1;
        let is_old = inner.faults.take_old_read(prefix);
        inner.counts.old_reads += u64::from(is_old);
        let objects: Vec<ListedObject> = if is_old {
            let previous = inner.objects.previous_with_prefix(prefix);
            previous
                .map(|(key, object)| ListedObject::new(key, object))
                .collect()
        } else {
            let current = inner.objects.with_prefix(prefix);
            current
                .map(|(key, object)| ListedObject::new(key, object))
                .collect()
        };
        let last_shown_version = objects.iter().map(|object| object.version).max();
        let version = if is_old {
            last_shown_version.unwrap_or(0)
        } else {
            inner.objects.last_version()
        };
        let list = ObjectList {
            version,
            objects,
            deleted: Vec::new(),
        };
        http::json_response(StatusCode::OK, &list)
    }

    async fn watch(&self, prefix: &str, request: &Request<Incoming>) -> Response<Body> {
        let parse_parameter =
            |name| http::query_parameter(request, name).map(|text| text.parse::<u64>());
        let (Ok(after), Ok(wait_ms)) = (
            parse_parameter("after").unwrap_or(Ok(0)),
            parse_parameter("wait_ms").unwrap_or(Ok(0)),
        ) else {
            return http::text_response(StatusCode::BAD_REQUEST, "not a whole number");
        };
        let generation = self.generation();
        let after_generation = http::header_number(request, GENERATION_HEADER);
        if after_generation.is_some_and(|after| after != generation) {
            return http::text_response(StatusCode::GONE, "restored since");
        }
        self.inner.lock().counts.watches += 1;
        let wait = Duration::from_millis(wait_ms.min(WAIT_MAX_MS));
        let deadline = Instant::now() + wait;
        let mut changed = self.last_visible_version.subscribe();
        loop {
            // An outage that begins during the wait ends the watch.
            if self.inner.lock().faults.outage != Outage::None {
                return self.refuse_request();
            }
            let list = self.list_changes(prefix, after);
            let unchanged = list.objects.is_empty() && list.deleted.is_empty();
            let is_restored = self.generation() != generation;
            if !unchanged || is_restored || Instant::now() >= deadline {
                return http::json_response(StatusCode::OK, &list);
            }
            // The loop checks whether there was a change or the time is up.
            let _ = tokio::time::timeout_at(deadline, changed.changed()).await;
        }
    }

    fn list_changes(&self, prefix: &str, after: u64) -> ObjectList {
        let inner = self.inner.lock();
        let mut list = ObjectList {
            version: inner.objects.last_version(),
            objects: Vec::new(),
            deleted: Vec::new(),
        };
        for (key, object) in inner.objects.changes(prefix, after) {
            match object {
                Some(object) => list.objects.push(ListedObject::new(key, object)),
                None => list.deleted.push(key.to_owned()),
            }
        }
        list
    }
}

fn with_header(
    mut response: Response<Body>,
    name: &'static str,
    value: u64,
) -> Response<Body> {
    response
        .headers_mut()
        .insert(name, HeaderValue::from(value));
    response
}

fn parse_condition(
    request: &Request<Incoming>,
) -> Result<WriteCondition, Box<Response<Body>>> {
    let bad_request =
        |text| Box::new(http::text_response(StatusCode::BAD_REQUEST, text));
    let if_match = http::header_text(request, "if-match");
    let if_none_match = http::header_text(request, "if-none-match");
    match (if_match, if_none_match) {
        (None, None) => Ok(WriteCondition::None),
        (None, Some("*")) => Ok(WriteCondition::Absent),
        (Some(version), None) => {
            let version = version.trim().trim_matches('"').parse();
            version
                .map(WriteCondition::Version)
                .map_err(|_| bad_request("If-Match is not a version"))
        }
        _ => Err(bad_request(
            "If-None-Match takes only *, and not with If-Match",
        )),
    }
}
