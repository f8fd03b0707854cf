//! Where in a document a value stands.

/// Path of a value, such as `pools.oracle.accelerators_mib[0]`.
///
/// A name with other characters than letters, digits, `-` and `_` is quoted, so
/// that two places never share one path.
#[derive(Debug, Clone, Default)]
pub(crate) struct Path {
    text: String,
    /// Lengths of the paths of the values around this one.
    outer: Vec<usize>,
}

impl Path {
    /// The value under a key of this object.
    pub(crate) fn key(&self, name: &str) -> Self {
        let mut inner = self.step();
        if !inner.text.is_empty() {
            inner.text.push('.');
        }
        if is_plain(name) {
            inner.text.push_str(name);
        } else {
            inner.text.push_str(&format!("{name:?}"));
        }
        inner
    }

    /// The value at an index of this array.
    pub(crate) fn index(&self, index: usize) -> Self {
        let mut inner = self.step();
        inner.text.push_str(&format!("[{index}]"));
        inner
    }

    /// The path as operators read it.
    pub(crate) fn as_str(&self) -> &str {
        &self.text
    }

    /// The path itself and those of the values around it, innermost first.
    pub(crate) fn outwards(&self) -> impl Iterator<Item = &str> {
        let outer = self.outer.iter().rev().map(|length| &self.text[..*length]);
        std::iter::once(self.text.as_str()).chain(outer)
    }

    fn step(&self) -> Self {
        let mut step = self.clone();
        step.outer.push(self.text.len());
        step
    }
}

fn is_plain(name: &str) -> bool {
    let plain = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    !name.is_empty() && name.chars().all(plain)
}
