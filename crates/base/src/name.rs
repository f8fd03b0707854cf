//! Names chosen by operators, one type for each kind of thing named.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Makes a name from its text.
            pub fn new(text: &str) -> Self {
                Self(Arc::from(text))
            }

            /// The name's text.
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
    /// An instance that holds an upstream, and the agent beside it.
    AgentId
}
name_type! {
    /// An entry process.
    EntryId
}
name_type! {
    /// A model or an adapter; both share one space of names.
    ModelId
}
name_type! {
    /// A profile.
    ProfileId
}
name_type! {
    /// A plain service.
    ServiceId
}
name_type! {
    /// An identity that sends requests.
    CallerId
}
name_type! {
    /// A failure domain.
    FailureDomainId
}
name_type! {
    /// A pool of like upstreams.
    PoolId
}
