//! Detection of upstreams that have requests and send nothing.
//!
//! When engines are nearly full and there are many entries, each entry has only one or
//! two requests at an engine. One that waits behind a full batch or long prompts
//! receives nothing for a second although the engine is healthy. If the engine were
//! considered dead, the prompt would be prefilled again by another engine that is as
//! full, which would then be considered dead as well. An entry therefore also takes
//! into account what other entries receive, and how long the queued prompts take.

use base::prelude::*;
use std::collections::HashMap;

/// Silence after which an upstream that should be sending is considered dead. A stream
/// that has started gives an event every few tens of milliseconds.
const SILENT_MS: u64 = 700;

/// Silence towards this entry's waiting requests after which an upstream is considered
/// unreachable from here, although other entries hear it. Callers give up on a stream
/// that hasn't started about three seconds after the request; any later, another
/// upstream could no longer serve it.
const LOCAL_SILENT_MS: u64 = 2_000;

/// Maximum additional silence that is allowed for queued prompts. Estimates of a queue
/// are rough, and the wait for a dead upstream must not depend on how long its queue
/// was.
const MAX_PREFILL_ALLOWANCE_MS: u64 = 1_000;

/// Age after which another entry's report is ignored.
const PEER_REPORT_MAX_AGE_MS: u64 = 1_500;

/// What one entry hears from an upstream at which it has requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Activity {
    /// Number of requests that have received their first answer.
    pub answering: u32,
    /// Time since the last bytes from the upstream, or, if no request has an answer
    /// yet, since the first of them was sent.
    pub silent_ms: u64,
}

/// Another entry's report and when it was received.
#[derive(Debug, Clone, Copy)]
struct PeerReport {
    received_at: Instant,
    activity: Activity,
}

impl PeerReport {
    /// When the reporting entry last received bytes, by this entry's clock.
    fn last_bytes_at(&self) -> Instant {
        self.received_at - Duration::from_millis(self.activity.silent_ms)
    }
}

/// What this entry and others hear from one upstream.
#[derive(Debug, Default)]
pub(super) struct Liveness {
    answering: u32,
    last_bytes_at: Instant,
    peer_reports: HashMap<String, PeerReport>,
}

impl Liveness {
    /// Records that bytes were received, or that the first of this entry's requests was
    /// sent.
    pub(super) const fn bytes_received(&mut self, now: Instant) {
        self.last_bytes_at = now;
    }

    pub(super) const fn first_answer_received(&mut self) {
        self.answering += 1;
    }

    pub(super) const fn requests_ended(&mut self, requests: u32) {
        self.answering = self.answering.saturating_sub(requests);
    }

    /// What this entry hears from the upstream, for messages to other entries.
    pub(super) fn activity(&self, now: Instant) -> Activity {
        Activity {
            answering: self.answering,
            silent_ms: now.ms_since(self.last_bytes_at),
        }
    }

    /// Sets another entry's report; `None` if it no longer has requests there.
    pub(super) fn set_peer_report(
        &mut self,
        now: Instant,
        entry: &str,
        activity: Option<Activity>,
    ) {
        match (self.peer_reports.get_mut(entry), activity) {
            (Some(report), Some(activity)) => {
                *report = PeerReport {
                    received_at: now,
                    activity,
                }
            }
            (None, Some(activity)) => {
                let report = PeerReport {
                    received_at: now,
                    activity,
                };
                self.peer_reports.insert(entry.to_owned(), report);
            }
            (Some(_), None) => {
                self.peer_reports.remove(entry);
            }
            (None, None) => {}
        }
    }

    /// Whether the upstream has been silent towards this entry's requests for longer
    /// than allowed, given that queued prompts take `prefill_ms`.
    pub(super) fn is_silent(&self, now: Instant, prefill_ms: u64) -> bool {
        now.ms_since(self.last_bytes_at) > self.allowed_silence_ms(now, prefill_ms)
    }

    /// Silence after which the upstream counts as silent. It is longer for requests
    /// that may still be queued there.
    fn allowed_silence_ms(&self, now: Instant, prefill_ms: u64) -> u64 {
        // An entry whose requests are all waiting has heard nothing. If its reports
        // counted as received bytes, each new request to a dead upstream would make all
        // others wait longer for it.
        let reports = self.peer_reports.values().filter(|report| {
            now.ms_since(report.received_at) < PEER_REPORT_MAX_AGE_MS
                && report.activity.answering > 0
        });
        let last_bytes_at = reports.clone().map(PeerReport::last_bytes_at).max();
        // A stream that has started isn't interrupted by the prefill of other prompts.
        let stream_is_silent = reports.clone().any(|report| {
            report.activity.silent_ms > SILENT_MS
                && last_bytes_at.is_none_or(|last_bytes_at| {
                    report.received_at.ms_since(last_bytes_at) > SILENT_MS
                })
        });
        if self.answering > 0 || stream_is_silent {
            return SILENT_MS;
        }
        if last_bytes_at.is_some_and(|last_bytes_at| {
            now.ms_since(last_bytes_at) < PEER_REPORT_MAX_AGE_MS
        }) {
            return LOCAL_SILENT_MS;
        }
        SILENT_MS + prefill_ms.min(MAX_PREFILL_ALLOWANCE_MS)
    }
}
