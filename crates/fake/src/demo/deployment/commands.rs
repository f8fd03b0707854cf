//! Runs `sesamectl` commands on a deployment.

use std::process::Command;

use super::Deployment;
use crate::demo::DemoError;

/// Result of a `sesamectl` command.
#[derive(Debug, Clone)]
pub struct CommandOutput {
    /// Exit code, or -1 if a signal killed it.
    pub exit_code: i32,
    /// Standard output followed by standard error.
    pub text: String,
}

impl Deployment {
    /// Publishes a fleet configuration, waits until it is in force and returns the
    /// command's output.
    ///
    /// # Errors
    ///
    /// Returns an error if `sesamectl` can't be started or fails.
    pub fn publish(&self, fleet: &str) -> Result<String, DemoError> {
        let output = self.publish_with(fleet, &["--wait"])?;
        if output.exit_code == 0 {
            return Ok(output.text);
        }
        Err(DemoError::CommandFailed(output.text))
    }

    /// Publishes a fleet configuration with additional command-line options.
    ///
    /// # Errors
    ///
    /// Returns an error if the configuration can't be written to a file or `sesamectl`
    /// can't be started. A failure of `sesamectl` shows in the exit code.
    pub fn publish_with(
        &self,
        fleet: &str,
        options: &[&str],
    ) -> Result<CommandOutput, DemoError> {
        let file = self.directory.write_text("fleet.jsonc", fleet)?;
        let file = file.to_string_lossy();
        let mut arguments = vec!["publish"];
        arguments.extend(options);
        arguments.push(&file);
        self.sesamectl(&arguments)
    }

    /// Returns the explained timeline of a request, or the error as text. Returns `None`
    /// if the request has no id.
    pub fn timeline(&self, request: &str) -> Option<String> {
        if request.is_empty() {
            return None;
        }
        match self.sesamectl(&["timeline", "--request", request]) {
            Ok(output) => Some(output.text),
            Err(error) => Some(error.to_string()),
        }
    }

    /// Runs a `sesamectl` command on the deployment's platform.
    ///
    /// # Errors
    ///
    /// Returns an error if `sesamectl` can't be started.
    pub fn sesamectl(&self, arguments: &[&str]) -> Result<CommandOutput, DemoError> {
        let (command, rest) = arguments.split_first().unwrap_or((&"--help", &[]));
        let done = Command::new(self.programs.path("sesamectl"))
            .args([command, "--platform", &self.platform.to_string()])
            .args(rest)
            .output()
            .map_err(|error| DemoError::Io("starting sesamectl", error))?;
        let mut text = String::from_utf8_lossy(&done.stdout).into_owned();
        text.push_str(&String::from_utf8_lossy(&done.stderr));
        Ok(CommandOutput {
            exit_code: done.status.code().unwrap_or(-1),
            text,
        })
    }
}
