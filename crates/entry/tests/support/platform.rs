//! A fake platform that keeps objects in memory.

use base::{ObjectVersion, PlatformOp, PlatformResult};
use futures::FutureExt;
use futures::future::BoxFuture;
use parking_lot::Mutex;
use plat::ObjectApi;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Time after which a watch answers, and any operation while unavailable.
const WATCH_WAIT: Duration = Duration::from_millis(20);

/// Objects by key. Preconditions are not checked, as no test here needs them.
#[derive(Debug, Default)]
pub(crate) struct MemoryPlatform {
    objects: Mutex<Objects>,
    pub(crate) unavailable: AtomicBool,
}

#[derive(Debug, Default)]
struct Objects {
    by_key: BTreeMap<String, (ObjectVersion, Vec<u8>)>,
    version: u64,
}

impl MemoryPlatform {
    /// Writes an object.
    pub(crate) fn put(&self, key: &str, value: Vec<u8>) -> ObjectVersion {
        let mut objects = self.objects.lock();
        objects.version += 1;
        let version = ObjectVersion(objects.version);
        objects.by_key.insert(key.to_owned(), (version, value));
        version
    }

    fn list(&self, prefix: &str, after: u64) -> PlatformResult {
        let objects = self.objects.lock();
        let held = objects
            .by_key
            .iter()
            .filter(|(key, (version, _))| key.starts_with(prefix) && version.0 > after)
            .map(|(key, (version, value))| (key.clone(), *version, value.clone()))
            .collect();
        PlatformResult::Objects(held, ObjectVersion(objects.version))
    }

    async fn answer(&self, op: &PlatformOp) -> PlatformResult {
        if self.unavailable.load(Ordering::Relaxed) {
            tokio::time::sleep(WATCH_WAIT).await;
            return PlatformResult::Unavailable;
        }
        match op {
            PlatformOp::Read { key } => {
                let objects = self.objects.lock();
                PlatformResult::Object(objects.by_key.get(key).cloned())
            }
            PlatformOp::List { prefix } => self.list(prefix, 0),
            PlatformOp::Write { key, value, .. } => {
                PlatformResult::Written(self.put(key, value.clone()))
            }
            PlatformOp::Delete { key, .. } => {
                self.objects.lock().by_key.remove(key);
                PlatformResult::Written(ObjectVersion(0))
            }
            PlatformOp::Watch { prefix, after } => {
                tokio::time::sleep(WATCH_WAIT).await;
                self.list(prefix, after.0)
            }
        }
    }
}

impl ObjectApi for MemoryPlatform {
    fn call<'a>(&'a self, op: &'a PlatformOp) -> BoxFuture<'a, PlatformResult> {
        self.answer(op).boxed()
    }
}
