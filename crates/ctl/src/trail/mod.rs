//! What logs tell of one request or one model.
//!
//! Entries write a line for each decision. Why a request ended as it did lies in
//! a few of them: its own, those of the upstreams that it was sent to, those of
//! the orders for its model, and those that tell that an entry, its peers or the
//! platform were away meanwhile. A log is read twice, first for the subject and
//! then for what belongs to it, so that its size does not matter.

mod line;
mod subject;

use snafu::ResultExt;
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

use crate::CtlError;
use crate::error::FileSnafu;
pub use line::Line;
use subject::Subject;

/// Lines told at most; a model that moves all day has thousands.
const TOLD_MAX: usize = 400;

/// What logs tell of a subject.
#[derive(Debug)]
pub struct Trail {
    /// Lines that belong to it, by time.
    pub lines: Vec<Line>,
    /// Time from which on the others are counted: the arrival of the request,
    /// or the first line.
    pub from_ms: u64,
    /// How other requests ended, by what they share with it and by outcome.
    pub others: BTreeMap<String, BTreeMap<String, u64>>,
    /// Lines beyond what is told.
    pub left_out: usize,
    /// Lines that are none of a log.
    pub unread: usize,
}

/// Follows a request by its id.
///
/// # Errors
///
/// A file can't be read.
pub fn request(files: &[PathBuf], id: &str) -> Result<Trail, CtlError> {
    let mut found = Vec::new();
    each_line(files, |line| {
        if line.text("id") == Some(id) {
            found.push(line);
        }
    })?;
    match Subject::of_request(found) {
        Some(subject) => follow(files, &subject),
        None => Ok(Trail::empty()),
    }
}

/// Follows a model by its name.
///
/// # Errors
///
/// A file can't be read.
pub fn model(files: &[PathBuf], name: &str) -> Result<Trail, CtlError> {
    follow(files, &Subject::of_model(name))
}

fn follow(files: &[PathBuf], subject: &Subject) -> Result<Trail, CtlError> {
    let mut trail = Trail::empty();
    trail.unread = each_line(files, |line| {
        if let Some((shared, outcome)) = subject.shares(&line) {
            let outcomes = trail.others.entry(shared).or_default();
            *outcomes.entry(outcome).or_default() += 1;
        }
        if subject.concerns(&line) {
            trail.lines.push(line);
        }
    })?;
    trail.lines.sort_by_key(|line| line.t_ms);
    trail.left_out = trail.lines.len().saturating_sub(TOLD_MAX);
    trail.lines.truncate(TOLD_MAX);
    let first = trail.lines.first().map_or(0, |line| line.t_ms);
    trail.from_ms = subject.arrived_ms().unwrap_or(first);
    Ok(trail)
}

impl Trail {
    const fn empty() -> Self {
        Self {
            lines: Vec::new(),
            from_ms: 0,
            others: BTreeMap::new(),
            left_out: 0,
            unread: 0,
        }
    }

    /// The trail as text.
    pub fn told(&self) -> Vec<String> {
        let mut told: Vec<String> = self
            .lines
            .iter()
            .map(|line| line.told(self.from_ms))
            .collect();
        if self.left_out > 0 {
            told.push(format!("{} later lines are left out", self.left_out));
        }
        for (shared, outcomes) in &self.others {
            let counts: Vec<String> = outcomes
                .iter()
                .map(|(outcome, count)| format!("{outcome} {count}"))
                .collect();
            told.push(format!("requests {shared}: {}", counts.join(", ")));
        }
        if self.unread > 0 {
            told.push(format!("{} lines could not be read", self.unread));
        }
        told
    }
}

/// Reads all lines of all files; how many are none of a log.
pub(crate) fn each_line(
    files: &[PathBuf],
    mut take: impl FnMut(Line),
) -> Result<usize, CtlError> {
    let mut unread = 0;
    for path in files {
        let file = File::open(path).context(FileSnafu { path })?;
        let source = name_of(path);
        for line in BufReader::new(file).split(b'\n') {
            let line = line.context(FileSnafu { path })?;
            let text = String::from_utf8_lossy(&line);
            match Line::parse(&source, &text) {
                Some(line) => take(line),
                None if text.trim().is_empty() => {}
                None => unread += 1,
            }
        }
    }
    Ok(unread)
}

fn name_of(path: &Path) -> String {
    path.file_stem()
        .map(|name| name.to_string_lossy().into_owned())
        .unwrap_or_default()
}
