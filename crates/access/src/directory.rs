//! Workspaces and their keys.

use quota::Allowance;
use snafu::Snafu;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use crate::KeyDigest;
use crate::credential::is_key;

/// Longest name of a workspace: it is a header's value, a metric's label and a part
/// of datagrams.
const NAME_MAX_BYTES: usize = 128;

/// Callers who are known by their keys and judged together.
#[derive(Debug, Clone, PartialEq)]
pub struct Workspace {
    /// Name, which upstreams are told.
    pub name: Arc<str>,
    /// Rank of its requests, 0 the highest; it goes before the rank of a route.
    pub priority: Option<u32>,
    /// What it may use over all entries; `None` without a bound.
    pub allowance: Option<Allowance>,
}

/// Workspaces by key.
///
/// Its `Debug` form has no key, as it has digests only and these don't show.
#[derive(Debug, Clone, Default)]
pub struct WorkspaceDirectory {
    by_key: HashMap<KeyDigest, Arc<Workspace>>,
    by_name: BTreeMap<Arc<str>, Arc<Workspace>>,
}

/// Why workspaces can't be taken over. None of them shows a key.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum WorkspaceDirectoryError {
    /// Two workspaces have one name.
    #[snafu(display("5005 duplicate_name: workspace {name} stands twice"))]
    DuplicateName {
        /// Name.
        name: String,
    },
    /// A header can't carry a name.
    #[snafu(display(
        "5008 out_of_range: workspace {name:?}: a name has 1 to {NAME_MAX_BYTES} visible ASCII characters"
    ))]
    BadName {
        /// Name.
        name: String,
    },
    /// A header can't carry a key.
    #[snafu(display(
        "5008 out_of_range: workspace {name}: key {index} can't be sent in a header"
    ))]
    BadKey {
        /// Workspace.
        name: String,
        /// Place of the key in its list, from 0.
        index: usize,
    },
    /// Two workspaces have one key.
    #[snafu(display(
        "5005 duplicate_name: workspace {name}: key {index} is one of workspace {other} as well"
    ))]
    SharedKey {
        /// Workspace.
        name: String,
        /// Place of the key in its list, from 0.
        index: usize,
        /// The other workspace.
        other: String,
    },
}

impl WorkspaceDirectory {
    /// No workspace, so no key is known.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a workspace with its keys. One without keys is there, and nobody can call
    /// in its name; a key that its own list has twice counts once.
    ///
    /// # Errors
    ///
    /// Its name stands already or can't be a header's value, or a key belongs to
    /// another workspace or can't be sent.
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
            let before = self
                .by_key
                .insert(KeyDigest::of(key), Arc::clone(&workspace));
            if let Some(other) = before.filter(|other| other.name != workspace.name) {
                let other = other.name.to_string();
                return SharedKeySnafu { name, index, other }.fail();
            }
        }
        self.by_name.insert(Arc::clone(&workspace.name), workspace);
        Ok(())
    }

    /// The workspace that holds a key.
    pub fn by_key(&self, key: &KeyDigest) -> Option<&Arc<Workspace>> {
        self.by_key.get(key)
    }

    /// The workspace of a name.
    pub fn by_name(&self, name: &str) -> Option<&Arc<Workspace>> {
        self.by_name.get(name)
    }

    /// All workspaces, by name.
    pub fn workspaces(&self) -> impl Iterator<Item = &Arc<Workspace>> {
        self.by_name.values()
    }
}

fn is_name(name: &str) -> bool {
    let fits = name.bytes().all(|byte| byte.is_ascii_graphic());
    fits && !name.is_empty() && name.len() <= NAME_MAX_BYTES
}
