//! Readiness, signals, restarts and shutdown of a deployment's processes.

use nix::sys::signal::Signal;
use std::process::ExitStatus;
use std::time::Duration;
use tokio::time::Instant;

use super::Deployment;
use crate::demo::DemoError;
use crate::demo::child_process::{ChildProcess, stop_all};
use crate::demo::probe::ProbeClient;

/// Time that the processes may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// Interval at which readiness and exit are polled.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);

impl Deployment {
    /// Restarts a process of the system that has exited, with the same settings and
    /// ports.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such process or it can't be started.
    pub fn restart(&mut self, id: &str) -> Result<(), DemoError> {
        let process = self.system_processes.get_mut(id);
        let process =
            process.ok_or_else(|| DemoError::UnknownProcess(id.to_owned()))?;
        process.child = ChildProcess::start_system(
            &process.program,
            id,
            &process.settings,
            &self.directory.path,
        )?;
        Ok(())
    }

    /// Sends a signal to a process of the system.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such process.
    pub fn signal(&self, id: &str, signal: Signal) -> Result<(), DemoError> {
        let process = self.system_processes.get(id);
        let process =
            process.ok_or_else(|| DemoError::UnknownProcess(id.to_owned()))?;
        process.child.signal(signal);
        Ok(())
    }

    /// Waits until a process of the system has exited.
    ///
    /// # Errors
    ///
    /// Returns an error if it still runs after `timeout` or there is no such process.
    pub async fn wait_exited(
        &mut self,
        id: &str,
        timeout: Duration,
    ) -> Result<ExitStatus, DemoError> {
        let process = self.system_processes.get_mut(id);
        let process =
            process.ok_or_else(|| DemoError::UnknownProcess(id.to_owned()))?;
        let deadline = Instant::now() + timeout;
        loop {
            if let Some(status) = process.child.try_wait() {
                return Ok(status);
            }
            if Instant::now() >= deadline {
                return Err(DemoError::ExitTimeout(id.to_owned()));
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
    }

    /// Waits until `/readyz` of every process of the system returns 200.
    ///
    /// # Errors
    ///
    /// Returns an error if some are not ready after [`READY_TIMEOUT`].
    pub async fn wait_ready(&self) -> Result<(), DemoError> {
        let probe = ProbeClient::new();
        let deadline = Instant::now() + READY_TIMEOUT;
        loop {
            let mut waiting = Vec::new();
            for (name, address) in &self.operator_addresses {
                let response = probe.get(*address, "/readyz").await;
                if response.is_none_or(|(status, _)| status != 200) {
                    waiting.push(name.clone());
                }
            }
            if waiting.is_empty() {
                return Ok(());
            }
            if Instant::now() >= deadline {
                return Err(DemoError::ReadyTimeout(
                    waiting,
                    self.directory.path.clone(),
                ));
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
    }

    /// Stops all processes gracefully. The system is drained first, since it needs the
    /// stand-ins for that.
    pub fn stop(mut self) {
        let system = std::mem::take(&mut self.system_processes);
        stop_all(system.into_values().map(|process| process.child).collect());
        stop_all(std::mem::take(&mut self.stand_ins).into_values().collect());
        if self.directory.keep {
            println!("settings and logs are in {}", self.directory.path.display());
        }
    }
}
