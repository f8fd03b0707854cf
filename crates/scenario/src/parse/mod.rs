//! Reads a script.

mod decl;
mod line;
mod value;
mod verb;

use snafu::Snafu;
use std::collections::BTreeSet;

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
    errors.extend(unknown_names(&script));
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

/// Steps that name a process which is not declared.
fn unknown_names(script: &Script) -> Vec<ScriptError> {
    let entries = script.entries.iter().map(|entry| entry.name.as_str());
    let instances = script.instances.iter().map(|instance| instance.name.as_str());
    let known: BTreeSet<&str> = entries.chain(instances).collect();
    let mut errors = Vec::new();
    for step in &script.steps {
        for name in verb::processes(&step.verb) {
            let plain = name.strip_suffix(".old").unwrap_or(name);
            if plain != "platform" && !known.contains(plain) {
                let text = format!("no process is called `{name}`");
                errors.push(ScriptError::new(step.line, 1, &text));
            }
        }
    }
    errors
}
