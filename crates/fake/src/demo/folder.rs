//! A deployment's folder.

use serde::Serialize;
use std::fs;
use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};

use super::DemoError;

/// Folder for settings and logs, removed when dropped.
#[derive(Debug)]
pub(super) struct Folder {
    pub(super) path: PathBuf,
    pub(super) keep: bool,
}

/// Folders made by this process.
static MADE: AtomicU32 = AtomicU32::new(0);

impl Folder {
    /// Makes a folder of its own.
    pub(super) fn new(keep: bool) -> Result<Self, DemoError> {
        let place = MADE.fetch_add(1, Ordering::Relaxed);
        let name = format!("sesame-demo-{}-{place}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path)
            .map_err(|error| DemoError::Io("no temporary folder", error))?;
        Ok(Self { path, keep })
    }

    /// Writes a file in JSON and returns where it is.
    pub(super) fn write<S: Serialize>(
        &self,
        name: &str,
        value: &S,
    ) -> Result<PathBuf, DemoError> {
        let text = serde_json::to_string_pretty(value).map_err(io::Error::other);
        let text = text.map_err(|error| DemoError::Io("a file's text", error))?;
        self.write_text(name, &text)
    }

    /// Writes a file and returns where it is.
    pub(super) fn write_text(
        &self,
        name: &str,
        text: &str,
    ) -> Result<PathBuf, DemoError> {
        let file = self.path.join(name);
        fs::write(&file, text)
            .map_err(|error| DemoError::Io("a file can't be written", error))?;
        Ok(file)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if !self.keep {
            // Left-over logs in the temporary folder do no harm.
            let _ = fs::remove_dir_all(&self.path);
        }
    }
}
