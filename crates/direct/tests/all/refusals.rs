//! Models for which an upstream refuses requests.

use crate::support::{at, engine, name, record};
use direct::{
    Fleet, PrefillQueue, SelectionError, SelectionInput, Usage, select_upstream,
};

fn fleet() -> Fleet {
    let mut fleet = Fleet::new();
    let listed = ["1", "2"].map(|id| (1, record(id, &["a", "b"])));
    fleet.apply_list(at(0), 1, listed.to_vec());
    fleet
}

fn selected(fleet: &Fleet, ms: u64, model: &str) -> Result<String, SelectionError> {
    let engine = engine(&["a", "b"]);
    let input = SelectionInput {
        now: at(ms),
        service: "oracle",
        engine: Some(&engine),
        model: Some((model, None)),
        prompt_parts: &[],
        priority: 0,
        is_ordered: false,
        prompt_tokens: 1_000,
        time_factor: 1.0,
        kv_tokens: 1_200,
        excluded: &[],
        origin: None,
        domain: "east",
        random: 42,
    };
    select_upstream(fleet, &input).map(|selected| selected.id.to_string())
}

/// Upstream 1 refuses every request for the model at once, so nothing ever waits there
/// and it looks idle. Without a pause, every request would be sent there first.
#[test]
fn an_upstream_that_refuses_a_model_gets_occasional_requests() {
    let mut fleet = fleet();
    let busy = Usage {
        running: 3,
        prefill: PrefillQueue::single(0, 4_000),
        ..Usage::default()
    };
    fleet
        .get_mut("2")
        .expect("known")
        .request_sent(at(0), &busy);
    let mut refused = 0;
    for ms in (0..20_000).step_by(50) {
        fleet.get_mut("2").expect("known").bytes_received(at(ms));
        if selected(&fleet, ms, "a").as_deref() == Ok("1") {
            refused += 1;
            fleet
                .get_mut("1")
                .expect("known")
                .request_refused(at(ms), &name("a"));
        }
    }
    assert!((8..20).contains(&refused), "{refused} of 400");
}

/// Only requests for the refused model are sent elsewhere, and the upstream gets them
/// again after it has accepted one.
#[test]
fn other_models_of_a_refusing_upstream_are_still_selected() {
    let mut fleet = fleet();
    fleet.remove(at(0), "2", 2);
    assert_eq!(selected(&fleet, 1, "a").as_deref(), Ok("1"));
    let upstream = fleet.get_mut("1").expect("known");
    upstream.request_refused(at(1), &name("a"));
    assert_eq!(selected(&fleet, 2, "a"), Err(SelectionError::Full));
    assert_eq!(selected(&fleet, 2, "b").as_deref(), Ok("1"));
    assert_eq!(selected(&fleet, 52, "a").as_deref(), Ok("1"));
    let upstream = fleet.get_mut("1").expect("known");
    upstream.request_refused(at(52), &name("a"));
    upstream.request_accepted("a");
    assert_eq!(selected(&fleet, 53, "a").as_deref(), Ok("1"));
}
