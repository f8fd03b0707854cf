//! How far the latency targets of a service's routes lie apart.

use crate::Config;

/// Ratio of two latency targets from which on the callers of the longer one count as
/// patient: they still get their answer in time after a load from the weight store, or
/// behind several of the queues that make a request of the shorter one late. The others
/// don't after a load from disk.
const PATIENT_TARGET_RATIO: u64 = 12;

/// Whether callers with a latency target of `target_ms` are patient beside those with
/// `other_ms`; 0 means that no target is set.
pub const fn is_patient(target_ms: u64, other_ms: u64) -> bool {
    other_ms > 0 && target_ms >= other_ms.saturating_mul(PATIENT_TARGET_RATIO)
}

/// Whether urgent and patient callers share the upstreams of a service: the longest
/// latency target of its routes is at least `PATIENT_TARGET_RATIO` times the shortest.
pub fn targets_differ_widely(config: &Config, service: &str) -> bool {
    let routes = config.routes().filter(|route| route.has_target(service));
    let targets = routes.map(|route| route.latency_target_ms);
    let known: Vec<u64> = targets.filter(|target_ms| *target_ms > 0).collect();
    let (shortest, longest) = (known.iter().min(), known.iter().max());
    shortest
        .zip(longest)
        .is_some_and(|(shortest, longest)| is_patient(*longest, *shortest))
}
