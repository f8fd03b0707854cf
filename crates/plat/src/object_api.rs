//! The interface through which processes use the platform.

use base::{ObjectVersion, PlatformOp, PlatformResult};
use futures::FutureExt;
use futures::future::BoxFuture;
use std::fmt::Debug;
use std::time::Duration;

/// Key, version and value of an object.
pub type ListedObject = (String, ObjectVersion, Vec<u8>);

/// Executes operations on the platform's objects.
pub trait ObjectApi: Debug + Send + Sync {
    /// Executes one operation and waits for its result.
    ///
    /// A deletion results in `Written` with the version of the deletion. If the
    /// object did not exist, the result is `Written` with version 0, or `Conflict`
    /// if the precondition was a version. In the result of a watch, a deleted object
    /// appears with the version of the result and an empty value, so no object may
    /// have an empty value.
    fn call<'a>(&'a self, op: &'a PlatformOp) -> BoxFuture<'a, PlatformResult>;

    /// Lists objects, where the list may be seconds old. Implementations may use a
    /// cheaper operation of the platform for this; the default is an ordinary list.
    fn list_allow_stale(&self, prefix: String) -> BoxFuture<'_, PlatformResult> {
        async move { self.call(&PlatformOp::List { prefix }).await }.boxed()
    }

    /// Lists objects like [`Self::call`], and passes them on as they arrive. The
    /// default passes on the whole list at its end.
    fn list_in_pages<'a>(
        &'a self,
        prefix: String,
        on_page: &'a mut (dyn FnMut(&[ListedObject]) + Send),
    ) -> BoxFuture<'a, PlatformResult> {
        async move {
            let result = self.call(&PlatformOp::List { prefix }).await;
            if let PlatformResult::Objects(objects, _) = &result {
                on_page(objects);
            }
            result
        }
        .boxed()
    }

    /// Watches a prefix for at most `wait`, after which the platform responds even
    /// if nothing has changed. The default ignores `wait` and is an ordinary watch.
    fn watch_with_timeout(
        &self,
        prefix: String,
        after: ObjectVersion,
        _wait: Duration,
    ) -> BoxFuture<'_, PlatformResult> {
        async move { self.call(&PlatformOp::Watch { prefix, after }).await }.boxed()
    }

    /// Highest generation of the platform that an answer named. The generation rises each
    /// time the platform was restored from an older copy, and is 0 on platforms that
    /// don't count their restores.
    fn generation(&self) -> u64 {
        0
    }

    /// Number of requests sent to the platform so far. An operation may take
    /// several, such as the pages of a list. Implementations that don't count them
    /// return 0.
    fn requests_sent(&self) -> u64 {
        0
    }
}
