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

use super::faults::{Faults, Outage, WriteFate};
use super::objects::{Condition, NotDone, Object, VALUE_MAX_BYTES};
use super::{Counts, Platform};
use crate::handle::StandIn;
use crate::http::{self, Answer, Body, Cut};

/// Maximum time that a watch waits.
const WAIT_MAX_MS: u64 = 60_000;

/// JSON response to a list or a watch.
#[derive(Debug, Serialize)]
struct Listing {
    version: u64,
    objects: Vec<Listed>,
    deleted: Vec<String>,
}

#[derive(Debug, Serialize)]
struct Listed {
    key: String,
    version: u64,
    value_base64: String,
}

impl Listed {
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

    fn call(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Pin<Box<dyn Future<Output = Answer> + Send>> {
        Box::pin(async move { self.serve(request).await })
    }

    fn set_faults(&self, faults: Faults) {
        self.cutter.set_away(faults.outage == Outage::Close);
        self.inner.lock().faults = faults;
        // Wakes waiting watches, which then check whether an outage has begun.
        self.changed.send_modify(|_| {});
    }

    fn faults(&self) -> Faults {
        self.inner.lock().faults.clone()
    }

    fn counts(&self) -> Counts {
        self.inner.lock().counts.clone()
    }
}

impl Platform {
    async fn serve(&self, request: Request<Incoming>) -> Answer {
        let delay_ms = self.inner.lock().faults.delay_ms;
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        let outage = self.inner.lock().faults.outage;
        match outage {
            Outage::None => {}
            Outage::Refuse => return Ok(self.refuse()),
            Outage::Close => return Err(Cut),
        }
        let path = http::decode(request.uri().path());
        if let Some(key) = path.strip_prefix("/objects/").filter(|key| !key.is_empty())
        {
            return self.object(key, request).await;
        }
        let prefix = http::query(&request, "prefix").unwrap_or_default();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/objects") => Ok(self.list(&prefix)),
            (&Method::GET, "/watch") => Ok(self.watch(&prefix, &request).await),
            _ => Ok(http::text(StatusCode::NOT_FOUND, "no such call")),
        }
    }

    fn refuse(&self) -> Response<Body> {
        self.inner.lock().counts.refused += 1;
        http::text(StatusCode::SERVICE_UNAVAILABLE, "outage")
    }

    async fn object(&self, key: &str, request: Request<Incoming>) -> Answer {
        let condition = match condition(&request) {
            Ok(condition) => condition,
            Err(answer) => return Ok(*answer),
        };
        match *request.method() {
            Method::GET => Ok(self.read(key)),
            Method::PUT => {
                let value = match http::read(request, VALUE_MAX_BYTES).await? {
                    Ok(value) => value,
                    Err(answer) => return Ok(answer),
                };
                self.change(key, Some(value), condition)
            }
            Method::DELETE => self.change(key, None, condition),
            _ => Ok(http::text(StatusCode::METHOD_NOT_ALLOWED, "no such call")),
        }
    }

    fn read(&self, key: &str) -> Response<Body> {
        let mut inner = self.inner.lock();
        inner.counts.reads += 1;
        let old = inner.faults.read_is_old(key);
        inner.counts.old_reads += u64::from(old);
        let object = if old {
            inner.objects.get_before(key)
        } else {
            inner.objects.get(key)
        };
        match object {
            Some(object) => {
                let answer = Response::new(http::full(object.value.clone()));
                with_version(answer, object.version)
            }
            None => http::text(StatusCode::NOT_FOUND, "no such object"),
        }
    }

    /// Writes an object, or deletes it if there is no value.
    fn change(
        &self,
        key: &str,
        value: Option<bytes::Bytes>,
        condition: Condition,
    ) -> Answer {
        let mut guard = self.inner.lock();
        let inner = &mut *guard;
        let fate = inner.faults.write_fate(key, &mut inner.dice);
        if fate == WriteFate::Lost {
            inner.counts.refused += 1;
            return Err(Cut);
        }
        inner.counts.writes += 1;
        let kind = key.split('/').next().unwrap_or(key);
        *inner
            .counts
            .writes_by_kind
            .entry(kind.to_owned())
            .or_default() += 1;
        let hide = inner.faults.change_is_missed(key);
        let done = match value {
            Some(value) => inner.objects.write(key, condition, value, hide),
            None => inner.objects.delete(key, condition, hide),
        };
        if done.is_ok() && !hide {
            self.changed.send_replace(inner.objects.newest());
        }
        if fate == WriteFate::AnswerLost {
            inner.counts.answers_lost += 1;
            return Err(Cut);
        }
        Ok(match done {
            Ok(version) => with_version(http::text(StatusCode::OK, ""), version),
            Err(NotDone::Missing) => {
                http::text(StatusCode::NOT_FOUND, "no such object")
            }
            Err(NotDone::Condition) => {
                http::text(StatusCode::PRECONDITION_FAILED, "condition not met")
            }
        })
    }

    fn list(&self, prefix: &str) -> Response<Body> {
        let mut inner = self.inner.lock();
        inner.counts.lists += 1;
        let old = inner.faults.read_is_old(prefix);
        inner.counts.old_reads += u64::from(old);
        let objects: Vec<Listed> = if old {
            let before = inner.objects.under_before(prefix);
            before
                .map(|(key, object)| Listed::new(key, object))
                .collect()
        } else {
            let now = inner.objects.under(prefix);
            now.map(|(key, object)| Listed::new(key, object)).collect()
        };
        let newest_shown = objects.iter().map(|object| object.version).max();
        let version = if old {
            newest_shown.unwrap_or(0)
        } else {
            inner.objects.newest()
        };
        let listing = Listing {
            version,
            objects,
            deleted: Vec::new(),
        };
        http::json(StatusCode::OK, &listing)
    }

    async fn watch(&self, prefix: &str, request: &Request<Incoming>) -> Response<Body> {
        let whole = |name| http::query(request, name).map(|text| text.parse::<u64>());
        let (Ok(after), Ok(wait_ms)) = (
            whole("after").unwrap_or(Ok(0)),
            whole("wait_ms").unwrap_or(Ok(0)),
        ) else {
            return http::text(StatusCode::BAD_REQUEST, "not a whole number");
        };
        self.inner.lock().counts.watches += 1;
        let wait = Duration::from_millis(wait_ms.min(WAIT_MAX_MS));
        let until = Instant::now() + wait;
        let mut changed = self.changed.subscribe();
        loop {
            // An outage that begins during the wait ends the watch.
            if self.inner.lock().faults.outage != Outage::None {
                return self.refuse();
            }
            let listing = self.changes(prefix, after);
            let none = listing.objects.is_empty() && listing.deleted.is_empty();
            if !none || Instant::now() >= until {
                return http::json(StatusCode::OK, &listing);
            }
            // The loop checks whether there was a change or the time is up.
            let _ = tokio::time::timeout_at(until, changed.changed()).await;
        }
    }

    fn changes(&self, prefix: &str, after: u64) -> Listing {
        let inner = self.inner.lock();
        let mut listing = Listing {
            version: inner.objects.newest(),
            objects: Vec::new(),
            deleted: Vec::new(),
        };
        for (key, object) in inner.objects.changes(prefix, after) {
            match object {
                Some(object) => listing.objects.push(Listed::new(key, object)),
                None => listing.deleted.push(key.to_owned()),
            }
        }
        listing
    }
}

fn with_version(mut answer: Response<Body>, version: u64) -> Response<Body> {
    answer
        .headers_mut()
        .insert("x-version", HeaderValue::from(version));
    answer
}

fn condition(request: &Request<Incoming>) -> Result<Condition, Box<Response<Body>>> {
    let bad = |text| Box::new(http::text(StatusCode::BAD_REQUEST, text));
    let matching = http::header(request, "if-match");
    let absent = http::header(request, "if-none-match");
    match (matching, absent) {
        (None, None) => Ok(Condition::None),
        (None, Some("*")) => Ok(Condition::Absent),
        (Some(version), None) => {
            let version = version.trim().trim_matches('"').parse();
            version
                .map(Condition::Version)
                .map_err(|_| bad("If-Match is not a version"))
        }
        _ => Err(bad("If-None-Match takes only *, and not with If-Match")),
    }
}
