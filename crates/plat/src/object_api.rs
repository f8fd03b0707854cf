//! The border towards the platform.

use base::{PlatformOp, PlatformResult};
use futures::future::BoxFuture;
use std::fmt::Debug;

/// Something that carries out calls to the platform's objects.
pub trait ObjectApi: Debug + Send + Sync {
    /// Carries out one call and waits for what comes of it.
    ///
    /// A deletion answers `Written` with the version it took; one of an object
    /// that was not there answers `Written` with version 0, or `Conflict` if a
    /// version was expected. In the answer to a watch, a deleted object stands
    /// with the version of the answer and an empty value, so no object of the
    /// system may have an empty value.
    fn call<'a>(&'a self, op: &'a PlatformOp) -> BoxFuture<'a, PlatformResult>;
}
