//! Collection of diagnostics, and the text offset of each value of the document.

use base::ErrorCode;
use std::collections::{BTreeMap, BTreeSet};

use super::{DIAGNOSTICS_MAX, Diagnostic, ValuePath};

/// Collects the diagnostics of one document.
#[derive(Debug)]
pub(crate) struct DiagnosticSink<'a> {
    text: Option<&'a str>,
    /// Byte offset of each value that the schema knows, by path.
    offsets: BTreeMap<String, usize>,
    /// Paths of values that are already known to be invalid. Nothing more is
    /// reported for them or the values inside them.
    suppressed: BTreeSet<String>,
    /// Diagnostics with their byte offsets.
    diagnostics: Vec<(usize, Diagnostic)>,
}

impl<'a> DiagnosticSink<'a> {
    /// Creates a sink for a text; the diagnostics have line and column.
    pub(crate) fn for_text(text: &'a str) -> Self {
        Self {
            text: Some(text),
            ..Self::without_text()
        }
    }

    /// Creates a sink for a decoded document, which has no lines.
    pub(crate) const fn without_text() -> Self {
        Self {
            text: None,
            offsets: BTreeMap::new(),
            suppressed: BTreeSet::new(),
            diagnostics: Vec::new(),
        }
    }

    /// Records the byte offset of a value that is present in the document.
    pub(crate) fn record_offset(&mut self, path: &ValuePath, offset: usize) {
        self.offsets.insert(path.as_str().to_owned(), offset);
    }

    /// Whether the document has a value at this path.
    pub(crate) fn is_present(&self, path: &ValuePath) -> bool {
        self.offsets.contains_key(path.as_str())
    }

    /// Whether diagnostics are suppressed for this value or one that contains it.
    pub(crate) fn is_suppressed(&self, path: &ValuePath) -> bool {
        path.self_and_ancestors()
            .any(|outer| self.suppressed.contains(outer))
    }

    /// Suppresses further diagnostics for a value and all values inside it.
    pub(crate) fn suppress(&mut self, path: &ValuePath) {
        if self.diagnostics.len() < DIAGNOSTICS_MAX {
            self.suppressed.insert(path.as_str().to_owned());
        }
    }

    /// Reports an error at the offset of a value, or of the innermost value around
    /// it that is present.
    ///
    /// Does nothing where diagnostics are suppressed: the error would only follow
    /// from one that was already reported.
    pub(crate) fn report(
        &mut self,
        code: ErrorCode,
        path: &ValuePath,
        message: impl Into<String>,
    ) {
        if self.is_suppressed(path) {
            return;
        }
        let offset = path
            .self_and_ancestors()
            .find_map(|outer| self.offsets.get(outer))
            .copied()
            .unwrap_or(0);
        self.report_at(code, path, offset, message);
    }

    /// Reports an error at a byte offset of the text, even where diagnostics are
    /// suppressed.
    pub(crate) fn report_at(
        &mut self,
        code: ErrorCode,
        path: &ValuePath,
        offset: usize,
        message: impl Into<String>,
    ) {
        if self.diagnostics.len() >= DIAGNOSTICS_MAX {
            return;
        }
        let (line, column) = self.line_and_column(offset);
        let diagnostic = Diagnostic {
            code,
            line,
            column,
            path: path.as_str().to_owned(),
            message: message.into(),
        };
        self.diagnostics.push((offset, diagnostic));
    }

    /// Returns all diagnostics in the order of the text.
    pub(crate) fn into_diagnostics(mut self) -> Vec<Diagnostic> {
        self.diagnostics.sort_by_key(|(offset, _)| *offset);
        self.diagnostics
            .into_iter()
            .map(|(_, diagnostic)| diagnostic)
            .collect()
    }

    fn line_and_column(&self, offset: usize) -> (u32, u32) {
        let Some(before) = self.text.and_then(|text| text.get(..offset)) else {
            return (0, 0);
        };
        let lines = before.bytes().filter(|byte| *byte == b'\n').count();
        let line_start = before.rfind('\n').map_or(0, |at| at + 1);
        let columns = before[line_start..].chars().count();
        (to_one_based(lines), to_one_based(columns))
    }
}

fn to_one_based(count: usize) -> u32 {
    u32::try_from(count).map_or(u32::MAX, |count| count.saturating_add(1))
}
