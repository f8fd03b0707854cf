//! A deployment of the system and the stand-ins as child processes.

mod commands;
mod options;
mod processes;
mod start;

use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use super::DemoError;
use super::child_process::{ChildProcess, ProgramDirectory};
use super::directory::TempDirectory;
use super::ports::PortBlock;

pub use commands::CommandOutput;
pub use options::DeploymentOptions;

/// Addresses of the stand-ins' control listeners, which set faults while the deployment
/// runs. Written to `controls.json`.
#[derive(Debug, Serialize)]
pub struct ControlAddresses {
    /// Platform.
    pub platform: SocketAddr,
    /// Weight store, if there is one.
    pub store: Option<SocketAddr>,
    /// Engines, in the order of their agents' ids.
    pub engines: Vec<SocketAddr>,
    /// Plain services, in the order of their agents' ids.
    pub services: Vec<SocketAddr>,
}

/// A process of the system, with what is needed to restart it.
#[derive(Debug)]
struct Process {
    child: ChildProcess,
    program: PathBuf,
    settings: PathBuf,
}

/// A running deployment. Dropping it kills its processes and removes its directory.
#[derive(Debug)]
pub struct Deployment {
    options: DeploymentOptions,
    programs: ProgramDirectory,
    platform: SocketAddr,
    engine_addresses: Vec<SocketAddr>,
    entry_addresses: Vec<SocketAddr>,
    operator_addresses: BTreeMap<String, SocketAddr>,
    control_addresses: ControlAddresses,
    system_processes: BTreeMap<String, Process>,
    stand_ins: BTreeMap<String, ChildProcess>,
    directory: TempDirectory,
    ports: PortBlock,
}

impl Deployment {
    /// Starts all processes, without publishing a fleet configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if programs are missing or one fails to start.
    pub fn start(options: DeploymentOptions) -> Result<Self, DemoError> {
        let programs = ProgramDirectory::find()?;
        let directory = TempDirectory::new(options.keep_directory)?;
        let program = programs.path("fake-platform");
        let no_arguments: [&str; 0] = [];
        let (child, platform, control) = ChildProcess::start_stand_in(
            &program,
            "platform",
            &no_arguments,
            &directory.path,
        )?;
        let mut deployment = Self {
            programs,
            platform,
            engine_addresses: Vec::new(),
            entry_addresses: Vec::new(),
            operator_addresses: BTreeMap::new(),
            control_addresses: ControlAddresses {
                platform: control,
                store: None,
                engines: Vec::new(),
                services: Vec::new(),
            },
            system_processes: BTreeMap::new(),
            stand_ins: BTreeMap::from([("platform".to_owned(), child)]),
            directory,
            ports: PortBlock::acquire()?,
            options,
        };
        deployment.start_all()?;
        Ok(deployment)
    }

    /// Returns the process ids of the system and the stand-ins, by name.
    pub fn pids(&self) -> BTreeMap<String, u32> {
        let system = self
            .system_processes
            .iter()
            .map(|(id, process)| (id, &process.child));
        let all = system.chain(self.stand_ins.iter());
        all.map(|(id, child)| (id.clone(), child.pid())).collect()
    }

    /// Returns the entries' caller listeners, in the order of the entries' ids.
    pub fn entry_addresses(&self) -> Vec<SocketAddr> {
        self.entry_addresses.clone()
    }

    /// Returns the engines' API listeners, in the order of their agents' ids.
    pub fn engine_addresses(&self) -> Vec<SocketAddr> {
        self.engine_addresses.clone()
    }

    /// Returns the platform's API listener.
    pub const fn platform_address(&self) -> SocketAddr {
        self.platform
    }

    /// Returns the operator listeners, by the id of the process in its settings.
    pub const fn operator_addresses(&self) -> &BTreeMap<String, SocketAddr> {
        &self.operator_addresses
    }

    /// Returns the control listeners of the stand-ins.
    pub const fn control_addresses(&self) -> &ControlAddresses {
        &self.control_addresses
    }

    /// Returns the directory with settings, logs and `controls.json`.
    pub fn directory(&self) -> &Path {
        &self.directory.path
    }

    /// Keeps the directory with settings and logs when the deployment is dropped.
    pub fn keep_directory(&mut self) {
        self.directory.keep = true;
    }
}
