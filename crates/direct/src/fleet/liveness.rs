//! Whether an upstream that has work gives the signs of life that are due.
//!
//! Answers the load at which engines are nearly full and entries many. Each entry
//! then has a request or two at an engine, and one that waits behind a full batch or
//! long prompts hears nothing for a second though the engine is well. Held dead for
//! that, the engine is avoided and the prompt read once more by another one that is
//! as full, which is then held dead as well. So an entry goes by what all entries
//! hear, and by the time that the prompts there take to be read.

use base::prelude::*;
use std::collections::HashMap;

/// Silence after which an upstream is held dead whose signs of life are due: a
/// stream that has begun gives an event every few tens of milliseconds.
const SILENT_MS: u64 = 700;

/// Silence towards this entry's waiting requests after which an upstream is held
/// unreachable from here though others hear it. A caller leaves a stream that has
/// not begun some three seconds after its request; later, another upstream could
/// not serve it any more.
const LOCAL_SILENT_MS: u64 = 2_000;

/// Longest time that prompts are granted to be read beyond the silence. What is
/// expected of a queue is rough, and a dead upstream must not be waited for as long
/// as its queue was long.
const MAX_PREFILL_ALLOWANCE_MS: u64 = 1_000;

/// Age at which another entry's word counts no more.
const PEER_REPORT_MAX_AGE_MS: u64 = 1_500;

/// What one entry hears of an upstream at which it has requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Activity {
    /// Requests that have their first answer.
    pub answering: u32,
    /// Time since the last bytes from the upstream; where no request has begun, since
    /// the first of them was sent.
    pub silent_ms: u64,
}

/// Another entry's word, and when it came.
#[derive(Debug, Clone, Copy)]
struct PeerReport {
    received_at: Instant,
    activity: Activity,
}

impl PeerReport {
    fn last_bytes_at(&self) -> Instant {
        self.received_at - Duration::from_millis(self.activity.silent_ms)
    }
}

/// What this entry and others hear of one upstream.
#[derive(Debug, Default)]
pub(super) struct Liveness {
    answering: u32,
    last_bytes_at: Instant,
    peer_reports: HashMap<String, PeerReport>,
}

impl Liveness {
    /// The first of this entry's requests was sent, or bytes came.
    pub(super) const fn bytes_received(&mut self, now: Instant) {
        self.last_bytes_at = now;
    }

    pub(super) const fn first_answer_received(&mut self) {
        self.answering += 1;
    }

    pub(super) const fn requests_ended(&mut self, requests: u32) {
        self.answering = self.answering.saturating_sub(requests);
    }

    pub(super) fn activity(&self, now: Instant) -> Activity {
        Activity {
            answering: self.answering,
            silent_ms: now.ms_since(self.last_bytes_at),
        }
    }

    /// Another entry's word; `None` where it has no request there any more.
    pub(super) fn set_peer_report(
        &mut self,
        now: Instant,
        entry: &str,
        activity: Option<Activity>,
    ) {
        match (self.peer_reports.get_mut(entry), activity) {
            (Some(word), Some(activity)) => {
                *word = PeerReport {
                    received_at: now,
                    activity,
                }
            }
            (None, Some(activity)) => {
                let word = PeerReport {
                    received_at: now,
                    activity,
                };
                self.peer_reports.insert(entry.to_owned(), word);
            }
            (Some(_), None) => {
                self.peer_reports.remove(entry);
            }
            (None, None) => {}
        }
    }

    /// Whether the upstream is silent towards this entry's requests for longer than
    /// it may be while `prefill_ms` of prompts wait there.
    pub(super) fn is_silent(&self, now: Instant, prefill_ms: u64) -> bool {
        now.ms_since(self.last_bytes_at) > self.allowed_silence_ms(now, prefill_ms)
    }

    fn allowed_silence_ms(&self, now: Instant, prefill_ms: u64) -> u64 {
        // An entry whose requests all wait has heard nothing. Taken for a sign, each new
        // request to a dead upstream would have all others wait for it longer.
        let words = self.peer_reports.values().filter(|word| {
            now.ms_since(word.received_at) < PEER_REPORT_MAX_AGE_MS
                && word.activity.answering > 0
        });
        let last = words.clone().map(PeerReport::last_bytes_at).max();
        // A stream pauses for nobody's prompt.
        let stream_is_silent = words.clone().any(|word| {
            word.activity.silent_ms > SILENT_MS
                && last.is_none_or(|last| word.received_at.ms_since(last) > SILENT_MS)
        });
        if self.answering > 0 || stream_is_silent {
            return SILENT_MS;
        }
        if last.is_some_and(|last| now.ms_since(last) < PEER_REPORT_MAX_AGE_MS) {
            return LOCAL_SILENT_MS;
        }
        SILENT_MS + prefill_ms.min(MAX_PREFILL_ALLOWANCE_MS)
    }
}
