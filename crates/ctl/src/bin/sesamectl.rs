//! The operators' program; all its work is in the `ctl` crate.

use bpaf::{Args, ParseFailure};
use ctl::{CtlError, Exit, Report, commands, options};
use std::io::Write;
use std::process::ExitCode;

/// Width at which help texts are wrapped.
const HELP_WIDTH: usize = 80;

#[tokio::main]
async fn main() -> ExitCode {
    let parsed = options::parser().run_inner(Args::current_args());
    let exit = match parsed {
        Ok(command) => finish(commands::run(command).await),
        Err(ParseFailure::Stdout(help, full)) => {
            print(&help.monochrome(full));
            Exit::Ok
        }
        Err(ParseFailure::Completion(text)) => {
            print(&text);
            Exit::Ok
        }
        Err(failure) => {
            failure.print_message(HELP_WIDTH);
            Exit::Usage
        }
    };
    ExitCode::from(exit.number())
}

fn finish(result: Result<Report, CtlError>) -> Exit {
    match result {
        Ok(report) => {
            print(&report.text);
            report.exit
        }
        Err(error) => {
            eprintln!("sesamectl: {}: {error}", error.code());
            error.exit()
        }
    }
}

/// A reader that has gone, such as `head`, is no fault of the command.
fn print(text: &str) {
    let mut out = std::io::stdout().lock();
    let _ = out.write_all(text.as_bytes());
    if !text.is_empty() && !text.ends_with('\n') {
        let _ = out.write_all(b"\n");
    }
    let _ = out.flush();
}
