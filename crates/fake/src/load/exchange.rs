//! Sends one request and checks the response.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Response, StatusCode};
use serde_json::Value;
use std::time::Duration;
use tokio::time::Instant;

use super::HttpClient;
use super::request::GeneratedRequest;
use crate::text::{self, Message};

/// Result and timing of one request.
#[derive(Debug, Default)]
pub(super) struct RequestOutcome {
    pub(super) verdict: Verdict,
    /// Id of the request in the entry's timeline.
    pub(super) request_id: String,
    pub(super) first_token: Option<Duration>,
    pub(super) token_gaps: Vec<Duration>,
    pub(super) total: Duration,
}

/// How a request ended.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub(super) enum Verdict {
    /// The response was complete and correct.
    Complete,
    /// The response ended cleanly but was not complete or not correct; says why.
    Wrong(String),
    /// The request was refused before the response began.
    Refused { code: String, ran: String },
    /// The response began and then ended with an error or a broken connection.
    Incomplete { code: String },
    /// No connection could be opened, so nothing was sent.
    NotConnected,
    /// The connection broke before a complete response or refusal.
    #[default]
    Disconnected,
}

/// Start of the error code with which an entry that shuts down refuses requests; see
/// `docs/errors.md`.
const LEAVING_CODE_PREFIX: &str = "2004 ";

impl Verdict {
    /// Returns whether a load balancer would stop sending requests to the target.
    pub(super) fn is_target_unavailable(&self) -> bool {
        match self {
            Self::NotConnected => true,
            Self::Refused { code, .. } => code.starts_with(LEAVING_CODE_PREFIX),
            _ => false,
        }
    }
}

/// Sends one request, reads its response and checks it.
pub(super) async fn send(
    client: &HttpClient,
    generated: &GeneratedRequest,
) -> RequestOutcome {
    let started_at = Instant::now();
    let mut outcome = RequestOutcome::default();
    if let Some(request) = generated.request() {
        outcome.verdict = match client.request(request).await {
            Ok(response) => {
                check_response(generated, started_at, response, &mut outcome).await
            }
            Err(error) if error.is_connect() => Verdict::NotConnected,
            Err(_) => Verdict::Disconnected,
        };
    }
    outcome.total = started_at.elapsed();
    outcome
}

async fn check_response(
    generated: &GeneratedRequest,
    started_at: Instant,
    response: Response<Incoming>,
    outcome: &mut RequestOutcome,
) -> Verdict {
    outcome.request_id = request_id(&response);
    match response.status() {
        StatusCode::OK if generated.is_service() => {
            check_service_response(generated, response).await
        }
        StatusCode::OK if generated.workload.stream => {
            StreamReader::new(generated, started_at)
                .read(response, outcome)
                .await
        }
        StatusCode::OK => check_document(generated, response).await,
        status => check_refusal(status, response).await,
    }
}

fn request_id(response: &Response<Incoming>) -> String {
    let id = response.headers().get("x-request-id");
    id.and_then(|id| id.to_str().ok()).unwrap_or("").to_owned()
}

async fn read_body(response: Response<Incoming>) -> Option<Bytes> {
    Some(response.into_body().collect().await.ok()?.to_bytes())
}

/// Returns the error in a JSON body: its code with its name, and whether the request
/// ran.
fn parse_error(value: &Value) -> (String, String) {
    let error = value.get("error").unwrap_or(value);
    let text = |name: &str| match &error[name] {
        Value::String(text) => text.clone(),
        Value::Null => String::new(),
        other => other.to_string(),
    };
    let code = format!("{} {}", text("code"), text("name"));
    (code.trim().to_owned(), text("ran"))
}

async fn check_refusal(status: StatusCode, response: Response<Incoming>) -> Verdict {
    let not_run = response.headers().contains_key("x-not-run");
    let Some(bytes) = read_body(response).await else {
        return Verdict::Disconnected;
    };
    let value = serde_json::from_slice(&bytes).unwrap_or(Value::Null);
    let (mut code, mut ran) = parse_error(&value);
    if code.is_empty() {
        code = format!("http {}", status.as_u16());
    }
    if ran.is_empty() && not_run {
        ran = "not_run".to_owned();
    }
    Verdict::Refused { code, ran }
}

async fn check_service_response(
    generated: &GeneratedRequest,
    response: Response<Incoming>,
) -> Verdict {
    let Some(bytes) = read_body(response).await else {
        return Verdict::Disconnected;
    };
    let value: Value = serde_json::from_slice(&bytes).unwrap_or(Value::Null);
    let key = value["key"].as_str().unwrap_or("");
    let key_matches = key.is_empty() || key.contains(&generated.idempotency_key);
    if key_matches && value["count"] == 1 {
        return Verdict::Complete;
    }
    let body_text = String::from_utf8_lossy(&bytes);
    Verdict::Wrong(format!(
        "{}: service answered {body_text}",
        generated.idempotency_key
    ))
}

async fn check_document(
    generated: &GeneratedRequest,
    response: Response<Incoming>,
) -> Verdict {
    let Some(bytes) = read_body(response).await else {
        return Verdict::Disconnected;
    };
    let value: Value = serde_json::from_slice(&bytes).unwrap_or(Value::Null);
    let text = value["choices"][0]["message"]["content"].as_str();
    check_text(
        generated,
        model_version(&value).unwrap_or(1),
        text.unwrap_or(""),
    )
}

fn model_version(value: &Value) -> Option<u32> {
    let fingerprint = value["system_fingerprint"].as_str()?;
    fingerprint.strip_prefix('v')?.parse().ok()
}

fn expected_text(generated: &GeneratedRequest, version: u32) -> String {
    let message = Message {
        role: "user".to_owned(),
        content: generated.prompt.clone(),
    };
    let prompt = text::chat_prompt(&[message]);
    text::ResponseText::new(&generated.model, version, &prompt)
        .token_range(0, generated.workload.max_tokens)
}

fn check_text(generated: &GeneratedRequest, version: u32, text: &str) -> Verdict {
    let expected = expected_text(generated, version);
    if expected == text {
        return Verdict::Complete;
    }
    let matching_bytes = expected
        .bytes()
        .zip(text.bytes())
        .take_while(|(a, b)| a == b)
        .count();
    let (expected_bytes, received_bytes) = (expected.len(), text.len());
    Verdict::Wrong(format!(
        "{}: {received_bytes} bytes received, {expected_bytes} expected; \
         the first {matching_bytes} match",
        generated.idempotency_key
    ))
}

/// Reader of a streamed response.
struct StreamReader<'a> {
    generated: &'a GeneratedRequest,
    started_at: Instant,
    last_token_at: Option<Instant>,
    text: String,
    version: Option<u32>,
    saw_done: bool,
    error: Option<String>,
}

impl<'a> StreamReader<'a> {
    fn new(generated: &'a GeneratedRequest, started_at: Instant) -> Self {
        Self {
            generated,
            started_at,
            last_token_at: None,
            text: String::new(),
            version: None,
            saw_done: false,
            error: None,
        }
    }

    async fn read(
        mut self,
        response: Response<Incoming>,
        outcome: &mut RequestOutcome,
    ) -> Verdict {
        let mut body = response.into_body();
        let mut buffer = Vec::new();
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return self.incomplete("connection");
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            buffer.extend_from_slice(&data);
            while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = buffer.drain(..=end).collect();
                self.handle_line(&String::from_utf8_lossy(&line), outcome);
            }
        }
        match self.error.clone() {
            Some(code) => self.incomplete(&code),
            None if self.saw_done => {
                check_text(self.generated, self.version.unwrap_or(1), &self.text)
            }
            None => Verdict::Wrong(format!(
                "{}: ended without [DONE]",
                self.generated.idempotency_key
            )),
        }
    }

    fn handle_line(&mut self, line: &str, outcome: &mut RequestOutcome) {
        let Some(data) = line.trim().strip_prefix("data:") else {
            return;
        };
        let data = data.trim();
        if data == "[DONE]" {
            self.saw_done = true;
            return;
        }
        let value: Value = serde_json::from_str(data).unwrap_or(Value::Null);
        if value.get("error").is_some() {
            self.error = Some(parse_error(&value).0);
            return;
        }
        self.version = self.version.or_else(|| model_version(&value));
        let content = value["choices"][0]["delta"]["content"]
            .as_str()
            .unwrap_or("");
        if !content.is_empty() {
            self.text.push_str(content);
            self.record_token_time(outcome);
        }
    }

    fn record_token_time(&mut self, outcome: &mut RequestOutcome) {
        let now = Instant::now();
        match self.last_token_at.replace(now) {
            Some(last) => outcome.token_gaps.push(now - last),
            None => outcome.first_token = Some(now - self.started_at),
        }
    }

    /// Verdict on a response that did not end cleanly. Its text must still be a prefix
    /// of the expected one.
    fn incomplete(&self, code: &str) -> Verdict {
        let expected = expected_text(self.generated, self.version.unwrap_or(1));
        if !expected.starts_with(&self.text) {
            let key = &self.generated.idempotency_key;
            return Verdict::Wrong(format!(
                "{key}: incomplete, and the text received differs from the expected one"
            ));
        }
        let code = code.to_owned();
        Verdict::Incomplete { code }
    }
}
