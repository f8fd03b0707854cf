//! Paths of the operators' listener.

use base::ErrorCode;
use hyper::{Method, StatusCode, Uri};
use line::EventFilter;
use serde::Serialize;

use crate::answer::{Answer, fault, json, text};
use crate::{OperatorApi, query_value};

/// The answer to a drain.
#[derive(Debug, Serialize)]
struct Draining {
    draining: bool,
}

/// Answers one call.
pub(crate) fn answer(operated: &dyn OperatorApi, method: &Method, uri: &Uri) -> Answer {
    let query = uri.query().unwrap_or_default();
    match (method, uri.path()) {
        (&Method::GET, "/healthz") => text(StatusCode::OK, "alive\n"),
        (&Method::GET, "/readyz") => readiness(operated.ready()),
        (&Method::GET, "/metrics") => text(StatusCode::OK, operated.metrics()),
        (&Method::GET, "/status") => json(StatusCode::OK, &operated.status()),
        (&Method::GET, "/timeline") => timeline(operated, query),
        (&Method::GET, "/explain") => explain(operated, query),
        (&Method::POST, "/drain") => {
            operated.drain();
            json(StatusCode::ACCEPTED, &Draining { draining: true })
        }
        _ => fault(ErrorCode::UnknownPath),
    }
}

fn readiness(ready: bool) -> Answer {
    if ready {
        text(StatusCode::OK, "ready\n")
    } else {
        text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}

fn timeline(operated: &dyn OperatorApi, query: &str) -> Answer {
    let since_us = match query_value(query, "since_us") {
        None => 0,
        Some(text) => match text.parse() {
            Ok(since_us) => since_us,
            Err(_) => return fault(ErrorCode::BadRequest),
        },
    };
    let filter = EventFilter {
        since_us,
        request: query_value(query, "request"),
        model: query_value(query, "model"),
    };
    json(StatusCode::OK, &operated.timeline(&filter))
}

fn explain(operated: &dyn OperatorApi, query: &str) -> Answer {
    match query_value(query, "model") {
        Some(model) => json(StatusCode::OK, &operated.explain_model(&model)),
        None => fault(ErrorCode::BadRequest),
    }
}
