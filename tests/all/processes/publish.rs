//! Configuration changes published with `sesamectl`.

use serde_json::{Value, json};

use super::fleet;
use super::rig::{Fixture, TestResult, check, error_text};

/// Exit codes of `sesamectl`, documented in `docs/sesamectl.md`.
const EXIT_INVALID_CONFIG: i32 = 1;
const EXIT_CONFLICT: i32 = 4;

/// When `sesamectl` exits after publishing a change with `--wait`, every process
/// reports the new revision as in force.
pub(super) async fn change_is_in_force_everywhere(fixture: &mut Fixture) -> TestResult {
    let before = revisions(fixture).await?;
    let mut document = fleet::document();
    document["profiles"]["desk"]["value"] = json!(11);
    let output = fixture.deployment.publish(&document.to_string());
    let output = output.map_err(error_text)?;
    let after = revisions(fixture).await?;
    check(after.len() == 7, || format!("{} processes", after.len()))?;
    for (before, after) in before.iter().zip(&after) {
        check(*after == before + 1, || {
            format!("revision {before} and then {after}; {output}")
        })?;
    }
    Ok(())
}

/// An invalid file is refused with all of its errors and changes nothing.
pub(super) async fn invalid_file_changes_nothing(fixture: &mut Fixture) -> TestResult {
    let before = revisions(fixture).await?;
    let mut document = fleet::document();
    document["profiles"]["desk"]["models"] = json!(["no-such-model"]);
    document["pools"]["oracle"]["concurent_max"] = json!(1);
    let output = fixture.deployment.publish_with(&document.to_string(), &[]);
    let output = output.map_err(error_text)?;
    check(output.exit_code == EXIT_INVALID_CONFIG, || {
        format!("{} {}", output.exit_code, output.text)
    })?;
    for expected in ["5002", "5006"] {
        check(output.text.contains(expected), || output.text.clone())?;
    }
    let after = revisions(fixture).await?;
    check(before == after, || format!("{before:?} and then {after:?}"))
}

/// Two operators publish changes based on the same revision. The second one is
/// refused, so that the change of the first is not lost.
pub(super) async fn conflict_changes_nothing(fixture: &mut Fixture) -> TestResult {
    let base = revisions(fixture).await?[0].to_string();
    let mut first = fleet::document();
    first["profiles"]["desk"]["value"] = json!(20);
    fixture
        .deployment
        .publish(&first.to_string())
        .map_err(error_text)?;
    let revisions_after_first = revisions(fixture).await?;

    let mut second = fleet::document();
    second["profiles"]["desk"]["value"] = json!(30);
    let options = ["--base", &base];
    let output = fixture
        .deployment
        .publish_with(&second.to_string(), &options);
    let output = output.map_err(error_text)?;
    check(output.exit_code == EXIT_CONFLICT, || {
        format!("{} {}", output.exit_code, output.text)
    })?;
    let after = revisions(fixture).await?;
    check(revisions_after_first == after, || {
        format!("{revisions_after_first:?} and then {after:?}")
    })
}

/// Returns the revision in force in each process, in order of the process name.
async fn revisions(fixture: &Fixture) -> TestResult<Vec<u64>> {
    let mut all = Vec::new();
    for id in fixture.deployment.operator_addresses().keys() {
        let status = fixture.status(id).await.unwrap_or(Value::Null);
        let revision = status["revision"].as_u64();
        all.push(revision.ok_or_else(|| format!("{id} reports no revision"))?);
    }
    Ok(all)
}
