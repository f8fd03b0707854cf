//! Parser of the scenario language.

mod declaration;
mod line;
mod names;
mod value;
mod verb;

use snafu::Snafu;

use crate::script::{Script, Step};
use line::Words;

/// A mistake found in a script.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(display("line {line}, column {column}: {message}"))]
pub struct ScriptError {
    /// Line, counted from 1.
    pub line: usize,
    /// Column, counted from 1.
    pub column: usize,
    /// Description of the mistake.
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

/// Parses a script.
///
/// # Errors
///
/// Returns every mistake found: syntax errors in order of line, then undeclared
/// and duplicate names.
pub fn parse(text: &str) -> Result<Script, Vec<ScriptError>> {
    let mut script = declaration::default_script();
    let mut errors = Vec::new();
    for (index, line) in text.lines().enumerate() {
        if let Err(error) = parse_line(&mut script, index + 1, line) {
            errors.push(error);
        }
    }
    errors.extend(names::check_names(&script));
    if !errors.is_empty() {
        return Err(errors);
    }
    script.steps.sort_by_key(|step| (step.at, step.line));
    let last = script.steps.last().map(|step| step.at).unwrap_or_default();
    script.end = script.end.max(last);
    Ok(script)
}

fn parse_line(script: &mut Script, line: usize, text: &str) -> Result<(), ScriptError> {
    let Some(mut words) = Words::split(line, text)? else {
        return Ok(());
    };
    if words.take_if("at") {
        let time = words.next_word("a time")?;
        let at = value::parse_instant(&words, time)?;
        let verb = verb::parse_verb(&mut words)?;
        words.finish()?;
        script.steps.push(Step { at, line, verb });
        return Ok(());
    }
    declaration::parse_declaration(script, &mut words)?;
    words.finish()
}
