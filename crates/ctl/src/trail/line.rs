//! One line of a log.

use serde::Serialize;
use serde_json::{Map, Value};
use std::fmt::Write as _;

/// One line of a log.
#[derive(Debug, Clone, Serialize)]
pub struct Line {
    /// Time of day, in milliseconds.
    pub t_ms: u64,
    /// Who wrote it: what the collector put before it, or the file's name.
    pub source: String,
    /// What happened.
    pub event: String,
    /// All else.
    pub fields: Map<String, Value>,
}

impl Line {
    /// Reads a line; what a collector put before the object names its source.
    pub(super) fn parse(file: &str, text: &str) -> Option<Self> {
        let (before, object) = text.split_at(text.find('{')?);
        let mut fields: Map<String, Value> = serde_json::from_str(object).ok()?;
        let t_ms = fields.remove("t_ms")?.as_u64()?;
        let event = fields.remove("event")?.as_str()?.to_owned();
        let source = before.split_whitespace().last().unwrap_or(file);
        Some(Self {
            t_ms,
            source: source.to_owned(),
            event,
            fields,
        })
    }

    pub(crate) fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    pub(crate) fn number(&self, field: &str) -> Option<u64> {
        self.fields.get(field)?.as_u64()
    }

    /// Upstreams that a request was sent to, each with how that ended.
    pub(crate) fn tries(&self) -> impl Iterator<Item = (&str, &str)> {
        let tries = self.fields.get("tries").and_then(Value::as_array);
        let tries = tries.into_iter().flatten();
        tries.filter_map(|tried| {
            let upstream = tried.get("upstream")?.as_str()?;
            Some((upstream, tried.get("outcome")?.as_str()?))
        })
    }

    /// Why no upstream was found at a request's last look for one, if none was.
    pub(crate) fn last_unpicked(&self) -> Option<&str> {
        let tries = self.fields.get("tries").and_then(Value::as_array)?;
        tries.last()?.get("unpicked")?.as_str()
    }

    /// The line as text, with its time from another one on.
    pub(super) fn told(&self, from_ms: u64) -> String {
        let after_ms = self.t_ms as i128 - from_ms as i128;
        let mut told = format!("{after_ms:+7} ms  {}  {}", self.source, self.event);
        for (name, value) in &self.fields {
            match value {
                Value::Null => {}
                Value::String(text) => write!(told, " {name}={text}").expect(TEXT),
                value => write!(told, " {name}={value}").expect(TEXT),
            }
        }
        told
    }
}

/// Why writing to a string can't fail.
const TEXT: &str = "a string takes all text";
