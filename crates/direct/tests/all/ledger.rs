//! What may be ordered from an upstream whose answers get lost.

use crate::support::{at, cases, engine, name, resident};
use direct::{
    EngineSpec, Ledger, LocalWeights, Order, OrderAction, OrderAnswer, SendOutcome,
    UpstreamReport,
};
use std::collections::BTreeMap;

const MODELS: [&str; 5] = ["a", "b", "c", "d", "e"];

fn report(orders: u64, busy: bool, models: &[&str]) -> UpstreamReport {
    UpstreamReport {
        busy,
        orders_accepted: orders,
        residents: models.iter().map(|model| resident(model, &[])).collect(),
        ..UpstreamReport::default()
    }
}

fn load(model: &str) -> OrderAction {
    OrderAction::Load(name(model))
}

const ACCEPTED: SendOutcome = SendOutcome::Answered(OrderAnswer::Accepted);

#[test]
fn nothing_is_ordered_before_the_upstream_was_asked() {
    let engine = engine(&MODELS);
    let mut ledger = Ledger::new();
    assert!(ledger.needs_report());
    assert_eq!(ledger.issue_order(&engine, load("a")), None);
    ledger.apply_report(at(0), &report(0, false, &[]));
    assert!(ledger.issue_order(&engine, load("a")).is_some());
}

#[test]
fn a_fourth_model_does_not_fit_and_an_unload_frees_nothing_until_it_is_done() {
    let engine = engine(&MODELS);
    let mut ledger = Ledger::new();
    ledger.apply_report(at(0), &report(3, false, &["a", "b", "c"]));
    assert_eq!(ledger.issue_order(&engine, load("d")), None);
    let unload = ledger
        .issue_order(&engine, OrderAction::Unload(name("a")))
        .expect("idle");
    ledger.apply_outcome(at(1), &unload, ACCEPTED);
    assert_eq!(ledger.issue_order(&engine, load("d")), None);
    ledger.apply_report(at(2), &report(4, true, &["a", "b", "c"]));
    assert_eq!(ledger.issue_order(&engine, load("d")), None);
    ledger.apply_report(at(3), &report(4, false, &["b", "c"]));
    assert!(ledger.issue_order(&engine, load("d")).is_some());
}

/// Two callers wait for an adapter, and the order for it has no answer yet. It is
/// known to be coming: looked for again, it would take a place at each upstream.
#[test]
fn an_adapter_that_was_just_ordered_is_known_to_be_coming() {
    let engine = engine(&MODELS);
    let mut ledger = Ledger::new();
    ledger.apply_report(at(0), &report(0, false, &["a"]));
    let action = OrderAction::LoadAdapter(name("a"), name("x"));
    let order = ledger.issue_order(&engine, action).expect("there is room");
    assert!(ledger.has_adapter("a", "x") && !ledger.has_adapter("a", "y"));
    ledger.apply_outcome(at(1), &order, SendOutcome::NotSent);
    assert!(!ledger.has_adapter("a", "x"));
}

/// The report was made before the order that was just accepted. Taken at its
/// word, the model on its way would be forgotten and its memory given out twice.
#[test]
fn a_report_from_before_the_last_order_is_dropped() {
    let engine = engine(&MODELS);
    let mut ledger = Ledger::new();
    ledger.apply_report(at(0), &report(7, false, &["a", "b"]));
    let order = ledger
        .issue_order(&engine, load("c"))
        .expect("there is room");
    ledger.apply_outcome(at(1), &order, ACCEPTED);
    ledger.apply_report(at(2), &report(7, false, &["a", "b"]));
    assert_eq!(ledger.issue_order(&engine, load("d")), None);
    assert!(
        ledger
            .models()
            .any(|(model, loaded)| **model == *"c" && !loaded)
    );
}

#[test]
fn an_order_without_an_answer_makes_the_upstream_be_asked_again() {
    let engine = engine(&MODELS);
    let mut ledger = Ledger::new();
    ledger.apply_report(at(0), &report(0, false, &["a", "b"]));
    let order = ledger
        .issue_order(&engine, load("c"))
        .expect("there is room");
    assert_eq!(
        ledger.issue_order(&engine, load("d")),
        None,
        "one order at a time"
    );
    ledger.apply_outcome(at(800), &order, SendOutcome::Unanswered);
    assert!(ledger.needs_report());
    assert_eq!(ledger.issue_order(&engine, load("d")), None);
}

/// An unload got no answer, and seconds later the upstream carries it out. Until its
/// last run has ended it still lists the model and refuses every request for it, so
/// entries must not be told that it serves the model.
#[test]
fn a_model_whose_unload_begins_late_serves_no_more() {
    let engine = engine(&MODELS);
    let mut ledger = Ledger::new();
    ledger.apply_report(at(0), &report(0, false, &["a", "b"]));
    let unload = OrderAction::Unload(name("a"));
    let order = ledger.issue_order(&engine, unload).expect("it is held");
    ledger.apply_outcome(at(800), &order, SendOutcome::Unanswered);
    ledger.apply_report(at(1_000), &report(0, false, &["a", "b"]));
    let serves = |ledger: &Ledger, ms| {
        let serving = ledger.servable(at(ms));
        serving.iter().any(|resident| *resident.model == *"a")
    };
    assert!(serves(&ledger, 1_000));
    assert!(ledger.needs_report(), "it may begin at any moment");
    ledger.apply_report(at(5_000), &report(1, true, &["a", "b"]));
    assert!(!serves(&ledger, 5_000) && ledger.is_unloading("a"));
    ledger.apply_report(at(9_000), &report(1, true, &["a", "b"]));
    assert!(!serves(&ledger, 9_000));
    ledger.apply_report(at(9_200), &report(1, false, &["b"]));
    ledger.expire(at(20_000));
    assert!(ledger.is_idle() && !ledger.needs_report());
}

#[test]
fn adapters_stay_within_their_places_and_beside_their_model() {
    let engine = engine(&MODELS);
    let adapter = |adapter: &str| OrderAction::LoadAdapter(name("a"), name(adapter));
    let mut ledger = Ledger::new();
    ledger.apply_report(at(0), &report(0, false, &["a"]));
    for (index, which) in ["x", "y"].into_iter().enumerate() {
        let order = ledger
            .issue_order(&engine, adapter(which))
            .expect("a free place");
        assert_eq!(order.expected_count, index as u64);
        ledger.apply_outcome(at(1), &order, ACCEPTED);
    }
    assert_eq!(ledger.issue_order(&engine, adapter("z")), None);
    let away = OrderAction::LoadAdapter(name("b"), name("x"));
    assert_eq!(ledger.issue_order(&engine, away), None);
    let serving = ledger.servable(at(1));
    assert!(
        serving[0].adapters.is_empty(),
        "they are still on their way"
    );
    assert_eq!(ledger.servable(at(500))[0].adapters.len(), 2);
    let held = ledger.adapters_held();
    let names: Vec<&str> = held[&name("a")].keys().map(|name| &**name).collect();
    assert_eq!(names, ["x", "y"]);
    let unload = OrderAction::UnloadAdapter(name("a"), name("x"));
    let order = ledger.issue_order(&engine, unload).expect("it is held");
    ledger.apply_outcome(at(600), &order, SendOutcome::Answered(OrderAnswer::Done));
    assert!(ledger.issue_order(&engine, adapter("z")).is_some());
}

/// A report from the middle of a load does not name the model yet. Its memory is
/// taken all the same, and another model ordered beside it would crash the
/// upstream.
#[test]
fn a_model_on_its_way_counts_while_a_busy_report_does_not_name_it() {
    let engine = engine(&MODELS);
    let mut ledger = Ledger::new();
    ledger.apply_report(at(0), &report(0, false, &["a", "b"]));
    let order = ledger
        .issue_order(&engine, load("c"))
        .expect("there is room");
    ledger.apply_outcome(at(1), &order, ACCEPTED);
    ledger.apply_report(at(2), &report(1, true, &["a", "b"]));
    let used = ledger.used_mb(&engine);
    assert!((209.0..211.0).contains(&used), "{used}");
    let coming: Vec<_> = ledger
        .loading_models()
        .map(|(model, at)| (&**model, at))
        .collect();
    assert_eq!(coming, [("c", at(2_001))]);
    ledger.apply_report(at(3), &report(1, false, &["a", "b", "c"]));
    assert_eq!(ledger.loading_models().count(), 0);
}

/// An upstream as its protocol gives it: it checks the order count when an order
/// arrives, whenever that is, and would crash over its memory.
#[derive(Debug, Default)]
struct Upstream {
    orders: u64,
    held: BTreeMap<String, bool>,
    busy_until: u64,
}

impl Upstream {
    fn settle(&mut self, ms: u64) {
        if self.busy_until <= ms {
            self.held.retain(|_, leaving| !*leaving);
        }
    }

    fn order(&mut self, ms: u64, order: &Order, engine: &EngineSpec) -> OrderAnswer {
        self.settle(ms);
        if self.busy_until > ms || order.expected_count != self.orders {
            return OrderAnswer::Conflict;
        }
        self.orders += 1;
        self.busy_until = ms + 700;
        match &order.action {
            OrderAction::Load(model) => {
                self.held.insert(model.to_string(), false);
            }
            OrderAction::Unload(model) => {
                self.held.insert(model.to_string(), true);
            }
            OrderAction::LoadAdapter(..) | OrderAction::UnloadAdapter(..) => {}
        }
        let used: f64 = self.held.len() as f64 * 70.0;
        assert!(used <= engine.weights_max_mb, "ordered over its memory");
        OrderAnswer::Accepted
    }

    fn report(&mut self, ms: u64) -> UpstreamReport {
        self.settle(ms);
        let models: Vec<&str> = self.held.keys().map(String::as_str).collect();
        report(self.orders, self.busy_until > ms, &models)
    }
}

/// Orders and reports get lost and arrive seconds late, also after newer ones,
/// and the giver changes: each new one starts with an empty ledger while orders
/// of the last are still under way. No upstream is ever ordered more than it can
/// hold, since each order names the count that it was decided on.
#[test]
fn no_sequence_of_lost_and_late_orders_overfills_an_upstream() {
    let engine = engine(&MODELS);
    cases(300, |random| {
        let mut upstream = Upstream::default();
        let mut ledger = Ledger::new();
        let mut late: Vec<(u64, Order)> = Vec::new();
        let mut old_report: Option<UpstreamReport> = None;
        for step in 0..300u64 {
            let ms = step * 100;
            let (due, rest) = late.into_iter().partition(|(at_ms, _)| *at_ms <= ms);
            late = rest;
            for (_, order) in due {
                let order: Order = order;
                upstream.order(ms, &order, &engine);
            }
            if random.ratio(1, 40)? {
                ledger = Ledger::new();
            }
            if random.ratio(1, 10)? {
                old_report = Some(upstream.report(ms));
            }
            if random.ratio(1, 4)? {
                let stale = random.ratio(1, 3)?;
                let fresh = upstream.report(ms);
                let seen = old_report.take().filter(|_| stale).unwrap_or(fresh);
                ledger.apply_report(at(ms), &seen);
            }
            let model = *random.choose(&MODELS)?;
            let action = if random.arbitrary()? {
                load(model)
            } else {
                OrderAction::Unload(name(model))
            };
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
                _ => SendOutcome::Answered(upstream.order(ms, &order, &engine)),
            };
            ledger.apply_outcome(at(ms), &order, sent);
        }
        Ok(())
    });
}

#[test]
fn a_load_takes_as_long_as_from_where_its_weights_are() {
    let engine = engine(&MODELS);
    let mut ledger = Ledger::new();
    let mut known = report(0, false, &[]);
    known.local_weights = LocalWeights {
        in_memory: vec![name("a")],
        on_disk: vec![name("a"), name("b")],
    };
    ledger.apply_report(at(0), &known);
    let takes = ["a", "b", "c"].map(|model| ledger.load_ms(&engine, &name(model)));
    assert_eq!(takes, [500, 1_000, 2_000]);
    assert!(
        ledger.has_local_weights(&name("b")) && !ledger.has_local_weights(&name("c"))
    );
}
