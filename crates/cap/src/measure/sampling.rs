//! Measures durations, CPU time and resident memory.

use crate::fit::Sample;
use std::time::Instant;

/// Bytes of one page, the unit of `/proc/*/statm`, on the machines used.
const PAGE_BYTES: u64 = 4_096;

/// Median duration of single calls, in nanoseconds.
pub fn median_ns(count: usize, mut call: impl FnMut(usize)) -> f64 {
    let mut times_ns: Vec<u128> = Vec::with_capacity(count);
    for index in 0..count {
        let start = Instant::now();
        call(index);
        times_ns.push(start.elapsed().as_nanos());
    }
    times_ns.sort_unstable();
    times_ns.get(count / 2).map_or(0.0, |ns| *ns as f64)
}

/// Median over batches of the mean duration of a call, in nanoseconds; for
/// calls that are too short to be timed one by one.
pub fn median_batch_ns(
    batches: usize,
    calls_per_batch: usize,
    mut call: impl FnMut(usize),
) -> f64 {
    let batch_ns = median_ns(batches, |batch| {
        for index in 0..calls_per_batch {
            call(batch * calls_per_batch + index);
        }
    });
    batch_ns / calls_per_batch as f64
}

/// Measures a cost at each size.
pub fn measure_at_sizes(
    sizes: &[usize],
    mut cost: impl FnMut(usize) -> f64,
) -> Vec<Sample> {
    let read = |size: &usize| Sample {
        size: *size as f64,
        cost: cost(*size),
    };
    sizes.iter().map(read).collect()
}

/// Resident memory of a process, in bytes; 0 if it can't be read.
pub fn resident_bytes(process: &str) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{process}/statm"));
    let text = text.unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    let pages = pages.and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// CPU time of a process so far, in microseconds: the sum over its threads of
/// the scheduler's nanosecond counts.
pub fn cpu_time_us(process: &str) -> u64 {
    let threads = std::fs::read_dir(format!("/proc/{process}/task"));
    let threads = threads.into_iter().flatten().flatten();
    let read = |path: std::path::PathBuf| {
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let ns = text.split_whitespace().next();
        ns.and_then(|ns| ns.parse::<u64>().ok()).unwrap_or(0)
    };
    threads
        .map(|thread| read(thread.path().join("schedstat")))
        .sum::<u64>()
        / 1_000
}

/// The load averages of the machine, as in `/proc/loadavg`.
pub fn load_averages() -> String {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace()
        .take(3)
        .collect::<Vec<_>>()
        .join(" ")
}
