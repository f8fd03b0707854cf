//! The program `sesame-entry`: its settings, its start errors and its termination
//! by a signal.

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::io::{BufRead, BufReader, Read};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};

fn command(name: &str, settings: &str) -> Command {
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&file, settings).expect("the directory can be written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_sesame-entry"));
    command.arg("--settings").arg(file);
    command.stderr(Stdio::piped());
    command
}

fn output(name: &str, settings: &str) -> Output {
    command(name, settings)
        .output()
        .expect("the program starts")
}

const GOOD: &str = r#"{
    // Port 0 takes a free one.
    "id": "entry-1", "failure_domain": "east",
    "caller_listen": "127.0.0.1:0", "link_listen": "127.0.0.1:0",
    "operator_listen": "127.0.0.1:0", "platform": "127.0.0.1:1"
}"#;

#[test]
fn settings_errors_have_codes() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback");
    let taken = taken.local_addr().expect("it is bound").to_string();
    let in_use = GOOD.replacen("127.0.0.1:0", &taken, 1);
    let cases = [
        ("syntax.json", "{", "5001 bad_syntax"),
        ("unknown.json", r#"{"idd": "x"}"#, "5002 unknown_key"),
        ("unknown.json", r#"{"idd": "x"}"#, "5009 missing_key"),
        ("in-use.json", &in_use, "5011 bad_address"),
    ];
    for (name, settings, message) in cases {
        let output = output(name, settings);
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(1), "{name}: {error}");
        assert!(error.contains(message), "{name}: {error}");
    }
}

#[test]
fn a_missing_settings_file_has_a_code() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sesame-entry"));
    let output = command.args(["--settings", "/nowhere"]).output();
    let output = output.expect("the program starts");
    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(error.starts_with("5010 file_fault"), "{error}");
}

/// Kills the program if a test fails while it is running.
struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// The program gets SIGTERM while no request is in progress and the platform can't
/// be reached. It must still drain and exit with success.
#[test]
fn sigterm_ends_the_program() {
    let child = command("good.json", GOOD).spawn();
    let mut running = Running(child.expect("the program starts"));
    let errors = running.0.stderr.take().expect("stderr is piped");
    let mut errors = BufReader::new(errors);
    let mut line = String::new();
    while !line.contains("serves callers") {
        line.clear();
        let read = errors.read_line(&mut line).expect("the program logs");
        assert_ne!(read, 0, "the program ended before it served callers");
    }
    let id = i32::try_from(running.0.id()).expect("a process id");
    kill(Pid::from_raw(id), Signal::SIGTERM).expect("the program is running");
    let mut rest = String::new();
    errors.read_to_string(&mut rest).expect("the program logs");
    let status = running.0.wait().expect("the program ends");
    assert!(status.success(), "{status}: {rest}");
}
