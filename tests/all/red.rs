//! Handling of the tests that `KNOWN-RED.txt` lists as known to fail.
//!
//! Each line has the form `<test>: <cause>, <issue>`. A listed test is run and its
//! failure is printed, but does not fail the test run. The list is bounded, and
//! each line must name an existing test, so that an outdated line cannot mask a
//! new failure. Tests in the harness of a crate are listed with the crate name, as
//! `platform::<module>::<test>`; `ci/known-red.sh` tolerates their failures.

use libtest_mimic::{Failed, Trial};
use std::path::Path;

/// Maximum number of lines of the list.
const KNOWN_RED_MAX: usize = 3;

/// How a known red test that passes is treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OnPass {
    /// The test fails, since its line must be removed from the list.
    FailTest,
    /// A message is printed. This is for tests that run real processes, where the
    /// fault may not occur on every run; failing the test only on the runs in
    /// which it passes would make its result vary.
    PrintOnly,
}

/// Creates a trial that takes the list of known red tests into account.
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
            Err("the test passes: remove its line from KNOWN-RED.txt".into())
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

/// Creates the trial that checks the list itself.
pub(crate) fn known_red_list_trial(trials: &[Trial]) -> Trial {
    let trial_names: Vec<String> =
        trials.iter().map(|trial| trial.name().to_owned()).collect();
    Trial::test("known_red::each_line_names_a_test", move || {
        let lines = known_red_lines();
        if lines.len() > KNOWN_RED_MAX {
            return Err(
                format!("KNOWN-RED.txt has more than {KNOWN_RED_MAX} lines").into()
            );
        }
        let known = |line: &&String| {
            trial_names.iter().any(|name| line_names_test(line, name))
                || names_test_of_a_crate(line)
        };
        match lines.iter().find(|line| !known(line)) {
            Some(line) => Err(format!(
                "this line of KNOWN-RED.txt names no existing test: {line}"
            )
            .into()),
            None => Ok(()),
        }
    })
}

fn line_names_test(line: &str, test: &str) -> bool {
    let rest = line.strip_prefix(test);
    rest.is_some_and(|rest| rest.starts_with(':') && !rest.starts_with("::"))
}

/// Whether a line names a test function in the sources of a crate's tests, which belong
/// to a separate test binary.
fn names_test_of_a_crate(line: &str) -> bool {
    let test = line.split(": ").next().unwrap_or_default();
    let parts = test.split_once("::");
    let parts = parts.and_then(|(name, path)| Some((name, path.rsplit_once("::")?)));
    let Some((crate_name, (modules, function))) = parts else {
        return false;
    };
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let of_crate = root.join("crates").join(crate_name).join("tests");
    let of_platform = root.join(crate_name).join("tests");
    [of_crate, of_platform]
        .iter()
        .filter_map(|tests| std::fs::read_dir(tests).ok())
        .flatten()
        .filter_map(Result::ok)
        .any(|harness| has_test(&harness.path(), modules, function))
}

/// Whether a module of a test binary has a test function.
fn has_test(harness: &Path, modules: &str, function: &str) -> bool {
    let module = harness.join(modules.replace("::", "/"));
    let files = [module.with_extension("rs"), module.join("mod.rs")];
    let texts = files
        .iter()
        .filter_map(|file| std::fs::read_to_string(file).ok());
    let signature = format!("fn {function}()");
    texts.into_iter().any(|text| {
        text.lines()
            .map(|line| line.strip_prefix("async ").unwrap_or(line))
            .any(|line| line.starts_with(&signature))
    })
}

fn known_red_lines() -> Vec<String> {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("KNOWN-RED.txt");
    let text = std::fs::read_to_string(file).unwrap_or_default();
    let lines = text.lines().map(str::trim).filter(|line| !line.is_empty());
    lines.map(str::to_owned).collect()
}
