//! Shapes of settings messages, as the generated table states them.

/// One settings message.
#[derive(Debug)]
pub struct MessageShape {
    /// Name in the schema.
    pub name: &'static str,
    /// Fields in the order of the schema.
    pub fields: &'static [FieldShape],
}

/// One field of a settings message.
#[derive(Debug)]
pub struct FieldShape {
    /// Key in the document.
    pub name: &'static str,
    /// Type of the value, or of each value held.
    pub kind: FieldKind,
    /// How many values the field holds.
    pub holds: Holding,
}

/// Type of a settings value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FieldKind {
    /// A string.
    Text,
    /// `true` or `false`.
    Flag,
    /// A number with a fraction.
    Number,
    /// A whole number up to 2^32 - 1.
    Whole32,
    /// A whole number up to 2^64 - 1.
    Whole64,
    /// An object shaped as the named message.
    Message(&'static str),
}

/// How many values a field holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Holding {
    /// One value.
    One,
    /// An array of values.
    List,
    /// An object whose keys are names chosen by the operator.
    Named,
}

impl MessageShape {
    /// Finds a field by its key.
    pub fn field(&self, name: &str) -> Option<&'static FieldShape> {
        self.fields.iter().find(|field| field.name == name)
    }
}
