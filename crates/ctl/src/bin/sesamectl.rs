//! Command line program for operators; the commands are in the `ctl` crate.

use bpaf::{Args, ParseFailure};
use ctl::{CtlError, ExitStatus, Report, commands, options};
use std::io::Write;
use std::process::ExitCode;

/// Column at which usage errors are wrapped.
const HELP_WIDTH: usize = 80;

#[tokio::main]
async fn main() -> ExitCode {
    let parsed = options::parser().run_inner(Args::current_args());
    let status = match parsed {
        Ok(command) => report_result(commands::run(command).await),
        Err(ParseFailure::Stdout(help, full)) => {
            print_stdout(&help.monochrome(full));
            ExitStatus::Ok
        }
        Err(ParseFailure::Completion(text)) => {
            print_stdout(&text);
            ExitStatus::Ok
        }
        Err(failure) => {
            failure.print_message(HELP_WIDTH);
            ExitStatus::Usage
        }
    };
    ExitCode::from(status.code())
}

fn report_result(result: Result<Report, CtlError>) -> ExitStatus {
    match result {
        Ok(report) => {
            print_stdout(&report.text);
            report.exit_status
        }
        Err(error) => {
            eprintln!("sesamectl: {}: {error}", error.code());
            error.exit_status()
        }
    }
}

/// Prints to standard output. Write errors are ignored: a reader that closes
/// the pipe early, such as `head`, must not make the command fail.
fn print_stdout(text: &str) {
    let mut out = std::io::stdout().lock();
    let _ = out.write_all(text.as_bytes());
    if !text.is_empty() && !text.ends_with('\n') {
        let _ = out.write_all(b"\n");
    }
    let _ = out.flush();
}
