//! An in-memory platform whose calls fail in a scripted way.

use base::{ObjectVersion, PlatformOp, PlatformResult, Precondition};
use futures::FutureExt;
use futures::future::BoxFuture;
use plat::ObjectApi;
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Mutex, MutexGuard};

/// What happens to one call.
#[derive(Debug, Clone)]
pub enum Fault {
    /// The call succeeds.
    Pass,
    /// The call is refused and has no effect.
    Unavailable,
    /// The call takes effect, but its response is lost.
    ResponseLost,
    /// The request is lost: no effect and no response.
    RequestLost,
    /// No response; the call takes effect after the next one.
    Delayed,
    /// Another operator writes this object just before the call.
    ConcurrentWrite(String, Vec<u8>),
}

/// An in-memory platform.
#[derive(Debug, Default)]
pub struct FakePlatform {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    objects: BTreeMap<String, (ObjectVersion, Vec<u8>)>,
    version: u64,
    writes: VecDeque<Fault>,
    reads: VecDeque<Fault>,
    delayed: Option<PlatformOp>,
}

impl FakePlatform {
    /// Queues faults for the next writes.
    pub fn fail_writes(&self, faults: impl IntoIterator<Item = Fault>) {
        self.state().writes.extend(faults);
    }

    /// Queues faults for the next reads and lists.
    pub fn fail_reads(&self, faults: impl IntoIterator<Item = Fault>) {
        self.state().reads.extend(faults);
    }

    /// Returns the value of an object.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        let state = self.state();
        state.objects.get(key).map(|(_, value)| value.clone())
    }

    /// Stores an object unconditionally.
    pub fn put(&self, key: &str, value: &[u8]) {
        self.state().put(key, value.to_vec());
    }

    /// Counts the objects under a prefix.
    pub fn count(&self, prefix: &str) -> usize {
        let state = self.state();
        let matching = state.objects.keys().filter(|key| key.starts_with(prefix));
        matching.count()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .expect("no test panics while it holds this")
    }
}

impl ObjectApi for FakePlatform {
    fn call<'a>(&'a self, op: &'a PlatformOp) -> BoxFuture<'a, PlatformResult> {
        let result = self.state().call(op);
        async move { result }.boxed()
    }
}

impl State {
    fn call(&mut self, op: &PlatformOp) -> PlatformResult {
        let faults = match op {
            PlatformOp::Write { .. } => &mut self.writes,
            _ => &mut self.reads,
        };
        let fault = faults.pop_front().unwrap_or(Fault::Pass);
        let delayed = self.delayed.take();
        let result = match fault {
            Fault::Pass => self.apply(op),
            Fault::Unavailable => PlatformResult::Unavailable,
            Fault::ResponseLost => {
                self.apply(op);
                PlatformResult::Unanswered
            }
            Fault::RequestLost => PlatformResult::Unanswered,
            Fault::Delayed => {
                self.delayed = Some(op.clone());
                PlatformResult::Unanswered
            }
            Fault::ConcurrentWrite(key, value) => {
                self.put(&key, value);
                self.apply(op)
            }
        };
        if let Some(delayed) = delayed {
            self.apply(&delayed);
        }
        result
    }

    fn apply(&mut self, op: &PlatformOp) -> PlatformResult {
        match op {
            PlatformOp::Read { key } => {
                PlatformResult::Object(self.objects.get(key).cloned())
            }
            PlatformOp::List { prefix } => {
                let matching = self
                    .objects
                    .iter()
                    .filter(|(key, _)| key.starts_with(prefix));
                let listed = matching.map(|(key, (version, value))| {
                    (key.clone(), *version, value.clone())
                });
                PlatformResult::Objects(listed.collect(), ObjectVersion(self.version))
            }
            PlatformOp::Write {
                key,
                precondition,
                value,
            } => {
                let current = self.objects.get(key).map(|(version, _)| *version);
                let matches = match precondition {
                    Precondition::Any => true,
                    Precondition::Absent => current.is_none(),
                    Precondition::Version(version) => current == Some(*version),
                };
                if !matches {
                    return PlatformResult::Conflict;
                }
                PlatformResult::Written(self.put(key, value.clone()))
            }
            other => panic!("publishing never makes this call: {other:?}"),
        }
    }

    fn put(&mut self, key: &str, value: Vec<u8>) -> ObjectVersion {
        self.version += 1;
        let version = ObjectVersion(self.version);
        self.objects.insert(key.to_owned(), (version, value));
        version
    }
}
