//! Temporary directory of a deployment.

use serde::Serialize;
use std::fs;
use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};

use super::DemoError;

/// Directory for settings and logs, removed when dropped unless `keep` is set.
#[derive(Debug)]
pub(super) struct TempDirectory {
    pub(super) path: PathBuf,
    pub(super) keep: bool,
}

/// Number of directories that this process has created, for unique names.
static CREATED_COUNT: AtomicU32 = AtomicU32::new(0);

impl TempDirectory {
    /// Creates a directory with a unique name.
    pub(super) fn new(keep: bool) -> Result<Self, DemoError> {
        let index = CREATED_COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("sesame-demo-{}-{index}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path)
            .map_err(|error| DemoError::Io("creating a temporary directory", error))?;
        Ok(Self { path, keep })
    }

    /// Writes a JSON file and returns its path.
    pub(super) fn write<S: Serialize>(
        &self,
        name: &str,
        value: &S,
    ) -> Result<PathBuf, DemoError> {
        let text = serde_json::to_string_pretty(value).map_err(io::Error::other);
        let text =
            text.map_err(|error| DemoError::Io("encoding a file as JSON", error))?;
        self.write_text(name, &text)
    }

    /// Writes a text file and returns its path.
    pub(super) fn write_text(
        &self,
        name: &str,
        text: &str,
    ) -> Result<PathBuf, DemoError> {
        let file = self.path.join(name);
        fs::write(&file, text)
            .map_err(|error| DemoError::Io("writing a file", error))?;
        Ok(file)
    }
}

impl Drop for TempDirectory {
    fn drop(&mut self) {
        if !self.keep {
            // Files left in the temporary directory are harmless.
            let _ = fs::remove_dir_all(&self.path);
        }
    }
}
