//! Child processes, each ended by its own process id.

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::ffi::OsStr;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use super::DemoError;

/// How long a child may take to end after SIGTERM.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// How often a stopping child is looked at.
const STOP_POLL: Duration = Duration::from_millis(20);

/// One child; dropping it ends it at once.
#[derive(Debug)]
pub(super) struct Running {
    name: String,
    child: Child,
    ended: bool,
}

impl Running {
    /// Starts a program of the system with its output at the end of
    /// `<folder>/<name>.log`.
    pub(super) fn start_system(
        program: &Path,
        name: &str,
        settings: &Path,
        folder: &Path,
    ) -> Result<Self, DemoError> {
        let arguments = [Path::new("--settings"), settings];
        Self::spawn(program, name, &arguments, folder, false)
    }

    /// Starts a stand-in on ports chosen by the kernel and reads the addresses
    /// of its protocol and its control listener.
    pub(super) fn start_fake<S: AsRef<OsStr>>(
        program: &Path,
        name: &str,
        arguments: &[S],
        folder: &Path,
    ) -> Result<(Self, SocketAddr, SocketAddr), DemoError> {
        let mut running = Self::spawn(program, name, arguments, folder, true)?;
        let out = running.child.stdout.take();
        let out = out.ok_or_else(|| DemoError::AddressNotReported(name.to_owned()))?;
        let mut lines = BufReader::new(out).lines();
        let mut address = |word: &str| {
            let line = lines.next().and_then(Result::ok).unwrap_or_default();
            let text = line.strip_prefix(word).map(str::trim);
            text.and_then(|text| text.parse().ok())
                .ok_or_else(|| DemoError::AddressNotReported(name.to_owned()))
        };
        let protocol = address("listening")?;
        let control = address("control")?;
        Ok((running, protocol, control))
    }

    fn spawn<S: AsRef<OsStr>>(
        program: &Path,
        name: &str,
        arguments: &[S],
        folder: &Path,
        piped: bool,
    ) -> Result<Self, DemoError> {
        let io = |error| DemoError::Io("a program can't be started", error);
        let log = folder.join(format!("{name}.log"));
        // A process that was started again goes on in the same log.
        let log = File::options().create(true).append(true).open(log);
        let log = log.map_err(io)?;
        let out = if piped {
            Stdio::piped()
        } else {
            Stdio::from(log.try_clone().map_err(io)?)
        };
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(Stdio::from(log))
            .spawn()
            .map_err(io)?;
        Ok(Self {
            name: name.to_owned(),
            child,
            ended: false,
        })
    }

    /// Process id.
    pub(super) fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal. Until [`Self::ended`] has seen the end, the id belongs to
    /// the child; after it, nothing is sent.
    pub(super) fn signal(&self, signal: Signal) {
        if self.ended {
            return;
        }
        if let Ok(pid) = i32::try_from(self.child.id()) {
            // A child that has ended by itself is not an error here.
            let _ = kill(Pid::from_raw(pid), signal);
        }
    }

    /// How the child ended; `None` while it runs.
    pub(super) fn ended(&mut self) -> Option<ExitStatus> {
        let status = self.child.try_wait().ok().flatten();
        self.ended |= status.is_some();
        status
    }

    fn wait_until(&mut self, until: Instant) {
        while Instant::now() < until {
            if self.ended().is_some() {
                return;
            }
            std::thread::sleep(STOP_POLL);
        }
        println!("{} did not stop in time", self.name);
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        // An id is free for reuse only once the child was waited for, so this
        // can't hit another process.
        if let Ok(None) = self.child.try_wait() {
            let _ = self.child.kill();
        }
        let _ = self.child.wait();
    }
}

/// Ends children in good order: SIGTERM to all, then a wait for each.
pub(super) fn stop(children: Vec<Running>) {
    for child in &children {
        child.signal(Signal::SIGTERM);
    }
    let until = Instant::now() + STOP_TIMEOUT;
    for mut child in children {
        child.wait_until(until);
    }
}

/// The programs, which stand beside the demo's own.
#[derive(Debug)]
pub(super) struct Programs(PathBuf);

impl Programs {
    /// Finds the programs.
    pub(super) fn find() -> Result<Self, DemoError> {
        let own = std::env::current_exe()
            .map_err(|error| DemoError::Io("the demo's own program", error))?;
        let mut folder = own.parent().unwrap_or(Path::new("."));
        if folder.ends_with("deps") {
            // A test's program stands one folder below the others.
            folder = folder.parent().unwrap_or(folder);
        }
        let programs = Self(folder.to_owned());
        let needed = [
            "sesame-entry",
            "sesame-agent",
            "sesamectl",
            "fake-platform",
            "fake-engine",
            "fake-store",
            "fake-service",
        ];
        let missing: Vec<PathBuf> = needed
            .iter()
            .map(|name| programs.path(name))
            .filter(|path| !path.is_file())
            .collect();
        if missing.is_empty() {
            Ok(programs)
        } else {
            Err(DemoError::MissingPrograms(missing))
        }
    }

    /// Where one program is.
    pub(super) fn path(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }
}
