//! The ends, restarts and readiness of a deployment's processes.

use nix::sys::signal::Signal;
use std::process::ExitStatus;
use std::time::Duration;
use tokio::time::Instant;

use super::Deployment;
use crate::demo::DemoError;
use crate::demo::children::{Running, stop};
use crate::demo::probe::ProbeClient;

/// How long the processes may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
const READY_POLL: Duration = Duration::from_millis(50);

impl Deployment {
    /// Starts a process of the system that has ended once more, with its
    /// settings and ports.
    ///
    /// # Errors
    ///
    /// There is no such process, or it does not start.
    pub fn restart(&mut self, id: &str) -> Result<(), DemoError> {
        let process = self.system.get_mut(id);
        let process =
            process.ok_or_else(|| DemoError::UnknownProcess(id.to_owned()))?;
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
        let process =
            process.ok_or_else(|| DemoError::UnknownProcess(id.to_owned()))?;
        process.running.signal(signal);
        Ok(())
    }

    /// Waits until a process of the system has ended by itself.
    ///
    /// # Errors
    ///
    /// It still runs after the time given, or there is no such process.
    pub async fn wait_exited(
        &mut self,
        id: &str,
        bound: Duration,
    ) -> Result<ExitStatus, DemoError> {
        let process = self.system.get_mut(id);
        let process =
            process.ok_or_else(|| DemoError::UnknownProcess(id.to_owned()))?;
        let until = Instant::now() + bound;
        loop {
            if let Some(status) = process.running.ended() {
                return Ok(status);
            }
            if Instant::now() >= until {
                return Err(DemoError::ExitTimeout(id.to_owned()));
            }
            tokio::time::sleep(READY_POLL).await;
        }
    }

    /// Waits until every process says that it is ready.
    ///
    /// # Errors
    ///
    /// Some are not ready after a minute.
    pub async fn wait_ready(&self) -> Result<(), DemoError> {
        let probe = ProbeClient::new();
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
                return Err(DemoError::ReadyTimeout(waiting, self.folder.path.clone()));
            }
            tokio::time::sleep(READY_POLL).await;
        }
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
