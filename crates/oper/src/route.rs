//! Paths of the operators' listener.

use base::ErrorCode;
use hyper::{Method, StatusCode, Uri};
use line::EventFilter;
use serde::Serialize;

use crate::response::{OperatorResponse, error_response, json, text};
use crate::{OperatorApi, query_value};

/// Response to `POST /drain`.
#[derive(Debug, Serialize)]
struct DrainResponse {
    draining: bool,
}

/// Handles one request.
pub(crate) fn respond(
    api: &dyn OperatorApi,
    method: &Method,
    uri: &Uri,
) -> OperatorResponse {
    let query = uri.query().unwrap_or_default();
    match (method, uri.path()) {
        (&Method::GET, "/healthz") => text(StatusCode::OK, "alive\n"),
        (&Method::GET, "/readyz") => readiness(api.ready()),
        (&Method::GET, "/metrics") => text(StatusCode::OK, api.metrics()),
        (&Method::GET, "/status") => json(StatusCode::OK, &api.status()),
        (&Method::GET, "/timeline") => timeline(api, query),
        (&Method::GET, "/explain") => explain(api, query),
        (&Method::POST, "/drain") => {
            api.drain();
            json(StatusCode::ACCEPTED, &DrainResponse { draining: true })
        }
        _ => error_response(ErrorCode::UnknownPath),
    }
}

fn readiness(ready: bool) -> OperatorResponse {
    if ready {
        text(StatusCode::OK, "ready\n")
    } else {
        text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}

fn timeline(api: &dyn OperatorApi, query: &str) -> OperatorResponse {
    let since_us = match query_value(query, "since_us") {
        None => 0,
        Some(text) => match text.parse() {
            Ok(since_us) => since_us,
            Err(_) => return error_response(ErrorCode::BadRequest),
        },
    };
    let filter = EventFilter {
        since_us,
        request: query_value(query, "request"),
        model: query_value(query, "model"),
    };
    json(StatusCode::OK, &api.timeline(&filter))
}

fn explain(api: &dyn OperatorApi, query: &str) -> OperatorResponse {
    match query_value(query, "model") {
        Some(model) => json(StatusCode::OK, &api.explain_model(&model)),
        None => error_response(ErrorCode::BadRequest),
    }
}
