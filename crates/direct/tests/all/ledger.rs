//! Orders to an upstream whose answers get lost.

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
fn nothing_is_ordered_before_the_first_report() {
    let engine = engine(&MODELS);
    let mut ledger = Ledger::new();
    assert!(ledger.needs_report());
    assert_eq!(ledger.issue_order(&engine, load("a")), None);
    ledger.apply_report(at(0), &report(0, false, &[]));
    assert!(ledger.issue_order(&engine, load("a")).is_some());
}

#[test]
fn a_fourth_model_fits_only_after_an_unload_has_finished() {
    let engine = engine(&MODELS);
    let mut ledger = Ledger::new();
    ledger.apply_report(at(0), &report(3, false, &["a", "b", "c"]));
    assert_eq!(ledger.issue_order(&engine, load("d")), None);
    let unload = ledger
        .issue_order(&engine, OrderAction::Unload(name("a")))
        .expect("the upstream is idle");
    ledger.apply_outcome(at(1), &unload, ACCEPTED);
    assert_eq!(ledger.issue_order(&engine, load("d")), None);
    ledger.apply_report(at(2), &report(4, true, &["a", "b", "c"]));
    assert_eq!(ledger.issue_order(&engine, load("d")), None);
    ledger.apply_report(at(3), &report(4, false, &["b", "c"]));
    assert!(ledger.issue_order(&engine, load("d")).is_some());
}

/// Two requests wait for an adapter, and the order for it has no answer yet. The
/// adapter must count as coming, or the second request would have it loaded on further
/// upstreams.
#[test]
fn an_adapter_that_was_just_ordered_counts_as_held() {
    let engine = engine(&MODELS);
    let mut ledger = Ledger::new();
    ledger.apply_report(at(0), &report(0, false, &["a"]));
    let action = OrderAction::LoadAdapter(name("a"), name("x"));
    let order = ledger.issue_order(&engine, action).expect("memory is free");
    assert!(ledger.has_adapter("a", "x") && !ledger.has_adapter("a", "y"));
    ledger.apply_outcome(at(1), &order, SendOutcome::NotSent);
    assert!(!ledger.has_adapter("a", "x"));
}

/// Guards against requests for an adapter that are sent to the upstream which is unloading
/// it, and refused there, while no other is ordered to load it.
#[test]
fn an_adapter_whose_unload_waits_for_its_requests_is_not_served() {
    let engine = engine(&MODELS);
    let mut ledger = Ledger::new();
    let mut listed = report(0, false, &["a"]);
    listed.residents[0].adapters = vec![name("x"), name("y")];
    ledger.apply_report(at(0), &listed);
    let action = OrderAction::UnloadAdapter(name("a"), name("x"));
    let unload = ledger.issue_order(&engine, action).expect("it is held");
    assert!(ledger.serves_adapter("a", "x"));
    ledger.apply_outcome(at(1), &unload, ACCEPTED);
    listed.orders_accepted = 1;
    for now in [2, 59_000] {
        ledger.apply_report(at(now), &listed);
        assert!(ledger.has_adapter("a", "x") && !ledger.serves_adapter("a", "x"));
        assert!(ledger.serves_adapter("a", "y"));
        assert_eq!(ledger.servable(at(now))[0].adapters, [name("y")]);
        assert_eq!(
            ledger.adapter_count(),
            2,
            "it takes its place until it is gone"
        );
    }
    let mut gone = ledger;
    listed.residents[0].adapters = vec![name("y")];
    gone.apply_report(at(60_000), &listed);
    assert!(!gone.has_adapter("a", "x"));
    let action = OrderAction::LoadAdapter(name("a"), name("x"));
    let load = gone
        .issue_order(&engine, action)
        .expect("its place is free");
    gone.apply_outcome(at(60_001), &load, ACCEPTED);
    assert!(gone.serves_adapter("a", "x"));
}

/// Guards against an adapter that is never used again, since an upstream accepted its
/// unload and did not carry it out.
#[test]
fn an_adapter_that_stays_after_its_unload_is_served_again() {
    let engine = engine(&MODELS);
    let mut ledger = Ledger::new();
    let mut listed = report(0, false, &["a"]);
    listed.residents[0].adapters = vec![name("x")];
    ledger.apply_report(at(0), &listed);
    let action = OrderAction::UnloadAdapter(name("a"), name("x"));
    let unload = ledger.issue_order(&engine, action).expect("it is held");
    ledger.apply_outcome(at(1), &unload, ACCEPTED);
    listed.orders_accepted = 1;
    ledger.apply_report(at(60_001), &listed);
    assert!(ledger.serves_adapter("a", "x"));
}

/// The report was made before the order that was just accepted. If it were applied, the
/// loading model would be forgotten and its memory assigned twice.
#[test]
fn a_report_from_before_the_last_order_is_dropped() {
    let engine = engine(&MODELS);
    let mut ledger = Ledger::new();
    ledger.apply_report(at(0), &report(7, false, &["a", "b"]));
    let order = ledger
        .issue_order(&engine, load("c"))
        .expect("memory is free");
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
fn an_unanswered_order_requires_a_new_report() {
    let engine = engine(&MODELS);
    let mut ledger = Ledger::new();
    ledger.apply_report(at(0), &report(0, false, &["a", "b"]));
    let order = ledger
        .issue_order(&engine, load("c"))
        .expect("memory is free");
    assert_eq!(
        ledger.issue_order(&engine, load("d")),
        None,
        "an upstream takes one order at a time"
    );
    ledger.apply_outcome(at(800), &order, SendOutcome::Unanswered);
    assert!(ledger.needs_report());
    assert_eq!(ledger.issue_order(&engine, load("d")), None);
}

/// An unload got no answer, and the upstream carries it out seconds later. Until its
/// last request has ended, the upstream still lists the model and refuses every request
/// for it, so entries must not be told that it serves the model.
#[test]
fn a_model_whose_unanswered_unload_starts_is_no_longer_servable() {
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
    assert!(ledger.needs_report(), "the unload may start at any moment");
    ledger.apply_report(at(5_000), &report(1, true, &["a", "b"]));
    assert!(!serves(&ledger, 5_000) && ledger.is_unloading("a"));
    ledger.apply_report(at(9_000), &report(1, true, &["a", "b"]));
    assert!(!serves(&ledger, 9_000));
    ledger.apply_report(at(9_200), &report(1, false, &["b"]));
    ledger.expire(at(20_000));
    assert!(ledger.is_idle() && !ledger.needs_report());
}

#[test]
fn adapters_stay_within_their_slots_and_need_their_model() {
    let engine = engine(&MODELS);
    let adapter = |adapter: &str| OrderAction::LoadAdapter(name("a"), name(adapter));
    let mut ledger = Ledger::new();
    ledger.apply_report(at(0), &report(0, false, &["a"]));
    for (index, which) in ["x", "y"].into_iter().enumerate() {
        let order = ledger
            .issue_order(&engine, adapter(which))
            .expect("a slot is free");
        assert_eq!(order.expected_count, index as u64);
        ledger.apply_outcome(at(1), &order, ACCEPTED);
    }
    assert_eq!(ledger.issue_order(&engine, adapter("z")), None);
    let away = OrderAction::LoadAdapter(name("b"), name("x"));
    assert_eq!(ledger.issue_order(&engine, away), None);
    let serving = ledger.servable(at(1));
    assert!(serving[0].adapters.is_empty(), "they are still loading");
    assert_eq!(ledger.servable(at(500))[0].adapters.len(), 2);
    let held = ledger.adapters_held();
    let names: Vec<&str> = held[&name("a")].keys().map(|name| &**name).collect();
    assert_eq!(names, ["x", "y"]);
    let unload = OrderAction::UnloadAdapter(name("a"), name("x"));
    let order = ledger.issue_order(&engine, unload).expect("it is held");
    ledger.apply_outcome(at(600), &order, SendOutcome::Answered(OrderAnswer::Done));
    assert!(ledger.issue_order(&engine, adapter("z")).is_some());
}

/// A report made during a load doesn't list the model yet. Its memory is in use all the
/// same, and another model ordered in addition would crash the upstream.
#[test]
fn a_loading_model_counts_while_a_busy_report_does_not_list_it() {
    let engine = engine(&MODELS);
    let mut ledger = Ledger::new();
    ledger.apply_report(at(0), &report(0, false, &["a", "b"]));
    let order = ledger
        .issue_order(&engine, load("c"))
        .expect("memory is free");
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

/// An upstream that follows the protocol: it checks the order count when an order
/// arrives, however late, and crashes if it is ordered to hold more than fits.
#[derive(Debug, Default)]
struct Upstream {
    orders: u64,
    /// Models held, and whether each is being unloaded.
    held: BTreeMap<String, bool>,
    busy_until: u64,
}

impl Upstream {
    fn settle(&mut self, ms: u64) {
        if self.busy_until <= ms {
            self.held.retain(|_, unloading| !*unloading);
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
        assert!(
            used <= engine.weights_max_mb,
            "ordered to hold more than fits"
        );
        OrderAnswer::Accepted
    }

    fn report(&mut self, ms: u64) -> UpstreamReport {
        self.settle(ms);
        let models: Vec<&str> = self.held.keys().map(String::as_str).collect();
        report(self.orders, self.busy_until > ms, &models)
    }
}

/// Orders and reports get lost and arrive seconds late, even after newer ones, and the
/// coordinator changes: each new one starts with an empty ledger while orders of its
/// predecessor are still in transit. No upstream may be ordered to hold more than fits,
/// because each order names the count on which it was decided.
#[test]
fn no_sequence_of_lost_and_late_orders_overfills_an_upstream() {
    let engine = engine(&MODELS);
    cases(300, |random| {
        let mut upstream = Upstream::default();
        let mut ledger = Ledger::new();
        let mut delayed: Vec<(u64, Order)> = Vec::new();
        let mut old_report: Option<UpstreamReport> = None;
        for step in 0..300u64 {
            let ms = step * 100;
            let (due, rest) = delayed.into_iter().partition(|(at_ms, _)| *at_ms <= ms);
            delayed = rest;
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
            let outcome = match random.int_in_range(0..=3)? {
                0 => SendOutcome::NotSent,
                1 => {
                    let takes = random.int_in_range(100..=12_000)?;
                    delayed.push((ms + takes, order.clone()));
                    SendOutcome::Unanswered
                }
                _ => SendOutcome::Answered(upstream.order(ms, &order, &engine)),
            };
            ledger.apply_outcome(at(ms), &order, outcome);
        }
        Ok(())
    });
}

#[test]
fn the_load_time_depends_on_where_the_weights_are() {
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
