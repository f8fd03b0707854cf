//! The machine that a process runs on.

use nix::sys::resource::{Resource, getrlimit};
use std::fs;

/// Memory that is assumed where neither the settings nor the operating system name any.
const FALLBACK_MEMORY_BYTES: u64 = 128 << 20;

/// Descriptors that are assumed where neither the settings nor the operating system name
/// any: the usual soft limit.
const FALLBACK_DESCRIPTORS: u64 = 1_024;

/// What the settings say of the machine; `None` where they say nothing.
#[derive(Debug, Clone, Copy, Default)]
pub struct ConfiguredMachine {
    /// Memory that the process may take, in bytes.
    pub memory_bytes: Option<u64>,
    /// Descriptors that the process may open.
    pub descriptors: Option<u64>,
}

/// What a process may take of its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Machine {
    /// Memory, in bytes.
    pub memory_bytes: u64,
    /// Descriptors.
    pub descriptors: u64,
}

impl Machine {
    /// Returns the lower one of what the settings and the operating system allow.
    pub fn detect(configured: ConfiguredMachine) -> Self {
        let lower = |a: Option<u64>, b: Option<u64>| match (a, b) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        };
        Self {
            memory_bytes: lower(configured.memory_bytes, total_memory_bytes())
                .unwrap_or(FALLBACK_MEMORY_BYTES),
            descriptors: lower(configured.descriptors, descriptor_limit())
                .unwrap_or(FALLBACK_DESCRIPTORS),
        }
    }
}

/// Memory of the machine, as the kernel reports it.
fn total_memory_bytes() -> Option<u64> {
    let text = fs::read_to_string("/proc/meminfo").ok()?;
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("MemTotal:"))?;
    let kib: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kib.saturating_mul(1_024)).filter(|bytes| *bytes > 0)
}

/// The soft limit on descriptors of this process.
fn descriptor_limit() -> Option<u64> {
    let (soft, _) = getrlimit(Resource::RLIMIT_NOFILE).ok()?;
    Some(soft).filter(|limit| *limit > 0)
}
