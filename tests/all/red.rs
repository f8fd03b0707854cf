//! Tests that `KNOWN-RED.txt` names.
//!
//! Each line reads `<test>: <cause>, <issue>`. Such a test is run and its fault
//! printed, and it does not fail the run. The list is short, and each line names
//! a test that there is, so that nothing hides behind an old line. A test of a
//! crate's own harness is named with its crate, as `platform::<module>::<test>`;
//! `ci/known-red.sh` passes over it.

use libtest_mimic::{Failed, Trial};
use std::path::Path;

/// Most lines of the list.
const KNOWN_RED_MAX: usize = 3;

/// What a known red test means that passes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OnPass {
    /// The fault is gone, and its line has to go.
    FailTest,
    /// Nothing: the test has real processes, and its fault may not show each
    /// time. The verdict must be the same on every run, so it is only printed.
    PrintOnly,
}

/// A test that the list may name.
pub(crate) fn trial<F>(name: &str, on_pass: OnPass, run: F) -> Trial
where
    F: FnOnce() -> Result<(), Failed> + Send + 'static,
{
    let is_known_red = known_red_lines()
        .iter()
        .any(|line| line_names_test(line, name));
    let test_name = name.to_owned();
    Trial::test(name, move || match (run(), is_known_red, on_pass) {
        (result, false, _) => result,
        (Ok(()), true, OnPass::FailTest) => {
            Err("it passes: take it out of KNOWN-RED.txt".into())
        }
        (Ok(()), true, OnPass::PrintOnly) => {
            println!("known red, passed this time: {test_name}");
            Ok(())
        }
        (Err(failure), true, _) => {
            println!(
                "known red: {test_name}: {}",
                failure.message().unwrap_or("")
            );
            Ok(())
        }
    })
}

/// The check on the list itself.
pub(crate) fn known_red_list_trial(trials: &[Trial]) -> Trial {
    let trial_names: Vec<String> =
        trials.iter().map(|trial| trial.name().to_owned()).collect();
    Trial::test("known_red::each_line_names_a_test", move || {
        let lines = known_red_lines();
        if lines.len() > KNOWN_RED_MAX {
            return Err(format!("more than {KNOWN_RED_MAX} lines").into());
        }
        let known = |line: &&String| {
            trial_names.iter().any(|name| line_names_test(line, name))
                || names_platform_test(line)
        };
        match lines.iter().find(|line| !known(line)) {
            Some(line) => Err(format!("no test is named by: {line}").into()),
            None => Ok(()),
        }
    })
}

fn line_names_test(line: &str, test: &str) -> bool {
    let rest = line.strip_prefix(test);
    rest.is_some_and(|rest| rest.starts_with(':') && !rest.starts_with("::"))
}

/// Whether a line names a test function in the sources of the platform's tests.
fn names_platform_test(line: &str) -> bool {
    let test = line.split(": ").next().unwrap_or_default();
    let Some(path) = test.strip_prefix("platform::") else {
        return false;
    };
    let Some((modules, function)) = path.rsplit_once("::") else {
        return false;
    };
    let tests = Path::new(env!("CARGO_MANIFEST_DIR")).join("platform/tests/all");
    let module = tests.join(modules.replace("::", "/"));
    let files = [module.with_extension("rs"), module.join("mod.rs")];
    let texts = files
        .iter()
        .filter_map(|file| std::fs::read_to_string(file).ok());
    let signature = format!("async fn {function}()");
    texts.into_iter().any(|text| text.contains(&signature))
}

fn known_red_lines() -> Vec<String> {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("KNOWN-RED.txt");
    let text = std::fs::read_to_string(file).unwrap_or_default();
    let lines = text.lines().map(str::trim).filter(|line| !line.is_empty());
    lines.map(str::to_owned).collect()
}
