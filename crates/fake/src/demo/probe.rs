//! HTTP client for operator listeners and control listeners.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;

use crate::load::HttpClient;

/// HTTP client for short requests.
#[derive(Debug)]
pub struct ProbeClient(HttpClient);

impl Default for ProbeClient {
    fn default() -> Self {
        Self::new()
    }
}

impl ProbeClient {
    /// Creates a client without open connections.
    pub fn new() -> Self {
        Self(Client::builder(TokioExecutor::new()).build_http())
    }

    /// Sends a GET request. Returns status and body, or `None` without a complete
    /// response.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Option<(u16, String)> {
        let request = Request::get(format!("http://{address}{path}"));
        self.send(request.body(Full::new(Bytes::new())).ok()?).await
    }

    /// Sends a GET request and decodes the body as JSON. Returns `None` if either fails.
    pub async fn get_json<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Option<T> {
        let (_, text) = self.get(address, path).await?;
        serde_json::from_str(&text).ok()
    }

    /// Replaces the faults of a stand-in through its control listener. Returns whether
    /// that succeeded.
    pub async fn set_faults<F: Serialize>(
        &self,
        control: SocketAddr,
        faults: &F,
    ) -> bool {
        let Ok(text) = serde_json::to_string(faults) else {
            return false;
        };
        let request = Request::put(format!("http://{control}/control/faults"));
        let Ok(request) = request.body(Full::new(Bytes::from(text))) else {
            return false;
        };
        matches!(self.send(request).await, Some((200, _)))
    }

    /// Sends a request. Returns status and body, or `None` without a complete response.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> Option<(u16, String)> {
        let response = self.0.request(request).await.ok()?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.ok()?.to_bytes();
        Some((status, String::from_utf8_lossy(&body).into_owned()))
    }
}
