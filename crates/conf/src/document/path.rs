//! Paths of values in a document.

/// Path of a value, such as `pools.oracle.accelerators_mib[0]`.
///
/// A key with characters other than letters, digits, `-` and `_` is quoted, so
/// that two values never have the same path.
#[derive(Debug, Clone, Default)]
pub(crate) struct ValuePath {
    text: String,
    /// Length in bytes of the path of each containing value, outermost first. Each
    /// is a prefix of `text`.
    ancestor_lengths: Vec<usize>,
}

impl ValuePath {
    /// Returns the path of the value under a key of this object.
    pub(crate) fn key(&self, name: &str) -> Self {
        let mut inner = self.child();
        if !inner.text.is_empty() {
            inner.text.push('.');
        }
        if is_bare_key(name) {
            inner.text.push_str(name);
        } else {
            inner.text.push_str(&format!("{name:?}"));
        }
        inner
    }

    /// Returns the path of the value at an index of this array.
    pub(crate) fn index(&self, index: usize) -> Self {
        let mut inner = self.child();
        inner.text.push_str(&format!("[{index}]"));
        inner
    }

    /// Returns the path as it is shown to operators.
    pub(crate) fn as_str(&self) -> &str {
        &self.text
    }

    /// Returns this path and those of the containing values, innermost first.
    pub(crate) fn self_and_ancestors(&self) -> impl Iterator<Item = &str> {
        let ancestor_lengths = self
            .ancestor_lengths
            .iter()
            .rev()
            .map(|length| &self.text[..*length]);
        std::iter::once(self.text.as_str()).chain(ancestor_lengths)
    }

    fn child(&self) -> Self {
        let mut child = self.clone();
        child.ancestor_lengths.push(self.text.len());
        child
    }
}

fn is_bare_key(name: &str) -> bool {
    let plain = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    !name.is_empty() && name.chars().all(plain)
}
