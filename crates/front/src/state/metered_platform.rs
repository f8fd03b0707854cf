//! The platform's object API, with all calls counted.

use base::{ObjectVersion, PlatformOp, PlatformResult};
use futures::FutureExt;
use futures::future::BoxFuture;
use plat::{ListedObject, ObjectApi};
use prometheus::IntCounterVec;
use std::time::Duration;

use super::transfer::{TransferKind, TransferScope};
use crate::StoreKeys;

/// The platform's object API, with all calls counted by object, operation and
/// outcome.
#[derive(Debug)]
pub(crate) struct MeteredPlatform {
    platform: Box<dyn ObjectApi>,
    keys: StoreKeys,
    calls: IntCounterVec,
    transfer_bytes: IntCounterVec,
}

impl MeteredPlatform {
    pub(crate) fn new(
        platform: Box<dyn ObjectApi>,
        keys: StoreKeys,
        calls: IntCounterVec,
        transfer_bytes: IntCounterVec,
    ) -> Self {
        Self {
            platform,
            keys,
            calls,
            transfer_bytes,
        }
    }

    fn count(&self, key: &str, operation: &str, result: &PlatformResult) {
        let call = format!("{} {operation}", self.object_name(key));
        let labels = [call.as_str(), outcome_label(result)];
        self.calls.with_label_values(&labels).inc();
        self.count_bytes(result_bytes(result));
    }

    /// Counts bytes of objects. An entry doesn't know in which failure domain
    /// the platform's server is.
    fn count_bytes(&self, bytes: usize) {
        let labels = [
            TransferKind::Platform.as_str(),
            TransferScope::Other.as_str(),
        ];
        self.transfer_bytes
            .with_label_values(&labels)
            .inc_by(bytes as u64);
    }

    /// Returns the name of an object or a collection in metrics, by its key or
    /// prefix.
    fn object_name(&self, key: &str) -> &'static str {
        let keys = &self.keys;
        if key == keys.lease {
            "lease"
        } else if key.starts_with(&keys.entry_prefix) {
            "entries"
        } else if key.starts_with(&keys.upstream_prefix) {
            "upstreams"
        } else if key.starts_with(&keys.refused_part_prefix) {
            "prompt_parts"
        } else if key.starts_with(&keys.stream_origin_prefix) {
            "stream_origins"
        } else {
            "setup"
        }
    }
}

impl ObjectApi for MeteredPlatform {
    fn call<'a>(&'a self, op: &'a PlatformOp) -> BoxFuture<'a, PlatformResult> {
        async move {
            if let PlatformOp::Write { key, value, .. } = op {
                self.count_bytes(key.len() + value.len());
            }
            let result = self.platform.call(op).await;
            let (key, operation) = match op {
                PlatformOp::Read { key } => (key, "read"),
                PlatformOp::List { prefix } => (prefix, "list"),
                PlatformOp::Write { key, .. } => (key, "write"),
                PlatformOp::Delete { key, .. } => (key, "delete"),
                PlatformOp::Watch { prefix, .. } => (prefix, "watch"),
            };
            self.count(key, operation, &result);
            result
        }
        .boxed()
    }

    fn list_allow_stale(&self, prefix: String) -> BoxFuture<'_, PlatformResult> {
        async move {
            let result = self.platform.list_allow_stale(prefix.clone()).await;
            self.count(&prefix, "stale list", &result);
            result
        }
        .boxed()
    }

    fn list_in_pages<'a>(
        &'a self,
        prefix: String,
        on_page: &'a mut (dyn FnMut(&[ListedObject]) + Send),
    ) -> BoxFuture<'a, PlatformResult> {
        async move {
            let result = self.platform.list_in_pages(prefix.clone(), on_page).await;
            self.count(&prefix, "list", &result);
            result
        }
        .boxed()
    }

    fn watch_with_timeout(
        &self,
        prefix: String,
        after: ObjectVersion,
        wait: Duration,
    ) -> BoxFuture<'_, PlatformResult> {
        async move {
            let watch = self
                .platform
                .watch_with_timeout(prefix.clone(), after, wait);
            let result = watch.await;
            self.count(&prefix, "leader watch", &result);
            result
        }
        .boxed()
    }

    fn generation(&self) -> u64 {
        self.platform.generation()
    }

    fn requests_sent(&self) -> u64 {
        self.platform.requests_sent()
    }
}

/// Returns the bytes of the objects in a result, without the platform's own framing.
fn result_bytes(result: &PlatformResult) -> usize {
    match result {
        PlatformResult::Object(Some((_, value))) => value.len(),
        PlatformResult::Objects(objects, _) => {
            let sizes = objects
                .iter()
                .map(|(key, _, value)| key.len() + value.len());
            sizes.sum()
        }
        _ => 0,
    }
}

/// Returns the name of an outcome in logs and metrics.
pub(crate) const fn outcome_label(result: &PlatformResult) -> &'static str {
    match result {
        PlatformResult::Unavailable => "away",
        PlatformResult::HistoryGone => "history_gone",
        PlatformResult::Unanswered => "unanswered",
        PlatformResult::Conflict => "conflict",
        _ => "answered",
    }
}
