//! Workspaces and their keys.

use quota::Allowance;
use snafu::Snafu;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use crate::KeyDigest;
use crate::credential::is_key;

/// Longest name of a workspace. The name is sent in a header, used as a metric label
/// and contained in datagrams.
const NAME_MAX_BYTES: usize = 128;

/// A group of callers, identified by their keys, that share a priority and a quota.
#[derive(Debug, Clone, PartialEq)]
pub struct Workspace {
    /// Name, which is sent to upstreams.
    pub name: Arc<str>,
    /// Priority of its requests, 0 is the highest. Takes precedence over the priority
    /// of a route.
    pub priority: Option<u32>,
    /// What it may use over all entries; `None` if unlimited.
    pub allowance: Option<Allowance>,
}

/// Workspaces by key and by name.
///
/// Its `Debug` output contains no key: it stores digests only, and these are not
/// printed.
#[derive(Debug, Clone, Default)]
pub struct WorkspaceDirectory {
    by_key: HashMap<KeyDigest, Arc<Workspace>>,
    by_name: BTreeMap<Arc<str>, Arc<Workspace>>,
}

/// Why a configuration's workspaces are rejected. No variant contains a key.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum WorkspaceDirectoryError {
    /// Two workspaces have the same name.
    #[snafu(display("5005 duplicate_name: workspace {name} is listed twice"))]
    DuplicateName {
        /// Name of the workspace.
        name: String,
    },
    /// The name can't be sent in a header.
    #[snafu(display(
        "5008 out_of_range: workspace {name:?}: a name has 1 to {NAME_MAX_BYTES} visible ASCII characters"
    ))]
    BadName {
        /// Name of the workspace.
        name: String,
    },
    /// A key can't be sent in a header.
    #[snafu(display(
        "5008 out_of_range: workspace {name}: key {index} can't be sent in a header"
    ))]
    BadKey {
        /// Name of the workspace.
        name: String,
        /// Index of the key in the workspace's list, from 0.
        index: usize,
    },
    /// Two workspaces have the same key.
    #[snafu(display(
        "5005 duplicate_name: workspace {name}: key {index} also belongs to workspace {other}"
    ))]
    SharedKey {
        /// Name of the workspace.
        name: String,
        /// Index of the key in the workspace's list, from 0.
        index: usize,
        /// Name of the other workspace.
        other: String,
    },
}

impl WorkspaceDirectory {
    /// Creates a directory without workspaces.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a workspace with its keys. A workspace without keys can be found by name,
    /// but no caller belongs to it. A key that the list contains twice counts once.
    ///
    /// # Errors
    ///
    /// Fails if the name is already in use or can't be sent in a header, or if a key
    /// belongs to another workspace or can't be sent in a header.
    pub fn add<'a>(
        &mut self,
        workspace: Workspace,
        keys: impl IntoIterator<Item = &'a str>,
    ) -> Result<(), WorkspaceDirectoryError> {
        let name = workspace.name.to_string();
        if !is_name(&name) {
            return BadNameSnafu { name }.fail();
        }
        if self.by_name.contains_key(&workspace.name) {
            return DuplicateNameSnafu { name }.fail();
        }
        let workspace = Arc::new(workspace);
        for (index, key) in keys.into_iter().enumerate() {
            if !is_key(key) {
                return BadKeySnafu { name, index }.fail();
            }
            let previous = self
                .by_key
                .insert(KeyDigest::of(key), Arc::clone(&workspace));
            if let Some(other) = previous.filter(|other| other.name != workspace.name) {
                let other = other.name.to_string();
                return SharedKeySnafu { name, index, other }.fail();
            }
        }
        self.by_name.insert(Arc::clone(&workspace.name), workspace);
        Ok(())
    }

    /// Finds the workspace of a key.
    pub fn by_key(&self, key: &KeyDigest) -> Option<&Arc<Workspace>> {
        self.by_key.get(key)
    }

    /// Finds a workspace by name.
    pub fn by_name(&self, name: &str) -> Option<&Arc<Workspace>> {
        self.by_name.get(name)
    }

    /// All workspaces, ordered by name.
    pub fn workspaces(&self) -> impl Iterator<Item = &Arc<Workspace>> {
        self.by_name.values()
    }
}

fn is_name(name: &str) -> bool {
    let is_allowed = name.bytes().all(|byte| byte.is_ascii_graphic());
    is_allowed && !name.is_empty() && name.len() <= NAME_MAX_BYTES
}
