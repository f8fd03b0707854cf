//! Shapes of settings messages, as the generated table states them.

/// One settings message.
#[derive(Debug)]
pub struct MessageDescriptor {
    /// Name in the schema.
    pub name: &'static str,
    /// Fields in the order of the schema.
    pub fields: &'static [FieldDescriptor],
}

/// One field of a settings message.
#[derive(Debug)]
pub struct FieldDescriptor {
    /// Key in the document.
    pub name: &'static str,
    /// Type of the value, or of each value held.
    pub kind: FieldKind,
    /// How many values the field holds.
    pub cardinality: Cardinality,
}

/// Type of a settings value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FieldKind {
    /// A string.
    String,
    /// `true` or `false`.
    Bool,
    /// A number with a fraction.
    Double,
    /// A whole number up to 2^32 - 1.
    Uint32,
    /// A whole number up to 2^64 - 1.
    Uint64,
    /// An object shaped as the named message.
    Message(&'static str),
}

/// How many values a field holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cardinality {
    /// One value.
    Single,
    /// An array of values.
    List,
    /// An object whose keys are names chosen by the operator.
    Map,
}

impl MessageDescriptor {
    /// Finds a field by its key.
    pub fn field(&self, name: &str) -> Option<&'static FieldDescriptor> {
        self.fields.iter().find(|field| field.name == name)
    }
}
