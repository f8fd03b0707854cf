//! What a command prints.

use serde::Serialize;

use crate::Exit;

/// Text for standard output, and how the command ended.
#[derive(Debug)]
pub struct Report {
    /// Text, whole lines.
    pub text: String,
    /// How the command ended.
    pub exit: Exit,
}

impl Report {
    /// A report of lines.
    pub fn lines(lines: impl IntoIterator<Item = String>, exit: Exit) -> Self {
        let mut text = String::new();
        for line in lines {
            text.push_str(&line);
            text.push('\n');
        }
        Self { text, exit }
    }

    /// A report that programs read.
    pub fn json(value: &impl Serialize, exit: Exit) -> Self {
        let text = serde_json::to_string_pretty(value)
            .expect("reports have string keys and plain values");
        Self::lines([text], exit)
    }
}
