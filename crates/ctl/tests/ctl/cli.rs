//! Parsing of the command line, and exit codes.

use bpaf::ParseFailure;
use ctl::{CtlError, ExitStatus, commands, options};

const DEPLOY_DIR: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy");

async fn run(arguments: &[&str]) -> Result<ctl::Report, CtlError> {
    let command = options::parser()
        .run_inner(arguments)
        .expect("valid arguments");
    commands::run(command).await
}

#[test]
fn help_exists_for_the_program_and_each_command() {
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
fn invalid_arguments_are_rejected() {
    let invalid: &[&[&str]] = &[
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
    for arguments in invalid {
        let result = options::parser().run_inner(*arguments);
        assert!(
            matches!(result, Err(ParseFailure::Stderr(_))),
            "{arguments:?}"
        );
    }
}

#[tokio::test]
async fn check_exits_with_the_documented_codes() {
    let valid_file = format!("{DEPLOY_DIR}/naskhah.jsonc");
    let agent = format!("{DEPLOY_DIR}/agent.jsonc");
    let report = run(&["check", &valid_file]).await.expect("read");
    assert_eq!(report.exit_status, ExitStatus::Ok);
    let report = run(&["check", "--kind", "agent", &agent])
        .await
        .expect("read");
    assert_eq!(report.exit_status, ExitStatus::Ok);
    let report = run(&["check", "--json", &agent]).await.expect("read");
    assert_eq!(report.exit_status, ExitStatus::Invalid);
    let diagnostics: Vec<serde_json::Value> =
        serde_json::from_str(&report.text).expect("diagnostics as JSON");
    assert_eq!(diagnostics[0]["code"], 5009);
    let error = run(&["check", "no-such-file"]).await.expect_err("no file");
    assert_eq!(error.exit_status(), ExitStatus::Usage);
}

/// The file is checked before the platform is called: the address refuses
/// connections.
#[tokio::test]
async fn an_invalid_file_is_never_published() {
    let agent = format!("{DEPLOY_DIR}/agent.jsonc");
    for command in ["publish", "diff"] {
        let report = run(&[command, "--platform", "127.0.0.1:1", &agent]).await;
        assert_eq!(
            report.expect("checked").exit_status,
            ExitStatus::Invalid,
            "{command}"
        );
    }
}
