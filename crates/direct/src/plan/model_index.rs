//! Models by index, with the upstreams that hold them.

use std::collections::HashMap;
use std::sync::Arc;

use super::index_set::IndexSet;

/// Maps model names to dense indices. A plan looks up the same few properties of each
/// model thousands of times, and lookups by name are slow.
#[derive(Debug, Default)]
pub(super) struct ModelIndex {
    indices: HashMap<Arc<str>, usize>,
    names: Vec<Arc<str>>,
    holders: Vec<Vec<usize>>,
    holder_sets: Vec<IndexSet>,
}

impl ModelIndex {
    /// Index of a model; a new one is assigned on first use.
    pub(super) fn intern(&mut self, name: &Arc<str>) -> usize {
        if let Some(index) = self.indices.get(name) {
            return *index;
        }
        let index = self.names.len();
        self.indices.insert(Arc::clone(name), index);
        self.names.push(Arc::clone(name));
        self.holders.push(Vec::new());
        self.holder_sets.push(IndexSet::default());
        index
    }

    /// Index of a model that has one.
    pub(super) fn index_of(&self, name: &str) -> Option<usize> {
        self.indices.get(name).copied()
    }

    pub(super) const fn len(&self) -> usize {
        self.names.len()
    }

    pub(super) fn name(&self, model: usize) -> &Arc<str> {
        &self.names[model]
    }

    pub(super) fn names(&self) -> &[Arc<str>] {
        &self.names
    }

    /// Upstreams that hold the model or will hold it after the planned loads.
    pub(super) fn holders(&self, model: usize) -> &[usize] {
        &self.holders[model]
    }

    pub(super) fn holder_set(&self, model: usize) -> &IndexSet {
        &self.holder_sets[model]
    }

    /// Number of upstreams that hold the model or will hold it after the planned loads.
    pub(super) fn copy_count(&self, model: usize) -> usize {
        self.holders[model].len()
    }

    pub(super) fn add_copy(&mut self, model: usize, upstream: usize) {
        self.holders[model].push(upstream);
        self.holder_sets[model].insert(upstream);
    }

    pub(super) fn remove_copy(&mut self, model: usize, upstream: usize) {
        self.holders[model].retain(|holder| *holder != upstream);
        self.holder_sets[model].remove(upstream);
    }
}
