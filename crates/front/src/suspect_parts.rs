//! Evidence about the parts of prompts, and requests that are refused for one.
//!
//! [`route::SuspectParts`] decides. Here its evidence is gathered: crashes of upstreams
//! and answers that begin, at this entry and at others.

use base::prelude::*;
use direct::UpstreamIncarnation;
use route::{
    Attribution, PartChange, PartCrash, PartVerdict, PromptPart, RefusedPart,
    SuspectParts, is_part_probing_entry, part_probing_rank,
};
use schema::peer::SuspectPart;
use serde_json::json;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

use crate::RequestHead;
use crate::crash::incarnation_hash;
use crate::dispatch::{Dispatch, DispatchResult};
use crate::refused_parts::PLATFORM;
use crate::state::Node;

/// Largest number of parts read from one message.
const PARTS_PER_MESSAGE_MAX: usize = 64;

/// The reservation of a request that probes its suspect parts. Dropping it lets another
/// request probe them, also if this one has told nothing.
#[derive(Debug)]
pub(crate) struct PartProbe {
    node: Arc<Node>,
    parts: Vec<PromptPart>,
    started_at: Instant,
}

impl Drop for PartProbe {
    fn drop(&mut self) {
        let mut suspects = self.node.suspect_parts.lock();
        suspects.end_probe(&self.parts, self.started_at);
    }
}

/// Returns the parts of a request's prompt that other requests may share: all but the
/// last, which is the caller's own.
pub(crate) fn shared_parts(
    head: &RequestHead,
    service: &Arc<str>,
) -> Arc<[PromptPart]> {
    let parts = head.prompt_parts.split_last();
    let parts = parts.map_or(&[][..], |(_, shared)| shared);
    let parts = parts.iter().map(|(part, _)| PromptPart {
        service: Arc::clone(service),
        part: *part,
    });
    parts.collect()
}

/// Returns parts as callers name them, for the log.
pub(crate) fn part_names(parts: &[PromptPart]) -> Vec<String> {
    parts
        .iter()
        .map(|part| format!("{:x}", part.part))
        .collect()
}

impl Node {
    /// Records that an upstream crashed while it had not begun to answer a request with
    /// these parts.
    pub(crate) fn record_part_crash(
        &self,
        parts: &[PromptPart],
        fingerprint: u64,
        incarnation: UpstreamIncarnation<'_>,
    ) {
        let crash = PartCrash {
            incarnation: incarnation_hash(incarnation),
            request: fingerprint,
        };
        self.record_part_evidence("crash", parts, |suspects, now| {
            suspects.record_crash(now, parts, &crash)
        });
    }

    /// Records that an upstream began to answer a request with these parts, and survived
    /// that.
    pub(crate) fn record_part_answer(&self, parts: &[PromptPart], request_id: &str) {
        let request = xxh3_64(request_id.as_bytes());
        self.record_part_evidence("answer", parts, |suspects, now| {
            suspects.record_answer(now, parts, request)
        });
    }

    /// Merges the evidence of another entry.
    pub(crate) fn merge_suspect_parts(&self, from: &str, parts: &[SuspectPart]) {
        let now = self.now();
        for message in parts.iter().take(PARTS_PER_MESSAGE_MAX) {
            let (part, change) = self.suspect_parts.lock().merge(now, message);
            self.report_part_change(from, &part, change);
        }
    }

    fn record_part_evidence(
        &self,
        source: &str,
        parts: &[PromptPart],
        record: impl FnOnce(&mut SuspectParts, Instant) -> Vec<PartChange>,
    ) {
        if parts.is_empty() {
            return;
        }
        let changes = record(&mut self.suspect_parts.lock(), self.now());
        let mut is_changed = false;
        for (part, change) in parts.iter().zip(changes) {
            is_changed |= change != PartChange::Nothing;
            self.report_part_change(source, part, change);
        }
        if is_changed {
            self.peers.announce_now.notify_one();
        }
    }

    /// Logs and counts a new verdict on a part. `source` is what led to it: a crash or an
    /// answer seen here, or the name of another entry.
    fn report_part_change(&self, source: &str, part: &PromptPart, change: PartChange) {
        let change = match change {
            PartChange::Nothing | PartChange::Evidence => return,
            PartChange::Refused => "refused",
            PartChange::Released => "released",
        };
        // The others would write the same.
        if source != PLATFORM && self.probes_part_first(part) {
            self.changed_parts.add(part);
        }
        self.metrics
            .part_verdicts
            .with_label_values(&[&*part.service, change])
            .inc();
        let evidence = self.suspect_parts.lock().evidence(part);
        self.log.line(
            &format!("prompt_part_{change}"),
            json!({ "service": &*part.service, "part": format!("{:x}", part.part),
                "source": source, "crashes": evidence.crashes, "answers": evidence.answers,
                "refusals": evidence.refusals }),
        );
    }

    /// Whether this entry is one of those that probe a refused part first.
    fn probes_part_first(&self, part: &PromptPart) -> bool {
        let (own, others) = self.probing_entries();
        is_part_probing_entry(part, &own, &others)
    }

    /// Returns the number of entries that probe a refused part before this one does.
    fn probing_rank(&self, part: &PromptPart) -> usize {
        let (own, others) = self.probing_entries();
        part_probing_rank(part, &own, &others)
    }

    /// Returns this entry and the others that are live.
    fn probing_entries(&self) -> (EntryId, Vec<EntryId>) {
        let own = EntryId::new(&self.peers.own_name);
        let live = self.peers.live_entries(self.now());
        let live = live.iter().map(|name| EntryId::new(name));
        let others = live.filter(|entry| *entry != own).collect();
        (own, others)
    }
}

impl Dispatch {
    /// Returns the part of the prompt for which the request must not be sent to an
    /// upstream now. A request that was not sent yet may become the probe of its suspects.
    pub(crate) fn admit_parts(&mut self) -> Option<RefusedPart> {
        if self.probe.is_some() || self.is_sound || self.may_have_run() {
            return self.refused_part();
        }
        let parts = &self.request.shared_parts;
        if parts.is_empty() {
            return None;
        }
        let node = &self.node;
        let now = node.now();
        let verdict = node
            .suspect_parts
            .lock()
            .admit(now, parts, |part| node.probing_rank(part));
        match verdict {
            PartVerdict::Clear => None,
            PartVerdict::Probe(suspects) => {
                node.log.line(
                    "prompt_part_probed",
                    json!({ "service": &*self.request.service,
                        "parts": part_names(&suspects), "id": self.request.head.id }),
                );
                self.probe = Some(PartProbe {
                    node: Arc::clone(node),
                    parts: suspects,
                    started_at: now,
                });
                None
            }
            PartVerdict::Refused(refused) => Some(refused),
        }
    }

    /// Returns the part of the prompt for which the request must not be sent to another
    /// upstream. There is none for the rest of a stream that has begun.
    pub(crate) fn refused_part(&self) -> Option<RefusedPart> {
        let parts = &self.request.shared_parts;
        if parts.is_empty() || self.is_sound {
            return None;
        }
        let probed = self.probe.as_ref().map_or(&[][..], |probe| &probe.parts);
        let suspects = self.node.suspect_parts.lock();
        suspects.refusal(self.node.now(), parts, probed)
    }

    /// Whether no part of other requests may be the cause of the crashes that count
    /// against parts of this one. While there may be such a cause, the request's own
    /// answer shows which it is.
    pub(crate) fn has_crashing_part(&self) -> bool {
        self.refused_part()
            .is_some_and(|refused| refused.attribution == Attribution::OwnParts)
    }

    /// Whether the request itself may be the cause if an upstream crashes under it, so
    /// that this has to be known before another upstream gets it.
    pub(crate) fn may_crash_upstreams(&self) -> bool {
        let parts = &self.request.shared_parts;
        let is_doubtful = || {
            let suspects = self.node.suspect_parts.lock();
            suspects.is_doubtful(self.node.now(), parts)
        };
        !parts.is_empty() && !self.is_sound && (self.probe.is_some() || is_doubtful())
    }

    /// Ends a request whose prompt has a refused part.
    pub(crate) fn end_refused(&mut self, refused: RefusedPart) -> DispatchResult {
        self.attempts.push(json!({ "unpicked": "prompt_part",
            "part": format!("{:x}", refused.part.part),
            "crashes": refused.crashes, "answers": refused.answers,
            "causes": refused.attribution.as_str(),
            "no_probe": refused.no_probe.as_str() }));
        let labels = [
            &*self.request.service,
            refused.attribution.as_str(),
            refused.no_probe.as_str(),
        ];
        let refusals = &self.node.metrics.part_refusals;
        refusals.with_label_values(&labels).inc();
        let retry_after_ms = refused.retry_after_ms;
        self.refused_for = Some(refused);
        let end = self.end_without_response(ErrorCode::PromptPartCrashedUpstreams);
        match end {
            DispatchResult::Failed(error) if error.retry_after_ms.is_some() => {
                DispatchResult::Failed(error.retry_after_ms(retry_after_ms))
            }
            end => end,
        }
    }
}
