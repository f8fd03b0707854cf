//! Names chosen by operators, with a separate type for each kind of object.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates a name from text.
            pub fn new(text: &str) -> Self {
                Self(Arc::from(text))
            }

            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name_type! {
    /// Name of an instance: an upstream and its agent.
    AgentId
}
name_type! {
    /// Name of an entry process.
    EntryId
}
name_type! {
    /// Name of a model or an adapter; both share one namespace.
    ModelId
}
name_type! {
    /// Name of a profile.
    ProfileId
}
name_type! {
    /// Name of a plain service.
    ServiceId
}
name_type! {
    /// Name of a caller: an identity that sends requests.
    CallerId
}
name_type! {
    /// Name of a failure domain.
    FailureDomainId
}
name_type! {
    /// Name of a pool of identical upstreams.
    PoolId
}
