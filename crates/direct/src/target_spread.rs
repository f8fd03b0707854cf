//! How far the latency targets of a service's routes lie apart.

use crate::Config;

/// Ratio of two latency targets from which on the callers of the longer one count as
/// patient: they still get their answer in time after a load from the weight store, the
/// others don't after one from disk.
pub const PATIENT_TARGET_RATIO: u64 = 12;

/// Whether urgent and patient callers share the upstreams of a service: the longest
/// latency target of its routes is at least [`PATIENT_TARGET_RATIO`] times the shortest.
pub fn targets_differ_widely(config: &Config, service: &str) -> bool {
    let routes = config.routes().filter(|route| route.has_target(service));
    let targets = routes.map(|route| route.latency_target_ms);
    let known: Vec<u64> = targets.filter(|target_ms| *target_ms > 0).collect();
    let (shortest, longest) = (known.iter().min(), known.iter().max());
    shortest.zip(longest).is_some_and(|(shortest, longest)| {
        *longest >= shortest.saturating_mul(PATIENT_TARGET_RATIO)
    })
}
