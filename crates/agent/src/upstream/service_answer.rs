//! Answers of a plain service: bytes, passed on as they come.

use super::answer_reader::{Answer, Next};
use super::outcome::Ending;

/// Largest part passed on in one frame.
const PART_MAX_BYTES: usize = 64 << 10;

/// Reads the answer to its end. Any status is the service's own answer.
pub(super) async fn read(mut answer: Answer<'_>) -> Ending {
    let status = answer.status();
    loop {
        match answer.next().await {
            Next::Bytes(bytes) => {
                for part in bytes.chunks(PART_MAX_BYTES) {
                    let units = u32::try_from(part.len()).unwrap_or(u32::MAX);
                    answer.pass_on(units, part.to_vec()).await;
                }
            }
            Next::End => {
                return Ending::Whole {
                    status,
                    content_type: answer.content_type(),
                };
            }
            Next::Broken => return Ending::broken(status),
        }
    }
}
