//! The budget follows the machine.

use inbound::{Budget, Machine};

const MB: u64 = 1_000_000;

/// What a process takes without callers.
const IDLE_BYTES: u64 = 20 * MB;

fn budget(memory_mb: u64, descriptors: u64) -> Budget {
    Budget::of(Machine {
        memory_bytes: memory_mb * MB,
        descriptors,
    })
}

#[test]
fn all_parts_fit_into_each_machine() {
    for memory_mb in [120, 160, 260, 512, 1_024, 64_000] {
        let budget = budget(memory_mb, 65_536);
        let connection_bytes = (24 + 24 + 24) << 10;
        let parts = budget.connections * connection_bytes
            + budget.bodies_bytes
            + budget.responses_bytes;
        assert!(parts as u64 + IDLE_BYTES < memory_mb * MB, "{budget:?}");
    }
}

#[test]
fn callers_and_their_upstreams_fit_into_the_descriptors() {
    for descriptors in [64, 400, 1_024, 3_075, 4_100] {
        let connections = budget(64_000, descriptors).connections as u64;
        assert!(
            connections * 2 < descriptors,
            "{connections} of {descriptors}"
        );
    }
}

#[test]
fn the_smallest_machine_serves_hundreds_of_callers() {
    let budget = budget(120, 3_075);
    assert!(budget.connections >= 500, "{budget:?}");
    assert!(budget.bodies_bytes >= 16 << 20, "{budget:?}");
}
