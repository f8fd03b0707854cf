//! Reading an answer from the upstream and forwarding it to the entry.

use base::AttemptId;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::header::CONTENT_TYPE;
use role::agent::UpstreamEvent;
use schema::link::Run;
use std::sync::Arc;

use super::connection::UpstreamResponse;
use crate::driver::{AgentDriver, PendingPart};

/// Reads the body of an answer and forwards its parts.
#[derive(Debug)]
pub(super) struct AnswerReader<'a> {
    driver: &'a Arc<AgentDriver>,
    attempt: AttemptId,
    /// The state machine stores the answer in case the caller resends the request.
    keyed: bool,
    response: UpstreamResponse,
}

/// The result of reading from an answer's body.
#[derive(Debug)]
pub(super) enum BodyEvent {
    /// Bytes of the body.
    Data(Bytes),
    /// The body is complete, as HTTP frames it.
    End,
    /// The connection was lost.
    Broken,
}

impl<'a> AnswerReader<'a> {
    /// Creates a reader for a response whose body has not been read yet.
    pub(super) const fn new(
        driver: &'a Arc<AgentDriver>,
        attempt: AttemptId,
        run: &Run,
        response: UpstreamResponse,
    ) -> Self {
        Self {
            driver,
            attempt,
            keyed: !run.idempotent && !run.idempotency_key.is_empty(),
            response,
        }
    }

    /// Returns the HTTP status.
    pub(super) fn status(&self) -> u16 {
        self.response.inner.status().as_u16()
    }

    /// Returns the content type, or an empty string if there is none.
    pub(super) fn content_type(&self) -> String {
        let headers = self.response.inner.headers();
        let value = headers.get(CONTENT_TYPE);
        let text = value.and_then(|value| value.to_str().ok());
        text.unwrap_or_default().to_owned()
    }

    /// Waits for the next bytes of the body or its end.
    pub(super) async fn next(&mut self) -> BodyEvent {
        loop {
            match self.response.inner.body_mut().frame().await {
                None => return BodyEvent::End,
                Some(Err(_)) => return BodyEvent::Broken,
                Some(Ok(frame)) => {
                    // Trailers are not forwarded.
                    if let Ok(bytes) = frame.into_data() {
                        return BodyEvent::Data(bytes);
                    }
                }
            }
        }
    }

    /// Forwards a part of the answer once the send queue to the entry has capacity.
    ///
    /// Nothing is read from the upstream during the wait, so the upstream's socket
    /// fills up and a slow caller uses a bounded amount of memory in this process.
    pub(super) async fn forward(&self, units: u32, payload: Vec<u8>) {
        let permit = match self.driver.links().sender_for_attempt(self.attempt) {
            Some(sender) => sender.reserve(payload.len()).await.ok(),
            None => None,
        };
        let attempt = self.attempt;
        let event = if self.keyed {
            UpstreamEvent::KeyedAnswerPart {
                attempt,
                units,
                payload: payload.clone(),
            }
        } else {
            UpstreamEvent::AnswerPart { attempt, units }
        };
        self.driver
            .handle_answer_part(event, PendingPart { payload, permit });
    }
}
