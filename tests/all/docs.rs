//! The book says what the code does: every result code stands in its table,
//! and the table of contents leads to every page.

use base::Code;
use libtest_mimic::{Failed, Trial};
use std::path::{Path, PathBuf};

pub(crate) fn trials() -> Vec<Trial> {
    vec![
        Trial::test("docs::every_code_is_listed", every_code_is_listed),
        Trial::test(
            "docs::every_page_is_in_the_summary",
            every_page_is_in_the_summary,
        ),
    ]
}

fn docs() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("docs")
}

fn every_code_is_listed() -> Result<(), Failed> {
    let table = std::fs::read_to_string(docs().join("errors.md"))?;
    for code in Code::ALL {
        let row = format!(
            "| {} | `{}` | {} |",
            code.number(),
            code.name(),
            code.http_status()
        );
        if !table.contains(&row) {
            return Err(format!("docs/errors.md lacks a row `{row}`").into());
        }
    }
    Ok(())
}

fn every_page_is_in_the_summary() -> Result<(), Failed> {
    let summary = std::fs::read_to_string(docs().join("SUMMARY.md"))?;
    for entry in std::fs::read_dir(docs())? {
        let name = entry?.file_name().to_string_lossy().into_owned();
        let page = name.ends_with(".md") && name != "SUMMARY.md";
        if page && !summary.contains(&format!("({name})")) {
            return Err(format!("docs/SUMMARY.md does not lead to {name}").into());
        }
    }
    Ok(())
}
