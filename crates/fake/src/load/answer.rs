//! Sends one request and checks the response.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Response, StatusCode};
use serde_json::Value;
use std::time::Duration;
use tokio::time::Instant;

use super::HttpClient;
use super::request::Job;
use crate::text::{self, Message};

/// Result and timing of one request.
#[derive(Debug, Default)]
pub(super) struct Outcome {
    pub(super) verdict: Verdict,
    /// Id of the request in the entry's timeline.
    pub(super) request: String,
    pub(super) first_token: Option<Duration>,
    pub(super) gaps: Vec<Duration>,
    pub(super) total: Duration,
}

/// How a request ended.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub(super) enum Verdict {
    /// The response was complete and correct.
    Whole,
    /// The response ended cleanly but was not complete or not correct; says why.
    Wrong(String),
    /// The request was refused before the response began.
    Refused { code: String, ran: String },
    /// The response began and then ended with an error or a broken connection.
    Broken { code: String },
    /// No connection could be opened, so nothing was sent.
    Unreached,
    /// The connection broke before a complete response or refusal.
    #[default]
    Disconnected,
}

/// Start of the error code with which an entry that shuts down refuses requests; see
/// `docs/errors.md`.
const LEAVING: &str = "2004 ";

impl Verdict {
    /// Returns whether a load balancer would stop sending requests to the target.
    pub(super) fn is_away(&self) -> bool {
        match self {
            Self::Unreached => true,
            Self::Refused { code, .. } => code.starts_with(LEAVING),
            _ => false,
        }
    }
}

/// Sends one request, reads its response and checks it.
pub(super) async fn exchange(client: &HttpClient, job: &Job) -> Outcome {
    let begun = Instant::now();
    let mut outcome = Outcome::default();
    if let Some(request) = job.request() {
        outcome.verdict = match client.request(request).await {
            Ok(answer) => judge(job, begun, answer, &mut outcome).await,
            Err(error) if error.is_connect() => Verdict::Unreached,
            Err(_) => Verdict::Disconnected,
        };
    }
    outcome.total = begun.elapsed();
    outcome
}

async fn judge(
    job: &Job,
    begun: Instant,
    answer: Response<Incoming>,
    outcome: &mut Outcome,
) -> Verdict {
    outcome.request = id_of(&answer);
    match answer.status() {
        StatusCode::OK if job.is_service() => service(job, answer).await,
        StatusCode::OK if job.mix.stream => {
            Stream::new(job, begun).take(answer, outcome).await
        }
        StatusCode::OK => document(job, answer).await,
        status => refusal(status, answer).await,
    }
}

fn id_of(answer: &Response<Incoming>) -> String {
    let id = answer.headers().get("x-request-id");
    id.and_then(|id| id.to_str().ok()).unwrap_or("").to_owned()
}

async fn body(answer: Response<Incoming>) -> Option<Bytes> {
    Some(answer.into_body().collect().await.ok()?.to_bytes())
}

/// Returns the error in a JSON body: its code with its name, and whether the request
/// ran.
fn error_of(value: &Value) -> (String, String) {
    let error = value.get("error").unwrap_or(value);
    let text = |name: &str| match &error[name] {
        Value::String(text) => text.clone(),
        Value::Null => String::new(),
        other => other.to_string(),
    };
    let code = format!("{} {}", text("code"), text("name"));
    (code.trim().to_owned(), text("ran"))
}

async fn refusal(status: StatusCode, answer: Response<Incoming>) -> Verdict {
    let not_run = answer.headers().contains_key("x-not-run");
    let Some(bytes) = body(answer).await else {
        return Verdict::Disconnected;
    };
    let value = serde_json::from_slice(&bytes).unwrap_or(Value::Null);
    let (mut code, mut ran) = error_of(&value);
    if code.is_empty() {
        code = format!("http {}", status.as_u16());
    }
    if ran.is_empty() && not_run {
        ran = "not_run".to_owned();
    }
    Verdict::Refused { code, ran }
}

async fn service(job: &Job, answer: Response<Incoming>) -> Verdict {
    let Some(bytes) = body(answer).await else {
        return Verdict::Disconnected;
    };
    let value: Value = serde_json::from_slice(&bytes).unwrap_or(Value::Null);
    let key = value["key"].as_str().unwrap_or("");
    let own = key.is_empty() || key.contains(&job.key);
    if own && value["count"] == 1 {
        return Verdict::Whole;
    }
    let shown = String::from_utf8_lossy(&bytes);
    Verdict::Wrong(format!("{}: service answered {shown}", job.key))
}

async fn document(job: &Job, answer: Response<Incoming>) -> Verdict {
    let Some(bytes) = body(answer).await else {
        return Verdict::Disconnected;
    };
    let value: Value = serde_json::from_slice(&bytes).unwrap_or(Value::Null);
    let text = value["choices"][0]["message"]["content"].as_str();
    compare(job, version_of(&value).unwrap_or(1), text.unwrap_or(""))
}

fn version_of(value: &Value) -> Option<u32> {
    let print = value["system_fingerprint"].as_str()?;
    print.strip_prefix('v')?.parse().ok()
}

fn expected(job: &Job, version: u32) -> String {
    let message = Message {
        role: "user".to_owned(),
        content: job.prompt.clone(),
    };
    let prompt = text::chat_prompt(&[message]);
    text::ResponseText::new(&job.model, version, &prompt)
        .token_range(0, job.mix.max_tokens)
}

fn compare(job: &Job, version: u32, text: &str) -> Verdict {
    let expected = expected(job, version);
    if expected == text {
        return Verdict::Whole;
    }
    let same = expected
        .bytes()
        .zip(text.bytes())
        .take_while(|(a, b)| a == b)
        .count();
    let (want, got) = (expected.len(), text.len());
    Verdict::Wrong(format!(
        "{}: got {got} bytes, expected {want}; the first {same} match",
        job.key
    ))
}

/// Reader of a streamed response.
struct Stream<'a> {
    job: &'a Job,
    begun: Instant,
    last: Option<Instant>,
    text: String,
    version: Option<u32>,
    done: bool,
    error: Option<String>,
}

impl<'a> Stream<'a> {
    fn new(job: &'a Job, begun: Instant) -> Self {
        Self {
            job,
            begun,
            last: None,
            text: String::new(),
            version: None,
            done: false,
            error: None,
        }
    }

    async fn take(
        mut self,
        answer: Response<Incoming>,
        outcome: &mut Outcome,
    ) -> Verdict {
        let mut body = answer.into_body();
        let mut held = Vec::new();
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return self.broken("connection");
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            held.extend_from_slice(&data);
            while let Some(end) = held.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = held.drain(..=end).collect();
                self.line(&String::from_utf8_lossy(&line), outcome);
            }
        }
        match self.error.clone() {
            Some(code) => self.broken(&code),
            None if self.done => {
                compare(self.job, self.version.unwrap_or(1), &self.text)
            }
            None => Verdict::Wrong(format!("{}: ended without [DONE]", self.job.key)),
        }
    }

    fn line(&mut self, line: &str, outcome: &mut Outcome) {
        let Some(data) = line.trim().strip_prefix("data:") else {
            return;
        };
        let data = data.trim();
        if data == "[DONE]" {
            self.done = true;
            return;
        }
        let value: Value = serde_json::from_str(data).unwrap_or(Value::Null);
        if value.get("error").is_some() {
            self.error = Some(error_of(&value).0);
            return;
        }
        self.version = self.version.or_else(|| version_of(&value));
        let content = value["choices"][0]["delta"]["content"]
            .as_str()
            .unwrap_or("");
        if !content.is_empty() {
            self.text.push_str(content);
            self.time(outcome);
        }
    }

    fn time(&mut self, outcome: &mut Outcome) {
        let now = Instant::now();
        match self.last.replace(now) {
            Some(last) => outcome.gaps.push(now - last),
            None => outcome.first_token = Some(now - self.begun),
        }
    }

    /// Verdict on a response that did not end cleanly. Its text must still be a prefix
    /// of the expected one.
    fn broken(&self, code: &str) -> Verdict {
        let expected = expected(self.job, self.version.unwrap_or(1));
        if !expected.starts_with(&self.text) {
            let key = &self.job.key;
            return Verdict::Wrong(format!(
                "{key}: incomplete, and the text received differs from the expected one"
            ));
        }
        let code = code.to_owned();
        Verdict::Broken { code }
    }
}
