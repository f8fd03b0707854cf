//! Correction of the expected time to the first event.

use crate::support::name;
use direct::EstimateCorrections;

/// An engine that answers after the expected time multiplied by a factor, with a tenth
/// of its answers four seconds late.
fn learn(corrections: &mut EstimateCorrections, expected_ms: f64, factor: f64) {
    for number in 0..200 {
        let stall_ms = if number % 10 == 0 { 4_000.0 } else { 0.0 };
        let spread = 0.8 + f64::from(number % 5) * 0.1;
        let observed_ms = expected_ms * factor * spread + stall_ms;
        corrections.observe(&name("oracle"), 0, expected_ms, observed_ms);
    }
}

/// A mean would follow the stalled tenth and expect more than a second.
#[test]
fn the_correction_follows_the_median_of_each_bucket() {
    let mut corrections = EstimateCorrections::new();
    learn(&mut corrections, 80.0, 1.1);
    learn(&mut corrections, 550.0, 0.6);
    for (expected_ms, factor) in [(80.0, 1.1), (550.0, 0.6)] {
        let learned = corrections.factor("oracle", 0, expected_ms);
        let error = learned / factor - 1.0;
        assert!(error.abs() < 0.25, "{learned} instead of {factor}");
    }
}

/// Less urgent prompts are overestimated most. Their correction must not let urgent
/// requests join queues that are too long for them.
#[test]
fn priorities_and_services_are_corrected_separately() {
    let mut corrections = EstimateCorrections::new();
    learn(&mut corrections, 400.0, 0.5);
    assert!(corrections.factor("oracle", 0, 400.0) < 0.7);
    assert!((corrections.factor("oracle", 1, 400.0) - 1.0).abs() < 1e-9);
    assert!((corrections.factor("other", 0, 400.0) - 1.0).abs() < 1e-9);
}

/// One of 300 entries sees few requests of a bucket.
#[test]
fn a_bucket_without_observations_has_the_correction_of_its_priority() {
    let mut corrections = EstimateCorrections::new();
    learn(&mut corrections, 400.0, 0.5);
    assert!(corrections.factor("oracle", 0, 250.0) < 0.7);
}

/// A crashed engine, a time of zero or no expectation at all must not spoil the
/// estimate.
#[test]
fn corrections_are_bounded() {
    let mut corrections = EstimateCorrections::new();
    for (expected_ms, observed_ms) in [(0.0, 50.0), (0.5, 50.0), (f64::NAN, 50.0)] {
        corrections.observe(&name("oracle"), 0, expected_ms, observed_ms);
    }
    assert!((corrections.factor("oracle", 0, 0.0) - 1.0).abs() < 1e-9);
    for _ in 0..200 {
        corrections.observe(&name("oracle"), 0, 150.0, 60_000.0);
        corrections.observe(&name("oracle"), 1, 150.0, 0.0);
    }
    assert!(corrections.factor("oracle", 0, 150.0) <= 1.5);
    assert!(corrections.factor("oracle", 1, 150.0) >= 0.4);
}
