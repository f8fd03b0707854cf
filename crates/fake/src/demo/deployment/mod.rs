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
use super::children::{Programs, Running};
use super::folder::Folder;
use super::ports::Block;

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
    running: Running,
    program: PathBuf,
    settings: PathBuf,
}

/// A running deployment. Dropping it kills its processes and removes its directory.
#[derive(Debug)]
pub struct Deployment {
    options: DeploymentOptions,
    programs: Programs,
    platform: SocketAddr,
    engines: Vec<SocketAddr>,
    callers: Vec<SocketAddr>,
    operators: BTreeMap<String, SocketAddr>,
    controls: ControlAddresses,
    system: BTreeMap<String, Process>,
    fakes: BTreeMap<String, Running>,
    folder: Folder,
    ports: Block,
}

impl Deployment {
    /// Starts all processes, without publishing a fleet configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if programs are missing or one fails to start.
    pub fn start(options: DeploymentOptions) -> Result<Self, DemoError> {
        let programs = Programs::find()?;
        let folder = Folder::new(options.keep_directory)?;
        let program = programs.path("fake-platform");
        let none: [&str; 0] = [];
        let (child, platform, control) =
            Running::start_fake(&program, "platform", &none, &folder.path)?;
        let mut deployment = Self {
            programs,
            platform,
            engines: Vec::new(),
            callers: Vec::new(),
            operators: BTreeMap::new(),
            controls: ControlAddresses {
                platform: control,
                store: None,
                engines: Vec::new(),
                services: Vec::new(),
            },
            system: BTreeMap::new(),
            fakes: BTreeMap::from([("platform".to_owned(), child)]),
            folder,
            ports: Block::take()?,
            options,
        };
        deployment.start_all()?;
        Ok(deployment)
    }

    /// Returns the process ids of the system and the stand-ins, by name.
    pub fn pids(&self) -> BTreeMap<String, u32> {
        let system = self.system.iter().map(|(id, one)| (id, &one.running));
        let all = system.chain(self.fakes.iter());
        all.map(|(id, running)| (id.clone(), running.pid()))
            .collect()
    }

    /// Returns the entries' caller listeners, in the order of the entries' ids.
    pub fn entry_addresses(&self) -> Vec<SocketAddr> {
        self.callers.clone()
    }

    /// Returns the engines' API listeners, in the order of their agents' ids.
    pub fn engine_addresses(&self) -> Vec<SocketAddr> {
        self.engines.clone()
    }

    /// Returns the operator listeners, by the id of the process in its settings.
    pub const fn operator_addresses(&self) -> &BTreeMap<String, SocketAddr> {
        &self.operators
    }

    /// Returns the control listeners of the stand-ins.
    pub const fn control_addresses(&self) -> &ControlAddresses {
        &self.controls
    }

    /// Returns the directory with settings, logs and `controls.json`.
    pub fn directory(&self) -> &Path {
        &self.folder.path
    }

    /// Keeps the directory with settings and logs when the deployment is dropped.
    pub fn keep_directory(&mut self) {
        self.folder.keep = true;
    }
}
