//! Answers of an engine: one unit for each token.

use hyper::StatusCode;

use super::answer_reader::{Answer, Next};
use super::outcome::Ending;
use super::sse::{Event, Fault, Reader};

/// How far an answer has come.
#[derive(Debug, Default)]
struct Progress {
    /// Tokens of the whole answer so far, with those before a resumption.
    units: u64,
    /// The last chunk has come, with the number of tokens it states.
    finished: Option<Option<u64>>,
}

impl Progress {
    /// Whether the answer is whole at its end mark.
    ///
    /// A chunk that was lost on the way would otherwise make a shorter answer
    /// pass for a whole one.
    fn is_whole(&self) -> bool {
        match self.finished {
            Some(Some(stated)) => stated == self.units,
            Some(None) => true,
            None => false,
        }
    }
}

/// Reads the answer to its end mark.
pub(super) async fn read(mut answer: Answer<'_>, resume_offset: u64) -> Ending {
    let status = answer.status();
    if status != StatusCode::OK.as_u16() {
        return Ending::fault(status);
    }
    let mut reader = Reader::new();
    let mut progress = Progress {
        units: resume_offset,
        finished: None,
    };
    loop {
        match answer.next().await {
            Next::Bytes(bytes) => reader.push(&bytes),
            // Without its end mark the answer is cut, however cleanly the
            // connection was closed.
            Next::End | Next::Broken => return Ending::broken(status),
        }
        match pass_on(&answer, &mut reader, &mut progress).await {
            Ok(false) => {}
            Ok(true) if progress.is_whole() => {
                return Ending::Whole {
                    status,
                    content_type: answer.content_type(),
                };
            }
            Ok(true) | Err(Fault) => return Ending::fault(status),
        }
    }
}

/// Passes on what has come; true at the end mark.
async fn pass_on(
    answer: &Answer<'_>,
    reader: &mut Reader,
    progress: &mut Progress,
) -> Result<bool, Fault> {
    while let Some(mut event) = reader.next()? {
        if let Some(token) = event.token() {
            progress.units += 1;
            answer.pass_on(1, token.into_bytes()).await;
        }
        match event {
            Event::Chunk(chunk) if chunk.finished => {
                progress.finished = Some(chunk.completion_tokens);
            }
            Event::Chunk(_) => {}
            Event::End => return Ok(true),
        }
    }
    Ok(false)
}
