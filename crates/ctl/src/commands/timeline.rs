//! `timeline`: the events of all processes in one line.

use schema::timeline::Event;
use std::fmt::Write as _;

use super::reach;
use crate::members::{Target, ask_all};
use crate::options::TimelineOptions;
use crate::{CtlError, Exit, Report};

/// Which events are asked for.
#[derive(Debug, Default)]
pub(super) struct Query<'a> {
    /// Earliest clock.
    pub(super) since_us: Option<u64>,
    /// Request.
    pub(super) request: Option<&'a str>,
    /// Model.
    pub(super) model: Option<&'a str>,
}

/// Merges the events of all processes.
pub(super) async fn run(options: &TimelineOptions) -> Result<Report, CtlError> {
    let targets = reach(&options.reach).await?;
    let since_us = options
        .since_ms
        .map(|ms| line::unix_time_us().saturating_sub(ms.saturating_mul(1_000)));
    let query = Query {
        since_us,
        request: options.request.as_deref(),
        model: options.model.as_deref(),
    };
    let gathered = gather(&targets, &query).await;
    Ok(gathered.report(options.json))
}

/// Events, and the processes whose events are missing.
#[derive(Debug)]
pub(super) struct Gathered {
    events: Vec<Event>,
    missing: Vec<String>,
    asked: usize,
}

impl Gathered {
    /// The events as lines or JSON; processes that did not answer are named,
    /// since a line with a hole looks like one where nothing happened.
    pub(super) fn report(&self, json: bool) -> Report {
        let exit = if self.missing.len() == self.asked {
            Exit::Unreachable
        } else {
            Exit::Ok
        };
        if json {
            return Report::json(&self.events, exit);
        }
        if self.asked == 0 {
            return Report::lines(["no process was found to ask".to_owned()], exit);
        }
        let missing = self.missing.iter();
        let missing = missing.map(|fault| format!("not in this line: {fault}"));
        let events = self.events.iter().map(line::render);
        Report::lines(missing.chain(events), exit)
    }
}

/// Asks all processes for their events.
pub(super) async fn gather(targets: &[Target], query: &Query<'_>) -> Gathered {
    let path = query.path();
    let mut lines = Vec::new();
    let mut missing = Vec::new();
    for (_, answer) in ask_all::<Vec<Event>>(targets, &path).await {
        match answer {
            Ok(events) => lines.push(events),
            Err(error) => missing.push(error.to_string()),
        }
    }
    Gathered {
        events: line::merge(lines),
        missing,
        asked: targets.len(),
    }
}

impl Query<'_> {
    fn path(&self) -> String {
        let mut path = "/timeline?".to_owned();
        if let Some(since_us) = self.since_us {
            // Writing to a string does not fail.
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

/// Encodes a name for a URL.
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
