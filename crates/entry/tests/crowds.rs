//! Crowds of callers that take memory and descriptors of the program, and rest.
//!
//! The tests check what doesn't depend on the speed of the machine: the process lives,
//! stays within the limits of its settings, and answers afterwards. One runs at a time.

use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::Duration;

/// Memory and descriptors that the settings allow.
const MEMORY_MIB: usize = 120;
const DESCRIPTORS_MAX: usize = 200;

/// Number of callers: with a body of the largest size each, nearly twice the memory.
const CALLERS: usize = 220;

/// Largest body by default, in bytes.
const BODY_MAX_BYTES: usize = 1 << 20;

/// Time for which the entry reads what a crowd has sent.
const REST: Duration = Duration::from_secs(3);

/// Longest time to wait for anything; only a failing test waits that long.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Held by the test that runs.
static TURN: Mutex<()> = Mutex::new(());

/// A running entry without a platform, so without a configuration.
struct Entry {
    child: Child,
    callers: SocketAddr,
}

impl Drop for Entry {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Entry {
    fn start(name: &str, limits: &str) -> Self {
        let settings = format!(
            r#"{{ "id": "entry-1", "failure_domain": "east", {limits}
                "caller_listen": "127.0.0.1:0", "link_listen": "127.0.0.1:0",
                "operator_listen": "127.0.0.1:0", "platform": "127.0.0.1:1" }}"#
        );
        let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::write(&file, settings).expect("the directory can be written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_sesame-entry"))
            .arg("--settings")
            .arg(file)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let errors = child.stderr.take().expect("stderr is piped");
        let mut lines = BufReader::new(errors).lines().map_while(Result::ok);
        let line = lines.find(|line| line.contains("serves callers on "));
        let line = line.expect("the program serves callers");
        let address = line.rsplit(' ').next().expect("an address");
        let callers = address.parse().expect("an address");
        // The pipe is read until the program ends, so that it can go on logging.
        std::thread::spawn(move || lines.for_each(drop));
        Self { child, callers }
    }

    /// Opens connections and writes these bytes to each.
    fn crowd(&self, bytes: &[u8]) -> Vec<TcpStream> {
        let connect = |_| {
            let mut stream = TcpStream::connect(self.callers).ok()?;
            let timeout = Some(Duration::from_secs(1));
            stream.set_write_timeout(timeout).expect("a timeout");
            // The entry need not read all of it.
            let _ = stream.write_all(bytes);
            Some(stream)
        };
        (0..CALLERS).filter_map(connect).collect()
    }

    /// Checks that the process lives and answers, and was within its limits.
    fn assert_withstood(&mut self) {
        let ended = self.child.try_wait().expect("a child process");
        assert_eq!(ended, None, "the process has ended");
        let id = self.child.id();
        let status = fs::read_to_string(format!("/proc/{id}/status"));
        let status = status.expect("the process runs");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak = peak.and_then(|line| line.split_whitespace().next());
        let peak_kib: usize = peak.and_then(|kib| kib.parse().ok()).expect("a size");
        let descriptors = fs::read_dir(format!("/proc/{id}/fd"));
        let descriptors = descriptors.expect("the process runs").count();
        println!("{} MiB, {descriptors} descriptors", peak_kib >> 10);
        assert!(peak_kib >> 10 < MEMORY_MIB, "{peak_kib} KiB");
        assert!(descriptors <= DESCRIPTORS_MAX, "{descriptors} descriptors");
        assert!(self.answers(), "no answer to an ordinary request");
    }

    /// Whether an ordinary request is answered, of a caller that comes back when its
    /// connection is closed.
    fn answers(&self) -> bool {
        let started = std::time::Instant::now();
        while started.elapsed() < WAIT_TIMEOUT {
            if self.answer().starts_with("HTTP/1.1 ") {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    fn answer(&self) -> String {
        let Ok(mut stream) = TcpStream::connect(self.callers) else {
            return String::new();
        };
        let request =
            b"GET /v1/models HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let timeout = Some(WAIT_TIMEOUT);
        stream.set_read_timeout(timeout).expect("a timeout");
        let mut answer = String::new();
        // An answer that can't be read is none.
        let _ = stream
            .write_all(request)
            .and_then(|()| stream.read_to_string(&mut answer));
        answer
    }
}

fn limits() -> String {
    format!(r#""memory_mib": {MEMORY_MIB}, "descriptors_max": {DESCRIPTORS_MAX},"#)
}

/// Guards against a process that reads and holds the bodies of callers that it doesn't
/// know, as many as they begin.
#[test]
fn bodies_of_unknown_callers_stay_within_the_memory() {
    let _turn = TURN
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    let mut entry = Entry::start("bodies.json", &limits());
    let mut request = format!(
        "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: {BODY_MAX_BYTES}\r\n\r\n"
    )
    .into_bytes();
    request.resize(request.len() + BODY_MAX_BYTES - 1, b'x');
    let crowd = entry.crowd(&request);
    std::thread::sleep(REST);
    entry.assert_withstood();
    drop(crowd);
}

/// Guards against connections that rest and take all descriptors.
#[test]
fn resting_connections_leave_descriptors_for_others() {
    let _turn = TURN
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    let mut entry = Entry::start("descriptors.json", &limits());
    let crowd = entry.crowd(b"");
    std::thread::sleep(REST);
    entry.assert_withstood();
    drop(crowd);
}
