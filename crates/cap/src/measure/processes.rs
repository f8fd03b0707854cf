//! Real processes on loopback: start, look at, end.

use super::clock::{processor_us, resident_bytes};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde::Serialize;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// How long a child may take to end after SIGTERM.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);
const STOP_POLL: Duration = Duration::from_millis(20);

/// Folder for settings and logs; removed when dropped.
#[derive(Debug)]
pub struct Folder(PathBuf);

impl Folder {
    /// A new folder of this process.
    ///
    /// # Errors
    ///
    /// When it can't be made.
    pub fn new(name: &str) -> io::Result<Self> {
        let name = format!("sesame-capacity-{}-{name}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path)?;
        Ok(Self(path))
    }

    /// Writes a file in JSON and tells where it is.
    ///
    /// # Errors
    ///
    /// When it can't be written.
    pub fn write<S: Serialize>(&self, name: &str, value: &S) -> io::Result<PathBuf> {
        let path = self.0.join(name);
        fs::write(&path, serde_json::to_vec(value)?)?;
        Ok(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        // Left-over logs in the temporary folder do no harm.
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A program beside this one.
pub fn program(name: &str) -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    own.parent().unwrap_or(Path::new(".")).join(name)
}

/// One child process, ended by its own id when dropped.
#[derive(Debug)]
pub struct Process(Child);

impl Process {
    /// Starts a program; what it prints goes to a file of the folder.
    ///
    /// # Errors
    ///
    /// When it can't be started.
    pub fn start(name: &str, settings: &Path, folder: &Folder) -> io::Result<Self> {
        let log = File::create(folder.0.join(format!(
            "{}.log",
            settings.file_stem().unwrap_or_default().to_string_lossy()
        )))?;
        let child = Command::new(program(name))
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Self(child))
    }

    /// Starts a stand-in and reads the addresses of its listeners.
    ///
    /// # Errors
    ///
    /// When it can't be started or tells no address.
    pub fn start_fake(name: &str) -> io::Result<(Self, String, String)> {
        let mut child = Command::new(program(name))
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()?;
        let out = child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?;
        let mut lines = BufReader::new(out).lines();
        let mut address = |word: &str| {
            let line = lines.next().and_then(Result::ok).unwrap_or_default();
            let text = line.strip_prefix(word).map(|text| text.trim().to_owned());
            text.ok_or(io::ErrorKind::InvalidData)
        };
        let (listen, control) = (address("listening"), address("control"));
        let process = Self(child);
        Ok((process, listen?, control?))
    }

    /// Its process id.
    pub fn id(&self) -> String {
        self.0.id().to_string()
    }

    /// Resident memory, in bytes.
    pub fn resident_bytes(&self) -> u64 {
        resident_bytes(&self.id())
    }

    /// Processor time so far, in microseconds.
    pub fn processor_us(&self) -> u64 {
        processor_us(&self.id())
    }

    /// Stops it where it stands, with all its connections open.
    pub fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Lets it go on.
    pub fn thaw(&self) {
        self.signal(Signal::SIGCONT);
    }

    fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    fn signal(&self, signal: Signal) {
        if let Ok(id) = i32::try_from(self.0.id()) {
            // A child that has ended by itself is not an error here.
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

/// Ends processes in good order.
pub fn stop(mut processes: Vec<Process>) {
    processes.iter().for_each(Process::terminate);
    let until = Instant::now() + STOP_TIMEOUT;
    for process in &mut processes {
        while Instant::now() < until && matches!(process.0.try_wait(), Ok(None)) {
            std::thread::sleep(STOP_POLL);
        }
    }
}

/// Text that an HTTP listener answers with.
///
/// # Errors
///
/// When it can't be reached.
pub fn get(address: &str, path: &str) -> io::Result<String> {
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

/// Bytes that a process sent and received over its connections, other than those
/// to one address, as the kernel's socket table tells; `None` where the program
/// that reads the table is not installed.
pub fn link_bytes(process: &str, other_than: &str) -> Option<(u64, u64)> {
    let done = Command::new("ss").args(["-tinpHO"]).output().ok()?;
    let text = String::from_utf8_lossy(&done.stdout).into_owned();
    let owner = format!("pid={process},");
    let lines = text
        .lines()
        .filter(|line| line.contains(&owner) && !line.contains(other_than));
    let sum = |word: &str| {
        let of = |line: &str| {
            let rest = line.split_once(word)?.1;
            rest.split_whitespace().next()?.parse::<u64>().ok()
        };
        lines.clone().filter_map(of).sum()
    };
    Some((sum("bytes_sent:"), sum("bytes_received:")))
}
