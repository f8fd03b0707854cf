//! One module for each command.

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

use crate::error::FileSnafu;
use crate::members::{self, Target};
use crate::options::{Command, Reach};
use crate::{CtlError, Exit, Report};

/// Largest file read; a document over the checked bound still gets its fault.
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

/// A fault as programs read it.
#[derive(Debug, Serialize)]
struct FaultLine<'a> {
    code: u32,
    name: &'static str,
    line: u32,
    column: u32,
    path: &'a str,
    message: &'a str,
}

/// Reports faults of a document; `name` stands before each line.
fn faults_report(name: &str, faults: &[Diagnostic], json: bool) -> Report {
    if json {
        let lines: Vec<_> = faults.iter().map(fault_line).collect();
        return Report::json(&lines, Exit::Faults);
    }
    let mut lines: Vec<_> = faults
        .iter()
        .map(|fault| format!("{name}:{fault}"))
        .collect();
    lines.push(match faults.len() {
        1 => "1 fault".to_owned(),
        count => format!("{count} faults"),
    });
    Report::lines(lines, Exit::Faults)
}

fn fault_line(fault: &Diagnostic) -> FaultLine<'_> {
    FaultLine {
        code: fault.code.number(),
        name: fault.code.name(),
        line: fault.line,
        column: fault.column,
        path: &fault.path,
        message: &fault.message,
    }
}

fn read_file(path: &Path) -> Result<String, CtlError> {
    use std::io::Read;
    let mut text = String::new();
    std::fs::File::open(path)
        .and_then(|file| file.take(FILE_MAX_BYTES).read_to_string(&mut text))
        .context(FileSnafu { path })?;
    Ok(text)
}

fn platform(address: SocketAddr) -> HttpPlatform {
    HttpPlatform::new(address)
}

async fn reach(reach: &Reach) -> Result<Vec<Target>, CtlError> {
    let platform = reach.platform.map(platform);
    let platform = platform.as_ref().map(|platform| platform as &dyn ObjectApi);
    members::targets(platform, &reach.entry).await
}
