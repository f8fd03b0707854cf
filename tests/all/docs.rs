//! Checks that the documentation matches the repository: `errors.md` lists every
//! error code, the table of contents links to every page, and the scripted days
//! under `deploy/days` are listed and independent of a particular deployment.

use base::ErrorCode;
use libtest_mimic::{Failed, Trial};
use std::path::{Path, PathBuf};

pub(crate) fn trials() -> Vec<Trial> {
    vec![
        Trial::test("docs::every_code_is_listed", every_code_is_listed),
        Trial::test(
            "docs::every_page_is_in_the_summary",
            every_page_is_in_the_summary,
        ),
        Trial::test(
            "docs::every_day_fits_any_deployment",
            every_day_fits_any_deployment,
        ),
    ]
}

fn docs_dir() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("docs")
}

fn every_code_is_listed() -> Result<(), Failed> {
    let table = std::fs::read_to_string(docs_dir().join("errors.md"))?;
    for code in ErrorCode::ALL {
        let row = format!(
            "| {} | `{}` | {} |",
            code.number(),
            code.name(),
            code.http_status()
        );
        if !table.contains(&row) {
            return Err(format!("docs/errors.md has no row `{row}`").into());
        }
    }
    Ok(())
}

fn every_page_is_in_the_summary() -> Result<(), Failed> {
    let summary = std::fs::read_to_string(docs_dir().join("SUMMARY.md"))?;
    for (folder, prefix) in [(docs_dir(), ""), (docs_dir().join("design"), "design/")] {
        for entry in std::fs::read_dir(folder)? {
            let name = entry?.file_name().to_string_lossy().into_owned();
            let is_page = name.ends_with(".md") && name != "SUMMARY.md";
            if is_page && !summary.contains(&format!("({prefix}{name})")) {
                let missing =
                    format!("docs/SUMMARY.md does not link to {prefix}{name}");
                return Err(missing.into());
            }
        }
    }
    Ok(())
}

/// Each file under `deploy/days` must be listed in the README and must refer to
/// zones, services and classes by `@` placeholders only. A literal name exists in
/// one deployment only, and every other deployment would silently skip the file.
fn every_day_fits_any_deployment() -> Result<(), Failed> {
    let days = Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy/days");
    let listed = std::fs::read_to_string(days.join("README.md"))?;
    for entry in std::fs::read_dir(days)? {
        let path = entry?.path();
        if path.extension().is_none_or(|extension| extension != "toml") {
            continue;
        }
        let name = path.file_stem().unwrap_or_default().to_string_lossy();
        if !listed.contains(&format!("`{name}`")) {
            return Err(format!("deploy/days/README.md does not list {name}").into());
        }
        let schedule = std::fs::read_to_string(&path)?;
        for key in ["zone", "to_zone", "service", "class"] {
            let assignment = format!(" {key} = \"");
            let mut values = schedule.split(assignment.as_str()).skip(1);
            if let Some(literal) = values.find(|rest| !rest.starts_with('@')) {
                let literal = literal.split('"').next().unwrap_or_default();
                return Err(format!(
                    "{name}: `{key}` names `{literal}`, which exists in one \
                     deployment only"
                )
                .into());
            }
        }
    }
    Ok(())
}
