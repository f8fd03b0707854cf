//! The system's processes, as operators reach them.

use plat::{ObjectApi, http};
use prost::Message;
use schema::store::Member;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::collections::BTreeMap;
use std::fmt::Display;
use std::net::SocketAddr;
use tokio::task::JoinSet;

use crate::{CtlError, head};

/// Start of the keys under which processes register.
const LIVE_PREFIX: &str = "live/";

/// One process to ask.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Name it registered under; `None` if only its address was given.
    pub id: Option<String>,
    /// `entry` or `agent`, as registered; empty if not known.
    pub kind: String,
    /// Operators' listener.
    pub address: SocketAddr,
}

/// What `/status` tells of every process.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct MemberStatus {
    /// Name.
    pub id: String,
    /// `entry` or `agent`.
    pub kind: String,
    /// Run of the process.
    pub incarnation: u64,
    /// Failure domain.
    pub failure_domain: String,
    /// Configuration in force.
    pub revision: u64,
    /// Whether it takes work.
    pub ready: bool,
    /// Whether it is stopping.
    pub leaving: bool,
}

/// One process and what it answered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct MemberLine {
    /// Name it registered under, or the address.
    pub name: String,
    /// Operators' listener.
    pub address: SocketAddr,
    /// Its status, if it answered.
    pub status: Option<MemberStatus>,
    /// Why there is no status.
    pub fault: Option<String>,
}

impl MemberLine {
    /// Whether the process has a revision in force.
    pub fn has_revision(&self, revision: u64) -> bool {
        self.status
            .as_ref()
            .is_some_and(|status| status.revision >= revision)
    }
}

/// Finds the processes: those registered, and those whose address is given.
///
/// # Errors
///
/// Neither a platform nor an address is given, or the platform can't be reached
/// and no address is given.
pub async fn targets(
    platform: Option<&dyn ObjectApi>,
    given: &[SocketAddr],
) -> Result<Vec<Target>, CtlError> {
    if platform.is_none() && given.is_empty() {
        return Err(CtlError::NoTarget);
    }
    let mut targets = match platform {
        None => Vec::new(),
        Some(platform) => match registered(platform).await {
            Ok(targets) => targets,
            // An outage of the platform must not blind the operator.
            Err(_) if !given.is_empty() => Vec::new(),
            Err(error) => return Err(error),
        },
    };
    for address in given {
        if !targets.iter().any(|target| target.address == *address) {
            targets.push(Target {
                id: None,
                kind: String::new(),
                address: *address,
            });
        }
    }
    Ok(targets)
}

async fn registered(platform: &dyn ObjectApi) -> Result<Vec<Target>, CtlError> {
    let objects = head::list(platform, LIVE_PREFIX).await?;
    let members = objects.iter().filter_map(|(_, _, value)| {
        let member = Member::decode(value.as_slice()).ok()?;
        Some(Target {
            address: member.operator_address.parse().ok()?,
            id: Some(member.id),
            kind: member.kind,
        })
    });
    Ok(members.collect())
}

/// Asks each process for its status, all at the same time.
pub async fn statuses(targets: &[Target]) -> Vec<MemberLine> {
    let answers = ask_all::<MemberStatus>(targets, "/status").await;
    let lines = answers.into_iter().map(|(target, answer)| {
        let (status, fault) = match answer.and_then(|status| owned(&target, status)) {
            Ok(status) => (Some(status), None),
            Err(error) => (None, Some(error.to_string())),
        };
        MemberLine {
            name: target.id.unwrap_or_else(|| target.address.to_string()),
            address: target.address,
            status,
            fault,
        }
    });
    lines.collect()
}

/// Takes a status only from the process that registered.
///
/// A port of a process that has gone may be used by another: its status would
/// be shown under the wrong name, and a drain would stop the wrong process.
fn owned(target: &Target, mut status: MemberStatus) -> Result<MemberStatus, CtlError> {
    if status.kind.is_empty() {
        status.kind.clone_from(&target.kind);
    }
    match &target.id {
        Some(id) if *id != status.id => Err(CtlError::OtherProcess {
            address: target.address,
            found: status.id,
            wanted: id.clone(),
        }),
        _ => Ok(status),
    }
}

/// Asks each process for JSON, all at the same time; answers in the order of
/// the targets.
pub async fn ask_all<T: DeserializeOwned + Send + 'static>(
    targets: &[Target],
    path: &str,
) -> Vec<(Target, Result<T, CtlError>)> {
    let mut asked = JoinSet::new();
    for (index, target) in targets.iter().enumerate() {
        let (address, path) = (target.address, path.to_owned());
        asked.spawn(async move { (index, ask(address, &path).await) });
    }
    let mut answers: BTreeMap<usize, _> = asked.join_all().await.into_iter().collect();
    let answered = targets.iter().enumerate().map(|(index, target)| {
        let lost = || Err(unreachable(target.address, &"the call was given up"));
        let answer = answers.remove(&index).unwrap_or_else(lost);
        (target.clone(), answer)
    });
    answered.collect()
}

async fn ask<T: DeserializeOwned>(
    address: SocketAddr,
    path: &str,
) -> Result<T, CtlError> {
    let answer = http::get(address, path)
        .await
        .map_err(|error| unreachable(address, &error))?;
    if !answer.status.is_success() {
        return Err(unreachable(address, &answer.status));
    }
    serde_json::from_slice(&answer.body).map_err(|error| unreachable(address, &error))
}

/// Asks a registered process to drain.
///
/// # Errors
///
/// No such process is registered, another process answers at its address, or
/// none does.
pub async fn drain(targets: &[Target], id: &str) -> Result<SocketAddr, CtlError> {
    let named = |target: &&Target| target.id.as_deref() == Some(id);
    let Some(target) = targets.iter().find(named) else {
        return drain_unnamed(targets, id).await;
    };
    let status = ask(target.address, "/status").await?;
    owned(target, status)?;
    post_drain(target.address).await
}

/// Looks for the process among those of which only the address is known.
async fn drain_unnamed(targets: &[Target], id: &str) -> Result<SocketAddr, CtlError> {
    let lines = statuses(targets).await;
    let named =
        |line: &&MemberLine| line.status.as_ref().is_some_and(|status| status.id == id);
    match lines.iter().find(named) {
        Some(line) => post_drain(line.address).await,
        None => Err(CtlError::NoSuchMember { id: id.to_owned() }),
    }
}

async fn post_drain(address: SocketAddr) -> Result<SocketAddr, CtlError> {
    let answer = http::post(address, "/drain", bytes::Bytes::new())
        .await
        .map_err(|error| unreachable(address, &error))?;
    if answer.status.is_success() {
        Ok(address)
    } else {
        Err(unreachable(address, &answer.status))
    }
}

fn unreachable(address: SocketAddr, detail: &dyn Display) -> CtlError {
    CtlError::Unreachable {
        address,
        detail: detail.to_string(),
    }
}
