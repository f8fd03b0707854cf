//! `drain`: a planned stop.

use serde::Serialize;
use std::net::SocketAddr;

use super::reach;
use crate::options::DrainOptions;
use crate::{CtlError, Exit, Report, members};

#[derive(Debug, Serialize)]
struct Drained<'a> {
    id: &'a str,
    address: SocketAddr,
}

/// Asks one process to drain.
pub(super) async fn run(options: &DrainOptions) -> Result<Report, CtlError> {
    let targets = reach(&options.reach).await?;
    let address = members::drain(&targets, &options.id).await?;
    let id = &options.id;
    if options.json {
        return Ok(Report::json(&Drained { id, address }, Exit::Ok));
    }
    let line = format!("{id} at {address} finishes its work and takes no more");
    Ok(Report::lines([line], Exit::Ok))
}
