//! Runs every file under `tests/scenarios`, each twice: a file whose two runs
//! differ is a failure, since its verdict could differ in the next run too.
//!
//! Tests that `KNOWN-RED.txt` names are run and printed, and do not fail the
//! run; one that passes all the same fails it, so that the list stays true.

use libtest_mimic::{Failed, Trial};
use std::path::{Path, PathBuf};

pub(crate) fn trials() -> Vec<Trial> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let known_red = std::fs::read_to_string(root.join("KNOWN-RED.txt"));
    let known_red = known_red.unwrap_or_default();
    let mut files: Vec<PathBuf> = std::fs::read_dir(root.join("tests/scenarios"))
        .expect("the folder of scenarios stands in the repository")
        .map(|entry| entry.expect("the folder can be read").path())
        .filter(|path| path.extension().is_some_and(|end| end == "scenario"))
        .collect();
    files.sort();
    let trials = files.into_iter().map(|path| {
        let stem = path.file_stem().unwrap_or_default();
        let name = format!("scenario::{}", stem.to_string_lossy());
        let red = known_red.lines().any(|line| line.starts_with(&format!("{name}:")));
        Trial::test(name, move || run(&path, red))
    });
    trials.collect()
}

fn run(path: &Path, known_red: bool) -> Result<(), Failed> {
    let text = std::fs::read_to_string(path)?;
    let script = scenario::parse(&text).map_err(|errors| {
        let lines = errors.iter().map(ToString::to_string);
        Failed::from(lines.collect::<Vec<_>>().join("\n"))
    })?;
    let first = scenario::run(&script);
    let second = scenario::run(&script);
    if first.log != second.log {
        return Err("two runs of the same file differ".into());
    }
    match (first.passed(), known_red) {
        (true, false) => Ok(()),
        (true, true) => Err("it passes: take it out of KNOWN-RED.txt".into()),
        (false, true) => {
            println!("known red: {}: {:?}", path.display(), first.failures);
            Ok(())
        }
        (false, false) => Err(report(&first).into()),
    }
}

fn report(outcome: &scenario::Outcome) -> String {
    let mut text = outcome.failures.join("\n");
    if std::env::var_os("SCENARIO_LOG").is_some() {
        text.push('\n');
        text.push_str(&outcome.log.join("\n"));
    }
    text
}
