//! An answer on its way from the upstream to the entry.

use base::AttemptId;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::header::CONTENT_TYPE;
use role::agent::UpstreamEvent;
use schema::link::Run;
use std::sync::Arc;

use super::connection::Answering;
use crate::driver::{Node, Part};

/// An answer that is being read and passed on.
#[derive(Debug)]
pub(super) struct Answer<'a> {
    node: &'a Arc<Node>,
    attempt: AttemptId,
    /// The machine keeps the answer for a resend.
    keyed: bool,
    answering: Answering,
}

/// What comes next of an answer's body.
#[derive(Debug)]
pub(super) enum Next {
    /// Bytes.
    Bytes(Bytes),
    /// The end, in good order.
    End,
    /// The connection broke.
    Broken,
}

impl<'a> Answer<'a> {
    /// An answer of which nothing has been read.
    pub(super) const fn new(
        node: &'a Arc<Node>,
        attempt: AttemptId,
        run: &Run,
        answering: Answering,
    ) -> Self {
        Self {
            node,
            attempt,
            keyed: !run.idempotent && !run.idempotency_key.is_empty(),
            answering,
        }
    }

    /// HTTP status.
    pub(super) fn status(&self) -> u16 {
        self.answering.response.status().as_u16()
    }

    /// Content type; empty if there is none.
    pub(super) fn content_type(&self) -> String {
        let headers = self.answering.response.headers();
        let value = headers.get(CONTENT_TYPE);
        let text = value.and_then(|value| value.to_str().ok());
        text.unwrap_or_default().to_owned()
    }

    /// Waits for the next bytes of the body.
    pub(super) async fn next(&mut self) -> Next {
        loop {
            match self.answering.response.body_mut().frame().await {
                None => return Next::End,
                Some(Err(_)) => return Next::Broken,
                Some(Ok(frame)) => {
                    // Trailers are not passed on.
                    if let Ok(bytes) = frame.into_data() {
                        return Next::Bytes(bytes);
                    }
                }
            }
        }
    }

    /// Passes a part on, once the queue towards the entry has room.
    ///
    /// While it has none, nothing is read from the upstream, whose own socket
    /// then fills: a slow caller costs a bounded amount of memory here.
    pub(super) async fn pass_on(&self, units: u32, payload: Vec<u8>) {
        let room = match self.node.links().sender_of(self.attempt) {
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
        self.node.tell_part(event, Part { payload, room });
    }
}
