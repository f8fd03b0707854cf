//! Tests of keys and workspaces.

mod credential;
mod directory;
