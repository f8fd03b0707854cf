//! The commands, one module each.

mod check;
mod diff;
mod drain;
mod explain;
mod losses;
mod publish;
mod show;
mod status;
mod timeline;

use conf::Diagnostic;
use plat::{HttpPlatform, ObjectApi};
use serde::Serialize;
use snafu::ResultExt;
use std::net::SocketAddr;
use std::path::Path;

use crate::error::ReadFileSnafu;
use crate::members::{self, ProcessEndpoint};
use crate::options::{Command, ProcessOptions};
use crate::{CtlError, ExitStatus, Report};

/// Most bytes that are read of a file. It is above the size limit of the
/// document check, so an oversized document is still reported as such.
const FILE_MAX_BYTES: u64 = 4 << 20;

/// Runs one command.
///
/// # Errors
///
/// The command could not be carried out; nothing was changed.
pub async fn run(command: Command) -> Result<Report, CtlError> {
    match command {
        Command::Check(options) => check::run(&options),
        Command::Publish(options) => publish::run(&options).await,
        Command::Diff(options) => diff::run(&options).await,
        Command::Show(options) => show::run(&options).await,
        Command::Status(options) => status::run(&options).await,
        Command::Explain(options) => explain::run(&options).await,
        Command::Losses(options) => losses::run(&options),
        Command::Drain(options) => drain::run(&options).await,
        Command::Timeline(options) => timeline::run(&options).await,
    }
}

/// A diagnostic in JSON output.
#[derive(Debug, Serialize)]
struct JsonDiagnostic<'a> {
    code: u32,
    name: &'static str,
    line: u32,
    column: u32,
    path: &'a str,
    message: &'a str,
}

/// Reports the diagnostics of a document; `name` is printed at the start of
/// each line.
fn diagnostics_report(name: &str, diagnostics: &[Diagnostic], json: bool) -> Report {
    if json {
        let lines: Vec<_> = diagnostics.iter().map(json_diagnostic).collect();
        return Report::json(&lines, ExitStatus::Invalid);
    }
    let mut lines: Vec<_> = diagnostics
        .iter()
        .map(|diagnostic| format!("{name}:{diagnostic}"))
        .collect();
    lines.push(match diagnostics.len() {
        1 => "1 fault".to_owned(),
        count => format!("{count} faults"),
    });
    Report::lines(lines, ExitStatus::Invalid)
}

fn json_diagnostic(diagnostic: &Diagnostic) -> JsonDiagnostic<'_> {
    JsonDiagnostic {
        code: diagnostic.code.number(),
        name: diagnostic.code.name(),
        line: diagnostic.line,
        column: diagnostic.column,
        path: &diagnostic.path,
        message: &diagnostic.message,
    }
}

fn read_file(path: &Path) -> Result<String, CtlError> {
    use std::io::Read;
    let mut text = String::new();
    std::fs::File::open(path)
        .and_then(|file| file.take(FILE_MAX_BYTES).read_to_string(&mut text))
        .context(ReadFileSnafu { path })?;
    Ok(text)
}

fn platform(address: SocketAddr) -> HttpPlatform {
    HttpPlatform::new(address)
}

async fn find_processes(
    options: &ProcessOptions,
) -> Result<Vec<ProcessEndpoint>, CtlError> {
    let platform = options.platform.map(platform);
    let platform = platform.as_ref().map(|platform| platform as &dyn ObjectApi);
    members::find_processes(platform, &options.entry).await
}
