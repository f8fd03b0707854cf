//! Tests of the platform's object API.

use fake::Handle;
use fake::platform::{
    self, Faults, Outage, Platform, PlatformOptions, VALUE_MAX_BYTES,
};
use serde_json::json;
use std::time::Duration;
use tokio::time::Instant;

use crate::client::{CompleteResponse, get, send_request};

async fn start() -> Handle<Platform> {
    let started = platform::start(PlatformOptions::default()).await;
    started.expect("loopback has a free port")
}

async fn put(
    platform: &Handle<Platform>,
    key: &str,
    condition: &[(&str, &str)],
    value: &str,
) -> Option<CompleteResponse> {
    let path = format!("/objects/{key}");
    send_request(platform.address, "PUT", &path, condition, value.to_owned()).await
}

#[tokio::test]
async fn conditions_decide_on_writes_and_deletes() {
    let platform = start().await;
    let absent = ("if-none-match", "*");
    // (method, condition, status, version in the response)
    type Step<'a> = (&'a str, &'a [(&'a str, &'a str)], u16, Option<u64>);
    let steps: &[Step<'_>] = &[
        ("GET", &[], 404, None),
        ("DELETE", &[], 404, None),
        ("PUT", &[("if-match", "1")], 412, None),
        ("PUT", &[absent], 200, Some(1)),
        ("PUT", &[absent], 412, None),
        ("GET", &[], 200, Some(1)),
        ("PUT", &[("if-match", "1")], 200, Some(2)),
        ("PUT", &[("if-match", "1")], 412, None),
        ("PUT", &[], 200, Some(3)),
        ("DELETE", &[("if-match", "2")], 412, None),
        ("DELETE", &[("if-match", "3")], 200, Some(4)),
        ("GET", &[], 404, None),
        ("PUT", &[absent], 200, Some(5)),
        ("PUT", &[("if-match", "five")], 400, None),
        ("PUT", &[("if-none-match", "5")], 400, None),
        ("PUT", &[("if-match", "5"), absent], 400, None),
    ];
    for (index, (method, condition, status, version)) in steps.iter().enumerate() {
        let path = "/objects/a/b";
        let response =
            send_request(platform.address, method, path, condition, "v").await;
        let response = response.expect("no fault is active");
        assert_eq!(
            (response.status, response.version),
            (*status, *version),
            "{index}"
        );
    }
}

#[tokio::test]
async fn lists_and_watches_select_by_prefix_and_version() {
    let platform = start().await;
    for key in ["a/1", "a/2", "b/1"] {
        put(&platform, key, &[], key)
            .await
            .expect("no fault is active");
    }
    let list = get(platform.address, "/objects?prefix=a%2F").await;
    let list = list.expect("no fault is active").json();
    assert_eq!(
        list,
        json!({"version": 3, "deleted": [], "objects": [
            {"key": "a/1", "version": 1, "value_base64": "YS8x"},
            {"key": "a/2", "version": 2, "value_base64": "YS8y"},
        ]})
    );
    let path = "/watch?prefix=a/&after=3&wait_ms=0";
    let watch = get(platform.address, path)
        .await
        .expect("no fault is active");
    assert_eq!(
        watch.json(),
        json!({"version": 3, "deleted": [], "objects": []})
    );
    send_request(platform.address, "DELETE", "/objects/a/1", &[], "").await;
    let watch = get(platform.address, path)
        .await
        .expect("no fault is active");
    assert_eq!(
        watch.json(),
        json!({"version": 4, "deleted": ["a/1"], "objects": []})
    );
    let invalid = get(platform.address, "/watch?prefix=a/&after=x").await;
    assert_eq!(invalid.expect("no fault is active").status, 400);
}

#[tokio::test]
async fn a_watch_waits_for_a_change_under_its_prefix() {
    let platform = start().await;
    let watch = get(platform.address, "/watch?prefix=a/&after=0&wait_ms=60000");
    let writes = async {
        crate::client::wait_until(|| platform.counts().watches == 1).await;
        put(&platform, "b/1", &[], "other").await;
        put(&platform, "a/1", &[], "own").await;
    };
    let (watch, ()) = tokio::join!(watch, writes);
    let watch = watch.expect("no fault is active").json();
    assert_eq!(watch["version"], 2);
    assert_eq!(watch["objects"][0]["key"], "a/1");
    assert_eq!(platform.counts().watches, 1);
}

#[tokio::test]
async fn a_value_over_one_mebibyte_is_refused() {
    let platform = start().await;
    for (bytes, status) in [(VALUE_MAX_BYTES, 200), (VALUE_MAX_BYTES + 1, 413)] {
        let value = vec![b'x'; bytes];
        let response =
            send_request(platform.address, "PUT", "/objects/a", &[], value).await;
        assert_eq!(response.expect("a response arrives").status, status);
    }
    let (version, value) = platform
        .peek_object("a")
        .expect("the first value was written");
    assert_eq!((version, value.len()), (1, VALUE_MAX_BYTES));
}

/// Checks the response to a write under each fault, and whether it took effect.
#[tokio::test]
async fn each_write_fault_has_exactly_one_effect() {
    let cases = [
        // (faults, status or `None` if closed, whether written)
        (Faults::default(), Some(200), true),
        (
            Faults {
                lose_answers: 1,
                ..Faults::default()
            },
            None,
            true,
        ),
        (
            Faults {
                lose_writes: 1,
                ..Faults::default()
            },
            None,
            false,
        ),
        (
            Faults {
                lose_answers: 1,
                lose_prefix: "other/".to_owned(),
                ..Faults::default()
            },
            Some(200),
            true,
        ),
        (
            Faults {
                outage: Outage::Refuse,
                ..Faults::default()
            },
            Some(503),
            false,
        ),
        (
            Faults {
                outage: Outage::Close,
                ..Faults::default()
            },
            None,
            false,
        ),
    ];
    for (faults, status, written) in cases {
        let platform = start().await;
        platform.set_faults(faults.clone());
        let response = put(&platform, "a", &[("if-none-match", "*")], "v").await;
        assert_eq!(
            response.map(|response| response.status),
            status,
            "{faults:?}"
        );
        assert_eq!(platform.peek_object("a").is_some(), written, "{faults:?}");
        platform.set_faults(Faults::default());
        let next = put(&platform, "b", &[], "v").await;
        assert_eq!(
            next.expect("the fault is no longer active").status,
            200,
            "{faults:?}"
        );
    }
}

#[tokio::test]
async fn an_old_read_shows_the_state_before_the_last_change() {
    let platform = start().await;
    for value in ["one", "two"] {
        put(&platform, "a/1", &[], value).await;
    }
    put(&platform, "a/2", &[], "new").await;
    platform.set_faults(Faults {
        old_reads: 3,
        old_reads_prefix: "a/".to_owned(),
        ..Faults::default()
    });
    let list = get(platform.address, "/objects?prefix=a/").await;
    let list = list.expect("a response arrives").json();
    assert_eq!(list["version"], 1);
    assert_eq!(list["objects"].as_array().map(Vec::len), Some(1));
    let read = get(platform.address, "/objects/a/1").await;
    let read = read.expect("a response arrives");
    assert_eq!((read.version, &read.body[..]), (Some(1), &b"one"[..]));
    let read = get(platform.address, "/objects/a/2").await;
    assert_eq!(read.expect("a response arrives").status, 404);
    let read = get(platform.address, "/objects/a/1").await;
    assert_eq!(read.expect("a response arrives").version, Some(2));
    assert_eq!(platform.counts().old_reads, 3);
}

#[tokio::test]
async fn a_missed_change_appears_in_lists_but_in_no_watch() {
    let platform = start().await;
    platform.set_faults(Faults {
        missed_changes: 1,
        ..Faults::default()
    });
    put(&platform, "a/1", &[], "missed").await;
    put(&platform, "a/2", &[], "seen").await;
    let watch = get(platform.address, "/watch?prefix=a/&after=0&wait_ms=0").await;
    let watch = watch.expect("a response arrives").json();
    assert_eq!(watch["objects"].as_array().map(Vec::len), Some(1));
    assert_eq!(watch["objects"][0]["key"], "a/2");
    assert_eq!(watch["version"], 2);
    let list = get(platform.address, "/objects?prefix=a/").await;
    let list = list.expect("a response arrives").json();
    assert_eq!(list["objects"].as_array().map(Vec::len), Some(2));
}

#[tokio::test]
async fn an_outage_ends_a_waiting_watch() {
    for (outage, status) in [(Outage::Refuse, Some(503)), (Outage::Close, None)] {
        let platform = start().await;
        let watch = get(platform.address, "/watch?prefix=a/&after=0&wait_ms=60000");
        let breaks = async {
            crate::client::wait_until(|| platform.counts().watches == 1).await;
            platform.set_faults(Faults {
                outage,
                ..Faults::default()
            });
        };
        let (watch, ()) = tokio::join!(watch, breaks);
        assert_eq!(watch.map(|response| response.status), status);
    }
}

#[tokio::test]
async fn the_seed_determines_which_responses_are_lost() {
    let mut runs = Vec::new();
    for _ in 0..2 {
        let platform = start().await;
        platform.set_faults(Faults {
            lose_answers_percent: 50,
            ..Faults::default()
        });
        let mut lost = Vec::new();
        for _ in 0..32 {
            lost.push(put(&platform, "a", &[], "v").await.is_none());
        }
        assert!(lost.contains(&true) && lost.contains(&false));
        assert_eq!(
            platform.peek_object("a").map(|(version, _)| version),
            Some(32)
        );
        runs.push(lost);
    }
    assert_eq!(runs[0], runs[1]);
}

#[tokio::test(start_paused = true)]
async fn requests_take_at_least_the_platform_delay() {
    let platform = start().await;
    platform.set_faults(Faults {
        delay_ms: 700,
        ..Faults::default()
    });
    let started_at = Instant::now();
    assert_eq!(
        put(&platform, "a", &[], "v").await.map(|a| a.status),
        Some(200)
    );
    assert!(started_at.elapsed() >= Duration::from_millis(700));
}

#[tokio::test]
async fn requests_are_counted_by_kind_even_if_they_fail() {
    let platform = start().await;
    put(&platform, "claims/1", &[], "v").await;
    put(&platform, "claims/1", &[("if-none-match", "*")], "v").await;
    send_request(platform.address, "DELETE", "/objects/live/x", &[], "").await;
    get(platform.address, "/objects/claims/1").await;
    get(platform.address, "/objects?prefix=").await;
    get(platform.address, "/watch?prefix=&after=0&wait_ms=0").await;
    let counts = get(platform.control, "/control/counts").await;
    let counts = counts.expect("the control listener responds").json();
    assert_eq!(
        counts,
        json!({
            "reads": 1, "writes": 3, "lists": 1, "watches": 1, "refused": 0,
            "answers_lost": 0, "old_reads": 0,
            "writes_by_kind": {"claims": 2, "live": 1},
        })
    );
}

#[tokio::test]
async fn control_rejects_unknown_faults() {
    let platform = start().await;
    let faults = "/control/faults";
    let body = r#"{"outage": "refuse"}"#;
    let put = send_request(platform.control, "PUT", faults, &[], body).await;
    assert_eq!(put.expect("the control listener responds").status, 200);
    let read = get(platform.address, "/objects/a").await;
    assert_eq!(read.expect("a response arrives").status, 503);
    for body in [r#"{"outrage": "refuse"}"#, "{", r#"{"delay_ms": "long"}"#] {
        let put = send_request(platform.control, "PUT", faults, &[], body).await;
        assert_eq!(
            put.expect("the control listener responds").status,
            400,
            "{body}"
        );
    }
    let active = get(platform.control, faults)
        .await
        .expect("the control listener responds");
    assert_eq!(active.json()["outage"], "refuse");
}
