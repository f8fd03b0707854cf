//! Child processes, each ended by its own process id.

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::ffi::OsStr;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
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
}

impl Running {
    /// Starts a program with its output in `<folder>/<name>.log`.
    pub(super) fn start<S: AsRef<OsStr>>(
        program: &Path,
        name: &str,
        arguments: &[S],
        folder: &Path,
    ) -> Result<Self, DemoError> {
        Self::spawn(program, name, arguments, folder, false)
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
        let out = out.ok_or_else(|| DemoError::NoAddress(name.to_owned()))?;
        let mut lines = BufReader::new(out).lines();
        let mut address = |word: &str| {
            let line = lines.next().and_then(Result::ok).unwrap_or_default();
            let text = line.strip_prefix(word).map(str::trim);
            text.and_then(|text| text.parse().ok())
                .ok_or_else(|| DemoError::NoAddress(name.to_owned()))
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
        let log = File::create(folder.join(format!("{name}.log"))).map_err(io)?;
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
        })
    }

    fn terminate(&self) {
        if let Ok(pid) = i32::try_from(self.child.id()) {
            // A child that has ended by itself is not an error here.
            let _ = kill(Pid::from_raw(pid), Signal::SIGTERM);
        }
    }

    fn wait_until(&mut self, until: Instant) {
        while Instant::now() < until {
            if !matches!(self.child.try_wait(), Ok(None)) {
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
        child.terminate();
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
        let programs = Self(own.parent().unwrap_or(Path::new(".")).to_owned());
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
            Err(DemoError::Missing(missing))
        }
    }

    /// Where one program is.
    pub(super) fn path(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }
}
