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
const LINES_MAX: usize = 3;

/// What a known red test means that passes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Passing {
    /// The fault is gone, and its line has to go.
    Fails,
    /// Nothing: the test has real processes, and its fault may not show each
    /// time. The verdict must be the same on every run, so it is only printed.
    Prints,
}

/// A test that the list may name.
pub(crate) fn trial<F>(name: &str, passing: Passing, run: F) -> Trial
where
    F: FnOnce() -> Result<(), Failed> + Send + 'static,
{
    let red = lines().iter().any(|line| names(line, name));
    let shown = name.to_owned();
    Trial::test(name, move || match (run(), red, passing) {
        (result, false, _) => result,
        (Ok(()), true, Passing::Fails) => {
            Err("it passes: take it out of KNOWN-RED.txt".into())
        }
        (Ok(()), true, Passing::Prints) => {
            println!("known red, passed this time: {shown}");
            Ok(())
        }
        (Err(fault), true, _) => {
            println!("known red: {shown}: {}", fault.message().unwrap_or(""));
            Ok(())
        }
    })
}

/// The check on the list itself.
pub(crate) fn list_is_true(trials: &[Trial]) -> Trial {
    let all: Vec<String> = trials.iter().map(|trial| trial.name().to_owned()).collect();
    Trial::test("known_red::each_line_names_a_test", move || {
        let lines = lines();
        if lines.len() > LINES_MAX {
            return Err(format!("more than {LINES_MAX} lines").into());
        }
        let known = |line: &&String| {
            all.iter().any(|name| names(line, name)) || names_of_platform(line)
        };
        match lines.iter().find(|line| !known(line)) {
            Some(line) => Err(format!("no test is named by: {line}").into()),
            None => Ok(()),
        }
    })
}

fn names(line: &str, test: &str) -> bool {
    let rest = line.strip_prefix(test);
    rest.is_some_and(|rest| rest.starts_with(':') && !rest.starts_with("::"))
}

/// Whether a line names a test function in the sources of the platform's tests.
fn names_of_platform(line: &str) -> bool {
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

fn lines() -> Vec<String> {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("KNOWN-RED.txt");
    let text = std::fs::read_to_string(file).unwrap_or_default();
    let lines = text.lines().map(str::trim).filter(|line| !line.is_empty());
    lines.map(str::to_owned).collect()
}
