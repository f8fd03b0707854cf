//! Models by number, with who holds them.

use std::collections::HashMap;
use std::sync::Arc;

use super::bits::Bits;

/// Models by number: a plan asks for the same few facts of each model thousands of
/// times, and names are slow to find.
#[derive(Debug, Default)]
pub(super) struct Models {
    numbers: HashMap<Arc<str>, usize>,
    names: Vec<Arc<str>>,
    holders: Vec<Vec<usize>>,
    held_by: Vec<Bits>,
}

impl Models {
    /// The number of a model, which is given one if it has none.
    pub(super) fn number(&mut self, name: &Arc<str>) -> usize {
        if let Some(number) = self.numbers.get(name) {
            return *number;
        }
        let number = self.names.len();
        self.numbers.insert(Arc::clone(name), number);
        self.names.push(Arc::clone(name));
        self.holders.push(Vec::new());
        self.held_by.push(Bits::default());
        number
    }

    /// The number of a model that has one.
    pub(super) fn known(&self, name: &str) -> Option<usize> {
        self.numbers.get(name).copied()
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

    pub(super) fn held_by(&self, model: usize) -> &Bits {
        &self.held_by[model]
    }

    pub(super) fn copies(&self, model: usize) -> usize {
        self.holders[model].len()
    }

    pub(super) fn hold(&mut self, model: usize, spot: usize) {
        self.holders[model].push(spot);
        self.held_by[model].insert(spot);
    }

    pub(super) fn drop_copy(&mut self, model: usize, spot: usize) {
        self.holders[model].retain(|holder| *holder != spot);
        self.held_by[model].remove(spot);
    }
}
