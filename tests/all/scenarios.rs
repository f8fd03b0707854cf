//! Runs every file under `tests/scenarios`.
//!
//! Each file is run twice and fails if the logs of the two runs differ, since the
//! result would then not be reproducible. A file that is listed as known red
//! ([`crate::red`]) fails if it passes.

use crate::red::{self, OnPass};
use libtest_mimic::{Failed, Trial};
use std::path::{Path, PathBuf};

pub(crate) fn trials() -> Vec<Trial> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files: Vec<PathBuf> = std::fs::read_dir(root.join("tests/scenarios"))
        .expect("the repository contains the folder of scenarios")
        .map(|entry| entry.expect("the folder is readable").path())
        .filter(|path| path.extension().is_some_and(|end| end == "scenario"))
        .collect();
    files.sort();
    let trials = files.into_iter().map(|path| {
        let stem = path.file_stem().unwrap_or_default();
        let name = format!("scenario::{}", stem.to_string_lossy());
        red::trial(&name, OnPass::FailTest, move || run_twice(&path))
    });
    trials.collect()
}

fn run_twice(path: &Path) -> Result<(), Failed> {
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
    if first.passed() {
        return Ok(());
    }
    Err(failure_report(&first).into())
}

fn failure_report(outcome: &scenario::Outcome) -> String {
    let mut text = outcome.failures.join("\n");
    if std::env::var_os("SCENARIO_LOG").is_some() {
        text.push('\n');
        text.push_str(&outcome.log.join("\n"));
    }
    text
}
