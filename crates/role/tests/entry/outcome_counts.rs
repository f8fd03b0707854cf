//! Counters of attainment by profile, and of decisions by reason.

use crate::rig::{Rig, document, options};
use role::entry::ProfileOutcomes;
use serde_json::json;

/// Latency targets of the profile under test: first unit, and between units.
const FIRST_MS: u32 = 1_000;
const BETWEEN_MS: u32 = 50;

/// An answer counts as attained only if it is complete and both latency targets are met.
/// Each missed target has its own counter.
#[test]
fn attainment_is_counted_by_profile() {
    let cases = [
        ("in time", 100, 40, [1, 1, 0, 0]),
        ("first unit late", 1_100, 40, [1, 0, 1, 0]),
        ("units far apart", 100, 60, [1, 0, 0, 1]),
        ("both", 1_100, 60, [1, 0, 1, 1]),
    ];
    for (name, first_ms, gap_ms, expected) in cases {
        let mut config = document();
        config["profiles"]["desk"]["first_token_ms"] = json!(FIRST_MS);
        config["profiles"]["desk"]["between_tokens_ms"] = json!(BETWEEN_MS);
        let mut rig = Rig::without_config(options("e1", 1));
        rig.publish(1, &config);
        rig.start();
        rig.agent("a1", &["m1"]);
        let request = rig.request_model("m1");
        let run = rig.run(request);
        rig.started(&run);
        rig.advance(first_ms);
        rig.part(&run, 0, 1);
        for offset in 1..=10 {
            rig.advance(gap_ms);
            rig.part(&run, offset, 1);
        }
        rig.end(&run, 11);
        let counters = rig.role.counters();
        let found = counters.profiles.first().expect("one profile was used");
        let ProfileOutcomes {
            finished,
            attained,
            first_unit_late,
            between_units_late,
            ..
        } = *found;
        let found = [finished, attained, first_unit_late, between_units_late];
        assert_eq!(found, expected, "{name}");
        let routed = counters
            .decisions
            .iter()
            .find(|count| count.decision == "route");
        assert_eq!(routed.map(|count| count.count), Some(1), "{name}");
    }
}

/// A request with an unknown outcome counts as refused and not as attained.
#[test]
fn refusals_count_against_the_profile() {
    let mut rig = Rig::new();
    rig.agent_in("s1", "desk", "d1", &[]);
    let request = rig.request_orders();
    let run = rig.run(request);
    rig.started(&run);
    rig.fail(
        &run,
        base::ErrorCode::UpstreamLost,
        base::RunStatus::Unknown,
    );
    assert!(!rig.errors(request).is_empty());
    let counters = rig.role.counters();
    let found = counters.profiles.first().expect("one profile was used");
    assert_eq!([found.refused, found.finished, found.attained], [1, 0, 0]);
}
