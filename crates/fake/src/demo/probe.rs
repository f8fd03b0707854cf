//! Reads operators' and control listeners.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use std::net::SocketAddr;

use crate::load::HttpClient;

/// A client for short reads.
#[derive(Debug)]
pub(super) struct Probe(HttpClient);

impl Probe {
    /// A client without connections.
    pub(super) fn new() -> Self {
        Self(Client::builder(TokioExecutor::new()).build_http())
    }

    /// Status and text of an answer; `None` if none came.
    pub(super) async fn get(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Option<(u16, String)> {
        let request = Request::get(format!("http://{address}{path}"));
        let request = request.body(Full::new(Bytes::new())).ok()?;
        let answer = self.0.request(request).await.ok()?;
        let status = answer.status().as_u16();
        let body = answer.into_body().collect().await.ok()?.to_bytes();
        Some((status, String::from_utf8_lossy(&body).into_owned()))
    }
}
