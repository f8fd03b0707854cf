//! Messages and settings, generated from the files under `proto/`.
//!
//! Everything that processes exchange or operators write is defined here, so that
//! a single schema defines the name and the unit of each field. The generated code
//! is committed, so a build does not run the generator. `cargo run -p schema-gen`
//! regenerates it, and CI checks that it is up to date.
//!
//! Besides the messages, the generator writes [`settings::MESSAGES`], a table of
//! all settings fields. The `conf` crate uses it to report every unknown key and
//! wrong type in a document together.

mod descriptor;

pub use descriptor::{Cardinality, FieldDescriptor, FieldKind, MessageDescriptor};

/// Settings of processes and the fleet configuration.
#[allow(missing_docs, clippy::all)]
pub mod settings {
    include!("generated/sesame.settings.rs");
}

/// Frames on the links between entries and agents, and among entries.
#[allow(missing_docs, clippy::all)]
pub mod link {
    include!("generated/sesame.link.rs");
}

/// Objects stored through the platform's object API.
#[allow(missing_docs, clippy::all)]
pub mod store {
    include!("generated/sesame.store.rs");
}

/// Events of the timeline.
#[allow(missing_docs, clippy::all)]
pub mod timeline {
    include!("generated/sesame.timeline.rs");
}

/// Datagrams between entries in deployments without agents.
#[allow(missing_docs, clippy::all)]
pub mod peer {
    include!("generated/sesame.peer.rs");
}
