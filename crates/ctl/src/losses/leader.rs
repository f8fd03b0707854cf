//! Times in which no entry led.

use serde::Serialize;
use std::collections::BTreeMap;

use crate::trail::Line;

/// A time in which no entry led.
#[derive(Debug, Serialize, PartialEq, Eq)]
pub struct Gap {
    /// When the last leader ceased to lead, or wrote its last line.
    pub from_ms: u64,
    /// When the next one began.
    pub to_ms: u64,
}

impl Gap {
    /// Its length in milliseconds.
    pub const fn ms(&self) -> u64 {
        self.to_ms.saturating_sub(self.from_ms)
    }

    pub(super) fn told(&self, from_ms: u64) -> String {
        let after_ms = self.from_ms as i128 - from_ms as i128;
        format!("  {after_ms:+8} ms: for {} ms", self.ms())
    }
}

/// What each entry tells of its leading, and when it wrote at all.
#[derive(Debug, Default)]
pub(super) struct Leaders {
    entries: BTreeMap<String, Entry>,
}

#[derive(Debug, Default)]
struct Entry {
    /// Times at which it led, with their end if it told one.
    led: Vec<(u64, Option<u64>)>,
    /// Time of its last line, until it starts again.
    last_ms: u64,
}

impl Entry {
    fn take(&mut self, line: &Line) {
        match line.event.as_str() {
            "started" => self.end(self.last_ms),
            "giver_began" => {
                self.end(line.t_ms);
                self.led.push((line.t_ms, None));
            }
            "giver_paused" => self.end(line.t_ms),
            _ => {}
        }
        self.last_ms = self.last_ms.max(line.t_ms);
    }

    /// A time of leading without an end ends here.
    fn end(&mut self, at_ms: u64) {
        if let Some((_, end @ None)) = self.led.last_mut() {
            *end = Some(at_ms);
        }
    }
}

impl Leaders {
    pub(super) fn take(&mut self, line: &Line) {
        let entry = self.entries.entry(line.source.clone()).or_default();
        entry.take(line);
    }

    /// Times from the first request on in which nobody led, between two that did.
    pub(super) fn gaps(self, from_ms: u64) -> Vec<Gap> {
        let entries = self.entries.into_values();
        let mut led: Vec<(u64, u64)> = entries
            .flat_map(|entry| {
                let last_ms = entry.last_ms;
                let led = entry.led.into_iter();
                led.map(move |(began, end)| (began, end.unwrap_or(last_ms)))
            })
            .collect();
        led.sort_unstable();
        let mut gaps = Vec::new();
        let mut led_until: Option<u64> = None;
        for (began, end) in led {
            if let Some(until) = led_until
                && began > until.max(from_ms)
            {
                gaps.push(Gap {
                    from_ms: until.max(from_ms),
                    to_ms: began,
                });
            }
            led_until = Some(led_until.map_or(end, |until| until.max(end)));
        }
        gaps
    }
}
