//! Output of a command.

use serde::Serialize;

use crate::ExitStatus;

/// Text for standard output, and how the command ended.
#[derive(Debug)]
pub struct Report {
    /// Text for standard output; each line ends with a line break.
    pub text: String,
    /// How the command ended.
    pub exit_status: ExitStatus,
}

impl Report {
    /// Creates a report from lines without line breaks.
    pub fn lines(
        lines: impl IntoIterator<Item = String>,
        exit_status: ExitStatus,
    ) -> Self {
        let mut text = String::new();
        for line in lines {
            text.push_str(&line);
            text.push('\n');
        }
        Self { text, exit_status }
    }

    /// Creates a report with a value as indented JSON, for programs.
    pub fn json(value: &impl Serialize, exit_status: ExitStatus) -> Self {
        let text = serde_json::to_string_pretty(value)
            .expect("reports have string keys and plain values");
        Self::lines([text], exit_status)
    }
}
