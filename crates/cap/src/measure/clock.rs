//! Processor time and memory of this process.

use crate::fit::Sample;
use std::time::Instant;

/// Bytes of one page, as Linux counts resident memory on the machines meant.
const PAGE_BYTES: u64 = 4_096;

/// Median of the durations of single calls, in nanoseconds.
pub fn median_ns(calls: usize, mut call: impl FnMut(usize)) -> f64 {
    let mut times_ns: Vec<u128> = Vec::with_capacity(calls);
    for nth in 0..calls {
        let start = Instant::now();
        call(nth);
        times_ns.push(start.elapsed().as_nanos());
    }
    times_ns.sort_unstable();
    times_ns.get(calls / 2).map_or(0.0, |ns| *ns as f64)
}

/// Median over batches of the mean duration of one call, in nanoseconds, for
/// calls too short to be timed one by one.
pub fn batch_ns(batches: usize, each: usize, mut call: impl FnMut(usize)) -> f64 {
    let whole = median_ns(batches, |batch| {
        for nth in 0..each {
            call(batch * each + nth);
        }
    });
    whole / each as f64
}

/// Measures a cost at each size.
pub fn samples(sizes: &[usize], mut cost: impl FnMut(usize) -> f64) -> Vec<Sample> {
    let of = |size: &usize| Sample {
        size: *size as f64,
        cost: cost(*size),
    };
    sizes.iter().map(of).collect()
}

/// Resident memory of a process, in bytes; 0 if it can't be read.
pub fn resident_bytes(process: &str) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{process}/statm"));
    let text = text.unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    let pages = pages.and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// Processor time of a process so far, in microseconds, from the scheduler's
/// own nanosecond counts over all its threads.
pub fn processor_us(process: &str) -> u64 {
    let threads = std::fs::read_dir(format!("/proc/{process}/task"));
    let threads = threads.into_iter().flatten().flatten();
    let of = |path: std::path::PathBuf| {
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let ns = text.split_whitespace().next();
        ns.and_then(|ns| ns.parse::<u64>().ok()).unwrap_or(0)
    };
    threads
        .map(|thread| of(thread.path().join("schedstat")))
        .sum::<u64>()
        / 1_000
}

/// The machine's load averages, as the kernel words them.
pub fn machine_load() -> String {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace()
        .take(3)
        .collect::<Vec<_>>()
        .join(" ")
}
