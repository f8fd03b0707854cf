//! Answers of an engine: a stream of tokens, one unit each.

use hyper::StatusCode;

use super::answer_reader::{AnswerReader, BodyEvent};
use super::outcome::AttemptOutcome;
use super::sse::{ProtocolError, SseEvent, SseParser};

/// Progress of an answer.
#[derive(Debug, Default)]
struct Progress {
    /// Tokens of the whole answer so far, including those before a resumption.
    units: u64,
    /// Set once the last chunk has arrived: the total number of tokens that it
    /// states, if any.
    finished: Option<Option<u64>>,
}

impl Progress {
    /// Returns whether the answer is complete when the end marker arrives.
    ///
    /// The token count is compared so that an answer with a missing chunk does not
    /// pass for a complete, shorter one.
    fn is_complete(&self) -> bool {
        match self.finished {
            Some(Some(stated)) => stated == self.units,
            Some(None) => true,
            None => false,
        }
    }
}

/// Forwards the answer up to its end marker.
///
/// `resume_offset` is the number of tokens that the caller already has.
pub(super) async fn forward_all(
    mut answer: AnswerReader<'_>,
    resume_offset: u64,
) -> AttemptOutcome {
    let status = answer.status();
    if status != StatusCode::OK.as_u16() {
        return AttemptOutcome::upstream_fault(status);
    }
    let mut parser = SseParser::new();
    let mut progress = Progress {
        units: resume_offset,
        finished: None,
    };
    loop {
        match answer.next().await {
            BodyEvent::Data(bytes) => parser.push(&bytes),
            // Without the end marker the answer is incomplete, even if the
            // connection was closed cleanly.
            BodyEvent::End | BodyEvent::Broken => {
                return AttemptOutcome::connection_lost(status);
            }
        }
        match forward_parsed(&answer, &mut parser, &mut progress).await {
            Ok(false) => {}
            Ok(true) if progress.is_complete() => {
                return AttemptOutcome::Completed {
                    status,
                    content_type: answer.content_type(),
                };
            }
            Ok(true) | Err(ProtocolError) => {
                return AttemptOutcome::upstream_fault(status);
            }
        }
    }
}

/// Forwards the tokens that the parser has received; returns true at the end marker.
async fn forward_parsed(
    answer: &AnswerReader<'_>,
    parser: &mut SseParser,
    progress: &mut Progress,
) -> Result<bool, ProtocolError> {
    while let Some(mut event) = parser.next()? {
        if let Some(token) = event.take_token() {
            progress.units += 1;
            answer.forward(1, token.into_bytes()).await;
        }
        match event {
            SseEvent::Chunk(chunk) if chunk.finished => {
                progress.finished = Some(chunk.completion_tokens);
            }
            SseEvent::Chunk(_) => {}
            SseEvent::End => return Ok(true),
        }
    }
    Ok(false)
}
