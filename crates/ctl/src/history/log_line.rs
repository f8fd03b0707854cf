//! Parses and formats one line of a process's log.

use serde::Serialize;
use serde_json::{Map, Value};
use std::fmt::Write as _;

/// One line of a log.
#[derive(Debug, Clone, Serialize)]
pub struct LogLine {
    /// Time when the line was written, in milliseconds since the Unix epoch.
    pub t_ms: u64,
    /// Process that wrote the line: the last word of the log collector's
    /// prefix, or the file name without its extension.
    pub source: String,
    /// Name of the event.
    pub event: String,
    /// All other fields.
    pub fields: Map<String, Value>,
}

impl LogLine {
    /// Parses a line. A log collector may have put words before the JSON
    /// object; the last of them names the source.
    pub(super) fn parse(file: &str, text: &str) -> Option<Self> {
        let (prefix, json) = text.split_at(text.find('{')?);
        let mut fields: Map<String, Value> = serde_json::from_str(json).ok()?;
        let t_ms = fields.remove("t_ms")?.as_u64()?;
        let event = fields.remove("event")?.as_str()?.to_owned();
        let source = prefix.split_whitespace().last().unwrap_or(file);
        Some(Self {
            t_ms,
            source: source.to_owned(),
            event,
            fields,
        })
    }

    pub(crate) fn str_field(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    pub(crate) fn u64_field(&self, field: &str) -> Option<u64> {
        self.fields.get(field)?.as_u64()
    }

    /// Attempts of a request: the upstream that it was sent to, and the
    /// outcome.
    pub(crate) fn attempts(&self) -> impl Iterator<Item = (&str, &str)> {
        let attempts = self.fields.get("tries").and_then(Value::as_array);
        let attempts = attempts.into_iter().flatten();
        attempts.filter_map(|attempt| {
            let upstream = attempt.get("upstream")?.as_str()?;
            Some((upstream, attempt.get("outcome")?.as_str()?))
        })
    }

    /// Why no upstream was selected for the last attempt of a request; `None`
    /// if one was.
    pub(crate) fn last_selection_error(&self) -> Option<&str> {
        let attempts = self.fields.get("tries").and_then(Value::as_array)?;
        attempts.last()?.get("unpicked")?.as_str()
    }

    /// Formats the line with its time relative to `from_ms`.
    pub(super) fn format(&self, from_ms: u64) -> String {
        let offset_ms = self.t_ms as i128 - from_ms as i128;
        let mut text = format!("{offset_ms:+7} ms  {}  {}", self.source, self.event);
        for (name, value) in &self.fields {
            match value {
                Value::Null => {}
                Value::String(s) => write!(text, " {name}={s}").expect(INFALLIBLE),
                value => write!(text, " {name}={value}").expect(INFALLIBLE),
            }
        }
        text
    }
}

/// Panic message of a write to a string.
const INFALLIBLE: &str = "writing to a string can't fail";
