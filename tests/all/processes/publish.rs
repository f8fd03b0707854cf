//! Changes of the configuration by `sesamectl`.

use serde_json::{Value, json};

use super::fleet;
use super::rig::{Rig, TestResult, check, text};

/// Exit codes of `docs/sesamectl.md`.
const FAULTS: i32 = 1;
const CONFLICT: i32 = 4;

/// A change that was published with `--wait` is in force in every process when
/// the command ends, by each process's own word.
pub(super) async fn change_is_in_force_everywhere(rig: &mut Rig) -> TestResult {
    let before = revisions(rig).await?;
    let mut document = fleet::document();
    document["profiles"]["desk"]["value"] = json!(11);
    let said = rig.deployment.publish(&document.to_string());
    let said = said.map_err(text)?;
    let after = revisions(rig).await?;
    check(after.len() == 7, || format!("{} processes", after.len()))?;
    for (before, after) in before.iter().zip(&after) {
        check(*after == before + 1, || {
            format!("revision {before} and then {after}; {said}")
        })?;
    }
    Ok(())
}

/// A file with faults is refused with all of them, and nothing is changed.
pub(super) async fn faulty_file_changes_nothing(rig: &mut Rig) -> TestResult {
    let before = revisions(rig).await?;
    let mut document = fleet::document();
    document["profiles"]["desk"]["models"] = json!(["no-such-model"]);
    document["pools"]["oracle"]["concurent_max"] = json!(1);
    let said = rig.deployment.publish_with(&document.to_string(), &[]);
    let said = said.map_err(text)?;
    check(said.exit_code == FAULTS, || {
        format!("{} {}", said.exit_code, said.text)
    })?;
    for expected in ["5002", "5006"] {
        check(said.text.contains(expected), || said.text.clone())?;
    }
    let after = revisions(rig).await?;
    check(before == after, || format!("{before:?} and then {after:?}"))
}

/// Two operators changed the same revision: the second is refused and learns
/// what the first changed; nothing of the first's is lost.
pub(super) async fn conflict_changes_nothing(rig: &mut Rig) -> TestResult {
    let base = revisions(rig).await?[0].to_string();
    let mut first = fleet::document();
    first["profiles"]["desk"]["value"] = json!(20);
    rig.deployment.publish(&first.to_string()).map_err(text)?;
    let accepted = revisions(rig).await?;

    let mut second = fleet::document();
    second["profiles"]["desk"]["value"] = json!(30);
    let options = ["--base", &base];
    let said = rig.deployment.publish_with(&second.to_string(), &options);
    let said = said.map_err(text)?;
    check(said.exit_code == CONFLICT, || {
        format!("{} {}", said.exit_code, said.text)
    })?;
    let after = revisions(rig).await?;
    check(accepted == after, || {
        format!("{accepted:?} and then {after:?}")
    })
}

/// The revision in force in each process, in order of name.
async fn revisions(rig: &Rig) -> TestResult<Vec<u64>> {
    let mut all = Vec::new();
    for id in rig.deployment.operator_addresses().keys() {
        let status = rig.status(id).await.unwrap_or(Value::Null);
        let revision = status["revision"].as_u64();
        all.push(revision.ok_or_else(|| format!("{id} shows no revision"))?);
    }
    Ok(all)
}
