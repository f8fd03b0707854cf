//! A deployment's processes and their settings.

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

/// Control listeners of the stand-ins, on which faults can be switched while the
/// deployment runs.
#[derive(Debug, Serialize)]
pub struct ControlAddresses {
    /// The platform's.
    pub platform: SocketAddr,
    /// The weight store's.
    pub store: Option<SocketAddr>,
    /// The engines', in the order of their agents' names.
    pub engines: Vec<SocketAddr>,
    /// The plain services', in the order of their agents' names.
    pub services: Vec<SocketAddr>,
}

/// One process of the system.
#[derive(Debug)]
struct Process {
    running: Running,
    program: PathBuf,
    settings: PathBuf,
}

/// A running deployment; dropping it ends its processes and its folder.
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
    /// Starts every process; nothing is published yet.
    ///
    /// # Errors
    ///
    /// Programs are missing, or one did not start.
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

    /// Process ids of the system and of the stand-ins, by name.
    pub fn pids(&self) -> BTreeMap<String, u32> {
        let system = self.system.iter().map(|(id, one)| (id, &one.running));
        let all = system.chain(self.fakes.iter());
        all.map(|(id, running)| (id.clone(), running.pid()))
            .collect()
    }

    /// Callers' listeners of the entries, in the order of their names.
    pub fn entry_addresses(&self) -> Vec<SocketAddr> {
        self.callers.clone()
    }

    /// The engines, in the order of their agents' names.
    pub fn engine_addresses(&self) -> Vec<SocketAddr> {
        self.engines.clone()
    }

    /// Operators' listeners by process.
    pub const fn operator_addresses(&self) -> &BTreeMap<String, SocketAddr> {
        &self.operators
    }

    /// Control listeners of the stand-ins.
    pub const fn control_addresses(&self) -> &ControlAddresses {
        &self.controls
    }

    /// Folder with settings, logs and the stand-ins' control addresses.
    pub fn directory(&self) -> &Path {
        &self.folder.path
    }

    /// Leaves the folder with settings and logs in place.
    pub fn keep_directory(&mut self) {
        self.folder.keep = true;
    }
}
