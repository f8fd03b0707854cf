//! Processor time and memory of this process, as reported by the kernel.

use std::fs;

/// Clock ticks per second in which the kernel reports processor time. The value is
/// the same on all supported Linux systems.
const CLOCK_TICKS_PER_S: f64 = 100.0;

/// Index of the user time among the fields after the name in `/proc/self/stat`.
const USER_TIME_INDEX: usize = 11;

/// Processor time and memory of this process.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ProcessUsage {
    /// Processor time used, user and system, in seconds.
    pub cpu_s: f64,
    /// Resident memory in bytes.
    pub resident_bytes: u64,
}

impl ProcessUsage {
    /// Reads both values. A value that can't be read is 0.
    pub fn read() -> Self {
        let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
        let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
        Self {
            cpu_s: cpu_s(&stat).unwrap_or_default(),
            resident_bytes: resident_bytes(&status).unwrap_or_default(),
        }
    }
}

fn cpu_s(stat: &str) -> Option<f64> {
    // The name is in parentheses and may contain spaces.
    let (_, after_name) = stat.rsplit_once(')')?;
    let mut times = after_name.split_whitespace().skip(USER_TIME_INDEX);
    let user: f64 = times.next()?.parse().ok()?;
    let system: f64 = times.next()?.parse().ok()?;
    Some((user + system) / CLOCK_TICKS_PER_S)
}

fn resident_bytes(status: &str) -> Option<u64> {
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kib: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kib * 1_024)
}
