//! The demo's processes and their settings.

use schema::settings::{AgentSettings, EntrySettings};
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};
use std::fs;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;
use tokio::time::Instant;

use super::DemoError;
use super::children::{Programs, Running, stop};
use super::probe::Probe;

const FLEET: &str = include_str!("../../../../deploy/demo.jsonc");
const DOMAINS: [&str; 3] = ["spanish-town", "newport-west", "halfway-tree"];
const ENGINES: usize = 6;
const SERVICES: usize = 3;
const ENTRIES: usize = 2;

/// How long the processes may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const READY_POLL: Duration = Duration::from_millis(50);

/// Control listeners of the stand-ins, on which faults can be switched while the
/// demo runs.
#[derive(Debug, Serialize)]
pub(super) struct Controls {
    pub(super) platform: SocketAddr,
    pub(super) store: Option<SocketAddr>,
    pub(super) engines: Vec<SocketAddr>,
    pub(super) services: Vec<SocketAddr>,
}

/// Loopback ports that one process listens on.
#[derive(Debug, Clone, Copy)]
struct Listeners {
    caller: SocketAddr,
    link: SocketAddr,
    operator: SocketAddr,
}

/// A running deployment; dropping it ends its processes and its folder.
#[derive(Debug)]
pub(super) struct Deployment {
    programs: Programs,
    platform: SocketAddr,
    /// Callers' listeners of the entries.
    callers: Vec<SocketAddr>,
    /// Operators' listeners by process.
    pub(super) operators: BTreeMap<String, SocketAddr>,
    /// Control listeners of the stand-ins.
    pub(super) controls: Controls,
    system: Vec<Running>,
    fakes: Vec<Running>,
    folder: Folder,
}

impl Deployment {
    /// Starts every process.
    pub(super) fn start(keep: bool) -> Result<Self, DemoError> {
        let programs = Programs::find()?;
        println!("starting 1 platform, 1 weight store, 6 engines, 3 services, ...");
        let folder = Folder::new(keep)?;
        let program = programs.path("fake-platform");
        let none: [&str; 0] = [];
        let (child, platform, control) =
            Running::start_fake(&program, "platform", &none, &folder.path)?;
        let mut deployment = Self {
            programs,
            platform,
            callers: Vec::new(),
            operators: BTreeMap::new(),
            controls: Controls {
                platform: control,
                store: None,
                engines: Vec::new(),
                services: Vec::new(),
            },
            system: Vec::new(),
            fakes: vec![child],
            folder,
        };
        let listeners = listeners(ENGINES + SERVICES + ENTRIES)?;
        let (agents, entries) = listeners.split_at(ENGINES + SERVICES);
        let (beside_engines, beside_services) = agents.split_at(ENGINES);
        deployment.start_engines(beside_engines)?;
        deployment.start_services(beside_services)?;
        deployment.start_entries(entries)?;
        deployment
            .folder
            .write("controls.json", &deployment.controls)?;
        Ok(deployment)
    }

    fn start_engines(&mut self, listeners: &[Listeners]) -> Result<(), DemoError> {
        let path = &self.folder.path;
        let program = self.programs.path("fake-store");
        let none: [&str; 0] = [];
        let (child, store, control) =
            Running::start_fake(&program, "store", &none, path)?;
        self.fakes.push(child);
        self.controls.store = Some(control);
        let store = store.to_string();
        let arguments = ["--check-fencing", "--store", &store];
        let program = self.programs.path("fake-engine");
        for (place, listeners) in listeners.iter().enumerate() {
            let id = format!("oracle-{:02}", place + 1);
            let name = format!("engine-{id}");
            let path = &self.folder.path;
            let (child, address, control) =
                Running::start_fake(&program, &name, &arguments, path)?;
            self.fakes.push(child);
            self.controls.engines.push(control);
            self.start_agent(&id, "oracle", DOMAINS[place % 3], *listeners, address)?;
        }
        Ok(())
    }

    fn start_services(&mut self, listeners: &[Listeners]) -> Result<(), DemoError> {
        let program = self.programs.path("fake-service");
        let none: [&str; 0] = [];
        for (place, listeners) in listeners.iter().enumerate() {
            let id = format!("deskapp-{:02}", place + 1);
            let name = format!("service-{id}");
            let path = &self.folder.path;
            let (child, address, control) =
                Running::start_fake(&program, &name, &none, path)?;
            self.fakes.push(child);
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
                worker_threads: 4,
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
        let file = self.folder.write(&format!("{id}.json"), settings)?;
        let arguments = [Path::new("--settings"), &file];
        let program = self.programs.path(program);
        let child = Running::start(&program, id, &arguments, &self.folder.path)?;
        self.system.push(child);
        self.operators.insert(id.to_owned(), operator);
        Ok(())
    }

    /// Callers' listeners of the entries.
    pub(super) fn callers(&self) -> Vec<SocketAddr> {
        self.callers.clone()
    }

    /// Publishes the fleet configuration; returns what was printed.
    pub(super) fn publish(&self) -> Result<String, DemoError> {
        let file = self.folder.path.join("fleet.jsonc");
        fs::write(&file, FLEET).map_err(|error| {
            DemoError::Io("the configuration can't be written", error)
        })?;
        let file = file.to_string_lossy().into_owned();
        let platform = self.platform.to_string();
        self.command(&["publish", "--platform", &platform, "--wait", &file])
    }

    /// The explained time line of one request.
    pub(super) fn timeline(&self, request: &str) -> Option<String> {
        if request.is_empty() {
            return None;
        }
        let platform = self.platform.to_string();
        let arguments = ["timeline", "--platform", &platform, "--request", request];
        match self.command(&arguments) {
            Ok(line) => Some(line),
            Err(error) => Some(error.to_string()),
        }
    }

    fn command(&self, arguments: &[&str]) -> Result<String, DemoError> {
        let done = Command::new(self.programs.path("sesamectl"))
            .args(arguments)
            .output()
            .map_err(|error| DemoError::Io("sesamectl can't be started", error))?;
        let text = String::from_utf8_lossy(&done.stdout).into_owned();
        if done.status.success() {
            return Ok(text);
        }
        let fault = String::from_utf8_lossy(&done.stderr);
        Err(DemoError::Command(format!("{text}{fault}")))
    }

    /// Waits until every process says that it is ready.
    pub(super) async fn until_ready(&self) -> Result<(), DemoError> {
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
    pub(super) fn folder(&self) -> &Path {
        &self.folder.path
    }

    /// Leaves the folder with settings and logs in place.
    pub(super) fn keep_folder(&mut self) {
        self.folder.keep = true;
    }

    /// Ends every process in good order: the system drains, then the stand-ins
    /// that it needs for that end.
    pub(super) fn stop(mut self) {
        stop(std::mem::take(&mut self.system));
        stop(std::mem::take(&mut self.fakes));
        if self.folder.keep {
            println!("settings and logs are in {}", self.folder.path.display());
        }
    }
}

/// Ports that were free a moment ago.
///
/// The kernel gives ports from 32768 on to outgoing connections. A port of that
/// range, once let go here, would now and then be taken by a connection of a
/// process that was started before the one that is to listen on it, and that
/// one would not start. Ports below the range are taken only by listeners.
fn listeners(count: usize) -> Result<Vec<Listeners>, DemoError> {
    let first = FIRST_PORT + std::process::id() % PORT_STARTS * PORTS_EACH;
    let mut held = Vec::new();
    for port in first..LAST_PORT {
        if held.len() == count * 3 {
            break;
        }
        let port = u16::try_from(port).unwrap_or(u16::MAX);
        held.extend(TcpListener::bind((Ipv4Addr::LOCALHOST, port)));
    }
    let addresses: Result<Vec<_>, _> =
        held.iter().map(TcpListener::local_addr).collect();
    let addresses = addresses.map_err(|error| DemoError::Io("no free port", error))?;
    let listeners: Vec<_> = addresses
        .chunks_exact(3)
        .map(|three| Listeners {
            caller: three[0],
            link: three[1],
            operator: three[2],
        })
        .collect();
    if listeners.len() == count {
        return Ok(listeners);
    }
    let none = io::Error::from(io::ErrorKind::AddrInUse);
    Err(DemoError::Io("no free port", none))
}

/// Ports are looked for from here on, at a place that depends on the process, so
/// that two demos don't look at the same ones.
const FIRST_PORT: u32 = 20_000;
const PORT_STARTS: u32 = 100;
const PORTS_EACH: u32 = 100;
const LAST_PORT: u32 = 32_768;

/// Folder for settings and logs, removed when dropped.
#[derive(Debug)]
struct Folder {
    path: PathBuf,
    keep: bool,
}

impl Folder {
    fn new(keep: bool) -> Result<Self, DemoError> {
        let name = format!("sesame-demo-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path)
            .map_err(|error| DemoError::Io("no temporary folder", error))?;
        Ok(Self { path, keep })
    }

    /// Writes a file in JSON and returns where it is.
    fn write<S: Serialize>(&self, name: &str, value: &S) -> Result<PathBuf, DemoError> {
        let file = self.path.join(name);
        let text = serde_json::to_string_pretty(value).map_err(io::Error::other);
        text.and_then(|text| fs::write(&file, text))
            .map_err(|error| DemoError::Io("a file can't be written", error))?;
        Ok(file)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if !self.keep {
            // Left-over logs in the temporary folder do no harm.
            let _ = fs::remove_dir_all(&self.path);
        }
    }
}
