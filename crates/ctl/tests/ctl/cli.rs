//! The command line: what it takes, and how commands end.

use bpaf::ParseFailure;
use ctl::{CtlError, Exit, commands, options};

const DEPLOY: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy");

async fn run(arguments: &[&str]) -> Result<ctl::Report, CtlError> {
    let command = options::parser()
        .run_inner(arguments)
        .expect("good arguments");
    commands::run(command).await
}

#[test]
fn help_is_given_for_the_program_and_each_command() {
    let commands = [
        "check", "publish", "diff", "show", "status", "explain", "drain", "timeline",
    ];
    let help = |arguments: &[&str]| match options::parser().run_inner(arguments) {
        Err(ParseFailure::Stdout(help, full)) => help.monochrome(full),
        other => panic!("no help: {other:?}"),
    };
    let all = help(&["--help"]);
    assert!(all.contains("Exit codes"), "{all}");
    for command in commands {
        assert!(all.contains(command), "{command} in {all}");
        assert!(help(&[command, "--help"]).contains("Usage"), "{command}");
    }
}

#[test]
fn odd_arguments_are_refused() {
    let odd: &[&[&str]] = &[
        &[],
        &["burn"],
        &["check"],
        &["check", "--kind", "cat", "x"],
        &["publish", "x"],
        &["publish", "x", "--platform", "platform:1"],
        &["publish", "x", "--platform", "127.0.0.1:1", "--base", "-1"],
        &["explain", "cat", "x"],
        &["timeline", "--since-ms", "soon"],
    ];
    for arguments in odd {
        let refused = options::parser().run_inner(*arguments);
        assert!(
            matches!(refused, Err(ParseFailure::Stderr(_))),
            "{arguments:?}"
        );
    }
}

#[tokio::test]
async fn check_ends_with_the_documented_codes() {
    let good = format!("{DEPLOY}/naskhah.jsonc");
    let agent = format!("{DEPLOY}/agent.jsonc");
    let report = run(&["check", &good]).await.expect("read");
    assert_eq!(report.exit, Exit::Ok);
    let report = run(&["check", "--kind", "agent", &agent])
        .await
        .expect("read");
    assert_eq!(report.exit, Exit::Ok);
    let report = run(&["check", "--json", &agent]).await.expect("read");
    assert_eq!(report.exit, Exit::Faults);
    let faults: Vec<serde_json::Value> =
        serde_json::from_str(&report.text).expect("faults as JSON");
    assert_eq!(faults[0]["code"], 5009);
    let missing = run(&["check", "no-such-file"]).await.expect_err("no file");
    assert_eq!(missing.exit(), Exit::Usage);
}

/// Faults are found before the platform is asked.
#[tokio::test]
async fn a_faulty_file_is_never_published() {
    let agent = format!("{DEPLOY}/agent.jsonc");
    for command in ["publish", "diff"] {
        let report = run(&[command, "--platform", "127.0.0.1:1", &agent]).await;
        assert_eq!(report.expect("checked").exit, Exit::Faults, "{command}");
    }
}
