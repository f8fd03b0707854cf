//! The cases of the review as tests. Each runs its script, which exits with 0 if the rule
//! held. They are built with `review/stand` and are no part of the workspace or of CI:
//! `cargo test --release --manifest-path review/stand/Cargo.toml`.

use std::path::Path;
use std::process::Command;

fn assert_rule_holds(case: u32) {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let script = format!("review/{case}/run.sh");
    let status = Command::new("bash").arg(&script).current_dir(root).status();
    let code = status.expect("the script can be started").code();
    assert_eq!(code, Some(0), "{script}: 1 means that the rule was broken");
}

/// Guards against a text whose parts are of two software versions: a server starts again,
/// cut off from the store, and its record lags by more than three seconds.
#[test]
fn streams_of_two_versions_are_not_joined() {
    assert_rule_holds(1);
}

/// Guards against a late answer that names no request and is taken for the refusal of
/// the request that is in flight on its connection.
#[test]
fn a_late_answer_without_an_id_refuses_no_request() {
    assert_rule_holds(2);
}

/// Guards against streams that callers take up after their entry was killed, and that the
/// other entry holds back because its connections are new.
#[test]
fn streams_taken_up_on_new_connections_go_on() {
    assert_rule_holds(3);
}
