//! Reads a script.

mod decl;
mod line;
mod names;
mod value;
mod verb;

use snafu::Snafu;

use crate::script::{Script, Step};
use line::Words;

/// A mistake in a script.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(display("line {line}, column {column}: {message}"))]
pub struct ScriptError {
    /// Line, counted from 1.
    pub line: usize,
    /// Column, counted from 1.
    pub column: usize,
    /// What is wrong.
    pub message: String,
}

impl ScriptError {
    fn new(line: usize, column: usize, message: &str) -> Self {
        Self {
            line,
            column,
            message: message.to_owned(),
        }
    }
}

/// Reads a script.
///
/// # Errors
///
/// Every mistake found, in order of line.
pub fn parse(text: &str) -> Result<Script, Vec<ScriptError>> {
    let mut script = decl::empty();
    let mut errors = Vec::new();
    for (index, line) in text.lines().enumerate() {
        if let Err(error) = statement(&mut script, index + 1, line) {
            errors.push(error);
        }
    }
    errors.extend(names::check(&script));
    if !errors.is_empty() {
        return Err(errors);
    }
    script.steps.sort_by_key(|step| (step.at, step.line));
    let last = script.steps.last().map(|step| step.at).unwrap_or_default();
    script.end = script.end.max(last);
    Ok(script)
}

fn statement(script: &mut Script, line: usize, text: &str) -> Result<(), ScriptError> {
    let Some(mut words) = Words::split(line, text)? else {
        return Ok(());
    };
    if words.flag("at") {
        let time = words.next("a time")?;
        let at = value::instant(&words, time)?;
        let verb = verb::verb(&mut words)?;
        words.end()?;
        script.steps.push(Step { at, line, verb });
        return Ok(());
    }
    decl::declaration(script, &mut words)?;
    words.end()
}
