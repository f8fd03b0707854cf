//! What may be ordered from an upstream that starts again under its name.

use crate::support::{at, cases, engine, name, resident};
use direct::{Action, Engine, Ledger, Order, OrderAnswer, Report, Sent};
use std::collections::BTreeSet;

const MODELS: [&str; 5] = ["a", "b", "c", "d", "e"];
const ACCEPTED: Sent = Sent::Answered(OrderAnswer::Accepted);

fn report(born_ms: Option<u64>, orders: u64, models: &[&str]) -> Report {
    Report {
        born_ms,
        orders_accepted: orders,
        residents: models.iter().map(|model| resident(model, &[])).collect(),
        ..Report::default()
    }
}

fn load(model: &str) -> Action {
    Action::Load(name(model))
}

/// A ledger of the start at 100, which has taken `orders` and holds `models`.
fn ledger(orders: u64, models: &[&str]) -> Ledger {
    let mut ledger = Ledger::new();
    ledger.report(at(0), &report(Some(100), orders, models));
    ledger
}

/// The upstream had taken seven orders. Its later start has taken none, and by its
/// count its reports would be taken for old ones for ever.
#[test]
fn a_report_of_a_later_start_is_believed_whatever_its_count() {
    let engine = engine(&MODELS);
    let mut ledger = ledger(7, &["a", "b", "c"]);
    ledger.report(at(1), &report(Some(200), 0, &[]));
    assert_eq!(ledger.born_ms(), Some(200));
    assert_eq!(ledger.models().count(), 0);
    let order = ledger.order(&engine, load("d")).expect("there is room");
    assert_eq!((order.born_ms, order.expect), (Some(200), 0));
}

#[test]
fn a_late_report_of_an_earlier_start_is_dropped() {
    let mut ledger = ledger(7, &["a"]);
    ledger.report(at(1), &report(Some(200), 0, &["b"]));
    ledger.report(at(2), &report(Some(100), 9, &["a"]));
    ledger.report(at(3), &report(None, 9, &["a"]));
    assert_eq!((ledger.born_ms(), ledger.orders_accepted()), (Some(200), 0));
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
    let order = ledger.order(&engine, load("a")).expect("there is room");
    ledger.report(at(1), &report(Some(200), 0, &[]));
    let next = ledger.order(&engine, load("b")).expect("there is room");
    ledger.sent(at(2), &order, ACCEPTED);
    assert_eq!(ledger.orders_accepted(), 0);
    assert!(!ledger.is_known() && !ledger.is_idle());
    ledger.sent(at(3), &next, ACCEPTED);
    assert_eq!(ledger.orders_accepted(), 1);
    assert!(ledger.models().all(|(model, _)| **model == *"b"));
}

/// Orders to an earlier start got no answer. The later start takes one that names
/// its count, so its memory is kept free until it can't come any more.
#[test]
fn the_memory_of_late_orders_to_an_earlier_start_is_kept_free() {
    let engine = engine(&MODELS);
    let mut ledger = ledger(2, &["a"]);
    let order = ledger.order(&engine, load("b")).expect("there is room");
    ledger.sent(at(0), &order, Sent::Unanswered);
    assert!(
        (69.0..71.0).contains(&ledger.used_mb(&engine)),
        "the same start's"
    );
    ledger.report(at(100), &report(Some(200), 0, &["c", "d"]));
    assert!(ledger.used_mb(&engine) > 209.0);
    assert_eq!(ledger.order(&engine, load("e")), None);
    ledger.report(at(200), &report(Some(200), 3, &["c", "d"]));
    assert!(
        ledger.order(&engine, load("e")).is_some(),
        "refused by its count"
    );
}

#[test]
fn a_late_order_that_can_not_come_any_more_keeps_nothing_free() {
    let engine = engine(&MODELS);
    let mut ledger = ledger(2, &["a"]);
    let order = ledger.order(&engine, load("b")).expect("there is room");
    let late = ledger.into_late(at(0));
    assert_eq!(late.loads(), 1);
    let mut ledger = Ledger::of_start(Some(200), late);
    ledger.report(at(100), &report(Some(200), 0, &["c", "d"]));
    assert_eq!(ledger.order(&engine, load("e")), None);
    let mut refused = Ledger::of_start(Some(200), ledger.into_late(at(100)));
    refused.sent(at(150), &order, Sent::Answered(OrderAnswer::Refused));
    refused.report(at(200), &report(Some(200), 0, &["c", "d"]));
    assert!(refused.order(&engine, load("e")).is_some());
    let mut ledger = Ledger::new();
    ledger.report(at(0), &report(Some(100), 2, &[]));
    let order = ledger.order(&engine, load("b")).expect("there is room");
    ledger.sent(at(0), &order, Sent::Unanswered);
    ledger.report(at(100), &report(Some(200), 0, &["c", "d"]));
    ledger.expire(at(12_400));
    assert_eq!(ledger.order(&engine, load("e")), None);
    ledger.expire(at(12_600));
    assert!(ledger.order(&engine, load("e")).is_some());
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
    fn order(&mut self, order: &Order, engine: &Engine) -> OrderAnswer {
        if order.expect != self.orders {
            return OrderAnswer::Conflict;
        }
        self.orders += 1;
        match &order.action {
            Action::Load(model) => {
                self.held.insert(model.to_string());
            }
            Action::Unload(model) => {
                self.held.remove(&**model);
            }
            Action::LoadAdapter(..) | Action::UnloadAdapter(..) => {}
        }
        let used: f64 = self.held.len() as f64 * 70.0;
        assert!(used <= engine.weights_max_mb, "ordered over its memory");
        OrderAnswer::Accepted
    }

    fn report(&self) -> Report {
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
        let mut old_reports: Vec<Report> = Vec::new();
        let mut waiting: Option<(Order, Sent)> = None;
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
                let born_ms = ledger.born_ms();
                ledger = Ledger::of_start(born_ms, ledger.into_late(at(ms)));
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
                latest = latest.max(seen.born_ms);
                ledger.report(at(ms), &seen);
                assert_eq!(ledger.born_ms(), latest);
            }
            ledger.expire(at(ms));
            if let Some((order, sent)) = waiting.take_if(|_| step % 3 == 0) {
                ledger.sent(at(ms), &order, sent);
            }
            let model = *random.choose(&MODELS)?;
            let action = if random.ratio(2, 3)? {
                load(model)
            } else {
                Action::Unload(name(model))
            };
            if waiting.is_some() {
                continue;
            }
            let Some(order) = ledger.order(&engine, action) else {
                continue;
            };
            let sent = match random.int_in_range(0..=3)? {
                0 => Sent::NotSent,
                1 => {
                    let takes = random.int_in_range(100..=12_000)?;
                    late.push((ms + takes, order.clone()));
                    Sent::Unanswered
                }
                _ => Sent::Answered(upstream.order(&order, &engine)),
            };
            waiting = Some((order, sent));
        }
        Ok(())
    });
}
