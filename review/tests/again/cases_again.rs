//! The cases of the second review as tests. Each runs its script, which exits with 0 if the
//! rule held. They are built with `review/stand-2` and are no part of the workspace or of CI:
//! `cargo test --release --manifest-path review/stand-2/Cargo.toml`.

use std::path::Path;
use std::process::Command;

fn assert_rule_holds(case: u32) {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let script = format!("review/{case}/run.sh");
    let status = Command::new("bash").arg(&script).current_dir(root).status();
    let code = status.expect("the script can be started").code();
    assert_eq!(code, Some(0), "{script}: 1 means that the rule was broken");
}

/// Guards against sound requests that are refused because another part of prompts, which
/// crashes servers, always came together with two of theirs.
#[test]
fn parts_that_are_shared_with_a_bad_one_are_served() {
    assert_rule_holds(4);
}

/// Guards against a stream that goes on at another server while a slow one is kept at work.
#[test]
fn two_servers_do_not_work_on_one_stream() {
    assert_rule_holds(5);
}
