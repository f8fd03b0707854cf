//! A platform in memory whose writes fail as a script says.

use base::{ObjectVersion, PlatformOp, PlatformResult, Precondition};
use futures::FutureExt;
use futures::future::BoxFuture;
use plat::ObjectApi;
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Mutex, MutexGuard};

/// What befalls one call.
#[derive(Debug, Clone)]
pub enum Fault {
    /// Nothing.
    Pass,
    /// Refused without effect.
    Away,
    /// The call takes effect, the answer is lost.
    AnswerLost,
    /// Neither effect nor answer.
    CallLost,
    /// No answer; the call takes effect after the next one.
    Late,
    /// Another operator's write takes effect just before.
    OtherFirst(String, Vec<u8>),
}

/// The platform.
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
    late: Option<PlatformOp>,
}

impl FakePlatform {
    /// Sets the faults of the next writes.
    pub fn fail_writes(&self, faults: impl IntoIterator<Item = Fault>) {
        self.state().writes.extend(faults);
    }

    /// Sets the faults of the next reads and lists.
    pub fn fail_reads(&self, faults: impl IntoIterator<Item = Fault>) {
        self.state().reads.extend(faults);
    }

    /// Value of an object.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        let state = self.state();
        state.objects.get(key).map(|(_, value)| value.clone())
    }

    /// Puts an object, whatever is there.
    pub fn put(&self, key: &str, value: &[u8]) {
        self.state().put(key, value.to_vec());
    }

    /// Number of objects under a prefix.
    pub fn count(&self, prefix: &str) -> usize {
        let state = self.state();
        let under = state.objects.keys().filter(|key| key.starts_with(prefix));
        under.count()
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
        let late = self.late.take();
        let result = match fault {
            Fault::Pass => self.apply(op),
            Fault::Away => PlatformResult::Unavailable,
            Fault::AnswerLost => {
                self.apply(op);
                PlatformResult::Unanswered
            }
            Fault::CallLost => PlatformResult::Unanswered,
            Fault::Late => {
                self.late = Some(op.clone());
                PlatformResult::Unanswered
            }
            Fault::OtherFirst(key, value) => {
                self.put(&key, value);
                self.apply(op)
            }
        };
        if let Some(late) = late {
            self.apply(&late);
        }
        result
    }

    fn apply(&mut self, op: &PlatformOp) -> PlatformResult {
        match op {
            PlatformOp::Read { key } => {
                PlatformResult::Object(self.objects.get(key).cloned())
            }
            PlatformOp::List { prefix } => {
                let under = self
                    .objects
                    .iter()
                    .filter(|(key, _)| key.starts_with(prefix));
                let listed = under.map(|(key, (version, value))| {
                    (key.clone(), *version, value.clone())
                });
                PlatformResult::Objects(listed.collect(), ObjectVersion(self.version))
            }
            PlatformOp::Write {
                key,
                precondition,
                value,
            } => {
                let held = self.objects.get(key).map(|(version, _)| *version);
                let holds = match precondition {
                    Precondition::Any => true,
                    Precondition::Absent => held.is_none(),
                    Precondition::Version(version) => held == Some(*version),
                };
                if !holds {
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
