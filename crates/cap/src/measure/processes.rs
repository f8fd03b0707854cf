//! Starts, inspects and stops real processes on loopback.

use super::sampling::{cpu_time_us, resident_bytes};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde::Serialize;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// How long to wait for a child to end after SIGTERM.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);
const STOP_POLL: Duration = Duration::from_millis(20);

/// Temporary directory for settings and logs, removed on drop.
#[derive(Debug)]
pub struct TempDir(PathBuf);

impl TempDir {
    /// Creates the directory.
    ///
    /// # Errors
    ///
    /// The directory can't be created.
    pub fn new(name: &str) -> io::Result<Self> {
        let name = format!("sesame-capacity-{}-{name}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path)?;
        Ok(Self(path))
    }

    /// Writes a value as a JSON file and returns its path.
    ///
    /// # Errors
    ///
    /// The file can't be written.
    pub fn write<S: Serialize>(&self, name: &str, value: &S) -> io::Result<PathBuf> {
        let path = self.0.join(name);
        fs::write(&path, serde_json::to_vec(value)?)?;
        Ok(path)
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        // Files left in the temporary directory do no harm.
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Path of a program in the directory of this one.
pub fn sibling_program(name: &str) -> PathBuf {
    let executable = std::env::current_exe().unwrap_or_default();
    executable.parent().unwrap_or(Path::new(".")).join(name)
}

/// A child process, killed on drop.
#[derive(Debug)]
pub struct Process(Child);

impl Process {
    /// Starts a program with its settings; its output goes to a log file in the
    /// directory.
    ///
    /// # Errors
    ///
    /// The program can't be started.
    pub fn start(name: &str, settings: &Path, directory: &TempDir) -> io::Result<Self> {
        let log = File::create(directory.0.join(format!(
            "{}.log",
            settings.file_stem().unwrap_or_default().to_string_lossy()
        )))?;
        let child = Command::new(sibling_program(name))
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Self(child))
    }

    /// Starts a fake service and reads the addresses of its service and control
    /// listeners from its output.
    ///
    /// # Errors
    ///
    /// The program can't be started, or it prints no address.
    pub fn start_fake(name: &str) -> io::Result<(Self, String, String)> {
        let mut child = Command::new(sibling_program(name))
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()?;
        let stdout = child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?;
        let mut lines = BufReader::new(stdout).lines();
        let mut address = |label: &str| {
            let line = lines.next().and_then(Result::ok).unwrap_or_default();
            let text = line.strip_prefix(label).map(|text| text.trim().to_owned());
            text.ok_or(io::ErrorKind::InvalidData)
        };
        let (listen, control) = (address("listening"), address("control"));
        let process = Self(child);
        Ok((process, listen?, control?))
    }

    /// Process id.
    pub fn id(&self) -> String {
        self.0.id().to_string()
    }

    /// Resident memory, in bytes.
    pub fn resident_bytes(&self) -> u64 {
        resident_bytes(&self.id())
    }

    /// CPU time so far, in microseconds.
    pub fn cpu_time_us(&self) -> u64 {
        cpu_time_us(&self.id())
    }

    /// Pauses the process by SIGSTOP; its connections stay open.
    pub fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Resumes the paused process.
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    fn signal(&self, signal: Signal) {
        if let Ok(id) = i32::try_from(self.0.id()) {
            // An error means that the child has already ended.
            let _ = kill(Pid::from_raw(id), signal);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Ok(None) = self.0.try_wait() {
            let _ = self.0.kill();
        }
        let _ = self.0.wait();
    }
}

/// Terminates processes by SIGTERM and waits until they end; those that don't
/// end in time are killed when they are dropped.
pub fn stop_all(mut processes: Vec<Process>) {
    processes.iter().for_each(Process::terminate);
    let deadline = Instant::now() + STOP_TIMEOUT;
    for process in &mut processes {
        while Instant::now() < deadline && matches!(process.0.try_wait(), Ok(None)) {
            std::thread::sleep(STOP_POLL);
        }
    }
}

/// Sends a GET request and returns the body of the response.
///
/// # Errors
///
/// The listener can't be reached, or the connection breaks.
pub fn http_get(address: &str, path: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    write!(
        stream,
        "GET {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n\r\n"
    )?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    let body = text.split_once("\r\n\r\n").map(|(_, body)| body);
    Ok(body.unwrap_or_default().to_owned())
}

/// Bytes that a process sent and received over its TCP connections, without
/// those to one address, from the kernel's socket table; `None` if `ss`, which
/// reads the table, is not installed.
pub fn socket_bytes(process: &str, excluded_address: &str) -> Option<(u64, u64)> {
    let output = Command::new("ss").args(["-tinpHO"]).output().ok()?;
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let owner = format!("pid={process},");
    let lines = text
        .lines()
        .filter(|line| line.contains(&owner) && !line.contains(excluded_address));
    let sum_of = |label: &str| {
        let counter = |line: &str| {
            let rest = line.split_once(label)?.1;
            rest.split_whitespace().next()?.parse::<u64>().ok()
        };
        lines.clone().filter_map(counter).sum()
    };
    Some((sum_of("bytes_sent:"), sum_of("bytes_received:")))
}
