//! Child processes, each signalled only by its own process id.

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

/// Time that a child may take to exit after SIGTERM.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval at which a child that received SIGTERM is polled.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A child process, killed when dropped.
#[derive(Debug)]
pub(super) struct ChildProcess {
    name: String,
    child: Child,
    exited: bool,
}

impl ChildProcess {
    /// Starts a program of the system and appends its output to
    /// `<directory>/<name>.log`.
    pub(super) fn start_system(
        program: &Path,
        name: &str,
        settings: &Path,
        directory: &Path,
    ) -> Result<Self, DemoError> {
        let arguments = [Path::new("--settings"), settings];
        Self::spawn(program, name, &arguments, directory, false)
    }

    /// Starts a stand-in on ports chosen by the kernel and reads the addresses of its
    /// protocol listener and its control listener from its output.
    pub(super) fn start_stand_in<S: AsRef<OsStr>>(
        program: &Path,
        name: &str,
        arguments: &[S],
        directory: &Path,
    ) -> Result<(Self, SocketAddr, SocketAddr), DemoError> {
        let mut process = Self::spawn(program, name, arguments, directory, true)?;
        let out = process.child.stdout.take();
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
        Ok((process, protocol, control))
    }

    fn spawn<S: AsRef<OsStr>>(
        program: &Path,
        name: &str,
        arguments: &[S],
        directory: &Path,
        pipe_stdout: bool,
    ) -> Result<Self, DemoError> {
        let io = |error| DemoError::Io("starting a program", error);
        let log = directory.join(format!("{name}.log"));
        // A restarted process appends to the log of its predecessor.
        let log = File::options().create(true).append(true).open(log);
        let log = log.map_err(io)?;
        let out = if pipe_stdout {
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
            exited: false,
        })
    }

    /// Returns the process id.
    pub(super) fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, unless [`Self::try_wait`] has reaped the child. Until then the id
    /// can't belong to another process.
    pub(super) fn signal(&self, signal: Signal) {
        if self.exited {
            return;
        }
        if let Ok(pid) = i32::try_from(self.child.id()) {
            // Fails if the child has exited by itself, which is not an error.
            let _ = kill(Pid::from_raw(pid), signal);
        }
    }

    /// Returns the child's exit status, or `None` while it runs.
    pub(super) fn try_wait(&mut self) -> Option<ExitStatus> {
        let status = self.child.try_wait().ok().flatten();
        self.exited |= status.is_some();
        status
    }

    fn wait_for_exit(&mut self, deadline: Instant) {
        while Instant::now() < deadline {
            if self.try_wait().is_some() {
                return;
            }
            std::thread::sleep(STOP_POLL_INTERVAL);
        }
        println!("{} did not exit within the time limit", self.name);
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        // The id is not reused before the child is waited for, so the signal can't
        // reach another process.
        if let Ok(None) = self.child.try_wait() {
            let _ = self.child.kill();
        }
        let _ = self.child.wait();
    }
}

/// Stops children gracefully: sends SIGTERM to all, then waits for each. Those that
/// exceed the time limit are killed when dropped.
pub(super) fn stop_all(children: Vec<ChildProcess>) {
    for child in &children {
        child.signal(Signal::SIGTERM);
    }
    let deadline = Instant::now() + STOP_TIMEOUT;
    for mut child in children {
        child.wait_for_exit(deadline);
    }
}

/// Directory of the demo's own executable, which holds the other programs too.
#[derive(Debug)]
pub(super) struct ProgramDirectory(PathBuf);

impl ProgramDirectory {
    /// Finds the directory and checks that all programs are in it.
    pub(super) fn find() -> Result<Self, DemoError> {
        let own = std::env::current_exe().map_err(|error| {
            DemoError::Io("finding the path of the running program", error)
        })?;
        let mut directory = own.parent().unwrap_or(Path::new("."));
        if directory.ends_with("deps") {
            // Cargo puts test executables one directory below the programs.
            directory = directory.parent().unwrap_or(directory);
        }
        let programs = Self(directory.to_owned());
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

    /// Returns the path of a program.
    pub(super) fn path(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }
}
