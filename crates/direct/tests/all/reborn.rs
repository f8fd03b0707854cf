//! What may be ordered from an upstream that starts again under its name.

use crate::support::{at, cases, engine, name, resident};
use direct::{
    EngineSpec, Ledger, Order, OrderAction, OrderAnswer, SendOutcome, UpstreamReport,
};
use std::collections::BTreeSet;

const MODELS: [&str; 5] = ["a", "b", "c", "d", "e"];
const ACCEPTED: SendOutcome = SendOutcome::Answered(OrderAnswer::Accepted);

fn report(born_ms: Option<u64>, orders: u64, models: &[&str]) -> UpstreamReport {
    UpstreamReport {
        started_unix_ms: born_ms,
        orders_accepted: orders,
        residents: models.iter().map(|model| resident(model, &[])).collect(),
        ..UpstreamReport::default()
    }
}

fn load(model: &str) -> OrderAction {
    OrderAction::Load(name(model))
}

/// A ledger of the start at 100, which has taken `orders` and holds `models`.
fn ledger(orders: u64, models: &[&str]) -> Ledger {
    let mut ledger = Ledger::new();
    ledger.apply_report(at(0), &report(Some(100), orders, models));
    ledger
}

/// The upstream had taken seven orders. Its later start has taken none, and by its
/// count its reports would be taken for old ones for ever.
#[test]
fn a_report_of_a_later_start_is_believed_whatever_its_count() {
    let engine = engine(&MODELS);
    let mut ledger = ledger(7, &["a", "b", "c"]);
    ledger.apply_report(at(1), &report(Some(200), 0, &[]));
    assert_eq!(ledger.started_unix_ms(), Some(200));
    assert_eq!(ledger.models().count(), 0);
    let order = ledger
        .issue_order(&engine, load("d"))
        .expect("there is room");
    assert_eq!(
        (order.started_unix_ms, order.expected_count),
        (Some(200), 0)
    );
}

#[test]
fn a_late_report_of_an_earlier_start_is_dropped() {
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

/// An order is on its way when a report of a later start comes. Its answer comes
/// behind that, and nothing says which start has given it: taken for the later
/// one's, it would raise a count that is not so, and that start's reports would be
/// dropped for ever.
#[test]
fn the_late_answer_to_an_order_at_an_earlier_start_is_not_booked() {
    let engine = engine(&MODELS);
    let mut ledger = ledger(7, &[]);
    let order = ledger
        .issue_order(&engine, load("a"))
        .expect("there is room");
    ledger.apply_report(at(1), &report(Some(200), 0, &[]));
    let next = ledger
        .issue_order(&engine, load("b"))
        .expect("there is room");
    ledger.apply_outcome(at(2), &order, ACCEPTED);
    assert_eq!(ledger.orders_accepted(), 0);
    assert!(!ledger.is_known() && !ledger.is_idle());
    ledger.apply_outcome(at(3), &next, ACCEPTED);
    assert_eq!(ledger.orders_accepted(), 1);
    assert!(ledger.models().all(|(model, _)| **model == *"b"));
}

/// Orders to an earlier start got no answer. The later start takes one that names
/// its count, so its memory is kept free until it can't come any more.
#[test]
fn the_memory_of_late_orders_to_an_earlier_start_is_kept_free() {
    let engine = engine(&MODELS);
    let mut ledger = ledger(2, &["a"]);
    let order = ledger
        .issue_order(&engine, load("b"))
        .expect("there is room");
    ledger.apply_outcome(at(0), &order, SendOutcome::Unanswered);
    assert!(
        (69.0..71.0).contains(&ledger.used_mb(&engine)),
        "the same start's"
    );
    ledger.apply_report(at(100), &report(Some(200), 0, &["c", "d"]));
    assert!(ledger.used_mb(&engine) > 209.0);
    assert_eq!(ledger.issue_order(&engine, load("e")), None);
    ledger.apply_report(at(200), &report(Some(200), 3, &["c", "d"]));
    assert!(
        ledger.issue_order(&engine, load("e")).is_some(),
        "refused by its count"
    );
}

#[test]
fn a_late_order_that_can_not_come_any_more_keeps_nothing_free() {
    let engine = engine(&MODELS);
    let mut ledger = ledger(2, &["a"]);
    let order = ledger
        .issue_order(&engine, load("b"))
        .expect("there is room");
    let late = ledger.into_unanswered(at(0));
    assert_eq!(late.load_count(), 1);
    let mut ledger = Ledger::for_incarnation(Some(200), late);
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
        .expect("there is room");
    ledger.apply_outcome(at(0), &order, SendOutcome::Unanswered);
    ledger.apply_report(at(100), &report(Some(200), 0, &["c", "d"]));
    ledger.expire(at(12_400));
    assert_eq!(ledger.issue_order(&engine, load("e")), None);
    ledger.expire(at(12_600));
    assert!(ledger.issue_order(&engine, load("e")).is_some());
}

/// An upstream that loses all it holds at each start, and takes an order at the
/// count that it names, whichever start that was decided on.
#[derive(Debug, Default)]
struct Upstream {
    born_ms: u64,
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
        assert!(used <= engine.weights_max_mb, "ordered over its memory");
        OrderAnswer::Accepted
    }

    fn report(&self) -> UpstreamReport {
        let models: Vec<&str> = self.held.iter().map(String::as_str).collect();
        report(Some(self.born_ms), self.orders, &models)
    }
}

/// Reports, answers and orders get lost or come seconds late, and the upstream
/// starts again meanwhile, time after time. The ledger never goes back to an
/// earlier start, and no start is ever ordered to hold more than it can.
#[test]
fn no_sequence_of_restarts_and_late_orders_overfills_an_upstream() {
    let engine = engine(&MODELS);
    cases(300, |random| {
        let mut upstream = Upstream::default();
        let mut ledger = Ledger::new();
        let mut late: Vec<(u64, Order)> = Vec::new();
        let mut old_reports: Vec<UpstreamReport> = Vec::new();
        let mut waiting: Option<(Order, SendOutcome)> = None;
        let mut latest = None;
        for step in 0..300u64 {
            let ms = step * 100;
            let (due, rest) = late.into_iter().partition(|(at_ms, _)| *at_ms <= ms);
            late = rest;
            let due: Vec<(u64, Order)> = due;
            for (_, order) in due {
                upstream.order(&order, &engine);
            }
            if random.ratio(1, 25)? {
                upstream = Upstream {
                    born_ms: ms + 1,
                    ..Upstream::default()
                };
            }
            if random.ratio(1, 30)? {
                // Its entry was gone for a moment.
                let born_ms = ledger.started_unix_ms();
                ledger =
                    Ledger::for_incarnation(born_ms, ledger.into_unanswered(at(ms)));
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
                    late.push((ms + takes, order.clone()));
                    SendOutcome::Unanswered
                }
                _ => SendOutcome::Answered(upstream.order(&order, &engine)),
            };
            waiting = Some((order, sent));
        }
        Ok(())
    });
}
