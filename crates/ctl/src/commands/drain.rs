//! The command `drain`: asks a process to finish its work and stop.

use serde::Serialize;
use std::net::SocketAddr;

use super::find_processes;
use crate::options::DrainOptions;
use crate::{CtlError, ExitStatus, Report, members};

#[derive(Debug, Serialize)]
struct Drained<'a> {
    id: &'a str,
    address: SocketAddr,
}

/// Asks one process to drain.
pub(super) async fn run(options: &DrainOptions) -> Result<Report, CtlError> {
    let processes = find_processes(&options.processes).await?;
    let address = members::drain(&processes, &options.id).await?;
    let id = &options.id;
    if options.json {
        return Ok(Report::json(&Drained { id, address }, ExitStatus::Ok));
    }
    let line = format!("{id} at {address} finishes its work and takes no more");
    Ok(Report::lines([line], ExitStatus::Ok))
}
