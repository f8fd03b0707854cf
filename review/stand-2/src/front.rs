//! The project's entry, as a process of its own.

use crate::names::{self, fill, name};
use std::fs;
use std::io::{self, Read, Write};
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const SIGTERM: i32 = 15;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

pub struct Front {
    pub name: String,
    pub ip: IpAddr,
    settings: PathBuf,
    log: PathBuf,
    text: String,
    child: Option<Child>,
}

impl Front {
    pub fn new(folder: &Path, name: &str, zone: &str, ip: IpAddr, store: SocketAddr, seeds: &[IpAddr]) -> Self {
        let seeds: Vec<String> = seeds.iter().map(|ip| format!("\"{ip}:8144\"")).collect();
        let values = [
            ("NAME", name),
            ("ZONE", zone),
            ("IP", &*ip.to_string()),
            ("STORE", &*store.to_string()),
            ("SEEDS", &*seeds.join(",")),
        ];
        Self {
            name: name.to_owned(),
            ip,
            settings: folder.join(format!("{name}.toml")),
            log: folder.join(format!("{name}.log")),
            text: fill(names::SETTINGS, &values),
            child: None,
        }
    }

    pub fn callers(&self) -> SocketAddr {
        SocketAddr::new(self.ip, 8149)
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self, bootstrap: bool) -> io::Result<()> {
        let text = self.text.replace("@BOOTSTRAP@", &bootstrap.to_string());
        fs::write(&self.settings, text)?;
        let log = fs::File::options().create(true).append(true).open(&self.log)?;
        let command = Command::new("target/release/sesame-front")
            .args(["--metrics-port", "9464"])
            .env_clear()
            .env(name("boot"), &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        self.child = Some(command);
        Ok(())
    }

    /// Waits until the process says that it is ready.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if self.is_ready().unwrap_or(false) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    fn is_ready(&self) -> io::Result<bool> {
        is_ready(self.ip)
    }

    /// Asks the process to end, as the platform does.
    pub fn terminate(&self) {
        if let Some(child) = &self.child {
            // SAFETY: the call only sends a signal to a process that was started here and
            // has not been waited for.
            unsafe { kill(child.id().cast_signed(), SIGTERM) };
        }
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        let ended = self.child.as_mut().map(|child| matches!(child.try_wait(), Ok(Some(_))));
        ended.unwrap_or(true)
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        self.kill();
    }
}

/// What the platform asks each second.
pub fn is_ready(ip: IpAddr) -> io::Result<bool> {
    let mut stream = crate::http::connect(SocketAddr::new(ip, 8141))?;
    stream.set_read_timeout(Some(Duration::from_secs(1)))?;
    stream.write_all(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    Ok(text.starts_with("HTTP/1.1 200"))
}
