//! The platform's objects, with a configuration.

use base::{Expect, PlatformOp, PlatformResult, Version};
use prost::Message as _;
use schema::store::AgentRecord;
use std::collections::BTreeMap;

/// The configuration of every test: one pool of engines with one accelerator
/// of 100 MiB, and one of plain services.
const DOCUMENT: &str = r#"{
    "deployment": "test",
    "pools": {
        "engines": {"kind": "engine", "instances": 1, "accelerators_mib": [100],
            "concurrent_max": 4, "order_delay_max_ms": 3000},
        "desk": {"kind": "service", "instances": 1, "concurrent_max": 4}
    },
    "models": {
        "a": {"size_mib": 60, "version": 1, "pool": "engines"},
        "b": {"size_mib": 60, "version": 1, "pool": "engines"},
        "c": {"size_mib": 30, "version": 1, "pool": "engines"}
    },
    "adapters": {"a-adapter": {"base": "a", "size_mib": 10, "version": 1}},
    "profiles": {"talk": {"kind": "interactive", "models": ["a"],
        "between_tokens_ms": 50}},
    "services": {"parts": {"pool": "desk", "idempotent": false, "timeout_ms": 2000}},
    "limits": {"heartbeat_ms": 500}
}"#;

/// The platform's objects.
#[derive(Debug, Default)]
pub struct Platform {
    pub objects: BTreeMap<String, (u64, Vec<u8>)>,
    pub last: u64,
    pub away: bool,
}

impl Platform {
    pub fn new() -> Self {
        let mut platform = Self::default();
        let document = DOCUMENT.as_bytes().to_vec();
        platform
            .objects
            .insert("config/000000000001".to_owned(), (1, document));
        platform.last = 1;
        platform
    }

    pub fn apply(&mut self, op: &PlatformOp) -> PlatformResult {
        if self.away {
            return PlatformResult::Away;
        }
        match op {
            PlatformOp::Read { key } => {
                let held = self.objects.get(key);
                PlatformResult::Object(held.map(|(v, o)| (Version(*v), o.clone())))
            }
            PlatformOp::List { prefix } => self.list(prefix),
            PlatformOp::Write { key, expect, value } => {
                self.change(key, *expect, Some(value.clone()))
            }
            PlatformOp::Delete { key, expect } => self.change(key, *expect, None),
            PlatformOp::Watch { .. } => PlatformResult::Unanswered,
        }
    }

    fn list(&self, prefix: &str) -> PlatformResult {
        let found = self
            .objects
            .iter()
            .filter(|(key, _)| key.starts_with(prefix))
            .map(|(key, (version, value))| {
                (key.clone(), Version(*version), value.clone())
            });
        PlatformResult::Objects(found.collect(), Version(self.last))
    }

    fn change(
        &mut self,
        key: &str,
        expect: Expect,
        value: Option<Vec<u8>>,
    ) -> PlatformResult {
        let held = self.objects.get(key).map(|(version, _)| Version(*version));
        let fits = match expect {
            Expect::Any => true,
            Expect::Absent => held.is_none(),
            Expect::Version(version) => held == Some(version),
        };
        if !fits {
            return PlatformResult::Conflict;
        }
        self.last += 1;
        if let Some(value) = value {
            self.objects.insert(key.to_owned(), (self.last, value));
        } else {
            self.objects.remove(key);
        }
        PlatformResult::Written(Version(self.last))
    }

    pub fn record(&self) -> AgentRecord {
        let (_, value) = &self.objects["agents/one"];
        AgentRecord::decode(value.as_slice()).expect("the agent writes its record")
    }
}
