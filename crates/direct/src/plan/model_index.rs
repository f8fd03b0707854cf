//! Models by number, with who holds them.

use std::collections::HashMap;
use std::sync::Arc;

use super::index_set::IndexSet;

/// Models by number: a plan asks for the same few facts of each model thousands of
/// times, and names are slow to find.
#[derive(Debug, Default)]
pub(super) struct ModelIndex {
    indices: HashMap<Arc<str>, usize>,
    names: Vec<Arc<str>>,
    holders: Vec<Vec<usize>>,
    holder_sets: Vec<IndexSet>,
}

impl ModelIndex {
    /// The number of a model, which is given one if it has none.
    pub(super) fn intern(&mut self, name: &Arc<str>) -> usize {
        if let Some(number) = self.indices.get(name) {
            return *number;
        }
        let number = self.names.len();
        self.indices.insert(Arc::clone(name), number);
        self.names.push(Arc::clone(name));
        self.holders.push(Vec::new());
        self.holder_sets.push(IndexSet::default());
        number
    }

    /// The number of a model that has one.
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

    /// Upstreams that hold a model or will.
    pub(super) fn holders(&self, model: usize) -> &[usize] {
        &self.holders[model]
    }

    pub(super) fn holder_set(&self, model: usize) -> &IndexSet {
        &self.holder_sets[model]
    }

    pub(super) fn copy_count(&self, model: usize) -> usize {
        self.holders[model].len()
    }

    pub(super) fn add_copy(&mut self, model: usize, spot: usize) {
        self.holders[model].push(spot);
        self.holder_sets[model].insert(spot);
    }

    pub(super) fn remove_copy(&mut self, model: usize, spot: usize) {
        self.holders[model].retain(|holder| *holder != spot);
        self.holder_sets[model].remove(spot);
    }
}
