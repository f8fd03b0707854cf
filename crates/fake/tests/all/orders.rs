//! Tests of the engine's orders, memory accounting and state report.

use fake::engine::{EngineOptions, Faults, ResidentState};
use fake::store::{self, StoreOptions};
use serde_json::{Value, json};

use crate::client::{get, send_request, wait_until};
use crate::engine::{fast_options, is_done, start_engine};

pub fn build_order(
    number: u64,
    fence: u64,
    kind: &str,
    model: &str,
    size_mib: u32,
) -> Value {
    json!({
        "order": number, "fence": fence, "kind": kind, "model": model,
        "version": 1, "base": null, "accelerator": 0, "size_mib": size_mib,
    })
}

pub async fn send_order(
    engine: &fake::Handle<fake::engine::Engine>,
    order: &Value,
) -> Option<u16> {
    let path = "/admin/orders";
    let response =
        send_request(engine.address, "POST", path, &[], order.to_string()).await;
    response.map(|response| response.status)
}

#[tokio::test]
async fn the_state_shows_residents_and_orders() {
    let engine = start_engine(fast_options()).await;
    assert_eq!(
        send_order(&engine, &build_order(7, 3, "load", "m", 1_000)).await,
        Some(202)
    );
    wait_until(|| is_done(&engine, 7)).await;
    let state = get(engine.address, "/admin/state").await;
    let state = state.expect("a response arrives").json();
    assert_eq!(
        state,
        json!({
            "incarnation": 1, "fence": 3, "running": 0, "waiting": 0,
            "step_time_us": 200, "report_age_ms": 0,
            "residents": [{
                "model": "m", "version": 1, "accelerator": 0, "size_mib": 1_000,
                "state": "loaded",
            }],
            "orders": [{"order": 7, "fence": 3, "state": "done"}],
        })
    );
    assert_eq!(
        send_order(&engine, &build_order(8, 3, "unload", "m", 0)).await,
        Some(202)
    );
    wait_until(|| is_done(&engine, 8)).await;
    assert!(engine.report().residents.is_empty());
    let counts = engine.counts();
    assert_eq!((counts.loads, counts.unloads, counts.orders), (1, 1, 2));
}

#[tokio::test]
async fn a_low_fencing_epoch_is_refused_only_if_checked() {
    for (check_fencing, status, fenced, stale) in
        [(true, 409, 1, 0), (false, 202, 0, 1)]
    {
        let engine = start_engine(EngineOptions {
            check_fencing,
            ..fast_options()
        })
        .await;
        for (number, fence) in [(1, 5), (2, 5), (3, 6)] {
            let model = format!("m{number}");
            let order = build_order(number, fence, "load", &model, 1);
            assert_eq!(send_order(&engine, &order).await, Some(202));
        }
        let old = send_order(&engine, &build_order(4, 5, "load", "old", 1)).await;
        assert_eq!(old, Some(status));
        let counts = engine.counts();
        assert_eq!((counts.orders_fenced, counts.orders_stale), (fenced, stale));
        let resident_count = engine.report().residents.len();
        assert_eq!(resident_count, if check_fencing { 3 } else { 4 });
        assert_eq!(engine.report().fence, 6);
    }
}

#[tokio::test]
async fn an_overcommitting_load_is_carried_out_and_counted() {
    let engine = start_engine(EngineOptions {
        accelerators_mib: vec![2_000],
        ..fast_options()
    })
    .await;
    // (model, size in MiB, overcommits after the load)
    for (number, (model, size_mib, overcommits)) in
        [("a", 1_000, 0), ("b", 1_000, 0), ("c", 1, 1)]
            .into_iter()
            .enumerate()
    {
        let number = number as u64;
        let order = build_order(number, 1, "load", model, size_mib);
        assert_eq!(send_order(&engine, &order).await, Some(202));
        wait_until(|| is_done(&engine, number)).await;
        assert_eq!(engine.counts().overcommits, overcommits);
    }
    assert_eq!(engine.report().residents.len(), 3);
    assert_eq!(engine.counts().used_max_mib, 2_001);
}

/// Memory stays in use until an unload has completed, so a load that starts before
/// exceeds it.
#[tokio::test]
async fn an_unloading_model_keeps_its_memory() {
    let engine = start_engine(EngineOptions {
        accelerators_mib: vec![1_000],
        unload_ms: 600_000,
        ..fast_options()
    })
    .await;
    send_order(&engine, &build_order(1, 1, "load", "a", 1_000)).await;
    wait_until(|| is_done(&engine, 1)).await;
    send_order(&engine, &build_order(2, 1, "unload", "a", 0)).await;
    let state = engine.report().residents[0].state;
    assert_eq!(state, ResidentState::Unloading);
    send_order(&engine, &build_order(3, 1, "load", "b", 1)).await;
    assert_eq!(engine.counts().overcommits, 1);
}

#[tokio::test]
async fn a_repeated_order_has_no_second_effect() {
    let engine = start_engine(fast_options()).await;
    let load = build_order(1, 1, "load", "m", 1_000);
    for _ in 0..3 {
        assert_eq!(send_order(&engine, &load).await, Some(202));
    }
    wait_until(|| is_done(&engine, 1)).await;
    assert_eq!(engine.report().residents.len(), 1);
    assert_eq!(engine.counts().orders_repeated, 2);
    // An order with another number completes at once, as the model is loaded.
    assert_eq!(
        send_order(&engine, &build_order(2, 1, "load", "m", 1_000)).await,
        Some(202)
    );
    assert!(is_done(&engine, 2));
    assert_eq!(engine.counts().loads, 1);
}

#[tokio::test]
async fn an_invalid_order_is_refused() {
    let engine = start_engine(fast_options()).await;
    let mut unknown_accelerator = build_order(1, 1, "load", "m", 1);
    unknown_accelerator["accelerator"] = json!(1);
    let no_model = build_order(2, 1, "load", "", 1);
    let unknown_kind = build_order(3, 1, "move", "m", 1);
    for invalid in [unknown_accelerator, no_model, unknown_kind, json!([])] {
        assert_eq!(send_order(&engine, &invalid).await, Some(400), "{invalid}");
    }
    assert!(engine.report().orders.is_empty());
}

/// Checks the response to an order under each fault, and whether the model is loaded.
#[tokio::test]
async fn each_order_fault_has_exactly_one_effect() {
    let none = Faults::default;
    let cases = [
        (none(), Some(202), true),
        (
            Faults {
                lose_orders: 1,
                ..none()
            },
            None,
            false,
        ),
        (
            Faults {
                ignore_orders: 1,
                ..none()
            },
            Some(202),
            false,
        ),
        (
            Faults {
                lose_order_answers: 1,
                ..none()
            },
            None,
            true,
        ),
        (
            Faults {
                late_orders: 1,
                ..none()
            },
            None,
            true,
        ),
    ];
    for (faults, status, takes_effect) in cases {
        let engine = start_engine(fast_options()).await;
        engine.set_faults(faults.clone());
        let sent = send_order(&engine, &build_order(1, 1, "load", "m", 1_000)).await;
        assert_eq!(sent, status, "{faults:?}");
        if faults.late_orders > 0 {
            assert!(engine.report().orders.is_empty());
            engine.deliver_late_orders();
        }
        if takes_effect {
            wait_until(|| is_done(&engine, 1)).await;
        }
        // The fault applied to one order only; the next is carried out.
        let next = send_order(&engine, &build_order(2, 1, "load", "n", 1_000)).await;
        assert_eq!(next, Some(202), "{faults:?}");
        wait_until(|| is_done(&engine, 2)).await;
        let residents = engine.report().residents;
        let is_loaded = residents.iter().any(|resident| resident.model == "m");
        assert_eq!(is_loaded, takes_effect, "{faults:?}");
    }
}

/// A late order takes effect after one with a higher fencing epoch and must be refused.
#[tokio::test]
async fn a_late_order_is_checked_when_it_takes_effect() {
    let engine = start_engine(EngineOptions {
        check_fencing: true,
        ..fast_options()
    })
    .await;
    engine.set_faults(Faults {
        late_orders: 1,
        ..Faults::default()
    });
    assert_eq!(
        send_order(&engine, &build_order(1, 1, "load", "old", 1)).await,
        None
    );
    assert_eq!(
        send_order(&engine, &build_order(2, 2, "load", "new", 1)).await,
        Some(202)
    );
    engine.deliver_late_orders();
    assert_eq!(engine.counts().orders_fenced, 1);
    assert_eq!(engine.report().residents.len(), 1);
}

#[tokio::test]
async fn weights_come_from_the_store() {
    let store = store::start(StoreOptions {
        load_time_ms: 5,
        loads_per_s: 1_000.0,
        ..StoreOptions::default()
    })
    .await
    .expect("loopback has a free port");
    let engine = start_engine(EngineOptions {
        store: Some(store.address),
        ..fast_options()
    })
    .await;
    send_order(&engine, &build_order(1, 1, "load", "m", 1_000)).await;
    wait_until(|| is_done(&engine, 1)).await;
    assert_eq!(store.counts().done, 1);
    store.set_faults(store::Faults {
        outage: true,
        ..store::Faults::default()
    });
    send_order(&engine, &build_order(2, 1, "load", "n", 1_000)).await;
    let state = |wanted| {
        let orders = engine.report().orders;
        serde_json::to_value(orders[1].state).ok() == Some(json!(wanted))
    };
    wait_until(|| state("failed")).await;
    assert_eq!(engine.report().residents.len(), 1);
    drop(store);
    send_order(&engine, &build_order(3, 1, "load", "n", 1_000)).await;
    wait_until(|| engine.report().residents.len() == 1).await;
}

#[tokio::test]
async fn a_late_order_takes_effect_after_its_delay() {
    let engine = start_engine(fast_options()).await;
    engine.set_faults(Faults {
        late_orders: 1,
        late_order_ms: 5,
        ..Faults::default()
    });
    assert_eq!(
        send_order(&engine, &build_order(1, 1, "load", "m", 1)).await,
        None
    );
    wait_until(|| is_done(&engine, 1)).await;
}
