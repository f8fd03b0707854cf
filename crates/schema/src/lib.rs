//! Messages and settings, generated from the files under `proto/`.
//!
//! Everything that crosses a process border or is written by an operator has
//! its shape here, so that one schema answers what a field is called and which
//! unit it carries. The generated code is committed: a build needs no
//! generator. `cargo run -p schema-gen` renews it and CI checks that it is what
//! the schema gives.
//!
//! Besides the messages, the generator writes [`settings::MESSAGES`], the table
//! of settings fields by which the `conf` crate reports every unknown key and
//! wrong type of a document in one go.

mod descriptor;

pub use descriptor::{Cardinality, FieldDescriptor, FieldKind, MessageDescriptor};

/// Settings of processes and the configuration of the fleet.
#[allow(missing_docs, clippy::all)]
pub mod settings {
    include!("generated/sesame.settings.rs");
}

/// Frames between the system's own processes.
#[allow(missing_docs, clippy::all)]
pub mod link {
    include!("generated/sesame.link.rs");
}

/// Objects kept in the platform's object API.
#[allow(missing_docs, clippy::all)]
pub mod store {
    include!("generated/sesame.store.rs");
}

/// Events of the time line.
#[allow(missing_docs, clippy::all)]
pub mod timeline {
    include!("generated/sesame.timeline.rs");
}

/// What entries tell one another where there are no agents.
#[allow(missing_docs, clippy::all)]
pub mod peer {
    include!("generated/sesame.peer.rs");
}
