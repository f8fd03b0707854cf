//! Searches log files for the lines that concern one request or one model.
//!
//! Entries log one line per decision. What explains the end of a request is
//! spread over a few of them: its own line, lines about the upstreams that it
//! was sent to, lines about orders for its model, and lines that say that an
//! entry, its peers or the platform were unavailable meanwhile. The logs are
//! read twice, first for the subject and then for the lines related to it, so
//! that they need not fit in memory.

mod log_line;
mod subject;

use snafu::ResultExt;
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

use crate::CtlError;
use crate::error::ReadFileSnafu;
pub use log_line::LogLine;
use subject::Subject;

/// Most lines that are printed; a model that is loaded and unloaded all day has
/// thousands.
const LINES_MAX: usize = 400;

/// The log lines that concern a subject.
#[derive(Debug)]
pub struct History {
    /// Relevant lines, sorted by time.
    pub lines: Vec<LogLine>,
    /// Time that the printed times are relative to, in milliseconds since the
    /// Unix epoch: the arrival of the request, or the time of the first line.
    pub from_ms: u64,
    /// Counts of other requests, by what they have in common with the subject
    /// and by outcome.
    pub other_requests: BTreeMap<String, BTreeMap<String, u64>>,
    /// Number of relevant lines after the last one kept.
    pub omitted_lines: usize,
    /// Number of lines that are not log lines.
    pub unreadable_lines: usize,
}

/// Finds the lines that concern a request.
///
/// # Errors
///
/// A file can't be read.
pub fn of_request(files: &[PathBuf], id: &str) -> Result<History, CtlError> {
    let mut found = Vec::new();
    for_each_line(files, |line| {
        if line.str_field("id") == Some(id) {
            found.push(line);
        }
    })?;
    match Subject::of_request(found) {
        Some(subject) => collect(files, &subject),
        None => Ok(History::empty()),
    }
}

/// Finds the lines that concern a model.
///
/// # Errors
///
/// A file can't be read.
pub fn of_model(files: &[PathBuf], name: &str) -> Result<History, CtlError> {
    collect(files, &Subject::of_model(name))
}

fn collect(files: &[PathBuf], subject: &Subject) -> Result<History, CtlError> {
    let mut history = History::empty();
    history.unreadable_lines = for_each_line(files, |line| {
        if let Some((common, outcome)) = subject.in_common(&line) {
            let outcomes = history.other_requests.entry(common).or_default();
            *outcomes.entry(outcome).or_default() += 1;
        }
        if subject.is_relevant(&line) {
            history.lines.push(line);
        }
    })?;
    history.lines.sort_by_key(|line| line.t_ms);
    history.omitted_lines = history.lines.len().saturating_sub(LINES_MAX);
    history.lines.truncate(LINES_MAX);
    let first = history.lines.first().map_or(0, |line| line.t_ms);
    history.from_ms = subject.arrival_ms().unwrap_or(first);
    Ok(history)
}

impl History {
    const fn empty() -> Self {
        Self {
            lines: Vec::new(),
            from_ms: 0,
            other_requests: BTreeMap::new(),
            omitted_lines: 0,
            unreadable_lines: 0,
        }
    }

    /// Formats the lines and the counts as text.
    pub fn to_lines(&self) -> Vec<String> {
        let mut lines: Vec<String> = self
            .lines
            .iter()
            .map(|line| line.format(self.from_ms))
            .collect();
        if self.omitted_lines > 0 {
            lines.push(format!("{} later lines are left out", self.omitted_lines));
        }
        for (common, outcomes) in &self.other_requests {
            let counts: Vec<String> = outcomes
                .iter()
                .map(|(outcome, count)| format!("{outcome} {count}"))
                .collect();
            lines.push(format!("requests {common}: {}", counts.join(", ")));
        }
        if self.unreadable_lines > 0 {
            lines.push(format!("{} lines could not be read", self.unreadable_lines));
        }
        lines
    }
}

/// Calls `handle` with each log line of all files, and returns the number of
/// lines that are not log lines.
pub(crate) fn for_each_line(
    files: &[PathBuf],
    mut handle: impl FnMut(LogLine),
) -> Result<usize, CtlError> {
    let mut unreadable_lines = 0;
    for path in files {
        let file = File::open(path).context(ReadFileSnafu { path })?;
        let source = file_stem(path);
        for line in BufReader::new(file).split(b'\n') {
            let line = line.context(ReadFileSnafu { path })?;
            let text = String::from_utf8_lossy(&line);
            match LogLine::parse(&source, &text) {
                Some(line) => handle(line),
                None if text.trim().is_empty() => {}
                None => unreadable_lines += 1,
            }
        }
    }
    Ok(unreadable_lines)
}

fn file_stem(path: &Path) -> String {
    path.file_stem()
        .map(|name| name.to_string_lossy().into_owned())
        .unwrap_or_default()
}
