//! Tests of credentials and of the workspace directory.

mod credential;
mod directory;
