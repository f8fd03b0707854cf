//! Faults found so far, and where each value of the document stands.

use base::ErrorCode;
use std::collections::{BTreeMap, BTreeSet};

use super::{DIAGNOSTICS_MAX, Diagnostic, Path};

/// Collects the faults of one document.
#[derive(Debug)]
pub(crate) struct Findings<'a> {
    text: Option<&'a str>,
    /// Byte offset of each value that has a place in the schema.
    places: BTreeMap<String, usize>,
    /// Values already told as faulty.
    broken: BTreeSet<String>,
    faults: Vec<(usize, Diagnostic)>,
}

impl<'a> Findings<'a> {
    /// Findings in a text; they carry line and column.
    pub(crate) fn of_text(text: &'a str) -> Self {
        Self {
            text: Some(text),
            ..Self::without_text()
        }
    }

    /// Findings in a document that has no text.
    pub(crate) const fn without_text() -> Self {
        Self {
            text: None,
            places: BTreeMap::new(),
            broken: BTreeSet::new(),
            faults: Vec::new(),
        }
    }

    /// Remembers where a value stands.
    pub(crate) fn place(&mut self, path: &Path, offset: usize) {
        self.places.insert(path.as_str().to_owned(), offset);
    }

    /// Whether the document gives a value at this path.
    pub(crate) fn is_given(&self, path: &Path) -> bool {
        self.places.contains_key(path.as_str())
    }

    /// Whether the value, or one around it, was told as faulty.
    pub(crate) fn is_broken(&self, path: &Path) -> bool {
        path.outwards().any(|outer| self.broken.contains(outer))
    }

    /// Marks a value as faulty, so that nothing more is told of it.
    pub(crate) fn mark_broken(&mut self, path: &Path) {
        if self.faults.len() < DIAGNOSTICS_MAX {
            self.broken.insert(path.as_str().to_owned());
        }
    }

    /// Adds a fault at the place of a value, or of the nearest one around it.
    ///
    /// Nothing is added below a value that was told as faulty: it would only
    /// repeat what follows from the first fault.
    pub(crate) fn add(
        &mut self,
        code: ErrorCode,
        path: &Path,
        message: impl Into<String>,
    ) {
        if self.is_broken(path) {
            return;
        }
        let offset = path
            .outwards()
            .find_map(|outer| self.places.get(outer))
            .copied()
            .unwrap_or(0);
        self.add_at(code, path, offset, message);
    }

    /// Adds a fault at a byte offset of the text, whatever was told before.
    pub(crate) fn add_at(
        &mut self,
        code: ErrorCode,
        path: &Path,
        offset: usize,
        message: impl Into<String>,
    ) {
        if self.faults.len() >= DIAGNOSTICS_MAX {
            return;
        }
        let (line, column) = self.line_and_column(offset);
        let fault = Diagnostic {
            code,
            line,
            column,
            path: path.as_str().to_owned(),
            message: message.into(),
        };
        self.faults.push((offset, fault));
    }

    /// All faults in the order of the text.
    pub(crate) fn into_faults(mut self) -> Vec<Diagnostic> {
        self.faults.sort_by_key(|(offset, _)| *offset);
        self.faults.into_iter().map(|(_, fault)| fault).collect()
    }

    fn line_and_column(&self, offset: usize) -> (u32, u32) {
        let Some(before) = self.text.and_then(|text| text.get(..offset)) else {
            return (0, 0);
        };
        let lines = before.bytes().filter(|byte| *byte == b'\n').count();
        let line_start = before.rfind('\n').map_or(0, |at| at + 1);
        let columns = before[line_start..].chars().count();
        (one_more(lines), one_more(columns))
    }
}

fn one_more(count: usize) -> u32 {
    u32::try_from(count).map_or(u32::MAX, |count| count.saturating_add(1))
}
