//! The command `timeline`: merges the events of all processes.

use schema::timeline::Event;
use std::fmt::Write as _;

use super::find_processes;
use crate::members::{ProcessEndpoint, get_json_from_all};
use crate::options::TimelineOptions;
use crate::{CtlError, ExitStatus, Report};

/// Which events the processes are asked for.
#[derive(Debug, Default)]
pub(super) struct TimelineQuery<'a> {
    /// Earliest time, in microseconds since the Unix epoch.
    pub(super) since_us: Option<u64>,
    /// Request id.
    pub(super) request: Option<&'a str>,
    /// Name of a model.
    pub(super) model: Option<&'a str>,
}

/// Prints the merged events of all processes.
pub(super) async fn run(options: &TimelineOptions) -> Result<Report, CtlError> {
    let processes = find_processes(&options.processes).await?;
    let since_us = options
        .since_ms
        .map(|ms| line::unix_time_us().saturating_sub(ms.saturating_mul(1_000)));
    let query = TimelineQuery {
        since_us,
        request: options.request.as_deref(),
        model: options.model.as_deref(),
    };
    let timeline = collect_timeline(&processes, &query).await;
    Ok(timeline.report(options.json))
}

/// Merged events, and error messages for the processes whose events are
/// missing.
#[derive(Debug)]
pub(super) struct CollectedTimeline {
    events: Vec<Event>,
    missing: Vec<String>,
    queried: usize,
}

impl CollectedTimeline {
    /// Formats the events as lines or JSON. Processes that did not answer are
    /// named first: a gap in the timeline would otherwise look like a time
    /// without events.
    pub(super) fn report(&self, json: bool) -> Report {
        let exit_status = if self.missing.len() == self.queried {
            ExitStatus::Unreachable
        } else {
            ExitStatus::Ok
        };
        if json {
            return Report::json(&self.events, exit_status);
        }
        if self.queried == 0 {
            return Report::lines(
                ["no process was found to ask".to_owned()],
                exit_status,
            );
        }
        let missing = self.missing.iter();
        let missing =
            missing.map(|error| format!("missing from the timeline: {error}"));
        let events = self.events.iter().map(line::render);
        Report::lines(missing.chain(events), exit_status)
    }
}

/// Requests the events of all processes.
pub(super) async fn collect_timeline(
    processes: &[ProcessEndpoint],
    query: &TimelineQuery<'_>,
) -> CollectedTimeline {
    let path = query.path();
    let mut per_process = Vec::new();
    let mut missing = Vec::new();
    for (_, response) in get_json_from_all::<Vec<Event>>(processes, &path).await {
        match response {
            Ok(events) => per_process.push(events),
            Err(error) => missing.push(error.to_string()),
        }
    }
    CollectedTimeline {
        events: line::merge(per_process),
        missing,
        queried: processes.len(),
    }
}

impl TimelineQuery<'_> {
    fn path(&self) -> String {
        let mut path = "/timeline?".to_owned();
        if let Some(since_us) = self.since_us {
            // Writing to a string can't fail.
            let _ = write!(path, "since_us={since_us}&");
        }
        for (key, value) in [("request", self.request), ("model", self.model)] {
            if let Some(value) = value {
                let _ = write!(path, "{key}={}&", percent_encode(value));
            }
        }
        path.pop();
        path
    }
}

/// Percent-encodes a name for a URL.
pub(super) fn percent_encode(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-_.~".contains(&byte) {
            encoded.push(char::from(byte));
        } else {
            let _ = write!(encoded, "%{byte:02X}");
        }
    }
    encoded
}
