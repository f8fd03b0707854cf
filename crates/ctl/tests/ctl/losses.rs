//! Where requests are lost, from logs.

use ctl::losses::losses;
use ctl::{Exit, commands, options};
use std::fmt::Write as _;
use std::path::PathBuf;

/// A file with a log; it is removed with it.
struct Log(PathBuf);

impl Log {
    fn write(test: &str, text: &str) -> Self {
        let name = format!("sesame-losses-{}-{test}.log", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, text).expect("a temporary file");
        Self(path)
    }

    async fn run(&self, json: bool) -> (Exit, String) {
        let path = self.0.display().to_string();
        let mut words = vec!["losses", path.as_str()];
        if json {
            words.push("--json");
        }
        let command = options::parser().run_inner(&*words).expect("it is valid");
        let report = commands::run(command).await.expect("the log can be read");
        (report.exit, report.text)
    }
}

impl Drop for Log {
    fn drop(&mut self) {
        // A file that stays is no fault of the test.
        let _ = std::fs::remove_file(&self.0);
    }
}

/// Demand moves to a model at one of two upstreams; a second copy is decided, its place
/// is made free, and it serves. The leader is stopped, and another one begins later.
const SHIFT: &str = r#"
one {"event":"giver_began","t_ms":500,"token":1}
one {"event":"request","id":"r-1","model":"m1/a6","outcome":"answered","ms":90,"t_ms":1090,"tries":[{"upstream":"i-1","outcome":"begun"}]}
one {"event":"request","id":"r-2","model":"m1","outcome":"overloaded","ms":0,"t_ms":1500,"tries":[{"unpicked":"too_late"}]}
one {"event":"request","id":"r-3","model":"m2","outcome":"answered","ms":10,"t_ms":1600,"tries":[{"upstream":"i-2","outcome":"begun"}]}
one {"event":"move","load":"m1","unload":"m3","upstream":"i-2","t_ms":2500}
one {"event":"order","action":"Unload(\"m3\")","upstream":"i-2","t_ms":2510,"outcome":"Answered(Accepted)"}
one {"event":"order","action":"Load(\"m1\")","upstream":"i-2","t_ms":3100,"outcome":"Answered(Accepted)"}
two {"event":"request","id":"r-4","model":"m1","outcome":"answered","ms":100,"t_ms":9700,"tries":[{"upstream":"i-2","outcome":"begun"}]}
one {"event":"giver_paused","t_ms":10000,"token":1}
one {"event":"peer_lost","t_ms":11000}
two {"event":"giver_began","t_ms":14000,"token":2}
no line of a log
"#;

#[test]
fn losses_are_added_up_by_time_and_model() {
    let log = Log::write("slices", SHIFT);
    let losses = losses(std::slice::from_ref(&log.0), 2_000).expect("it can be read");
    assert_eq!(losses.unread, 1);
    assert_eq!(losses.from_ms, 1_000);
    assert_eq!(losses.outcomes["answered"], 3);
    assert_eq!(losses.outcomes["overloaded, too_late"], 1);
    let first = &losses.slices[0];
    assert_eq!((first.from_ms, first.upstreams.len()), (0, 2));
    let busiest = &first.models[0];
    assert_eq!((&*busiest.model, busiest.asked), ("m1", 2));
    assert_eq!(busiest.lost["overloaded, too_late"], 1);
    assert_eq!(busiest.tries["i-1"], 1);
}

#[test]
fn the_parts_of_a_move_and_the_time_without_a_leader_are_told() {
    let log = Log::write("moves", SHIFT);
    let losses = losses(std::slice::from_ref(&log.0), 2_000).expect("it can be read");
    assert_eq!(losses.moves.decided.median_ms, 1_000);
    assert_eq!(losses.moves.ordered.median_ms, 600);
    assert_eq!(losses.moves.served.median_ms, 6_500);
    assert_eq!(losses.without_leader.len(), 1);
    assert_eq!(losses.without_leader[0].ms(), 4_000);
}

/// A leader is killed: it tells nothing of its end, and its last line is what is known.
#[test]
fn a_leader_that_was_killed_led_until_its_last_line() {
    let log = r#"
one {"event":"giver_began","t_ms":500,"token":1}
one {"event":"request","id":"r-1","model":"m1","outcome":"answered","ms":0,"t_ms":3000,"tries":[]}
one {"event":"started","t_ms":7000}
one {"event":"giver_began","t_ms":7500,"token":2}
"#;
    let log = Log::write("killed", log);
    let losses = losses(std::slice::from_ref(&log.0), 2_000).expect("it can be read");
    assert_eq!(losses.without_leader[0].from_ms, 3_000);
    assert_eq!(losses.without_leader[0].to_ms, 7_500);
}

#[tokio::test]
async fn a_log_without_requests_is_no_success() {
    let log = Log::write("none", "one {\"event\":\"started\",\"t_ms\":7000}\nwhat\n");
    let (exit, text) = log.run(false).await;
    assert_eq!(exit, Exit::Faults);
    assert!(text.contains("1 lines could not be read"), "{text}");
}

#[tokio::test]
async fn losses_are_told_as_text_and_as_json() {
    let log = Log::write("told", SHIFT);
    let (exit, text) = log.run(false).await;
    assert_eq!(exit, Exit::Ok);
    assert!(text.contains("without a leader: 4000 ms"), "{text}");
    assert!(
        text.contains("m1: 2 asked, tries at 1 upstreams (1)"),
        "{text}"
    );
    let (_, json) = log.run(true).await;
    let json: serde_json::Value = serde_json::from_str(&json).expect("it is JSON");
    assert_eq!(json["moves"]["ordered"]["longest_ms"], 600);
}

/// A day's log of a large deployment is read in seconds, in a build for tests as well.
#[test]
fn many_lines_are_added_up() {
    let mut text = String::new();
    for number in 0..20_000 {
        let t_ms = 1_000 + number;
        let model = number % 50;
        writeln!(
            text,
            "e {{\"event\":\"request\",\"id\":\"r-{number}\",\"model\":\"m{model}\",\
             \"outcome\":\"answered\",\"ms\":5,\"t_ms\":{t_ms},\
             \"tries\":[{{\"upstream\":\"i-{}\",\"outcome\":\"begun\"}}]}}",
            number % 7
        )
        .expect("a string takes all text");
    }
    let log = Log::write("many", &text);
    let losses = losses(std::slice::from_ref(&log.0), 2_000).expect("it can be read");
    let asked = losses.slices.iter().flat_map(|slice| &slice.models);
    assert_eq!(asked.map(|model| model.asked).sum::<u64>(), 20_000);
}
