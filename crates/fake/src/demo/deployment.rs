//! A deployment's processes and their settings.

use nix::sys::signal::Signal;
use schema::settings::{AgentSettings, EntrySettings};
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitStatus};
use std::time::Duration;
use tokio::time::Instant;

use super::DemoError;
use super::children::{Programs, Running, stop};
use super::folder::Folder;
use super::ports::{Block, Listeners};
use super::probe::Probe;

const DOMAINS: [&str; 3] = ["spanish-town", "newport-west", "halfway-tree"];

/// How long the processes may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
const READY_POLL: Duration = Duration::from_millis(50);

/// What a deployment is made of.
#[derive(Debug, Clone)]
pub struct DeploymentOptions {
    /// Engines with an agent each, in the pool `oracle`: `oracle-01` and on.
    pub engines: usize,
    /// Plain services with an agent each, in the pool `deskapp`.
    pub services: usize,
    /// Entries: `entry-1` and on.
    pub entries: usize,
    /// Further arguments of each engine.
    pub engine_arguments: Vec<String>,
    /// Whether weights come from a weight store, not after a fixed time.
    pub store: bool,
    /// Runtime threads of an entry.
    pub entry_threads: u32,
    /// Leave the folder with settings and logs in place.
    pub keep: bool,
}

impl Default for DeploymentOptions {
    fn default() -> Self {
        Self {
            engines: 6,
            services: 3,
            entries: 2,
            engine_arguments: vec!["--check-fencing".to_owned()],
            store: true,
            entry_threads: 4,
            keep: false,
        }
    }
}

/// Control listeners of the stand-ins, on which faults can be switched while the
/// deployment runs.
#[derive(Debug, Serialize)]
pub struct Controls {
    /// The platform's.
    pub platform: SocketAddr,
    /// The weight store's.
    pub store: Option<SocketAddr>,
    /// The engines', in the order of their agents' names.
    pub engines: Vec<SocketAddr>,
    /// The plain services', in the order of their agents' names.
    pub services: Vec<SocketAddr>,
}

/// What `sesamectl` did.
#[derive(Debug, Clone)]
pub struct Said {
    /// Exit code; -1 if a signal ended it.
    pub code: i32,
    /// What it printed, on standard output and then on standard error.
    pub text: String,
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
    controls: Controls,
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
        let folder = Folder::new(options.keep)?;
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
            controls: Controls {
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

    fn start_all(&mut self) -> Result<(), DemoError> {
        let (engines, services) = (self.options.engines, self.options.services);
        let count = engines + services + self.options.entries;
        let listeners = self.ports.listeners(count)?;
        let (agents, entries) = listeners.split_at(engines + services);
        let (beside_engines, beside_services) = agents.split_at(engines);
        self.start_engines(beside_engines)?;
        self.start_services(beside_services)?;
        self.start_entries(entries)?;
        self.folder.write("controls.json", &self.controls)?;
        Ok(())
    }

    fn start_fake(
        &mut self,
        program: &str,
        name: &str,
        arguments: &[String],
    ) -> Result<(SocketAddr, SocketAddr), DemoError> {
        let program = self.programs.path(program);
        let path = &self.folder.path;
        let (child, address, control) =
            Running::start_fake(&program, name, arguments, path)?;
        self.fakes.insert(name.to_owned(), child);
        Ok((address, control))
    }

    fn start_engines(&mut self, listeners: &[Listeners]) -> Result<(), DemoError> {
        let mut arguments = self.options.engine_arguments.clone();
        if self.options.store {
            let (store, control) = self.start_fake("fake-store", "store", &[])?;
            self.controls.store = Some(control);
            arguments.extend(["--store".to_owned(), store.to_string()]);
        }
        for (place, listeners) in listeners.iter().enumerate() {
            let id = format!("oracle-{:02}", place + 1);
            let name = format!("engine-{id}");
            let (address, control) =
                self.start_fake("fake-engine", &name, &arguments)?;
            self.engines.push(address);
            self.controls.engines.push(control);
            self.start_agent(&id, "oracle", DOMAINS[place % 3], *listeners, address)?;
        }
        Ok(())
    }

    fn start_services(&mut self, listeners: &[Listeners]) -> Result<(), DemoError> {
        for (place, listeners) in listeners.iter().enumerate() {
            let id = format!("deskapp-{:02}", place + 1);
            let name = format!("service-{id}");
            let (address, control) = self.start_fake("fake-service", &name, &[])?;
            self.controls.services.push(control);
            self.start_agent(&id, "deskapp", DOMAINS[place % 3], *listeners, address)?;
        }
        Ok(())
    }

    fn start_agent(
        &mut self,
        id: &str,
        pool: &str,
        domain: &str,
        listeners: Listeners,
        upstream: SocketAddr,
    ) -> Result<(), DemoError> {
        let settings = AgentSettings {
            id: id.to_owned(),
            failure_domain: domain.to_owned(),
            pool: pool.to_owned(),
            link_listen: listeners.link.to_string(),
            operator_listen: listeners.operator.to_string(),
            platform: self.platform.to_string(),
            upstream: upstream.to_string(),
            worker_threads: 2,
            log_level: "info".to_owned(),
            timeline_events: 20_000,
            ..AgentSettings::default()
        };
        self.start_system("sesame-agent", id, &settings, listeners.operator)
    }

    fn start_entries(&mut self, listeners: &[Listeners]) -> Result<(), DemoError> {
        let name = |place: usize| format!("entry-{}", place + 1);
        for (place, own) in listeners.iter().enumerate() {
            let others = listeners.iter().enumerate();
            let peers: HashMap<String, String> = others
                .filter(|(other, _)| *other != place)
                .map(|(other, of)| (name(other), of.link.to_string()))
                .collect();
            let settings = EntrySettings {
                id: name(place),
                failure_domain: DOMAINS[place % 3].to_owned(),
                caller_listen: own.caller.to_string(),
                link_listen: own.link.to_string(),
                operator_listen: own.operator.to_string(),
                platform: self.platform.to_string(),
                peers: peers.into_iter().collect(),
                request_shards: 8,
                worker_threads: self.options.entry_threads,
                log_level: "info".to_owned(),
                timeline_events: 20_000,
                ..EntrySettings::default()
            };
            self.start_system("sesame-entry", &name(place), &settings, own.operator)?;
            self.callers.push(own.caller);
        }
        Ok(())
    }

    fn start_system<S: Serialize>(
        &mut self,
        program: &str,
        id: &str,
        settings: &S,
        operator: SocketAddr,
    ) -> Result<(), DemoError> {
        let settings = self.folder.write(&format!("{id}.json"), settings)?;
        let program = self.programs.path(program);
        let running =
            Running::start_system(&program, id, &settings, &self.folder.path)?;
        let process = Process {
            running,
            program,
            settings,
        };
        self.system.insert(id.to_owned(), process);
        self.operators.insert(id.to_owned(), operator);
        Ok(())
    }

    /// Starts a process of the system that has ended once more, with its
    /// settings and ports.
    ///
    /// # Errors
    ///
    /// There is no such process, or it does not start.
    pub fn restart(&mut self, id: &str) -> Result<(), DemoError> {
        let process = self.system.get_mut(id);
        let process = process.ok_or_else(|| DemoError::NoProcess(id.to_owned()))?;
        process.running = Running::start_system(
            &process.program,
            id,
            &process.settings,
            &self.folder.path,
        )?;
        Ok(())
    }

    /// Sends a signal to a process of the system.
    ///
    /// # Errors
    ///
    /// There is no such process.
    pub fn signal(&self, id: &str, signal: Signal) -> Result<(), DemoError> {
        let process = self.system.get(id);
        let process = process.ok_or_else(|| DemoError::NoProcess(id.to_owned()))?;
        process.running.signal(signal);
        Ok(())
    }

    /// Waits until a process of the system has ended by itself.
    ///
    /// # Errors
    ///
    /// It still runs after the time given, or there is no such process.
    pub async fn until_ended(
        &mut self,
        id: &str,
        bound: Duration,
    ) -> Result<ExitStatus, DemoError> {
        let process = self.system.get_mut(id);
        let process = process.ok_or_else(|| DemoError::NoProcess(id.to_owned()))?;
        let until = Instant::now() + bound;
        loop {
            if let Some(status) = process.running.ended() {
                return Ok(status);
            }
            if Instant::now() >= until {
                return Err(DemoError::StillRuns(id.to_owned()));
            }
            tokio::time::sleep(READY_POLL).await;
        }
    }

    /// Process ids of the system and of the stand-ins, by name.
    pub fn pids(&self) -> BTreeMap<String, u32> {
        let system = self.system.iter().map(|(id, one)| (id, &one.running));
        let all = system.chain(self.fakes.iter());
        all.map(|(id, running)| (id.clone(), running.pid()))
            .collect()
    }

    /// Callers' listeners of the entries, in the order of their names.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.callers.clone()
    }

    /// The engines, in the order of their agents' names.
    pub fn engines(&self) -> Vec<SocketAddr> {
        self.engines.clone()
    }

    /// Operators' listeners by process.
    pub const fn operators(&self) -> &BTreeMap<String, SocketAddr> {
        &self.operators
    }

    /// Control listeners of the stand-ins.
    pub const fn controls(&self) -> &Controls {
        &self.controls
    }

    /// Publishes a fleet configuration and waits until it is in force; returns
    /// what was printed.
    ///
    /// # Errors
    ///
    /// `sesamectl` failed.
    pub fn publish(&self, fleet: &str) -> Result<String, DemoError> {
        let said = self.publish_with(fleet, &["--wait"])?;
        if said.code == 0 {
            return Ok(said.text);
        }
        Err(DemoError::Command(said.text))
    }

    /// Publishes a fleet configuration with further options.
    ///
    /// # Errors
    ///
    /// `sesamectl` can't be started.
    pub fn publish_with(
        &self,
        fleet: &str,
        options: &[&str],
    ) -> Result<Said, DemoError> {
        let file = self.folder.write_text("fleet.jsonc", fleet)?;
        let file = file.to_string_lossy();
        let mut arguments = vec!["publish"];
        arguments.extend(options);
        arguments.push(&file);
        self.sesamectl(&arguments)
    }

    /// The explained time line of one request.
    pub fn timeline(&self, request: &str) -> Option<String> {
        if request.is_empty() {
            return None;
        }
        match self.sesamectl(&["timeline", "--request", request]) {
            Ok(said) => Some(said.text),
            Err(error) => Some(error.to_string()),
        }
    }

    /// Runs a command of `sesamectl` on the deployment's platform.
    ///
    /// # Errors
    ///
    /// It can't be started.
    pub fn sesamectl(&self, arguments: &[&str]) -> Result<Said, DemoError> {
        let (command, rest) = arguments.split_first().unwrap_or((&"--help", &[]));
        let done = Command::new(self.programs.path("sesamectl"))
            .args([command, "--platform", &self.platform.to_string()])
            .args(rest)
            .output()
            .map_err(|error| DemoError::Io("sesamectl can't be started", error))?;
        let mut text = String::from_utf8_lossy(&done.stdout).into_owned();
        text.push_str(&String::from_utf8_lossy(&done.stderr));
        Ok(Said {
            code: done.status.code().unwrap_or(-1),
            text,
        })
    }

    /// Waits until every process says that it is ready.
    ///
    /// # Errors
    ///
    /// Some are not ready after a minute.
    pub async fn until_ready(&self) -> Result<(), DemoError> {
        let probe = Probe::new();
        let until = Instant::now() + READY_TIMEOUT;
        loop {
            let mut waiting = Vec::new();
            for (name, address) in &self.operators {
                let answer = probe.get(*address, "/readyz").await;
                if answer.is_none_or(|(status, _)| status != 200) {
                    waiting.push(name.clone());
                }
            }
            if waiting.is_empty() {
                return Ok(());
            }
            if Instant::now() >= until {
                return Err(DemoError::NotReady(waiting, self.folder.path.clone()));
            }
            tokio::time::sleep(READY_POLL).await;
        }
    }

    /// Folder with settings, logs and the stand-ins' control addresses.
    pub fn folder(&self) -> &Path {
        &self.folder.path
    }

    /// Leaves the folder with settings and logs in place.
    pub fn keep_folder(&mut self) {
        self.folder.keep = true;
    }

    /// Ends every process in good order: the system drains, then the stand-ins
    /// that it needs for that end.
    pub fn stop(mut self) {
        let system = std::mem::take(&mut self.system);
        stop(
            system
                .into_values()
                .map(|process| process.running)
                .collect(),
        );
        stop(std::mem::take(&mut self.fakes).into_values().collect());
        if self.folder.keep {
            println!("settings and logs are in {}", self.folder.path.display());
        }
    }
}
