//! Finds the processes of the system and calls their operator listeners.

use plat::{ObjectApi, http};
use prost::Message;
use schema::store::Member;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::collections::BTreeMap;
use std::fmt::Display;
use std::net::SocketAddr;
use tokio::task::JoinSet;

use crate::{CtlError, head};

/// Prefix of the keys under which processes register.
const REGISTRATION_PREFIX: &str = "live/";

/// Name and address of one process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProcessEndpoint {
    /// Registered name; `None` if only the address was given.
    pub id: Option<String>,
    /// Registered kind, `entry` or `agent`; empty if it is not known.
    pub kind: String,
    /// Address of the operator listener.
    pub address: SocketAddr,
}

/// The fields of `/status` that all kinds of processes have.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct MemberStatus {
    /// Name of the process.
    pub id: String,
    /// `entry` or `agent`.
    pub kind: String,
    /// Number of this run of the process.
    pub incarnation: u64,
    /// Failure domain.
    pub failure_domain: String,
    /// Revision of the configuration that is in force in the process.
    pub revision: u64,
    /// Whether the process accepts work.
    pub ready: bool,
    /// Whether the process is shutting down.
    pub leaving: bool,
}

/// One process and its status.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct MemberReport {
    /// Registered name, or the address.
    pub name: String,
    /// Address of the operator listener.
    pub address: SocketAddr,
    /// Its status, if it sent one.
    pub status: Option<MemberStatus>,
    /// Error message, if there is no status.
    pub fault: Option<String>,
}

impl MemberReport {
    /// Whether the process reported this revision, or a later one, as in force.
    pub fn has_revision(&self, revision: u64) -> bool {
        self.status
            .as_ref()
            .is_some_and(|status| status.revision >= revision)
    }
}

/// Lists the registered processes and those whose addresses are given.
///
/// # Errors
///
/// Neither a platform nor an address is given, or the platform can't be reached
/// and no address is given.
pub async fn find_processes(
    platform: Option<&dyn ObjectApi>,
    given_addresses: &[SocketAddr],
) -> Result<Vec<ProcessEndpoint>, CtlError> {
    if platform.is_none() && given_addresses.is_empty() {
        return Err(CtlError::NoAddressGiven);
    }
    let mut processes = match platform {
        None => Vec::new(),
        Some(platform) => match registered_processes(platform).await {
            Ok(processes) => processes,
            // During an outage of the platform, operators can still reach
            // processes by their addresses.
            Err(_) if !given_addresses.is_empty() => Vec::new(),
            Err(error) => return Err(error),
        },
    };
    for address in given_addresses {
        if !processes.iter().any(|process| process.address == *address) {
            processes.push(ProcessEndpoint {
                id: None,
                kind: String::new(),
                address: *address,
            });
        }
    }
    Ok(processes)
}

async fn registered_processes(
    platform: &dyn ObjectApi,
) -> Result<Vec<ProcessEndpoint>, CtlError> {
    let objects = head::list(platform, REGISTRATION_PREFIX).await?;
    let members = objects.iter().filter_map(|(_, _, value)| {
        let member = Member::decode(value.as_slice()).ok()?;
        Some(ProcessEndpoint {
            address: member.operator_address.parse().ok()?,
            id: Some(member.id),
            kind: member.kind,
        })
    });
    Ok(members.collect())
}

/// Requests the status of all processes concurrently.
pub async fn query_statuses(processes: &[ProcessEndpoint]) -> Vec<MemberReport> {
    let responses = get_json_from_all::<MemberStatus>(processes, "/status").await;
    let reports = responses.into_iter().map(|(process, response)| {
        let (status, fault) =
            match response.and_then(|status| verify_identity(&process, status)) {
                Ok(status) => (Some(status), None),
                Err(error) => (None, Some(error.to_string())),
            };
        MemberReport {
            name: process.id.unwrap_or_else(|| process.address.to_string()),
            address: process.address,
            status,
            fault,
        }
    });
    reports.collect()
}

/// Rejects a status from a process with another name than the registered one.
///
/// The port of a process that ended may be in use by another one while the
/// registration lasts: its status would be shown under the wrong name, and a
/// drain would stop the wrong process.
fn verify_identity(
    process: &ProcessEndpoint,
    mut status: MemberStatus,
) -> Result<MemberStatus, CtlError> {
    if status.kind.is_empty() {
        status.kind.clone_from(&process.kind);
    }
    match &process.id {
        Some(id) if *id != status.id => Err(CtlError::WrongProcess {
            address: process.address,
            found: status.id,
            expected: id.clone(),
        }),
        _ => Ok(status),
    }
}

/// Requests JSON from all processes concurrently; the results are in the order
/// of the processes.
pub async fn get_json_from_all<T: DeserializeOwned + Send + 'static>(
    processes: &[ProcessEndpoint],
    path: &str,
) -> Vec<(ProcessEndpoint, Result<T, CtlError>)> {
    let mut requests = JoinSet::new();
    for (index, process) in processes.iter().enumerate() {
        let (address, path) = (process.address, path.to_owned());
        requests.spawn(async move { (index, get_json(address, &path).await) });
    }
    let mut responses: BTreeMap<usize, _> =
        requests.join_all().await.into_iter().collect();
    let results = processes.iter().enumerate().map(|(index, process)| {
        let no_response = || {
            Err(unreachable_error(
                process.address,
                &"the request was canceled",
            ))
        };
        let response = responses.remove(&index).unwrap_or_else(no_response);
        (process.clone(), response)
    });
    results.collect()
}

async fn get_json<T: DeserializeOwned>(
    address: SocketAddr,
    path: &str,
) -> Result<T, CtlError> {
    let response = http::get(address, path)
        .await
        .map_err(|error| unreachable_error(address, &error))?;
    if !response.status.is_success() {
        return Err(unreachable_error(address, &response.status));
    }
    serde_json::from_slice(&response.body)
        .map_err(|error| unreachable_error(address, &error))
}

/// Asks the process with this name to drain. Its identity is checked first.
///
/// # Errors
///
/// No process has this name, a process with another name answers at its
/// address, or none answers.
pub async fn drain(
    processes: &[ProcessEndpoint],
    id: &str,
) -> Result<SocketAddr, CtlError> {
    let has_name = |process: &&ProcessEndpoint| process.id.as_deref() == Some(id);
    let Some(process) = processes.iter().find(has_name) else {
        return drain_unregistered(processes, id).await;
    };
    let status = get_json(process.address, "/status").await?;
    verify_identity(process, status)?;
    post_drain(process.address).await
}

/// Looks for the process among those of which only the address is known, by
/// asking each for its status.
async fn drain_unregistered(
    processes: &[ProcessEndpoint],
    id: &str,
) -> Result<SocketAddr, CtlError> {
    let reports = query_statuses(processes).await;
    let has_name = |report: &&MemberReport| {
        report.status.as_ref().is_some_and(|status| status.id == id)
    };
    match reports.iter().find(has_name) {
        Some(report) => post_drain(report.address).await,
        None => Err(CtlError::UnknownProcess { id: id.to_owned() }),
    }
}

async fn post_drain(address: SocketAddr) -> Result<SocketAddr, CtlError> {
    let response = http::post(address, "/drain", bytes::Bytes::new())
        .await
        .map_err(|error| unreachable_error(address, &error))?;
    if response.status.is_success() {
        Ok(address)
    } else {
        Err(unreachable_error(address, &response.status))
    }
}

fn unreachable_error(address: SocketAddr, detail: &dyn Display) -> CtlError {
    CtlError::Unreachable {
        address,
        detail: detail.to_string(),
    }
}
