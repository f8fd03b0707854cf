//! Fits and extrapolations, and estimates from known costs.

use cap::current::{self, Row};
use cap::fit::{Growth, Sample, Series, exponent, fit_line};
use cap::measurements::Measurements;
use cap::tables::format_number;
use cap::target::{CapacityTarget, NodeBudget, core_percent};

fn series(growth: Growth, cost: fn(f64) -> f64) -> Series {
    let sample = |size: f64| Sample {
        size,
        cost: cost(size),
    };
    Series {
        name: "test",
        size_of: "things",
        unit: "ns",
        growth,
        samples: [16.0, 64.0, 256.0, 1_024.0].map(sample).to_vec(),
    }
}

fn assert_close(actual: f64, expected: f64) {
    let relative_error = (actual - expected).abs() / expected.abs().max(1e-9);
    assert!(relative_error < 1e-6, "found {actual}, wanted {expected}");
}

#[test]
fn a_linear_cost_is_fitted() {
    let known_series = series(Growth::Linear, |size| 100.0 + 3.0 * size);
    let actual = fit_line(&known_series.samples).expect("four sizes make a line");
    assert_close(actual.intercept, 100.0);
    assert_close(actual.slope, 3.0);
    assert_close(known_series.cost_per_item(), 3.0);
    assert_close(known_series.cost_at(12_000.0), 36_100.0);
}

#[test]
fn a_power_law_is_fitted_and_extrapolated() {
    let known_series = series(Growth::PowerLaw, |size| 2.0 * size * size);
    assert_close(known_series.exponent(), 2.0);
    assert_close(known_series.cost_at(2_048.0), 2.0 * 2_048.0 * 2_048.0);
    assert_close(known_series.cost_at(100.0), 2.0 * 100.0 * 100.0);
    assert_close(known_series.cost_at(1.0), 2.0 * 16.0 * 16.0);
}

/// A fixed cost flattens the curve at small sizes, so extrapolation by the
/// exponent of all samples would underestimate the cost at the required size.
#[test]
fn a_fixed_cost_does_not_flatten_the_extrapolation() {
    let known_series = series(Growth::PowerLaw, |size| 1_000.0 + 10.0 * size);
    assert!(known_series.tail_exponent() > known_series.exponent());
    let (all, tail) = (known_series.exponent(), known_series.tail_exponent());
    let by_all = 11_240.0 * (12_000.0_f64 / 1_024.0).powf(all);
    assert!(known_series.cost_at(12_000.0) > by_all, "{all} {tail}");
}

#[test]
fn too_few_samples_give_no_slope() {
    let one = [Sample {
        size: 3.0,
        cost: 4.0,
    }];
    assert_eq!(fit_line(&one), None);
    assert_eq!(fit_line(&[one[0], one[0]]), None);
    assert_close(exponent(&one) + 1.0, 1.0);
}

#[test]
fn the_target_is_divided_among_processes() {
    let target = CapacityTarget::REQUIRED;
    assert_close(target.holders(), 30.0);
    assert_close(target.heartbeats_per_s(), 2.0);
    assert_close(target.domain_agents().round(), 857.0);
    assert_close(target.entry_requests_per_s(), 41_000.0 / 1_300.0);
    assert_close(target.entry_in_flight(), 14e6 * 0.064 / 1_300.0);
    assert_close(core_percent(24_000.0, 1_000.0), 2.4);
    assert!(core_percent(24_000.0, 1_000.0) > NodeBudget::REQUIRED.core_percent);
}

#[test]
fn numbers_are_readable() {
    for (value, text) in [
        (0.0, "0.00"),
        (0.012_34, "0.0123"),
        (1.234, "1.23"),
        (12.34, "12.3"),
        (123.4, "123"),
        (12_345_678.0, "12,345,678"),
    ] {
        assert_eq!(format_number(value), text);
    }
}

fn find_row<'a>(rows: &'a [Row], role: &str, quantity: &str) -> &'a Row {
    let mut rows = rows.iter();
    let actual = rows.find(|row| row.role == role && row.quantity == quantity);
    actual.unwrap_or_else(|| panic!("no row for {role}: {quantity}"))
}

/// With known costs, the estimates at the required size are known, too.
#[test]
fn results_follow_from_measurements() {
    let measurements = Measurements {
        heartbeat: series(Growth::Linear, |agents| 1_000.0 + 10.0 * agents),
        heartbeat_bytes: series(Growth::Linear, |residents| 100.0 + 50.0 * residents),
        ..Measurements::default()
    };
    let (target, budget) = (CapacityTarget::REQUIRED, NodeBudget::REQUIRED);
    let rows = current::process_rows(&measurements, &target, &budget);
    let sent = find_row(&rows, "agent", "heartbeats sent to every entry");
    assert_close(sent.result, 1_300.0 * 2.0 * 300.0 / 1e3);
    assert!(sent.exceeds_budget());
    let received = find_row(&rows, "entry", "heartbeats of all agents, in the machine");
    assert_close(received.result, 24_000.0 * 121_000.0 / 1e9 * 100.0);
    let changes = find_row(&rows, "entry", "configuration changes");
    assert!(!changes.exceeds_budget(), "nothing measured costs nothing");
    let rows = current::platform(&measurements, &target, &budget);
    let waiting = "waiting watches of two entries a failure domain";
    let watches = find_row(&rows, "platform's service", waiting);
    assert_close(watches.result, 14.0 * 2.0 * 3.0);
    assert!(!watches.exceeds_budget());
    let polls = "looks of entries for the next revision";
    assert_close(
        find_row(&rows, "platform's service", polls).result,
        1_300.0 / 7.5,
    );
}
