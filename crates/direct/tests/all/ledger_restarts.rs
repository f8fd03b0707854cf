//! Orders to an upstream that restarts under its name.

use crate::support::{at, cases, engine, name, resident};
use direct::{
    EngineSpec, Ledger, Order, OrderAction, OrderAnswer, SendOutcome, UpstreamReport,
};
use std::collections::BTreeSet;

const MODELS: [&str; 5] = ["a", "b", "c", "d", "e"];
const ACCEPTED: SendOutcome = SendOutcome::Answered(OrderAnswer::Accepted);

fn report(
    started_unix_ms: Option<u64>,
    orders: u64,
    models: &[&str],
) -> UpstreamReport {
    UpstreamReport {
        started_unix_ms,
        orders_accepted: orders,
        residents: models.iter().map(|model| resident(model, &[])).collect(),
        ..UpstreamReport::default()
    }
}

fn load(model: &str) -> OrderAction {
    OrderAction::Load(name(model))
}

/// A ledger of the incarnation started at 100 that has accepted `orders` orders and
/// holds `models`.
fn ledger(orders: u64, models: &[&str]) -> Ledger {
    let mut ledger = Ledger::new();
    ledger.apply_report(at(0), &report(Some(100), orders, models));
    ledger
}

/// The upstream had accepted seven orders and its later incarnation none. Judged only
/// by the count, the later one's reports would count as outdated forever.
#[test]
fn a_report_of_a_later_incarnation_is_applied_whatever_its_count() {
    let engine = engine(&MODELS);
    let mut ledger = ledger(7, &["a", "b", "c"]);
    ledger.apply_report(at(1), &report(Some(200), 0, &[]));
    assert_eq!(ledger.started_unix_ms(), Some(200));
    assert_eq!(ledger.models().count(), 0);
    let order = ledger
        .issue_order(&engine, load("d"))
        .expect("memory is free");
    assert_eq!(
        (order.started_unix_ms, order.expected_count),
        (Some(200), 0)
    );
}

#[test]
fn a_late_report_of_an_earlier_incarnation_is_dropped() {
    let mut ledger = ledger(7, &["a"]);
    ledger.apply_report(at(1), &report(Some(200), 0, &["b"]));
    ledger.apply_report(at(2), &report(Some(100), 9, &["a"]));
    ledger.apply_report(at(3), &report(None, 9, &["a"]));
    assert_eq!(
        (ledger.started_unix_ms(), ledger.orders_accepted()),
        (Some(200), 0)
    );
    let models: Vec<_> = ledger.models().map(|(model, _)| &**model).collect();
    assert_eq!(models, ["b"]);
}

/// An order is in flight when a report of a later incarnation arrives. The order's
/// answer follows, and it doesn't tell which incarnation gave it. If it were attributed
/// to the later one, the known count would be too high, and that incarnation's reports
/// would be dropped forever.
#[test]
fn the_late_answer_to_an_order_to_an_earlier_incarnation_is_not_counted() {
    let engine = engine(&MODELS);
    let mut ledger = ledger(7, &[]);
    let order = ledger
        .issue_order(&engine, load("a"))
        .expect("memory is free");
    ledger.apply_report(at(1), &report(Some(200), 0, &[]));
    let next = ledger
        .issue_order(&engine, load("b"))
        .expect("memory is free");
    ledger.apply_outcome(at(2), &order, ACCEPTED);
    assert_eq!(ledger.orders_accepted(), 0);
    assert!(!ledger.is_known() && !ledger.is_idle());
    ledger.apply_outcome(at(3), &next, ACCEPTED);
    assert_eq!(ledger.orders_accepted(), 1);
    assert!(ledger.models().all(|(model, _)| **model == *"b"));
}

/// Orders to an earlier incarnation got no answer. The later one accepts an order that
/// names its count, so memory is reserved until the order can no longer be carried out.
#[test]
fn memory_is_reserved_for_unanswered_orders_to_an_earlier_incarnation() {
    let engine = engine(&MODELS);
    let mut ledger = ledger(2, &["a"]);
    let order = ledger
        .issue_order(&engine, load("b"))
        .expect("memory is free");
    ledger.apply_outcome(at(0), &order, SendOutcome::Unanswered);
    assert!(
        (69.0..71.0).contains(&ledger.used_mb(&engine)),
        "an order to the same incarnation reserves nothing"
    );
    ledger.apply_report(at(100), &report(Some(200), 0, &["c", "d"]));
    assert!(ledger.used_mb(&engine) > 209.0);
    assert_eq!(ledger.issue_order(&engine, load("e")), None);
    ledger.apply_report(at(200), &report(Some(200), 3, &["c", "d"]));
    assert!(
        ledger.issue_order(&engine, load("e")).is_some(),
        "the old order will be refused because of its count"
    );
}

#[test]
fn an_expired_unanswered_order_reserves_no_memory() {
    let engine = engine(&MODELS);
    let mut ledger = ledger(2, &["a"]);
    let order = ledger
        .issue_order(&engine, load("b"))
        .expect("memory is free");
    let delayed = ledger.into_unanswered(at(0));
    assert_eq!(delayed.load_count(), 1);
    let mut ledger = Ledger::for_incarnation(Some(200), delayed);
    ledger.apply_report(at(100), &report(Some(200), 0, &["c", "d"]));
    assert_eq!(ledger.issue_order(&engine, load("e")), None);
    let mut refused =
        Ledger::for_incarnation(Some(200), ledger.into_unanswered(at(100)));
    refused.apply_outcome(at(150), &order, SendOutcome::Answered(OrderAnswer::Refused));
    refused.apply_report(at(200), &report(Some(200), 0, &["c", "d"]));
    assert!(refused.issue_order(&engine, load("e")).is_some());
    let mut ledger = Ledger::new();
    ledger.apply_report(at(0), &report(Some(100), 2, &[]));
    let order = ledger
        .issue_order(&engine, load("b"))
        .expect("memory is free");
    ledger.apply_outcome(at(0), &order, SendOutcome::Unanswered);
    ledger.apply_report(at(100), &report(Some(200), 0, &["c", "d"]));
    ledger.expire(at(12_400));
    assert_eq!(ledger.issue_order(&engine, load("e")), None);
    ledger.expire(at(12_600));
    assert!(ledger.issue_order(&engine, load("e")).is_some());
}

/// An upstream that loses everything it holds when it restarts, and accepts an order
/// that names its count, whichever incarnation the order was decided for.
#[derive(Debug, Default)]
struct Upstream {
    started_unix_ms: u64,
    orders: u64,
    held: BTreeSet<String>,
}

impl Upstream {
    fn order(&mut self, order: &Order, engine: &EngineSpec) -> OrderAnswer {
        if order.expected_count != self.orders {
            return OrderAnswer::Conflict;
        }
        self.orders += 1;
        match &order.action {
            OrderAction::Load(model) => {
                self.held.insert(model.to_string());
            }
            OrderAction::Unload(model) => {
                self.held.remove(&**model);
            }
            OrderAction::LoadAdapter(..) | OrderAction::UnloadAdapter(..) => {}
        }
        let used: f64 = self.held.len() as f64 * 70.0;
        assert!(
            used <= engine.weights_max_mb,
            "ordered to hold more than fits"
        );
        OrderAnswer::Accepted
    }

    fn report(&self) -> UpstreamReport {
        let models: Vec<&str> = self.held.iter().map(String::as_str).collect();
        report(Some(self.started_unix_ms), self.orders, &models)
    }
}

/// Reports, answers and orders get lost or arrive seconds late while the upstream
/// restarts again and again. The ledger never returns to an earlier incarnation, and no
/// incarnation is ever ordered to hold more than fits.
#[test]
fn no_sequence_of_restarts_and_late_orders_overfills_an_upstream() {
    let engine = engine(&MODELS);
    cases(300, |random| {
        let mut upstream = Upstream::default();
        let mut ledger = Ledger::new();
        let mut delayed: Vec<(u64, Order)> = Vec::new();
        let mut old_reports: Vec<UpstreamReport> = Vec::new();
        let mut waiting: Option<(Order, SendOutcome)> = None;
        let mut latest = None;
        for step in 0..300u64 {
            let ms = step * 100;
            let (due, rest) = delayed.into_iter().partition(|(at_ms, _)| *at_ms <= ms);
            delayed = rest;
            let due: Vec<(u64, Order)> = due;
            for (_, order) in due {
                upstream.order(&order, &engine);
            }
            if random.ratio(1, 25)? {
                upstream = Upstream {
                    started_unix_ms: ms + 1,
                    ..Upstream::default()
                };
            }
            if random.ratio(1, 30)? {
                // The upstream's record was missing for a moment.
                let started_unix_ms = ledger.started_unix_ms();
                ledger = Ledger::for_incarnation(
                    started_unix_ms,
                    ledger.into_unanswered(at(ms)),
                );
            }
            if random.ratio(1, 3)? {
                let seen = upstream.report();
                old_reports.push(seen.clone());
                let stale = random.ratio(1, 3)?;
                let seen = if stale {
                    random.choose(&old_reports)?.clone()
                } else {
                    seen
                };
                latest = latest.max(seen.started_unix_ms);
                ledger.apply_report(at(ms), &seen);
                assert_eq!(ledger.started_unix_ms(), latest);
            }
            ledger.expire(at(ms));
            if let Some((order, sent)) = waiting.take_if(|_| step % 3 == 0) {
                ledger.apply_outcome(at(ms), &order, sent);
            }
            let model = *random.choose(&MODELS)?;
            let action = if random.ratio(2, 3)? {
                load(model)
            } else {
                OrderAction::Unload(name(model))
            };
            if waiting.is_some() {
                continue;
            }
            let Some(order) = ledger.issue_order(&engine, action) else {
                continue;
            };
            let sent = match random.int_in_range(0..=3)? {
                0 => SendOutcome::NotSent,
                1 => {
                    let takes = random.int_in_range(100..=12_000)?;
                    delayed.push((ms + takes, order.clone()));
                    SendOutcome::Unanswered
                }
                _ => SendOutcome::Answered(upstream.order(&order, &engine)),
            };
            waiting = Some((order, sent));
        }
        Ok(())
    });
}
