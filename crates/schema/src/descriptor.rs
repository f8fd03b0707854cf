//! Types of the generated table of settings fields.

/// Descriptor of a settings message.
#[derive(Debug)]
pub struct MessageDescriptor {
    /// Name of the message in the schema.
    pub name: &'static str,
    /// Fields, in the order of the schema.
    pub fields: &'static [FieldDescriptor],
}

/// Descriptor of one field of a settings message.
#[derive(Debug)]
pub struct FieldDescriptor {
    /// Key of the field in a document.
    pub name: &'static str,
    /// Type of the value, or of each value of a list or map.
    pub kind: FieldKind,
    /// Whether the field is a single value, a list or a map.
    pub cardinality: Cardinality,
}

/// Type of a value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FieldKind {
    /// A string.
    String,
    /// `true` or `false`.
    Bool,
    /// A 64-bit floating-point number.
    Double,
    /// An integer from 0 to 2^32 - 1.
    Uint32,
    /// An integer from 0 to 2^64 - 1.
    Uint64,
    /// An object that matches the named message.
    Message(&'static str),
}

/// Whether a field is a single value, a list or a map.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cardinality {
    /// A single value.
    Single,
    /// An array of values.
    List,
    /// An object whose keys are names chosen by operators.
    Map,
}

impl MessageDescriptor {
    /// Finds a field by its key.
    pub fn field(&self, name: &str) -> Option<&'static FieldDescriptor> {
        self.fields.iter().find(|field| field.name == name)
    }
}
