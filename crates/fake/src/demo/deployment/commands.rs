//! Commands of `sesamectl` on a deployment.

use std::process::Command;

use super::Deployment;
use crate::demo::DemoError;

/// What `sesamectl` did.
#[derive(Debug, Clone)]
pub struct CommandOutput {
    /// Exit code; -1 if a signal ended it.
    pub exit_code: i32,
    /// What it printed, on standard output and then on standard error.
    pub text: String,
}

impl Deployment {
    /// Publishes a fleet configuration and waits until it is in force; returns
    /// what was printed.
    ///
    /// # Errors
    ///
    /// `sesamectl` failed.
    pub fn publish(&self, fleet: &str) -> Result<String, DemoError> {
        let said = self.publish_with(fleet, &["--wait"])?;
        if said.exit_code == 0 {
            return Ok(said.text);
        }
        Err(DemoError::CommandFailed(said.text))
    }

    /// Publishes a fleet configuration with further options.
    ///
    /// # Errors
    ///
    /// `sesamectl` can't be started.
    pub fn publish_with(
        &self,
        fleet: &str,
        options: &[&str],
    ) -> Result<CommandOutput, DemoError> {
        let file = self.folder.write_text("fleet.jsonc", fleet)?;
        let file = file.to_string_lossy();
        let mut arguments = vec!["publish"];
        arguments.extend(options);
        arguments.push(&file);
        self.sesamectl(&arguments)
    }

    /// The explained time line of one request.
    pub fn timeline(&self, request: &str) -> Option<String> {
        if request.is_empty() {
            return None;
        }
        match self.sesamectl(&["timeline", "--request", request]) {
            Ok(said) => Some(said.text),
            Err(error) => Some(error.to_string()),
        }
    }

    /// Runs a command of `sesamectl` on the deployment's platform.
    ///
    /// # Errors
    ///
    /// It can't be started.
    pub fn sesamectl(&self, arguments: &[&str]) -> Result<CommandOutput, DemoError> {
        let (command, rest) = arguments.split_first().unwrap_or((&"--help", &[]));
        let done = Command::new(self.programs.path("sesamectl"))
            .args([command, "--platform", &self.platform.to_string()])
            .args(rest)
            .output()
            .map_err(|error| DemoError::Io("sesamectl can't be started", error))?;
        let mut text = String::from_utf8_lossy(&done.stdout).into_owned();
        text.push_str(&String::from_utf8_lossy(&done.stderr));
        Ok(CommandOutput {
            exit_code: done.status.code().unwrap_or(-1),
            text,
        })
    }
}
