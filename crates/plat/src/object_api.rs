//! The border towards the platform.

use base::{ObjectVersion, PlatformOp, PlatformResult};
use futures::FutureExt;
use futures::future::BoxFuture;
use std::fmt::Debug;
use std::time::Duration;

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

    /// A list that may be seconds old, where the platform gives such ones for less.
    fn list_allow_stale(&self, prefix: String) -> BoxFuture<'_, PlatformResult> {
        async move { self.call(&PlatformOp::List { prefix }).await }.boxed()
    }

    /// A watch that the platform answers after `wait` at the latest, also where nothing
    /// has changed. Without an own way to bound it, it lasts as long as any watch.
    fn watch_with_timeout(
        &self,
        prefix: String,
        after: ObjectVersion,
        _wait: Duration,
    ) -> BoxFuture<'_, PlatformResult> {
        async move { self.call(&PlatformOp::Watch { prefix, after }).await }.boxed()
    }
}
