//! Answers of a plain service: bytes, forwarded as they arrive.

use super::answer_reader::{AnswerReader, BodyEvent};
use super::outcome::AttemptOutcome;

/// Maximum number of bytes forwarded in one frame.
const PART_MAX_BYTES: usize = 64 << 10;

/// Forwards the answer to its end. An answer with any HTTP status is complete.
pub(super) async fn forward_all(mut answer: AnswerReader<'_>) -> AttemptOutcome {
    let status = answer.status();
    loop {
        match answer.next().await {
            BodyEvent::Data(bytes) => {
                for part in bytes.chunks(PART_MAX_BYTES) {
                    let units = u32::try_from(part.len()).unwrap_or(u32::MAX);
                    answer.forward(units, part.to_vec()).await;
                }
            }
            BodyEvent::End => {
                return AttemptOutcome::Completed {
                    status,
                    content_type: answer.content_type(),
                };
            }
            BodyEvent::Broken => return AttemptOutcome::connection_lost(status),
        }
    }
}
